//! The verdict on an attempt: whether the server has run the request.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_routing::attempt::is_misdirected;
use emberpin_routing::AttemptVerdict;
use googletest::prelude::*;
use AttemptVerdict::{MayHaveRun, NotRun, Ran};

/// Covers each arm of `AttemptVerdict::from_response`.
#[gtest]
fn only_the_header_or_a_421_means_that_the_request_was_not_run() {
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
fn without_a_response_a_request_was_certainly_not_run_only_if_nothing_was_sent() {
    expect_that!(AttemptVerdict::from_unanswered(false), eq(NotRun));
    expect_that!(AttemptVerdict::from_unanswered(true), eq(MayHaveRun));
}

#[gtest]
fn only_a_421_means_that_the_endpoint_table_is_out_of_date() {
    expect_true!(is_misdirected(421));
    expect_false!(is_misdirected(503));
}
