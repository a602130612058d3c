//! Whether a request is retried at another server, or fails, after an attempt.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, instance, next_request_at_either, read_message, service, two_servers,
    within_limit, Client, MessageKind, Proxy, ReceivedRequest, RouteSpec, Server, DEFAULT_BOUNDS,
    MUTATING_ROUTE, READONLY_ROUTE,
};
use emberpin_membership::instance::Instance;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Guards `Idempotency::Unsafe` of mutating routes.
#[tokio::test]
async fn a_mutating_request_that_may_have_run_is_not_retried() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (received, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        drop(received);
        other_server
    };
    let (response, other_server) = tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(response.status, eq(502))?;
    verify_that!(other_server.has_no_request(), eq(true))?;
    verify_that!(one.has_no_request() && other.has_no_request(), eq(true))
}

/// Guards `claims_not_run` in `GatewayWire::is_forwardable`, from server to client.
#[tokio::test]
async fn a_503_without_not_run_is_not_forwarded_to_the_client() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (received, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        received.respond(503, &[], "").await;
        other_server
    };
    let (response, other_server) = tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(response.status, eq(502))?;
    verify_that!(other_server.has_no_request(), eq(true))
}

/// Guards `Wire::is_forwardable`, from server to client.
#[tokio::test]
async fn a_servers_own_error_is_forwarded_unaltered() -> googletest::Result<()> {
    let mut server = Server::start().await;
    let (proxy, _session) = Proxy::start_ready(
        DEFAULT_BOUNDS,
        default_items(),
        vec![instance("i-1", server.address)],
    )
    .await;
    for status in [500, 504] {
        let serving = async {
            server
                .next_request()
                .await
                .respond(status, &[("x-note", "n")], "its bytes")
                .await;
        };
        let (response, ()) = tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
        verify_that!(response.status, eq(status))?;
        verify_that!(response.text(), eq("its bytes"))?;
        verify_that!(response.message.header("seal"), some(eq("s.t1")))?;
        verify_that!(response.message.header("x-note"), some(eq("n")))?;
    }
    Ok(())
}

/// Guards `may_retry` for requests that have not run: they are retried even if they must not run twice.
#[tokio::test]
async fn a_mutating_request_that_was_rejected_is_retried_at_another_server(
) -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (received, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        received.respond(503, &[("not-run", "1")], "").await;
        other_server
            .next_request()
            .await
            .respond(200, &[], "done")
            .await;
    };
    let (response, ()) = tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "done"))
    )
}

/// Guards `max_attempts` in `may_retry`: a third server is available, and the retry budget would allow it. Guards
/// `reject_only_unexecuted` too: a request that may have run is not rejected with 503.
#[tokio::test]
async fn a_readonly_request_is_attempted_as_often_as_its_route_allows() -> googletest::Result<()> {
    let mut servers = Vec::new();
    let mut instances = Vec::new();
    for number in 1..=3 {
        servers.push(Server::start().await);
        instances.push(instance(
            &format!("i-{number}"),
            servers[number - 1].address,
        ));
    }
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let mut attempts = 0;
    let closing = async {
        let [one, two, three] = servers.as_mut_slice() else {
            return;
        };
        loop {
            let received = tokio::select! {
                received = one.requests.recv() => received,
                received = two.requests.recv() => received,
                received = three.requests.recv() => received,
            };
            attempts += 1;
            drop(received);
        }
    };
    let response = tokio::select! {
        response = proxy.request("GET", "/read/a", "t1") => response,
        () = closing => return fail!("servers end"),
    };
    verify_that!(response.status, eq(502))?;
    verify_that!(attempts, eq(2))
}

