//! Helpers for tests: stores as processes on loopback addresses, the requests to them, and disks with known contents.
#![allow(
    dead_code,
    missing_docs,
    unused_imports,
    reason = "each test file uses only a part of the helpers"
)]

pub mod disk_fixtures;
pub mod settings;
mod store_node;

pub use store_node::{nodes_in_subnet, single_node, StoreNode, STORE_PROGRAM};

use std::future::Future;
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

/// Maximum time that a test waits for one result.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on its own single-threaded runtime.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}

/// Returns a port that is free on all of these addresses. It is below the range of ephemeral ports, from which the
/// kernel could assign a port to another socket between this check and the start of a store. `salt` makes concurrent
/// tests begin their search at different ports.
pub fn free_port(addresses: &[Ipv4Addr], salt: u8) -> u16 {
    let first = (std::process::id() * 41 + u32::from(salt) * 97) % 20_000;
    let ports = (0..20_000).map(|nth| 10_000 + ((first + nth) % 20_000) as u16);
    let is_free = |port: &u16| {
        addresses
            .iter()
            .all(|address| TcpListener::bind((*address, *port)).is_ok())
    };
    ports.into_iter().find(is_free).expect("a free port")
}

/// Returns the body of a patch that sets one service.
pub fn service_patch(name: &str, version: u64) -> String {
    format!(
        "{{\"upsert\":{{\"svcs\":[{{\"name\":\"{name}\",\"hcheck\":\"/h\",\"maxconn\":9,\"proto\":\"h1\",\
         \"tls\":false,\"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{version}}}]}}}}"
    )
}
