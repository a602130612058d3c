//! The whole gateway at work on loopback, for whoever meets it first.
//!
//! [`scenario`] runs the demonstration. The core machines and edges of a [`deployment`] are processes of their own, which
//! [`gateway`] starts and kills; the servers, the operator and the clients are stand-ins in this process, and note in the
//! [`record`] what they observe. Two of the clients elect a leader by a lock ([`election`]). Meanwhile a core machine is killed and a server crashes. At the end the [`report`] sums
//! the record up, with every violation that [`invariants`] finds in it.
#![forbid(unsafe_code)]

pub mod clients;
pub mod command_line;
pub mod configuration;
pub mod deployment;
pub mod edge;
pub mod election;
pub mod error;
pub mod gateway;
pub mod http;
pub mod invariants;
pub mod node_settings;
pub mod operator;
pub mod process;
pub mod record;
pub mod report;
pub mod role;
pub mod routes;
pub mod scenario;
pub mod server;
pub mod server_pool;
pub mod timeline;
