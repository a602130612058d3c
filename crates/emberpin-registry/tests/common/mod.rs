//! Test utilities: registry processes on loopback addresses, stand-ins for stores, sessions of proxies, and HTTP calls.
#![allow(
    dead_code,
    missing_docs,
    unused_imports,
    reason = "each test file uses a part of it"
)]

mod fake_store;
mod http_client;
mod proxy_session;
mod registry_process;

pub use fake_store::{item, FakeStore};
pub use http_client::{call, call_once_confirmed, heartbeat};
pub use proxy_session::{first_changed_instance, first_item, ProxySession};
pub use registry_process::RegistryProcess;

use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};

/// The port of the HTTP API.
pub const HTTP_PORT: u16 = 8649;
/// The port of stores.
pub const STORE_PORT: u16 = 7620;
/// The port of registries.
pub const REGISTRY_PORT: u16 = STORE_PORT + 1;
/// The time-out of everything that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The loopback address of one machine of one test. Each test has its own number, so that tests can run in parallel.
pub fn loopback(test: u8, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, test, machine)
}

/// Connects to a listener, and retries until there is one.
pub async fn connect(ip: Ipv4Addr, port: u16) -> TcpStream {
    let mut retry = interval(CONNECT_RETRY_INTERVAL);
    let connecting = async {
        loop {
            retry.tick().await;
            if let Ok(stream) = TcpStream::connect((ip, port)).await {
                return stream;
            }
        }
    };
    timeout(TEST_TIMEOUT, connecting).await.expect("listens")
}
