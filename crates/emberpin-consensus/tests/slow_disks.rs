//! Slow and stalling disks: timeouts adapt, so that rounds succeed at any sync time up to [`LONGEST_SYNC`].

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, Cluster, Start, SyncStalls};
use emberpin_consensus::message::Message;
use emberpin_consensus::{Call, Guards, Replica};
use googletest::prelude::*;

/// The longest sync at which rounds are sure to succeed, in milliseconds.
const LONGEST_SYNC: u64 = 3_000;
/// The longest sync at which calls are acknowledged, in milliseconds: a majority has to promise within a call's timeout
/// of 3 s.
const LONGEST_SYNC_OF_CALLS: u64 = 2_000;
/// A run that does not succeed within this time counts as making no progress; in milliseconds.
const PROGRESS_TIMEOUT: u64 = 300_000;
/// How long a call, or the completion of a proposal, may take after a partition or a stall; in milliseconds.
const MAX_TIME_AFTER_FAULT: u64 = 3_000;
/// How many seeds each test runs.
const SEEDS: u64 = 20;

/// The simulated time that a run took, in milliseconds, or the reason why it failed.
type TimeTaken = std::result::Result<u64, String>;

fn cluster_with_slow_disks(
    seed: u64,
    count: u8,
    tolerated: usize,
    sync: u64,
    guards: Guards,
) -> Cluster {
    let mut cluster = Cluster::new(seed, count, tolerated, guards);
    cluster.host_blocks_on_sync = true;
    cluster.run(1_000);
    cluster.sync_time = sync / 2..sync;
    cluster
}

/// Sends calls to replicas, and retries them after each 503, until all are acknowledged.
fn time_until_acknowledged(cluster: &mut Cluster, calls: &[(u8, Call)], timeout: u64) -> TimeTaken {
    let began_at = cluster.now;
    let mut ids: Vec<usize> = calls
        .iter()
        .map(|(machine, call)| cluster.call(ip(*machine), call.clone()))
        .collect();
    while cluster.now < began_at + timeout && cluster.violation.is_none() {
        cluster.run(50);
        let mut all_acknowledged = true;
        for ((machine, call), id) in calls.iter().zip(&mut ids) {
            match cluster.calls[*id].status() {
                Some(200) => {}
                Some(503) => {
                    all_acknowledged = false;
                    *id = cluster.call(ip(*machine), call.clone());
                }
                Some(status) => return Err(format!("status {status}")),
                None => all_acknowledged = false,
            }
        }
        if all_acknowledged {
            return Ok(cluster.now - began_at);
        }
    }
    Err(cluster
        .violation
        .clone()
        .unwrap_or_else(|| "no progress".into()))
}

/// A call to each replica, with a service of its own.
fn one_call_each(count: u8, version: u64) -> Vec<(u8, Call)> {
    let machines = (1..=count).zip(["a", "b", "c", "d", "e"]);
    machines
        .map(|(machine, name)| (machine, set_service(name, version, 1)))
        .collect()
}

/// Calls to all replicas at once.
fn calls_at_all_replicas(seed: u64, count: u8, sync: u64, guards: Guards) -> TimeTaken {
    let mut cluster = cluster_with_slow_disks(seed, count, usize::from(count / 2), sync, guards);
    let took = time_until_acknowledged(&mut cluster, &one_call_each(count, 1), PROGRESS_TIMEOUT)?;
    cluster.sync_time = 2..6;
    cluster.heal_and_check();
    cluster.violation.map_or(Ok(took), Err)
}

/// 3 lacks an acknowledged item, 2 knows everything, and 1 has lost its disk. All three are called at once.
fn calls_after_a_lost_disk(seed: u64, sync: u64, guards: Guards) -> TimeTaken {
    let mut cluster = Cluster::new(seed, 3, 1, guards);
    cluster.host_blocks_on_sync = true;
    cluster.run(1_000);
    cluster.call_until_done(ip(1), set_service("a", 1, 1));
    cluster.kill(ip(3));
    cluster.call_until_done(ip(1), set_service("b", 1, 1));
    cluster.lose_disk(ip(1));
    cluster.kill(ip(2));
    cluster.sync_time = sync / 2..sync;
    for machine in 1..=3 {
        cluster.start(ip(machine), Start::Normal);
    }
    let calls = [(1, Call::Get), (3, Call::Get), (2, set_service("c", 1, 1))];
    let took = time_until_acknowledged(&mut cluster, &calls, PROGRESS_TIMEOUT)?;
    cluster.sync_time = 2..6;
    cluster.heal_and_check();
    cluster.violation.map_or(Ok(took), Err)
}

/// The time of the longest run.
fn longest_run(seeds: u64, mut run: impl FnMut(u64) -> TimeTaken) -> TimeTaken {
    let mut longest = 0;
    for seed in 0..seeds {
        longest = longest.max(run(seed).map_err(|error| format!("seed {seed}: {error}"))?);
    }
    Ok(longest)
}

/// Calls to five replicas whose disks stall now and then.
fn calls_while_disks_stall(seed: u64, guards: Guards) -> TimeTaken {
    let mut cluster = Cluster::new(seed, 5, 2, guards);
    cluster.host_blocks_on_sync = true;
    cluster.run(1_000);
    cluster.sync_stalls = SyncStalls {
        percent: 20,
        duration: LONGEST_SYNC,
    };
    let mut longest = 0;
    for version in 1..=5 {
        let calls = one_call_each(5, version);
        longest = longest.max(time_until_acknowledged(
            &mut cluster,
            &calls,
            PROGRESS_TIMEOUT,
        )?);
    }
    cluster.sync_stalls = SyncStalls::default();
    cluster.heal_and_check();
    cluster.violation.map_or(Ok(longest), Err)
}

