//! Rounds of a leader.

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

/// Sends an operation, and lets time pass for its reply.
fn reply_within(
    cluster: &mut Cluster,
    span: u64,
    host: u8,
    when_led: WhenLed,
) -> Option<CoordinationReply> {
    let index = cluster.send_operation(ip(host), next_number("a"), when_led);
    cluster.run_while(span, |cluster| cluster.operations[index].is_none());
    cluster.operations[index].clone()
}

fn number(value: u64) -> CoordinationReply {
    CoordinationReply::Done(Outcome::Number { value })
}

fn next_number(counter: &str) -> Operation {
    Operation::NextNumber {
        counter: counter.into(),
    }
}

fn begin_lock(owner: &str) -> Operation {
    Operation::AcquireLock {
        lock: "l".into(),
        owner: owner.into(),
        lease: Duration::from_millis(500),
    }
}

#[gtest]
fn a_leader_has_one_phase_only_while_nobody_else_leads() {
    let mut cluster = cluster(1);
    cluster.operate(ip(1), next_number("a"));
    cluster.hold_back = Some(is_prepare);
    for value in 2..30 {
        cluster.run(value * 13 % 100);
        let reply = reply_within(&mut cluster, 50, 1, WhenLed::Redirect);
        expect_that!(reply, some(eq(&number(value))));
    }
    expect_that!(cluster.held_back, is_empty());
}

#[gtest]
fn other_replicas_name_the_leader_until_it_has_been_silent_for_a_while() {
    let mut cluster = cluster(1);
    cluster.operate(ip(1), next_number("a"));
    cluster.run(50);
    let reply = reply_within(&mut cluster, 50, 2, WhenLed::Redirect);
    let not_leader = CoordinationReply::NotLeader {
        leader: ip(1),
        effect: PossibleEffect::None,
    };
    expect_that!(reply, some(eq(&not_leader)));
    cluster.kill(ip(1));
    cluster.run(300);
    let reply = reply_within(&mut cluster, 100, 2, WhenLed::Redirect);
    expect_that!(reply, some(eq(&number(2))));
}

#[gtest]
fn another_replica_takes_the_lead_at_once_when_the_leader_is_killed() {
    for seed in 0..20 {
        let mut cluster = cluster(seed);
        cluster.operate(ip(1), next_number("a"));
        cluster.kill(ip(1));
        let reply = reply_within(&mut cluster, 100, 2, WhenLed::TakeOver);
        expect_that!(reply, some(eq(&number(2))));
        let reply = reply_within(&mut cluster, 50, 3, WhenLed::Redirect);
        let not_leader = CoordinationReply::NotLeader {
            leader: ip(2),
            effect: PossibleEffect::None,
        };
        expect_that!(reply, some(eq(&not_leader)));
    }
}

/// Its own calls from before come last, and are judged on what the others chose.
#[gtest]
fn a_woken_leader_gets_nothing_chosen_on_its_old_ballot() {
    for seed in 0..20 {
        let mut cluster = cluster(seed);
        cluster.operate(ip(1), next_number("a"));
        cluster.freeze(ip(1));
        let waiting = cluster.send_operation(ip(1), next_number("a"), WhenLed::Redirect);
        for value in 2..5 {
            let reply = reply_within(&mut cluster, 100, 2, WhenLed::TakeOver);
            expect_that!(reply, some(eq(&number(value))));
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
            expect_that!(cluster.operations[waiting], some(eq(&number(5))));
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
        let reply = reply_within(&mut cluster, 100, 1, WhenLed::Redirect);
        expect_that!(reply, some(eq(&number(value))));
    }
    expect_that!(cluster.now, lt(stalled_until));
    // What it never synced is not lost with its power.
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
            add_failure!("no number but {next:?}");
            continue;
        };
        // The first attempt may be chosen by the second one's round.
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
fn numbers_go_on_rising_while_the_roster_of_a_leader_changes() {
    let mut cluster = cluster(5);
    cluster.operate(ip(1), next_number("a"));
    cluster.decommission(ip(3));
    cluster.add_machine(ip(4));
    cluster.start(ip(4), Start::Normal);
    let (mut last, mut asked, mut answered) = (1, 0, 0);
    let until = cluster.now + 20_000;
    while !cluster.newest_roster().contains(&ip(4)) && cluster.now < until {
        asked += 1;
        if let Some(Outcome::Number { value }) = cluster.operate(ip(1), next_number("a")) {
            expect_that!(value, gt(last));
            last = value;
            answered += 1;
        }
        cluster.run(20);
    }
    expect_that!(cluster.newest_roster(), eq(&vec![ip(1), ip(2), ip(4)]));
    expect_that!(answered, eq(asked));
    cluster.run(1_000);
    cluster.lose_power(ip(1));
    let next = cluster.operate(ip(4), next_number("a"));
    let above = matches_pattern!(Outcome::Number { value: gt(&last) });
    expect_that!(next, some(above));
    expect_that!(cluster.violation, none());
}

/// A leader announces what was chosen once no proposal follows; that may not reach anyone.
#[gtest]
fn what_was_chosen_survives_the_leader_when_its_announcement_was_lost() {
    let mut cluster = cluster(1);
    // Until the next proposal, nobody else is told that the number is chosen.
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

/// Its holder died with it: nobody renews the hold.
#[gtest]
fn a_lock_becomes_free_at_a_leader_that_was_started_anew() {
    let mut cluster = cluster(1);
    expect_that!(
        cluster.operate(ip(1), begin_lock("a")),
        some(eq(&Outcome::LockGranted {
            fence: FencingToken(1)
        }))
    );
    cluster.run(100);
    for host in 1..=3 {
        cluster.kill(ip(host));
        cluster.start(ip(host), Start::Normal);
    }
    cluster.run(1_000);
    expect_that!(
        cluster.operate(ip(1), begin_lock("b")),
        some(eq(&Outcome::LockGranted {
            fence: FencingToken(2)
        }))
    );
}

/// The caller got no answer to its first finish, and began anew.
#[gtest]
fn a_finish_that_comes_late_does_not_release_a_later_hold_of_its_owner() {
    let mut cluster = cluster(1);
    let first = cluster.operate(ip(1), begin_lock("a"));
    expect_that!(
        first,
        some(eq(&Outcome::LockGranted {
            fence: FencingToken(1)
        }))
    );
    let again = cluster.operate(ip(1), begin_lock("a"));
    expect_that!(again, some(matches_pattern!(Outcome::LockGranted { .. })));
    let finish = Operation::ReleaseLock {
        lock: "l".into(),
        owner: "a".into(),
        fence: FencingToken(1),
    };
    expect_that!(
        cluster.operate(ip(1), finish),
        some(eq(&Outcome::LockReleased))
    );
    let other = cluster.operate(ip(1), begin_lock("b"));
    expect_that!(other, some(eq(&Outcome::LockDenied)));
}
