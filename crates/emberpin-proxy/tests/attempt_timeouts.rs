//! When an attempt at a server that does not respond is timed out, and when it is awaited.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, instance, next_request_at_either, read_message, service, two_servers,
    BodyFraming, Bounds, MessageKind, Proxy, RouteSpec, Server, Uploader, DEFAULT_BOUNDS,
    MUTATING_ROUTE, READONLY_ROUTE,
};
use emberpin_membership::instance::Instance;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};

/// Latency target of a route whose attempts are overdue after 340 ms: before the decision module has measured any
/// response, it allows an attempt 85 % of its latency target.
const SHORT_LATENCY_TARGET: Duration = Duration::from_millis(400);
/// A multiple of the time after which an attempt is overdue, and shorter than the client's deadline.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Guards `Engine::time_out` in `on_attempt_overdue`: the only case in which an attempt is not awaited.
#[tokio::test]
async fn an_overdue_attempt_is_timed_out_where_another_can_follow() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let items = vec![
        service("s", 1, 10.0),
        RouteSpec {
            latency_target: SHORT_LATENCY_TARGET,
            ..READONLY_ROUTE
        }
        .item(),
    ];
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
    let serving = async {
        let (mut silent, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        silent.wait_closed().await;
        let deadline = silent.deadline_ms();
        other_server
            .next_request()
            .await
            .respond(200, &[], "soon")
            .await;
        deadline
    };
    let (response, deadline) = tokio::join!(proxy.request("GET", "/read/a", "t1"), serving);
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "soon"))
    )?;
    // The request states the client's deadline, not the few hundred milliseconds allowed for the attempt.
    verify_that!(deadline, some(all![gt(7_000), le(8_000)]))
}

/// Asserts that an attempt at a silent server is awaited, and that its request states the client's deadline.
async fn expect_attempt_is_awaited(
    bounds: Bounds,
    max_attempts: u32,
    instances: Vec<Instance>,
    mut servers: Vec<Server>,
) -> googletest::Result<()> {
    let route = RouteSpec {
        latency_target: SHORT_LATENCY_TARGET,
        max_attempts,
        timeout: Duration::from_millis(5_000),
        ..READONLY_ROUTE
    };
    let (proxy, _session) =
        Proxy::start_ready(bounds, vec![service("s", 1, 10.0), route.item()], instances).await;
    let mut client = proxy.connect().await;
    client
        .send(
            "GET",
            "/read/a",
            &[("try-id", "t1"), ("deadline", "4000")],
            b"",
        )
        .await;
    let (first, second) = servers.split_at_mut(1);
    let silent = match second {
        [] => first[0].next_request().await,
        [second, ..] => next_request_at_either(&mut first[0], second).await.0,
    };
    let deadline = silent.deadline_ms();
    verify_that!(deadline, some(all![gt(3_000), le(4_000)]))?;
    let mut byte = [0];
    let closed = tokio::time::timeout(SILENCE, silent.stream.peek(&mut byte)).await;
    verify_that!(closed.is_err(), eq(true))?;
    silent.respond(200, &[], "late").await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "late"))
    )?;
    for server in &mut servers {
        verify_that!(server.has_no_request(), eq(true))?;
    }
    Ok(())
}

/// Guards `max_attempts` in `on_attempt_overdue`.
#[tokio::test]
async fn an_attempt_is_awaited_where_the_route_allows_no_retry() -> googletest::Result<()> {
    let (one, other, instances) = two_servers().await;
    expect_attempt_is_awaited(DEFAULT_BOUNDS, 1, instances, vec![one, other]).await
}

/// Guards the retry budget in `on_attempt_overdue`.
#[tokio::test]
async fn an_attempt_is_awaited_where_the_retry_budget_is_spent() -> googletest::Result<()> {
    let (one, other, instances) = two_servers().await;
    expect_attempt_is_awaited(
        Bounds {
            retry_ratio: 0.0,
            ..DEFAULT_BOUNDS
        },
        2,
        instances,
        vec![one, other],
    )
    .await
}

/// Guards `Gateway::would_retry` in `on_attempt_overdue`: a retry needs another server.
#[tokio::test]
async fn an_attempt_is_awaited_where_there_is_no_other_server() -> googletest::Result<()> {
    let server = Server::start().await;
    expect_attempt_is_awaited(
        DEFAULT_BOUNDS,
        2,
        vec![instance("i-1", server.address)],
        vec![server],
    )
    .await
}

