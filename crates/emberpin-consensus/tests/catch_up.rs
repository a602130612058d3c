//! Catching up: a voter that lost its disk does not vote before it knows all proposals that it may have voted for.

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, spreads_chosen_items, ClientCall, Cluster, Start};
use emberpin_consensus::message::Message;
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

/// Two of three replicas know an item. One of these loses its disk while the other one is down; then the third replica
/// reads.
fn read_with_a_voter_that_lost_its_disk(guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(2, 3, 1, guards);
    cluster.run(100);
    cluster.kill(ip(3));
    cluster.call_until_done(ip(1), set_service("a", 1, 1));
    cluster.lose_power(ip(1));
    cluster.lose_disk(ip(2));
    cluster.start(ip(2), Start::Normal);
    cluster.start(ip(3), Start::Normal);
    if cluster.status_of(ip(3), &Call::Get) == 200 {
        cluster.check_acknowledged_items(ip(3));
    }
    cluster
}

#[gtest]
fn voter_that_lost_its_disk_does_not_vote_before_it_caught_up() {
    let mut cluster = read_with_a_voter_that_lost_its_disk(Guards::default());
    expect_that!(
        cluster.calls.last().and_then(ClientCall::status),
        some(eq(503))
    );
    expect_that!(cluster.nodes[&ip(2)].unrecovered_disk_loss, eq(true));
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
    expect_that!(cluster.nodes[&ip(2)].unrecovered_disk_loss, eq(false));
}

#[gtest]
fn voting_before_catching_up_loses_an_acknowledged_item() {
    let cluster = read_with_a_voter_that_lost_its_disk(Guards {
        catch_up_before_voting: false,
        ..Guards::default()
    });
    expect_that!(cluster.violation, some(contains_substring("lost")));
}

/// The statuses of two calls with different contents of one version.
struct Statuses {
    first: Option<u16>,
    second: Option<u16>,
}

/// Of five voters, 2 begins a round and gets a promise only from 3. Then 3 loses its disk and catches up from the
/// others, whose ballots are below that of 2. A call is chosen by 1, 3 and 4. Once 5 has promised too, 2 proposes
/// another content of the same version.
fn promise_of_a_disk_that_was_lost_since(guards: Guards) -> (Statuses, Cluster) {
    // Without contact checks, the call at 2 waits while 2 is in a minority.
    let guards = Guards {
        contact_check: false,
        ..guards
    };
    let mut cluster = Cluster::new(16, 5, 2, guards);
    cluster.run(1_000);
    cluster.hold_back = Some(spreads_chosen_items);
    for other in [1, 4, 5] {
        cluster.partition(ip(2), ip(other));
    }
    // The rounds of 2 fail, so that its ballots rise and its rounds last longer.
    cluster.call(ip(2), set_service("a", 1, 2));
    cluster.run(2_900);
    cluster.call(ip(2), set_service("a", 1, 2));
    let promised = cluster.promised_ballot(ip(3));
    cluster.run_while(10_000, |cluster| cluster.promised_ballot(ip(3)) == promised);
    cluster.run(20);
    cluster.partition(ip(2), ip(3));
    cluster.lose_disk(ip(3));
    cluster.start(ip(3), Start::Normal);
    // 3 learns the roster by comparison with the others.
    cluster.hold_back = Some(|message| matches!(message, Message::Chosen(_)));
    cluster.run_while(1_000, |cluster| cluster.nodes[&ip(3)].unrecovered_disk_loss);
    cluster.hold_back = Some(spreads_chosen_items);
    for other in [1, 3, 4] {
        cluster.partition(ip(5), ip(other));
    }
    let first = cluster.call(ip(1), set_service("a", 1, 1));
    cluster.run_while(1_000, |cluster| cluster.calls[first].reply.is_none());
    // 2 is connected to 3 and 5, and 1 and 4 are down.
    cluster.partitions.clear();
    for machine in [1, 4] {
        cluster.lose_power(ip(machine));
    }
    let second = cluster.call(ip(2), set_service("a", 1, 2));
    cluster.run_while(4_000, |cluster| cluster.calls[second].reply.is_none());
    let statuses = Statuses {
        first: cluster.calls[first].status(),
        second: cluster.calls[second].status(),
    };
    cluster.heal_and_check();
    (statuses, cluster)
}

#[gtest]
fn promise_of_an_earlier_incarnation_does_not_count() {
    let (statuses, cluster) = promise_of_a_disk_that_was_lost_since(Guards::default());
    expect_that!(statuses.first, some(eq(200)));
    expect_that!(statuses.second, not(some(eq(200))));
    expect_that!(cluster.violation, none());
}

#[gtest]
fn counting_promises_of_earlier_incarnations_acknowledges_two_contents() {
    let (statuses, cluster) = promise_of_a_disk_that_was_lost_since(Guards {
        void_stale_promises: false,
        ..Guards::default()
    });
    expect_that!(statuses.first, some(eq(200)));
    expect_that!(statuses.second, some(eq(200)));
    expect_that!(cluster.violation, some(contains_substring("two contents")));
}
