//! The registry as a process: its calls, its sessions, its end.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    beat, call, call_once_confirmed, item, store, store_cut_off, store_with_disk, Limiter,
    RegistryProcess, SOON,
};
use emberpin_config::ItemKind;
use emberpin_membership::instance::Status;
use emberpin_membership::session::ToLimiter;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_store::protocol::{DiskState, DiskStatus};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::process::Command;
use std::time::{Duration, Instant};

/// An operator that meets a machine that is cut off is told within this time.
const AT_ONCE: Duration = Duration::from_millis(300);

fn ip(test: u8, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, test, machine)
}

#[tokio::test]
async fn beats_are_taken_and_told_and_calls_are_passed() -> googletest::Result<()> {
    let me = ip(1, 1);
    store(
        me,
        vec![me],
        vec![item(
            ItemKind::Service,
            "svc-a",
            7,
            Some("{\"warmup\":\"2s\"}"),
        )],
    )
    .await;
    let _lookout = RegistryProcess::start(me, &[me]);
    let mut limiter = Limiter::connect(me).await;
    let items = limiter.until(|told| match told {
        ToLimiter::Snapshot { items, .. } | ToLimiter::Changes { items, .. } => {
            items.first().cloned()
        }
        ToLimiter::SnapshotPart { .. } | ToLimiter::Pulse { .. } => None,
    });
    verify_that!(items.await.key.name.as_str(), eq("svc-a"))?;
    let (status, answer) = call(
        me,
        "POST",
        "/instances/i-1/heartbeat",
        &beat("svc-a", 8080, "up", 1),
    )
    .await;
    verify_that!(status, eq(200))?;
    verify_that!(
        answer,
        contains_substring("{\"hb_addr\":\"127.77.1.1:8649\"}")
    )?;
    let instance = limiter
        .until(|told| match told {
            ToLimiter::Changes { instances, .. } => instances.first().cloned(),
            _ => None,
        })
        .await;
    verify_that!(
        (instance.id.as_str(), instance.status, instance.slots),
        eq(("i-1", Status::Up, 4))
    )?;
    let (status, answer) = call(me, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, answer.ends_with("patch of 2 bytes")),
        eq((200, true))
    )?;
    let (status, answer) = call(me, "GET", "/config/get", "").await;
    verify_that!(
        (status, answer.contains("application/json")),
        eq((200, true))
    )?;
    verify_that!(answer, ends_with("{\"svcs\":[]}"))?;
    let (status, answer) = call(me, "POST", "/evac/north/begin", "").await;
    verify_that!((status, answer.ends_with("north true")), eq((200, true)))?;
    let (status, answer) = call(me, "POST", "/instances/i-1/leave", "").await;
    verify_that!(
        (status, answer.contains("content-length: 0")),
        eq((200, true))
    )?;
    let gone = limiter
        .until(|told| match told {
            ToLimiter::Changes { instances, .. } => instances.first().cloned(),
            _ => None,
        })
        .await;
    verify_that!((gone.id.as_str(), gone.status), eq(("i-1", Status::Gone)))?;
    limiter
        .until(|told| matches!(told, ToLimiter::Pulse { age: Some(_), .. }).then_some(()))
        .await;
    let (status, answer) = call(me, "GET", "/status", "").await;
    verify_that!(
        (status, answer.contains("\"status\":\"gone\"")),
        eq((200, true))
    )?;
    verify_that!(answer, contains_substring("\"settled\":true"))
}