/// Guards the instance id in `Want-Instance`, which each attempt states for its own server.
#[tokio::test]
async fn each_attempt_names_the_instance_that_it_is_meant_for() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (received, other_server, first) = next_request_at_either(&mut one, &mut other).await;
        let first_wanted = received.header("want-instance").map(str::to_string);
        received.respond(421, &[("not-run", "1")], "").await;
        let retry = other_server.next_request().await;
        let second_wanted = retry.header("want-instance").map(str::to_string);
        retry.respond(200, &[], "right").await;
        (first, first_wanted, second_wanted)
    };
    let (response, (first, first_wanted, second_wanted)) =
        tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "right"))
    )?;
    let second = if first == "i-1" { "i-2" } else { "i-1" };
    verify_that!(
        (first_wanted.as_deref(), second_wanted.as_deref()),
        eq((Some(first), Some(second)))
    )
}

/// Guards `on_request_misdirected`, and that it precedes the decision module's next choice, which would be the same
/// instance, as it is the only one.
#[tokio::test]
async fn a_misdirected_instance_gets_no_requests_until_a_later_heartbeat() -> googletest::Result<()>
{
    let mut server = Server::start().await;
    let known = instance("i-1", server.address);
    let (proxy, mut session) =
        Proxy::start_ready(DEFAULT_BOUNDS, default_items(), vec![known.clone()]).await;
    let serving = async {
        server
            .next_request()
            .await
            .respond(421, &[("not-run", "1")], "")
            .await;
    };
    let (response, ()) = tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(response.status, eq(503))?;
    verify_that!(proxy.request("GET", "/read/a", "t2").await.status, eq(503))?;
    // The same sequence number means that there was no later heartbeat, so the instance is still misdirected.
    session.send_changes(vec![], vec![known.clone()]).await;
    verify_that!(proxy.request("GET", "/read/a", "t3").await.status, eq(503))?;
    verify_that!(server.has_no_request(), eq(true))?;
    session
        .send_changes(vec![], vec![Instance { seq: 2, ..known }])
        .await;
    let serving = async { server.next_request().await.respond(200, &[], "back").await };
    let (response, ()) = tokio::join!(proxy.request("GET", "/read/a", "t4"), serving);
    verify_that!(response.text(), eq("back"))
}

/// Guards the checks of idle connections: one that its server has closed is discarded unused, so that a mutating
/// request is sent on another. A close that coincides with the write cannot be distinguished from one after it.
#[tokio::test]
async fn a_connection_that_its_server_has_closed_carries_no_request() -> googletest::Result<()> {
    let mut server = Server::start().await;
    let (proxy, _session) = Proxy::start_ready(
        DEFAULT_BOUNDS,
        default_items(),
        vec![instance("i-1", server.address)],
    )
    .await;
    let mut client = proxy.connect().await;
    for number in 0..3 {
        client
            .send(
                "POST",
                "/write/a",
                &[("try-id", &format!("t{number}"))],
                b"",
            )
            .await;
        let mut request = server.next_request().await;
        request
            .write(&request.response_bytes(200, &[], "once"))
            .await;
        let response = client.response().await.expect("a response");
        verify_that!(
            (response.status, response.text().as_str()),
            eq((200, "once"))
        )?;
        request.stream.shutdown().await?;
        request.wait_closed().await;
    }
    verify_that!(server.has_no_request(), eq(true))
}

/// Guards the decision whether a request may have run after a suspension of the process: if its connection ended
/// meanwhile, this is unknown.
#[tokio::test]
async fn a_mutating_request_is_not_retried_after_the_proxy_was_suspended() -> googletest::Result<()>
{
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let mut client = proxy.connect().await;
    client
        .send(
            "POST",
            "/write/a",
            &[("try-id", "t1"), ("deadline", "8000")],
            b"",
        )
        .await;
    let (received, _, _) = next_request_at_either(&mut one, &mut other).await;
    proxy.signal("-STOP");
    drop(received);
    proxy.signal("-CONT");
    verify_that!(client.status().await, some(eq(502)))?;
    verify_that!(one.has_no_request() && other.has_no_request(), eq(true))
}

