//! The HTTP API at the `ctl` address, for servers (heartbeats), applications (locks, counters and cells) and operators.
//!
//! A call is a request to one of its routes. [`HttpServer`] accepts connections and finds the route of each request;
//! [`CallHandler`] carries the call out.

mod call_query;
mod calls;
mod coordination;
mod heartbeat_body;
mod request_body;
mod response;
mod route;
mod server;

pub use calls::CallHandler;
pub use coordination::ApplicationCall;
pub use route::Route;
pub use server::HttpServer;
