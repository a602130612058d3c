//! Scenarios drawn from seeds hold, and find wrong builds.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_simulator::builds::Build;
use emberpin_simulator::search::{draw, search};
use emberpin_simulator::text::read;
use googletest::prelude::*;

/// On so many threads.
const THREADS: usize = 3;

#[gtest]
fn nothing_that_was_acknowledged_is_lost_whatever_happens() {
    let seeds = std::env::var("EMBERPIN_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(120);
    let found = search(0..seeds, THREADS, 1, Build::default());
    for (seed, failure, text) in &found.failures {
        add_failure!("seed {seed}: {failure}\n{text}");
    }
    println!("{} seeds: {:?}", found.played, found.sum);
    expect_that!(found.played, eq(seeds));
    // It isn't empty what was asserted.
    expect_that!(found.sum.cold_sent, gt(0));
    expect_that!(found.sum.applied, gt(0));
    expect_that!(found.sum.acknowledged, gt(0));
}

#[gtest]
fn what_is_drawn_can_be_read_and_is_the_same_each_time() {
    for seed in 0..50 {
        expect_that!(read("seed", &draw(seed)), ok(anything()));
        expect_that!(draw(seed), eq(&draw(seed)));
    }
}

/// Each is found among so many seeds.
#[gtest]
fn wrong_builds_are_found() {
    for wrong in [
        "no-promise",
        "no-carry",
        "no-newest",
        "no-whole",
        "no-spread",
        "no-place",
        "no-admission",
    ] {
        let mut build = Build::default();
        expect_that!(build.without(wrong), eq(true));
        let found = search(0..120, THREADS, 1, build);
        match found.failures.first() {
            Some((_, failure, _)) => println!("{wrong}: {failure}"),
            None => add_failure!("{wrong} holds over {} seeds", found.played),
        }
    }
}