#[tokio::test]
async fn bad_calls_are_refused_with_place_and_reason() -> googletest::Result<()> {
    let me = ip(2, 1);
    let _lookout = RegistryProcess::start(me, &[me]);
    let long = " ".repeat(9 << 20);
    let stateless = beat("a", 80, "", 1);
    let cases = [
        ("GET", "/nothing", "", 404, "/nothing"),
        ("POST", "/instances//heartbeat", "", 404, "no such call"),
        ("GET", "/config/patch", "", 405, "POST"),
        ("POST", "/instances/i-1/heartbeat", "{", 400, "body"),
        (
            "POST",
            "/instances/i-1/heartbeat",
            stateless.as_str(),
            400,
            "stat.state: expected up or drain",
        ),
        (
            "POST",
            "/config/patch",
            long.as_str(),
            413,
            "body: more than",
        ),
    ];
    for (method, path, body, expected, reason) in cases {
        let (status, answer) = call(me, method, path, body).await;
        verify_that!((path, status), eq((path, expected)))?;
        verify_that!(answer, contains_substring(reason))?;
    }
    // No store anywhere: such calls come again elsewhere.
    let begin = Instant::now();
    let (status, answer) = call(me, "POST", "/config/patch", "{}").await;
    verify_that!((status, answer.contains("retry-after")), eq((503, true)))?;
    verify_that!(begin.elapsed(), lt(Duration::from_secs(1)))
}

#[tokio::test]
async fn a_drain_is_acknowledged_by_a_majority_only() -> googletest::Result<()> {
    let all = [ip(3, 1), ip(3, 2), ip(3, 3)];
    for machine in all {
        store(machine, all.to_vec(), vec![]).await;
    }
    let first = RegistryProcess::start(all[0], &all);
    let (status, _) = call(
        all[0],
        "POST",
        "/instances/i-1/heartbeat",
        &beat("a", 80, "up", 1),
    )
    .await;
    verify_that!(status, eq(200))?;
    // Alone among three, it may not promise.
    let (status, _) = call(
        all[0],
        "POST",
        "/instances/i-1/heartbeat",
        &beat("a", 80, "drain", 2),
    )
    .await;
    verify_that!(status, eq(503))?;
    let _second = RegistryProcess::start(all[1], &all);
    let mut limiter = Limiter::connect(all[1]).await;
    let drains = |told: &ToLimiter| match told {
        ToLimiter::Snapshot { instances, .. } | ToLimiter::Changes { instances, .. } => instances
            .iter()
            .any(|instance| instance.id == "i-1" && instance.status == Status::Drain)
            .then_some(()),
        ToLimiter::SnapshotPart { .. } | ToLimiter::Pulse { .. } => None,
    };
    limiter.until(drains).await;
    let (status, _) = call(
        all[0],
        "POST",
        "/instances/i-1/heartbeat",
        &beat("a", 80, "drain", 3),
    )
    .await;
    verify_that!(status, eq(200))?;
    // Its taker is killed; the other one knows.
    drop(first);
    let (_, answer) = call(all[1], "GET", "/status", "").await;
    verify_that!(answer, contains_substring("\"status\":\"drain\""))
}

#[tokio::test]
async fn an_order_at_a_machine_that_is_cut_off_is_sent_on_once_and_at_once(
) -> googletest::Result<()> {
    let all = [ip(10, 1), ip(10, 2), ip(10, 3)];
    store_cut_off(all[0], all.to_vec()).await;
    store(all[1], all.to_vec(), vec![]).await;
    let _cut = RegistryProcess::start(all[0], &all);
    let calls = [
        ("POST", "/config/patch", "{}"),
        ("GET", "/config/get", ""),
        ("POST", "/evac/north/begin", ""),
        ("POST", "/evac/no%20rth/finish", ""),
    ];
    // It knows of no other that could take them.
    for (method, path, body) in calls {
        let (status, took) = timed_call(all[0], method, path, body).await;
        verify_that!((path, status.0, took < AT_ONCE), eq((path, 503, true)))?;
    }
    let _whole = RegistryProcess::start(all[1], &all);
    let mut limiter = Limiter::connect(all[1]).await;
    limiter
        .until(|told| matches!(told, ToLimiter::Pulse { age: Some(_), .. }).then_some(()))
        .await;
    let mut beat = tokio::time::interval(Duration::from_millis(20));
    let begin = Instant::now();
    // It is told at the other one's next pulse.
    while call(all[0], "GET", "/config/get", "").await.0 != 307 {
        beat.tick().await;
        verify_that!(begin.elapsed(), lt(SOON))?;
    }
    for (method, path, body) in calls {
        let ((status, answer), took) = timed_call(all[0], method, path, body).await;
        verify_that!((path, status, took < AT_ONCE), eq((path, 307, true)))?;
        let location = format!("location: http://{}:8649{path}?sent-on\r\n", all[1]);
        verify_that!(answer, contains_substring(location))?;
        let again = format!("{path}?sent-on");
        let ((status, _), took) = timed_call(all[0], method, &again, body).await;
        verify_that!((path, status, took < AT_ONCE), eq((path, 503, true)))?;
        let (status, _) = call(all[1], method, &again, body).await;
        verify_that!((path, status), eq((path, 200)))?;
    }
    Ok(())
}

