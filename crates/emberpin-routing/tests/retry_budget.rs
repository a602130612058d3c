//! The budget of further arrivals: by itself, and as a sum over limiters that restart as they like.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_routing::RetryBudget;
use googletest::prelude::*;
use proptest::prelude::*;

const WINDOW: f64 = 1_000.0;
const RATIO: f64 = 0.2;

fn requests(budget: &mut RetryBudget, now: f64, count: u32) {
    (0..count).for_each(|_| budget.record_request(now, "s"));
}

/// Spends while it may.
fn greedy(budget: &mut RetryBudget, now: f64, limiters: u32) -> u32 {
    let mut spent = 0;
    while spent < 10_000 && budget.allows_retry(now, "s", limiters) {
        budget.record_retry(now, "s");
        spent += 1;
    }
    spent
}

/// Holds `SHARE` before the requests.
#[gtest]
fn half_of_the_ratio_of_its_own_requests_may_go_again() {
    let mut budget = RetryBudget::new(0.0, RATIO, WINDOW, 0.0);
    expect_that!(greedy(&mut budget, 0.0, 1), eq(0));
    requests(&mut budget, 0.0, 100);
    expect_that!(greedy(&mut budget, 0.0, 1), eq(10));
    expect_false!(budget.allows_retry(0.0, "another", 1));
}

/// Holds `within(PARTS)` for the requests: those of a part that only reaches into the window are too old.
#[gtest]
fn requests_that_are_a_window_old_back_nothing() {
    let mut budget = RetryBudget::new(0.0, RATIO, WINDOW, 0.0);
    requests(&mut budget, 10_000.0, 10);
    expect_true!(budget.allows_retry(10_930.0, "s", 1));
    expect_false!(budget.allows_retry(11_060.0, "s", 1));
}

/// Holds `within(PARTS + 1)` for what was spent: a part that reaches into the window counts whole.
#[gtest]
fn what_was_spent_less_than_a_window_ago_still_counts() {
    let mut budget = RetryBudget::new(0.0, 0.0, WINDOW, 2.0);
    requests(&mut budget, 10_062.0, 1);
    expect_that!(greedy(&mut budget, 10_062.0, 1), eq(1));
    requests(&mut budget, 11_000.0, 1);
    expect_false!(budget.allows_retry(11_000.0, "s", 1));
    expect_true!(budget.allows_retry(11_070.0, "s", 1));
}

/// Holds `_ if !old => 0.0`: the instance before may have spent it in the same window.
#[gtest]
fn a_life_has_no_extra_before_it_is_a_window_old() {
    let mut budget = RetryBudget::new(50_030.0, 0.0, WINDOW, 60.0);
    requests(&mut budget, 50_040.0, 1);
    expect_false!(budget.allows_retry(50_040.0, "s", 1));
    requests(&mut budget, 51_030.0, 1);
    expect_false!(budget.allows_retry(51_030.0, "s", 1));
    requests(&mut budget, 51_125.0, 1);
    expect_that!(greedy(&mut budget, 51_125.0, 1), eq(30));
}

/// Holds the division of the extra by the number of limiters, its floor, and what stands for an unknown
/// number.
#[gtest]
fn the_extra_is_shared_by_all_limiters() {
    for (extra, limiters, share) in [
        (60.0, 10, 3),
        (60.0, 16, 1),
        (60.0, 77, 0),
        (400.0, 0, 2),
        (60.0, 0, 0),
    ] {
        let mut budget = RetryBudget::new(0.0, 0.0, WINDOW, extra);
        requests(&mut budget, 5_000.0, 1);
        expect_that!(
            greedy(&mut budget, 5_000.0, limiters),
            eq(share),
            "{extra} among {limiters}"
        );
    }
}

/// Holds `max(self.latest)`: a clock that is read late must not open an old window again.
#[gtest]
fn time_does_not_go_back() {
    let mut budget = RetryBudget::new(0.0, RATIO, WINDOW, 0.0);
    requests(&mut budget, 10_000.0, 10);
    expect_that!(greedy(&mut budget, 10_000.0, 1), eq(1));
    requests(&mut budget, 5_000.0, 10);
    expect_that!(greedy(&mut budget, 5_000.0, 1), eq(1));
    expect_that!(greedy(&mut budget, 10_000.0, 1), eq(0));
}

