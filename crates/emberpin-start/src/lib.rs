//! How one of many limiters starts, and comes back: when it asks the list service. Decisions without I/O, clock or
//! randomness of their own: times and draws come in with each call, so that the same calls give the same answers.
#![forbid(unsafe_code)]

pub mod calls;
