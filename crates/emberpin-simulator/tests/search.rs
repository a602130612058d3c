//! Generated scenarios hold on the system, detect mutants, are deterministic, and can be shrunk when they fail.
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
fn generated_scenarios_hold_and_cover_all_kinds_of_faults() {
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
    // The runs exercised the checks.
    expect_that!(result.total.slow_start_requests, gt(0));
    expect_that!(result.total.effect_checks, gt(0));
    expect_that!(result.total.acknowledged_calls, gt(0));
    // Faults of each kind took effect.
    for (kind, count) in result.total.fault_effects.counts() {
        expect_that!(count, gt(0), "{kind}");
    }
}

#[gtest]
fn generation_is_deterministic_and_yields_valid_scenarios() {
    for seed in 0..50 {
        expect_that!(parse("seed", &generate(seed)), ok(anything()));
        expect_that!(generate(seed), eq(&generate(seed)));
    }
}

/// Guards against a dependence on the order of a hash map: listing a proxy's instances in that order made the runs of
/// these seeds differ.
#[gtest]
fn runs_of_a_seed_are_deterministic() {
    for seed in [100_040, 100_099] {
        let run = || search(Seeds::consecutive(seed, 1), 1, 1, Guards::default()).total;
        let first = run();
        for _ in 0..8 {
            expect_that!(run(), eq(first), "{seed}");
        }
    }
}

/// Each of these mutants is detected by one of the first 120 seeds.
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
    (seed.expect("one of the seeds detects the mutant"), guards)
}

#[gtest]
fn failing_scenario_is_shrunk_to_few_lines_with_the_same_failure() {
    for (mutant, max_lines) in [("no-history", 12), ("no-spread", 40)] {
        let (seed, guards) = first_detection(mutant);
        let text = generate(seed);
        let shrunk = shrink("shrunk", &text, guards).expect("the scenario fails");
        expect_that!(shrunk.text.lines().count(), le(max_lines), "{mutant}");
        let scenario = parse("shrunk", &shrunk.text).expect("a scenario");
        expect_that!(run(&scenario, guards), err(eq(&shrunk.failure)), "{mutant}");
        // The remaining lines show the mutant's defect, not a fault that never ends.
        expect_that!(
            run(&scenario, Guards::default()),
            ok(anything()),
            "{mutant}"
        );
    }
}

#[gtest]
fn scenario_that_holds_is_not_shrunk() {
    expect_that!(shrink("seed", &generate(0), Guards::default()), none());
}

/// The distance between the seeds of two exact variations, which keep all times. Starting with seed 0, these are the
/// exact variations of the recorded scenarios in the order of their names.
const EXACT_VARIATION_SEED_STEP: u64 = 32;

#[gtest]
fn variations_of_the_recorded_scenarios_hold_and_detect_their_mutants() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder can be read")
        .map(|entry| entry.expect("the entry can be read").path())
        .collect();
    files.sort();
    for (index, file) in files.iter().enumerate() {
        let name = file.file_name().and_then(|name| name.to_str());
        let name = name.expect("the file has a name");
        let recorded = std::fs::read_to_string(file).expect("the file can be read");
        let recorded = parse(name, &recorded).expect("a scenario");
        let text = generate(EXACT_VARIATION_SEED_STEP * index as u64);
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