/// Has `server` receive the request again, and send its rejection of the first attempt a second time before it responds
/// to the second one. Returns the status that the client gets.
async fn status_after_late_rejection(
    client: &mut Client,
    server: &mut Server,
    mut first: ReceivedRequest,
    rejection: &[u8],
) -> Option<u16> {
    let again = async {
        tokio::select! {
            _ = read_message(&mut first.stream, MessageKind::Request) => None,
            request = server.requests.recv() => request,
        }
    };
    let on_new_connection = within_limit("the second attempt", again).await;
    first.write(rejection).await;
    if let Some(second) = on_new_connection {
        second.respond(200, &[], "done").await;
    }
    client.status().await
}

/// Guards `UsedUpstreams`: a second rejection of the first attempt, which comes late, is not taken for the response to
/// the second attempt at the same server, which runs the request (review/8, REFUSED).
#[tokio::test]
async fn a_late_second_rejection_is_not_the_response_to_the_next_attempt_at_its_server(
) -> googletest::Result<()> {
    for status in [503, 429, 400] {
        let mut server = Server::start().await;
        // The other server has crashed: it refuses connections. It is in another zone, so that it is asked second.
        let crashed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await?
            .local_addr()?;
        let instances = vec![
            instance("i-1", server.address),
            Instance {
                zone: "south".into(),
                ..instance("i-2", crashed)
            },
        ];
        let (proxy, _session) =
            Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
        let mut client = proxy.connect().await;
        let headers = [("try-id", "t1"), ("deadline", "8000")];
        client.send("POST", "/write/a", &headers, b"once").await;
        let mut first = server.next_request().await;
        let rejection = first.response_bytes(status, &[("not-run", "1")], "");
        first.write(&rejection).await;
        let got = status_after_late_rejection(&mut client, &mut server, first, &rejection).await;
        verify_that!(got, some(eq(200))).with_failure_message(|| status.to_string())?;
    }
    Ok(())
}

/// Like the test before, for a request that comes back to its first server because its route moves to another service
/// and back. The route is readonly, as only then the connection may have been idle for as long as the changes take.
#[tokio::test]
async fn a_request_that_is_routed_back_to_a_server_gets_a_new_connection() -> googletest::Result<()>
{
    let (mut server, mut elsewhere) = (Server::start().await, Server::start().await);
    let instances = vec![
        instance("i-1", server.address),
        Instance {
            service: "t".into(),
            ..instance("i-2", elsewhere.address)
        },
    ];
    let route = |service, version| {
        RouteSpec {
            service,
            version,
            max_attempts: 3,
            ..READONLY_ROUTE
        }
        .item()
    };
    let other_route = RouteSpec {
        service: "t",
        ..MUTATING_ROUTE
    };
    let items = vec![
        service("s", 1, 10.0),
        service("t", 1, 10.0),
        route("s", 1),
        other_route.item(),
    ];
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
    // The retry budget of the other service is a multiple of its requests.
    let serving = async {
        let request = elsewhere.next_request().await;
        request.respond(200, &[], "done").await;
    };
    let (response, ()) = tokio::join!(proxy.request("POST", "/write/a", "t0"), serving);
    verify_that!(response.status, eq(200))?;
    let mut client = proxy.connect().await;
    let headers = [("try-id", "t1"), ("deadline", "8000")];
    client.send("GET", "/read/a", &headers, b"").await;
    let mut first = server.next_request().await;
    session.send_changes(vec![route("t", 2)], vec![]).await;
    let rejection = first.response_bytes(503, &[("not-run", "1")], "");
    first.write(&rejection).await;
    let second = elsewhere.next_request().await;
    session.send_changes(vec![route("s", 3)], vec![]).await;
    second.respond(503, &[("not-run", "1")], "").await;
    let got = status_after_late_rejection(&mut client, &mut server, first, &rejection).await;
    verify_that!(got, some(eq(200)))
}
