//! Constants that two packages define for the same interval are equal.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::timing::STORE_COMPARISON_INTERVAL;
use googletest::prelude::*;

#[gtest]
fn membership_and_consensus_use_the_same_store_comparison_interval() {
    expect_that!(
        emberpin_consensus::COMPARISON_INTERVAL,
        eq(STORE_COMPARISON_INTERVAL)
    );
}
