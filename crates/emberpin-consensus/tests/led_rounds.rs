//! Rounds of a leader: they need no phase 1, other replicas redirect applications to the leader, and nothing that the
//! leader acknowledged is lost when it fails.

mod cluster;

use cluster::{ip, spreads_chosen_items, Cluster, Start};
use emberpin_consensus::message::Message;
use emberpin_consensus::{CoordinationReply, Guards, PossibleEffect, Rounds, WhenLed};
use emberpin_coordination::{FencingToken, Operation, Outcome};
use googletest::prelude::*;
use std::time::Duration;

fn cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_rounds(Rounds::Led, seed, 3, 1, Guards::default());
    cluster.run(1_000);
    cluster
}

fn is_prepare(message: &Message) -> bool {
    matches!(message, Message::Prepare(_))
}

fn is_rejected(message: &Message) -> bool {
    matches!(message, Message::Rejected(_))
}

/// Sends an operation, and lets time pass until its reply or the end of the span, in milliseconds.
fn reply_within_span(
    cluster: &mut Cluster,
    span: u64,
    machine: u8,
    when_led: WhenLed,
) -> Option<CoordinationReply> {
    let index = cluster.send_operation(ip(machine), next_number("a"), when_led);
    cluster.run_while(span, |cluster| cluster.operations[index].is_none());
    cluster.operations[index].clone()
}

fn number_reply(value: u64) -> CoordinationReply {
    CoordinationReply::Done(Outcome::Number { value })
}

fn next_number(counter: &str) -> Operation {
    Operation::NextNumber {
        counter: counter.into(),
    }
}

fn acquire_lock(owner: &str) -> Operation {
    Operation::AcquireLock {
        lock: "l".into(),
        owner: owner.into(),
        lease: Duration::from_millis(500),
    }
}

#[gtest]
fn a_leader_skips_phase_one_while_no_other_replica_leads() {
    let mut cluster = cluster(1);
    cluster.operate(ip(1), next_number("a"));
    cluster.hold_back = Some(is_prepare);
    for value in 2..30 {
        cluster.run(value * 13 % 100);
        let reply = reply_within_span(&mut cluster, 50, 1, WhenLed::Redirect);
        expect_that!(reply, some(eq(&number_reply(value))));
    }
    expect_that!(cluster.held_back, is_empty());
}

#[gtest]
fn other_replicas_redirect_to_the_leader_until_its_last_proposal_is_too_old() {
    let mut cluster = cluster(1);
    cluster.operate(ip(1), next_number("a"));
    cluster.run(50);
    let reply = reply_within_span(&mut cluster, 50, 2, WhenLed::Redirect);
    let not_leader = CoordinationReply::NotLeader {
        leader: ip(1),
        effect: PossibleEffect::None,
    };
    expect_that!(reply, some(eq(&not_leader)));
    cluster.kill(ip(1));
    cluster.run(300);
    let reply = reply_within_span(&mut cluster, 100, 2, WhenLed::Redirect);
    expect_that!(reply, some(eq(&number_reply(2))));
}

#[gtest]
fn another_replica_takes_the_lead_at_once_when_the_leader_is_killed() {
    for seed in 0..20 {
        let mut cluster = cluster(seed);
        cluster.operate(ip(1), next_number("a"));
        cluster.kill(ip(1));
        let reply = reply_within_span(&mut cluster, 100, 2, WhenLed::TakeOver);
        expect_that!(reply, some(eq(&number_reply(2))));
        let reply = reply_within_span(&mut cluster, 50, 3, WhenLed::Redirect);
        let not_leader = CoordinationReply::NotLeader {
            leader: ip(2),
            effect: PossibleEffect::None,
        };
        expect_that!(reply, some(eq(&not_leader)));
    }
}

/// A frozen leader loses the lead to another replica. Its own pending operation is evaluated after it resumes, on top
/// of the items that the others have chosen meanwhile.
#[gtest]
fn a_resumed_leader_gets_nothing_chosen_at_its_old_ballot() {
    for seed in 0..20 {
        let mut cluster = cluster(seed);
        cluster.operate(ip(1), next_number("a"));
        cluster.freeze(ip(1));
        let waiting = cluster.send_operation(ip(1), next_number("a"), WhenLed::Redirect);
        for value in 2..5 {
            let reply = reply_within_span(&mut cluster, 100, 2, WhenLed::TakeOver);
            expect_that!(reply, some(eq(&number_reply(value))));
        }
        cluster.hold_back = Some(is_rejected);
        cluster.wake(ip(1));
        cluster.run(20);
        expect_that!(cluster.held_back, not(is_empty()));
        let is_done = |cluster: &Cluster| {
            let reply = &cluster.operations[waiting];
            matches!(reply, Some(CoordinationReply::Done(_)))
        };
        expect_that!(is_done(&cluster), eq(false));
        cluster.hold_back = None;
        cluster.run(1_000);
        expect_that!(cluster.operations[waiting], some(anything()));
        if is_done(&cluster) {
            expect_that!(cluster.operations[waiting], some(eq(&number_reply(5))));
        }
        let next = cluster.operate(ip(3), next_number("a"));
        let above = matches_pattern!(Outcome::Number { value: ge(&5) });
        expect_that!(next, some(above));
        expect_that!(cluster.violation, none());
    }
}

