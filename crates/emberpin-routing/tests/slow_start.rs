//! Slow start: the requests of all proxies together to one server that is warming up.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::ms;
use emberpin_routing::slow_start::{admission_hash, ProxyShare, QUIET_PERIOD};
use emberpin_routing::{SlowStart, WarmupLimit, WarmupTolerance};
use googletest::prelude::*;
use oorandom::Rand64;
use std::time::Duration;

/// At most 20 requests per second.
const LIMIT: WarmupLimit = WarmupLimit {
    requests_per_second: 10.0,
    tolerance: WarmupTolerance {
        excess_factor: 1.5,
        extra_requests: 5.0,
    },
};
/// The number of servers over which a test sums or averages.
const SERVERS: usize = 1_000;

/// The name of the proxy of this number.
fn proxy(k: u32) -> String {
    format!("edge-hall-{}-{k}", k % 3)
}

/// The number of proxies that are admitted to this server.
fn admitted(server: &str, proxies: u32, share: ProxyShare) -> u32 {
    (0..proxies)
        .filter(|k| admission_hash(server, &proxy(*k)) < share.admitted_fraction)
        .count() as u32
}

/// The state of a proxy that started at zero with this proxy count, which is past its quiet period in the tests.
fn steady(proxies: u32) -> SlowStart {
    let mut slow_start = SlowStart::new(Duration::ZERO);
    slow_start.set_proxy_count(Duration::ZERO, proxies);
    slow_start
}

