//! Contact checks: calls at a replica that was just partitioned are rejected early; calls that only wait for disks are
//! not.

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, Cluster};
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

/// Time limit of an early rejection, in milliseconds. A caller at a partitioned machine has to get an answer within 300
/// ms.
const MAX_REJECTION_TIME: u64 = 260;

fn running_cluster(guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(10, 3, 1, guards);
    cluster.run(1_000);
    cluster
}

/// A change and a read at a replica whose peers were killed right before. Returns their statuses after `after`
/// milliseconds.
fn statuses_in_a_minority(guards: Guards, after: u64) -> [Option<u16>; 2] {
    let mut cluster = running_cluster(guards);
    cluster.kill(ip(2));
    cluster.kill(ip(3));
    let calls = [set_service("a", 1, 1), Call::Get].map(|call| cluster.call(ip(1), call));
    cluster.run(after);
    calls.map(|call| cluster.calls[call].status())
}

#[gtest]
fn a_call_in_a_minority_is_rejected_at_once() {
    let statuses = statuses_in_a_minority(Guards::default(), MAX_REJECTION_TIME);
    expect_that!(statuses, each(eq(Some(503))));
}

/// The first contact check has passed when the peers are killed, and slow disks still keep the round waiting, so a
/// further check has to fail.
#[gtest]
fn a_call_whose_replica_is_partitioned_while_it_waits_is_rejected_soon() {
    let mut cluster = running_cluster(Guards::default());
    cluster.sync_time = 700..800;
    let calls = [set_service("a", 1, 1), Call::Get].map(|call| cluster.call(ip(1), call));
    cluster.run(20);
    cluster.kill(ip(2));
    cluster.kill(ip(3));
    cluster.run(2 * MAX_REJECTION_TIME);
    let statuses = calls.map(|call| cluster.calls[call].status());
    expect_that!(statuses, each(eq(Some(503))));
}

#[gtest]
fn without_the_contact_check_a_call_in_a_minority_waits() {
    let guards = Guards {
        contact_check: false,
        ..Guards::default()
    };
    expect_that!(
        statuses_in_a_minority(guards, MAX_REJECTION_TIME),
        each(none())
    );
}

#[gtest]
fn a_call_that_waits_for_slow_disks_is_not_rejected_for_it() {
    let mut cluster = running_cluster(Guards::default());
    cluster.sync_time = 500..600;
    let call = cluster.call(ip(1), set_service("a", 1, 1));
    cluster.run(1_000);
    expect_that!(cluster.calls[call].status(), none());
    cluster.run(2_000);
    expect_that!(cluster.calls[call].status(), some(eq(200)));
}

/// If each call restarted the comparisons, none would be answered in time for the contact checks.
#[gtest]
fn many_calls_at_once_do_not_keep_a_replica_from_being_confirmed() {
    let mut cluster = running_cluster(Guards::default());
    let mut calls = Vec::new();
    for nth in 0..400 {
        calls.push(cluster.call(ip(1), set_service("a", nth + 1, nth)));
        cluster.run(5);
    }
    cluster.run(500);
    let acknowledged = |call: &&usize| cluster.calls[**call].status() == Some(200);
    expect_that!(calls.iter().filter(acknowledged).count(), eq(400));
}
