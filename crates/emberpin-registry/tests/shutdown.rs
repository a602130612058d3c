//! The shutdown of a registry's process: SIGTERM must end it quickly, even with open connections.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{call, connect, loopback, ProxySession, RegistryProcess, HTTP_PORT, TEST_TIMEOUT};
use googletest::prelude::*;
use std::process::Command;
use std::time::{Duration, Instant};

#[tokio::test]
async fn sigterm_ends_the_process_quickly() -> googletest::Result<()> {
    let local = loopback(5, 1);
    let mut shortest_shutdown = TEST_TIMEOUT;
    // Only the shortest time counts: a busy machine may delay some shutdowns, but a process that waits for an open
    // connection is late each time.
    for _ in 0..5 {
        let mut registry = RegistryProcess::start(local, &[local]);
        let _proxy = ProxySession::open(local).await;
        let _idle_connection = connect(local, HTTP_PORT).await;
        _ = call(local, "GET", "/status", "").await;
        let signalled_at = Instant::now();
        Command::new("kill")
            .args(["-TERM", &registry.id().to_string()])
            .status()?;
        let exit_code = tokio::task::spawn_blocking(move || registry.wait()).await?;
        verify_that!(exit_code, some(eq(0)))?;
        shortest_shutdown = shortest_shutdown.min(signalled_at.elapsed());
    }
    verify_that!(shortest_shutdown, lt(Duration::from_millis(400)))
}
