//! Locks, counters and cells under random faults of every kind, drawn from seeds: no two callers hold a lock, numbers
//! and revisions rise, reads are not stale, and nothing acknowledged is lost. To show that the search is strong enough,
//! further tests turn off one safeguard each and require that the search finds a violation.
//!
//! `EMBERPIN_RUNS` sets how many seeds are searched, and `EMBERPIN_FIRST_SEED` the first seed. If `EMBERPIN_TRACE` is
//! set, a violation is reported with a trace of the callers' operations and results.

mod cluster;
mod register_callers;

use cluster::faults::FaultDuration;
use cluster::seeds::first_violation;
use cluster::Cluster;
use emberpin_consensus::{Guards, Rounds};
use googletest::prelude::*;
use register_callers::RegisterCallers;
use std::net::Ipv4Addr;

/// How long faults are injected, in milliseconds.
const FAULT_SPAN: u64 = 7_000;
/// How long a process that shuts down waits for its replica to leave the roster.
const LEAVE_TIMEOUT: u64 = 700;
/// How many seeds are searched by default. Fewer than in other searches, as each run takes longer.
const DEFAULT_RUNS: u64 = 60;
/// How many seeds it may take to detect a missing safeguard.
const MUTANT_RUNS: u64 = 400;

/// Runs one seed; returns the first violation.
fn run(seed: u64, guards: Guards) -> Option<String> {
    let (count, tolerated) = [(3, 1), (5, 2), (5, 1)][(seed % 3) as usize];
    let mut cluster = Cluster::with_rounds(Rounds::Led, seed, count, tolerated, guards);
    cluster.network_delay = 1..2 + cluster.below(20);
    cluster.late_percent = cluster.below(4);
    cluster.duplicate_percent = cluster.below(4);
    let has_slow_disks = cluster.below(4) == 0;
    cluster.sync_time = if has_slow_disks { 10..60 } else { 1..6 };
    let mut callers = RegisterCallers::new(&mut cluster);
    let mut machine_count = count;
    // In some runs faults are rare, so that leaders keep the lead for long.
    let max_fault_interval = cluster.choose(&[250, 700, 1_500]);
    let fault_rate = 1 + cluster.below(12);
    callers.max_pause = cluster.choose(&[8, 60]);
    callers.run(&mut cluster, 600);
    // Some runs take long enough for machines to be evicted from the roster.
    let (duration, span) = if seed % 5 == 4 {
        (FaultDuration::Long, 3 * FAULT_SPAN)
    } else {
        (FaultDuration::Short, FAULT_SPAN)
    };
    let until = cluster.now + span;
    while cluster.now < until && cluster.violation.is_none() {
        let pause = cluster.below(max_fault_interval);
        callers.run(&mut cluster, pause);
        if cluster.below(12) >= fault_rate {
            continue;
        }
        match cluster.below(3) {
            0 => inject_additional_fault(&mut cluster, &mut callers),
            _ => {
                let now = cluster.now;
                callers.note_fault(now, "a fault of Cluster::inject_random_fault");
                cluster.inject_random_fault(&mut machine_count, tolerated, duration);
            }
        }
    }
    if cluster.violation.is_none() {
        for machine in all_machines(&cluster) {
            cluster.wake(machine);
            cluster.node(machine).stalled_until = 0;
        }
        cluster.heal_and_check();
    }
    if cluster.violation.is_none() {
        callers.check_at_end(&mut cluster);
    }
    if std::env::var_os("EMBERPIN_TRACE").is_some() {
        println!("seed {seed}: {}", callers.summary());
    }
    let violation = cluster.violation?;
    Some(format!("seed {seed}: {violation}\n{}", callers.trace()))
}

fn all_machines(cluster: &Cluster) -> Vec<Ipv4Addr> {
    cluster.nodes.keys().copied().collect()
}