async fn timed_call(
    ip: Ipv4Addr,
    method: &str,
    path: &str,
    body: &str,
) -> ((u16, String), Duration) {
    let begin = Instant::now();
    let answer = call(ip, method, path, body).await;
    println!("{method} {path}: {} after {:?}", answer.0, begin.elapsed());
    (answer, begin.elapsed())
}

#[tokio::test]
async fn another_voters_store_stands_in() -> googletest::Result<()> {
    let (me, other) = (ip(6, 1), ip(6, 2));
    store(
        other,
        vec![other],
        vec![item(ItemKind::Service, "svc-a", 7, Some("{}"))],
    )
    .await;
    let _lookout = RegistryProcess::start(me, &[me, other]);
    let mut limiter = Limiter::connect(me).await;
    let look = |told: &ToLimiter| match told {
        ToLimiter::Snapshot { items, .. } | ToLimiter::Changes { items, .. } => {
            items.first().cloned()
        }
        ToLimiter::SnapshotPart { .. } | ToLimiter::Pulse { .. } => None,
    };
    verify_that!(limiter.until(look).await.key.name.as_str(), eq("svc-a"))?;
    let (status, _) = call_once_confirmed(me, "GET", "/config/get", "").await;
    verify_that!(status, eq(200))?;
    let begin = Instant::now();
    let (status, answer) = call(me, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, answer.ends_with("patch of 2 bytes")),
        eq((200, true))
    )?;
    verify_that!(begin.elapsed(), lt(Duration::from_millis(700)))?;
    // The one here is back, and is the one that is asked.
    store(
        me,
        vec![other],
        vec![item(ItemKind::Service, "svc-a", 8, Some("{}"))],
    )
    .await;
    let newer = |told: &ToLimiter| look(told).filter(|item| item.version == 8);
    limiter.until(newer).await;
    Ok(())
}

#[tokio::test]
async fn a_store_that_takes_calls_and_never_answers_is_passed_over() -> googletest::Result<()> {
    let (me, other) = (ip(8, 1), ip(8, 2));
    let _mute = tokio::net::TcpListener::bind((me, common::KEEPER)).await?;
    store(
        other,
        vec![other],
        vec![item(ItemKind::Service, "svc-a", 7, Some("{}"))],
    )
    .await;
    let _lookout = RegistryProcess::start(me, &[me, other]);
    let mut limiter = Limiter::connect(me).await;
    // It is followed by then, as the one here is silent.
    let look = |told: &ToLimiter| match told {
        ToLimiter::Snapshot { items, .. } | ToLimiter::Changes { items, .. } => {
            items.first().map(|_| ())
        }
        ToLimiter::SnapshotPart { .. } | ToLimiter::Pulse { .. } => None,
    };
    limiter.until(look).await;
    let (status, answer) = call_once_confirmed(me, "POST", "/evac/north/finish", "").await;
    verify_that!((status, answer.ends_with("north false")), eq((200, true)))
}

