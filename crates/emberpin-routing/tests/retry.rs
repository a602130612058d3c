//! The decision to retry, reject or fail a request after its attempts.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_routing::retry::decide;
use emberpin_routing::{AttemptVerdict, RetryDecision, RouteKind};
use googletest::prelude::*;
use AttemptVerdict::{MayHaveRun, NotRun, Ran};

/// Covers `has_not_run || is_idempotent`, and that `Reject` requires `has_not_run`, with all sequences of up to three
/// verdicts.
#[gtest]
fn a_mutating_request_is_retried_or_rejected_only_if_no_attempt_can_have_run() {
    let all = [NotRun, MayHaveRun, Ran];
    let mut histories: Vec<Vec<AttemptVerdict>> = vec![vec![]];
    for length in 0..3 {
        let longer: Vec<Vec<AttemptVerdict>> = histories
            .iter()
            .filter(|h| h.len() == length)
            .cloned()
            .collect();
        histories.extend(
            longer
                .iter()
                .flat_map(|h| all.map(|verdict| [h.clone(), vec![verdict]].concat())),
        );
    }
    for history in &histories {
        let has_not_run = history.iter().all(|verdict| *verdict == NotRun);
        let mutating = |can_retry| decide(RouteKind::Mutating, history, can_retry);
        expect_that!(
            mutating(true),
            eq(if has_not_run {
                RetryDecision::Retry
            } else {
                RetryDecision::Fail
            }),
            "{history:?}"
        );
        expect_that!(
            mutating(false),
            eq(if has_not_run {
                RetryDecision::Reject
            } else {
                RetryDecision::Fail
            }),
            "{history:?}"
        );
        for kind in [RouteKind::Readonly, RouteKind::Pull] {
            expect_that!(
                decide(kind, history, true),
                eq(RetryDecision::Retry),
                "{history:?}"
            );
            let final_decision = if has_not_run {
                RetryDecision::Reject
            } else {
                RetryDecision::Fail
            };
            expect_that!(
                decide(kind, history, false),
                eq(final_decision),
                "{history:?}"
            );
        }
    }
    expect_that!(histories.len(), eq(1 + 3 + 9 + 27));
}
