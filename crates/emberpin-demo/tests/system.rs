//! The worst days of the control side, over processes that the deploy file names: what an operator sees at `ctl`.
#![allow(missing_docs, reason = "a test has no public interface")]

mod deployed_system;

use deployed_system::{
    drop_route, first, service, set, shown, vhost, DeployedSystem, ACK, LONG, SYNC_TIME,
};
use googletest::prelude::*;
use hyper::Method;
use nix::sys::signal::Signal;
use std::sync::Barrier;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Refused, or left without a clear answer.
const UNCLEAR: u16 = 503;

/// Sends an order to each machine in turn; none may refuse it.
fn never_refused(site: &DeployedSystem, order: &str) {
    for core in 0..3 {
        let told = site
            .once(core, Method::POST, "/config/patch", order)
            .map_or(UNCLEAR, |(status, _)| status);
        expect_that!(told, any![eq(200), ge(500)], "machine {core}: {order}");
    }
}

#[gtest]
fn an_order_that_was_taken_is_never_refused_later() {
    let site = DeployedSystem::start(41);
    expect_that!(site.patch(0, &first()), eq(200));
    let (five, six, seven) = (set("x", 5, 1_500), set("x", 6, 1_600), drop_route("x", 7));
    expect_that!(site.patch(0, &five), eq(200));
    expect_that!(site.patch(1, &six), eq(200));
    never_refused(&site, &five);
    expect_that!(site.patch(2, &seven), eq(200));
    for order in [&five, &six, &seven] {
        never_refused(&site, order);
    }
    expect_that!(shown(&site.get(0), "x"), none());
}

#[gtest]
fn another_content_under_a_confirmed_number_is_refused_in_any_call() {
    let site = DeployedSystem::start(42);
    expect_that!(site.patch(0, &first()), eq(200));
    expect_that!(site.patch(0, &set("x", 5, 1_500)), eq(200));
    expect_that!(site.patch(1, &set("x", 6, 1_600)), eq(200));
    let mixed = format!(
        "{{\"upsert\":{{\"svcs\":[{}],\"vhosts\":[{}]}}}}",
        service("new", 1),
        vhost("x", 5, 1_700)
    );
    for core in 0..3 {
        let told = site.patch(core, &mixed);
        expect_that!(told, all![ge(400), lt(500)], "machine {core}");
    }
    let all = site.get(2);
    expect_that!(shown(&all, "x"), some(eq(&(6, "1600ms".to_owned()))));
    expect_that!(all, not(contains_substring("\"new\"")));
}

#[gtest]
fn of_eight_operators_who_race_for_one_number_one_is_confirmed() {
    let site = DeployedSystem::start(43);
    expect_that!(site.patch(0, &first()), eq(200));
    for round in 1..=10 {
        let start = Barrier::new(8);
        let race = |operator: u64| {
            let order = set("x", round, 1_000 + operator);
            // Each has a connection of its own, and no runtime in common.
            let call = emberpin_demo::http::call(
                site.ctl(operator as usize % 3),
                Method::POST,
                "/config/patch",
                order,
                LONG,
            );
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            start.wait();
            runtime.block_on(call).map(|answer| answer.status)
        };
        let told: Vec<Option<u16>> = std::thread::scope(|scope| {
            let racers: Vec<_> = (0..8)
                .map(|operator| scope.spawn(move || race(operator)))
                .collect();
            racers
                .into_iter()
                .map(|racer| racer.join().expect("a racer"))
                .collect()
        });
        let winners: Vec<u64> = (0..8)
            .filter(|racer| told[*racer as usize] == Some(200))
            .collect();
        expect_that!(winners.len(), le(1), "round {round}: {told:?}");
        let (ver, timeout) = shown(&site.get(round as usize % 3), "x").unwrap_or_default();
        expect_that!(ver, eq(round));
        if let Some(winner) = winners.first() {
            expect_that!(timeout, eq(&format!("{}ms", 1_000 + winner)));
        }
    }
}

#[gtest]
fn a_second_disk_may_go_sync_time_after_the_first_is_back() {
    let mut site = DeployedSystem::start(44);
    expect_that!(site.patch(0, &first()), eq(200));
    for (ver, core) in [(1, 0), (2, 1), (3, 2), (4, 0)] {
        expect_that!(site.patch(core, &set("x", ver, 1_000 + ver)), eq(200));
        // Right after the acknowledgement.
        site.wipe_machine(core);
        site.start_machine(core, false);
        // The span is part of the promise.
        sleep(SYNC_TIME);
        expect_that!(
            shown(&site.get(core), "x"),
            some(eq(&(ver, format!("{}ms", 1_000 + ver))))
        );
    }
}

