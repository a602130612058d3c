//! A testbed for the single-service limiter. It runs limiters as separate processes on loopback, between stand-in
//! servers, clients, peer networks and a stand-in discovery service, injects the faults that a scenario lists,
//! records a trace of events and checks five invariants on it. The checker sees only what crossed the sockets.
//!
//! It is not a simulator: time and sockets are real, and a limiter cannot tell the testbed from a real site. It does
//! not model a fleet either: the servers behave exactly as the protocol page specifies.
#![forbid(unsafe_code)]

pub mod clients;
pub mod discovery;
pub mod error;
pub mod figures;
pub mod html_report;
pub mod http;
pub mod invariants;
pub mod peer_links;
pub mod peers;
pub mod process;
pub mod report;
pub mod resources;
pub mod scenario;
pub mod schedule;
pub mod servers;
pub mod settings;
pub mod shared_capacity;
pub mod site;
pub mod start_summary;
pub mod trace;
pub mod zone_link;
