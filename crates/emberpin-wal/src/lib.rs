//! What must outlast a limiter's life: records are appended, are on the disk before they count, and are read
//! again at the next start, together with a verdict on whether all that counted is still there.
//!
//! It knows nothing of what the records mean; who writes them says what a lost one would cost. [`Log`] decides over a
//! [`Storage`], which in service is a folder ([`Files`]) and in tests whatever breaks. [`Service`] runs one on a thread
//! of its own and gathers what comes meanwhile into one fsync (group commit).
//!
//! It is not a database: nothing is looked up in it, and what is not wanted any more goes only when its writer
//! has written again what it still wants ([`Log::rotate`], [`Log::retire`]).
#![forbid(unsafe_code)]

mod files;
mod frame;
mod inspect;
mod log;
mod service;
mod storage;

pub use files::{boot_id, Files};
pub use frame::{
    Damage, Header, HeaderProblem, Scanned, Scanner, HEADER_LONGEST, LONGEST, VERSION,
};
pub use inspect::{inspect, Report, SegmentReport};
pub use log::{Identity, Log, Lost, Record, Recovery, Unusable, WriteProblem};
pub use service::{Busy, Note, Service, Ticket};
pub use storage::{FileIdentity, Storage};