/// Holds `self.services.retain` and `MOST`.
#[gtest]
fn memory_is_bounded() {
    let mut budget = RetryBudget::new(0.0, RATIO, WINDOW, 0.0);
    (0..5_000).for_each(|k| budget.record_request(10.0, &format!("s{k}")));
    expect_that!(budget.tracked_services(), eq(4_096));
    budget.record_request(5_000.0, "s");
    expect_that!(budget.tracked_services(), eq(1));
}

#[derive(Clone, Debug)]
enum Event {
    Requests(u32),
    Further,
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (1u32..40).prop_map(Event::Requests),
        4 => Just(Event::Further),
        3 => Just(Event::Restart),
    ]
}

/// In how many of these moments the span begins at `from`, both ends in.
fn within(moments: &[f64], from: f64) -> usize {
    moments
        .iter()
        .filter(|at| (from..=from + WINDOW).contains(*at))
        .count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Up to five limiters and any number of restarts: every span keeps the bound, where the
    /// requests of the span or of the one before it count. Holds the whole of `RetryBudget::may`.
    #[test]
    fn the_sum_over_limiters_keeps_the_bound_whatever_restarts(
        limiters in 1u32..6,
        extra in 0u32..60,
        // Mostly close together, at times a whole window apart: then the extra comes in force.
        events in proptest::collection::vec((0u32..6, prop_oneof![8 => 0.0..40.0, 1 => 900.0..1_300.0], event()), 1..150),
    ) {
        let new = |now| RetryBudget::new(now, RATIO, WINDOW, f64::from(extra));
        let mut budgets: Vec<RetryBudget> = (0..limiters).map(|_| new(0.0)).collect();
        let (mut now, mut asked, mut further) = (0.0, Vec::new(), Vec::new());
        for (who, pause, event) in &events {
            now += pause;
            let budget = &mut budgets[(who % limiters) as usize];
            match event {
                Event::Requests(count) => {
                    requests(budget, now, *count);
                    asked.extend((0..*count).map(|_| now));
                }
                Event::Further => {
                    let spent = greedy(budget, now, limiters);
                    further.extend((0..spent).map(|_| now));
                }
                Event::Restart => *budget = new(now),
            }
        }
        // A span is at its worst where it begins with a further arrival or just behind a request, or ends so.
        let edges = further.iter().chain(&asked).flat_map(|at| [*at, at + 1e-6, at - WINDOW, at - WINDOW - 1e-6]);
        let mut edges: Vec<f64> = edges.collect();
        edges.sort_by(f64::total_cmp);
        edges.dedup();
        for from in edges {
            let backed = within(&asked, from).max(within(&asked, from - WINDOW));
            let bound = RATIO * backed as f64 + f64::from(extra);
            let spent = within(&further, from);
            prop_assert!(spent as f64 <= bound, "{} of {} from {}", spent, bound, from);
        }
    }
}

/// Holds `max(self.latest)` in `number`: what is spent late counts now.
#[gtest]
fn what_is_spent_by_a_late_clock_counts_now() {
    let mut budget = RetryBudget::new(0.0, RATIO, WINDOW, 0.0);
    requests(&mut budget, 10_000.0, 10);
    expect_that!(greedy(&mut budget, 5_000.0, 1), eq(1));
    expect_that!(greedy(&mut budget, 10_000.0, 1), eq(0));
}

/// Holds the clearing of a part that is used again.
#[gtest]
fn a_part_that_is_used_again_begins_at_nothing() {
    let mut budget = RetryBudget::new(0.0, RATIO, WINDOW, 0.0);
    requests(&mut budget, 0.0, 10);
    requests(&mut budget, 500.0, 1);
    requests(&mut budget, 1_070.0, 1);
    expect_false!(budget.allows_retry(1_070.0, "s", 1));
}
