//! Fixtures of the proxy's tests: the proxy as a process on loopback addresses, a stand-in registry, stand-in servers
//! and raw HTTP clients.
//!
//! The tests wait for events. The time limits are far longer than what they bound, so that the tests pass on a busy
//! machine.
#![allow(
    dead_code,
    missing_docs,
    unused_imports,
    reason = "each test file uses a part of it"
)]

mod client;
mod configuration;
mod http;
mod proxy;
mod registry;
mod server;
mod uploader;
mod wait;

pub use client::{Client, Response};
pub use configuration::{
    default_items, instance, item, service, RouteSpec, HOST, MUTATING_ROUTE, READONLY_ROUTE,
};
pub use http::{read_body, read_head, read_message, Message, MessageKind};
pub use proxy::{start_with_one_server, Bounds, Proxy, DEFAULT_BOUNDS};
pub use registry::{confirmed, unconfirmed, RawSession, RegistrySession};
pub use server::{next_request_at_either, two_servers, ReceivedRequest, Server};
pub use uploader::{BodyFraming, Uploader};
pub use wait::{poll_until, within_limit, WAIT_LIMIT};
