//! The registry's process: sessions of proxies, heartbeats of servers, and the operator's HTTP API.
//!
//! Every decision is made by the state machine in `emberpin-membership`. This package is the I/O round it:
//!
//! - [`program`] reads the settings, opens the listeners and wires the parts below together;
//! - [`host`] is the event loop, the only owner of the state machine;
//! - [`commands`] holds what the other tasks put on the queue of that loop;
//! - [`inbound`] and [`outbound`] are the connections with proxies and with other registries;
//! - [`store_state`], [`store_subscription`], [`store_connection`] and [`store_client`] talk to the stores of
//!   the configuration;
//! - [`http_api`] serves servers and the operator at `ctl`.
#![forbid(unsafe_code)]

pub mod backoff;
pub mod commands;
pub mod connection;
mod coordination_client;
pub mod host;
pub mod http_api;
pub mod inbound;
pub mod metrics;
pub mod outbound;
pub mod program;
pub mod status_report;
pub mod store_client;
pub mod store_connection;
pub mod store_state;
pub mod store_subscription;
pub mod tcp;
