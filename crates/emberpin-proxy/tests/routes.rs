//! What is in force, and when the proxy is ready; against its process.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, item, service, told, usual, Proxy, RouteTo, Server, FIGURES, READ, WRITE};
use emberpin_config::ItemKind;
use emberpin_membership::instance::Instance;
use googletest::prelude::*;

/// Holds `unknown` in `ask`, and `Retry-After`.
#[tokio::test]
async fn without_a_configuration_clients_may_come_back() -> googletest::Result<()> {
    let proxy = Proxy::start(FIGURES).await;
    let mut session = proxy.session().await;
    for told in [false, true] {
        let answered = proxy.ask("GET", "/read/a", "t1").await;
        verify_that!((told, answered.status), eq((told, 503)))?;
        let after = answered
            .read
            .header("retry-after")
            .and_then(|after| after.parse::<f64>().ok());
        verify_that!(after, some(all![gt(0.0), lt(5.0)]))?;
        verify_that!(proxy.readiness().await, some(eq(503)))?;
        // Nor does a settled registry without any item change that.
        session.say(self::told(proxy.ip, true, 1));
        session.snapshot(vec![], vec![]).await;
        session.say(self::told(proxy.ip, true, 1));
        session.change(vec![], vec![]).await;
    }
    Ok(())
}

/// Holds the 404 of `ask`, the tombstone on its way there, and the host in the match.
#[tokio::test]
async fn routes_that_are_not_in_force_are_not_found() -> googletest::Result<()> {
    let server = Server::anywhere().await;
    let instances = vec![instance("i-1", server.address)];
    server.serve("s");
    let (proxy, mut session) = Proxy::ready(FIGURES, usual(), instances).await;
    verify_that!(proxy.ask("GET", "/read/a", "t1").await.status, eq(200))?;
    verify_that!(proxy.ask("GET", "/nothing/a", "t2").await.status, eq(404))?;
    let mut client = proxy.client().await;
    client
        .write(b"GET /read/a HTTP/1.1\r\nhost: other.example\r\ntry-id: t3\r\n\r\n")
        .await;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(404))
    )?;
    session
        .change(vec![item(ItemKind::Route, "read", 2, None)], vec![])
        .await;
    verify_that!(proxy.ask("GET", "/read/a", "t4").await.status, eq(404))?;
    // What is older than the drop changes nothing; what is newer does.
    session.change(vec![READ.item()], vec![]).await;
    verify_that!(proxy.ask("GET", "/read/a", "t5").await.status, eq(404))?;
    session
        .change(vec![RouteTo { ver: 3, ..READ }.item()], vec![])
        .await;
    verify_that!(proxy.ask("GET", "/read/a", "t6").await.status, eq(200))?;
    // With every route gone, a configuration is still known.
    let drops = ["read", "write"].map(|name| item(ItemKind::Route, name, 9, None));
    session.change(drops.to_vec(), vec![]).await;
    verify_that!(proxy.ask("GET", "/read/a", "t7").await.status, eq(404))
}

/// Holds `configure` behind each change, and the service of the route in `ask`.
#[tokio::test]
async fn a_route_that_has_moved_goes_to_its_new_service() -> googletest::Result<()> {
    let (old, new) = (Server::anywhere().await, Server::anywhere().await);
    let other = Instance {
        service: "t".into(),
        ..instance("i-2", new.address)
    };
    let instances = vec![instance("i-1", old.address), other];
    let asked = old.serve("old");
    new.serve("new");
    let (proxy, mut session) = Proxy::ready(FIGURES, usual(), instances).await;
    verify_that!(proxy.ask("GET", "/read/a", "t1").await.text(), eq("old"))?;
    session
        .change(
            vec![
                service("t", 1, 10.0),
                RouteTo {
                    service: "t",
                    ver: 2,
                    ..READ
                }
                .item(),
            ],
            vec![],
        )
        .await;
    for number in 2..8 {
        verify_that!(
            proxy
                .ask("GET", "/read/a", &format!("t{number}"))
                .await
                .text(),
            eq("new")
        )?;
    }
    verify_that!(asked.lock().expect("one writer").len(), eq(1))?;
    // The other route has stayed.
    verify_that!(proxy.ask("POST", "/write/a", "t8").await.text(), eq("old"))
}

