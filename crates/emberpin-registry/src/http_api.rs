//! The HTTP API at `ctl`: heartbeats of servers, and the operator's calls.
//!
//! [`HttpServer`] accepts connections and finds the route of each request; [`Calls`] carries the call out.

mod call_query;
mod calls;
mod coordination;
mod heartbeat_body;
mod request_body;
mod response;
mod route;
mod server;

pub use calls::Calls;
pub use coordination::ApplicationCall;
pub use route::Route;
pub use server::HttpServer;
