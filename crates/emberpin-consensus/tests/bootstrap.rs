//! The bootstrap of the system: with any order of starts, after interruptions, and when a seed that lost its disk asks
//! for it again.

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, Cluster, Start};
use emberpin_consensus::{Call, Guards, Replica};
use googletest::prelude::*;

/// Time limit of the bootstrap once all seeds run, in milliseconds: some round trips and two syncs.
const MAX_BOOTSTRAP_TIME: u64 = 150;

fn all_vote(cluster: &Cluster, machine_count: u8) -> bool {
    let is_voter = |machine| cluster.replica(ip(machine)).is_some_and(Replica::is_voter);
    (1..=machine_count).all(is_voter)
}

/// Creates a cluster of seeds of which none has been started.
fn cluster_of_stopped_seeds(seed: u64, count: u8) -> Cluster {
    cluster_of_stopped_seeds_with(seed, count, Guards::default())
}

fn cluster_of_stopped_seeds_with(seed: u64, count: u8, guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(seed, count, 1, guards);
    // Discards the bootstrap that a new cluster begins with.
    for machine in 1..=count {
        cluster.lose_disk(ip(machine));
    }
    for machine in 1..=count {
        cluster.add_machine(ip(machine));
    }
    cluster.run(100);
    cluster
}

#[gtest]
fn bootstrap_succeeds_in_any_order_of_starts() {
    for seed in 0..30 {
        for count in [1, 3, 5] {
            let mut cluster = cluster_of_stopped_seeds(seed, count);
            for nth in 0..count {
                cluster.start(ip(1 + (nth + seed as u8) % count), Start::Bootstrap);
                let pause = cluster.below(300 / u64::from(count));
                cluster.run(pause);
            }
            let began = cluster.now;
            cluster.run_while(2_000, |cluster| !all_vote(cluster, count));
            expect_that!(
                cluster.now - began,
                le(MAX_BOOTSTRAP_TIME),
                "seed {seed}, {count} machines"
            );
            cluster.heal_and_check();
            expect_that!(cluster.violation, none());
        }
    }
}

/// How a bootstrap is interrupted.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    Kill,
    PowerLoss,
}

/// Stops all processes `after` milliseconds after their start, and restarts them without `bootstrap`.
fn interrupted_bootstrap(seed: u64, after: u64, interruption: Interruption) -> Cluster {
    let mut cluster = cluster_of_stopped_seeds(seed, 3);
    for machine in 1..=3 {
        cluster.start(ip(machine), Start::Bootstrap);
    }
    cluster.run(after);
    for machine in 1..=3 {
        match interruption {
            Interruption::Kill => cluster.kill(ip(machine)),
            Interruption::PowerLoss => cluster.lose_power_and_unsynced_writes(ip(machine)),
        }
    }
    for machine in 1..=3 {
        cluster.start(ip(machine), Start::Normal);
    }
    cluster.run_while(2_000, |cluster| !all_vote(cluster, 3));
    cluster
}

#[gtest]
fn interrupted_bootstrap_continues_after_a_restart() {
    for seed in 0..4 {
        // Interruptions begin after the first sync, which takes up to 6 ms: before it, nothing is sent and nothing is
        // on a disk.
        for after in 6..60 {
            for interruption in [Interruption::Kill, Interruption::PowerLoss] {
                let mut cluster = interrupted_bootstrap(seed, after, interruption);
                expect_that!(
                    all_vote(&cluster, 3),
                    eq(true),
                    "seed {seed}, {interruption:?} after {after} ms"
                );
                expect_that!(cluster.status_of(ip(2), &set_service("a", 1, 1)), eq(200));
                cluster.heal_and_check();
                expect_that!(cluster.violation, none());
            }
        }
    }
}

/// The nonces of the seeds in `synced` are synced when these seeds lose power. Then all three seeds are started without
/// `bootstrap`, as at any later start, with random pauses in between.
fn bootstrap_interrupted_after_syncs_of(synced: &[u8], seed: u64, guards: Guards) -> Cluster {
    let mut cluster = cluster_of_stopped_seeds_with(seed, 3, guards);
    for machine in synced {
        cluster.start(ip(*machine), Start::Bootstrap);
    }
    cluster.run(10);
    for machine in synced {
        cluster.lose_power_and_unsynced_writes(ip(*machine));
    }
    for nth in 0..3 {
        cluster.start(ip(1 + (nth + seed as u8) % 3), Start::Normal);
        let pause = cluster.below(1_500);
        cluster.run(pause);
    }
    cluster.run_while(3_000, |cluster| !all_vote(cluster, 3));
    cluster
}

#[gtest]
fn bootstrap_interrupted_before_most_seeds_synced_continues() {
    for seed in 0..30 {
        for synced in [&[1][..], &[2], &[3], &[1, 2], &[2, 3]] {
            let mut cluster = bootstrap_interrupted_after_syncs_of(synced, seed, Guards::default());
            expect_that!(
                all_vote(&cluster, 3),
                eq(true),
                "seed {seed}, synced {synced:?}"
            );
            expect_that!(cluster.status_of(ip(2), &set_service("a", 1, 1)), eq(200));
            cluster.heal_and_check();
            expect_that!(cluster.violation, none());
        }
    }
}

