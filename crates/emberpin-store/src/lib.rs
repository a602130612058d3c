//! The store of configuration: a replica of `emberpin_consensus`, which keeps the configuration on the disks of a
//! majority of the voters.
//!
//! What is chosen, and when, is decided by the replica. This package has what it runs on: the disk, the connections,
//! and the clock.
//!
//! ```text
//! program → host → listener, peer_links → input, send_queue, socket → protocol
//!                → registry_sessions    → input, send_queue         → protocol
//!                → disk_monitor         → disk                      → protocol
//!                → system_id, signals
//! ```
#![forbid(unsafe_code)]

pub mod disk;
mod disk_monitor;
mod fault_injection;
mod host;
mod input;
mod listener;
mod peer_links;
pub mod program;
pub mod protocol;
mod registry_sessions;
mod send_queue;
mod signals;
mod socket;
mod system_id;
