//! The calls of applications for locks, numbers and cells, also while stores and registries are killed or frozen.
#![allow(missing_docs, reason = "a test has no public interface")]

mod core_machines;

use core_machines::applications::Applications;
use core_machines::history::History;
use core_machines::{
    begin_body, finish_body, heartbeat_body, put_body, settings, u64_field, CoreMachines,
    CALL_TIMEOUT,
};
use emberpin_demo::role::Role;
use googletest::prelude::*;
use hyper::Method;
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// The number of concurrent callers.
const CALLERS: u32 = 24;
/// Calls must be served again within this time after the leading store is lost.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);
/// `release` of the settings: how long after the expiry of its lease a lock is free.
const RELEASE_TIME: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// More changes of a group than the gateway retains.
const MORE_THAN_RETAINED: u64 = 8_400;

/// The longest time without an answer between `from` and `to`, given the times of the answers.
fn longest_gap(answers: impl Iterator<Item = Duration>, from: Duration, to: Duration) -> Duration {
    let mut moments: Vec<Duration> = answers.filter(|at| (from..=to).contains(at)).collect();
    moments.extend([from, to]);
    moments.sort_unstable();
    let gaps = moments.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

/// Verifies that no rule was violated, and that between `from` and `to` every kind of call was answered at least every
/// `TAKEOVER_TIME`.
fn verify_run(history: &History, from: Duration, to: Duration) -> googletest::Result<()> {
    let violations = history.violations();
    if let Some(first) = violations.first() {
        println!(
            "calls at {}:\n{}",
            first.subject,
            history.describe(&first.subject)
        );
    }
    verify_that!(violations, is_empty())?;
    let numbers = history.numbers.iter().map(|number| number.span.received);
    let puts = history.puts.iter().map(|put| put.span.received);
    let gets = history.gets.iter().map(|get| get.span.received);
    let leases = history.leases.iter().map(|lease| lease.span.received);
    let gaps = [
        ("numbers", longest_gap(numbers, from, to)),
        ("puts", longest_gap(puts, from, to)),
        ("reads", longest_gap(gets, from, to)),
        ("locks", longest_gap(leases, from, to)),
    ];
    println!("longest times without an answer: {gaps:?}");
    for (kind, gap) in gaps {
        verify_that!((kind, gap), (eq(kind), lt(TAKEOVER_TIME)))?;
    }
    Ok(())
}

#[tokio::test]
async fn calls_are_served_within_two_seconds_after_the_leading_store_is_killed_under_load(
) -> googletest::Result<()> {
    let run = async {
        let mut machines = CoreMachines::start_three(81);
        machines.wait_until_served().await;
        let applications = Applications::start(&machines.ctl_addresses(), CALLERS, 1);
        sleep(Duration::from_secs(2)).await;
        let leader = machines.leader().await;
        let killed_at = applications.run.now();
        machines.kill(leader, Role::Store);
        sleep(2 * TAKEOVER_TIME).await;
        let to = applications.run.now();
        let run = applications.finish().await;
        let history = run.history.borrow();
        verify_run(&history, killed_at, to)
    };
    LocalSet::new().run_until(run).await
}

#[tokio::test]
async fn a_leading_store_that_is_frozen_and_resumed_neither_stops_calls_nor_violates_a_rule(
) -> googletest::Result<()> {
    let run = async {
        let machines = CoreMachines::start_three(82);
        machines.wait_until_served().await;
        let applications = Applications::start(&machines.ctl_addresses(), CALLERS, 2);
        sleep(Duration::from_secs(2)).await;
        let leader = machines.leader().await;
        let frozen_at = applications.run.now();
        machines.send_signal(leader, Role::Store, Signal::SIGSTOP);
        sleep(Duration::from_secs(3)).await;
        machines.send_signal(leader, Role::Store, Signal::SIGCONT);
        sleep(Duration::from_secs(3)).await;
        let to = applications.run.now();
        let run = applications.finish().await;
        let history = run.history.borrow();
        verify_run(&history, frozen_at, to)
    };
    LocalSet::new().run_until(run).await
}

#[tokio::test]
async fn a_lock_whose_holder_crashes_is_free_after_its_lease_and_not_before(
) -> googletest::Result<()> {
    const LEASE_DURATION: Duration = Duration::from_secs(2);
    let machines = CoreMachines::start_three(83);
    machines.wait_until_served().await;
    let (status, body) = machines
        .post(0, "/locks/l1/begin", &begin_body("dead", 2_000))
        .await;
    let granted_at = Instant::now();
    verify_that!(status, eq(200))?;
    let fencing_token = u64_field(&body, "fence");
    let begin = begin_body("next", 2_000);
    let next_token = loop {
        let sent_at = Instant::now();
        let (status, body) = machines.post(1, "/locks/l1/begin", &begin).await;
        if status == 200 {
            break u64_field(&body, "fence");
        }
        verify_that!(status, eq(409))?;
        verify_that!(
            sent_at.duration_since(granted_at),
            lt(LEASE_DURATION + RELEASE_TIME)
        )?;
        sleep(POLL_INTERVAL).await;
    };
    // The lease began before the answer was received, so it may expire a few milliseconds earlier.
    let answer_time = Duration::from_millis(100);
    verify_that!(granted_at.elapsed(), ge(LEASE_DURATION - answer_time))?;
    verify_that!(next_token, gt(fencing_token))?;
    let heartbeat = heartbeat_body("dead", fencing_token, 2_000);
    let (status, _) = machines.post(2, "/locks/l1/heartbeat", &heartbeat).await;
    verify_that!(status, eq(409))
}

#[tokio::test]
async fn a_delayed_release_does_not_end_a_lease_that_was_granted_after_it() -> googletest::Result<()>
{
    let machines = CoreMachines::start_three(84);
    machines.wait_until_served().await;
    let begin = begin_body("a", 20_000);
    let (status, body) = machines.post(1, "/locks/l1/begin", &begin).await;
    verify_that!(status, eq(200))?;
    let finish = finish_body("a", u64_field(&body, "fence"));
    // The registry reads the call only when it is resumed. The caller calls another one after a second without an
    // answer.
    machines.send_signal(0, Role::Registry, Signal::SIGSTOP);
    let call = (Method::POST, "/locks/l1/finish");
    let late = machines.call_within(CALL_TIMEOUT, 0, call, &finish);
    verify_that!(late.await, none())?;
    let (status, _) = machines.post(1, "/locks/l1/begin", &begin).await;
    verify_that!(status, eq(200))?;
    machines.send_signal(0, Role::Registry, Signal::SIGCONT);
    machines.get(0, "/cells/unused/get").await;
    sleep(Duration::from_millis(500)).await;
    let (status, _) = machines
        .post(1, "/locks/l1/begin", &begin_body("b", 20_000))
        .await;
    verify_that!(status, eq(409))
}

#[tokio::test]
async fn a_put_that_is_sent_again_through_another_registry_gets_its_first_revision(
) -> googletest::Result<()> {
    let machines = CoreMachines::start_three(85);
    machines.wait_until_served().await;
    let first = put_body("first", 0);
    let (status, body) = machines.post(0, "/cells/g1.a/put", &first).await;
    let revision = u64_field(&body, "rev");
    verify_that!((status, revision), eq((200, 1)))?;
    let again = machines.post(1, "/cells/g1.a/put", &first).await;
    verify_that!((again.0, u64_field(&again.1, "rev")), eq((200, revision)))?;
    let second = put_body("second", revision);
    let (status, body) = machines.post(1, "/cells/g1.a/put", &second).await;
    verify_that!(
        (status, u64_field(&body, "rev") > revision),
        eq((200, true))
    )?;
    // The same holds after the cell has changed.
    let again = machines.post(2, "/cells/g1.a/put", &first).await;
    verify_that!((again.0, u64_field(&again.1, "rev")), eq((200, revision)))?;
    let (_, body) = machines.get(0, "/cells/g1.a/get").await;
    verify_that!(body, contains_substring("\"second\""))
}

#[tokio::test]
async fn responses_have_the_documented_statuses_and_bodies() -> googletest::Result<()> {
    let machines = CoreMachines::start_three(86);
    machines.wait_until_served().await;
    let post = |path: &'static str, body: String| {
        let machines = &machines;
        async move { machines.post(0, path, &body).await }
    };
    let (status, body) = post("/locks/l1/begin", begin_body("a", 5_000)).await;
    let fencing_token = u64_field(&body, "fence");
    verify_that!(
        (status, body),
        eq(&(200, format!("{{\"fence\":{fencing_token}}}")))
    )?;
    let (status, _) = post("/locks/l1/begin", begin_body("b", 5_000)).await;
    verify_that!(status, eq(409))?;
    // The holder itself can acquire the lock again.
    let (status, body) = post("/locks/l1/begin", begin_body("a", 5_000)).await;
    verify_that!(
        (status, u64_field(&body, "fence") >= fencing_token),
        eq((200, true))
    )?;
    let fencing_token = u64_field(&body, "fence");
    let (status, _) = post(
        "/locks/l1/heartbeat",
        heartbeat_body("a", fencing_token, 5_000),
    )
    .await;
    verify_that!(status, eq(200))?;
    let (status, _) = post(
        "/locks/l1/heartbeat",
        heartbeat_body("b", fencing_token, 5_000),
    )
    .await;
    verify_that!(status, eq(409))?;
    // A release is answered 200 whether or not the lock is held; a lock of another owner stays held.
    let (status, _) = post("/locks/l1/finish", finish_body("b", fencing_token)).await;
    verify_that!(status, eq(200))?;
    let (status, _) = post("/locks/l1/begin", begin_body("b", 5_000)).await;
    verify_that!(status, eq(409))?;
    let (status, _) = post("/locks/l1/finish", finish_body("a", fencing_token)).await;
    verify_that!(status, eq(200))?;
    let (status, body) = post("/locks/l1/begin", begin_body("b", 5_000)).await;
    verify_that!(
        (status, u64_field(&body, "fence") > fencing_token),
        eq((200, true))
    )?;
    let (status, body) = post("/numbers/n1", "{}".into()).await;
    let value = u64_field(&body, "val");
    verify_that!((status, body), eq(&(200, format!("{{\"val\":{value}}}"))))?;

    verify_that!(machines.get(0, "/cells/g1.a/get").await.0, eq(404))?;
    let watched = machines.get(0, "/watch/g1.?after=0&wait_ms=2000").await;
    verify_that!(watched, eq(&(200, "{\"events\":[],\"rev\":0}".into())))?;
    let written = post("/cells/g1.a/put", put_body("x", 0)).await;
    verify_that!(written, eq(&(200, "{\"rev\":1}".into())))?;
    let changed = post("/cells/g1.a/put", put_body("y", 0)).await;
    verify_that!(changed, eq(&(412, "{\"rev\":1}".into())))?;
    let changed = post("/cells/g1.b/put", put_body("z", 7)).await;
    verify_that!(changed, eq(&(412, "{\"rev\":0}".into())))?;
    // All cells of a group share one sequence of revisions; each group has its own.
    let written = post("/cells/g1.b/put", put_body("z", 0)).await;
    verify_that!(written, eq(&(200, "{\"rev\":2}".into())))?;
    let written = post("/cells/g2.b/put", put_body("z", 0)).await;
    verify_that!(written, eq(&(200, "{\"rev\":1}".into())))?;
    let read = machines.get(0, "/cells/g1.a/get").await;
    verify_that!(read, eq(&(200, "{\"val\":\"x\",\"rev\":1}".into())))?;
    let watched = machines.get(0, "/watch/g1.?after=1&wait_ms=2000").await;
    let events = "{\"events\":[{\"name\":\"g1.b\",\"val\":\"z\",\"rev\":2}],\"rev\":2}";
    verify_that!(watched, eq(&(200, events.into())))?;
    let watch_started_at = Instant::now();
    let watched = machines.get(0, "/watch/g1.?after=2&wait_ms=300").await;
    verify_that!(watched, eq(&(200, "{\"events\":[],\"rev\":2}".into())))?;
    verify_that!(watch_started_at.elapsed(), ge(Duration::from_millis(300)))
}

