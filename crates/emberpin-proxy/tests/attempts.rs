//! What a request may do after an attempt, and how long one is waited for; against the proxy's process.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, service, usual, Figures, Proxy, RouteTo, Server, FIGURES, READ, WRITE};
use emberpin_membership::instance::Instance;
use googletest::prelude::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Silence of a server that is longer than the module's patience with a route whose aim is this, as no answer
/// taught it another: its aim less two means of a quarter each.
const SHORT_AIM_MS: u32 = 400;

/// Two servers of the service `s`.
async fn two() -> (Server, Server, Vec<Instance>) {
    let (one, two) = (Server::anywhere().await, Server::anywhere().await);
    let instances = vec![instance("i-1", one.address), instance("i-2", two.address)];
    (one, two, instances)
}

/// Whichever of both is asked next, and the other.
async fn either<'a>(
    one: &'a mut Server,
    two: &'a mut Server,
) -> (common::Asked, &'a mut Server, &'static str) {
    let first = tokio::select! {
        asked = one.asked.recv() => (asked, true),
        asked = two.asked.recv() => (asked, false),
        () = tokio::time::sleep(common::SOON) => panic!("neither is asked"),
    };
    match first {
        (asked, true) => (asked.expect("it listens"), two, "i-1"),
        (asked, false) => (asked.expect("it listens"), one, "i-2"),
    }
}

/// Holds `Effect::Unsafe` of mutating routes.
#[tokio::test]
async fn a_mutating_request_that_may_have_run_runs_once_and_fails() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two().await;
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let asking = async {
        let (taken, rest, _) = either(&mut one, &mut other).await;
        drop(taken);
        rest
    };
    let (answered, rest) = tokio::join!(proxy.ask("POST", "/write/a", "t1"), asking);
    verify_that!(answered.status, eq(502))?;
    verify_that!(rest.is_unasked(), eq(true))?;
    verify_that!(one.is_unasked() && other.is_unasked(), eq(true))
}

/// Holds `promises` of the wire, from server to client.
#[tokio::test]
async fn a_503_without_the_servers_word_is_no_promise_to_the_client() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two().await;
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let answering = async {
        let (taken, rest, _) = either(&mut one, &mut other).await;
        taken.answer(503, &[], "").await;
        rest
    };
    let (answered, rest) = tokio::join!(proxy.ask("POST", "/write/a", "t1"), answering);
    verify_that!(answered.status, eq(502))?;
    verify_that!(rest.is_unasked(), eq(true))
}

/// Holds `stands` and `told` on the way from server to client.
#[tokio::test]
async fn a_servers_own_failure_is_passed_on_unaltered() -> googletest::Result<()> {
    let mut server = Server::anywhere().await;
    let (proxy, _session) =
        Proxy::ready(FIGURES, usual(), vec![instance("i-1", server.address)]).await;
    for status in [500, 504] {
        let answering = async {
            server
                .next()
                .await
                .answer(status, &[("x-note", "n")], "its bytes")
                .await;
        };
        let (answered, ()) = tokio::join!(proxy.ask("POST", "/write/a", "t1"), answering);
        verify_that!(answered.status, eq(status))?;
        verify_that!(answered.text(), eq("its bytes"))?;
        verify_that!(answered.read.header("seal"), some(eq("s.t1")))?;
        verify_that!(answered.read.header("x-note"), some(eq("n")))?;
    }
    Ok(())
}

/// Holds the order of `again` in `end`: what has not run goes on, also where it may not run twice.
#[tokio::test]
async fn a_mutating_request_that_was_turned_away_goes_to_another_server() -> googletest::Result<()>
{
    let (mut one, mut other, instances) = two().await;
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let answering = async {
        let (taken, rest, _) = either(&mut one, &mut other).await;
        taken.answer(503, &[("not-run", "1")], "").await;
        rest.next().await.answer(200, &[], "done").await;
    };
    let (answered, ()) = tokio::join!(proxy.ask("POST", "/write/a", "t1"), answering);
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "done"))
    )
}

