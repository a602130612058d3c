//! What is known of an attempt, and what follows for its request.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_routing::verdict::{after, wrong_instance};
use emberpin_routing::{Next, RouteKind, Verdict};
use googletest::prelude::*;
use Verdict::{MayHaveRun, NotRun, Ran};

/// Holds the arms of `Verdict::of`, each by one line.
#[gtest]
fn only_the_header_or_a_421_says_not_run() {
    for status in [400, 421, 429, 503] {
        expect_that!(
            Verdict::of(status, true),
            eq(NotRun),
            "{status} with the header"
        );
    }
    expect_that!(Verdict::of(421, false), eq(NotRun));
    for status in [408, 429, 502, 503] {
        expect_that!(
            Verdict::of(status, false),
            eq(MayHaveRun),
            "{status} without the header"
        );
    }
    for status in [200, 400, 404, 500, 504] {
        expect_that!(Verdict::of(status, false), eq(Ran), "{status}");
    }
}

#[gtest]
fn what_was_not_sent_has_not_run() {
    expect_that!(Verdict::unanswered(false), eq(NotRun));
    expect_that!(Verdict::unanswered(true), eq(MayHaveRun));
}

#[gtest]
fn a_421_says_that_the_list_is_wrong() {
    expect_true!(wrong_instance(421));
    expect_false!(wrong_instance(503));
}

/// Holds `not_run || repeatable`, and that `Refuse` asks for `not_run`: over all histories of up to three
/// attempts.
#[gtest]
fn a_mutating_request_goes_on_or_is_refused_only_if_nothing_can_have_run() {
    let all = [NotRun, MayHaveRun, Ran];
    let mut histories: Vec<Vec<Verdict>> = vec![vec![]];
    for length in 0..3 {
        let longer: Vec<Vec<Verdict>> = histories
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
        let mutating = |more| after(RouteKind::Mutating, history, more);
        expect_that!(
            mutating(true),
            eq(if clean { Next::Again } else { Next::Fail }),
            "{history:?}"
        );
        expect_that!(
            mutating(false),
            eq(if clean { Next::Refuse } else { Next::Fail }),
            "{history:?}"
        );
        for kind in [RouteKind::Readonly, RouteKind::Pull] {
            expect_that!(after(kind, history, true), eq(Next::Again), "{history:?}");
            let end = if clean { Next::Refuse } else { Next::Fail };
            expect_that!(after(kind, history, false), eq(end), "{history:?}");
        }
    }
    expect_that!(histories.len(), eq(1 + 3 + 9 + 27));
}
