//! Cluster membership: which instances of servers exist, which proxies have a session with a registry, and how
//! registries replicate both to each other.
//!
//! A server sends heartbeats to one registry, the owner of its instance. Registries replicate the instances to each
//! other, and follow the configuration items of a store. A proxy keeps sessions with registries, in which it receives
//! the instances and items, and confirmations of how old that state is.
//!
//! The package is a state machine without I/O, clock or randomness: hosts pass in events with the current
//! [`clock::Timestamp`] and carry out the actions that come back.
//!
//! - [`registry`]: the state machine of one registry, with its events and actions;
//! - [`instance`], [`instance_table`]: the instances of servers, and how reports about one instance merge;
//! - [`change_log`]: the log of changes that sessions follow;
//! - [`session`], [`peers`]: the messages between proxies and registries, and among registries;
//! - [`rendezvous`]: the choice of the registry that owns an instance;
//! - [`lease`], [`timing`]: the read leases that bound how stale a proxy's view may get, and the intervals whose sums
//!   must stay within that bound;
//! - [`candidates`]: the choice of the registry with which a proxy opens its next session;
//! - [`guards`]: the safety checks of a registry, which tests can turn off one by one.
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
