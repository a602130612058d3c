//! Retries: an acknowledged call is acknowledged again, whatever faults or changes happened since; and of two contents
//! of one version, at most one is ever acknowledged.

mod cluster;

use cluster::calls::{remove_service, set_service, set_services};
use cluster::{ip, Cluster, Start, SMALL_RETENTION};
use emberpin_config::{History, ItemKey, ItemKind, Version};
use emberpin_consensus::message::Message;
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

fn guards_with_small_retention() -> Guards {
    Guards {
        retention: SMALL_RETENTION,
        ..Guards::default()
    }
}

fn settled_cluster(seed: u64, guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 1, guards);
    cluster.run(100);
    cluster
}

fn status_at(cluster: &mut Cluster, machine: u8, call: &Call) -> u16 {
    cluster.status_of(ip(machine), call)
}

/// Calls that set x at the versions 5 and 6, remove it at 7, and set it again at 8.
fn acknowledged_calls() -> [Call; 4] {
    [
        set_service("x", 5, 1),
        set_service("x", 6, 2),
        remove_service("x", 7),
        set_service("x", 8, 3),
    ]
}

/// Sends four calls, runs `event`, and sends all of them again, followed by calls with other contents of the same
/// versions. Returns the first unexpected status.
fn retry_after(guards: Guards, event: fn(&mut Cluster)) -> Option<String> {
    let mut cluster = settled_cluster(1, guards);
    for (nth, call) in acknowledged_calls().iter().enumerate() {
        let status = status_at(&mut cluster, 1 + nth as u8 % 3, call);
        if status != 200 {
            return Some(format!("call {nth} at first: {status}"));
        }
    }
    event(&mut cluster);
    let machine = *cluster.running().last()?;
    for (nth, call) in acknowledged_calls().iter().enumerate() {
        let again = cluster.status_of(machine, call);
        if again != 200 {
            return Some(format!("call {nth} again: {again}"));
        }
    }
    let other_content = |version| set_services(&[("x", version, 9), ("y", 1, 1)]);
    for call in [
        set_service("x", 5, 9),
        remove_service("x", 6),
        other_content(5),
        other_content(6),
        other_content(7),
        other_content(8),
    ] {
        let other = cluster.status_of(machine, &call);
        if other != 409 {
            return Some(format!("another content, {call:?}: {other}"));
        }
    }
    cluster.heal_and_check();
    cluster.violation
}

fn restart_all(cluster: &mut Cluster) {
    cluster.run(100);
    for machine in 1..=3 {
        cluster.kill(ip(machine));
    }
    for machine in 1..=3 {
        cluster.start(ip(machine), Start::Normal);
    }
    cluster.run(2_000);
}

fn lose_power_and_one_disk(cluster: &mut Cluster) {
    for machine in 1..=3 {
        cluster.lose_power_and_unsynced_writes(ip(machine));
    }
    cluster.lose_disk(ip(3));
    for machine in 1..=3 {
        cluster.start(ip(machine), Start::Normal);
    }
    cluster.run(6_000);
}

fn replace_a_machine(cluster: &mut Cluster) {
    cluster.run(1_000);
    cluster.decommission(ip(2));
    cluster.add_machine(ip(4));
    cluster.start(ip(4), Start::Normal);
    cluster.run(16_000);
    cluster.lose_power(ip(1));
}

#[gtest]
fn retry_of_an_acknowledged_call_is_acknowledged_whatever_happened_since() {
    for event in [
        |_: &mut Cluster| {},
        restart_all,
        lose_power_and_one_disk,
        replace_a_machine,
    ] {
        expect_that!(retry_after(Guards::default(), event), none());
    }
}

#[gtest]
fn retry_without_history_is_a_conflict() {
    let failure = retry_after(
        Guards {
            propose_history: false,
            ..Guards::default()
        },
        |_| {},
    );
    expect_that!(failure, some(eq("call 0 again: 409")));
}

