//! What all proxies together may send to one server that is warming up.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::ms;
use emberpin_routing::slow_start::{admission_hash, ProxyShare, QUIET_PERIOD};
use emberpin_routing::{SlowStart, WarmupLimit, WarmupTolerance};
use googletest::prelude::*;
use oorandom::Rand64;
use std::time::Duration;

const USUAL: WarmupLimit = WarmupLimit {
    requests_per_second: 10.0,
    tolerance: WarmupTolerance {
        excess_factor: 1.5,
        extra_requests: 5.0,
    },
};
const SERVERS: usize = 1_000;

fn proxy(k: u32) -> String {
    format!("edge-hall-{}-{k}", k % 3)
}

/// How many of the proxies are admitted to this server.
fn admitted(server: &str, proxies: u32, share: ProxyShare) -> u32 {
    (0..proxies)
        .filter(|k| admission_hash(server, &proxy(*k)) < share.admitted_fraction)
        .count() as u32
}

/// Past its quiet period, with this proxy count.
fn steady(proxies: u32) -> SlowStart {
    let mut slow_start = SlowStart::new(Duration::ZERO);
    slow_start.set_proxy_count(Duration::ZERO, proxies);
    slow_start
}

/// Covers `is_safe`, `MAX_OVERLOAD_PROBABILITY` and `COUNT_SAFETY_FACTOR`: all proxies that may send do, in the same
/// second, at the worst times, and there are twice as many as reported.
#[gtest]
fn the_sum_over_all_proxies_keeps_the_limit_of_every_server() {
    let limits = [
        (10.0, 1.5, 5.0),
        (4.0, 1.2, 3.0),
        (40.0, 1.5, 5.0),
        (1.0, 1.0, 0.0),
    ];
    for (requests_per_second, excess_factor, extra_requests) in limits {
        let bound = WarmupLimit {
            requests_per_second,
            tolerance: WarmupTolerance {
                excess_factor,
                extra_requests,
            },
        }
        .max_requests_per_second();
        for proxy_count in [3, 10, 11, 77, 480] {
            let share = ProxyShare::new(bound, proxy_count);
            // A second is shorter than the window, so no more than the share of one proxy falls into it.
            for server in 0..SERVERS {
                let sum = admitted(&format!("i-{server:08x}"), proxy_count * 2, share)
                    * share.requests_per_second;
                assert_that!(
                    sum,
                    le(bound),
                    "{proxy_count} proxies reported, server {server}, {share:?}"
                );
            }
        }
    }
}

/// Covers the search for the greatest fraction: a share that is safe by being zero would be of no use. Also covers that
/// the hash spreads names that differ in their ends, since the mean would be off otherwise.
#[gtest]
fn the_admitted_fraction_of_proxies_is_admitted_on_average() {
    for proxy_count in [77, 480] {
        let share = ProxyShare::new(USUAL.max_requests_per_second(), proxy_count);
        let sum: u32 = (0..SERVERS)
            .map(|server| admitted(&format!("i-{server:08x}"), proxy_count, share))
            .sum();
        let (mean, expected) = (
            f64::from(sum) / SERVERS as f64,
            f64::from(proxy_count) * share.admitted_fraction,
        );
        expect_that!(expected, all!(gt(1.8), lt(4.0)), "{proxy_count}");
        expect_that!(mean, near(expected, 0.25), "{proxy_count}");
    }
}

/// Covers `assumed_count <= limit`: with few proxies each has a fixed share.
#[gtest]
fn few_proxies_share_the_limit_evenly() {
    expect_that!(
        ProxyShare::new(50, 10),
        eq(ProxyShare {
            admitted_fraction: 1.0,
            requests_per_second: 2
        })
    );
    // As if there were eight, since a count is too low at first.
    expect_that!(
        ProxyShare::new(50, 1),
        eq(ProxyShare {
            admitted_fraction: 1.0,
            requests_per_second: 3
        })
    );
}

/// Covers the case of a limit of zero.
#[gtest]
fn a_server_with_a_limit_of_zero_gets_nothing() {
    let nothing = WarmupLimit {
        requests_per_second: 0.0,
        tolerance: WarmupTolerance {
            excess_factor: 1.5,
            extra_requests: 0.0,
        },
    };
    let mut slow_start = steady(100);
    let may = |k: u32| slow_start.admits(QUIET_PERIOD, &format!("i-{k}"), &nothing, 100, "edge-1");
    expect_that!((0..500).map(may).filter(|may| *may).count(), eq(0));
}

/// Covers `sends_in_window` and `WINDOW`, which is longer than the second of the limit.
#[gtest]
fn one_proxy_sends_its_share_in_any_second() {
    let mut slow_start = steady(10);
    expect_true!(slow_start.admits(ms(5_000), "i", &USUAL, 10, "me"));
    slow_start.record_send(ms(5_000), "i");
    expect_false!(slow_start.admits(ms(5_000), "i", &USUAL, 10, "me"));
    expect_false!(slow_start.admits(ms(6_200), "i", &USUAL, 10, "me"));
    expect_true!(slow_start.admits(ms(6_250), "i", &USUAL, 10, "me"));
    expect_true!(slow_start.admits(ms(5_000), "another", &USUAL, 10, "me"));
}

/// Covers `now < self.quiet_until` as set by `SlowStart::new`: the instance before may have sent just before its end.
#[gtest]
fn an_instance_that_has_just_started_sends_nothing() {
    let mut slow_start = SlowStart::new(ms(1_000));
    slow_start.set_proxy_count(ms(1_000), 10);
    expect_false!(slow_start.admits(ms(1_000) + QUIET_PERIOD - ms(1), "i", &USUAL, 10, "me"));
    expect_true!(slow_start.admits(ms(1_000) + QUIET_PERIOD, "i", &USUAL, 10, "me"));
}

