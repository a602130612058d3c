//! The scenario parser rejects invalid lines with their number and the expected token, and ignores comments.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_simulator::scenario::parse;
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn invalid_line_is_reported_with_its_number_and_the_expected_token() {
    let invalid_lines = [
        ("corez 5", "one of cores,"),
        ("cores", "how many machines, not the end"),
        ("cores five", "how many machines, not \"five\""),
        ("at 2 kill core-1", "a time such as 2s"),
        ("at 2s explode core-1", "one of operator, server,"),
        ("at 2s kill", "machines such as core-1"),
        (
            "at 2s kill kernel-1",
            "a machine such as core-1 or limiter-1, not \"kernel-1\"",
        ),
        ("at 2s operator A patch svc=a", "ver=NUMBER"),
        ("at 2s operator A patch svc=a ver=x", "a version, not \"x\""),
        (
            "at 2s operator A patch route=r1 ver=1",
            "route=NAME:HOST/PREFIX/:SERVICE",
        ),
        ("at 2s operator A evac mars begin", "one of the zones"),
        ("at 2s operator A evac z1 pause", "begin or finish"),
        ("at 2s server s1 up", "svc=NAME"),
        ("at 2s clock core-1 1%", "50% to 200%"),
        ("at 2s disk 5ms..1ms", "a span that isn't empty"),
        (
            "at 2s operator A cry",
            "patch, evac, get or again, not \"cry\"",
        ),
        ("at 2s answers lost many", "a part such as 5%"),
        ("at 2s slow core-1 > core-2", "1ms..8ms, not \"core-1\""),
        ("at 2s slow 1s..2s core-1", "| or >, not the end"),
        ("at 2s stall core-1", "a time such as 2s"),
        ("at 2s bootstrap", "machines such as core-1"),
        (
            "at 2s lose hope core-1 > core-2",
            "prepare, accept, chosen, exchange, promise or seats",
        ),
        ("at 2s heal core-1 please", "a machine such as"),
        (
            "at 2s replace core-1 limiter-1",
            "a core machine, not a limiter",
        ),
        ("expect at 2s get holds route r1", "\"ver\", not the end"),
        (
            "expect at 2s limiters server s1 happy",
            "usable, held or gone",
        ),
        ("expect at 2s voters 5 6", "the end of the line, not \"6\""),
        ("wrong build: no-such", "one of the builds no-amnesia"),
        ("at 2s kill core-1\nat 1s start core-1", "2000ms or later"),
    ];
    for (text, expected) in invalid_lines {
        let line = text.lines().count() + 1;
        let result = parse("some.scn", &format!("# A remark.\n{text}\n"));
        let error = displays_as(all!(
            starts_with(format!("some.scn:{line}: expected ")),
            contains_substring(expected.to_owned())
        ));
        expect_that!(result, err(error), "{text}");
    }
}

#[gtest]
fn comments_and_empty_lines_are_ignored() {
    let scenario = parse(
        "some.scn",
        "# One.\n\ncores 5 # five\nat 2s kill core-1 # now\n",
    );
    let scenario = scenario.expect("a scenario");
    expect_that!(scenario.cores, eq(5));
    expect_that!(scenario.steps.len(), eq(1));
    expect_that!(scenario.end, eq(Duration::from_secs(2)));
}
