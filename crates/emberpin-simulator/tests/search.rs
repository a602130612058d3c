//! The scenarios of seeds hold, and detect mutants.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_simulator::mutants::Guards;
use emberpin_simulator::runner::run;
use emberpin_simulator::scenario::parse;
use emberpin_simulator::search::{generate, search, Seeds};
use emberpin_simulator::shrink::shrink;
use googletest::prelude::*;

/// The threads that a search runs on.
const THREADS: usize = 3;

#[gtest]
fn nothing_that_was_acknowledged_is_lost_whatever_happens() {
    let seeds = std::env::var("EMBERPIN_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(120);
    let result = search(Seeds::consecutive(0, seeds), THREADS, 1, Guards::default());
    for failed in &result.failures {
        add_failure!("seed {}: {}\n{}", failed.seed, failed.failure, failed.text);
    }
    println!("{} seeds: {}", result.runs, result.total);
    expect_that!(result.runs, eq(seeds));
    // Something was asserted.
    expect_that!(result.total.slow_start_requests, gt(0));
    expect_that!(result.total.effect_checks, gt(0));
    expect_that!(result.total.acknowledged_calls, gt(0));
    // And faults of each kind took effect.
    for (kind, count) in result.total.fault_effects.counts() {
        expect_that!(count, gt(0), "{kind}");
    }
}

#[gtest]
fn a_seed_gives_the_same_valid_scenario_each_time() {
    for seed in 0..50 {
        expect_that!(parse("seed", &generate(seed)), ok(anything()));
        expect_that!(generate(seed), eq(&generate(seed)));
    }
}

/// Covers the order of a proxy's instances: listed as a hash map has them, they gave these seeds different runs.
#[gtest]
fn a_seed_gives_the_same_run_each_time() {
    for seed in [100_040, 100_099] {
        let run = || search(Seeds::consecutive(seed, 1), 1, 1, Guards::default()).total;
        let first = run();
        for _ in 0..8 {
            expect_that!(run(), eq(first), "{seed}");
        }
    }
}

/// Each is detected by one of so many seeds.
#[gtest]
fn mutants_are_detected() {
    for mutant in [
        "no-promise",
        "no-carry",
        "no-newest",
        "no-whole",
        "no-spread",
        "no-place",
        "no-admission",
    ] {
        let mut guards = Guards::default();
        expect_that!(guards.disable(mutant), eq(true));
        let result = search(Seeds::consecutive(0, 120), THREADS, 1, guards);
        match result.failures.first() {
            Some(failed) => println!("{mutant}: {}", failed.failure),
            None => add_failure!("{mutant} holds over {} seeds", result.runs),
        }
    }
}

/// The first seed that detects a mutant, and the guards of that mutant.
fn first_detection(mutant: &str) -> (u64, Guards) {
    let mut guards = Guards::default();
    assert_that!(guards.disable(mutant), eq(true));
    let result = search(Seeds::consecutive(0, 400), THREADS, 1, guards);
    let seed = result.failures.first().map(|failed| failed.seed);
    (seed.expect("a seed that fails"), guards)
}

#[gtest]
fn a_scenario_that_fails_is_shrunk_to_few_lines_that_fail_alike() {
    for (mutant, max_lines) in [("no-history", 12), ("no-spread", 40)] {
        let (seed, guards) = first_detection(mutant);
        let text = generate(seed);
        let shrunk = shrink("shrunk", &text, guards).expect("a failure");
        expect_that!(shrunk.text.lines().count(), le(max_lines), "{mutant}");
        let scenario = parse("shrunk", &shrunk.text).expect("a scenario");
        expect_that!(run(&scenario, guards), err(eq(&shrunk.failure)), "{mutant}");
        // What is left shows the mutant's fault, and not that a fault has no end.
        expect_that!(
            run(&scenario, Guards::default()),
            ok(anything()),
            "{mutant}"
        );
    }
}

#[gtest]
fn a_scenario_that_holds_is_not_shrunk() {
    expect_that!(shrink("seed", &generate(0), Guards::default()), none());
}

/// The variations that keep the times of a recorded scenario come first, one of each scenario, in the order of names.
const EXACT_VARIATION_SEEDS: u64 = 32;

#[gtest]
fn variations_of_the_recorded_scenarios_hold_and_detect_their_mutants() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder can be read")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    files.sort();
    for (index, file) in files.iter().enumerate() {
        let name = file.file_name().and_then(|name| name.to_str());
        let name = name.expect("a file's name");
        let recorded = std::fs::read_to_string(file).expect("the file can be read");
        let recorded = parse(name, &recorded).expect("a scenario");
        let text = generate(EXACT_VARIATION_SEEDS * index as u64);
        expect_that!(text, starts_with(format!("# A variation of {name}.")));
        let variation = parse(name, &text).expect("a scenario");
        expect_that!(run(&variation, Guards::default()), ok(anything()), "{name}");
        for mutant in &recorded.mutants {
            let mut guards = Guards::default();
            expect_that!(guards.disable(mutant), eq(true));
            expect_that!(run(&variation, guards), err(anything()), "{mutant} {name}");
        }
    }
}