#[tokio::test]
async fn calls_go_past_a_store_with_a_full_disk_and_the_status_tells_it() -> googletest::Result<()>
{
    let (me, other) = (ip(12, 1), ip(12, 2));
    let full = DiskStatus {
        state: DiskState::Full,
        used_bytes: 90,
        limit_bytes: 100,
    };
    store_with_disk(me, vec![me, other], vec![], full).await;
    store(other, vec![me, other], vec![]).await;
    let _registry = RegistryProcess::start(me, &[me, other]);
    let mut limiter = Limiter::connect(me).await;
    limiter.until(|_| Some(())).await;
    let (status, answer) = call_once_confirmed(me, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, answer.ends_with("patch of 2 bytes")),
        eq((200, true))
    )?;
    let (status, _) = call(me, "GET", "/config/get", "").await;
    verify_that!(status, eq(200))?;
    let told = async {
        loop {
            let (_, answer) = call(me, "GET", "/status", "").await;
            if answer.contains("\"disk\":{\"state\":\"full\",\"used\":90,\"of\":100}") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    verify_that!(tokio::time::timeout(SOON, told).await, ok(anything()))
}

#[tokio::test]
async fn a_call_that_every_store_refuses_is_told_why() -> googletest::Result<()> {
    let me = ip(13, 1);
    let full = DiskStatus {
        state: DiskState::Full,
        used_bytes: 90,
        limit_bytes: 100,
    };
    store_with_disk(me, vec![me], vec![], full).await;
    let _registry = RegistryProcess::start(me, &[me]);
    Limiter::connect(me).await.until(|_| Some(())).await;
    let (status, answer) = call_once_confirmed(me, "POST", "/config/patch", "{}").await;
    verify_that!(status, eq(503))?;
    verify_that!(answer, contains_substring("patch of 2 bytes"))
}

#[tokio::test]
async fn bodies_that_are_cut_short_hold_up_nobody() -> googletest::Result<()> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let me = ip(9, 1);
    store(me, vec![me], vec![]).await;
    let _lookout = RegistryProcess::start(me, &[me]);
    let mut cut = Vec::new();
    for _ in 0..30 {
        let mut stream = common::connect(me, common::CTL).await;
        let part = "POST /config/patch HTTP/1.1\r\nHost: here\r\nContent-Length: 100000\r\n\r\n{";
        stream.write_all(part.as_bytes()).await?;
        cut.push(stream);
    }
    let begin = Instant::now();
    let (status, _) = call(me, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, begin.elapsed() < Duration::from_millis(900)),
        eq((200, true))
    )?;
    // They are told so, soon.
    let mut answer = vec![0; 12];
    tokio::time::timeout(SOON / 2, cut[0].read_exact(&mut answer)).await??;
    verify_that!(String::from_utf8(answer)?.as_str(), eq("HTTP/1.1 408"))
}

#[tokio::test]
async fn a_limiter_that_reads_slowly_holds_up_nobody() -> googletest::Result<()> {
    let me = ip(7, 1);
    // A snapshot that no socket holds.
    let body = "x".repeat(7 << 20);
    store(
        me,
        vec![me],
        vec![item(ItemKind::Route, "large", 1, Some(&body))],
    )
    .await;
    let _lookout = RegistryProcess::start(me, &[me]);
    let mut other = Limiter::connect(me).await;
    let large = |told: &ToLimiter| match told {
        ToLimiter::Snapshot { items, .. } | ToLimiter::Changes { items, .. } => {
            items.first().map(|_| ())
        }
        ToLimiter::SnapshotPart { .. } | ToLimiter::Pulse { .. } => None,
    };
    other.until(large).await;
    // It goes on saying that it is there, but is ever further behind.
    let slow = tokio::spawn(Limiter::connect(me).await.read_slowly());
    let mut number = 0;
    while !slow.is_finished() {
        number += 1;
        let id = format!("s-{number}");
        let path = format!("/instances/{id}/heartbeat");
        let begin = Instant::now();
        let (status, _) = call(me, "POST", &path, &beat("a", 1000 + number, "up", 1)).await;
        verify_that!(status, eq(200))?;
        let named = |told: &ToLimiter| match told {
            ToLimiter::Changes { instances, .. } => instances
                .iter()
                .any(|instance| instance.id == id)
                .then_some(()),
            _ => None,
        };
        other.until(named).await;
        verify_that!(begin.elapsed(), lt(Duration::from_millis(500)))?;
        verify_that!(number, lt(2_000))?;
    }
    Ok(())
}

