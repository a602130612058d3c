//! Bootstrap of one limiter among many: when it calls the discovery service, which endpoint lists it accepts, how
//! limiters pass lists on to each other, what is cached on disk, and when the limiter reports ready.
//!
//! Every module is a state machine or a pure function without I/O, clock or randomness: hosts pass in the time since
//! the start and random numbers, so that the same inputs give the same outputs.
//!
//! - [`call_schedule`]: the slot of the first call and the backoff of later ones;
//! - [`list_dissemination`], [`list_messages`], [`topology`]: a few limiters watch the discovery service and spread
//!   its list to the others over peer links;
//! - [`list_guard`]: static stability against short or outdated lists;
//! - [`snapshot`]: the encoding of the last list on disk;
//! - [`readiness`]: when the process reports that it can serve clients.
#![forbid(unsafe_code)]

pub mod call_schedule;
pub mod list_dissemination;
pub mod list_guard;
pub mod list_messages;
pub mod readiness;
mod slots;
pub mod snapshot;
pub mod topology;
