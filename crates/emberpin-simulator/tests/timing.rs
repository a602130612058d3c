//! Intervals that two packages state agree.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::timing::STORE_COMPARISON_INTERVAL;
use googletest::prelude::*;

#[gtest]
fn the_sum_of_delays_uses_the_comparison_interval_of_the_stores() {
    expect_that!(
        emberpin_consensus::COMPARISON_INTERVAL,
        eq(STORE_COMPARISON_INTERVAL)
    );
}
