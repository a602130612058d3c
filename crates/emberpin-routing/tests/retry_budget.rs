//! The retry budget: of one proxy, and as a sum over proxies that restart at any time.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::ms;
use emberpin_routing::RetryBudget;
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(1_000);
const RATIO: f64 = 0.2;

fn record_requests(budget: &mut RetryBudget, now: Duration, count: u32) {
    (0..count).for_each(|_| budget.record_request(now, "s"));
}

/// Retries as often as the budget allows, and returns how often that was.
fn retry_all(budget: &mut RetryBudget, now: Duration, proxy_count: u32) -> u32 {
    let mut retries = 0;
    while retries < 10_000 && budget.allows_retry(now, "s", proxy_count) {
        budget.record_retry(now, "s");
        retries += 1;
    }
    retries
}

/// Covers `SHARE` before the requests.
#[gtest]
fn a_proxy_spends_half_of_the_ratio_of_its_own_requests() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    expect_that!(retry_all(&mut budget, Duration::ZERO, 1), eq(0));
    record_requests(&mut budget, Duration::ZERO, 100);
    expect_that!(retry_all(&mut budget, Duration::ZERO, 1), eq(10));
    expect_false!(budget.allows_retry(Duration::ZERO, "another", 1));
}

/// Covers `latest(SLOTS_PER_WINDOW)` for the requests: those of a slot that only reaches into the window are too old.
#[gtest]
fn requests_older_than_a_window_back_no_retries() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    record_requests(&mut budget, ms(10_000), 10);
    expect_true!(budget.allows_retry(ms(10_930), "s", 1));
    expect_false!(budget.allows_retry(ms(11_060), "s", 1));
}

/// Covers `latest(SLOTS_PER_WINDOW + 1)` for the retries: a slot that reaches into the window counts whole.
#[gtest]
fn retries_within_a_window_still_count() {
    let mut budget = RetryBudget::new(Duration::ZERO, 0.0, WINDOW, 2.0);
    record_requests(&mut budget, ms(10_062), 1);
    expect_that!(retry_all(&mut budget, ms(10_062), 1), eq(1));
    record_requests(&mut budget, ms(11_000), 1);
    expect_false!(budget.allows_retry(ms(11_000), "s", 1));
    expect_true!(budget.allows_retry(ms(11_070), "s", 1));
}

/// Covers `if !is_window_old`: the instance before may have spent the extra in the same window.
#[gtest]
fn an_instance_has_no_extra_before_it_is_a_window_old() {
    let mut budget = RetryBudget::new(ms(50_030), 0.0, WINDOW, 60.0);
    record_requests(&mut budget, ms(50_040), 1);
    expect_false!(budget.allows_retry(ms(50_040), "s", 1));
    record_requests(&mut budget, ms(51_030), 1);
    expect_false!(budget.allows_retry(ms(51_030), "s", 1));
    record_requests(&mut budget, ms(51_125), 1);
    expect_that!(retry_all(&mut budget, ms(51_125), 1), eq(30));
}

/// Covers the division of the extra by the proxy count, its floor, and the count that is assumed for an unknown one.
#[gtest]
fn all_proxies_share_the_extra() {
    for (extra, proxy_count, share) in [
        (60.0, 10, 3),
        (60.0, 16, 1),
        (60.0, 77, 0),
        (400.0, 0, 2),
        (60.0, 0, 0),
    ] {
        let mut budget = RetryBudget::new(Duration::ZERO, 0.0, WINDOW, extra);
        record_requests(&mut budget, ms(5_000), 1);
        expect_that!(
            retry_all(&mut budget, ms(5_000), proxy_count),
            eq(share),
            "{extra} among {proxy_count}"
        );
    }
}

/// Covers `max(self.latest_slot)`: an earlier time must not open an old window again.
#[gtest]
fn requests_and_retries_at_an_earlier_time_count_in_the_latest_slot() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    record_requests(&mut budget, ms(10_000), 10);
    expect_that!(retry_all(&mut budget, ms(10_000), 1), eq(1));
    record_requests(&mut budget, ms(5_000), 10);
    expect_that!(retry_all(&mut budget, ms(5_000), 1), eq(1));
    expect_that!(retry_all(&mut budget, ms(10_000), 1), eq(0));
}

