//! Which of a route's services a request goes to.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_routing::traffic_split::choose_service;
use googletest::prelude::*;

fn targets(weights: &[(&str, u32)]) -> Vec<(String, u32)> {
    weights
        .iter()
        .map(|(service, weight)| ((*service).into(), *weight))
        .collect()
}

/// How often each of these gets one of a thousand even draws.
fn dealt(targets: &[(String, u32)], usable: impl Fn(&str) -> bool) -> Vec<usize> {
    let mut counts = vec![0; targets.len()];
    for k in 0..1_000 {
        let chosen = choose_service(targets, f64::from(k) / 1_000.0, &usable);
        if let Some(at) = targets
            .iter()
            .position(|(service, _)| Some(service.as_str()) == chosen)
        {
            counts[at] += 1;
        }
    }
    counts
}

#[gtest]
fn draws_go_by_weight() {
    let targets = targets(&[("a", 90), ("b", 10)]);
    expect_that!(dealt(&targets, |_| true), elements_are![eq(&900), eq(&100)]);
}

/// Holds `filter(|(service, _)| usable(service))`.
#[gtest]
fn a_target_without_a_server_gets_nothing_if_another_has_one() {
    let targets = targets(&[("a", 90), ("b", 5), ("c", 5)]);
    expect_that!(
        dealt(&targets, |service| service != "a"),
        elements_are![eq(&0), eq(&500), eq(&500)]
    );
}

/// Holds the branch for no usable target.
#[gtest]
fn where_no_target_has_a_server_the_weights_stand() {
    let targets = targets(&[("a", 90), ("b", 10)]);
    expect_that!(
        dealt(&targets, |_| false),
        elements_are![eq(&900), eq(&100)]
    );
}

/// Holds `*weight > 0` in `weighted`, and for the only target.
#[gtest]
fn a_weight_of_zero_gets_nothing() {
    let both = targets(&[("a", 0), ("b", 10)]);
    expect_that!(
        dealt(&both, |service| service == "a"),
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
fn a_draw_at_the_ends_and_large_weights_do_no_harm() {
    let targets = targets(&[("a", u32::MAX), ("b", u32::MAX)]);
    expect_that!(choose_service(&targets, 0.0, |_| true), some(eq("a")));
    expect_that!(choose_service(&targets, 1.0, |_| true), some(eq("b")));
    expect_that!(
        choose_service(&targets, f64::NAN, |_| true),
        some(anything())
    );
}
