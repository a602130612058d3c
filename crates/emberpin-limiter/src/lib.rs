//! The limiter: runs the decision logic of [`emberpin_balancer`] on sockets, between HTTP clients and the servers that
//! it forwards their requests to.
//!
//! This crate makes no decisions about requests itself. [`limiter`] composes its parts in the order in which a request
//! passes through them. To embed the decision logic alone, without sockets, use `emberpin-balancer`.
#![forbid(unsafe_code)]

mod between;
mod front;
pub mod host;
pub mod limiter;
mod messages;
pub mod operate;
mod stages;
mod upstream;