#[tokio::test]
async fn a_watch_from_a_revision_that_is_no_longer_retained_is_answered_410(
) -> googletest::Result<()> {
    const WRITERS: u64 = 48;
    let machines = CoreMachines::start_three(87);
    machines.wait_until_served().await;
    let machines = &machines;
    let put_repeatedly = |writer: u64| async move {
        let (path, mut revision) = (format!("/cells/g1.{writer}/put"), 0);
        for change in 0..MORE_THAN_RETAINED / WRITERS {
            let body = put_body(&format!("{writer}-{change}"), revision);
            let (status, body) = machines.post(writer as usize % 3, &path, &body).await;
            assert_eq!((status, u64_field(&body, "rev") > revision), (200, true));
            revision = u64_field(&body, "rev");
        }
    };
    run_concurrently((0..WRITERS).map(put_repeatedly)).await;
    let (status, _) = machines.get(0, "/watch/g1.?after=1&wait_ms=100").await;
    verify_that!(status, eq(410))?;
    // A watch that starts 8,000 changes back is still served.
    let path = format!(
        "/watch/g1.?after={}&wait_ms=100",
        MORE_THAN_RETAINED - 8_000
    );
    let (status, body) = machines.get(1, &path).await;
    verify_that!(status, eq(200))?;
    verify_that!(
        jzon::parse(&body).or_fail()?["events"][0]["rev"].as_u64(),
        some(eq(MORE_THAN_RETAINED - 8_000 + 1))
    )
}