/// Covers `drop_idle_services` and `MAX_SERVICES`.
#[gtest]
fn the_number_of_tracked_services_is_bounded() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    (0..5_000).for_each(|k| budget.record_request(ms(10), &format!("s{k}")));
    expect_that!(budget.tracked_services(), eq(4_096));
    budget.record_request(ms(5_000), "s");
    expect_that!(budget.tracked_services(), eq(1));
}

#[derive(Clone, Debug)]
enum Event {
    Requests(u32),
    Retries,
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (1u32..40).prop_map(Event::Requests),
        4 => Just(Event::Retries),
        3 => Just(Event::Restart),
    ]
}

/// Mostly short, at times a whole window: then the extra comes into force.
fn pause() -> impl Strategy<Value = Duration> {
    prop_oneof![
        8 => 0u64..40_000_000,
        1 => 900_000_000u64..1_300_000_000,
    ]
    .prop_map(Duration::from_nanos)
}

/// How many of these times lie in the window that begins at `from`, both ends included.
fn within(times: &[Duration], from: Duration) -> usize {
    times
        .iter()
        .filter(|at| (from..=from + WINDOW).contains(*at))
        .count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Up to five proxies and any number of restarts: every window keeps the bound, where the requests of the window
    /// or of the one before it count. Covers the whole of `RetryBudget::allows_retry`.
    #[test]
    fn the_sum_over_proxies_keeps_the_bound_whatever_restarts(
        proxy_count in 1u32..6,
        extra in 0u32..60,
        events in proptest::collection::vec((0u32..6, pause(), event()), 1..150),
    ) {
        let nanosecond = Duration::from_nanos(1);
        let new = |now| RetryBudget::new(now, RATIO, WINDOW, f64::from(extra));
        // Late enough that the windows below begin after zero.
        let mut now = WINDOW * 3;
        let mut budgets: Vec<RetryBudget> = (0..proxy_count).map(|_| new(now)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (proxy, pause, event) in &events {
            now += *pause;
            let budget = &mut budgets[(proxy % proxy_count) as usize];
            match event {
                Event::Requests(count) => {
                    record_requests(budget, now, *count);
                    requests.extend((0..*count).map(|_| now));
                }
                Event::Retries => {
                    let spent = retry_all(budget, now, proxy_count);
                    retries.extend((0..spent).map(|_| now));
                }
                Event::Restart => *budget = new(now),
            }
        }
        // A window is at its worst where it begins with a retry or just after a request, or ends so.
        let edges = retries.iter().chain(&requests).flat_map(|at| [*at, *at + nanosecond, *at - WINDOW, *at - WINDOW - nanosecond]);
        let mut edges: Vec<Duration> = edges.collect();
        edges.sort();
        edges.dedup();
        for from in edges {
            let backed = within(&requests, from).max(within(&requests, from - WINDOW));
            let bound = RATIO * backed as f64 + f64::from(extra);
            let spent = within(&retries, from);
            prop_assert!(spent as f64 <= bound, "{} of {} from {:?}", spent, bound, from);
        }
    }
}

/// Covers `max(self.latest_slot)` in `slot_number`: a retry at an earlier time counts now.
#[gtest]
fn a_retry_at_an_earlier_time_counts_now() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    record_requests(&mut budget, ms(10_000), 10);
    expect_that!(retry_all(&mut budget, ms(5_000), 1), eq(1));
    expect_that!(retry_all(&mut budget, ms(10_000), 1), eq(0));
}

/// Covers `Slot::new` for a slot of the ring that is used again.
#[gtest]
fn a_slot_that_is_used_again_begins_at_zero() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    record_requests(&mut budget, Duration::ZERO, 10);
    record_requests(&mut budget, ms(500), 1);
    record_requests(&mut budget, ms(1_070), 1);
    expect_false!(budget.allows_retry(ms(1_070), "s", 1));
}
