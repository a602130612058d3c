//! The choice among the services of a route by weight.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_config::Target;
use emberpin_routing::traffic_split::choose_service;
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

/// How often each target is chosen in a thousand evenly spread draws.
fn counts(targets: &[Target], is_usable: impl Fn(&str) -> bool) -> Vec<usize> {
    let mut counts = vec![0; targets.len()];
    for k in 0..1_000 {
        let chosen = choose_service(targets, f64::from(k) / 1_000.0, &is_usable);
        if let Some(at) = targets
            .iter()
            .position(|target| Some(target.service.as_str()) == chosen)
        {
            counts[at] += 1;
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

/// Covers `filter(|(service, _)| is_usable(service))`.
#[gtest]
fn a_service_without_a_server_gets_nothing_if_another_has_one() {
    let targets = targets(&[("a", 90), ("b", 5), ("c", 5)]);
    expect_that!(
        counts(&targets, |service| service != "a"),
        elements_are![eq(&0), eq(&500), eq(&500)]
    );
}

/// Covers the branch for no usable service.
#[gtest]
fn without_any_server_services_are_chosen_by_weight() {
    let targets = targets(&[("a", 90), ("b", 10)]);
    expect_that!(
        counts(&targets, |_| false),
        elements_are![eq(&900), eq(&100)]
    );
}

/// Covers `*weight > 0` in `weighted`, and for the only service.
#[gtest]
fn a_weight_of_zero_gets_nothing() {
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
