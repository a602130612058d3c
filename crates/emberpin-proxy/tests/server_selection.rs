//! Which servers get requests while some are unreachable, draining or in an evacuated zone.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{default_items, instance, item, poll_until, Bounds, Proxy, Server, DEFAULT_BOUNDS};
use emberpin_balancer::Outcome;
use emberpin_config::ItemKind;
use emberpin_limiter::host::{
    LimiterMetrics, Pool, PoolLimits, RequestBody, ServerInstance, SocketBudget, Upstream,
    UpstreamRequest,
};
use emberpin_membership::instance::{Instance, Status};
use emberpin_proxy::wire::GatewayWire;
use googletest::prelude::*;
use hyper::header::HeaderMap;
use std::future::{poll_fn, Future};
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// A typical retry budget, which allows a new proxy no retry before ten requests.
const USUAL_RETRY_BUDGET: Bounds = Bounds {
    retry_ratio: 0.2,
    retry_extra: 60,
    ..DEFAULT_BOUNDS
};

/// A bound socket that does not listen yet, and its address.
fn unreachable_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("bound");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

fn in_other_zone(instance: Instance) -> Instance {
    Instance {
        zone: "south".into(),
        ..instance
    }
}

/// Sends requests to the proxy until this server receives one.
async fn wait_until_requested(proxy: &Proxy, server: &mut Server) {
    let mut number = 0;
    let requesting = async {
        loop {
            number += 1;
            proxy
                .request("GET", "/read/a", &format!("again-{number}"))
                .await;
        }
    };
    let request = tokio::select! {
        request = server.next_request() => request,
        () = requesting => return,
    };
    request.respond(200, &[], "back").await;
}

/// Guards `on_server_unreachable`, the probing and `mark_reachable`; and that attempts of which no byte was sent need
/// no retry budget.
#[tokio::test]
async fn an_unreachable_server_is_avoided_until_it_accepts_connections() -> googletest::Result<()> {
    let (socket, address) = unreachable_address();
    let other = Server::start().await;
    // The proxy's own zone is preferred, so the first request goes to the unreachable server.
    let instances = vec![
        instance("i-closed", address),
        in_other_zone(instance("i-open", other.address)),
    ];
    other.serve_all("open");
    let (proxy, _session) =
        Proxy::start_ready(USUAL_RETRY_BUDGET, default_items(), instances).await;
    for number in 0..10 {
        let started = Instant::now();
        let response = proxy
            .request("POST", "/write/a", &format!("t{number}"))
            .await;
        verify_that!(
            (response.status, response.text().as_str()),
            eq((200, "open"))
        )?;
        verify_that!(started.elapsed(), lt(Duration::from_secs(3)))?;
    }
    let mut server = Server::on(socket.listen(16)?);
    wait_until_requested(&proxy, &mut server).await;
    Ok(())
}

/// Guards `unreachable` in `is_in_service`: an attempt at an unreachable server would wait for the whole connect
/// time-out.
#[tokio::test]
async fn no_attempt_is_sent_to_an_unreachable_server() -> googletest::Result<()> {
    let (socket, address) = unreachable_address();
    // One connection that is not accepted fills the backlog, and the system does not respond to further ones.
    let _listener = socket.listen(0)?;
    let _filler = TcpStream::connect(address).await?;
    let (proxy, _session) = Proxy::start_ready(
        USUAL_RETRY_BUDGET,
        default_items(),
        vec![instance("i-1", address)],
    )
    .await;
    let started = Instant::now();
    let first = proxy.request("POST", "/write/a", "t0").await;
    verify_that!(first.status, eq(503))?;
    verify_that!(started.elapsed(), ge(Duration::from_millis(150)))?;
    let mut shortest = Duration::MAX;
    for number in 1..=10 {
        let started = Instant::now();
        let response = proxy
            .request("POST", "/write/a", &format!("t{number}"))
            .await;
        verify_that!(response.status, eq(503))?;
        verify_that!(response.message.header("retry-after"), some(anything()))?;
        shortest = shortest.min(started.elapsed());
    }
    // The machine may be busy, so the shortest of ten times counts; an attempt at the server would take longer.
    verify_that!(shortest, lt(Duration::from_millis(100)))
}

/// Guards the condition `available` of `unreachable` in `update_endpoint`: a server that is not available is not probed,
/// so it must not stay marked as unreachable.
#[tokio::test]
async fn a_server_that_was_unreachable_before_an_evacuation_gets_requests_after_it(
) -> googletest::Result<()> {
    let (socket, address) = unreachable_address();
    let other = Server::start().await;
    let instances = vec![
        instance("i-closed", address),
        in_other_zone(instance("i-open", other.address)),
    ];
    other.serve_all("open");
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    verify_that!(
        proxy.request("GET", "/read/a", "t0").await.text(),
        eq("open")
    )?;
    session
        .send_changes(
            vec![item(ItemKind::Evacuation, "north", 1, Some("{}".into()))],
            vec![],
        )
        .await;
    // Long enough for the health check to end, as no request may be sent to the server.
    let started = Instant::now();
    poll_until("time to pass", || async {
        (started.elapsed() > Duration::from_millis(1_200)).then_some(())
    })
    .await;
    session
        .send_changes(vec![item(ItemKind::Evacuation, "north", 2, None)], vec![])
        .await;
    let mut server = Server::on(socket.listen(16)?);
    wait_until_requested(&proxy, &mut server).await;
    Ok(())
}