/// Holds `sends < tries` in `end`: a third server is there, and the budget would let it. And
/// `refusals_promise`: what has run is not refused.
#[tokio::test]
async fn a_readonly_request_goes_to_as_many_servers_as_its_route_says() -> googletest::Result<()> {
    let mut servers = Vec::new();
    let mut instances = Vec::new();
    for number in 1..=3 {
        servers.push(Server::anywhere().await);
        instances.push(instance(
            &format!("i-{number}"),
            servers[number - 1].address,
        ));
    }
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let mut asked = 0;
    let closing = async {
        let [one, two, three] = servers.as_mut_slice() else {
            return;
        };
        loop {
            let taken = tokio::select! {
                taken = one.asked.recv() => taken,
                taken = two.asked.recv() => taken,
                taken = three.asked.recv() => taken,
            };
            asked += 1;
            drop(taken);
        }
    };
    let answered = tokio::select! {
        answered = proxy.ask("GET", "/read/a", "t1") => answered,
        () = closing => return fail!("servers end"),
    };
    verify_that!(answered.status, eq(502))?;
    verify_that!(asked, eq(2))
}

/// Holds the instance's id in `Want-Instance`, for each attempt its own.
#[tokio::test]
async fn each_attempt_names_the_life_that_it_is_meant_for() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two().await;
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let answering = async {
        let (taken, rest, first) = either(&mut one, &mut other).await;
        let wanted = taken.header("want-instance").map(str::to_string);
        taken.answer(421, &[("not-run", "1")], "").await;
        let again = rest.next().await;
        let then = again.header("want-instance").map(str::to_string);
        again.answer(200, &[], "right").await;
        (first, wanted, then)
    };
    let (answered, (first, wanted, then)) =
        tokio::join!(proxy.ask("POST", "/write/a", "t1"), answering);
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "right"))
    )?;
    let second = if first == "i-1" { "i-2" } else { "i-1" };
    verify_that!(
        (wanted.as_deref(), then.as_deref()),
        eq((Some(first), Some(second)))
    )
}

/// Holds `wrong_instance` in `end`, and the changes that are applied before the module chooses again: it
/// would choose the only one that there is.
#[tokio::test]
async fn a_server_that_is_another_gets_nothing_until_a_later_beat() -> googletest::Result<()> {
    let mut server = Server::anywhere().await;
    let known = instance("i-1", server.address);
    let (proxy, mut session) = Proxy::ready(FIGURES, usual(), vec![known.clone()]).await;
    let answering = async {
        server
            .next()
            .await
            .answer(421, &[("not-run", "1")], "")
            .await;
    };
    let (answered, ()) = tokio::join!(proxy.ask("POST", "/write/a", "t1"), answering);
    verify_that!(answered.status, eq(503))?;
    verify_that!(proxy.ask("GET", "/read/a", "t2").await.status, eq(503))?;
    // Told again with the same number, it is still wrong.
    session.change(vec![], vec![known.clone()]).await;
    verify_that!(proxy.ask("GET", "/read/a", "t3").await.status, eq(503))?;
    verify_that!(server.is_unasked(), eq(true))?;
    session
        .change(vec![], vec![Instance { seq: 2, ..known }])
        .await;
    let answering = async { server.next().await.answer(200, &[], "back").await };
    let (answered, ()) = tokio::join!(proxy.ask("GET", "/read/a", "t4"), answering);
    verify_that!(answered.text(), eq("back"))
}

