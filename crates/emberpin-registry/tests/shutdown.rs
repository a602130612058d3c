//! The end of a registry's process.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{call, connect, loopback, ProxySession, RegistryProcess, HTTP_PORT, TEST_TIMEOUT};
use googletest::prelude::*;
use std::process::Command;
use std::time::{Duration, Instant};

#[tokio::test]
async fn sigterm_ends_the_process_soon() -> googletest::Result<()> {
    let local = loopback(5, 1);
    let mut shortest = TEST_TIMEOUT;
    // A busy machine may delay one of them; a process that waits for something is late each time.
    for _ in 0..5 {
        let mut registry = RegistryProcess::start(local, &[local]);
        let _proxy = ProxySession::open(local).await;
        let _idle = connect(local, HTTP_PORT).await;
        _ = call(local, "GET", "/status", "").await;
        let signalled_at = Instant::now();
        Command::new("kill")
            .args(["-TERM", &registry.id().to_string()])
            .status()?;
        let code = tokio::task::spawn_blocking(move || registry.wait()).await?;
        verify_that!(code, some(eq(0)))?;
        shortest = shortest.min(signalled_at.elapsed());
    }
    verify_that!(shortest, lt(Duration::from_millis(400)))
}
