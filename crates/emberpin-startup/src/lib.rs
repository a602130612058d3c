//! How one of many limiters starts, and comes back: when it asks the list service, which lists it
//! believes, what it keeps of them, and when it is ready. Decisions without I/O, clock or
//! randomness of their own: times and draws come in with each call, so that the same calls give the same answers.
#![forbid(unsafe_code)]

pub mod calls;
pub mod feed;
pub mod ready;
pub mod snapshot;
pub mod trust;