/// Holds `engine.give_up` in `overdue`: the one case in which patience ends.
#[tokio::test]
async fn a_silent_server_is_left_where_another_can_follow() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two().await;
    let items = vec![
        service("s", 1, 10.0),
        RouteTo {
            aim_ms: SHORT_AIM_MS,
            ..READ
        }
        .item(),
    ];
    let (proxy, _session) = Proxy::ready(FIGURES, items, instances).await;
    let answering = async {
        let (mut silent, rest, _) = either(&mut one, &mut other).await;
        silent.broken_off().await;
        let deadline = silent
            .header("deadline")
            .and_then(|ms| ms.parse::<u64>().ok());
        rest.next().await.answer(200, &[], "soon").await;
        deadline
    };
    let (answered, deadline) = tokio::join!(proxy.ask("GET", "/read/a", "t1"), answering);
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "soon"))
    )?;
    // Told the client's time and not the patience of a few hundred milliseconds.
    verify_that!(deadline, some(all![gt(7_000), le(8_000)]))
}

/// A silent server is waited for until the client's time is over, and was told that time.
async fn is_waited_for(
    figures: Figures,
    tries: u32,
    instances: Vec<Instance>,
    mut servers: Vec<Server>,
) -> googletest::Result<()> {
    let route = RouteTo {
        aim_ms: SHORT_AIM_MS,
        tries,
        timeout_ms: 5_000,
        ..READ
    };
    let (proxy, _session) = Proxy::ready(
        figures,
        vec![service("s", 1, 10.0), route.item()],
        instances,
    )
    .await;
    let mut client = proxy.client().await;
    // It stays silent for several times the module's patience, and less than the client's.
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
        [] => first[0].next().await,
        [second, ..] => either(&mut first[0], second).await.0,
    };
    let deadline = silent
        .header("deadline")
        .and_then(|ms| ms.parse::<u64>().ok());
    verify_that!(deadline, some(all![gt(3_000), le(4_000)]))?;
    let mut byte = [0];
    let patience = Duration::from_millis(1_500);
    let kept = tokio::time::timeout(patience, silent.stream.peek(&mut byte)).await;
    verify_that!(kept.is_err(), eq(true))?;
    silent.answer(200, &[], "late").await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "late"))
    )?;
    for server in &mut servers {
        verify_that!(server.is_unasked(), eq(true))?;
    }
    Ok(())
}

/// Holds `sends < tries` in `overdue`.
#[tokio::test]
async fn a_silent_server_is_waited_for_where_one_try_is_all() -> googletest::Result<()> {
    let (one, other, instances) = two().await;
    is_waited_for(FIGURES, 1, instances, vec![one, other]).await
}

/// Holds `budget.may` in `overdue`.
#[tokio::test]
async fn a_silent_server_is_waited_for_where_the_budget_is_empty() -> googletest::Result<()> {
    let (one, other, instances) = two().await;
    is_waited_for(
        Figures {
            retry_ratio: 0.0,
            ..FIGURES
        },
        2,
        instances,
        vec![one, other],
    )
    .await
}

/// Holds `would_repeat` in `overdue`, and `others` in it.
#[tokio::test]
async fn a_silent_server_is_waited_for_where_it_is_the_only_one() -> googletest::Result<()> {
    let server = Server::anywhere().await;
    is_waited_for(
        FIGURES,
        2,
        vec![instance("i-1", server.address)],
        vec![server],
    )
    .await
}

/// Holds `safe` in `would_repeat`, and the effect of mutating routes.
#[tokio::test]
async fn a_silent_server_is_waited_for_where_the_request_may_not_run_twice(
) -> googletest::Result<()> {
    let (mut one, mut other, instances) = two().await;
    let route = RouteTo {
        aim_ms: SHORT_AIM_MS,
        ..WRITE
    };
    let (proxy, _session) = Proxy::ready(
        FIGURES,
        vec![service("s", 1, 10.0), route.item()],
        instances,
    )
    .await;
    let mut client = proxy.client().await;
    client
        .send(
            "POST",
            "/write/a",
            &[("try-id", "t1"), ("deadline", "4000")],
            b"",
        )
        .await;
    let (silent, rest, _) = either(&mut one, &mut other).await;
    let mut byte = [0];
    let kept =
        tokio::time::timeout(Duration::from_millis(1_500), silent.stream.peek(&mut byte)).await;
    verify_that!(kept.is_err(), eq(true))?;
    verify_that!(rest.is_unasked(), eq(true))?;
    silent.answer(200, &[], "late").await;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(200))
    )
}

