//! The commands of the program, run against stand-in registries.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{emberpinctl, file, now_ms, ok, response, FakeRegistry, CONFIG, HEALTHY};
use googletest::prelude::*;
use std::net::TcpListener;

#[gtest]
fn get_prints_the_newest_configuration() {
    let registry = FakeRegistry::start(&[HEALTHY]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "get"]);
    expect_that!((code, out), eq(&(Some(0), format!("{CONFIG}\n"))));
    expect_that!(registry.requests(), elements_are![eq("GET /config/get ")]);
}

#[gtest]
fn each_change_is_sent_as_the_http_api_expects_it() {
    let registry = FakeRegistry::start(&[&ok("")]);
    let patch = r#"{"upsert": {"svcs": [{"name":"s","hcheck":"/h","maxconn":9,"ver":3}]}}"#;
    let file = file(patch);
    let path = file.path().to_str().expect("a path");
    for arguments in [
        &["patch", path][..],
        &["drop", "route", "r\"1", "9"],
        &["drop", "service", "s", "9"],
        &["evacuate", "umea"],
        &["return", "umea"],
    ] {
        let (code, out, err) = emberpinctl(&[&["--at", &registry.address][..], arguments].concat());
        expect_that!(
            (code, out.as_str(), err.as_str()),
            eq((Some(0), "acknowledged\n", "")),
            "{arguments:?}"
        );
    }
    expect_that!(
        registry.requests(),
        elements_are![
            eq(&format!("POST /config/patch {patch}")),
            eq(r#"POST /config/patch {"remove":{"rtab":[{"name":"r\"1","ver":9}]}}"#),
            eq(r#"POST /config/patch {"remove":{"svcs":[{"name":"s","ver":9}]}}"#),
            eq("POST /evac/umea/begin "),
            eq("POST /evac/umea/finish "),
        ]
    );
}

#[gtest]
fn an_invalid_patch_file_is_not_sent() {
    let registry = FakeRegistry::start(&[&ok("")]);
    let invalid = file(r#"{"upsert":{"svcs":[{"name":"s","hcheck":"/h","maxconn":9}]}}"#);
    let path = invalid.path().to_str().expect("a path");
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "patch", path]);
    expect_that!(
        (code, err),
        eq(&(Some(1), format!("{path}: upsert.svcs[0].ver: is missing\n")))
    );
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "patch", "no such file"]);
    expect_that!(code, some(eq(1)));
    expect_that!(err, starts_with("no such file: "));
    expect_that!(registry.requests(), is_empty());
}

#[gtest]
fn a_dry_run_validates_and_changes_nothing() {
    let registry = FakeRegistry::start(&[HEALTHY]);
    let route = |service: &str| {
        file(&format!(
            r#"{{"upsert":{{"vhosts":[{{"hostname":"h","locs":[{{"name":"r","pfx":"/","type":"pull","timeout":"1s","target_time":"1s","prio":1,"svc":"{service}","tries":1,"ver":4}}]}}]}}}}"#
        ))
    };
    let run = |file: &tempfile::NamedTempFile, at: &[&str]| {
        emberpinctl(
            &[
                at,
                &["patch", "--dry-run", file.path().to_str().expect("a path")],
            ]
            .concat(),
        )
    };
    let at = ["--at", &registry.address];
    let (code, out, _) = run(&route("t"), &[]);
    expect_that!(
        (code, out.as_str()),
        eq((Some(0), "1 items, each of them valid\n"))
    );
    let (code, out, _) = run(&route("s"), &at);
    expect_that!(
        (code, out.as_str()),
        eq((Some(0), "1 items, 1 of them newer; valid as a whole\n"))
    );
    let (code, _, err) = run(&route("t"), &at);
    expect_that!(code, some(eq(1)));
    expect_that!(
        err,
        ends_with(": route r: names the service t, which is unknown\n")
    );
    let (code, out, _) = run(&file(&format!("{{\"upsert\":{CONFIG}}}")), &at);
    expect_that!(
        (code, out.as_str()),
        eq((Some(0), "1 items, all of them known\n"))
    );
    let older = file(&format!("{{\"upsert\":{CONFIG}}}").replace("\"ver\":3", "\"ver\":2"));
    expect_that!(run(&older, &at).0, some(eq(1)));
    for request in registry.requests() {
        expect_that!(request, eq("GET /config/get "));
    }
}

#[gtest]
fn members_prints_registries_proxies_and_servers() {
    let registry = FakeRegistry::start(&[HEALTHY]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "members"]);
    expect_that!(code, some(eq(0)));
    expect_that!(
        out,
        contains_substring(format!(
            "registry {} core: settled, 1 items, voters a b c",
            registry.address
        ))
    );
    expect_that!(out, contains_substring("  limiter e in z: 2 behind\n"));
    expect_that!(
        out,
        contains_substring(
            "  server i-1 of s at 10.0.0.1:80 in z: up, cold for 5 ms, heard 7 ms ago\n"
        )
    );
    let whole = r#"{"name":"n","settled":true,"voters":[],"registries":[],"limiters":[],"instances":[],"items":1,"disk":null,"clock_ms":3}"#;
    let unavailable = FakeRegistry::start(&[&response("503 Full", "", whole)]);
    let (code, _, err) = emberpinctl(&["--at", &unavailable.address, "members"]);
    expect_that!(
        (code, err),
        eq(&(
            Some(1),
            format!("registry {}: status 503\n", unavailable.address)
        ))
    );
    let broken = FakeRegistry::start(&[&ok("{}")]);
    let (code, _, err) = emberpinctl(&["--at", &broken.address, "members"]);
    expect_that!(code, some(eq(1)));
    expect_that!(err, contains_substring("not a status: name"));
}

