//! Tests which endpoint lists the guard accepts, and how a doubt ends.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_startup::list_guard::{GuardConfig, ListGuard, ListScope, ListSummary, Verdict};
use proptest::prelude::*;
use std::time::Duration;

const MAX_DOUBT: Duration = Duration::from_secs(60);
const START: Duration = MAX_DOUBT;

fn guard() -> ListGuard {
    ListGuard::new(GuardConfig {
        min_retained_share: 0.5,
        max_doubt: MAX_DOUBT,
    })
}

fn list(revision: u64, servers: usize) -> ListSummary {
    ListSummary {
        service_generation: 0,
        revision,
        servers,
    }
}

fn current() -> ListSummary {
    list(10, 8)
}

fn evaluate_full(guard: &mut ListGuard, now: Duration, received: ListSummary) -> Verdict {
    guard.evaluate(now, current(), received, ListScope::Full)
}

#[test]
fn an_empty_or_short_list_is_merged_until_a_sufficient_list_is_received() {
    let mut guard = guard();
    let second = Duration::from_secs;
    assert_eq!(
        evaluate_full(&mut guard, second(1), list(11, 0)),
        Verdict::Merge
    );
    assert_eq!(
        evaluate_full(&mut guard, second(2), list(12, 3)),
        Verdict::Merge
    );
    assert_eq!(
        evaluate_full(&mut guard, second(3), list(13, 4)),
        Verdict::Accept,
        "half of the servers is enough"
    );
}

#[test]
fn an_outdated_list_and_changes_to_it_are_rejected() {
    let mut guard = guard();
    assert_eq!(
        evaluate_full(&mut guard, START, list(9, 8)),
        Verdict::Reject
    );
    assert_eq!(
        guard.evaluate(START, current(), list(9, 1), ListScope::Delta),
        Verdict::Reject
    );
    assert!(guard.refetch_delay(0.5).is_some());
}

#[test]
fn a_lower_revision_of_another_service_is_accepted_and_ends_the_doubt() {
    let mut guard = guard();
    evaluate_full(&mut guard, START, list(9, 8));
    let of_another_service = ListSummary {
        service_generation: 1,
        ..list(1, 8)
    };
    assert_eq!(
        evaluate_full(&mut guard, START, of_another_service),
        Verdict::Accept
    );
    assert!(guard.refetch_delay(0.5).is_none());
}

#[test]
fn a_doubt_ends_after_its_limit() {
    let mut guard = guard();
    let just_before = START + MAX_DOUBT - Duration::from_secs(1);
    assert_eq!(
        evaluate_full(&mut guard, START, list(11, 0)),
        Verdict::Merge
    );
    assert_eq!(
        evaluate_full(&mut guard, just_before, list(11, 0)),
        Verdict::Merge
    );
    assert_eq!(
        evaluate_full(&mut guard, START + MAX_DOUBT, list(11, 0)),
        Verdict::AcceptDespiteDoubt
    );
}

#[test]
fn an_override_ends_a_doubt_for_one_list_only() {
    let mut guard = guard();
    assert!(!guard.override_doubt(), "nothing is doubted yet");
    assert_eq!(
        evaluate_full(&mut guard, START, list(3, 0)),
        Verdict::Reject
    );
    assert!(guard.override_doubt());
    assert_eq!(
        evaluate_full(&mut guard, START, list(3, 0)),
        Verdict::AcceptDespiteDoubt
    );
    assert_eq!(
        evaluate_full(&mut guard, START, list(3, 0)),
        Verdict::Reject
    );
}

proptest! {
    #[test]
    fn no_full_list_is_doubted_for_longer_than_the_limit(
        lists in proptest::collection::vec((0u64..20, 0usize..20, any::<bool>(), 0u64..30), 1..60),
    ) {
        let mut guard = guard();
        let (mut current, mut now, mut doubted_since) = (list(10, 10), Duration::ZERO, None);
        for (revision, servers, full, seconds) in lists {
            now += Duration::from_secs(seconds);
            let received = list(revision, servers);
            let scope = if full { ListScope::Full } else { ListScope::Delta };
            match guard.evaluate(now, current, received, scope) {
                Verdict::Accept | Verdict::AcceptDespiteDoubt if full => {
                    (current, doubted_since) = (received, None);
                }
                Verdict::Accept => prop_assert!(revision >= current.revision),
                verdict => {
                    let doubt = now - *doubted_since.get_or_insert(now);
                    prop_assert!(!full || doubt < MAX_DOUBT, "{verdict:?} after {doubt:?}");
                }
            }
        }
    }
}
