//! What all limiters together may send to one cold server.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_routing::slow_start::{admission_hash, LimiterShare, QUIET_MS};
use emberpin_routing::{SlowStart, WarmupLimit};
use googletest::prelude::*;
use oorandom::Rand64;

const USUAL: WarmupLimit = WarmupLimit {
    requests_per_second: 10.0,
    excess_factor: 1.5,
    extra_requests: 5.0,
};
const SERVERS: usize = 1_000;

fn limiter(k: u32) -> String {
    format!("edge-hall-{}-{k}", k % 3)
}

/// The limiters among so many that may ask this server.
fn admitted(server: &str, limiters: u32, share: LimiterShare) -> u32 {
    (0..limiters)
        .filter(|k| admission_hash(server, &limiter(*k)) < share.admitted)
        .count() as u32
}

/// Ready to ask, with so many limiters told.
fn calm(limiters: u32) -> SlowStart {
    let mut cold = SlowStart::new(0.0);
    cold.set_limiter_count(0.0, limiters);
    cold
}

/// Holds `safe` and `RISK`, and the factor 2 in `twice`: all that may send do, in the same second, at the
/// worst times; the number of limiters is as told, or twice that.
#[gtest]
fn the_sum_over_all_limiters_keeps_the_bound_for_every_server() {
    let colds = [
        (10.0, 1.5, 5.0),
        (4.0, 1.2, 3.0),
        (40.0, 1.5, 5.0),
        (1.0, 1.0, 0.0),
    ];
    for (requests_per_second, excess_factor, extra_requests) in colds {
        let bound = WarmupLimit {
            requests_per_second,
            excess_factor,
            extra_requests,
        }
        .bound();
        for told in [3, 10, 11, 77, 480] {
            let share = LimiterShare::for_bound(bound, told);
            // A second of the rule is shorter than the window here: no more than `each` of one limiter fall
            // in it.
            for server in 0..SERVERS {
                let sum = admitted(&format!("i-{server:08x}"), told * 2, share) * share.each;
                assert_that!(
                    sum,
                    le(bound),
                    "{told} limiters told, server {server}, {share:?}"
                );
            }
        }
    }
}

/// Holds the search for the greatest `p`: a share that is safe by being nothing would be of no use. Also that
/// the hash spreads names that differ in their ends: a mean that is off would show it.
#[gtest]
fn some_limiters_are_admitted_on_average() {
    for told in [77, 480] {
        let share = LimiterShare::for_bound(USUAL.bound(), told);
        let sum: u32 = (0..SERVERS)
            .map(|server| admitted(&format!("i-{server:08x}"), told, share))
            .sum();
        let (mean, expected) = (
            f64::from(sum) / SERVERS as f64,
            f64::from(told) * share.admitted,
        );
        expect_that!(expected, all!(gt(1.8), lt(4.0)), "{told}");
        expect_that!(mean, near(expected, 0.25), "{told}");
    }
}

/// Holds `twice <= bound`: with few limiters each has a part, without chance.
#[gtest]
fn few_limiters_share_the_bound_evenly() {
    expect_that!(
        LimiterShare::for_bound(50, 10),
        eq(LimiterShare {
            admitted: 1.0,
            each: 2
        })
    );
    // As if there were eight, until more are told: a count that begins is too low.
    expect_that!(
        LimiterShare::for_bound(50, 1),
        eq(LimiterShare {
            admitted: 1.0,
            each: 3
        })
    );
}

/// Holds the case of a bound of zero.
#[gtest]
fn a_server_that_bears_nothing_gets_nothing() {
    let nothing = WarmupLimit {
        requests_per_second: 0.0,
        excess_factor: 1.5,
        extra_requests: 0.0,
    };
    let mut cold = calm(100);
    let may = |k: u32| cold.admits(QUIET_MS, &format!("i-{k}"), &nothing, 100, "edge-1");
    expect_that!((0..500).map(may).filter(|may| *may).count(), eq(0));
}

/// Holds `of_late(..) < share.each` and `WINDOW_MS`, which is longer than the second of the rule.
#[gtest]
fn one_limiter_sends_its_share_in_any_second() {
    let mut cold = calm(10);
    expect_true!(cold.admits(5_000.0, "i", &USUAL, 10, "me"));
    cold.record_send(5_000.0, "i");
    expect_false!(cold.admits(5_000.0, "i", &USUAL, 10, "me"));
    expect_false!(cold.admits(6_200.0, "i", &USUAL, 10, "me"));
    expect_true!(cold.admits(6_250.0, "i", &USUAL, 10, "me"));
    expect_true!(cold.admits(5_000.0, "another", &USUAL, 10, "me"));
}

/// Holds `now < self.quiet_until` as set by `SlowStart::new`: the instance before may have sent just before its end.
#[gtest]
fn a_life_that_has_just_started_sends_nothing() {
    let mut cold = SlowStart::new(1_000.0);
    cold.set_limiter_count(1_000.0, 10);
    expect_false!(cold.admits(1_000.0 + QUIET_MS - 1.0, "i", &USUAL, 10, "me"));
    expect_true!(cold.admits(1_000.0 + QUIET_MS, "i", &USUAL, 10, "me"));
}

