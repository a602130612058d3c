//! The stand-in site: scripted servers, discovery, peers, links and clients on loopback, limiters as processes
//! of their own between them, faults as data, and a referee of the five rules that sees only what crossed the
//! sockets.
//!
//! It is not a simulator: time is real, sockets are real, and no limiter knows that it is played with. Nor does
//! it model a fleet: its servers are as good as the protocol page tells them, no better.
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
