//! Which servers get something, whatever happens to them; against the proxy's process.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, item, until, usual, Figures, Proxy, Server, FIGURES};
use emberpin_balancer::Outcome;
use emberpin_config::ItemKind;
use emberpin_limiter::host::{
    Figures as Counters, Outgoing, Place, Pool, PoolLimits, Room, Upstream, Upstreamed,
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
use tokio::time::{interval, timeout};

/// The rules' own budget: a new instance has none before ten requests.
const BOUND: Figures = Figures {
    retry_ratio: 0.2,
    retry_extra: 60,
    ..FIGURES
};

/// An address that is taken, and at which nobody listens yet.
fn closed() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("bound");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

fn away(instance: Instance) -> Instance {
    Instance {
        zone: "south".into(),
        ..instance
    }
}

/// Asks until this server is asked.
async fn is_asked_again(proxy: &Proxy, server: &mut Server) {
    let mut number = 0;
    let asking = async {
        loop {
            number += 1;
            proxy
                .ask("GET", "/read/a", &format!("again-{number}"))
                .await;
        }
    };
    let asked = tokio::select! {
        asked = server.next() => asked,
        () = asking => return,
    };
    asked.answer(200, &[], "back").await;
}

/// Holds `unreachable` in `end`, `ask_on` and `heard`; and that what never went out needs nothing of the
/// budget.
#[tokio::test]
async fn who_takes_no_connection_is_passed_over_until_it_does() -> googletest::Result<()> {
    let (socket, address) = closed();
    let other = Server::anywhere().await;
    // The own zone comes first, so that the first request meets the closed one.
    let instances = vec![
        instance("i-closed", address),
        away(instance("i-open", other.address)),
    ];
    other.serve("open");
    let (proxy, _session) = Proxy::ready(BOUND, usual(), instances).await;
    for number in 0..10 {
        let begun = Instant::now();
        let answered = proxy.ask("POST", "/write/a", &format!("t{number}")).await;
        verify_that!(
            (answered.status, answered.text().as_str()),
            eq((200, "open"))
        )?;
        verify_that!(begun.elapsed(), lt(Duration::from_secs(3)))?;
    }
    let mut server = Server::on(socket.listen(16)?);
    is_asked_again(&proxy, &mut server).await;
    Ok(())
}

/// Holds `silent` in `works`: a request that came would wait for as long as a connection may take.
#[tokio::test]
async fn no_request_is_tried_at_who_takes_no_connection() -> googletest::Result<()> {
    let (socket, address) = closed();
    // One connection that nobody accepts fills the queue, and the system answers no other.
    let _listener = socket.listen(0)?;
    let _filler = TcpStream::connect(address).await?;
    let (proxy, _session) = Proxy::ready(BOUND, usual(), vec![instance("i-1", address)]).await;
    let begun = Instant::now();
    let first = proxy.ask("POST", "/write/a", "t0").await;
    verify_that!(first.status, eq(503))?;
    verify_that!(begun.elapsed(), ge(Duration::from_millis(150)))?;
    let mut least = Duration::MAX;
    for number in 1..=10 {
        let begun = Instant::now();
        let answered = proxy.ask("POST", "/write/a", &format!("t{number}")).await;
        verify_that!(answered.status, eq(503))?;
        verify_that!(answered.read.header("retry-after"), some(anything()))?;
        least = least.min(begun.elapsed());
    }
    // Ten chances, as the machine may be busy; each that tried would take longer.
    verify_that!(least, lt(Duration::from_millis(100)))
}

/// Holds `usable` beside `silent` in `change`: nobody asks a server on for which nothing is to be had.
#[tokio::test]
async fn who_took_no_connection_before_an_evacuation_is_tried_after_it() -> googletest::Result<()> {
    let (socket, address) = closed();
    let other = Server::anywhere().await;
    let instances = vec![
        instance("i-closed", address),
        away(instance("i-open", other.address)),
    ];
    other.serve("open");
    let (proxy, mut session) = Proxy::ready(FIGURES, usual(), instances).await;
    verify_that!(proxy.ask("GET", "/read/a", "t0").await.text(), eq("open"))?;
    session
        .change(
            vec![item(ItemKind::Evacuation, "north", 1, Some("{}".into()))],
            vec![],
        )
        .await;
    // Long enough for who asks on to find that nothing may go there.
    let begun = Instant::now();
    until("time to pass", || async {
        (begun.elapsed() > Duration::from_millis(1_200)).then_some(())
    })
    .await;
    session
        .change(vec![item(ItemKind::Evacuation, "north", 2, None)], vec![])
        .await;
    let mut server = Server::on(socket.listen(16)?);
    is_asked_again(&proxy, &mut server).await;
    Ok(())
}

/// Holds `Status::Draining` on its way to the module; the way to the server is shut, and its line says so too.
#[tokio::test]
async fn nothing_new_goes_to_who_drains() -> googletest::Result<()> {
    let (mut leaving, other) = (Server::anywhere().await, Server::anywhere().await);
    let instances = vec![
        instance("i-1", leaving.address),
        away(instance("i-2", other.address)),
    ];
    other.serve("other");
    let (proxy, mut session) = Proxy::ready(FIGURES, usual(), instances).await;
    let answering = async { leaving.next().await.answer(200, &[], "here").await };
    let (answered, ()) = tokio::join!(proxy.ask("GET", "/read/a", "t0"), answering);
    verify_that!(answered.text(), eq("here"))?;
    // One that it works on is not broken off.
    let mut held = proxy.client().await;
    held.send(
        "POST",
        "/write/a",
        &[("try-id", "t1"), ("deadline", "8000")],
        b"",
    )
    .await;
    let at_work = leaving.next().await;
    let drains = Instance {
        seq: 2,
        status: Status::Draining,
        ..instance("i-1", leaving.address)
    };
    session.change(vec![], vec![drains]).await;
    at_work.answer(200, &[], "done").await;
    verify_that!(
        held.answer().await.map(|answered| answered.text()),
        some(eq("done"))
    )?;
    // Both are idle, and it is the near one.
    for number in 2..12 {
        let answered = proxy.ask("GET", "/read/a", &format!("t{number}")).await;
        verify_that!(
            (answered.status, answered.text().as_str()),
            eq((200, "other"))
        )?;
    }
    verify_that!(leaving.is_unasked(), eq(true))
}

/// Holds `evacuated` on its way from the item to the module, and back.
#[tokio::test]
async fn nothing_new_goes_to_an_evacuated_zone() -> googletest::Result<()> {
    let (mut near, other) = (Server::anywhere().await, Server::anywhere().await);
    let instances = vec![
        instance("i-1", near.address),
        away(instance("i-2", other.address)),
    ];
    other.serve("other");
    let (proxy, mut session) = Proxy::ready(FIGURES, usual(), instances).await;
    session
        .change(
            vec![item(ItemKind::Evacuation, "north", 1, Some("{}".into()))],
            vec![],
        )
        .await;
    for number in 0..10 {
        let answered = proxy.ask("GET", "/read/a", &format!("t{number}")).await;
        verify_that!(
            (answered.status, answered.text().as_str()),
            eq((200, "other"))
        )?;
    }
    // Nor to one that comes up there meanwhile.
    let mut late = Server::anywhere().await;
    session
        .change(vec![], vec![instance("i-3", late.address)])
        .await;
    verify_that!(proxy.ask("GET", "/read/a", "t10").await.text(), eq("other"))?;
    verify_that!(near.is_unasked() && late.is_unasked(), eq(true))?;
    session
        .change(vec![item(ItemKind::Evacuation, "north", 2, None)], vec![])
        .await;
    is_asked_again(&proxy, &mut near).await;
    Ok(())
}

/// News comes while an attempt waits for its connection: nothing of the request is written.
async fn nothing_is_written_after(
    news: impl FnOnce(&Upstream, &Outgoing),
) -> googletest::Result<()> {
    let mut server = Server::anywhere().await;
    let limits = PoolLimits {
        connect: common::SOON,
        idle: common::SOON,
        most_idle: 4,
        sockets: 40,
        unacknowledged: None,
        hold: 1 << 20,
    };
    let counters = Counters::new(&["all".to_string()]).expect("figures");
    let pool = Pool::new(
        limits,
        Rc::new(GatewayWire),
        counters,
        Rc::new(Room::new(None)),
    );
    let upstream = Upstream::new(
        Place {
            address: server.address,
            boot_ms: 0.0,
        },
        pool,
    );
    let outgoing = Outgoing {
        method: "POST".parse()?,
        uri: "/write/a".parse()?,
        headers: HeaderMap::new(),
        body: Upstreamed::Whole(bytes::Bytes::new()),
        may_pass: true,
        freshness: None,
        gate: None,
        withdrawn: Default::default(),
    };
    let (_cancel, cancelled) = oneshot::channel();
    let outgoing = Rc::new(outgoing);
    let mut attempt = pin!(upstream
        .clone()
        .attempt(outgoing.clone(), common::SOON, cancelled));
    // It has begun to connect, and nothing has had a turn since.
    poll_fn(|context| {
        assert!(attempt.as_mut().poll(context).is_pending());
        std::task::Poll::Ready(())
    })
    .await;
    news(&upstream, &outgoing);
    let ended = timeout(common::SOON, attempt).await?;
    verify_that!((ended.outcome, ended.sent), eq((Outcome::Moot, false)))?;
    verify_that!(server.is_unasked(), eq(true))
}

/// Holds the look at `is_open` between the connection's coming up and the first byte.
#[tokio::test]
async fn a_request_that_is_still_connecting_does_not_go_to_who_drains() -> googletest::Result<()> {
    nothing_is_written_after(|upstream, _| upstream.shut()).await
}

/// Holds the look at `withdrawn` there: its route leads elsewhere by then.
#[tokio::test]
async fn a_request_that_is_still_connecting_does_not_go_where_its_route_no_longer_leads(
) -> googletest::Result<()> {
    nothing_is_written_after(|_, outgoing| outgoing.withdrawn.set(true)).await
}

/// A server of the service `s` that is cold for a minute.
fn cold(address: SocketAddr) -> Instance {
    Instance {
        cold_ms: 60_000,
        ..instance("i-1", address)
    }
}

/// Holds `bears` in `works` and `look_at` behind each send: with the 20 that a cold server bears in a second
/// and the 16 limiters that may be there, one of them sends one.
#[tokio::test]
async fn a_cold_server_gets_this_limiters_share() -> googletest::Result<()> {
    let server = Server::anywhere().await;
    let instances = vec![cold(server.address)];
    let served = server.serve("cold");
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let mut beat = interval(Duration::from_millis(10));
    let mut refused = 0;
    while served.lock().expect("one writer").len() < 3 {
        beat.tick().await;
        // Two at a time, as both might pass before either is counted.
        let both = tokio::join!(
            proxy.ask("POST", "/write/a", "t1"),
            proxy.ask("GET", "/read/a", "t2")
        );
        for answered in [both.0, both.1] {
            verify_that!(answered.status, any![eq(200), eq(503)])?;
            refused += u32::from(answered.status == 503);
        }
    }
    verify_that!(refused, gt(10))?;
    let served = served.lock().expect("one writer");
    for two in served.windows(2) {
        verify_that!(two[1].1 - two[0].1, ge(Duration::from_secs(1)))?;
    }
    Ok(())
}

/// Holds `limiters == 0` in `may`: nobody has said how many share the server.
#[tokio::test]
async fn a_cold_server_gets_nothing_while_nobody_counts_the_limiters() -> googletest::Result<()> {
    let server = Server::anywhere().await;
    let address = server.address;
    let served = server.serve("cold");
    let proxy = Proxy::start(FIGURES).await;
    let mut session = proxy.session().await;
    session.snapshot(usual(), vec![cold(address)]).await;
    // Longer than a new instance waits for the count to be steady.
    let begun = Instant::now();
    let mut beat = interval(Duration::from_millis(20));
    while begun.elapsed() < Duration::from_millis(3_500) {
        beat.tick().await;
        verify_that!(proxy.ask("GET", "/read/a", "t0").await.status, eq(503))?;
    }
    verify_that!(served.lock().expect("one writer").len(), eq(0))?;
    // The proxy has left the session, which confirmed nothing, and goes on with others.
    let sessions = async {
        loop {
            proxy.session().await.keep_settled(1);
        }
    };
    let counted = until("the count and a request", || async {
        proxy.ask("GET", "/read/a", "t1").await;
        (!served.lock().expect("one writer").is_empty()).then_some(())
    });
    tokio::select! {
        () = counted => Ok(()),
        () = sessions => fail!("sessions end"),
    }
}
