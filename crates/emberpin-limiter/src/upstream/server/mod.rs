//! Sends attempts and health checks to servers, over one bounded pool of HTTP/1.1 connections.
//!
//! An [`Upstream`] is one incarnation of one server. Its `exchange` sends one request on a `ServerConnection` from the
//! [`Pool`] and receives the response, complete or as a stream. `WriteProgress` records how much of the request reached
//! the socket, which decides whether the request may have run.

mod connection;
mod exchange;
mod pool;
mod request_body;
mod response;
mod streamed_response;
mod upstream;
mod used_upstreams;
mod write_progress;

pub use pool::{Pool, PoolLimits};
pub use upstream::Upstream;
pub use used_upstreams::UsedUpstreams;
