//! A write-ahead log: records are appended, synced to the disk, and recovered at the next start, together with a
//! statement of whether durable records may be missing.
//!
//! Records are opaque bytes to this package. [`Log`] works on a [`Storage`], which is a folder in production
//! ([`Files`]) and a disk with injected faults in tests. [`Service`] runs a log on a thread of its own, with group
//! commit.
//!
//! The log is not a database: records cannot be looked up in it. It is compacted by its writer, which starts a new
//! segment ([`Log::rotate`]), rewrites the records that it still needs, and removes the older segments
//! ([`Log::remove_segments_before`]).
#![forbid(unsafe_code)]

mod files;
mod frame;
mod inspect;
mod log;
mod service;
mod storage;

pub use files::{boot_id, Files};
pub use frame::{
    Damage, Header, HeaderError, Scanned, Scanner, MAX_HEADER_BYTES, MAX_RECORD_BYTES, VERSION,
};
pub use inspect::{inspect, Report, SegmentReport};
pub use log::{DataLoss, Identity, Log, OpenError, Record, Recovery, WriteError};
pub use service::{LogEvent, QueueFull, Service, Ticket};
pub use storage::{FileIdentity, Storage};
