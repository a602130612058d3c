//! Full and stalled disks: a replica answers nothing that depends on a write before the write is synced.

mod cluster;

use cluster::calls::set_service;
use cluster::replica::{ballot, handle, messages_to, receive_from, roster, voter};
use cluster::{ip, Cluster, Reply, Start, DISK_FULL};
use emberpin_consensus::message::{Message, Prepare};
use emberpin_consensus::{Action, Call, Event, Guards};
use googletest::prelude::*;

/// A stall of a disk that is longer than any round or call waits, in milliseconds.
const STALL_DURATION: u64 = 5_000;

fn acknowledgement() -> Reply {
    Reply {
        status: 200,
        body: String::new(),
    }
}

#[gtest]
fn replica_with_a_full_disk_rejects_calls_and_recovers_once_the_disk_is_freed() {
    let mut cluster = Cluster::new(21, 3, 1, Guards::default());
    cluster.run(100);
    cluster.fill_disk(ip(1));
    // Syncs take longer than a round goes on after a rejection (`rejected_grace`): a voter that cannot vote must not
    // shorten the time that the other voters have.
    cluster.sync_time = 200..260;
    let rejected = cluster.call(ip(1), set_service("a", 1, 1));
    cluster.run(10);
    expect_that!(
        cluster.calls[rejected].reply,
        some(eq(&Reply {
            status: 503,
            body: DISK_FULL.to_string(),
        }))
    );
    let acknowledged = cluster.call(ip(2), set_service("b", 1, 1));
    cluster.run_while(690, |cluster| cluster.calls[acknowledged].reply.is_none());
    expect_that!(
        cluster.calls[acknowledged].reply,
        some(eq(&acknowledgement()))
    );
    cluster.run(100);
    // The replica with the full disk still learns chosen items, as this needs no sync.
    expect_that!(cluster.service_version(1, "b"), some(eq(1)));
    cluster.sync_time = 2..6;
    cluster.free_disk(ip(1));
    cluster.run(20);
    for machine in 1..=3 {
        cluster.lose_power_and_unsynced_writes(ip(machine));
    }
    cluster.start(ip(1), Start::Normal);
    expect_that!(cluster.service_version(1, "b"), some(eq(1)));
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
    expect_that!(cluster.status_of(ip(1), &set_service("c", 1, 1)), eq(200));
}

#[gtest]
fn voter_with_a_failed_disk_votes_again_only_after_a_sync() {
    let mut replica = voter(1, Guards::default());
    let prepare = |counter| {
        Message::Prepare(Prepare {
            ballot: ballot(counter, 3),
            roster: roster(),
            digests: Vec::new(),
            recovers: false,
        })
    };
    let is_rejected = |actions: Vec<Action>| {
        let messages = messages_to(actions, 3);
        messages
            .iter()
            .any(|message| matches!(message, Message::DiskUnavailable(_)))
    };
    let reason = DISK_FULL.into();
    handle(&mut replica, 20, Event::DiskFailed { reason });
    let actions = receive_from(&mut replica, 20, 3, prepare(1));
    expect_that!(is_rejected(actions), eq(true));
    let actions = handle(&mut replica, 30, Event::DiskRestored);
    let token = actions.iter().find_map(|action| match action {
        Action::Persist { token, write } if write.sync && write.accepted.is_some() => Some(*token),
        _ => None,
    });
    let token = token.expect("everything in memory is written and synced");
    let actions = receive_from(&mut replica, 30, 3, prepare(2));
    expect_that!(is_rejected(actions), eq(true));
    handle(&mut replica, 40, Event::Persisted { token });
    let actions = receive_from(&mut replica, 40, 3, prepare(3));
    expect_that!(is_rejected(actions), eq(false));
}

