//! Random faults of every kind, drawn from seeds: no acknowledged item is lost, a version has one content, and the
//! versions that followers receive only rise. To show that the search is strong enough, further tests turn off one
//! safeguard each and require that the search finds a violation.

mod cluster;

use cluster::calls::{evacuate, remove_service, set_route, set_service, set_services};
use cluster::faults::FaultDuration;
use cluster::seeds::{first_violation, unmutated_runs, MUTANT_RUNS};
use cluster::{ClientCall, Cluster, Start};
use emberpin_consensus::{Call, EvacuationChange, Guards};
use googletest::prelude::*;
use std::net::Ipv4Addr;

/// How long faults are injected, in milliseconds.
const FAULT_SPAN: u64 = 9_000;

/// The kinds of faults in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Faults {
    /// Killed processes, power losses, lost disks, replaced machines and partitions.
    Usual,
    /// The usual faults, and disks that fill up and are freed.
    WithFullDisks,
}

/// Runs one seed; returns the first violation.
fn run(seed: u64, guards: Guards, faults: Faults) -> Option<String> {
    let (count, tolerated) = [(3, 1), (5, 2), (5, 1)][(seed % 3) as usize];
    // In half of the runs, calls at replicas that reach no majority of the voters are not rejected early but wait until
    // their deadlines, so that more of them overlap with later faults.
    let guards = Guards {
        contact_check: guards.contact_check && seed.is_multiple_of(2),
        ..guards
    };
    let mut cluster = Cluster::new(seed, count, tolerated, guards);
    cluster.network_delay = 1..2 + cluster.below(40);
    cluster.late_percent = cluster.below(6);
    cluster.duplicate_percent = cluster.below(4);
    // In most runs disks are fast. Where they are slow, more writes are lost with the power.
    let has_slow_disks = cluster.below(4) == 0;
    cluster.sync_time = if has_slow_disks { 20..120 } else { 2..6 };
    let (mut machine_count, mut call_count, mut calls) = (count, 0, Vec::new());
    let fault_rate = 1 + cluster.below(12);
    cluster.run(300);
    // Some runs take long enough for machines to be evicted from the roster.
    let (duration, span) = if seed.is_multiple_of(5) {
        (FaultDuration::Long, 4 * FAULT_SPAN)
    } else {
        (FaultDuration::Short, FAULT_SPAN)
    };
    let until = cluster.now + span;
    while cluster.now < until && cluster.violation.is_none() {
        // Calls often follow at once, so that their proposers contend.
        let pause = if cluster.below(3) == 0 {
            cluster.below(6)
        } else {
            cluster.below(250)
        };
        cluster.run(pause);
        call_count += 1;
        let running = cluster.running();
        if !running.is_empty() {
            let receiver = cluster.choose(&running);
            let call = random_call(&mut cluster, call_count, &calls);
            calls.push(call.clone());
            cluster.call(receiver, call);
        }
        if cluster.below(12) < fault_rate {
            cluster.inject_random_fault(&mut machine_count, tolerated, duration);
        }
        // Random numbers are drawn for this only in runs with full disks, so that other runs with the same seed do not
        // change.
        if faults == Faults::WithFullDisks && cluster.below(3) == 0 {
            inject_full_disk_fault(&mut cluster, tolerated);
        }
    }
    cluster.heal_and_check();
    let violation = cluster.violation?;
    Some(format!("seed {seed}: {violation}"))
}

/// A random call, either new or a repetition of an earlier one.
fn random_call(cluster: &mut Cluster, number: u64, calls: &[Call]) -> Call {
    let name = cluster.choose(&["a", "b", "c"]);
    let version = 1 + number / 4 + cluster.below(4);
    match cluster.below(10) {
        0..4 => set_services(&[(name, version, number), ("d", version, number)]),
        4 => remove_service(name, version),
        5..7 => {
            let route = cluster.choose(&["x", "y"]);
            set_route(route, name, version, number)
        }
        7 if !calls.is_empty() => cluster.choose(calls),
        8 => {
            let changes = [EvacuationChange::Begin, EvacuationChange::End];
            evacuate(cluster.choose(&changes), cluster.below(4))
        }
        _ => Call::Get,
    }
}

