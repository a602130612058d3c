//! Who is there: lives of servers, sessions of limiters, and what control limiters tell each other of both.
//!
//! No I/O, no clock, no randomness.
#![forbid(unsafe_code)]

pub mod choice;
pub mod feed;
#[doc(hidden)]
pub mod guards;
pub mod life;
pub mod lives;
pub mod peers;
pub mod registry;
pub mod session;
