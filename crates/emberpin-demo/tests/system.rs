//! Faults of core machines in a system of the processes that the deploy file names, as an operator observes them at
//! `ctl`.
#![allow(missing_docs, reason = "a test has no public interface")]

mod deployed_system;

use deployed_system::{
    drop_route_patch, first_patch, route_patch, service, shown_route, vhost, DeployedSystem, ACK,
    ANSWER_TIMEOUT, SYNC_TIME,
};
use emberpin_demo::node_settings::StartMode;
use emberpin_demo::role::Role;
use googletest::prelude::*;
use hyper::Method;
use nix::sys::signal::Signal;
use std::sync::Barrier;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The status that stands for a call without a response.
const NO_RESPONSE: u16 = 503;

/// Sends a patch to each core machine in turn and expects that none rejects it.
fn expect_never_rejected(system: &DeployedSystem, patch: &str) {
    for core in 0..3 {
        let status = system
            .call_once(core, Method::POST, "/config/patch", patch)
            .map_or(NO_RESPONSE, |(status, _)| status);
        expect_that!(status, any![eq(200), ge(500)], "machine {core}: {patch}");
    }
}

#[gtest]
fn an_accepted_patch_is_never_rejected_later() {
    let system = DeployedSystem::start(41);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    let (version_5, version_6, drop_version_7) = (
        route_patch("x", 5, 1_500),
        route_patch("x", 6, 1_600),
        drop_route_patch("x", 7),
    );
    expect_that!(system.patch(0, &version_5), eq(200));
    expect_that!(system.patch(1, &version_6), eq(200));
    expect_never_rejected(&system, &version_5);
    expect_that!(system.patch(2, &drop_version_7), eq(200));
    for patch in [&version_5, &version_6, &drop_version_7] {
        expect_never_rejected(&system, patch);
    }
    expect_that!(shown_route(&system.read_back(0), "x"), none());
}

#[gtest]
fn other_content_under_an_acknowledged_version_is_rejected_by_every_machine() {
    let system = DeployedSystem::start(42);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    expect_that!(system.patch(0, &route_patch("x", 5, 1_500)), eq(200));
    expect_that!(system.patch(1, &route_patch("x", 6, 1_600)), eq(200));
    let mixed = format!(
        "{{\"upsert\":{{\"svcs\":[{}],\"vhosts\":[{}]}}}}",
        service("new", 1),
        vhost("x", 5, 1_700)
    );
    for core in 0..3 {
        let status = system.patch(core, &mixed);
        expect_that!(status, all![ge(400), lt(500)], "machine {core}");
    }
    let all = system.read_back(2);
    expect_that!(shown_route(&all, "x"), some(eq(&(6, "1600ms".to_owned()))));
    expect_that!(all, not(contains_substring("\"new\"")));
}

#[gtest]
fn at_most_one_of_eight_concurrent_patches_of_one_version_is_acknowledged() {
    let system = DeployedSystem::start(43);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    for round in 1..=10 {
        let start = Barrier::new(8);
        let race = |operator: u64| {
            let patch = route_patch("x", round, 1_000 + operator);
            // Each operator has its own connection and its own runtime.
            let call = emberpin_demo::http::call(
                system.ctl(operator as usize % 3),
                Method::POST,
                "/config/patch",
                patch,
                ANSWER_TIMEOUT,
            );
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            start.wait();
            runtime.block_on(call).map(|answer| answer.status)
        };
        let statuses: Vec<Option<u16>> = std::thread::scope(|scope| {
            let operators: Vec<_> = (0..8)
                .map(|operator| scope.spawn(move || race(operator)))
                .collect();
            operators
                .into_iter()
                .map(|operator| operator.join().expect("a racer"))
                .collect()
        });
        let winners: Vec<u64> = (0..8)
            .filter(|operator| statuses[*operator as usize] == Some(200))
            .collect();
        expect_that!(winners.len(), le(1), "round {round}: {statuses:?}");
        let (ver, timeout) =
            shown_route(&system.read_back(round as usize % 3), "x").unwrap_or_default();
        expect_that!(ver, eq(round));
        if let Some(winner) = winners.first() {
            expect_that!(timeout, eq(&format!("{}ms", 1_000 + winner)));
        }
    }
}

#[gtest]
fn a_second_disk_may_be_lost_sync_time_after_the_first_machine_is_back() {
    let mut system = DeployedSystem::start(44);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    for (ver, core) in [(1, 0), (2, 1), (3, 2), (4, 0)] {
        expect_that!(
            system.patch(core, &route_patch("x", ver, 1_000 + ver)),
            eq(200)
        );
        // The disk is lost right after the acknowledgement.
        system.wipe_machine(core);
        system.start_machine(core, StartMode::Restart);
        // After `sync_time`, the machine is guaranteed to have a complete copy again.
        sleep(SYNC_TIME);
        expect_that!(
            shown_route(&system.read_back(core), "x"),
            some(eq(&(ver, format!("{}ms", 1_000 + ver))))
        );
    }
}