/// Holds `is_held` beside patience: what has passed on a long body cannot be repeated, and nothing could
/// follow.
#[tokio::test]
async fn a_silent_server_is_waited_for_where_the_body_has_passed() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two().await;
    let route = RouteTo {
        aim_ms: SHORT_AIM_MS,
        ..READ
    };
    let (proxy, _session) = Proxy::ready(
        FIGURES,
        vec![service("s", 1, 10.0), route.item()],
        instances,
    )
    .await;
    let mut client = proxy.client().await;
    client
        .send(
            "POST",
            "/read/a",
            &[("try-id", "t1"), ("deadline", "4000")],
            &[b'x'; 200_000],
        )
        .await;
    let (silent, rest, _) = either(&mut one, &mut other).await;
    verify_that!(silent.read.body.len(), eq(200_000))?;
    let mut byte = [0];
    let kept =
        tokio::time::timeout(Duration::from_millis(1_500), silent.stream.peek(&mut byte)).await;
    verify_that!(kept.is_err(), eq(true))?;
    verify_that!(rest.is_unasked(), eq(true))?;
    silent.answer(200, &[], "late").await;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(200))
    )
}

/// Holds the end of a body whose length is told, in `Upload` and `Payload`: its request's time begins with its last byte
/// and ends; and what went out whole may have run.
#[tokio::test]
async fn a_silent_server_is_left_once_a_long_bodys_time_is_over() -> googletest::Result<()> {
    let mut server = Server::anywhere().await;
    let items = vec![
        service("s", 1, 10.0),
        RouteTo {
            timeout_ms: 600,
            ..WRITE
        }
        .item(),
    ];
    let (proxy, _session) =
        Proxy::ready(FIGURES, items, vec![instance("i-1", server.address)]).await;
    let mut client = proxy.client().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], &[b'x'; 200_000])
        .await;
    let mut silent = server.next().await;
    verify_that!(silent.read.body.len(), eq(200_000))?;
    silent.broken_off().await;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(502))
    )
}

/// Holds the look at kept connections in `retire`: one that its server has closed is given up without being used, so that
/// what may run once goes out on another. A close that comes together with the write cannot be told from one behind it.
#[tokio::test]
async fn a_connection_that_its_server_has_closed_carries_nothing() -> googletest::Result<()> {
    let mut server = Server::anywhere().await;
    let (proxy, _session) =
        Proxy::ready(FIGURES, usual(), vec![instance("i-1", server.address)]).await;
    let mut client = proxy.client().await;
    for number in 0..3 {
        client
            .send(
                "POST",
                "/write/a",
                &[("try-id", &format!("t{number}"))],
                b"",
            )
            .await;
        let mut asked = server.next().await;
        asked.write(&asked.worded(200, &[], "once")).await;
        let answered = client.answer().await.expect("an answer");
        verify_that!(
            (answered.status, answered.text().as_str()),
            eq((200, "once"))
        )?;
        asked.stream.shutdown().await?;
        asked.broken_off().await;
    }
    verify_that!(server.is_unasked(), eq(true))
}

/// Holds what has run across a freeze: a proxy that stood still while its server's connection ended sends nothing again
/// that may run once.
#[tokio::test]
async fn a_mutating_request_is_not_sent_again_after_a_freeze() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two().await;
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let mut client = proxy.client().await;
    client
        .send(
            "POST",
            "/write/a",
            &[("try-id", "t1"), ("deadline", "8000")],
            b"",
        )
        .await;
    let (taken, _, _) = either(&mut one, &mut other).await;
    proxy.signal("-STOP");
    drop(taken);
    proxy.signal("-CONT");
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(502))
    )?;
    verify_that!(one.is_unasked() && other.is_unasked(), eq(true))
}