#[gtest]
fn a_leader_goes_on_with_the_other_voters_while_its_own_disk_stalls() {
    let mut cluster = cluster(1);
    cluster.operate(ip(1), next_number("a"));
    let stalled_until = cluster.now + 3_000;
    cluster.node(ip(1)).stalled_until = stalled_until;
    for value in 2..20 {
        let reply = reply_within_span(&mut cluster, 100, 1, WhenLed::Redirect);
        expect_that!(reply, some(eq(&number_reply(value))));
    }
    expect_that!(cluster.now, lt(stalled_until));
    // Its power loss loses nothing, although it never synced these numbers.
    cluster.lose_power_and_unsynced_writes(ip(1));
    let next = cluster.operate(ip(2), next_number("a"));
    expect_that!(next, some(eq(&Outcome::Number { value: 20 })));
}

#[gtest]
fn another_replica_takes_the_lead_while_the_host_of_the_leader_waits_for_its_disk() {
    for seed in 0..20 {
        let mut cluster = cluster(seed);
        cluster.host_blocks_on_sync = true;
        cluster.operate(ip(1), next_number("a"));
        cluster.node(ip(1)).stalled_until = cluster.now + 3_000;
        let waiting = cluster.send_operation(ip(1), next_number("a"), WhenLed::Redirect);
        cluster.run(20);
        let next = cluster.operate(ip(2), next_number("a"));
        let Some(Outcome::Number { value }) = next else {
            add_failure!("expected a number, got {next:?}");
            continue;
        };
        // The operation at the stalled leader may be chosen first, by the round of the second operation.
        expect_that!(value, ge(2));
        cluster.run(4_000);
        if let Some(CoordinationReply::Done(outcome)) = &cluster.operations[waiting] {
            expect_that!(*outcome, not(eq(&Outcome::Number { value })));
        }
        expect_that!(cluster.operations[waiting], some(anything()));
        expect_that!(cluster.violation, none());
    }
}

#[gtest]
fn numbers_keep_rising_while_the_roster_of_a_leader_changes() {
    let mut cluster = cluster(5);
    cluster.operate(ip(1), next_number("a"));
    cluster.decommission(ip(3));
    cluster.add_machine(ip(4));
    cluster.start(ip(4), Start::Normal);
    let (mut last, mut sent, mut replied) = (1, 0, 0);
    let until = cluster.now + 20_000;
    while !cluster.newest_roster().contains(&ip(4)) && cluster.now < until {
        sent += 1;
        if let Some(Outcome::Number { value }) = cluster.operate(ip(1), next_number("a")) {
            expect_that!(value, gt(last));
            last = value;
            replied += 1;
        }
        cluster.run(20);
    }
    expect_that!(cluster.newest_roster(), eq(&vec![ip(1), ip(2), ip(4)]));
    expect_that!(replied, eq(sent));
    cluster.run(1_000);
    cluster.lose_power(ip(1));
    let next = cluster.operate(ip(4), next_number("a"));
    let above = matches_pattern!(Outcome::Number { value: gt(&last) });
    expect_that!(next, some(above));
    expect_that!(cluster.violation, none());
}

/// If no proposal follows, a leader announces the chosen items separately, and this announcement may be lost.
#[gtest]
fn chosen_items_survive_the_leader_when_its_announcement_is_lost() {
    let mut cluster = cluster(1);
    // No other replica learns that the number is chosen before the next proposal.
    cluster.hold_back = Some(spreads_chosen_items);
    expect_that!(
        cluster.operate(ip(1), next_number("a")),
        some(eq(&Outcome::Number { value: 1 }))
    );
    cluster.run(60);
    expect_that!(
        cluster.operate(ip(1), next_number("b")),
        some(eq(&Outcome::Number { value: 1 }))
    );
    cluster.kill(ip(1));
    expect_that!(
        cluster.operate(ip(2), next_number("a")),
        some(eq(&Outcome::Number { value: 2 }))
    );
    expect_that!(cluster.violation, none());
}

/// The holder of the lock no longer renews its lease, so the lock must become free although a restart restarts the
/// lease.
#[gtest]
fn a_lock_becomes_free_after_all_replicas_are_restarted() {
    let mut cluster = cluster(1);
    expect_that!(
        cluster.operate(ip(1), acquire_lock("a")),
        some(eq(&Outcome::LockGranted {
            fence: FencingToken(1)
        }))
    );
    cluster.run(100);
    for machine in 1..=3 {
        cluster.kill(ip(machine));
        cluster.start(ip(machine), Start::Normal);
    }
    cluster.run(1_000);
    expect_that!(
        cluster.operate(ip(1), acquire_lock("b")),
        some(eq(&Outcome::LockGranted {
            fence: FencingToken(2)
        }))
    );
}

/// A caller that got no reply to its release acquires the lock again. The release arrives late, with the fencing token
/// of the earlier lease.
#[gtest]
fn a_late_release_does_not_release_a_later_lease_of_the_same_owner() {
    let mut cluster = cluster(1);
    let first = cluster.operate(ip(1), acquire_lock("a"));
    expect_that!(
        first,
        some(eq(&Outcome::LockGranted {
            fence: FencingToken(1)
        }))
    );
    let again = cluster.operate(ip(1), acquire_lock("a"));
    expect_that!(again, some(matches_pattern!(Outcome::LockGranted { .. })));
    let release = Operation::ReleaseLock {
        lock: "l".into(),
        owner: "a".into(),
        fence: FencingToken(1),
    };
    expect_that!(
        cluster.operate(ip(1), release),
        some(eq(&Outcome::LockReleased))
    );
    let other = cluster.operate(ip(1), acquire_lock("b"));
    expect_that!(other, some(eq(&Outcome::LockDenied)));
}