/// Guards the idempotency of mutating routes in `Gateway::would_retry`.
#[tokio::test]
async fn an_attempt_is_awaited_where_the_request_may_not_run_twice() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let route = RouteSpec {
        latency_target: SHORT_LATENCY_TARGET,
        ..MUTATING_ROUTE
    };
    let (proxy, _session) = Proxy::start_ready(
        DEFAULT_BOUNDS,
        vec![service("s", 1, 10.0), route.item()],
        instances,
    )
    .await;
    let mut client = proxy.connect().await;
    client
        .send(
            "POST",
            "/write/a",
            &[("try-id", "t1"), ("deadline", "4000")],
            b"",
        )
        .await;
    let (silent, other_server, _) = next_request_at_either(&mut one, &mut other).await;
    let mut byte = [0];
    let closed = tokio::time::timeout(SILENCE, silent.stream.peek(&mut byte)).await;
    verify_that!(closed.is_err(), eq(true))?;
    verify_that!(other_server.has_no_request(), eq(true))?;
    silent.respond(200, &[], "late").await;
    verify_that!(client.status().await, some(eq(200)))
}

/// Guards `UpstreamRequest::is_replayable` in `Engine::time_out`: a long body that has been streamed cannot be sent
/// again, so that no retry is possible.
#[tokio::test]
async fn an_attempt_is_awaited_where_the_body_has_been_streamed() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let route = RouteSpec {
        latency_target: SHORT_LATENCY_TARGET,
        ..READONLY_ROUTE
    };
    let (proxy, _session) = Proxy::start_ready(
        DEFAULT_BOUNDS,
        vec![service("s", 1, 10.0), route.item()],
        instances,
    )
    .await;
    let mut client = proxy.connect().await;
    client
        .send(
            "POST",
            "/read/a",
            &[("try-id", "t1"), ("deadline", "4000")],
            &[b'x'; 200_000],
        )
        .await;
    let (silent, other_server, _) = next_request_at_either(&mut one, &mut other).await;
    verify_that!(silent.message.body.len(), eq(200_000))?;
    let mut byte = [0];
    let closed = tokio::time::timeout(SILENCE, silent.stream.peek(&mut byte)).await;
    verify_that!(closed.is_err(), eq(true))?;
    verify_that!(other_server.has_no_request(), eq(true))?;
    silent.respond(200, &[], "late").await;
    verify_that!(client.status().await, some(eq(200)))
}

/// Guards the detection of the end of a body with a stated length: the time limit of the route starts with the last
/// byte, and a request that was sent completely may have run.
#[tokio::test]
async fn an_attempt_with_a_long_body_ends_at_the_routes_timeout() -> googletest::Result<()> {
    let mut server = Server::start().await;
    let items = vec![
        service("s", 1, 10.0),
        RouteSpec {
            timeout: Duration::from_millis(600),
            ..MUTATING_ROUTE
        }
        .item(),
    ];
    let (proxy, _session) =
        Proxy::start_ready(DEFAULT_BOUNDS, items, vec![instance("i-1", server.address)]).await;
    let mut client = proxy.connect().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], &[b'x'; 200_000])
        .await;
    let mut silent = server.next_request().await;
    verify_that!(silent.message.body.len(), eq(200_000))?;
    silent.wait_closed().await;
    verify_that!(client.status().await, some(eq(502)))
}

/// Guards `Upload::stalled`: the time limit of the route also bounds an attempt whose server does not read the body, so
/// that the client can't send the end of it.
#[tokio::test]
async fn an_attempt_whose_server_does_not_read_the_body_ends_at_the_routes_timeout(
) -> googletest::Result<()> {
    /// More than the sockets between client and server hold.
    const BODY_BYTES: usize = 64 << 20;
    for framing in BodyFraming::ALL {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let items = vec![
            service("s", 1, 10.0),
            RouteSpec {
                timeout: Duration::from_millis(1_500),
                ..MUTATING_ROUTE
            }
            .item(),
        ];
        let instances = vec![instance("i-1", listener.local_addr()?)];
        let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
        let mut uploader = Uploader::start(&proxy, "/write/a", framing, BODY_BYTES).await;
        uploader.finish(&vec![b'x'; BODY_BYTES]).await;
        verify_that!(uploader.client.status().await, some(eq(502)))?;
    }
    Ok(())
}

/// Has a server read the body of a request only after a while. Returns the client's status.
async fn status_of_slowly_read_body(
    framing: BodyFraming,
    length: usize,
) -> googletest::Result<Option<u16>> {
    /// Several times the time after which a machine that acknowledges nothing counts as unreachable.
    const READ_AFTER: Duration = Duration::from_millis(2_000);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let instances = vec![instance("i-1", listener.local_addr()?)];
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        tokio::time::sleep(READ_AFTER).await;
        let message = read_message(&mut stream, MessageKind::Request).await;
        let response = b"HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s\r\ncontent-length: 0\r\n\r\n";
        _ = stream.write_all(response).await;
        (message, stream)
    });
    let mut uploader = Uploader::start(&proxy, "/write/a", framing, length).await;
    uploader.finish(&vec![b'x'; length]).await;
    let status = uploader.client.status().await;
    let (message, _stream) = serving.await?;
    verify_that!(message.is_some_and(|message| message.complete), eq(true))?;
    Ok(status)
}

