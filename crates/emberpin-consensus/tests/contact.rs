//! Calls at a replica that was just partitioned are answered at once; those that only wait for disks are not rejected.

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, Cluster};
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

/// In milliseconds. A caller at a partitioned machine is to have an answer within 300.
const IMMEDIATELY: u64 = 260;

fn running_cluster(guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(10, 3, 1, guards);
    cluster.run(1_000);
    cluster
}

/// The statuses of a change and a read at a replica whose peers are killed right before, this long after.
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
    let statuses = statuses_in_a_minority(Guards::default(), IMMEDIATELY);
    expect_that!(statuses, each(eq(Some(503))));
}

/// The check of the first call has passed by then, on disks that keep the round waiting.
#[gtest]
fn a_call_whose_replica_is_partitioned_while_it_waits_is_rejected_soon() {
    let mut cluster = running_cluster(Guards::default());
    cluster.sync_time = 700..800;
    let calls = [set_service("a", 1, 1), Call::Get].map(|call| cluster.call(ip(1), call));
    cluster.run(20);
    cluster.kill(ip(2));
    cluster.kill(ip(3));
    cluster.run(2 * IMMEDIATELY);
    let statuses = calls.map(|call| cluster.calls[call].status());
    expect_that!(statuses, each(eq(Some(503))));
}

#[gtest]
fn without_the_contact_check_a_call_in_a_minority_waits() {
    let guards = Guards {
        contact_check: false,
        ..Guards::default()
    };
    expect_that!(statuses_in_a_minority(guards, IMMEDIATELY), each(none()));
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
