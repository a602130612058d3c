//! The limiter: hosts the decisions of [`emberpin_balancer`] on sockets, with HTTP clients in front and servers behind.
//!
//! It takes no decision about a request itself; [`limiter`] puts the parts together in the order in which a
//! request meets them. For embedding the decisions alone, without sockets, use `emberpin-balancer`.
#![forbid(unsafe_code)]

mod between;
mod front;
pub mod host;
pub mod limiter;
mod messages;
pub mod operate;
mod stages;
mod upstream;