#[gtest]
fn a_wiped_disk_that_comes_with_bootstrap_founds_nothing() {
    let mut site = DeployedSystem::start(45);
    expect_that!(site.patch(0, &first()), eq(200));
    expect_that!(site.patch(0, &set("x", 5, 1_500)), eq(200));
    site.wipe_machine(0);
    site.start_machine(0, true);
    let until = Instant::now() + SYNC_TIME;
    // Whatever it says meanwhile, it shows all that was acknowledged, and lets no other content pass.
    while Instant::now() < until {
        if let Some((200, body)) = site.once(0, Method::GET, "/config/get", "") {
            expect_that!(shown(&body, "x"), some(eq(&(5, "1500ms".to_owned()))));
        }
        let other = site.once(0, Method::POST, "/config/patch", &set("x", 5, 1_700));
        expect_that!(other.map(|(status, _)| status), not(some(eq(200))));
    }
    // A second machine goes: what was acknowledged is on the disk of the one that came back.
    site.wipe_machine(1);
    expect_that!(
        shown(&site.get(0), "x"),
        some(eq(&(5, "1500ms".to_owned())))
    );
    expect_that!(site.patch(0, &set("x", 6, 1_600)), eq(200));
    expect_that!(
        shown(&site.get(2), "x"),
        some(eq(&(6, "1600ms".to_owned())))
    );
}

#[gtest]
fn a_machine_that_was_frozen_says_nothing_old_and_the_others_answer_meanwhile() {
    let site = DeployedSystem::start(46);
    expect_that!(site.patch(0, &first()), eq(200));
    expect_that!(site.patch(0, &set("x", 1, 1_001)), eq(200));
    for (round, span) in [(1, 1), (2, 6)] {
        site.signal(0, Signal::SIGSTOP);
        let until = Instant::now() + Duration::from_secs(span);
        let mut ver = round * 1_000;
        while Instant::now() < until {
            ver += 1;
            let asked = Instant::now();
            expect_that!(
                site.patch(1 + ver as usize % 2, &set("x", ver, ver)),
                eq(200)
            );
            expect_that!(asked.elapsed(), lt(ACK));
        }
        site.signal(0, Signal::SIGCONT);
        let thawed = Instant::now();
        let mut reads = 0;
        // Until it answers again, and for a while after that.
        while thawed.elapsed() < Duration::from_secs(2) || (reads == 0 && thawed.elapsed() < LONG) {
            if let Some((200, body)) = site.once(0, Method::GET, "/config/get", "") {
                reads += 1;
                expect_that!(shown(&body, "x"), some(eq(&(ver, format!("{ver}ms")))));
            }
        }
        expect_that!(reads, gt(0));
    }
}

#[gtest]
fn six_hundred_changes_outlast_a_restart_of_each_machine() {
    const CHANGES: u64 = 600;
    let mut site = DeployedSystem::start(47);
    expect_that!(site.patch(0, &first()), eq(200));
    for ver in 1..=CHANGES {
        let name = format!("x{}", ver % 20);
        let order = if ver % 50 == 7 {
            drop_route(&name, ver)
        } else {
            set(&name, ver, 1_000 + ver)
        };
        verify_that!(site.patch(ver as usize % 3, &order), eq(200)).and_log_failure();
    }
    for core in 0..3 {
        site.kill_machine(core);
        site.start_machine(core, false);
        let restarted = Instant::now();
        let body = loop {
            match site.once(core, Method::GET, "/config/get", "") {
                Some((200, body)) => break body,
                _ => assert!(restarted.elapsed() < LONG, "machine {core} does not answer"),
            }
        };
        for name in 0..20 {
            let last = CHANGES - (CHANGES - name) % 20;
            let last = if last > CHANGES { last - 20 } else { last };
            let expected = (last % 50 != 7).then(|| (last, format!("{}ms", 1_000 + last)));
            expect_that!(shown(&body, &format!("x{name}")), eq(&expected));
        }
        let next = CHANGES + 1 + core as u64;
        expect_that!(site.patch(core, &set("after", next, next)), eq(200));
    }
}
