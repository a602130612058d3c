//! The periods that packages state apart agree.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::timing::STORE_COMPARISON_INTERVAL;
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn the_sum_of_delays_goes_by_the_period_of_the_stores() {
    expect_that!(
        Duration::from_millis(emberpin_consensus::EXCHANGE),
        eq(STORE_COMPARISON_INTERVAL)
    );
}