/// Without any call, a replica that lost its disk catches up, and a proposal that the two other replicas have accepted
/// is completed.
fn repair_at_longest_sync(seed: u64, guards: Guards) -> TimeTaken {
    let mut cluster = Cluster::new(seed, 3, 1, guards);
    cluster.host_blocks_on_sync = true;
    cluster.run(1_000);
    cluster.hold_back = Some(|message| matches!(message, Message::Accepted(_)));
    cluster.call(ip(1), set_service("a", 1, 1));
    cluster.run(100);
    cluster.lose_disk(ip(1));
    cluster.hold_back = None;
    cluster.sync_time = LONGEST_SYNC / 2..LONGEST_SYNC;
    cluster.start(ip(1), Start::Normal);
    let began_at = cluster.now;
    let is_repaired = |cluster: &Cluster| {
        (1..=3).all(|machine| {
            let is_voter = cluster.replica(ip(machine)).is_some_and(Replica::is_voter);
            is_voter && cluster.service_version(machine, "a").is_some()
        })
    };
    cluster.run_while(PROGRESS_TIMEOUT, |cluster| !is_repaired(cluster));
    if !is_repaired(&cluster) {
        return Err(cluster.violation.unwrap_or_else(|| "no progress".into()));
    }
    Ok(cluster.now - began_at)
}

#[gtest]
fn calls_at_all_replicas_are_acknowledged_with_slow_disks() {
    for sync in [6, 180, 500, 1_000, LONGEST_SYNC_OF_CALLS] {
        for count in [3, 5] {
            let took = longest_run(SEEDS, |seed| {
                calls_at_all_replicas(seed, count, sync, Guards::default())
            });
            println!("{count} replicas, syncs up to {sync} ms: all acknowledged after {took:?} ms");
            expect_that!(took, ok(anything()));
        }
    }
}

#[gtest]
fn replica_catches_up_and_calls_are_acknowledged_with_slow_disks() {
    for sync in [6, 180, 500, 1_000, LONGEST_SYNC_OF_CALLS] {
        let took = longest_run(SEEDS, |seed| {
            calls_after_a_lost_disk(seed, sync, Guards::default())
        });
        println!("a lost disk, syncs up to {sync} ms: all acknowledged after {took:?} ms");
        expect_that!(took, ok(anything()));
    }
}

#[gtest]
fn accepted_proposal_is_completed_at_the_longest_sync() {
    let took = longest_run(SEEDS, |seed| {
        repair_at_longest_sync(seed, Guards::default())
    });
    println!("repaired after {took:?} ms");
    expect_that!(took, ok(anything()));
}

#[gtest]
fn calls_are_acknowledged_with_stalling_disks() {
    let took = longest_run(SEEDS, |seed| {
        calls_while_disks_stall(seed, Guards::default())
    });
    println!("stalls: all acknowledged after {took:?} ms");
    expect_that!(took, ok(anything()));
}

#[gtest]
fn fixed_timeouts_make_no_progress_with_slow_disks() {
    let guards = Guards {
        adaptive_timeouts: false,
        ..Guards::default()
    };
    let took = longest_run(SEEDS, |seed| calls_at_all_replicas(seed, 5, 1_000, guards));
    expect_that!(took, err(contains_substring("no progress")));
    let took = longest_run(SEEDS, |seed| repair_at_longest_sync(seed, guards));
    expect_that!(took, err(contains_substring("no progress")));
}

#[gtest]
fn timeouts_recover_after_a_partition() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 3, 1, Guards::default());
        cluster.host_blocks_on_sync = true;
        cluster.run(1_000);
        for (one, other) in [(1, 2), (1, 3), (2, 3)] {
            cluster.partition(ip(one), ip(other));
        }
        for _ in 0..20 {
            for machine in 1..=3 {
                _ = cluster.call(ip(machine), set_service("a", 1, 1));
            }
            cluster.run(1_000);
        }
        cluster.partitions.clear();
        let took = time_until_acknowledged(&mut cluster, &one_call_each(3, 2), PROGRESS_TIMEOUT);
        expect_that!(
            took.as_ref().copied(),
            ok(le(MAX_TIME_AFTER_FAULT)),
            "seed {seed}"
        );
        expect_that!(
            time_until_completed_without_the_proposer(&mut cluster),
            le(MAX_TIME_AFTER_FAULT),
            "seed {seed}"
        );
    }
}

#[gtest]
fn timeouts_recover_after_a_stall() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 3, 1, Guards::default());
        cluster.host_blocks_on_sync = true;
        cluster.run(1_000);
        cluster.sync_stalls = SyncStalls {
            percent: 100,
            duration: 10_000,
        };
        cluster.call(ip(1), set_service("a", 1, 1));
        cluster.run(1_000);
        cluster.sync_stalls = SyncStalls::default();
        cluster.run(60_000);
        expect_that!(
            time_until_completed_without_the_proposer(&mut cluster),
            le(MAX_TIME_AFTER_FAULT),
            "seed {seed}"
        );
    }
}

/// Kills a proposer before it learns that its proposal is accepted. Returns how long another replica takes to complete
/// the proposal, in milliseconds.
fn time_until_completed_without_the_proposer(cluster: &mut Cluster) -> u64 {
    cluster.hold_back = Some(|message| matches!(message, Message::Accepted(_)));
    cluster.call(ip(1), set_service("r", 1, 1));
    cluster.run(100);
    cluster.kill(ip(1));
    cluster.hold_back = None;
    let is_known = |cluster: &Cluster| cluster.service_version(2, "r").is_some();
    let began_at = cluster.now;
    cluster.run_while(PROGRESS_TIMEOUT, |cluster| !is_known(cluster));
    cluster.now - began_at
}
