//! Locks, numbers and cells, served by the processes that the deploy file names: the list of locks for operators, and
//! durability over restarts.
#![allow(missing_docs, reason = "a test has no public interface")]

mod deployed_system;

use deployed_system::{DeployedSystem, ANSWER_TIMEOUT};
use emberpin_demo::node_settings::StartMode;
use googletest::prelude::*;
use hyper::Method;
use jzon::JsonValue;
use std::thread::sleep;
use std::time::{Duration, Instant};

const CORES: usize = 3;
/// Longer than a leader waits until it announces a chosen value.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Calls one core machine after the other until one gives a clear answer; returns its status and JSON body.
fn call(system: &DeployedSystem, method: Method, path: &str, body: &str) -> (u16, JsonValue) {
    let (status, body) = system.call_until_clear(0, method, path, body);
    (status, jzon::parse(&body).unwrap_or(JsonValue::Null))
}

fn post(system: &DeployedSystem, path: &str, body: &str) -> (u16, JsonValue) {
    call(system, Method::POST, path, body)
}

fn get(system: &DeployedSystem, path: &str) -> (u16, JsonValue) {
    call(system, Method::GET, path, "")
}

#[gtest]
fn a_lock_is_listed_with_its_owner_and_fencing_token_until_it_is_released() {
    let system = DeployedSystem::start_with_coordination(61);
    let (status, granted) = post(
        &system,
        "/locks/a%20b/begin",
        r#"{"owner":"o/1","hold":"60s"}"#,
    );
    expect_that!((status, granted["fence"].as_u64()), eq((200, Some(1))));
    let (status, list) = get(&system, "/locks");
    expect_that!(status, eq(200));
    expect_that!(list["locks"].len(), eq(1));
    expect_that!(list["next_after"].is_null(), eq(true));
    let lock = &list["locks"][0];
    expect_that!(lock["name"].as_str(), some(eq("a b")));
    expect_that!(lock["owner"].as_str(), some(eq("o/1")));
    expect_that!(lock["fence"].as_u64(), some(eq(1)));
    expect_that!(lock["hold_ms"].as_u64(), some(eq(60_000)));
    expect_that!(lock["known_for_ms"].as_u64(), some(lt(60_000)));
    expect_that!(get(&system, "/locks?after=a%20b").1["locks"].len(), eq(0));
    expect_that!(
        post(
            &system,
            "/locks/a%20b/finish",
            r#"{"owner":"o/1","fence":1}"#
        )
        .0,
        eq(200)
    );
    expect_that!(get(&system, "/locks").1["locks"].len(), eq(0));
}

#[gtest]
fn acknowledged_numbers_and_cells_survive_a_kill_of_all_machines() {
    let mut system = DeployedSystem::start_with_coordination(62);
    let (_, number) = post(&system, "/numbers/n", "{}");
    let (status, put) = post(&system, "/cells/g.c/put", r#"{"val":"v","when":0}"#);
    expect_that!((status, put["rev"].as_u64()), eq((200, Some(1))));
    for core in 0..CORES {
        system.kill_machine(core);
    }
    for core in 0..CORES {
        system.start_machine(core, StartMode::Restart);
    }
    let (_, cell) = get(&system, "/cells/g.c/get");
    expect_that!(
        (cell["val"].as_str(), cell["rev"].as_u64()),
        eq((Some("v"), Some(1)))
    );
    let (_, later) = post(&system, "/numbers/n", "{}");
    expect_that!(later["val"].as_u64(), gt(number["val"].as_u64()));
}

#[gtest]
fn a_lock_whose_owner_crashed_is_free_after_a_restart_of_all_machines() {
    let mut system = DeployedSystem::start_with_coordination(63);
    let (status, _) = post(&system, "/locks/l/begin", r#"{"owner":"dead","hold":"1s"}"#);
    expect_that!(status, eq(200));
    // Further rounds, so that every store has recorded the lock as chosen on its disk.
    for _ in 0..5 {
        expect_that!(post(&system, "/numbers/n", "{}").0, eq(200));
        sleep(ROUND_INTERVAL);
    }
    for core in 0..CORES {
        system.kill_machine(core);
    }
    for core in 0..CORES {
        system.start_machine(core, StartMode::Restart);
    }
    let started_at = Instant::now();
    // The lease is counted anew from the start of the store that leads.
    while started_at.elapsed() < ANSWER_TIMEOUT {
        let (status, _) = post(
            &system,
            "/locks/l/begin",
            r#"{"owner":"other","hold":"1s"}"#,
        );
        if status == 200 {
            return;
        }
        sleep(RETRY_DELAY);
    }
    panic!("the lock is still held {ANSWER_TIMEOUT:?} after the restart");
}
