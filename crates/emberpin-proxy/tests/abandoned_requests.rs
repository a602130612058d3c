//! Requests whose client disconnects, and requests that reach their route's time-out.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    instance, service, start_with_one_server, Client, Proxy, RouteSpec, Server, DEFAULT_BOUNDS,
    READONLY_ROUTE,
};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout};

/// Time limit for a client's disconnection to take effect at the servers.
const CANCELLATION_LIMIT: Duration = Duration::from_millis(500);

/// A request on the readonly route whose client would wait for 8 s.
async fn send_long_request(client: &mut Client) {
    let headers = [("try-id", "t1"), ("deadline", "8000")];
    client.send("GET", "/read/a", &headers, b"").await;
}

#[tokio::test]
async fn an_idempotent_request_is_cancelled_at_its_server_when_the_client_disconnects(
) -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    send_long_request(&mut client).await;
    let mut in_progress = server.next_request().await;
    drop(client);
    let ended = timeout(CANCELLATION_LIMIT, in_progress.stream.read(&mut [0])).await;
    verify_that!(matches!(ended, Ok(Ok(0) | Err(_))), eq(true))
}

#[tokio::test]
async fn a_request_is_not_retried_once_its_client_has_disconnected() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    send_long_request(&mut client).await;
    let in_progress = server.next_request().await;
    drop(client);
    sleep(CANCELLATION_LIMIT).await;
    // The attempt fails only now, when no client waits for a retry.
    drop(in_progress);
    sleep(CANCELLATION_LIMIT).await;
    verify_that!(server.has_no_request(), eq(true))
}

#[tokio::test]
async fn a_client_gets_a_response_at_the_timeout_of_its_route() -> googletest::Result<()> {
    let route_timeout = Duration::from_millis(700);
    let mut server = Server::start().await;
    let route = RouteSpec {
        timeout: route_timeout,
        latency_target: Duration::from_millis(600),
        max_attempts: 1,
        ..READONLY_ROUTE
    };
    let (proxy, _session) = Proxy::start_ready(
        DEFAULT_BOUNDS,
        vec![service("s", 1, 10.0), route.item()],
        vec![instance("i-1", server.address)],
    )
    .await;
    let mut client = proxy.connect().await;
    let sent_at = Instant::now();
    send_long_request(&mut client).await;
    let _silent_request = server.next_request().await;
    let status = client.status().await;
    verify_that!(status, some(any![eq(503), eq(504), eq(502)]))?;
    verify_that!(
        sent_at.elapsed(),
        all![
            // The response is sent shortly before the time-out, so that it arrives in time.
            ge(route_timeout - Duration::from_millis(50)),
            le(route_timeout + Duration::from_millis(250))
        ]
    )
}