#[gtest]
fn doctor_calls_every_named_registry_and_exits_with_1_after_a_finding() {
    // The status names three registries on one port of three loopback addresses; nothing listens on the third.
    let first = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = first.local_addr().expect("an address").port();
    let second = TcpListener::bind(("127.0.0.2", port)).expect("the same port");
    let status = |name: &str| {
        ok(&format!(
            r#"{{"name":"{name}","settled":true,"voters":["127.0.0.1","127.0.0.2","127.0.0.3"],"registries":["127.0.0.1","127.0.0.2"],"limiters":[{{"name":"e","zone":"z","behind":0}}],"instances":[{{"id":"i-1","service":"s","address":"a","zone":"z","status":"up","cold_ms":0,"heard_ms":0}}],"items":1,"disk":{{"used":1,"of":2}},"clock_ms":{}}}"#,
            now_ms()
        ))
    };
    let no_held_locks = ok(r#"{"locks":[]}"#);
    let first = FakeRegistry::on(first, &[&status("one"), &ok(CONFIG), &no_held_locks]);
    let second = FakeRegistry::on(second, &[&status("two")]);
    let (code, out, err) = emberpinctl(&["--at", &first.address, "doctor"]);
    expect_that!((code, out.as_str()), eq((Some(1), "")));
    expect_that!(
        err,
        starts_with(format!("registry 127.0.0.3:{port} gives no status: "))
    );
    expect_that!(err.lines().count(), eq(2), "{err}");
    expect_that!(err, contains_substring("\n  -> "));
    expect_that!(second.requests(), elements_are![eq("GET /status ")]);
    expect_that!(
        first.requests(),
        elements_are![
            eq("GET /status "),
            eq("GET /config/get "),
            eq("GET /locks ")
        ]
    );
}

/// Runs `doctor` against one registry that answers requests for its locks with these responses. Returns the exit status
/// and all output.
fn diagnose_with(locks_responses: &[&str]) -> (Option<i32>, String) {
    let status = ok(&format!(
        r#"{{"name":"n","settled":true,"voters":["127.0.0.1","127.0.0.1","127.0.0.1"],"registries":[],"limiters":[{{"name":"e","zone":"z","behind":0}}],"instances":[{{"id":"i-1","service":"s","address":"a","zone":"z","status":"up","cold_ms":0,"heard_ms":0}}],"items":1,"disk":null,"clock_ms":{}}}"#,
        now_ms()
    ));
    let config = ok(CONFIG);
    let responses = [&[status.as_str(), &config][..], locks_responses].concat();
    let registry = FakeRegistry::start(&responses);
    let (code, out, err) = emberpinctl(&["--at", &registry.address, "doctor"]);
    (code, out + &err)
}

#[gtest]
fn doctor_finds_nothing_without_held_locks_or_without_support_for_locks() {
    let missing = response("404 Not Found", "", "there is no such call");
    for locks in [&ok(r#"{"locks":[]}"#), &missing] {
        let (code, output) = diagnose_with(&[locks]);
        expect_that!(
            (code, output.as_str()),
            eq((Some(0), "nothing ails, by the word of 1 registries\n"))
        );
    }
}

#[gtest]
fn doctor_finds_a_stuck_lock_and_unconfirmed_locks_numbers_and_cells() {
    let stuck = ok(
        r#"{"locks":[{"name":"l","owner":"a3.7","fence":41,"hold_ms":3000,"known_for_ms":36001}]}"#,
    );
    let (code, output) = diagnose_with(&[&stuck]);
    expect_that!(code, some(eq(1)));
    expect_that!(
        output,
        starts_with(
            "lock l: held by a3.7 with fence 41 for 3000 ms, renewed 36001 ms ago at least\n  -> "
        )
    );
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        let (code, output) = diagnose_with(&[&response(status, "", "no majority")]);
        expect_that!(code, some(eq(1)));
        expect_that!(
            output,
            starts_with("locks, numbers and cells cannot be read: no clear answer; ")
        );
        expect_that!(
            output,
            contains_substring(format!("status {} no majority", &status[..3]))
        );
        expect_that!(output.lines().count(), eq(2), "{output}");
    }
}

#[gtest]
fn an_invalid_command_line_exits_with_2() {
    let (code, out, err) = emberpinctl(&["get"]);
    expect_that!((code, out.as_str()), eq((Some(2), "")));
    expect_that!(err, starts_with("--at is missing\n\nemberpinctl --at"));
    expect_that!(emberpinctl(&["--help"]).0, some(eq(0)));
}