/// Holds `self.limiters == 0`.
#[gtest]
fn who_was_told_no_number_of_limiters_sends_nothing() {
    let mut cold = SlowStart::new(0.0);
    expect_false!(cold.admits(60_000.0, "i", &USUAL, 0, "me"));
}

/// Holds the wait in `told`: registries that have just started count up from nothing, and their first number
/// is low.
#[gtest]
fn a_count_that_rises_is_waited_for() -> Result<()> {
    let mut cold = calm(10);
    expect_true!(cold.admits(5_000.0, "i", &USUAL, 10, "me"));
    // One more of ten is less than an eighth of them.
    expect_that!(LimiterShare::for_bound(USUAL.bound(), 11).each, eq(1));
    cold.set_limiter_count(5_000.0, 11);
    let me = (0..)
        .map(limiter)
        .find(|me| admission_hash("i", me) < LimiterShare::for_bound(USUAL.bound(), 20).admitted);
    let Some(me) = me else {
        return fail!("no limiter is admitted");
    };
    expect_true!(cold.admits(5_000.0, "i", &USUAL, 11, &me));
    expect_false!(cold.admits(5_001.0, "i", &USUAL, 20, &me));
    expect_false!(cold.admits(5_000.0 + QUIET_MS, "i", &USUAL, 20, &me));
    expect_true!(cold.admits(5_001.0 + QUIET_MS, "i", &USUAL, 20, &me));
    Ok(())
}

/// Holds `self.limiters.max(limiters)`: who is cut off with a few others still counts all that it knew.
#[gtest]
fn the_greatest_number_that_was_told_stands() {
    let mut cold = calm(480);
    let asked = (0..200)
        .filter(|k| cold.admits(9_000.0, &format!("i-{k}"), &USUAL, 3, "me"))
        .count();
    let share = LimiterShare::for_bound(USUAL.bound(), 480);
    let expected = (0..200)
        .filter(|k| admission_hash(&format!("i-{k}"), "me") < share.admitted)
        .count();
    expect_that!(asked, eq(expected));
    expect_that!(asked, lt(10));
}

/// Holds `self.sent.retain`, and that the times of one server are dropped when old.
#[gtest]
fn memory_is_bounded() {
    let mut cold = calm(10);
    (0..1_000).for_each(|k| cold.record_send(5_000.0, &format!("i-{k}")));
    expect_that!(cold.tracked_servers(), eq(1_000));
    cold.record_send(6_300.0, "i");
    expect_that!(cold.tracked_servers(), eq(1));
}

/// The same by running it: limiters that ask at any time, restart at any time, and know of 77 or 40 of 77.
#[gtest]
fn limiters_that_ask_all_the_time_and_restart_keep_the_bound() {
    let limiters = 77;
    for seed in 0..20 {
        let mut draws = Rand64::new(seed);
        let server = format!("i-{seed}");
        let mut colds: Vec<(SlowStart, u32)> = (0..limiters)
            .map(|k| (calm(77), if k % 2 == 0 { 77 } else { 40 }))
            .collect();
        let mut sent: Vec<f64> = Vec::new();
        for step in 0..2_000 {
            let now = 4_000.0 + f64::from(step) * 5.0;
            let k = draws.rand_range(0..limiters) as usize;
            let (cold, told) = &mut colds[k];
            if draws.rand_float() < 0.02 {
                *cold = SlowStart::new(now);
            }
            while cold.admits(now, &server, &USUAL, *told, &limiter(k as u32)) {
                cold.record_send(now, &server);
                sent.push(now);
            }
        }
        for from in &sent {
            let sum = sent
                .iter()
                .filter(|at| (*from..=from + 1_000.0).contains(*at))
                .count();
            expect_that!(sum, le(USUAL.bound() as usize), "seed {seed}");
        }
    }
}

/// Holds `bound == 0` in `LimiterShare::of`.
#[gtest]
fn the_share_of_nothing_is_nothing() {
    expect_that!(
        LimiterShare::for_bound(0, 100),
        eq(LimiterShare {
            admitted: 0.0,
            each: 0
        })
    );
}

/// Holds both conditions under which the share last found is used again.
#[gtest]
fn each_bound_and_number_of_limiters_has_its_own_share() {
    let mut cold = calm(10);
    expect_true!(cold.admits(5_000.0, "i", &USUAL, 10, "me"));
    expect_false!(cold.admits(
        5_000.0,
        "i",
        &WarmupLimit {
            requests_per_second: 0.0,
            extra_requests: 0.0,
            ..USUAL
        },
        10,
        "me"
    ));
    expect_true!(cold.admits(5_000.0, "i", &USUAL, 10, "me"));
    cold.set_limiter_count(5_000.0, 480);
    let asked = (0..200)
        .filter(|k| cold.admits(9_000.0, &format!("i-{k}"), &USUAL, 480, "me"))
        .count();
    expect_that!(asked, lt(10));
}
