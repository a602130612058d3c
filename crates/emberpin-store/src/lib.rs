//! The store of configuration: keeps items on disk and in custody of a majority of the voters.
//!
//! A thin host: what is chosen, and when, is decided in `emberpin_consensus`; here are the disk, the connections
//! and the clock.
#![forbid(unsafe_code)]

mod connections;
pub mod disk;
mod fault_injection;
mod host;
pub mod program;
pub mod protocol;
mod system_id;