#[gtest]
fn retry_after_a_restart_without_history_is_a_conflict() {
    let failure = retry_after(
        Guards {
            restore_history: false,
            ..Guards::default()
        },
        restart_all,
    );
    expect_that!(failure, some(eq("call 0 again: 409")));
}

/// The status of another content of a version that was superseded when its call was acknowledged.
fn other_content_of_a_superseded_version(guards: Guards) -> u16 {
    let mut cluster = settled_cluster(2, guards);
    status_at(&mut cluster, 1, &set_service("x", 6, 1));
    let first = status_at(&mut cluster, 2, &set_services(&[("x", 5, 1), ("y", 1, 1)]));
    assert_eq!(first, 200);
    status_at(&mut cluster, 3, &set_services(&[("x", 5, 2), ("z", 1, 1)]))
}

#[gtest]
fn superseded_version_of_an_acknowledged_call_is_recorded() {
    expect_that!(
        other_content_of_a_superseded_version(Guards::default()),
        eq(409)
    );
    expect_that!(
        other_content_of_a_superseded_version(Guards {
            propose_superseded: false,
            ..Guards::default()
        }),
        eq(200)
    );
}

/// The statuses of two calls that set x at a version below its tombstone.
#[derive(Debug, PartialEq)]
struct StatusesBelowTombstone {
    retry: u16,
    other_content: u16,
}

/// Removes enough services for the tombstone of x to be removed, and restarts all replicas.
fn retries_below_removed_tombstones(guards: Guards) -> StatusesBelowTombstone {
    let mut cluster = settled_cluster(3, guards);
    for call in [set_service("x", 5, 1), remove_service("x", 6)] {
        status_at(&mut cluster, 1, &call);
    }
    for name in 0..8 {
        status_at(
            &mut cluster,
            2,
            &remove_service(&format!("d{name}"), 100 + name),
        );
    }
    restart_all(&mut cluster);
    let retry = status_at(&mut cluster, 3, &set_service("x", 5, 1));
    let other_content = status_at(
        &mut cluster,
        3,
        &set_services(&[("x", 5, 2), ("y", 1_000, 1)]),
    );
    StatusesBelowTombstone {
        retry,
        other_content,
    }
}

#[gtest]
fn version_below_removed_tombstones_is_answered_503() {
    expect_that!(
        retries_below_removed_tombstones(guards_with_small_retention()),
        eq(&StatusesBelowTombstone {
            retry: 503,
            other_content: 503,
        })
    );
    expect_that!(
        retries_below_removed_tombstones(Guards {
            restore_checkpoint: false,
            ..guards_with_small_retention()
        }),
        eq(&StatusesBelowTombstone {
            retry: 200,
            other_content: 409,
        })
    );
}

#[gtest]
fn versions_beyond_the_history_bound_are_answered_503() {
    let mut cluster = settled_cluster(4, guards_with_small_retention());
    for version in 1..=8 {
        expect_that!(
            status_at(
                &mut cluster,
                1 + (version % 3) as u8,
                &set_service("x", version, version)
            ),
            eq(200)
        );
    }
    for (version, content, expected) in [
        (4, 4, 503),
        (4, 5, 503),
        (5, 5, 200),
        (5, 4, 409),
        (8, 8, 200),
    ] {
        expect_that!(
            status_at(&mut cluster, 1, &set_service("x", version, content)),
            eq(expected),
            "version {version}"
        );
    }
}