#[gtest]
fn seeds_that_are_all_without_a_disk_bootstrap_nothing() {
    for seed in 0..10 {
        let cluster = bootstrap_interrupted_after_syncs_of(&[], seed, Guards::default());
        expect_that!(cluster.newest_roster(), is_empty(), "seed {seed}");
    }
}

#[gtest]
fn seed_that_lost_its_disk_becomes_no_candidate_while_another_seed_knows_the_roster() {
    let mut runs_with_a_roster = 0;
    for seed in 0..60 {
        // 3 is a candidate that knows no roster, 1 loses its disk, and 2 is down.
        let mut cluster = cluster_of_stopped_seeds(seed, 3);
        for machine in 1..=3 {
            cluster.start(ip(machine), Start::Bootstrap);
        }
        cluster.run(7);
        cluster.kill(ip(3));
        cluster.run_while(2_000, |cluster| !all_vote(cluster, 2));
        if !all_vote(&cluster, 2) {
            // 3 was killed before it answered the initiator.
            continue;
        }
        runs_with_a_roster += 1;
        cluster.call_until_done(ip(1), set_service("a", 1, 1));
        cluster.kill(ip(2));
        cluster.lose_disk(ip(1));
        cluster.start(ip(1), Start::Normal);
        cluster.start(ip(3), Start::Normal);
        cluster.run(5_000);
        expect_that!(cluster.status_of(ip(3), &set_service("b", 1, 1)), eq(503));
        cluster.start(ip(2), Start::Normal);
        cluster.heal_and_check();
        expect_that!(cluster.violation, none());
        expect_that!(all_vote(&cluster, 3), eq(true));
    }
    expect_that!(runs_with_a_roster, ge(10));
}

#[gtest]
fn seed_that_lost_power_before_its_first_sync_joins_by_catching_up() {
    for seed in 0..30 {
        let lost = ip(2 + (seed % 2) as u8);
        let mut cluster = cluster_of_stopped_seeds(seed, 3);
        for machine in 1..=3 {
            cluster.start(ip(machine), Start::Bootstrap);
        }
        cluster.lose_power_and_unsynced_writes(lost);
        cluster.run(50);
        cluster.start(lost, Start::Normal);
        cluster.run_while(3_000, |cluster| !all_vote(cluster, 3));
        expect_that!(all_vote(&cluster, 3), eq(true), "seed {seed}");
        expect_that!(cluster.status_of(ip(1), &set_service("a", 1, 1)), eq(200));
        cluster.heal_and_check();
        expect_that!(cluster.violation, none());
    }
}

/// 1 and 2 know an item that 3 lacks. 1 loses its disk and is started with `bootstrap` while 2 is down. Then 3 reads;
/// returns the status of the read.
fn seed_bootstraps_again_after_it_lost_its_disk(guards: Guards) -> (u16, Cluster) {
    let mut cluster = Cluster::new(2, 3, 1, guards);
    cluster.run(1_000);
    cluster.kill(ip(3));
    cluster.call_until_done(ip(1), set_service("a", 1, 1));
    cluster.lose_power(ip(2));
    cluster.lose_disk(ip(1));
    cluster.start(ip(1), Start::Bootstrap);
    cluster.start(ip(3), Start::Normal);
    let read = cluster.call(ip(3), Call::Get);
    cluster.run(4_000);
    let status = cluster.calls[read].status().unwrap_or(0);
    if status == 200 {
        cluster.check_acknowledged_items(ip(3));
    }
    (status, cluster)
}

#[gtest]
fn seed_that_lost_its_disk_asks_the_others_and_does_not_vote() {
    let (status, mut cluster) = seed_bootstraps_again_after_it_lost_its_disk(Guards::default());
    expect_that!(status, eq(503));
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
    expect_that!(all_vote(&cluster, 3), eq(true));
}

#[gtest]
fn bootstrap_without_agreement_loses_an_acknowledged_item() {
    let (status, cluster) = seed_bootstraps_again_after_it_lost_its_disk(Guards {
        bootstrap_agreement: false,
        ..Guards::default()
    });
    expect_that!(status, eq(200));
    expect_that!(cluster.violation, some(contains_substring("lost")));
}

#[gtest]
fn bootstrap_needs_a_majority_of_candidates() {
    for seed in 0..10 {
        let mut cluster = cluster_of_stopped_seeds(seed, 3);
        // One seed has lost its disk; the other two are new machines that know no roster yet. Their settings do not
        // name the first seed.
        cluster.add_machine(ip(4));
        cluster.node(ip(1)).delisted = true;
        for machine in [2, 3] {
            cluster.start(ip(machine), Start::Normal);
        }
        cluster.start(ip(1), Start::Bootstrap);
        cluster.run(5_000);
        expect_that!(cluster.newest_roster(), is_empty(), "seed {seed}");
        // Once the other two are started with `bootstrap` themselves, the bootstrap succeeds.
        for machine in [2, 3] {
            cluster.kill(ip(machine));
        }
        for machine in [2, 3] {
            cluster.start(ip(machine), Start::Bootstrap);
        }
        cluster.run_while(2_000, |cluster| !all_vote(cluster, 3));
        expect_that!(all_vote(&cluster, 3), eq(true));
    }
}