#[tokio::test]
async fn what_cannot_be_read_ends_its_connection_only() -> googletest::Result<()> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let me = ip(4, 1);
    let _lookout = RegistryProcess::start(me, &[me]);
    let mut limiter = Limiter::connect(me).await;
    let mut stream = common::connect(me, common::KEEPER + 1).await;
    let (mut from, mut to) = stream.split();
    ProcessIdentity::new(1)
        .handshake(&mut from, &mut to)
        .await
        .expect("greeted");
    stream.write_all(&[0, 0, 0, 2, 99, 99]).await?;
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(SOON, stream.read_to_end(&mut rest)).await;
    verify_that!(ended.is_ok(), eq(true))?;
    verify_that!(rest, is_empty())?;
    limiter
        .until(|told| matches!(told, ToLimiter::Pulse { .. }).then_some(()))
        .await;
    let (_, answer) = call(me, "GET", "/status", "").await;
    verify_that!(answer, contains_substring("\"unreadable\":1"))
}

#[tokio::test]
async fn sigterm_ends_it_soon() -> googletest::Result<()> {
    let me = ip(5, 1);
    let mut best = SOON;
    // A busy machine may hold up one of them; a process that waits for something is late each time.
    for _ in 0..5 {
        let mut registry = RegistryProcess::start(me, &[me]);
        let _limiter = Limiter::connect(me).await;
        let _idle = common::connect(me, common::CTL).await;
        _ = call(me, "GET", "/status", "").await;
        let begin = Instant::now();
        Command::new("kill")
            .args(["-TERM", &registry.id().to_string()])
            .status()?;
        let code = tokio::task::spawn_blocking(move || registry.end()).await?;
        verify_that!(code, some(eq(0)))?;
        best = best.min(begin.elapsed());
    }
    verify_that!(best, lt(Duration::from_millis(400)))
}

/// Held for each size: a limiter that begins while changes go on has all of it, and soon. The time is printed.
#[tokio::test]
async fn a_limiter_catches_up_while_changes_go_on() -> googletest::Result<()> {
    for (machine, size) in [(1, 100), (2, 1_000), (3, 10_000)] {
        let me = ip(11, machine);
        let body = "x".repeat(300);
        let routes = (0..size)
            .map(|number| item(ItemKind::Route, &format!("r-{number:05}"), 1, Some(&body)));
        store(me, vec![me], routes.collect()).await;
        let _registry = RegistryProcess::start(me, &[me]);
        let mut first = Limiter::connect(me).await;
        first.fetch(size).await;
        let changes = tokio::spawn(async move {
            for number in 0.. {
                let path = format!("/instances/s-{number}/heartbeat");
                if call(me, "POST", &path, &beat("a", 1000 + number, "up", 1))
                    .await
                    .0
                    != 200
                {
                    return;
                }
            }
        });
        let begin = Instant::now();
        let mut limiter = Limiter::connect(me).await;
        let parts = limiter.fetch(size).await;
        let took = begin.elapsed();
        println!("{size} routes in {parts} parts after {took:?}");
        changes.abort();
        verify_that!(took, lt(Duration::from_secs(2)))?;
    }
    Ok(())
}
