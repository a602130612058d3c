//! What a request may do after an attempt: end, or be retried at another server.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, instance, next_request_at_either, two_servers, Proxy, Server, DEFAULT_BOUNDS,
};
use emberpin_membership::instance::Instance;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;

/// Guards `Effect::Unsafe` of mutating routes.
#[tokio::test]
async fn a_mutating_request_that_may_have_run_is_not_retried() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (taken, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        drop(taken);
        other_server
    };
    let (response, other_server) = tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(response.status, eq(502))?;
    verify_that!(other_server.has_no_request(), eq(true))?;
    verify_that!(one.has_no_request() && other.has_no_request(), eq(true))
}

/// Guards `claims_not_run` of the wire, from server to client.
#[tokio::test]
async fn a_503_without_not_run_is_not_forwarded_to_the_client() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (taken, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        taken.respond(503, &[], "").await;
        other_server
    };
    let (response, other_server) = tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(response.status, eq(502))?;
    verify_that!(other_server.has_no_request(), eq(true))
}

/// Guards `Described::stands` on the way from server to client.
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

/// Guards `may_retry` for requests that have not run: these are retried even where they may not run twice.
#[tokio::test]
async fn a_mutating_request_that_was_rejected_is_retried_at_another_server(
) -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (taken, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        taken.respond(503, &[("not-run", "1")], "").await;
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
/// `reject_only_unexecuted` too: a request that may have run is not refused with 503.
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
    let mut request = 0;
    let closing = async {
        let [one, two, three] = servers.as_mut_slice() else {
            return;
        };
        loop {
            let taken = tokio::select! {
                taken = one.requests.recv() => taken,
                taken = two.requests.recv() => taken,
                taken = three.requests.recv() => taken,
            };
            request += 1;
            drop(taken);
        }
    };
    let response = tokio::select! {
        response = proxy.request("GET", "/read/a", "t1") => response,
        () = closing => return fail!("servers end"),
    };
    verify_that!(response.status, eq(502))?;
    verify_that!(request, eq(2))
}

/// Guards the instance id in `Want-Instance`, which each attempt has of its own.
#[tokio::test]
async fn each_attempt_names_the_instance_that_it_is_meant_for() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (taken, other_server, first) = next_request_at_either(&mut one, &mut other).await;
        let wanted = taken.header("want-instance").map(str::to_string);
        taken.respond(421, &[("not-run", "1")], "").await;
        let again = other_server.next_request().await;
        let then = again.header("want-instance").map(str::to_string);
        again.respond(200, &[], "right").await;
        (first, wanted, then)
    };
    let (response, (first, wanted, then)) =
        tokio::join!(proxy.request("POST", "/write/a", "t1"), serving);
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "right"))
    )?;
    let second = if first == "i-1" { "i-2" } else { "i-1" };
    verify_that!(
        (wanted.as_deref(), then.as_deref()),
        eq((Some(first), Some(second)))
    )
}

/// Guards `on_request_misdirected`, and that it comes before the decision module chooses again: it would choose the only
/// instance there is.
#[tokio::test]
async fn a_misdirected_instance_gets_nothing_until_a_later_heartbeat() -> googletest::Result<()> {
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
    // Sent again with the same sequence number, the instance is still taken to be misdirected.
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

/// Guards the checks of idle connections: one that its server has closed is discarded unused, so that a mutating request
/// goes out on another. A close that coincides with the write cannot be told from one after it.
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

/// Guards what has run across a suspension of the process: a connection that ended meanwhile leaves the request in doubt.
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
    let (taken, _, _) = next_request_at_either(&mut one, &mut other).await;
    proxy.signal("-STOP");
    drop(taken);
    proxy.signal("-CONT");
    verify_that!(client.status().await, some(eq(502)))?;
    verify_that!(one.has_no_request() && other.has_no_request(), eq(true))
}