#[gtest]
fn a_machine_that_bootstraps_with_a_wiped_disk_creates_no_second_deployment() {
    let mut system = DeployedSystem::start(45);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    expect_that!(system.patch(0, &route_patch("x", 5, 1_500)), eq(200));
    system.wipe_machine(0);
    system.start_machine(0, StartMode::Bootstrap);
    let until = Instant::now() + SYNC_TIME;
    // Meanwhile, any configuration that it returns must have all acknowledged content, and it must not accept other
    // content.
    while Instant::now() < until {
        if let Some((200, body)) = system.call_once(0, Method::GET, "/config/get", "") {
            expect_that!(shown_route(&body, "x"), some(eq(&(5, "1500ms".to_owned()))));
        }
        let other = system.call_once(
            0,
            Method::POST,
            "/config/patch",
            &route_patch("x", 5, 1_700),
        );
        expect_that!(other.map(|(status, _)| status), not(some(eq(200))));
    }
    // A second machine is lost: the acknowledged content must be on the disk of the machine that came back.
    system.wipe_machine(1);
    expect_that!(
        shown_route(&system.read_back(0), "x"),
        some(eq(&(5, "1500ms".to_owned())))
    );
    expect_that!(system.patch(0, &route_patch("x", 6, 1_600)), eq(200));
    expect_that!(
        shown_route(&system.read_back(2), "x"),
        some(eq(&(6, "1600ms".to_owned())))
    );
}

#[gtest]
fn a_frozen_machine_returns_nothing_stale_and_the_others_respond_meanwhile() {
    let system = DeployedSystem::start(46);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    expect_that!(system.patch(0, &route_patch("x", 1, 1_001)), eq(200));
    for (round, frozen_seconds) in [(1, 1), (2, 6)] {
        system.send_signal(0, Signal::SIGSTOP);
        let until = Instant::now() + Duration::from_secs(frozen_seconds);
        let mut ver = round * 1_000;
        while Instant::now() < until {
            ver += 1;
            let sent_at = Instant::now();
            expect_that!(
                system.patch(1 + ver as usize % 2, &route_patch("x", ver, ver)),
                eq(200)
            );
            expect_that!(sent_at.elapsed(), lt(ACK));
        }
        system.send_signal(0, Signal::SIGCONT);
        let resumed_at = Instant::now();
        let mut reads = 0;
        // Until it responds again, and for at least two seconds.
        while resumed_at.elapsed() < Duration::from_secs(2)
            || (reads == 0 && resumed_at.elapsed() < ANSWER_TIMEOUT)
        {
            if let Some((200, body)) = system.call_once(0, Method::GET, "/config/get", "") {
                reads += 1;
                expect_that!(
                    shown_route(&body, "x"),
                    some(eq(&(ver, format!("{ver}ms"))))
                );
            }
        }
        expect_that!(reads, gt(0));
    }
}

/// The sum of a metric over the core machines, over all series whose line contains `labels`.
fn sum_over_core(system: &DeployedSystem, role: Role, metric: &str, labels: &str) -> f64 {
    let mut sum = 0.0;
    for core in 0..3 {
        let text = system.metrics(core, role);
        let is_series_of_metric = |line: &&str| line.starts_with(metric) && line.contains(labels);
        let values = text
            .lines()
            .filter(is_series_of_metric)
            .filter_map(|line| line.rsplit_once(' '));
        sum += values
            .map(|(_, value)| value.parse::<f64>().expect("a number"))
            .sum::<f64>();
    }
    sum
}

#[gtest]
fn each_program_serves_its_metrics_where_the_deploy_file_says() {
    let system = DeployedSystem::start(49);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    expect_that!(system.patch(1, &route_patch("x", 1, 1_001)), eq(200));
    for (role, metric, labels) in [
        (
            Role::Registry,
            "emberpin_registry_calls_total{",
            "call=\"config_patch\",status=\"200\"",
        ),
        (Role::Store, "emberpin_store_calls_total{", "status=\"200\""),
    ] {
        expect_that!(
            sum_over_core(&system, role, metric, labels),
            eq(2.0),
            "{metric}"
        );
    }
    let sync_count = sum_over_core(
        &system,
        Role::Store,
        "emberpin_store_sync_seconds_count",
        "",
    );
    expect_that!(sync_count, ge(4.0));
    // Gauges are updated within a second.
    let started_at = Instant::now();
    let all_confirmed = || {
        let confirmed = sum_over_core(&system, Role::Registry, "emberpin_registry_confirmed", "");
        let voters = sum_over_core(&system, Role::Store, "emberpin_store_voters", "");
        (confirmed, voters) == (3.0, 9.0)
    };
    while !all_confirmed() && started_at.elapsed() < ANSWER_TIMEOUT {
        sleep(Duration::from_millis(100));
    }
    expect_that!(all_confirmed(), eq(true));
    let proxy = system.metrics(3, Role::Proxy);
    expect_that!(
        proxy,
        contains_substring("emberpin_proxy_requests_in_flight 0")
    );
}

