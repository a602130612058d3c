//! Former voters: machines that were replaced return with their old disks, alone or as a majority of the first roster.
//! They must not decide anything.

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, Cluster, Start};
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

const FORMER_VOTERS: [u8; 3] = [1, 2, 3];
const VOTERS: [u8; 3] = [4, 5, 6];
/// How long a replacement runs beside the machine that it replaces, in milliseconds.
const REPLACEMENT_OVERLAP: u64 = 4_000;

/// Replaces the first voters one after the other. Then a call is acknowledged, and the former voters are partitioned
/// from the new ones.
fn cluster_with_all_voters_replaced(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 1, Guards::default());
    cluster.run(1_000);
    cluster.call_until_done(ip(1), set_service("a", 1, 1));
    for (former, new) in FORMER_VOTERS.into_iter().zip(VOTERS) {
        cluster.add_machine(ip(new));
        cluster.start(ip(new), Start::Normal);
        cluster.run(REPLACEMENT_OVERLAP);
        cluster.shut_down(ip(former));
    }
    assert_that!(cluster.newest_roster(), eq(&VOTERS.map(ip).to_vec()));
    cluster.call_until_done(ip(4), set_service("a", 2, 2));
    for former in FORMER_VOTERS {
        for voter in VOTERS {
            cluster.partition(ip(former), ip(voter));
        }
    }
    cluster
}

/// Starts these former voters, and returns the statuses of a read and a change at each; 0 for no reply.
fn statuses_at(cluster: &mut Cluster, machines: &[u8]) -> Vec<u16> {
    for machine in machines {
        cluster.start(ip(*machine), Start::Normal);
    }
    cluster.run(2_000);
    let mut statuses = Vec::new();
    for machine in machines {
        let calls = [Call::Get, set_service("a", 2, 9)];
        let ids = calls.map(|call| cluster.call(ip(*machine), call));
        cluster.run(4_000);
        statuses.extend(ids.map(|id| cluster.calls[id].status().unwrap_or(0)));
    }
    statuses
}

#[gtest]
fn former_voters_that_return_decide_nothing() {
    for seed in 0..10 {
        for machines in [&[1][..], &[3][..], &[2, 3][..], &FORMER_VOTERS[..]] {
            let mut cluster = cluster_with_all_voters_replaced(seed);
            expect_that!(
                statuses_at(&mut cluster, machines),
                each(eq(&503)),
                "seed {seed}, machines {machines:?}"
            );
            cluster.heal_and_check();
            expect_that!(cluster.violation, none());
        }
    }
}

#[gtest]
fn former_voters_that_return_while_the_voters_are_down_decide_nothing() {
    for seed in 0..10 {
        let mut cluster = cluster_with_all_voters_replaced(seed);
        for machine in VOTERS {
            cluster.lose_power_and_unsynced_writes(ip(machine));
        }
        expect_that!(
            statuses_at(&mut cluster, &FORMER_VOTERS),
            each(eq(&503)),
            "seed {seed}"
        );
        cluster.heal_and_check();
        expect_that!(cluster.violation, none());
    }
}