/// Guards `Status::Draining` in the connections, which are closed, and in the membership entry for the decision module.
#[tokio::test]
async fn a_draining_server_gets_no_new_requests() -> googletest::Result<()> {
    let (mut draining, other) = (Server::start().await, Server::start().await);
    let instances = vec![
        instance("i-1", draining.address),
        in_other_zone(instance("i-2", other.address)),
    ];
    other.serve_all("other");
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        draining
            .next_request()
            .await
            .respond(200, &[], "here")
            .await;
    };
    let (response, ()) = tokio::join!(proxy.request("GET", "/read/a", "t0"), serving);
    verify_that!(response.text(), eq("here"))?;
    // A request in progress at the draining server is not interrupted.
    let mut client_in_flight = proxy.connect().await;
    client_in_flight
        .send(
            "POST",
            "/write/a",
            &[("try-id", "t1"), ("deadline", "8000")],
            b"",
        )
        .await;
    let in_progress = draining.next_request().await;
    let draining_instance = Instance {
        seq: 2,
        status: Status::Draining,
        ..instance("i-1", draining.address)
    };
    session.send_changes(vec![], vec![draining_instance]).await;
    in_progress.respond(200, &[], "done").await;
    verify_that!(
        client_in_flight
            .response()
            .await
            .map(|response| response.text()),
        some(eq("done"))
    )?;
    // Both servers are idle, and the draining one is in the proxy's own zone.
    for number in 2..12 {
        let response = proxy.request("GET", "/read/a", &format!("t{number}")).await;
        verify_that!(
            (response.status, response.text().as_str()),
            eq((200, "other"))
        )?;
    }
    verify_that!(draining.has_no_request(), eq(true))
}

/// Guards the application of evacuation items, and of their removal, to the decision module.
#[tokio::test]
async fn an_evacuated_zone_gets_no_new_requests() -> googletest::Result<()> {
    let (mut near, other) = (Server::start().await, Server::start().await);
    let instances = vec![
        instance("i-1", near.address),
        in_other_zone(instance("i-2", other.address)),
    ];
    other.serve_all("other");
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    session
        .send_changes(
            vec![item(ItemKind::Evacuation, "north", 1, Some("{}".into()))],
            vec![],
        )
        .await;
    for number in 0..10 {
        let response = proxy.request("GET", "/read/a", &format!("t{number}")).await;
        verify_that!(
            (response.status, response.text().as_str()),
            eq((200, "other"))
        )?;
    }
    // An instance that starts there in the meantime gets none either.
    let mut started_later = Server::start().await;
    session
        .send_changes(vec![], vec![instance("i-3", started_later.address)])
        .await;
    verify_that!(
        proxy.request("GET", "/read/a", "t10").await.text(),
        eq("other")
    )?;
    verify_that!(
        near.has_no_request() && started_later.has_no_request(),
        eq(true)
    )?;
    session
        .send_changes(vec![item(ItemKind::Evacuation, "north", 2, None)], vec![])
        .await;
    wait_until_requested(&proxy, &mut near).await;
    Ok(())
}

/// Asserts that no byte of a request is written if `change` happens while its attempt waits for a connection.
async fn expect_unsent_after(
    change: impl FnOnce(&Upstream, &UpstreamRequest),
) -> googletest::Result<()> {
    let mut server = Server::start().await;
    let limits = PoolLimits {
        connect_timeout: common::WAIT_LIMIT,
        idle_timeout: common::WAIT_LIMIT,
        max_idle_per_server: 4,
        sockets: 40,
        unacknowledged_timeout: None,
        buffered_response_bytes: 1 << 20,
    };
    let limiter_metrics = LimiterMetrics::new(&["all".to_string()]).expect("figures");
    let pool = Pool::new(
        limits,
        Rc::new(GatewayWire),
        limiter_metrics,
        Rc::new(SocketBudget::new(None)),
    );
    let upstream = Upstream::new(
        ServerInstance {
            address: server.address,
            boot_ms: 0.0,
        },
        pool,
    );
    let outgoing = UpstreamRequest {
        method: "POST".parse()?,
        uri: "/write/a".parse()?,
        headers: HeaderMap::new(),
        body: RequestBody::Buffered(bytes::Bytes::new()),
        may_stream: true,
        max_idle_time: None,
        attempt_check: None,
        withdrawn: Default::default(),
        used_upstreams: Default::default(),
    };
    let (_cancel, cancelled) = oneshot::channel();
    let outgoing = Rc::new(outgoing);
    let mut attempt =
        pin!(upstream
            .clone()
            .attempt(outgoing.clone(), common::WAIT_LIMIT, cancelled));
    // Polled once, the attempt has begun to connect; no other task has run yet.
    poll_fn(|context| {
        assert!(attempt.as_mut().poll(context).is_pending());
        std::task::Poll::Ready(())
    })
    .await;
    change(&upstream, &outgoing);
    let ended = timeout(common::WAIT_LIMIT, attempt).await?;
    verify_that!((ended.outcome, ended.sent), eq((Outcome::NotSent, false)))?;
    verify_that!(server.has_no_request(), eq(true))
}

/// Guards the check of `is_open` between the connection's establishment and the first byte.
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_to_a_draining_server(
) -> googletest::Result<()> {
    expect_unsent_after(|upstream, _| upstream.close()).await
}

/// Guards the check of `withdrawn` at the same point, after the request's route has changed.
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_once_withdrawn() -> googletest::Result<()>
{
    expect_unsent_after(|_, outgoing| outgoing.withdrawn.set(true)).await
}
