//! Stores as processes on loopback addresses, and what tests send to them.
#![allow(
    dead_code,
    missing_docs,
    unused_imports,
    reason = "each test file uses a part of it"
)]

pub mod disk_fixtures;
pub mod settings;
mod store_node;

pub use store_node::{nodes, single_node, StoreNode, STORE_PROGRAM};

use std::future::Future;
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

/// Nothing that a test waits for takes longer.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on a runtime of its own.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}

/// A port that is free on all of these addresses, below the range of ephemeral ports: one of those could be taken
/// between this check and the start of a store. `salt` has tests that run at the same time begin at different ports.
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

/// The body of a patch that sets one service.
pub fn service_patch(name: &str, version: u64) -> String {
    format!(
        "{{\"upsert\":{{\"svcs\":[{{\"name\":\"{name}\",\"hcheck\":\"/h\",\"maxconn\":9,\"proto\":\"h1\",\
         \"tls\":false,\"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{version}}}]}}}}"
    )
}
