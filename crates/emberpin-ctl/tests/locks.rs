//! The commands for locks, cells and numbers, run against stand-in registries.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{emberpinctl, ok, response, FakeRegistry};
use googletest::prelude::*;

const TWO_LOCKS: &str = r#"{"locks":[{"name":"l/1","owner":"a3.7","fence":41,"hold_ms":3000,"known_for_ms":700},{"name":"leader","owner":"b","fence":2,"hold_ms":9000,"known_for_ms":0}]}"#;
const FIRST_LINE: &str =
    "lock l/1: held by a3.7 with fence 41 for 3000 ms, renewed 700 ms ago at least\n";

#[gtest]
fn lock_list_prints_all_pages_of_the_list() {
    let first_page = TWO_LOCKS.replace("]}", r#"],"next_after":"m 1"}"#);
    let second_page =
        r#"{"locks":[{"name":"z","owner":"c","fence":1,"hold_ms":1,"known_for_ms":2}]}"#;
    let registry = FakeRegistry::start(&[&ok(&first_page), &ok(second_page)]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "lock", "list"]);
    let expected = format!(
        "{FIRST_LINE}lock leader: held by b with fence 2 for 9000 ms, renewed 0 ms ago at least\n\
         lock z: held by c with fence 1 for 1 ms, renewed 2 ms ago at least\n"
    );
    expect_that!((code, out), eq(&(Some(0), expected)));
    expect_that!(
        registry.requests(),
        elements_are![eq("GET /locks "), eq("GET /locks?after=m%201 ")]
    );
}

#[gtest]
fn lock_list_reports_that_no_lock_is_held() {
    let registry = FakeRegistry::start(&[&ok(r#"{"locks":[]}"#)]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "lock", "list"]);
    expect_that!((code, out.as_str()), eq((Some(0), "no lock is held\n")));
}

#[gtest]
fn lock_show_prints_the_holder_and_fails_if_there_is_none() {
    let registry = FakeRegistry::start(&[&ok(TWO_LOCKS)]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "lock", "show", "l/1"]);
    expect_that!((code, out.as_str()), eq((Some(0), FIRST_LINE)));
    let (code, out, err) = emberpinctl(&["--at", &registry.address, "lock", "show", "l"]);
    expect_that!(
        (code, out.as_str(), err.as_str()),
        eq((Some(1), "", "nobody holds the lock l\n"))
    );
}

#[gtest]
fn lock_release_sends_the_listed_owner_and_fencing_token() {
    let registry = FakeRegistry::start(&[&ok(TWO_LOCKS), &ok("")]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "lock", "release", "l/1"]);
    expect_that!(
        (code, out),
        eq(&(Some(0), format!("released {FIRST_LINE}")))
    );
    expect_that!(
        registry.requests(),
        elements_are![
            eq("GET /locks "),
            eq(r#"POST /locks/l%2F1/finish {"owner":"a3.7","fence":41}"#),
        ]
    );
}

#[gtest]
fn lock_release_of_a_lock_without_a_holder_sends_no_release() {
    let registry = FakeRegistry::start(&[&ok(TWO_LOCKS)]);
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "lock", "release", "x"]);
    expect_that!(
        (code, err.as_str()),
        eq((Some(1), "nobody holds the lock x\n"))
    );
    expect_that!(registry.requests(), elements_are![eq("GET /locks ")]);
}

#[gtest]
fn an_invalid_list_of_locks_is_an_error() {
    let registry = FakeRegistry::start(&[&ok(r#"{"locks":[{"name":"l"}]}"#)]);
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "lock", "list"]);
    expect_that!(code, some(eq(1)));
    expect_that!(err, starts_with("not a list of locks: "));
}

#[gtest]
fn a_deployment_without_coordination_rejects_the_commands() {
    let missing = response("404 Not Found", "", "no call has this path");
    let registry = FakeRegistry::start(&[&missing]);
    for command in [&["lock", "list"][..], &["cell", "get", "c"]] {
        let (code, _, err) = emberpinctl(&[&["--at", &registry.address][..], command].concat());
        expect_that!(code, some(eq(1)));
        expect_that!(
            err,
            contains_substring("refuses: 404 no call has this path")
        );
    }
}

#[gtest]
fn cell_get_and_number_next_print_what_the_registry_returns() {
    let registry = FakeRegistry::start(&[&ok(r#"{"val":"v","rev":931}"#), &ok(r#"{"val":5120}"#)]);
    let at = ["--at", &registry.address];
    let (code, out, _) = emberpinctl(&[&at[..], &["cell", "get", "g1.2d"]].concat());
    expect_that!(
        (code, out.as_str()),
        eq((Some(0), "{\"val\":\"v\",\"rev\":931}\n"))
    );
    let (code, out, _) = emberpinctl(&[&at[..], &["number", "next", "n 2"]].concat());
    expect_that!((code, out.as_str()), eq((Some(0), "{\"val\":5120}\n")));
    expect_that!(
        registry.requests(),
        elements_are![eq("GET /cells/g1.2d/get "), eq("POST /numbers/n%202 {}")]
    );
}
