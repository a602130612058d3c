//! A demonstration that runs the whole gateway on loopback, under traffic and faults, and checks its invariants.
//!
//! [`scenario`] runs the demonstration. The core machines and edges of a [`deployment`] run as separate processes,
//! which [`gateway`] starts and kills. The servers, the operator and the clients are stand-ins in this process, which
//! write their observations to the [`record`]. Two candidates elect a leader with a lock of the gateway ([`election`]).
//! Meanwhile a core machine is killed and restarted, a server crashes, another one shuts down gracefully, the
//! configuration changes and a zone is evacuated. At the end the [`report`] summarizes the record, with every violation
//! that [`invariants`] finds in it.
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
