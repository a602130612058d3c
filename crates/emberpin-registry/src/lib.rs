//! The registry: sessions of limiters and instances of servers, and the outside calls.
//!
//! What is decided is decided in `emberpin-membership`; here are sockets, frames and bodies.
#![forbid(unsafe_code)]

pub mod body;
pub mod calls;
pub mod host;
pub mod links;
pub mod net;
pub mod program;
pub mod routes;
pub mod store;