/// Injects a fault with a full disk. In two of eight cases it only fills or frees a disk. In the others some machines
/// are down, and a disk is full for a moment during a call; at the next acknowledgement all machines lose power, and
/// the replica that received the call loses its disk if this loss is tolerated.
fn inject_full_disk_fault(cluster: &mut Cluster, tolerated: usize) {
    let all: Vec<Ipv4Addr> = cluster
        .nodes
        .keys()
        .copied()
        .filter(|ip| !cluster.nodes[ip].decommissioned)
        .collect();
    let filled = cluster.choose(&all);
    match cluster.below(8) {
        0 => return cluster.fill_disk(filled),
        1 => return cluster.free_disk(filled),
        _ => {}
    }
    let receiver = cluster.choose(&all);
    let others = all.iter().copied();
    let down: Vec<Ipv4Addr> = others
        .filter(|ip| *ip != filled && *ip != receiver)
        .take(tolerated)
        .collect();
    cluster.lose_power_of_all(&down);
    let number = cluster.calls.len() as u64;
    if cluster.replica(receiver).is_some() {
        cluster.call(receiver, set_service("e", 1 + number, number));
    }
    let span = cluster.below(40);
    cluster.run(span);
    cluster.fill_disk(filled);
    let span = cluster.below(60);
    cluster.run(span);
    cluster.free_disk(filled);
    let acknowledged_calls = |cluster: &Cluster| {
        let is_acknowledged = |call: &&ClientCall| call.status() == Some(200);
        cluster.calls.iter().filter(is_acknowledged).count()
    };
    let before = acknowledged_calls(cluster);
    cluster.run_while(700, |cluster| acknowledged_calls(cluster) == before);
    for ip in &all {
        cluster.lose_power_and_unsynced_writes(*ip);
    }
    if cluster.lost_machines() < tolerated {
        cluster.lose_disk(receiver);
    }
    for ip in &all {
        cluster.start(*ip, Start::Normal);
    }
}

/// The first violation that is found with a safeguard off.
fn violation_with(name: &str, guards: Guards, faults: Faults) -> Option<String> {
    first_violation(name, MUTANT_RUNS, |seed| run(seed, guards, faults))
}

#[gtest]
fn no_acknowledged_item_is_lost_with_random_faults() {
    let run = |seed| run(seed, Guards::default(), Faults::Usual);
    expect_that!(first_violation("faults", unmutated_runs(), run), none());
}

#[gtest]
fn no_acknowledged_item_is_lost_with_full_disks() {
    let run = |seed| run(seed, Guards::default(), Faults::WithFullDisks);
    expect_that!(first_violation("full disks", unmutated_runs(), run), none());
}

/// Seeds whose faults once led to violations in long searches. 14994: the only disk that had a chosen roster was lost.
/// 9715: of five voters, of which two may be lost, two were decommissioned while a third, which had just proposed
/// itself for the roster, was without its disk. 35820: all seeds in the settings of a new machine were machines
/// that were gone for good.
#[gtest]
fn seeds_of_past_failures_pass() {
    for seed in [14_994, 9_715, 35_820] {
        expect_that!(run(seed, Guards::default(), Faults::Usual), none());
    }
}

#[gtest]
fn random_faults_detect_voting_before_catching_up() {
    let guards = Guards {
        catch_up_before_voting: false,
        ..Guards::default()
    };
    let found = violation_with("voting before catching up", guards, Faults::Usual);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_broken_promises() {
    let guards = Guards {
        keep_promises: false,
        ..Guards::default()
    };
    let found = violation_with("broken promises", guards, Faults::Usual);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_dropped_accepted_proposals() {
    let guards = Guards {
        repropose_accepted: false,
        ..Guards::default()
    };
    let found = violation_with("dropped accepted proposals", guards, Faults::Usual);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_answers_before_the_sync() {
    let guards = Guards {
        sync_before_reply: false,
        ..Guards::default()
    };
    let found = violation_with("answers before the sync", guards, Faults::Usual);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_bootstrap_without_agreement() {
    let guards = Guards {
        bootstrap_agreement: false,
        ..Guards::default()
    };
    let found = violation_with("bootstrap without agreement", guards, Faults::Usual);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_faults_detect_answers_after_a_failed_write() {
    let guards = Guards {
        restore_after_disk_failure: false,
        ..Guards::default()
    };
    let found = violation_with(
        "answers after a failed write",
        guards,
        Faults::WithFullDisks,
    );
    expect_that!(found, some(anything()));
}
