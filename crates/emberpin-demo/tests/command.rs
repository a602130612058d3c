//! Runs the program `emberpin-demo`, which runs the whole gateway as child processes.
#![allow(missing_docs, reason = "a test has no public interface")]

use googletest::prelude::*;
use std::process::{Command, Output};

fn run_demo(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_emberpin-demo"))
        .args(arguments)
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The figures of a route in the report: requests, served, refused, failed.
fn figures(report: &str, route: &str) -> Vec<usize> {
    let line = report
        .lines()
        .find(|line| line.starts_with(route))
        .unwrap_or_default();
    line.split_whitespace()
        .skip(1)
        .map_while(|word| word.parse().ok())
        .collect()
}

#[gtest]
fn a_run_of_four_seconds_violates_no_invariant() {
    let output = run_demo(&["--seconds", "4", "--seed", "7"]);
    let report = text(&output.stdout);
    expect_that!(
        output.status.code(),
        some(eq(0)),
        "{report}{}",
        text(&output.stderr)
    );
    expect_that!(
        report,
        contains_substring("3 core machines, 3 edges, 12 servers in 3 zones, 4 s, seed 7")
    );
    expect_that!(report, contains_substring("verdict: every rule held"));
    // 60 and 30 requests per second for four seconds; the number may differ slightly at the start and the end.
    for (route, sent) in [("look-up", 240), ("commit", 120)] {
        let figures = figures(&report, route);
        verify_that!(figures.len(), eq(4)).and_log_failure();
        let &[requests, served, refused, failed] = &figures[..] else {
            continue;
        };
        expect_that!(requests, all![ge(sent - 2), le(sent + 2)]);
        expect_that!(served + refused + failed, eq(requests));
    }
    expect_that!(
        report,
        contains_regex("change: in force at every edge [0-9.]+ ms after its acknowledgement")
    );
    expect_that!(
        report,
        contains_regex(r"evacuation: south-quay from .* watched for 0\.[0-9] s")
    );
    expect_that!(
        report,
        contains_regex(r"core: 127\.0\.0\.12 killed at .* answered [0-9.]+ ms later")
    );
    expect_that!(
        report,
        contains_regex("servers: one crashed at .*, one drained and left")
    );
    expect_that!(
        report,
        contains_regex("election: [1-9][0-9]* terms of 2 candidates in .*nobody led for")
    );
}

#[gtest]
fn an_invalid_option_is_an_error_of_one_line() {
    for (arguments, expected) in [
        (
            &["--seconds", "1"][..],
            "emberpin-demo: --seconds: expected 4 to 3600\n",
        ),
        (
            &["--edges", "0"],
            "emberpin-demo: --edges: expected 1 to 100\n",
        ),
        (
            &["--seed", "x"],
            "emberpin-demo: --seed: expected a number, found \"x\"\n",
        ),
        (&["now"], "emberpin-demo: unexpected: now\n"),
    ] {
        let output = run_demo(arguments);
        expect_that!(output.status.code(), some(eq(2)));
        expect_that!(text(&output.stderr), eq(expected));
    }
}
