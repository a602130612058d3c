//! Changes of routes while a request of such a route is in flight.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, next_request_at_either, service, two_servers, Proxy, RouteSpec, DEFAULT_BOUNDS,
    MUTATING_ROUTE, READONLY_ROUTE,
};
use emberpin_config::Item;
use googletest::prelude::*;
use std::time::Duration;

/// The mutating route with another time-out.
const SHORTER_TIMEOUT: RouteSpec = RouteSpec {
    timeout: Duration::from_millis(6_000),
    version: 2,
    ..MUTATING_ROUTE
};
/// The mutating route with another latency target.
const OTHER_LATENCY_TARGET: RouteSpec = RouteSpec {
    latency_target: Duration::from_millis(700),
    version: 2,
    ..MUTATING_ROUTE
};
/// A route that takes the requests over from the mutating route, as its prefix is longer.
const LONGER_PREFIX: RouteSpec = RouteSpec {
    name: "write-a",
    prefix: "/write/a/",
    timeout: Duration::from_millis(6_000),
    ..MUTATING_ROUTE
};
/// The mutating route, moved to a service without servers.
const MOVED_AWAY: RouteSpec = RouteSpec {
    service: "elsewhere",
    version: 2,
    ..MUTATING_ROUTE
};
/// The route of [`MOVED_AWAY`], moved back with another time-out.
const MOVED_BACK: RouteSpec = RouteSpec {
    timeout: Duration::from_millis(6_000),
    version: 3,
    ..MUTATING_ROUTE
};
/// The mutating route, whose requests may now be repeated.
const TURNED_READONLY: RouteSpec = RouteSpec {
    kind: "readonly",
    version: 2,
    ..MUTATING_ROUTE
};

/// How a server ends an attempt whose request it may have run.
#[derive(Clone, Copy, Debug)]
enum FailedRun {
    OwnError,
    ClosedConnection,
}

/// Applies these changes one by one while a mutating request is at a server, serves a readonly request after them, and
/// lets the attempt fail. Returns the status that the client gets; `None` if a server receives the request again.
async fn status_after_changes(changes: &[Item], end: FailedRun) -> googletest::Result<Option<u16>> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let mut client = proxy.connect().await;
    let headers = [("try-id", "t1"), ("deadline", "8000")];
    client.send("POST", "/write/a/b", &headers, b"once").await;
    let (running, _, _) = next_request_at_either(&mut one, &mut other).await;
    for change in changes {
        session.send_changes(vec![change.clone()], vec![]).await;
    }
    let serving = async {
        let (request, _, _) = next_request_at_either(&mut one, &mut other).await;
        request.respond(200, &[], "read").await;
    };
    let (response, ()) = tokio::join!(proxy.request("GET", "/read/a", "t2"), serving);
    verify_that!(response.status, eq(200))?;
    match end {
        FailedRun::OwnError => running.respond(500, &[], "failed").await,
        FailedRun::ClosedConnection => drop(running),
    }
    let repeated = next_request_at_either(&mut one, &mut other);
    tokio::select! {
        status = client.status() => Ok(status),
        _ = repeated => Ok(None),
    }
}

/// Guards the mutating request whose traffic class was freed by a change of its route, and reused for idempotent
/// requests (review/5, TWICE).
#[tokio::test]
async fn a_change_of_its_route_does_not_make_a_running_mutating_request_repeatable(
) -> googletest::Result<()> {
    let changes = [
        vec![SHORTER_TIMEOUT.item()],
        vec![OTHER_LATENCY_TARGET.item()],
        vec![LONGER_PREFIX.item()],
        vec![TURNED_READONLY.item()],
        vec![MOVED_AWAY.item(), MOVED_BACK.item()],
    ];
    for changes in changes {
        for (end, status) in [
            (FailedRun::OwnError, 500),
            (FailedRun::ClosedConnection, 502),
        ] {
            let got = status_after_changes(&changes, end).await?;
            verify_that!(got, some(eq(status)))
                .with_failure_message(|| format!("{changes:?}, {end:?}"))?;
        }
    }
    Ok(())
}

/// Guards `RouteRequest::repeatability`: a request that arrived on a mutating route and is routed again by a readonly one may have run
/// after that, and its client does not expect a repetition.
#[tokio::test]
async fn a_mutating_request_is_not_repeatable_after_its_route_became_readonly(
) -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let items = vec![
        service("s", 1, 10.0),
        READONLY_ROUTE.item(),
        RouteSpec {
            max_attempts: 4,
            ..MUTATING_ROUTE
        }
        .item(),
    ];
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
    let mut client = proxy.connect().await;
    let headers = [("try-id", "t1"), ("deadline", "8000")];
    client.send("POST", "/write/a", &headers, b"once").await;
    let (rejected, _, _) = next_request_at_either(&mut one, &mut other).await;
    let change = RouteSpec {
        max_attempts: 4,
        ..TURNED_READONLY
    };
    session.send_changes(vec![change.item()], vec![]).await;
    rejected.respond(503, &[("not-run", "1")], "").await;
    let (routed_again, _, _) = next_request_at_either(&mut one, &mut other).await;
    drop(routed_again);
    let repeated = next_request_at_either(&mut one, &mut other);
    tokio::select! {
        status = client.status() => verify_that!(status, some(eq(502))),
        (repeated, _, _) = repeated => fail!("run again: {}", repeated.message.first_line),
    }
}
