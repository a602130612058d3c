//! Durability: acknowledged items survive the loss of power, disks and proposers.

mod cluster;

use cluster::calls::{set_service, set_services};
use cluster::{ip, spreads_chosen_items, Cluster};
use emberpin_consensus::message::Message;
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

/// When a call is acknowledged, all machines lose power, and one of them loses its disk.
fn power_loss_at_acknowledgement(seed: u64, guards: Guards) -> Option<String> {
    let mut cluster = Cluster::new(seed, 3, 1, guards);
    cluster.run(100);
    cluster.sync_time = 40..80;
    let lost_disk = ip(1 + (seed % 3) as u8);
    let status = cluster.status_of(ip(1), &set_service("a", 3, 1));
    if status != 200 {
        return Some(format!("status {status}"));
    }
    for machine in 1..=3 {
        cluster.lose_power_and_unsynced_writes(ip(machine));
    }
    cluster.lose_disk(lost_disk);
    cluster.heal_and_check();
    cluster.violation
}

#[gtest]
fn acknowledged_call_survives_power_loss_of_all_and_a_lost_disk() {
    for seed in 0..12 {
        expect_that!(
            power_loss_at_acknowledgement(seed, Guards::default()),
            none()
        );
    }
}

#[gtest]
fn reply_before_sync_loses_an_acknowledged_item() {
    let guards = Guards {
        sync_before_reply: false,
        ..Guards::default()
    };
    expect_that!(
        power_loss_at_acknowledgement(0, guards),
        some(contains_substring("lost"))
    );
}

#[gtest]
fn two_of_five_replicas_may_be_down() {
    let mut cluster = Cluster::new(1, 5, 2, Guards::default());
    cluster.run(100);
    expect_that!(cluster.status_of(ip(1), &set_service("a", 1, 1)), eq(200));
    cluster.lose_power(ip(1));
    cluster.lose_power(ip(2));
    expect_that!(
        cluster.call_until_done(ip(3), Call::Get).body,
        contains_substring("\"a\"")
    );
    expect_that!(cluster.status_of(ip(4), &set_service("b", 1, 1)), eq(200));
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
}

/// A call is proposed, the messages that match `hold_back` are lost, and the proposer is killed.
fn proposer_killed_during_phase_two(hold_back: fn(&Message) -> bool) -> Cluster {
    let mut cluster = Cluster::new(4, 3, 1, Guards::default());
    cluster.run(100);
    cluster.hold_back = Some(hold_back);
    cluster.call(ip(1), set_services(&[("a", 5, 1), ("b", 5, 1)]));
    cluster.run(200);
    cluster.kill(ip(1));
    cluster.hold_back = None;
    cluster
}

#[gtest]
fn proposal_on_a_majority_is_completed_by_other_replicas() {
    let mut cluster =
        proposer_killed_during_phase_two(|message| matches!(message, Message::Accepted(_)));
    cluster.run(2_000);
    expect_that!(
        (
            cluster.service_version(2, "a"),
            cluster.service_version(2, "b")
        ),
        eq((Some(5), Some(5)))
    );
    expect_that!(
        cluster.status_of(ip(2), &set_services(&[("a", 5, 1), ("b", 5, 1)])),
        eq(200)
    );
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
}

#[gtest]
fn proposal_on_its_proposer_alone_is_superseded_completely() {
    let mut cluster =
        proposer_killed_during_phase_two(|message| matches!(message, Message::Accept(_)));
    expect_that!(cluster.status_of(ip(2), &set_service("a", 4, 2)), eq(200));
    expect_that!(cluster.status_of(ip(3), &set_service("a", 6, 3)), eq(200));
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
    // Later rounds did not see the proposal, so none of its items may be chosen any more.
    expect_that!(
        (
            cluster.service_version(1, "a"),
            cluster.service_version(1, "b")
        ),
        eq((Some(6), None))
    );
    expect_that!(
        cluster.status_of(ip(1), &set_services(&[("a", 5, 1), ("b", 5, 1)])),
        eq(200)
    );
    expect_that!(
        (
            cluster.service_version(1, "a"),
            cluster.service_version(1, "b")
        ),
        eq((Some(6), Some(5)))
    );
}

/// Of five voters, one knows an item to be chosen, and two have accepted it. A round with the promises of other voters
/// replaces the proposal that these two have accepted.
fn round_replaces_an_accepted_proposal(seed: u64, guards: Guards) -> Option<String> {
    // Without contact checks: the comparison that a check begins would transfer the items that the voters lack.
    let guards = Guards {
        contact_check: false,
        ..guards
    };
    let mut cluster = Cluster::new(seed, 5, 2, guards);
    cluster.run(100);
    cluster.hold_back = Some(spreads_chosen_items);
    cluster.run(1_000);
    for (one, other) in [(1, 4), (1, 5), (2, 4), (2, 5), (3, 4), (3, 5)] {
        cluster.partition(ip(one), ip(other));
    }
    cluster.call_until_done(ip(1), set_service("a", 1, 1));
    cluster.partitions.clear();
    // 4 gets promises of 1 and 5, and its proposal reaches 2 and 3 alone.
    for voter in [2, 3] {
        cluster.partitions.insert((ip(voter), ip(4)));
    }
    let sent = cluster.call(ip(4), set_service("b", 1, 1));
    cluster.run_while(500, |cluster| {
        cluster
            .replica(ip(4))
            .is_none_or(|replica| replica.state().iter().count() < 2)
    });
    cluster.partitions.clear();
    cluster.partition(ip(4), ip(1));
    cluster.partition(ip(4), ip(5));
    cluster.run_while(4_000, |cluster| cluster.calls[sent].reply.is_none());
    cluster.lose_power(ip(1));
    cluster.lose_power(ip(4));
    cluster.hold_back = None;
    cluster.partitions.clear();
    let status = cluster.status_of(ip(5), &Call::Get);
    if status != 200 {
        return Some(format!("status {status}"));
    }
    cluster.check_acknowledged_items(ip(5));
    cluster.violation
}

#[gtest]
fn proposal_carries_the_chosen_items_that_voters_lack() {
    for seed in 0..20 {
        expect_that!(
            round_replaces_an_accepted_proposal(seed, Guards::default()),
            none()
        );
    }
}

#[gtest]
fn proposal_without_missing_items_loses_an_acknowledged_item() {
    let guards = Guards {
        transfer_missing_items: false,
        ..Guards::default()
    };
    // Whether the round gets exactly these promises depends on the random delays.
    let loses = |seed: &u64| {
        round_replaces_an_accepted_proposal(*seed, guards)
            .is_some_and(|violation| violation.contains("lost"))
    };
    expect_that!((0..20).filter(loses).count(), ge(6));
}
