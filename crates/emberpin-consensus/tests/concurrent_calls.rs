//! Concurrent calls at several replicas: of calls that exclude each other, exactly one is acknowledged.

mod cluster;

use cluster::calls::{remove_service, set_route, set_service};
use cluster::{ip, Cluster};
use emberpin_consensus::message::Message;
use emberpin_consensus::Guards;
use googletest::prelude::*;

#[gtest]
fn one_of_two_contents_of_a_version_is_acknowledged() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 3, 1, Guards::default());
        cluster.network_delay = 1..30;
        cluster.run(100);
        let calls = [set_service("a", 5, 1), set_service("a", 5, 2)];
        let first = cluster.call(ip(1), calls[0].clone());
        let second = cluster.call(ip(2), calls[1].clone());
        cluster.run(4_000);
        let mut statuses = Vec::new();
        for (id, machine) in [(first, 1), (second, 2)] {
            statuses.push(match cluster.calls[id].status() {
                Some(503) | None => cluster.status_of(ip(machine), &calls[id]),
                Some(status) => status,
            });
        }
        statuses.sort_unstable();
        expect_that!(statuses, eq(&vec![200, 409]));
        cluster.heal_and_check();
        expect_that!(cluster.violation, none());
    }
}

/// The outcome of two concurrent calls, one that removes a service and one that adds a route to it.
#[derive(Debug, PartialEq)]
struct ConcurrentCalls {
    /// In ascending order.
    statuses: Vec<u16>,
    violation: Option<String>,
}

/// Calls two replicas at once: one to remove a service, and the other one to add a route to it.
fn concurrent_changes_that_exclude_each_other(seed: u64, guards: Guards) -> ConcurrentCalls {
    let mut cluster = Cluster::new(seed, 3, 1, guards);
    cluster.network_delay = 1..30;
    cluster.run(100);
    cluster.call_until_done(ip(3), set_service("a", 1, 1));
    let calls = [remove_service("a", 2), set_route("r", "a", 1, 1)];
    let sent = [
        cluster.call(ip(1), calls[0].clone()),
        cluster.call(ip(2), calls[1].clone()),
    ];
    cluster.run(4_000);
    let mut statuses = Vec::new();
    for (nth, id) in sent.into_iter().enumerate() {
        statuses.push(match cluster.calls[id].status() {
            Some(503) | None => cluster.status_of(ip(1), &calls[nth]),
            Some(status) => status,
        });
    }
    statuses.sort_unstable();
    cluster.heal_and_check();
    ConcurrentCalls {
        statuses,
        violation: cluster.violation,
    }
}

#[gtest]
fn one_of_two_changes_that_exclude_each_other_is_rejected() {
    for seed in 0..30 {
        let expected = ConcurrentCalls {
            statuses: vec![200, 400],
            violation: None,
        };
        expect_that!(
            concurrent_changes_that_exclude_each_other(seed, Guards::default()),
            eq(&expected)
        );
    }
}

/// Only 1 has accepted the removal of a service. The other replicas choose a route to it, and know that the route is
/// chosen.
fn removal_accepted_by_its_proposer_alone(guards: Guards) -> Option<String> {
    let mut cluster = Cluster::new(12, 3, 1, guards);
    cluster.run(100);
    cluster.call_until_done(ip(3), set_service("a", 1, 1));
    cluster.hold_back = Some(|message| matches!(message, Message::Accept(_)));
    cluster.call(ip(1), remove_service("a", 2));
    cluster.run(50);
    cluster.hold_back = None;
    for other in [2, 3] {
        cluster.partition(ip(1), ip(other));
    }
    let status = cluster.status_of(ip(2), &set_route("r", "a", 1, 1));
    if status != 200 {
        return Some(format!("status {status}"));
    }
    cluster.run(1_000);
    cluster.heal_and_check();
    cluster.violation
}

#[gtest]
fn superseded_proposal_is_not_chosen_later() {
    expect_that!(
        removal_accepted_by_its_proposer_alone(Guards::default()),
        none()
    );
}

#[gtest]
fn forgetting_the_accepted_ballot_lets_a_superseded_proposal_be_chosen() {
    let guards = Guards {
        keep_accepted_ballot: false,
        ..Guards::default()
    };
    expect_that!(
        removal_accepted_by_its_proposer_alone(guards),
        some(contains_substring("not valid as a whole"))
    );
}
