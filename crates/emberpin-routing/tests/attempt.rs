//! What is known of an attempt, and what follows for its request.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_routing::attempt::{decide, is_misdirected};
use emberpin_routing::{AttemptVerdict, RetryDecision, RouteKind};
use googletest::prelude::*;
use AttemptVerdict::{MayHaveRun, NotRun, Ran};

/// Holds the arms of `AttemptVerdict::of`, each by one line.
#[gtest]
fn only_the_header_or_a_421_says_not_run() {
    for status in [400, 421, 429, 503] {
        expect_that!(
            AttemptVerdict::from_response(status, true),
            eq(NotRun),
            "{status} with the header"
        );
    }
    expect_that!(AttemptVerdict::from_response(421, false), eq(NotRun));
    for status in [408, 429, 502, 503] {
        expect_that!(
            AttemptVerdict::from_response(status, false),
            eq(MayHaveRun),
            "{status} without the header"
        );
    }
    for status in [200, 400, 404, 500, 504] {
        expect_that!(
            AttemptVerdict::from_response(status, false),
            eq(Ran),
            "{status}"
        );
    }
}

#[gtest]
fn what_was_not_sent_has_not_run() {
    expect_that!(AttemptVerdict::unanswered(false), eq(NotRun));
    expect_that!(AttemptVerdict::unanswered(true), eq(MayHaveRun));
}

#[gtest]
fn a_421_says_that_the_list_is_wrong() {
    expect_true!(is_misdirected(421));
    expect_false!(is_misdirected(503));
}

/// Holds `not_run || repeatable`, and that `Refuse` asks for `not_run`: over all histories of up to three
/// attempts.
#[gtest]
fn a_mutating_request_goes_on_or_is_refused_only_if_nothing_can_have_run() {
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
        let clean = history.iter().all(|verdict| *verdict == NotRun);
        let mutating = |more| decide(RouteKind::Mutating, history, more);
        expect_that!(
            mutating(true),
            eq(if clean {
                RetryDecision::Retry
            } else {
                RetryDecision::Fail
            }),
            "{history:?}"
        );
        expect_that!(
            mutating(false),
            eq(if clean {
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
            let end = if clean {
                RetryDecision::Reject
            } else {
                RetryDecision::Fail
            };
            expect_that!(decide(kind, history, false), eq(end), "{history:?}");
        }
    }
    expect_that!(histories.len(), eq(1 + 3 + 9 + 27));
}
