//! Bounds of a deployment that the control plane cannot guarantee are reported with the sum of delays that exceeds
//! them.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::deployment_bounds::{Bound, DeploymentBounds};
use googletest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The tightest bounds that can be guaranteed: each equals its sum of delays.
const TIGHTEST: DeploymentBounds = DeploymentBounds {
    ack: ms(1_950),
    apply: ms(2_000),
    drain: ms(2_000),
    evac: ms(2_000),
    contact: ms(2_600),
};

/// The exceeded bounds, each with the stated limit and the sum of delays.
fn exceeded(bounds: DeploymentBounds) -> Vec<(Bound, Duration, Duration)> {
    let exceeded = bounds.exceeded();
    exceeded
        .iter()
        .map(|exceeded| (exceeded.bound, exceeded.limit, exceeded.sum))
        .collect()
}

#[gtest]
fn bounds_equal_to_their_sums_are_not_exceeded() {
    expect_that!(exceeded(TIGHTEST), is_empty());
}

#[gtest]
fn each_bound_below_its_sum_is_reported() {
    let cases = [
        (
            DeploymentBounds {
                ack: ms(1_949),
                ..TIGHTEST
            },
            Bound::Ack,
            ms(1_949),
            ms(1_950),
        ),
        (
            DeploymentBounds {
                apply: ms(1_500),
                ..TIGHTEST
            },
            Bound::Apply,
            ms(1_500),
            ms(2_000),
        ),
        (
            DeploymentBounds {
                drain: ms(0),
                ..TIGHTEST
            },
            Bound::Drain,
            ms(0),
            ms(2_000),
        ),
        (
            DeploymentBounds {
                evac: ms(1_999),
                ..TIGHTEST
            },
            Bound::Evac,
            ms(1_999),
            ms(2_000),
        ),
        (
            DeploymentBounds {
                contact: ms(2_000),
                ..TIGHTEST
            },
            Bound::Contact,
            ms(2_000),
            ms(2_600),
        ),
    ];
    for (bounds, bound, limit, sum) in cases {
        expect_that!(exceeded(bounds), elements_are![eq(&(bound, limit, sum))]);
    }
    let short = DeploymentBounds {
        apply: ms(1_500),
        ..TIGHTEST
    };
    expect_that!(
        short.exceeded()[0].to_string(),
        eq("defs.bounds.apply is 1500 ms, but the delays of the control plane may add up to 2000 ms")
    );
}