/// Runs all of these futures concurrently.
async fn run_concurrently(futures: impl Iterator<Item = impl std::future::Future<Output = ()>>) {
    let mut futures: Vec<_> = futures.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        futures.retain_mut(|future| future.as_mut().poll(context).is_pending());
        match futures.is_empty() {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
}

#[tokio::test]
async fn a_watch_is_answered_by_a_put_through_another_registry() -> googletest::Result<()> {
    let machines = CoreMachines::start_three(88);
    machines.wait_until_served().await;
    let (status, _) = machines.post(0, "/cells/g1.a/put", &put_body("x", 0)).await;
    verify_that!(status, eq(200))?;
    for (watcher, writer) in [(0, 1), (1, 2), (2, 0)] {
        let value = format!("put-{writer}");
        let (_, body) = machines.get(watcher, "/cells/g1.a/get").await;
        let revision = u64_field(&body, "rev");
        let path = format!("/watch/g1.?after={revision}&wait_ms=8000");
        let started_at = Instant::now();
        let put = async {
            sleep(Duration::from_millis(300)).await;
            let body = put_body(&value, revision);
            machines.post(writer, "/cells/g1.a/put", &body).await
        };
        let (watched, put) = tokio::join!(machines.get(watcher, &path), put);
        verify_that!((watched.0, put.0), eq((200, 200)))?;
        verify_that!(watched.1, contains_substring(format!("\"{value}\"")))?;
        verify_that!(u64_field(&watched.1, "rev"), eq(u64_field(&put.1, "rev")))?;
        verify_that!(started_at.elapsed(), lt(CALL_TIMEOUT))?;
    }
    Ok(())
}

#[tokio::test]
async fn malformed_calls_are_answered_400_and_change_nothing() -> googletest::Result<()> {
    let machines = CoreMachines::start_three(89);
    machines.wait_until_served().await;
    let long = "x".repeat(513);
    let calls = [
        ("/locks/l1/begin", "{".to_owned(), "body"),
        ("/locks/l1/begin", "{\"owner\":\"a\"}".into(), "hold"),
        ("/locks/l1/begin", begin_body("a", 0), "hold"),
        (
            "/locks/l1/begin",
            "{\"owner\":\"a\",\"hold\":\"soon\"}".into(),
            "hold",
        ),
        (
            "/locks/l1/begin",
            "{\"owner\":7,\"hold\":\"1s\"}".into(),
            "body",
        ),
        ("/locks/l1/begin", begin_body(&long, 100), "owner"),
        ("/locks/l1/heartbeat", begin_body("a", 100), "fence"),
        (
            "/locks/l1/heartbeat",
            "{\"owner\":\"a\",\"fence\":-1,\"hold\":\"1s\"}".into(),
            "body",
        ),
        ("/locks/l1/finish", "{\"owner\":\"a\"}".into(), "fence"),
        ("/cells/g1.a/put", "{\"when\":0}".into(), "val"),
        (
            "/cells/g1.a/put",
            "{\"val\":\"x\",\"when\":\"now\"}".into(),
            "body",
        ),
        ("/cells/g1.a/put", put_body(&long, 0), "val"),
    ];
    for (path, body, reason) in calls {
        let (status, response) = machines.post(0, path, &body).await;
        verify_that!((path, &body, status), eq((path, &body, 400)))?;
        verify_that!(response, contains_substring(reason))?;
    }
    let (status, response) = machines.get(0, "/watch/g1.?after=first&wait_ms=100").await;
    verify_that!((status, response.contains("after")), eq((400, true)))?;
    let (status, _) = machines.get(0, "/cells/g1.a/get").await;
    verify_that!(status, eq(404))?;
    let (status, _) = machines
        .post(0, "/locks/l1/begin", &begin_body("b", 100))
        .await;
    verify_that!(status, eq(200))
}

#[tokio::test]
async fn calls_for_coordination_are_answered_404_if_the_settings_do_not_enable_them(
) -> googletest::Result<()> {
    let machines = CoreMachines::start(90, 1, settings::CoordinationApi::NotServed);
    let calls = [
        (Method::POST, "/locks/l1/begin", begin_body("a", 1_000)),
        (
            Method::POST,
            "/locks/l1/heartbeat",
            heartbeat_body("a", 1, 1_000),
        ),
        (Method::POST, "/locks/l1/finish", finish_body("a", 1)),
        (Method::POST, "/numbers/n1", "{}".into()),
        (Method::POST, "/cells/g1.a/put", put_body("x", 0)),
        (Method::GET, "/cells/g1.a/get", String::new()),
        (Method::GET, "/watch/g1.?after=0&wait_ms=100", String::new()),
    ];
    machines.get(0, "/status").await;
    for (method, path, body) in calls {
        let answer = machines
            .call_within(CALL_TIMEOUT, 0, (method, path), &body)
            .await;
        let status = answer.map(|(status, _)| status);
        verify_that!((path, status), eq((path, Some(404))))?;
    }
    Ok(())
}
