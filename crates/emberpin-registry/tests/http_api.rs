//! The HTTP API: invalid calls, redirects of a partitioned registry, and truncated bodies.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    call, call_once_confirmed, connect, heartbeat, item, loopback, FakeStore, ProxySession,
    RegistryProcess, HTTP_PORT, TEST_TIMEOUT,
};
use emberpin_config::ItemKind;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The time within which a partitioned registry must respond to an operator's call.
const IMMEDIATE_RESPONSE: Duration = Duration::from_millis(300);

#[tokio::test]
async fn invalid_calls_are_rejected_with_field_and_reason() -> googletest::Result<()> {
    let local = loopback(2, 1);
    let _registry = RegistryProcess::start(local, &[local]);
    let too_long = " ".repeat(9 << 20);
    let without_state = heartbeat("a", 80, "", 1);
    let cases = [
        ("GET", "/nothing", "", 404, "/nothing"),
        ("POST", "/instances//heartbeat", "", 404, "no such call"),
        ("GET", "/config/patch", "", 405, "POST"),
        ("POST", "/locks", "", 405, "GET"),
        ("GET", "/locks/l", "", 404, "/locks/l"),
        // The settings of this registry do not enable coordination.
        ("GET", "/locks?after=a%20b", "", 404, "no such call"),
        ("POST", "/instances/i-1/heartbeat", "{", 400, "body"),
        (
            "POST",
            "/instances/i-1/heartbeat",
            without_state.as_str(),
            400,
            "stat.state: expected up or drain",
        ),
        (
            "POST",
            "/config/patch",
            too_long.as_str(),
            413,
            "body: more than",
        ),
    ];
    for (method, path, body, expected, reason) in cases {
        let (status, response) = call(local, method, path, body).await;
        verify_that!((path, status), eq((path, expected)))?;
        verify_that!(response, contains_substring(reason))?;
    }
    // No store runs on any machine. The response must come in time for the client to try another registry.
    let called_at = Instant::now();
    let (status, response) = call(local, "POST", "/config/patch", "{}").await;
    verify_that!((status, response.contains("retry-after")), eq((503, true)))?;
    verify_that!(called_at.elapsed(), lt(Duration::from_secs(1)))
}

#[tokio::test]
async fn a_call_at_a_partitioned_registry_is_redirected_once_and_immediately(
) -> googletest::Result<()> {
    let machines = [loopback(10, 1), loopback(10, 2), loopback(10, 3)];
    FakeStore::new(&machines).partitioned().serve(machines[0]);
    FakeStore::new(&machines).serve(machines[1]);
    let _partitioned = RegistryProcess::start(machines[0], &machines);
    let calls = [
        ("POST", "/config/patch", "{}"),
        ("GET", "/config/get", ""),
        ("POST", "/evac/north/begin", ""),
        ("POST", "/evac/no%20rth/finish", ""),
    ];
    // The partitioned registry knows of no other registry that could serve the calls.
    for (method, path, body) in calls {
        let (status_and_response, took) = timed_call(machines[0], method, path, body).await;
        verify_that!(
            (path, status_and_response.0, took < IMMEDIATE_RESPONSE),
            eq((path, 503, true))
        )?;
    }
    let _confirmed = RegistryProcess::start(machines[1], &machines);
    let mut proxy = ProxySession::open(machines[1]).await;
    proxy.wait_until_confirmed().await;
    let mut retry = tokio::time::interval(Duration::from_millis(20));
    let started_at = Instant::now();
    // The partitioned registry learns that the other one is confirmed from the next heartbeat between them.
    while call(machines[0], "GET", "/config/get", "").await.0 != 307 {
        retry.tick().await;
        verify_that!(started_at.elapsed(), lt(TEST_TIMEOUT))?;
    }
    for (method, path, body) in calls {
        let ((status, response), took) = timed_call(machines[0], method, path, body).await;
        verify_that!(
            (path, status, took < IMMEDIATE_RESPONSE),
            eq((path, 307, true))
        )?;
        let location = format!("location: http://{}:8649{path}?sent-on\r\n", machines[1]);
        verify_that!(response, contains_substring(location))?;
        let redirected = format!("{path}?sent-on");
        let ((status, _), took) = timed_call(machines[0], method, &redirected, body).await;
        verify_that!(
            (path, status, took < IMMEDIATE_RESPONSE),
            eq((path, 503, true))
        )?;
        let (status, response) = call(machines[1], method, &redirected, body).await;
        if !path.starts_with("/evac/") {
            verify_that!((path, status), eq((path, 200)))?;
            continue;
        }
        // The second redirect, which is the last one, names the version of the evacuation.
        verify_that!((path, status), eq((path, 307)))?;
        let with_version = format!("{redirected}&evac-version=0");
        let location = format!("location: http://here{with_version}\r\n");
        verify_that!(response, contains_substring(location))?;
        let (status, _) = call(machines[1], method, &with_version, body).await;
        verify_that!((path, status), eq((path, 200)))?;
    }
    Ok(())
}

