//! Graceful shutdown of the proxy after SIGTERM.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, service, Bounds, Proxy, RouteSpec, Server, DEFAULT_BOUNDS, READONLY_ROUTE};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};

/// Long enough for an attempt to become overdue while new connections are still accepted.
const GRACE: Duration = Duration::from_secs(12);
/// Latency target of a route whose attempts are overdue after [`OVERDUE_AFTER`].
const LATENCY_TARGET: Duration = Duration::from_millis(4_000);
/// 85 % of the latency target, which the decision module allows an attempt before it has measured any response.
const OVERDUE_AFTER: Duration = Duration::from_millis(3_400);

/// Guards the order of `drain`, `is_draining` in `on_attempt_overdue`, `DRAIN_ACCEPT_SHARE`, and the early exit once no
/// connection is open.
#[tokio::test]
async fn a_draining_proxy_finishes_its_requests_before_it_exits() -> googletest::Result<()> {
    let (mut one, mut other) = (Server::start().await, Server::start().await);
    let instances = vec![instance("i-1", one.address), instance("i-2", other.address)];
    let items = vec![
        service("s", 1, 10.0),
        RouteSpec {
            latency_target: LATENCY_TARGET,
            ..READONLY_ROUTE
        }
        .item(),
    ];
    let (mut proxy, _session) = Proxy::start_ready(
        Bounds {
            grace: "12s",
            ..DEFAULT_BOUNDS
        },
        items,
        instances,
    )
    .await;
    let mut client = proxy.connect().await;
    client
        .send(
            "GET",
            "/read/a",
            &[("try-id", "t1"), ("deadline", "8000")],
            b"",
        )
        .await;
    let (mut in_progress, idle) = tokio::select! {
        request = one.next_request() => (request, &mut other),
        request = other.next_request() => (request, &mut one),
    };
    let received_at = tokio::time::Instant::now();
    let terminated_at = Instant::now();
    proxy.terminate();
    proxy.wait_readiness(503).await;
    // The platform polls readiness every second, so it would notice the change at its next poll.
    verify_that!(terminated_at.elapsed(), lt(Duration::from_secs(1)))?;
    // A new connection is accepted, and closed after its response.
    let serving = async { idle.next_request().await.respond(200, &[], "new").await };
    let (response, ()) = tokio::join!(proxy.request("GET", "/read/a", "t2"), serving);
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "new"))
    )?;
    verify_that!(response.message.header("connection"), some(eq("close")))?;
    // The attempt that a server is working on is awaited even once it is overdue.
    let awaited = timeout(
        OVERDUE_AFTER + Duration::from_secs(1),
        in_progress.stream.peek(&mut [0]),
    )
    .await;
    verify_that!(awaited.is_err(), eq(true))?;
    sleep_until(received_at + OVERDUE_AFTER + Duration::from_millis(500)).await;
    verify_that!(idle.has_no_request(), eq(true))?;
    in_progress
        .write(&in_progress.response_bytes(200, &[], "done"))
        .await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "done"))
    )?;
    verify_that!(response.message.header("connection"), some(eq("close")))?;
    verify_that!(proxy.exit_code().await, some(eq(0)))?;
    // No connection was open any more, so the process did not wait for the end of the grace period.
    verify_that!(terminated_at.elapsed(), lt(GRACE.mul_f64(0.9)))
}

/// Guards `DRAIN_END_SHARE`: a request that never ends does not keep the process running beyond it.
#[tokio::test]
async fn a_draining_proxy_exits_within_the_grace_period_despite_open_requests(
) -> googletest::Result<()> {
    let mut server = Server::start().await;
    let route = RouteSpec {
        timeout: Duration::from_millis(60_000),
        ..READONLY_ROUTE
    };
    let items = vec![service("s", 1, 10.0), route.item()];
    let (mut proxy, _session) = Proxy::start_ready(
        Bounds {
            grace: "6s",
            ..DEFAULT_BOUNDS
        },
        items,
        vec![instance("i-1", server.address)],
    )
    .await;
    let mut client = proxy.connect().await;
    client
        .send(
            "GET",
            "/read/a",
            &[("try-id", "t1"), ("deadline", "60000")],
            b"",
        )
        .await;
    let _in_progress = server.next_request().await;
    let terminated_at = Instant::now();
    proxy.terminate();
    verify_that!(proxy.exit_code().await, some(eq(0)))?;
    verify_that!(
        terminated_at.elapsed(),
        all![gt(Duration::from_secs(5)), lt(Duration::from_secs(6))]
    )
}

/// A proxy with this grace period, a route, and a server.
async fn start_proxy(grace: &'static str) -> (Proxy, Server) {
    let server = Server::start().await;
    let items = vec![service("s", 1, 10.0), READONLY_ROUTE.item()];
    let bounds = Bounds {
        grace,
        ..DEFAULT_BOUNDS
    };
    let instances = vec![instance("i-1", server.address)];
    let (proxy, _session) = Proxy::start_ready(bounds, items, instances).await;
    (proxy, server)
}

/// Guards the closing of connections that have sent no request: one could arrive so late that its server would still be
/// working on it when the process exits.
#[tokio::test]
async fn a_connection_without_a_request_is_closed_with_the_listener() -> googletest::Result<()> {
    let grace = Duration::from_secs(4);
    let (mut proxy, _server) = start_proxy("4s").await;
    let mut silent = TcpStream::connect(proxy.http).await?;
    proxy.wait_readiness(200).await;
    proxy.terminate();
    let ended = timeout(grace.mul_f64(0.6), silent.read(&mut [0])).await;
    verify_that!(matches!(ended, Ok(Ok(0))), eq(true))?;
    verify_that!(proxy.exit_code().await, some(eq(0)))
}

#[tokio::test]
async fn a_request_completed_late_in_the_grace_period_is_rejected() -> googletest::Result<()> {
    let grace = Duration::from_secs(4);
    let (mut proxy, mut server) = start_proxy("4s").await;
    let mut slow = TcpStream::connect(proxy.http).await?;
    slow.write_all(b"GET /read/a HTTP/1.1\r\nHost: a.example\r\n")
        .await?;
    proxy.wait_readiness(200).await;
    let terminated_at = tokio::time::Instant::now();
    proxy.terminate();
    sleep_until(terminated_at + grace.mul_f64(0.6)).await;
    slow.write_all(b"Try-Id: t1\r\n\r\n").await?;
    let mut response = Vec::new();
    timeout(grace, slow.read_to_end(&mut response)).await??;
    let response = String::from_utf8(response)?.to_lowercase();
    verify_that!(response, starts_with("http/1.1 503 "))?;
    verify_that!(response, contains_substring("connection: close"))?;
    verify_that!(server.has_no_request(), eq(true))?;
    verify_that!(proxy.exit_code().await, some(eq(0)))
}