/// `recover` of the settings: the maximum time until the system serves again after the loss of any number of machines.
const RECOVER: Duration = Duration::from_secs(15);
/// The time of two checks of the contact with a majority: the contact may be lost right after the first check has
/// begun.
const TWO_CONTACT_CHECKS: Duration = Duration::from_millis(650);

/// Calls machine 0 and returns the status; expects a response within `time_limit`.
fn status_within(
    system: &DeployedSystem,
    time_limit: Duration,
    (method, path, body): (Method, &str, &str),
) -> u16 {
    let sent_at = Instant::now();
    let response = system.call_once(0, method, path, body);
    expect_that!(sent_at.elapsed(), lt(time_limit), "{path}");
    response.expect("a response").0
}

/// Matches the statuses with which a machine sends a caller elsewhere: 503 to any other machine, 307 to one that it
/// believes to be in contact with a majority.
fn is_redirect_or_unavailable() -> impl Matcher<u16> {
    any![eq(503), eq(307)]
}

/// The other machines neither respond nor close their connections, as in a network partition.
#[gtest]
fn a_machine_that_lost_its_majority_rejects_calls_promptly_and_recovers() {
    let system = DeployedSystem::start(48);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    expect_that!(system.patch(0, &route_patch("x", 1, 1_001)), eq(200));
    let signal_others = |signal| [1, 2].map(|machine| system.send_signal(machine, signal));
    for round in 1..=2 {
        let ver = round * 1_000;
        signal_others(Signal::SIGSTOP);
        let long_name = "y".repeat(3_000);
        let long_patch = route_patch(&long_name, ver, 1_500);
        for patch in [route_patch("x", ver, 1_900), long_patch] {
            let call = (Method::POST, "/config/patch", patch.as_str());
            expect_that!(
                status_within(&system, TWO_CONTACT_CHECKS, call),
                is_redirect_or_unavailable()
            );
        }
        let read = (Method::GET, "/config/get", "");
        expect_that!(
            status_within(&system, TWO_CONTACT_CHECKS, read),
            is_redirect_or_unavailable()
        );
        sleep(Duration::from_secs(3));
        signal_others(Signal::SIGCONT);
        let resumed_at = Instant::now();
        // Meanwhile a machine may redirect to another one that is not in contact with a majority yet, either.
        let patch = route_patch("x", ver + 1, 1_100 + round);
        let mut machines = (0..3).cycle();
        while resumed_at.elapsed() < RECOVER {
            if system.patch(machines.next().unwrap_or_default(), &patch) == 200 {
                break;
            }
            sleep(Duration::from_millis(50));
        }
        expect_that!(resumed_at.elapsed(), lt(RECOVER));
        expect_that!(
            shown_route(&system.read_back(0), "x"),
            some(eq(&(ver + 1, format!("{}ms", 1_100 + round))))
        );
    }
}

#[gtest]
fn six_hundred_changes_survive_a_restart_of_each_machine() {
    const CHANGES: u64 = 600;
    let mut system = DeployedSystem::start(47);
    expect_that!(system.patch(0, &first_patch()), eq(200));
    for ver in 1..=CHANGES {
        let name = format!("x{}", ver % 20);
        let patch = if ver % 50 == 7 {
            drop_route_patch(&name, ver)
        } else {
            route_patch(&name, ver, 1_000 + ver)
        };
        verify_that!(system.patch(ver as usize % 3, &patch), eq(200)).and_log_failure();
    }
    for core in 0..3 {
        system.kill_machine(core);
        system.start_machine(core, StartMode::Restart);
        let restarted = Instant::now();
        let body = loop {
            match system.call_once(core, Method::GET, "/config/get", "") {
                Some((200, body)) => break body,
                _ => assert!(
                    restarted.elapsed() < ANSWER_TIMEOUT,
                    "machine {core} does not answer"
                ),
            }
        };
        for name in 0..20 {
            let last = CHANGES - (CHANGES - name) % 20;
            let last = if last > CHANGES { last - 20 } else { last };
            let expected = (last % 50 != 7).then(|| (last, format!("{}ms", 1_000 + last)));
            expect_that!(shown_route(&body, &format!("x{name}")), eq(&expected));
        }
        let next = CHANGES + 1 + core as u64;
        expect_that!(
            system.patch(core, &route_patch("after", next, next)),
            eq(200)
        );
    }
}
