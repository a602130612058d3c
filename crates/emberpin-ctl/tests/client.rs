//! Redirects, failover, rejections and time-outs of the calls to registries.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{emberpinctl, ok, response, FakeRegistry, CONFIG, HEALTHY};
use googletest::prelude::*;
use std::net::TcpListener;

#[gtest]
fn two_redirects_are_followed_and_a_third_is_not() {
    let redirect = |to: &str| {
        response(
            "307 Temporary Redirect",
            &format!("Location: http://{to}\r\n"),
            "",
        )
    };
    let last = FakeRegistry::start(&[&ok("there")]);
    let second = FakeRegistry::start(&[&redirect(&format!("{}/c?d", last.address))]);
    let first = FakeRegistry::start(&[&redirect(&format!("{}/b", second.address))]);
    let (code, out, _) = emberpinctl(&["--at", &first.address, "get"]);
    expect_that!((code, out.as_str()), eq((Some(0), "there\n")));
    expect_that!(last.requests(), elements_are![eq("GET /c?d ")]);
    // After the third redirect, which is not followed, the next address is called.
    let zeroth = FakeRegistry::start(&[&redirect(&format!("{}/a", first.address))]);
    let healthy = FakeRegistry::start(&[HEALTHY]);
    let (code, out, _) = emberpinctl(&[
        "--at",
        &format!("{},{}", zeroth.address, healthy.address),
        "get",
    ]);
    expect_that!((code, out), eq(&(Some(0), format!("{CONFIG}\n"))));
    expect_that!((second.requests().len(), last.requests().len()), eq((2, 1)));
}

#[gtest]
fn the_next_address_is_called_after_a_failed_attempt() {
    // Nothing listens on a port that was just released.
    let closed_port = TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address")
        .to_string();
    let silent_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let silent = silent_listener
        .local_addr()
        .expect("an address")
        .to_string();
    for fault in ["500 Oh", "503 Full", "408 Slow", "429 Many"] {
        let bad = FakeRegistry::start(&[&response(fault, "", "")]);
        let good = FakeRegistry::start(&[HEALTHY]);
        let (code, _, _) =
            emberpinctl(&["--at", &format!("{},{}", bad.address, good.address), "get"]);
        expect_that!(
            (code, bad.requests().len(), good.requests().len()),
            eq((Some(0), 1, 1)),
            "{fault}"
        );
    }
    let closing = FakeRegistry::start(&[""]);
    let good = FakeRegistry::start(&[HEALTHY]);
    let started_at = std::time::Instant::now();
    let addresses = format!(
        "{closed_port},{silent},{},{}",
        closing.address, good.address
    );
    expect_that!(emberpinctl(&["--at", &addresses, "get"]).0, some(eq(0)));
    expect_that!(started_at.elapsed().as_secs_f64(), all!(ge(1.0), lt(4.0)));
}

#[gtest]
fn a_call_ends_at_a_rejection_or_the_third_unexpected_4xx() {
    for (status, times) in [
        ("400 No", 1),
        ("409 No", 1),
        ("412 No", 1),
        ("413 No", 1),
        ("422 No", 1),
        ("404 No", 3),
    ] {
        let registry = FakeRegistry::start(&[&response(status, "", "why")]);
        let (code, _, err) = emberpinctl(&["--at", &registry.address, "get"]);
        let number = &status[..3];
        expect_that!(
            (code, registry.requests().len()),
            eq((Some(1), times)),
            "{status}"
        );
        expect_that!(
            err,
            eq(&format!("{} refuses: {number} why\n", registry.address))
        );
    }
}

#[gtest]
fn a_408_or_429_is_never_a_rejection() {
    for status in ["408 Slow", "429 Many"] {
        let again = response(status, "", "");
        let registry = FakeRegistry::start(&[&again, &again, &again, &again, HEALTHY]);
        let (code, _, _) = emberpinctl(&["--at", &registry.address, "get"]);
        expect_that!(
            (code, registry.requests().len()),
            eq((Some(0), 5)),
            "{status}"
        );
    }
}

#[gtest]
fn a_change_that_no_registry_acknowledges_or_rejects_fails_within_the_retry_window() {
    let registry = FakeRegistry::start(&[&response("503 Full", "", "full")]);
    let started_at = std::time::Instant::now();
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "evacuate", "umea"]);
    expect_that!(code, some(eq(1)));
    expect_that!(
        err,
        starts_with(
            "no clear answer; if the request was a change, it may be in force or not. \
             Last attempt: "
        )
    );
    expect_that!(started_at.elapsed().as_secs_f64(), lt(6.5));
    expect_that!(registry.requests().len(), all!(ge(4), le(10)));
}
