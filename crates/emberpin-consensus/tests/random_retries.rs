//! Retries with random faults of every kind: when an acknowledged call is sent again, it is acknowledged again or left
//! undecided (503), but never rejected as a conflict (409).

mod cluster;

use cluster::calls::{remove_service, set_service, set_services};
use cluster::faults::FaultDuration;
use cluster::seeds::{first_violation, unmutated_runs, MUTANT_RUNS};
use cluster::{Cluster, SMALL_RETENTION};
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

/// How long faults are injected, in milliseconds.
const FAULT_SPAN: u64 = 5_000;

/// Runs one seed with every kind of fault; returns the first violation.
fn run(seed: u64, guards: Guards) -> Option<String> {
    let (count, tolerated) = [(3, 1), (5, 2), (5, 1)][(seed % 3) as usize];
    let guards = if seed.is_multiple_of(2) {
        guards
    } else {
        Guards {
            retention: SMALL_RETENTION,
            ..guards
        }
    };
    let mut cluster = Cluster::new(seed, count, tolerated, guards);
    cluster.network_delay = 1..2 + cluster.below(40);
    cluster.late_percent = cluster.below(6);
    cluster.duplicate_percent = cluster.below(4);
    let (mut machine_count, mut call_count, mut calls) = (count, 0, Vec::new());
    let clients = 2 + cluster.below(7);
    let fault_rate = 1 + cluster.below(6);
    cluster.run(300);
    let until = cluster.now + FAULT_SPAN;
    while cluster.now < until && cluster.violation.is_none() {
        let pause = if call_count % clients == 0 {
            cluster.below(300)
        } else {
            cluster.below(6)
        };
        cluster.run(pause);
        call_count += 1;
        let call = random_call(&mut cluster, call_count, &mut calls);
        send_and_maybe_kill(&mut cluster, call);
        if cluster.below(20) < fault_rate {
            cluster.inject_random_fault(&mut machine_count, tolerated, FaultDuration::Short);
        }
    }
    cluster.heal_and_check();
    // Sends each call once more, whatever its reply was.
    for call in calls {
        if cluster.violation.is_none() {
            let running = cluster.running();
            let receiver = cluster.choose(&running);
            cluster.call_until_done(receiver, call);
        }
    }
    let violation = cluster.violation?;
    Some(format!("seed {seed}: {violation}"))
}

/// Sends a call to a random replica, which is killed soon after in one of twelve cases.
fn send_and_maybe_kill(cluster: &mut Cluster, call: Call) {
    let running = cluster.running();
    if running.is_empty() {
        return;
    }
    let receiver = cluster.choose(&running);
    cluster.call(receiver, call);
    if cluster.below(12) == 0 {
        let pause = cluster.below(20);
        cluster.run(pause);
        cluster.kill(receiver);
    }
}

/// A random call, either new or a repetition of an earlier one. Each new call has a content of its own.
fn random_call(cluster: &mut Cluster, number: u64, calls: &mut Vec<Call>) -> Call {
    let name = cluster.choose(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    let version = 1 + number / 6 + cluster.below(6);
    let call = match cluster.below(10) {
        0..4 if !calls.is_empty() => return cluster.choose(calls),
        4..6 => remove_service(name, version),
        6..8 => set_service(name, version, number),
        _ => set_services(&[(name, version, number), ("z", version + 3, number)]),
    };
    calls.push(call.clone());
    call
}

fn first_violation_with(name: &str, guards: Guards) -> Option<String> {
    first_violation(name, MUTANT_RUNS, |seed| run(seed, guards))
}

#[gtest]
fn acknowledged_call_is_never_a_conflict_with_random_faults() {
    let run = |seed| run(seed, Guards::default());
    expect_that!(first_violation("retries", unmutated_runs(), run), none());
}

#[gtest]
fn random_faults_detect_missing_history() {
    let guards = Guards {
        propose_history: false,
        ..Guards::default()
    };
    let found = first_violation_with("retries without history", guards);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_unrecorded_superseded_versions() {
    let guards = Guards {
        propose_superseded: false,
        ..Guards::default()
    };
    let found = first_violation_with("retries without superseded versions", guards);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_history_lost_at_a_restart() {
    let guards = Guards {
        restore_history: false,
        ..Guards::default()
    };
    let found = first_violation_with("retries with lost history", guards);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_a_checkpoint_lost_at_a_restart() {
    let guards = Guards {
        restore_checkpoint: false,
        ..Guards::default()
    };
    let found = first_violation_with("retries with a lost checkpoint", guards);
    expect_that!(found, some(anything()));
}