#[gtest]
fn one_of_many_contents_of_a_version_is_acknowledged_for_good() {
    for seed in 0..30 {
        let clients = 2 + seed % 7;
        let mut cluster = settled_cluster(seed, Guards::default());
        cluster.network_delay = 1..30;
        let calls: Vec<Call> = (0..clients)
            .map(|content| set_services(&[("x", 5, content), ("y", content, content)]))
            .collect();
        let machine = |nth: usize| 1 + (nth % 3) as u8;
        for (nth, call) in calls.iter().enumerate() {
            cluster.call(ip(machine(nth)), call.clone());
        }
        cluster.run(4_000);
        // Each client sends its call again, as if it had received no reply.
        let again: Vec<u16> = calls
            .iter()
            .enumerate()
            .map(|(nth, call)| status_at(&mut cluster, machine(nth + 1), call))
            .collect();
        expect_that!(again.iter().filter(|status| **status == 200).count(), eq(1));
        expect_that!(
            again.iter().filter(|status| **status == 409).count(),
            eq(calls.len() - 1)
        );
        expect_that!(
            status_at(&mut cluster, 1, &set_service("x", 9, 99)),
            eq(200)
        );
        let later: Vec<u16> = calls
            .iter()
            .enumerate()
            .map(|(nth, call)| status_at(&mut cluster, machine(nth + 2), call))
            .collect();
        expect_that!(later, eq(&again));
        cluster.heal_and_check();
        expect_that!(cluster.violation, none());
    }
}

/// 1 proposes x at version 6, the messages that match `hold_back` are lost, and 1 is killed before it replies.
fn proposer_killed_after_sending(hold_back: fn(&Message) -> bool) -> Cluster {
    let mut cluster = settled_cluster(5, Guards::default());
    status_at(&mut cluster, 2, &set_service("x", 5, 1));
    cluster.hold_back = Some(hold_back);
    cluster.call(ip(1), set_service("x", 6, 2));
    cluster.run(50);
    cluster.kill(ip(1));
    cluster.hold_back = None;
    cluster
}

#[gtest]
fn retry_of_a_call_accepted_by_a_majority_is_acknowledged() {
    let mut cluster =
        proposer_killed_after_sending(|message| matches!(message, Message::Accepted(_)));
    // Another version is set first. Its round completes the proposal, which may already be chosen.
    expect_that!(status_at(&mut cluster, 2, &set_service("x", 7, 3)), eq(200));
    expect_that!(status_at(&mut cluster, 3, &set_service("x", 6, 2)), eq(200));
    expect_that!(
        status_at(&mut cluster, 3, &set_services(&[("x", 6, 9), ("y", 1, 1)])),
        eq(409)
    );
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
}

#[gtest]
fn retry_of_a_call_on_its_killed_proposer_alone_is_a_conflict() {
    let mut cluster =
        proposer_killed_after_sending(|message| matches!(message, Message::Accept(_)));
    expect_that!(status_at(&mut cluster, 2, &set_service("x", 7, 3)), eq(200));
    expect_that!(status_at(&mut cluster, 3, &set_service("x", 6, 2)), eq(409));
    cluster.start(ip(1), Start::Normal);
    cluster.run(2_000);
    expect_that!(status_at(&mut cluster, 1, &set_service("x", 6, 2)), eq(409));
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
}

#[gtest]
fn retry_during_its_own_round_is_applied_once() {
    let mut cluster = settled_cluster(6, Guards::default());
    status_at(&mut cluster, 2, &set_service("x", 5, 1));
    cluster.hold_back = Some(|message| matches!(message, Message::Accepted(_)));
    let call = set_service("x", 6, 2);
    let first = cluster.call(ip(1), call.clone());
    cluster.run(50);
    cluster.hold_back = None;
    expect_that!(status_at(&mut cluster, 2, &call), eq(200));
    cluster.run(4_000);
    let first = cluster.calls[first].status();
    expect_that!(first, some(any![eq(200), eq(503)]));
    let x = ItemKey {
        kind: ItemKind::Service,
        name: "x".into(),
    };
    for machine in 1..=3 {
        let replica = cluster.replica(ip(machine)).expect("a running replica");
        let history = replica.state().get(&History::key(&x)).cloned();
        expect_that!(
            history.as_ref().map(|item| item.version),
            some(eq(Version(1))),
            "one change, at {machine}"
        );
    }
}
