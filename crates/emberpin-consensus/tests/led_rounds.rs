//! Rounds of a leader.

mod cluster;

use cluster::{ip, spreads_chosen_items, Cluster, Start};
use emberpin_consensus::{Guards, Rounds};
use emberpin_coordination::{Fence, Operation, Outcome};
use googletest::prelude::*;
use std::time::Duration;

fn cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_rounds(Rounds::Led, seed, 3, 1, Guards::default());
    cluster.run(1_000);
    cluster
}

fn next_number(counter: &str) -> Operation {
    Operation::NextNumber {
        counter: counter.into(),
    }
}

fn begin_lock(owner: &str) -> Operation {
    Operation::BeginLock {
        lock: "l".into(),
        owner: owner.into(),
        hold: Duration::from_millis(500),
    }
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
        some(eq(&Outcome::LockGranted { fence: Fence(1) }))
    );
    cluster.run(100);
    for host in 1..=3 {
        cluster.kill(ip(host));
        cluster.start(ip(host), Start::Normal);
    }
    cluster.run(1_000);
    expect_that!(
        cluster.operate(ip(1), begin_lock("b")),
        some(eq(&Outcome::LockGranted { fence: Fence(2) }))
    );
}

/// The caller got no answer to its first finish, and began anew.
#[gtest]
fn a_finish_that_comes_late_does_not_release_a_later_hold_of_its_owner() {
    let mut cluster = cluster(1);
    let first = cluster.operate(ip(1), begin_lock("a"));
    expect_that!(first, some(eq(&Outcome::LockGranted { fence: Fence(1) })));
    let again = cluster.operate(ip(1), begin_lock("a"));
    expect_that!(again, some(matches_pattern!(Outcome::LockGranted { .. })));
    let finish = Operation::FinishLock {
        lock: "l".into(),
        owner: "a".into(),
        fence: Fence(1),
    };
    expect_that!(
        cluster.operate(ip(1), finish),
        some(eq(&Outcome::LockFinished))
    );
    let other = cluster.operate(ip(1), begin_lock("b"));
    expect_that!(other, some(eq(&Outcome::LockDenied)));
}