/// Holds both conditions of readiness, and `told.remove` at a session's end.
#[tokio::test]
async fn it_is_ready_with_all_there_is_and_a_settled_word_of_one_session() -> googletest::Result<()>
{
    let server = Server::anywhere().await;
    let proxy = Proxy::start(FIGURES).await;
    let mut session = proxy.session().await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    // Settled, but it has not told all that there is.
    session.say(told(proxy.ip, true, 1));
    session
        .change(usual(), vec![instance("i-1", server.address)])
        .await;
    session.say(told(proxy.ip, true, 1));
    session.change(vec![], vec![]).await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    // All is told, but it hears no majority.
    session
        .snapshot(usual(), vec![instance("i-1", server.address)])
        .await;
    session.say(told(proxy.ip, false, 1));
    session.change(vec![], vec![]).await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    // The next ones go on from the place to which that one had told everything, and hear no majority either. More
    // than one, as the proxy keeps two that take turns.
    for _ in 0..3 {
        drop(session);
        session = proxy.session().await;
        session.say(told(proxy.ip, false, 1));
        session.change(vec![], vec![]).await;
        verify_that!(proxy.readiness().await, some(eq(503)))?;
    }
    session.say(told(proxy.ip, true, 1));
    session.change(vec![], vec![]).await;
    verify_that!(proxy.readiness().await, some(eq(200)))
}

/// Holds `follow_routes` and `take_back`: what a server has turned away after its route moved goes to the new service.
#[tokio::test]
async fn a_request_that_goes_on_while_its_route_moves_follows_it() -> googletest::Result<()> {
    let (mut old, spare, new) = (
        Server::anywhere().await,
        Server::anywhere().await,
        Server::anywhere().await,
    );
    let other = Instance {
        service: "t".into(),
        ..instance("i-9", new.address)
    };
    let instances = vec![instance("i-1", old.address), other];
    new.serve("new");
    let beside = RouteTo {
        name: "beside",
        prefix: "/beside/",
        service: "t",
        ..READ
    };
    let items = [usual(), vec![service("t", 1, 10.0), beside.item()]].concat();
    let (proxy, mut session) = Proxy::ready(FIGURES, items, instances).await;
    // The new service has a budget for further tries once a client has sent something to it.
    verify_that!(proxy.ask("GET", "/beside/a", "t0").await.status, eq(200))?;
    let mut client = proxy.client().await;
    client
        .send(
            "POST",
            "/write/a",
            &[("try-id", "t1"), ("deadline", "8000")],
            b"",
        )
        .await;
    let asked = old.next().await;
    let spared = instance("i-2", spare.address);
    let asked_of_spare = spare.serve("old");
    let moved = RouteTo {
        service: "t",
        ver: 2,
        ..WRITE
    };
    session.change(vec![moved.item()], vec![spared]).await;
    asked.answer(503, &[("not-run", "1")], "").await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "new"))
    )?;
    verify_that!(asked_of_spare.lock().expect("one writer").len(), eq(0))?;
    Ok(())
}

/// As before, with a route that is dropped; and what may have run is not taken back.
#[tokio::test]
async fn a_request_that_goes_on_while_its_route_is_dropped_goes_nowhere_else(
) -> googletest::Result<()> {
    for (turned_away, status) in [(true, 404), (false, 502)] {
        let (mut old, spare) = (Server::anywhere().await, Server::anywhere().await);
        let (proxy, mut session) =
            Proxy::ready(FIGURES, usual(), vec![instance("i-1", old.address)]).await;
        let mut client = proxy.client().await;
        client
            .send(
                "GET",
                "/read/a",
                &[("try-id", "t1"), ("deadline", "8000")],
                b"",
            )
            .await;
        let asked = old.next().await;
        let spared = instance("i-2", spare.address);
        let asked_of_spare = spare.serve("old");
        session
            .change(vec![item(ItemKind::Route, "read", 2, None)], vec![spared])
            .await;
        if turned_away {
            asked.answer(503, &[("not-run", "1")], "").await;
        } else {
            drop(asked);
        }
        verify_that!(
            client.answer().await.map(|answered| answered.status),
            some(eq(status))
        )?;
        verify_that!(asked_of_spare.lock().expect("one writer").len(), eq(0))?;
    }
    Ok(())
}
