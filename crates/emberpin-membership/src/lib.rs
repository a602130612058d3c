//! Who is there: instances of servers, sessions of limiters, and what control limiters tell each other of both.
//!
//! No I/O, no clock, no randomness.
#![forbid(unsafe_code)]

pub mod candidates;
pub mod change_log;
pub mod choice;
#[doc(hidden)]
pub mod guards;
pub mod instance;
pub mod instances;
pub mod lease;
pub mod peers;
pub mod registry;
pub mod session;
pub mod timing;
