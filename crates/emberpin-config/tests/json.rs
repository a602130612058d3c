//! Patches that are rejected as JSON, regardless of their items: syntax errors and exceeded limits.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::*;
use emberpin_config::*;
use googletest::prelude::*;
use proptest::prelude::*;

/// The error message of a body, or `parsed: ` and the patch if it is valid.
fn rejection(body: &[u8]) -> String {
    parse_patch(body).map_or_else(
        |error| error.to_string(),
        |patch| format!("parsed: {patch:?}"),
    )
}

#[gtest]
fn invalid_json_is_rejected() {
    for body in [
        "",
        " ",
        "[]",
        "7",
        "{",
        "{} {}",
        "{}x",
        "{}\u{b}",
        "{\u{c}}",
        "{\"a\":}",
        "{\"a\":1,}",
        "{\"a\" 1}",
        "{,}",
        "{a:1}",
        "{\"a\":1 \"b\":2}",
        "{\"a\":[1,]}",
        "{\"a\":[1 2]}",
        "{\"a\":01}",
        "{\"a\":-}",
        "{\"a\":1.}",
        "{\"a\":.5}",
        "{\"a\":1e}",
        "{\"a\":1e1000}",
        "{\"a\":+1}",
        "{\"a\":NaN}",
        "{\"a\":tru}",
        "{\"a\":\"\n\"}",
        "{\"a\":\"\\x\"}",
        "{\"a\":\"\\\u{e9}\"}",
        "{\"a\":\"\\u12\u{e9}4\"}",
        "{\"a\":\"\\ud800\"}",
        "{\"a\":\"\\ud800\\u0041\"}",
        "{\"a\":\"\\",
        "{\"a\":1,\"a\":1}",
        "{\"a\":1,\"\\u0061\":1}",
    ] {
        expect_that!(parse_patch(body.as_bytes()), err(anything()), "{body}");
    }
    expect_that!(rejection(b"{\"a\":\"\xff\"}"), eq("body: is not UTF-8"));
    expect_that!(
        rejection(b"{\"upsert\":{},\"upsert\":{}}"),
        starts_with("byte 21: a field stands twice")
    );
}

#[gtest]
fn input_beyond_a_limit_is_rejected() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let nested =
            |depth: usize| format!("{{\"x\":{}1{}}}", open.repeat(depth), close.repeat(depth));
        expect_that!(
            rejection(nested(MAX_JSON_DEPTH).as_bytes()),
            ends_with("values lie too deep in one another")
        );
        expect_that!(
            rejection(nested(1_000_000).as_bytes()),
            ends_with("values lie too deep in one another")
        );
        expect_that!(
            rejection(nested(MAX_JSON_DEPTH - 1).as_bytes()),
            eq("x: is not known here")
        );
    }
    let long = format!("{{\"x\":{}}}", "9".repeat(65));
    expect_that!(
        rejection(long.as_bytes()),
        ends_with("a number is too long to be kept")
    );
    let zeros = format!("{{\"x\":0.{}1}}", "0".repeat(40_000));
    expect_that!(
        rejection(zeros.as_bytes()),
        ends_with("a number is too long to be kept")
    );
    let mut large = b"{}".to_vec();
    large.resize(MAX_PATCH_BYTES, b' ');
    expect_that!(parse_patch(&large), ok(anything()));
    large.push(b' ');
    expect_that!(rejection(&large), starts_with("body: is longer than"));
    let with_removals = |n: usize| {
        let removals: Vec<String> = (0..n).map(|at| removal(&format!("r{at}"), 1)).collect();
        body(&[], &[], &removals, &[])
    };
    expect_that!(
        parse_patch(with_removals(MAX_PATCH_ITEMS).as_bytes()),
        ok(anything())
    );
    expect_that!(
        rejection(with_removals(MAX_PATCH_ITEMS + 1).as_bytes()),
        contains_substring("more than 20000 items")
    );
}

#[gtest]
fn a_truncated_patch_is_rejected_at_every_byte() {
    for patch in [INITIAL_PATCH, CHANGE_PATCH] {
        for length in 0..patch.len() {
            expect_that!(
                parse_patch(&patch.as_bytes()[..length]),
                err(anything()),
                "truncated to {length} bytes"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    #[test]
    fn mutated_patches_are_rejected_or_parsed_without_panic(
        flips in proptest::collection::vec((0..INITIAL_PATCH.len(), any::<u8>()), 1..6),
        truncated_length in 0..INITIAL_PATCH.len(),
        is_truncated in any::<bool>(),
    ) {
        let mut body = INITIAL_PATCH.as_bytes().to_vec();
        for (at, byte) in flips {
            body[at] = byte;
        }
        if is_truncated {
            body.truncate(truncated_length);
        }
        if let Ok(patch) = parse_patch(&body) {
            let _ = validate(&configuration(&[]), &patch);
            let all = export_json(&configuration(std::slice::from_ref(&patch)));
            let reparsed = parse_patch(format!("{{\"upsert\":{all}}}").as_bytes()).expect("an export can be parsed");
            let live: Vec<_> = patch.items.into_iter().filter(|item| item.body.is_some()).collect();
            prop_assert_eq!(reparsed.items, live);
        }
    }

    #[test]
    fn random_structure_never_panics(body in "[\\[\\]{}:,\"\\\\u0-9a-f.eE+\\- \u{e9}]{0,60}") {
        let _ = parse_patch(body.as_bytes());
        let _ = parse_patch(format!("{{\"upsert\":{{\"svcs\":[{body}]}}}}").as_bytes());
    }
}