/// Covers `self.proxy_count == 0`.
#[gtest]
fn without_a_proxy_count_nothing_is_sent() {
    let mut slow_start = SlowStart::new(Duration::ZERO);
    expect_false!(slow_start.admits(ms(60_000), "i", &USUAL, 0, "me"));
}

/// Covers the quiet period in `set_proxy_count`: registries that have just started count up from zero, and their first
/// counts are low.
#[gtest]
fn a_rise_of_the_proxy_count_starts_the_quiet_period_again() -> Result<()> {
    let mut slow_start = steady(10);
    expect_true!(slow_start.admits(ms(5_000), "i", &USUAL, 10, "me"));
    // One more of ten is less than an eighth of them.
    expect_that!(
        ProxyShare::new(USUAL.max_requests_per_second(), 11).requests_per_second,
        eq(1)
    );
    slow_start.set_proxy_count(ms(5_000), 11);
    let me = (0..).map(proxy).find(|me| {
        admission_hash("i", me)
            < ProxyShare::new(USUAL.max_requests_per_second(), 20).admitted_fraction
    });
    let Some(me) = me else {
        return fail!("no proxy is admitted");
    };
    expect_true!(slow_start.admits(ms(5_000), "i", &USUAL, 11, &me));
    expect_false!(slow_start.admits(ms(5_001), "i", &USUAL, 20, &me));
    expect_false!(slow_start.admits(ms(5_000) + QUIET_PERIOD, "i", &USUAL, 20, &me));
    expect_true!(slow_start.admits(ms(5_001) + QUIET_PERIOD, "i", &USUAL, 20, &me));
    Ok(())
}

/// Covers `max(proxy_count)`: a proxy that is partitioned with a few others keeps the count that it knew.
#[gtest]
fn the_highest_proxy_count_stays_in_force() {
    let mut slow_start = steady(480);
    let admitted_servers = (0..200)
        .filter(|k| slow_start.admits(ms(9_000), &format!("i-{k}"), &USUAL, 3, "me"))
        .count();
    let share = ProxyShare::new(USUAL.max_requests_per_second(), 480);
    let expected = (0..200)
        .filter(|k| admission_hash(&format!("i-{k}"), "me") < share.admitted_fraction)
        .count();
    expect_that!(admitted_servers, eq(expected));
    expect_that!(admitted_servers, lt(10));
}

/// Covers `recent_sends.retain`.
#[gtest]
fn servers_without_recent_requests_are_forgotten() {
    let mut slow_start = steady(10);
    (0..1_000).for_each(|k| slow_start.record_send(ms(5_000), &format!("i-{k}")));
    expect_that!(slow_start.tracked_servers(), eq(1_000));
    slow_start.record_send(ms(6_300), "i");
    expect_that!(slow_start.tracked_servers(), eq(1));
}

/// The limit of a server, by a run: proxies that send at any time, restart at any time, and know of 77 or 40 of 77.
#[gtest]
fn proxies_that_send_all_the_time_and_restart_keep_the_limit() {
    let proxies = 77;
    for seed in 0..20 {
        let mut draws = Rand64::new(seed);
        let server = format!("i-{seed}");
        let mut limits: Vec<(SlowStart, u32)> = (0..proxies)
            .map(|k| (steady(77), if k % 2 == 0 { 77 } else { 40 }))
            .collect();
        let mut sent: Vec<Duration> = Vec::new();
        for step in 0..2_000 {
            let now = ms(4_000) + ms(5) * step;
            let k = draws.rand_range(0..proxies) as usize;
            let (slow_start, proxy_count) = &mut limits[k];
            if draws.rand_float() < 0.02 {
                *slow_start = SlowStart::new(now);
            }
            while slow_start.admits(now, &server, &USUAL, *proxy_count, &proxy(k as u32)) {
                slow_start.record_send(now, &server);
                sent.push(now);
            }
        }
        for from in &sent {
            let sum = sent
                .iter()
                .filter(|at| (*from..=*from + ms(1_000)).contains(*at))
                .count();
            expect_that!(
                sum,
                le(USUAL.max_requests_per_second() as usize),
                "seed {seed}"
            );
        }
    }
}

/// Covers `limit == 0` in `ProxyShare::new`.
#[gtest]
fn the_share_of_a_limit_of_zero_is_zero() {
    expect_that!(
        ProxyShare::new(0, 100),
        eq(ProxyShare {
            admitted_fraction: 0.0,
            requests_per_second: 0
        })
    );
}

/// Covers both conditions under which the cached share is used again.
#[gtest]
fn each_limit_and_proxy_count_has_its_own_share() {
    let mut slow_start = steady(10);
    expect_true!(slow_start.admits(ms(5_000), "i", &USUAL, 10, "me"));
    expect_false!(slow_start.admits(
        ms(5_000),
        "i",
        &WarmupLimit {
            requests_per_second: 0.0,
            tolerance: WarmupTolerance {
                extra_requests: 0.0,
                ..USUAL.tolerance
            },
        },
        10,
        "me"
    ));
    expect_true!(slow_start.admits(ms(5_000), "i", &USUAL, 10, "me"));
    slow_start.set_proxy_count(ms(5_000), 480);
    let admitted_servers = (0..200)
        .filter(|k| slow_start.admits(ms(9_000), &format!("i-{k}"), &USUAL, 480, "me"))
        .count();
    expect_that!(admitted_servers, lt(10));
}
