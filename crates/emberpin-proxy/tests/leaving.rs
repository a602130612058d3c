//! How the proxy leaves after SIGTERM, as a process.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, service, Figures, Proxy, RouteTo, Server, FIGURES, READ};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use tokio::time::{sleep_until, timeout};

/// Long enough for patience to end within the part of it in which new connections are taken.
const GRACE: Duration = Duration::from_secs(12);
/// Of a route with this aim a server is left after 3.4 s, were it not for the leaving.
const AIM_MS: u32 = 4_000;
const PATIENCE: Duration = Duration::from_millis(3_400);

/// Holds `leave` on view and reception, `leaving` in `overdue`, `LEAVING_PART`, and the end once all is
/// answered.
#[tokio::test]
async fn it_leaves_in_order() -> googletest::Result<()> {
    let (mut one, mut other) = (Server::anywhere().await, Server::anywhere().await);
    let instances = vec![instance("i-1", one.address), instance("i-2", other.address)];
    let items = vec![
        service("s", 1, 10.0),
        RouteTo {
            aim_ms: AIM_MS,
            ..READ
        }
        .item(),
    ];
    let (mut proxy, _session) = Proxy::ready(
        Figures {
            grace: "12s",
            ..FIGURES
        },
        items,
        instances,
    )
    .await;
    let mut client = proxy.client().await;
    client
        .send(
            "GET",
            "/read/a",
            &[("try-id", "t1"), ("deadline", "8000")],
            b"",
        )
        .await;
    let (mut at_work, free) = tokio::select! {
        asked = one.next() => (asked, &mut other),
        asked = other.next() => (asked, &mut one),
    };
    let asked = tokio::time::Instant::now();
    let begun = Instant::now();
    proxy.terminate();
    proxy.is_ready(false).await;
    // A probe a second would miss hardly one.
    verify_that!(begun.elapsed(), lt(Duration::from_secs(1)))?;
    // A new connection is taken, and told to go.
    let answering = async { free.next().await.answer(200, &[], "new").await };
    let (answered, ()) = tokio::join!(proxy.ask("GET", "/read/a", "t2"), answering);
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "new"))
    )?;
    verify_that!(answered.read.header("connection"), some(eq("close")))?;
    // What its server is at work on is waited for.
    let patient = timeout(
        PATIENCE + Duration::from_secs(1),
        at_work.stream.peek(&mut [0]),
    )
    .await;
    verify_that!(patient.is_err(), eq(true))?;
    sleep_until(asked + PATIENCE + Duration::from_millis(500)).await;
    verify_that!(free.is_unasked(), eq(true))?;
    at_work.write(&at_work.worded(200, &[], "done")).await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "done"))
    )?;
    verify_that!(answered.read.header("connection"), some(eq("close")))?;
    verify_that!(proxy.ended().await, some(eq(0)))?;
    // Nothing was open any more: not a wait for the end of the grace.
    verify_that!(begun.elapsed(), lt(GRACE.mul_f64(0.9)))
}

/// Holds `GRACE_PART`: a request without an end does not hold it beyond.
#[tokio::test]
async fn it_ends_within_the_grace_whatever_is_open() -> googletest::Result<()> {
    let mut server = Server::anywhere().await;
    let route = RouteTo {
        timeout_ms: 60_000,
        ..READ
    };
    let items = vec![service("s", 1, 10.0), route.item()];
    let (mut proxy, _session) = Proxy::ready(
        Figures {
            grace: "6s",
            ..FIGURES
        },
        items,
        vec![instance("i-1", server.address)],
    )
    .await;
    let mut client = proxy.client().await;
    client
        .send(
            "GET",
            "/read/a",
            &[("try-id", "t1"), ("deadline", "60000")],
            b"",
        )
        .await;
    let _at_work = server.next().await;
    let begun = Instant::now();
    proxy.terminate();
    verify_that!(proxy.ended().await, some(eq(0)))?;
    verify_that!(
        begun.elapsed(),
        all![gt(Duration::from_secs(5)), lt(Duration::from_secs(6))]
    )
}
