//! The registry process: it receives the heartbeats of servers, sends membership updates to proxies over sessions, and
//! serves the HTTP API for servers, applications and operators.
//!
//! Every membership decision is made by the state machine in `emberpin-membership`. This package does the I/O for it:
//!
//! - [`program`] reads the settings, opens the listeners and connects the parts below;
//! - [`host`] is the event loop, the only owner of the state machine;
//! - [`commands`] defines the commands that the other tasks put on the event loop's queue;
//! - [`shutdown_log`] records drains and exits of servers on disk;
//! - [`inbound`] and [`outbound`] serve the connections with proxies and with other registries;
//! - [`store_state`], [`store_subscription`], [`store_connection`] and [`store_client`] communicate with the stores,
//!   which replicate the configuration;
//! - [`http_api`] serves the HTTP API at the `ctl` address.
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
pub mod shutdown_log;
pub mod status_report;
pub mod store_client;
pub mod store_connection;
pub mod store_state;
pub mod store_subscription;
pub mod tcp;
