//! Choice of the service of a request, and the effect of changed routes on requests in flight.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    confirmed, default_items, instance, item, service, Proxy, RouteSpec, Server, DEFAULT_BOUNDS,
    MUTATING_ROUTE, READONLY_ROUTE,
};
use emberpin_config::ItemKind;
use emberpin_membership::instance::Instance;
use googletest::prelude::*;

/// Guards `RejectionCause::NotConfigured`, and `Retry-After`.
#[tokio::test]
async fn without_a_configuration_requests_get_503_with_retry_after() -> googletest::Result<()> {
    let proxy = Proxy::start(DEFAULT_BOUNDS).await;
    let mut session = proxy.accept_session().await;
    for snapshot_sent in [false, true] {
        let response = proxy.request("GET", "/read/a", "t1").await;
        verify_that!((snapshot_sent, response.status), eq((snapshot_sent, 503)))?;
        let after = response
            .message
            .header("retry-after")
            .and_then(|after| after.parse::<f64>().ok());
        verify_that!(after, some(all![gt(0.0), lt(5.0)]))?;
        verify_that!(proxy.readiness().await, some(eq(503)))?;
        // A confirmed registry that has no items does not change that.
        session.send(confirmed(proxy.ip, 1));
        session.send_snapshot(vec![], vec![]).await;
        session.send(confirmed(proxy.ip, 1));
        session.send_changes(vec![], vec![]).await;
    }
    Ok(())
}

/// Guards `RejectionCause::RouteNotFound`, the tombstone of a removed route, and the comparison of hosts when a route
/// is looked up.
#[tokio::test]
async fn routes_that_are_not_in_force_get_404() -> googletest::Result<()> {
    let server = Server::start().await;
    let instances = vec![instance("i-1", server.address)];
    server.serve_all("s");
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    verify_that!(proxy.request("GET", "/read/a", "t1").await.status, eq(200))?;
    verify_that!(
        proxy.request("GET", "/nothing/a", "t2").await.status,
        eq(404)
    )?;
    let mut client = proxy.connect().await;
    client
        .write(b"GET /read/a HTTP/1.1\r\nhost: other.example\r\ntry-id: t3\r\n\r\n")
        .await;
    verify_that!(client.status().await, some(eq(404)))?;
    session
        .send_changes(vec![item(ItemKind::Route, "read", 2, None)], vec![])
        .await;
    verify_that!(proxy.request("GET", "/read/a", "t4").await.status, eq(404))?;
    // An item older than the tombstone changes nothing; a newer one does.
    session
        .send_changes(vec![READONLY_ROUTE.item()], vec![])
        .await;
    verify_that!(proxy.request("GET", "/read/a", "t5").await.status, eq(404))?;
    session
        .send_changes(
            vec![RouteSpec {
                version: 3,
                ..READONLY_ROUTE
            }
            .item()],
            vec![],
        )
        .await;
    verify_that!(proxy.request("GET", "/read/a", "t6").await.status, eq(200))?;
    // Once every route is removed, the configuration still counts as received.
    let tombstones = ["read", "write"].map(|name| item(ItemKind::Route, name, 9, None));
    session.send_changes(tombstones.to_vec(), vec![]).await;
    verify_that!(proxy.request("GET", "/read/a", "t7").await.status, eq(404))
}

/// Guards `apply_configuration` after each change, and the service of the route in `choose_target`.
#[tokio::test]
async fn a_changed_route_leads_to_its_new_service() -> googletest::Result<()> {
    let (old, new) = (Server::start().await, Server::start().await);
    let other = Instance {
        service: "t".into(),
        ..instance("i-2", new.address)
    };
    let instances = vec![instance("i-1", old.address), other];
    let served_by_old = old.serve_all("old");
    new.serve_all("new");
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    verify_that!(
        proxy.request("GET", "/read/a", "t1").await.text(),
        eq("old")
    )?;
    session
        .send_changes(
            vec![
                service("t", 1, 10.0),
                RouteSpec {
                    service: "t",
                    version: 2,
                    ..READONLY_ROUTE
                }
                .item(),
            ],
            vec![],
        )
        .await;
    for number in 2..8 {
        verify_that!(
            proxy
                .request("GET", "/read/a", &format!("t{number}"))
                .await
                .text(),
            eq("new")
        )?;
    }
    verify_that!(served_by_old.lock().expect("one writer").len(), eq(1))?;
    // The other route is unchanged.
    verify_that!(
        proxy.request("POST", "/write/a", "t8").await.text(),
        eq("old")
    )
}

/// Guards `update_in_flight_routes` and `take_back`: a request that a server rejected after its route changed goes to
/// the new service.
#[tokio::test]
async fn a_request_in_flight_follows_its_route_to_another_service() -> googletest::Result<()> {
    let (mut old, spare, new) = (
        Server::start().await,
        Server::start().await,
        Server::start().await,
    );
    let other = Instance {
        service: "t".into(),
        ..instance("i-9", new.address)
    };
    let instances = vec![instance("i-1", old.address), other];
    new.serve_all("new");
    let route_to_new = RouteSpec {
        name: "beside",
        prefix: "/beside/",
        service: "t",
        ..READONLY_ROUTE
    };
    let items = [
        default_items(),
        vec![service("t", 1, 10.0), route_to_new.item()],
    ]
    .concat();
    let (proxy, mut session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
    // The new service has a retry budget only after a first request.
    verify_that!(
        proxy.request("GET", "/beside/a", "t0").await.status,
        eq(200)
    )?;
    let mut client = proxy.connect().await;
    client
        .send(
            "POST",
            "/write/a",
            &[("try-id", "t1"), ("deadline", "8000")],
            b"",
        )
        .await;
    let request = old.next_request().await;
    let spare_instance = instance("i-2", spare.address);
    let served_by_spare = spare.serve_all("old");
    let moved = RouteSpec {
        service: "t",
        version: 2,
        ..MUTATING_ROUTE
    };
    session
        .send_changes(vec![moved.item()], vec![spare_instance])
        .await;
    request.respond(503, &[("not-run", "1")], "").await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "new"))
    )?;
    verify_that!(served_by_spare.lock().expect("one writer").len(), eq(0))?;
    Ok(())
}

/// As before, with a route that is removed. A request that may have run is not taken back from its service.
#[tokio::test]
async fn a_request_in_flight_whose_route_is_removed_is_not_retried() -> googletest::Result<()> {
    for (rejected, status) in [(true, 404), (false, 502)] {
        let (mut old, spare) = (Server::start().await, Server::start().await);
        let (proxy, mut session) = Proxy::start_ready(
            DEFAULT_BOUNDS,
            default_items(),
            vec![instance("i-1", old.address)],
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
        let request = old.next_request().await;
        let spare_instance = instance("i-2", spare.address);
        let served_by_spare = spare.serve_all("old");
        session
            .send_changes(
                vec![item(ItemKind::Route, "read", 2, None)],
                vec![spare_instance],
            )
            .await;
        if rejected {
            request.respond(503, &[("not-run", "1")], "").await;
        } else {
            drop(request);
        }
        verify_that!(client.status().await, some(eq(status)))?;
        verify_that!(served_by_spare.lock().expect("one writer").len(), eq(0))?;
    }
    Ok(())
}
