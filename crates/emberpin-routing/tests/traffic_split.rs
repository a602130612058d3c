//! The choice of one of a route's services by weight.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_config::Target;
use emberpin_routing::traffic_split::{choose_service, DrawSequence};
use googletest::prelude::*;

fn targets(weights: &[(&str, u32)]) -> Vec<Target> {
    weights
        .iter()
        .map(|(service, weight)| Target {
            service: (*service).into(),
            weight: *weight,
        })
        .collect()
}

/// The number of times that each target is chosen in a thousand evenly spread draws.
fn counts(targets: &[Target], is_usable: impl Fn(&str) -> bool) -> Vec<usize> {
    let mut counts = vec![0; targets.len()];
    for k in 0..1_000 {
        let chosen = choose_service(targets, f64::from(k) / 1_000.0, &is_usable);
        if let Some(index) = targets
            .iter()
            .position(|target| Some(target.service.as_str()) == chosen)
        {
            counts[index] += 1;
        }
    }
    counts
}

#[gtest]
fn services_are_chosen_by_weight() {
    let targets = targets(&[("a", 90), ("b", 10)]);
    expect_that!(
        counts(&targets, |_| true),
        elements_are![eq(&900), eq(&100)]
    );
}

/// Covers the filter by `is_usable` in `choose_service`.
#[gtest]
fn a_service_without_a_server_is_not_chosen_if_another_has_one() {
    let targets = targets(&[("a", 90), ("b", 5), ("c", 5)]);
    expect_that!(
        counts(&targets, |service| service != "a"),
        elements_are![eq(&0), eq(&500), eq(&500)]
    );
}

/// Covers the branch of `choose_service` for no usable service.
#[gtest]
fn if_no_service_has_a_server_services_are_chosen_by_weight() {
    let targets = targets(&[("a", 90), ("b", 10)]);
    expect_that!(
        counts(&targets, |_| false),
        elements_are![eq(&900), eq(&100)]
    );
}

/// Covers `weight > 0` in `weighted`, and for an only service.
#[gtest]
fn a_service_of_weight_zero_is_never_chosen() {
    let both = targets(&[("a", 0), ("b", 10)]);
    expect_that!(
        counts(&both, |service| service == "a"),
        elements_are![eq(&0), eq(&1_000)]
    );
    expect_that!(choose_service(&targets(&[("a", 0)]), 0.5, |_| true), none());
    expect_that!(
        choose_service(&targets(&[("a", 0), ("b", 0)]), 0.5, |_| true),
        none()
    );
    expect_that!(choose_service(&[], 0.5, |_| true), none());
}

#[gtest]
fn extreme_draws_and_weights_still_choose_a_service() {
    let targets = targets(&[("a", u32::MAX), ("b", u32::MAX)]);
    expect_that!(choose_service(&targets, 0.0, |_| true), some(eq("a")));
    expect_that!(choose_service(&targets, 1.0, |_| true), some(eq("b")));
    expect_that!(
        choose_service(&targets, f64::NAN, |_| true),
        some(anything())
    );
}

/// The greatest deviation of the second service's share from its weight, over successive spans of `span` requests,
/// which are distributed over the proxies in turn.
fn worst_share_error(proxies: usize, span: usize, weights: &[(&str, u32)]) -> f64 {
    const SPANS: usize = 50;
    let targets = targets(weights);
    let total: u32 = weights.iter().map(|(_, weight)| weight).sum();
    let expected_share = f64::from(weights[1].1) / f64::from(total);
    let mut starts = oorandom::Rand64::new(7);
    let mut sequences: Vec<DrawSequence> = (0..proxies)
        .map(|_| DrawSequence::starting_at(starts.rand_float()))
        .collect();
    let mut worst = 0.0_f64;
    for first in 0..SPANS {
        let mut chosen = 0;
        for request in first * span..(first + 1) * span {
            let draw = sequences[request % proxies].draw();
            chosen += usize::from(choose_service(&targets, draw, |_| true) == Some(weights[1].0));
        }
        worst = worst.max((chosen as f64 / span as f64 - expected_share).abs());
    }
    worst
}

#[gtest]
fn shares_match_the_weights_over_short_spans_at_one_proxy_and_over_many() {
    for weights in [
        [("a", 90), ("b", 10)],
        [("a", 50), ("b", 50)],
        [("a", 2), ("b", 1)],
    ] {
        for (proxies, span, limit) in [
            (1, 30, 0.08),
            (1, 300, 0.01),
            (10, 300, 0.03),
            (70, 300, 0.06),
        ] {
            let error = worst_share_error(proxies, span, &weights);
            expect_that!(
                error,
                le(limit),
                "{weights:?} at {proxies} proxies, {span} requests"
            );
        }
    }
}