#[tokio::test]
async fn an_evacuation_is_changed_only_by_a_request_with_its_version() -> googletest::Result<()> {
    let local = loopback(15, 1);
    let items = vec![item(ItemKind::Evacuation, "north", 7, Some("{}"))];
    FakeStore::new(&[local]).with_items(items).serve(local);
    let _registry = RegistryProcess::start(local, &[local]);
    let path = "/evac/north/finish";
    let (status, response) = call_once_confirmed(local, "POST", path, "").await;
    verify_that!(status, eq(307))?;
    let location = format!("location: http://here{path}?evac-version=7\r\n");
    verify_that!(response, contains_substring(location))?;
    // The body of the stand-in store's response describes the request that it received.
    let (status, response) = call(local, "POST", &format!("{path}?evac-version=7"), "").await;
    verify_that!(status, eq(200))?;
    verify_that!(response, ends_with("\r\n\r\nnorth End 7"))?;
    // An invalid version counts as absent.
    let (status, _) = call(local, "POST", &format!("{path}?evac-version=x"), "").await;
    verify_that!(status, eq(307))
}

/// Makes a call. Returns its status and response, and the time until the response.
async fn timed_call(
    ip: Ipv4Addr,
    method: &str,
    path: &str,
    body: &str,
) -> ((u16, String), Duration) {
    let called_at = Instant::now();
    let status_and_response = call(ip, method, path, body).await;
    let took = called_at.elapsed();
    println!("{method} {path}: {} after {took:?}", status_and_response.0);
    (status_and_response, took)
}

#[tokio::test]
async fn truncated_bodies_time_out_and_delay_no_other_call() -> googletest::Result<()> {
    let local = loopback(9, 1);
    FakeStore::new(&[local]).serve(local);
    let _registry = RegistryProcess::start(local, &[local]);
    // The registry forwards no call before the store has confirmed its items. Without this wait, the call below would
    // not show whether truncated bodies delay it.
    let (status, _) = call_once_confirmed(local, "POST", "/config/patch", "{}").await;
    verify_that!(status, eq(200))?;
    let mut truncated = Vec::new();
    for _ in 0..30 {
        let mut stream = connect(local, HTTP_PORT).await;
        let part = "POST /config/patch HTTP/1.1\r\nHost: here\r\nContent-Length: 100000\r\n\r\n{";
        stream.write_all(part.as_bytes()).await?;
        truncated.push(stream);
    }
    let called_at = Instant::now();
    let (status, _) = call(local, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, called_at.elapsed() < Duration::from_millis(900)),
        eq((200, true))
    )?;
    let mut response = vec![0; 12];
    tokio::time::timeout(TEST_TIMEOUT / 2, truncated[0].read_exact(&mut response)).await??;
    verify_that!(String::from_utf8(response)?.as_str(), eq("HTTP/1.1 408"))
}