/// 2 accepts a proposal while its disk is full, and its disk is freed afterwards. Once 1 has answered the call, all
/// machines lose power, and 1 loses its disk.
fn proposal_accepted_on_a_disk_that_was_full(guards: Guards) -> Option<String> {
    let mut cluster = Cluster::new(3, 3, 1, guards);
    cluster.run(100);
    for other in [1, 2] {
        cluster.partition(ip(3), ip(other));
    }
    cluster.hold_back = Some(|message| matches!(message, Message::Accept(_)));
    let sent = cluster.call(ip(1), set_service("a", 1, 1));
    cluster.run(50);
    cluster.hold_back = None;
    cluster.fill_disk(ip(2));
    cluster.release(ip(1), ip(2));
    cluster.free_disk(ip(2));
    cluster.call(ip(2), Call::Get);
    cluster.run_while(4_000, |cluster| cluster.calls[sent].reply.is_none());
    for machine in 1..=3 {
        cluster.lose_power_and_unsynced_writes(ip(machine));
    }
    cluster.lose_disk(ip(1));
    cluster.heal_and_check();
    cluster.violation
}

#[gtest]
fn accept_that_did_not_reach_a_full_disk_is_not_answered() {
    expect_that!(
        proposal_accepted_on_a_disk_that_was_full(Guards::default()),
        none()
    );
}

#[gtest]
fn answer_after_a_failed_write_loses_an_acknowledged_item() {
    let guards = Guards {
        restore_after_disk_failure: false,
        ..Guards::default()
    };
    expect_that!(
        proposal_accepted_on_a_disk_that_was_full(guards),
        some(contains_substring("lost"))
    );
}

#[gtest]
fn stalled_disk_delays_neither_other_replicas_nor_learning() {
    let mut cluster = Cluster::new(22, 3, 1, Guards::default());
    cluster.run(100);
    let until = cluster.now + STALL_DURATION;
    cluster.node(ip(1)).stalled_until = until;
    let at_stalled = cluster.call(ip(1), set_service("a", 1, 1));
    let at_other = cluster.call(ip(2), set_service("b", 1, 1));
    cluster.run(3_002);
    expect_that!(cluster.calls[at_other].reply, some(eq(&acknowledgement())));
    expect_that!(cluster.calls[at_stalled].reply, some(anything()));
    expect_that!(cluster.service_version(1, "b"), some(eq(1)));
    cluster.run(STALL_DURATION);
    expect_that!(cluster.status_of(ip(1), &set_service("c", 1, 1)), eq(200));
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
}

/// The outcome of a call during a stall.
#[derive(Debug)]
struct StalledCall {
    status: Option<u16>,
    violation: Option<String>,
}

/// The disk of 2 stalls, and 3 is partitioned. When the call at 1 is answered, or the stall is nearly over, all
/// machines lose power, and 1 loses its disk.
fn power_loss_during_a_stall(guards: Guards) -> StalledCall {
    let mut cluster = Cluster::new(23, 3, 1, guards);
    cluster.run(100);
    for other in [1, 2] {
        cluster.partition(ip(3), ip(other));
    }
    let until = cluster.now + STALL_DURATION;
    cluster.node(ip(2)).stalled_until = until;
    let sent = cluster.call(ip(1), set_service("a", 1, 1));
    cluster.run_while(STALL_DURATION - 100, |cluster| {
        cluster.calls[sent].reply.is_none()
    });
    let status = cluster.calls[sent].status();
    for machine in 1..=3 {
        cluster.lose_power_and_unsynced_writes(ip(machine));
    }
    cluster.lose_disk(ip(1));
    cluster.heal_and_check();
    StalledCall {
        status,
        violation: cluster.violation,
    }
}

#[gtest]
fn stalled_sync_delays_the_vote_and_the_call_is_answered_in_time() {
    let call = power_loss_during_a_stall(Guards::default());
    expect_that!(call.status, some(eq(503)));
    expect_that!(call.violation, none());
}

#[gtest]
fn answer_before_a_stalled_sync_loses_an_acknowledged_item() {
    let call = power_loss_during_a_stall(Guards {
        sync_before_reply: false,
        ..Guards::default()
    });
    expect_that!(call.status, some(eq(200)));
    expect_that!(call.violation, some(contains_substring("lost")));
}
