//! The configuration store: hosts a replica of `emberpin_consensus`, which keeps the configuration on the disks of a
//! majority of the voters.
//!
//! The replica decides which values are chosen, and when. This package provides its environment: the disk, the
//! connections and the clock. The arrows below show which module uses which:
//!
//! ```text
//! program → startup → listener                  → input, send_queue, socket
//!                   → host → peer_links         → send_queue, socket
//!                          → registry_sessions  → input, send_queue
//!                          → disk_monitor       → disk
//!                          → loop_event         → input, disk, signals
//!                          → system_record
//! ```
#![forbid(unsafe_code)]

pub mod disk;
mod disk_monitor;
mod error;
mod fault_injection;
mod host;
mod hosted_replica;
mod input;
pub mod item_batches;
mod listener;
mod loop_event;
mod metrics;
mod peer_links;
pub mod program;
pub mod protocol;
mod registry_sessions;
mod send_queue;
mod signals;
mod socket;
mod startup;
mod system_record;
