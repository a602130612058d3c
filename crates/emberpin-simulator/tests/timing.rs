//! The periods that packages state apart agree.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::timing::STORE_COMPARISON_INTERVAL;
use googletest::prelude::*;

#[gtest]
fn the_sum_of_delays_goes_by_the_period_of_the_stores() {
    expect_that!(
        emberpin_consensus::COMPARISON_INTERVAL,
        eq(STORE_COMPARISON_INTERVAL)
    );
}
