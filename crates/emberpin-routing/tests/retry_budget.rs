//! The retry budget: of one proxy, and summed over proxies that restart at any time.
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

/// Retries as often as the budget allows, and returns the number of retries.
fn retry_all(budget: &mut RetryBudget, now: Duration, proxy_count: u32) -> u32 {
    let mut retries = 0;
    while retries < 10_000 && budget.allows_retry(now, "s", proxy_count) {
        budget.record_retry(now, "s");
        retries += 1;
    }
    retries
}

/// Covers `SHARE` as a factor of the requests.
#[gtest]
fn a_proxy_retries_at_most_half_the_ratio_times_its_own_requests() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    expect_that!(retry_all(&mut budget, Duration::ZERO, 1), eq(0));
    record_requests(&mut budget, Duration::ZERO, 100);
    expect_that!(retry_all(&mut budget, Duration::ZERO, 1), eq(10));
    expect_false!(budget.allows_retry(Duration::ZERO, "another", 1));
}

/// Covers `latest_slots(SLOTS_PER_WINDOW)` for the requests: those in a slot that only partly overlaps with the window
/// do not count.
#[gtest]
fn requests_older_than_a_window_back_no_retries() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    record_requests(&mut budget, ms(10_000), 10);
    expect_true!(budget.allows_retry(ms(10_930), "s", 1));
    expect_false!(budget.allows_retry(ms(11_060), "s", 1));
}

/// Covers `latest_slots(SLOTS_PER_WINDOW + 1)` for the retries: those in a slot that only partly overlaps with the
/// window count.
#[gtest]
fn retries_within_a_window_still_count() {
    let mut budget = RetryBudget::new(Duration::ZERO, 0.0, WINDOW, 2.0);
    record_requests(&mut budget, ms(10_062), 1);
    expect_that!(retry_all(&mut budget, ms(10_062), 1), eq(1));
    record_requests(&mut budget, ms(11_000), 1);
    expect_false!(budget.allows_retry(ms(11_000), "s", 1));
    expect_true!(budget.allows_retry(ms(11_070), "s", 1));
}

/// Covers `if !is_window_old`: the previous process of the proxy may have used the extra in the same window.
#[gtest]
fn a_proxy_has_no_extra_in_the_first_window_after_its_start() {
    let mut budget = RetryBudget::new(ms(50_030), 0.0, WINDOW, 60.0);
    record_requests(&mut budget, ms(50_040), 1);
    expect_false!(budget.allows_retry(ms(50_040), "s", 1));
    record_requests(&mut budget, ms(51_030), 1);
    expect_false!(budget.allows_retry(ms(51_030), "s", 1));
    record_requests(&mut budget, ms(51_125), 1);
    expect_that!(retry_all(&mut budget, ms(51_125), 1), eq(30));
}

/// Covers the division of the extra by the proxy count, the rounding down, and the count that is assumed if none was
/// reported.
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

/// Covers `max(self.latest_slot)`: an earlier time must not reopen an old slot.
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

/// An event at one proxy.
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

/// The time between two events. Mostly short, sometimes about a whole window, after which the extra becomes available.
fn pause() -> impl Strategy<Value = Duration> {
    prop_oneof![
        8 => 0u64..40_000_000,
        1 => 900_000_000u64..1_300_000_000,
    ]
    .prop_map(Duration::from_nanos)
}

/// The number of these times in the window that begins at `from`, both ends included.
fn count_in_window(times: &[Duration], from: Duration) -> usize {
    times
        .iter()
        .filter(|at| (from..=from + WINDOW).contains(*at))
        .count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// With up to five proxies and any number of restarts, the retries in every window stay within the bound, which is
    /// based on the requests in that window or in the one before. Covers all of `RetryBudget::allows_retry`.
    #[test]
    fn the_retries_of_all_proxies_stay_within_the_bound_despite_restarts(
        proxy_count in 1u32..6,
        extra in 0u32..60,
        events in proptest::collection::vec((0u32..6, pause(), event()), 1..150),
    ) {
        let nanosecond = Duration::from_nanos(1);
        let new = |now| RetryBudget::new(now, RATIO, WINDOW, f64::from(extra));
        // Late enough for the windows below to begin after time zero.
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
                    let count = retry_all(budget, now, proxy_count);
                    retries.extend((0..count).map(|_| now));
                }
                Event::Restart => *budget = new(now),
            }
        }
        // The worst windows begin or end at a retry or just beside a request.
        let edges = retries.iter().chain(&requests).flat_map(|at| [*at, *at + nanosecond, *at - WINDOW, *at - WINDOW - nanosecond]);
        let mut edges: Vec<Duration> = edges.collect();
        edges.sort();
        edges.dedup();
        for from in edges {
            let counted_requests = count_in_window(&requests, from).max(count_in_window(&requests, from - WINDOW));
            let bound = RATIO * counted_requests as f64 + f64::from(extra);
            let retries_in_window = count_in_window(&retries, from);
            prop_assert!(retries_in_window as f64 <= bound, "{} of {} from {:?}", retries_in_window, bound, from);
        }
    }
}

/// Covers `max(self.latest_slot)` in `slot_number`: a retry at an earlier time must not be lost.
#[gtest]
fn a_retry_at_an_earlier_time_counts_in_the_latest_slot() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    record_requests(&mut budget, ms(10_000), 10);
    expect_that!(retry_all(&mut budget, ms(5_000), 1), eq(1));
    expect_that!(retry_all(&mut budget, ms(10_000), 1), eq(0));
}

/// Covers `Slot::new` for an entry of the ring that is reused.
#[gtest]
fn a_reused_slot_starts_with_counts_of_zero() {
    let mut budget = RetryBudget::new(Duration::ZERO, RATIO, WINDOW, 0.0);
    record_requests(&mut budget, Duration::ZERO, 10);
    record_requests(&mut budget, ms(500), 1);
    record_requests(&mut budget, ms(1_070), 1);
    expect_false!(budget.allows_retry(ms(1_070), "s", 1));
}