/// Covers `is_safe`, `MAX_OVERLOAD_PROBABILITY` and `COUNT_SAFETY_FACTOR` in the worst case: there are twice as many
/// proxies as reported, and all admitted ones use their whole share in the same second.
#[gtest]
fn the_requests_of_all_proxies_stay_within_the_limit_of_every_server() {
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
            // A second is shorter than the window, so each admitted proxy sends at most its share in a second.
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

/// Covers the search for the greatest fraction: a share of zero would be safe, but useless. Also guards against a hash
/// that spreads names badly if they differ only at their ends; the mean would then be off.
#[gtest]
fn the_admitted_fraction_of_proxies_is_admitted_on_average() {
    for proxy_count in [77, 480] {
        let share = ProxyShare::new(LIMIT.max_requests_per_second(), proxy_count);
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
    // At least eight proxies are assumed, since the first counts are too low.
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
fn a_server_with_a_limit_of_zero_gets_no_requests() {
    let zero_limit = WarmupLimit {
        requests_per_second: 0.0,
        tolerance: WarmupTolerance {
            excess_factor: 1.5,
            extra_requests: 0.0,
        },
    };
    let mut slow_start = steady(100);
    let is_admitted =
        |k: u32| slow_start.admits(QUIET_PERIOD, &format!("i-{k}"), &zero_limit, 100, "edge-1");
    expect_that!(
        (0..500)
            .map(is_admitted)
            .filter(|is_admitted| *is_admitted)
            .count(),
        eq(0)
    );
}

/// Covers `sends_in_window` and `WINDOW`, which is longer than the second of the limit.
#[gtest]
fn one_proxy_sends_its_share_in_any_second() {
    let mut slow_start = steady(10);
    expect_true!(slow_start.admits(ms(5_000), "i", &LIMIT, 10, "me"));
    slow_start.record_send(ms(5_000), "i");
    expect_false!(slow_start.admits(ms(5_000), "i", &LIMIT, 10, "me"));
    expect_false!(slow_start.admits(ms(6_200), "i", &LIMIT, 10, "me"));
    expect_true!(slow_start.admits(ms(6_250), "i", &LIMIT, 10, "me"));
    expect_true!(slow_start.admits(ms(5_000), "another", &LIMIT, 10, "me"));
}

/// Covers `now < self.quiet_until` as set by `SlowStart::new`: the previous process of the proxy may have sent requests
/// just before its end.
#[gtest]
fn a_proxy_that_has_just_started_sends_nothing_to_warming_servers() {
    let mut slow_start = SlowStart::new(ms(1_000));
    slow_start.set_proxy_count(ms(1_000), 10);
    expect_false!(slow_start.admits(ms(1_000) + QUIET_PERIOD - ms(1), "i", &LIMIT, 10, "me"));
    expect_true!(slow_start.admits(ms(1_000) + QUIET_PERIOD, "i", &LIMIT, 10, "me"));
}

/// Covers `self.proxy_count == 0`.
#[gtest]
fn without_a_proxy_count_nothing_is_sent_to_warming_servers() {
    let mut slow_start = SlowStart::new(Duration::ZERO);
    expect_false!(slow_start.admits(ms(60_000), "i", &LIMIT, 0, "me"));
}

/// Covers the quiet period in `set_proxy_count`: registries that have just started count up from zero, and their first
/// counts are low.
#[gtest]
fn a_considerable_rise_of_the_proxy_count_restarts_the_quiet_period() -> Result<()> {
    let mut slow_start = steady(10);
    expect_true!(slow_start.admits(ms(5_000), "i", &LIMIT, 10, "me"));
    // A rise from ten to eleven is less than an eighth, so it does not restart the quiet period.
    expect_that!(
        ProxyShare::new(LIMIT.max_requests_per_second(), 11).requests_per_second,
        eq(1)
    );
    slow_start.set_proxy_count(ms(5_000), 11);
    let admitted_proxy = (0..).map(proxy).find(|name| {
        admission_hash("i", name)
            < ProxyShare::new(LIMIT.max_requests_per_second(), 20).admitted_fraction
    });
    let Some(admitted_proxy) = admitted_proxy else {
        return fail!("no proxy is admitted");
    };
    expect_true!(slow_start.admits(ms(5_000), "i", &LIMIT, 11, &admitted_proxy));
    expect_false!(slow_start.admits(ms(5_001), "i", &LIMIT, 20, &admitted_proxy));
    expect_false!(slow_start.admits(ms(5_000) + QUIET_PERIOD, "i", &LIMIT, 20, &admitted_proxy));
    expect_true!(slow_start.admits(ms(5_001) + QUIET_PERIOD, "i", &LIMIT, 20, &admitted_proxy));
    Ok(())
}

/// Covers `max(proxy_count)`: a proxy in a small partition keeps using the higher count from before the partition.
#[gtest]
fn the_highest_proxy_count_is_used() {
    let mut slow_start = steady(480);
    let admitted_servers = (0..200)
        .filter(|k| slow_start.admits(ms(9_000), &format!("i-{k}"), &LIMIT, 3, "me"))
        .count();
    let share = ProxyShare::new(LIMIT.max_requests_per_second(), 480);
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

/// A simulation of 77 proxies, which use their whole shares, restart at random times, and know a proxy count of 77 or
/// 40.
#[gtest]
fn proxies_that_send_continuously_and_restart_stay_within_the_limit() {
    let proxies = 77;
    for seed in 0..20 {
        let mut draws = Rand64::new(seed);
        let server = format!("i-{seed}");
        let mut proxy_states: Vec<(SlowStart, u32)> = (0..proxies)
            .map(|k| (steady(77), if k % 2 == 0 { 77 } else { 40 }))
            .collect();
        let mut sent: Vec<Duration> = Vec::new();
        for step in 0..2_000 {
            let now = ms(4_000) + ms(5) * step;
            let k = draws.rand_range(0..proxies) as usize;
            let (slow_start, proxy_count) = &mut proxy_states[k];
            if draws.rand_float() < 0.02 {
                *slow_start = SlowStart::new(now);
            }
            while slow_start.admits(now, &server, &LIMIT, *proxy_count, &proxy(k as u32)) {
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
                le(LIMIT.max_requests_per_second() as usize),
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

/// Covers both conditions for reusing the cached share.
#[gtest]
fn each_limit_and_proxy_count_has_its_own_share() {
    let mut slow_start = steady(10);
    expect_true!(slow_start.admits(ms(5_000), "i", &LIMIT, 10, "me"));
    expect_false!(slow_start.admits(
        ms(5_000),
        "i",
        &WarmupLimit {
            requests_per_second: 0.0,
            tolerance: WarmupTolerance {
                extra_requests: 0.0,
                ..LIMIT.tolerance
            },
        },
        10,
        "me"
    ));
    expect_true!(slow_start.admits(ms(5_000), "i", &LIMIT, 10, "me"));
    slow_start.set_proxy_count(ms(5_000), 480);
    let admitted_servers = (0..200)
        .filter(|k| slow_start.admits(ms(9_000), &format!("i-{k}"), &LIMIT, 480, "me"))
        .count();
    expect_that!(admitted_servers, lt(10));
}