/// Injects a random fault that [`Cluster::inject_random_fault`] does not inject: freezes a machine, wakes all frozen
/// ones, stalls a disk for seconds, fills a disk, frees the full disks, shuts down a process, or cuts the power of all
/// machines at the moment of an answer.
fn inject_additional_fault(cluster: &mut Cluster, callers: &mut RegisterCallers) {
    let all = all_machines(cluster);
    let one = cluster.choose(&all);
    let now = cluster.now;
    match cluster.below(12) {
        9 => {
            callers.note_fault(now, &format!("{one} leaves"));
            cluster.begin_leaving(one);
            callers.run(cluster, LEAVE_TIMEOUT);
            cluster.kill(one);
        }
        10.. => lose_power_at_an_answer(cluster, callers),
        0..3 => {
            callers.note_fault(now, &format!("{one} freezes"));
            cluster.freeze(one);
            // Usually until another replica has taken the lead; in one of four cases the machine stays frozen during
            // further faults.
            if cluster.below(4) > 0 {
                let span = cluster.below(1_200);
                callers.run(cluster, span);
                cluster.wake(one);
            }
        }
        3..6 => {
            callers.note_fault(now, "all wake");
            for machine in all {
                cluster.wake(machine);
            }
        }
        6 => {
            callers.note_fault(now, &format!("the disk of {one} stalls"));
            cluster.node(one).stalled_until = now + 200 + cluster.below(3_000);
        }
        7 => cluster.fill_disk(one),
        _ => {
            for machine in all {
                cluster.free_disk(machine);
            }
        }
    }
}

/// All machines lose power and their unsynced writes at the moment of an answer; then they are restarted.
fn lose_power_at_an_answer(cluster: &mut Cluster, callers: &mut RegisterCallers) {
    let before = callers.done_count();
    let until = cluster.now + 300;
    while callers.done_count() == before && cluster.now < until && cluster.violation.is_none() {
        callers.run(cluster, 1);
    }
    callers.note_fault(cluster.now, "all lose their power");
    let all = all_machines(cluster);
    for machine in &all {
        cluster.lose_power_and_unsynced_writes(*machine);
    }
    cluster.start_all(&all);
}

fn environment_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The first violation that is found with a safeguard off.
fn violation_with(name: &str, guards: Guards) -> Option<String> {
    first_violation(name, MUTANT_RUNS, |seed| run(seed, guards))
}

#[gtest]
fn locks_counters_and_cells_keep_their_invariants_with_random_faults() {
    let runs = environment_number("EMBERPIN_RUNS").unwrap_or(DEFAULT_RUNS);
    let first = environment_number("EMBERPIN_FIRST_SEED").unwrap_or_default();
    let run = |seed| run(first + seed, Guards::default());
    expect_that!(first_violation("registers", runs, run), none());
}

#[gtest]
fn random_registers_detect_broken_promises() {
    let guards = Guards {
        keep_promises: false,
        ..Guards::default()
    };
    expect_that!(violation_with("broken promises", guards), some(anything()));
}

#[gtest]
fn random_registers_detect_answers_before_the_sync() {
    let guards = Guards {
        sync_before_reply: false,
        ..Guards::default()
    };
    let found = violation_with("answers before the sync", guards);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_registers_detect_proposals_without_the_items_of_the_last_round() {
    let guards = Guards {
        send_last_items: false,
        ..Guards::default()
    };
    let found = violation_with("proposals without the last items", guards);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_registers_detect_locks_that_expire_when_a_replica_starts() {
    let guards = Guards {
        count_leases_from_start: false,
        ..Guards::default()
    };
    let found = violation_with("locks that expire when a replica starts", guards);
    expect_that!(found, some(anything()));
}

#[gtest]
fn random_registers_detect_locks_that_expire_despite_renewals() {
    let guards = Guards {
        renewals_restart_leases: false,
        ..Guards::default()
    };
    let found = violation_with("locks that expire despite renewals", guards);
    expect_that!(found, some(anything()));
}
