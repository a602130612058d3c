//! Cluster membership: which instances of servers exist, which proxies have a session with a registry, and how
//! registries replicate both to each other.
//!
//! The package is a state machine without I/O, clock or randomness: hosts pass in events with the current
//! [`clock::Timestamp`] and carry out the actions that come back.
//!
//! - [`registry`]: the state machine of one registry, with its events and actions;
//! - [`session`], [`peers`]: the messages between proxies and registries, and among registries;
//! - [`lease`], [`timing`]: the read leases that bound how stale a proxy's view may get, and the sum of delays that
//!   the bound is proven by;
//! - [`candidates`]: which registry a proxy opens its next session with.
#![forbid(unsafe_code)]

pub mod candidates;
pub mod change_log;
pub mod clock;
#[doc(hidden)]
pub mod deployment_bounds;
pub mod guards;
pub mod ids;
pub mod instance;
pub mod instance_table;
pub mod lease;
pub mod peers;
pub mod registry;
pub mod rendezvous;
pub mod session;
pub mod timing;