/// Guards `limit_unacknowledged`: a server may read a long body later than its machine must acknowledge what arrives, as
/// one does whose slots are all in use.
#[tokio::test]
async fn a_server_may_be_slow_to_read_a_long_body() -> googletest::Result<()> {
    let cases = [
        (BodyFraming::Length, 65_536),
        (BodyFraming::Length, 1_000_000),
        (BodyFraming::Chunked, 1_000_000),
    ];
    let running = cases.map(|(framing, length)| {
        tokio::spawn(async move { status_of_slowly_read_body(framing, length).await })
    });
    for (case, running) in cases.into_iter().zip(running) {
        verify_that!(running.await??, some(eq(200)))
            .with_failure_message(|| format!("{case:?}"))?;
    }
    Ok(())
}

/// Guards `take_back_unsent_attempt`: a retry in whose favour an attempt was timed out, and whose server refuses the
/// connection, is still owed and paid for. Its request is sent to the next server, where the budget allows one retry.
#[tokio::test]
async fn a_granted_retry_that_was_not_sent_is_sent_to_the_next_server() -> googletest::Result<()> {
    let mut server = Server::start().await;
    let refusing = TcpSocket::new_v4()?;
    refusing.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let instances = vec![
        instance("i-1", server.address),
        Instance {
            zone: "south".into(),
            ..instance("i-2", refusing.local_addr()?)
        },
    ];
    let route = RouteSpec {
        latency_target: SHORT_LATENCY_TARGET,
        max_attempts: 3,
        ..READONLY_ROUTE
    };
    let items = vec![service("s", 1, 10.0), route.item()];
    // A proxy uses half of the budget: one retry for each request.
    let bounds = Bounds {
        retry_ratio: 2.0,
        ..DEFAULT_BOUNDS
    };
    let (proxy, _session) = Proxy::start_ready(bounds, items, instances).await;
    let serving = async {
        server.next_request().await.wait_closed().await;
        let retry = server.next_request().await;
        retry.respond(200, &[], "soon").await;
    };
    let response = tokio::select! {
        response = proxy.request("GET", "/read/a", "t1") => response,
        () = async { serving.await; std::future::pending().await } => return fail!("unreachable"),
    };
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "soon"))
    )
}

/// Guards `AttemptId` in `Input::Overdue`: the report that an attempt at the former service is overdue comes after its
/// request was routed again, and must not end the attempt at the new one.
#[tokio::test]
async fn an_overdue_report_does_not_end_the_attempt_of_a_request_that_was_routed_again(
) -> googletest::Result<()> {
    /// An attempt is overdue after 1,700 ms.
    const LATENCY_TARGET: Duration = Duration::from_millis(2_000);
    /// The first attempt ends this long before it would be overdue.
    const BEFORE_OVERDUE: Duration = Duration::from_millis(500);
    const ATTEMPT_TIME: Duration = Duration::from_millis(1_700);
    /// How long the second attempt is watched. It is not overdue itself yet.
    const WATCHED: Duration = Duration::from_millis(900);
    let mut former = Server::start().await;
    let (mut one, mut other, mut instances) = two_servers().await;
    for instance in &mut instances {
        instance.service = "t".into();
    }
    instances.push(instance("i-3", former.address));
    let route = RouteSpec {
        latency_target: LATENCY_TARGET,
        max_attempts: 4,
        ..READONLY_ROUTE
    };
    let moved = RouteSpec {
        service: "t",
        version: 2,
        ..route
    };
    let of_new_service = RouteSpec {
        service: "t",
        ..MUTATING_ROUTE
    };
    let items = vec![
        service("s", 1, 10.0),
        service("t", 1, 10.0),
        route.item(),
        of_new_service.item(),
    ];
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
    // The retry budget of the new service is a share of its requests.
    let serving = async {
        let (request, _, _) = next_request_at_either(&mut one, &mut other).await;
        request.respond(200, &[], "written").await;
    };
    let (response, ()) = tokio::join!(proxy.request("POST", "/write/a", "t0"), serving);
    verify_that!(response.status, eq(200))?;
    let mut client = proxy.connect().await;
    let headers = [("try-id", "t1"), ("deadline", "8000")];
    client.send("GET", "/read/a", &headers, b"").await;
    let rejecting = former.next_request().await;
    let begun = tokio::time::Instant::now();
    session.send_changes(vec![moved.item()], vec![]).await;
    tokio::time::sleep_until(begun + ATTEMPT_TIME - BEFORE_OVERDUE).await;
    rejecting.respond(503, &[("not-run", "1")], "").await;
    let (working, other_server, _) = next_request_at_either(&mut one, &mut other).await;
    let closed = tokio::time::timeout(WATCHED, working.stream.peek(&mut [0])).await;
    verify_that!(closed.is_err(), eq(true))?;
    verify_that!(other_server.has_no_request(), eq(true))?;
    working.respond(200, &[], "read").await;
    verify_that!(client.status().await, some(eq(200)))
}
