//! Every scenario holds on the right build, and fails on each build that lacks one of its guards.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_simulator::builds::{Build, WRONG};
use emberpin_simulator::play::play;
use emberpin_simulator::text::{read, Scenario};
use googletest::prelude::*;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

fn scenarios() -> Vec<Scenario> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut paths: Vec<_> = fs::read_dir(folder)
        .expect("scenarios")
        .map(|entry| entry.expect("one").path())
        .collect();
    paths.sort();
    let read = |path: &std::path::PathBuf| {
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .expect("a name");
        read(name, &fs::read_to_string(path).expect("a text"))
            .unwrap_or_else(|wrong| panic!("{wrong}"))
    };
    paths.iter().map(read).collect()
}

#[gtest]
fn each_scenario_holds_on_the_right_build() {
    for scenario in scenarios() {
        expect_that!(
            play(&scenario, Build::default()),
            ok(anything()),
            "{}",
            scenario.name
        );
    }
}

#[gtest]
fn each_scenario_fails_without_its_guard() {
    for scenario in scenarios() {
        expect_that!(
            scenario.wrong.len(),
            gt(0),
            "{} names no wrong build",
            scenario.name
        );
        for wrong in &scenario.wrong {
            let mut build = Build::default();
            assert!(build.without(wrong));
            match play(&scenario, build) {
                Err(failure) => println!("{wrong}: {failure}"),
                Ok(_) => add_failure!("{} holds without its guard: {wrong}", scenario.name),
            }
        }
    }
}

#[gtest]
fn a_scenario_plays_the_same_twice() {
    for scenario in scenarios() {
        expect_that!(
            play(&scenario, Build::default()),
            eq(&play(&scenario, Build::default()))
        );
    }
}

/// Guards that no scenario covers; the tests of the stores' own core cause them message by message.
const UNCOVERED: [&str; 3] = ["no-joint", "no-lacking", "no-ballot"];

#[gtest]
fn every_guard_has_a_scenario() {
    let all = scenarios();
    let covered: BTreeSet<&str> = all
        .iter()
        .flat_map(|scenario| &scenario.wrong)
        .map(String::as_str)
        .collect();
    let bare: Vec<&str> = WRONG
        .iter()
        .copied()
        .filter(|wrong| !covered.contains(wrong))
        .collect();
    expect_that!(bare, eq(&UNCOVERED.to_vec()));
}
