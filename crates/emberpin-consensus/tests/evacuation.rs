//! Evacuations of a zone: a late call does not undo a change that was acknowledged after it was sent.

mod cluster;

use cluster::calls::evacuate;
use cluster::{ip, Cluster, Start};
use emberpin_config::ItemKind;
use emberpin_consensus::message::Message;
use emberpin_consensus::{Call, EvacuationChange, Guards};
use googletest::prelude::*;

fn is_evacuated(cluster: &Cluster, machine: u8) -> bool {
    cluster
        .known_item(machine, ItemKind::Evacuation, "z")
        .is_some_and(|item| item.body.is_some())
}

#[gtest]
fn evacuation_begins_at_one_replica_and_ends_at_another() {
    let mut cluster = Cluster::new(8, 3, 1, Guards::default());
    cluster.run(100);
    expect_that!(
        cluster.status_of(ip(1), &evacuate(EvacuationChange::Begin, 0)),
        eq(200)
    );
    expect_that!(
        cluster.status_of(ip(2), &evacuate(EvacuationChange::Begin, 0)),
        eq(200)
    );
    for machine in 1..=3 {
        cluster.lose_power_and_unsynced_writes(ip(machine));
    }
    for machine in 1..=3 {
        cluster.start(ip(machine), Start::Normal);
    }
    expect_that!(cluster.status_of(ip(3), &Call::Get), eq(200));
    expect_that!(is_evacuated(&cluster, 3), eq(true));
    expect_that!(
        cluster
            .known_item(3, ItemKind::Evacuation, "z")
            .map(|item| item.version.0),
        some(eq(1))
    );
    expect_that!(
        cluster.status_of(ip(2), &evacuate(EvacuationChange::End, 1)),
        eq(200)
    );
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
    for machine in 1..=3 {
        expect_that!(is_evacuated(&cluster, machine), eq(false));
    }
}

#[gtest]
fn begin_on_its_proposer_alone_does_not_return_after_the_end() {
    let mut cluster = Cluster::new(9, 3, 1, Guards::default());
    cluster.run(100);
    cluster.hold_back = Some(|message| matches!(message, Message::Accept(_)));
    cluster.call(ip(1), evacuate(EvacuationChange::Begin, 0));
    cluster.run(200);
    cluster.kill(ip(1));
    cluster.hold_back = None;
    expect_that!(
        cluster.status_of(ip(2), &evacuate(EvacuationChange::Begin, 0)),
        eq(200)
    );
    expect_that!(
        cluster.status_of(ip(3), &evacuate(EvacuationChange::End, 1)),
        eq(200)
    );
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
    for machine in 1..=3 {
        expect_that!(is_evacuated(&cluster, machine), eq(false));
    }
}

/// An operator begins an evacuation, abandons that call, and ends the evacuation at another replica. Then the abandoned
/// call arrives. Returns whether the zone is evacuated at the end.
fn begins_again_after_the_end(guards: Guards, begun_before: bool) -> bool {
    let mut cluster = Cluster::new(10, 3, 1, guards);
    cluster.run(100);
    let late_begin = evacuate(EvacuationChange::Begin, 0);
    let mut version = 0;
    if begun_before {
        expect_that!(cluster.status_of(ip(2), &late_begin), eq(200));
        version = 1;
    }
    let end = evacuate(EvacuationChange::End, version);
    expect_that!(cluster.status_of(ip(3), &end), eq(200));
    cluster.call(ip(1), late_begin);
    cluster.run(1_000);
    cluster.heal_and_check();
    is_evacuated(&cluster, 3)
}

#[gtest]
fn a_late_begin_changes_nothing_after_the_end() {
    for begun_before in [false, true] {
        expect_that!(
            begins_again_after_the_end(Guards::default(), begun_before),
            eq(false)
        );
    }
}

#[gtest]
fn without_its_precondition_a_late_begin_evacuates_the_zone_again() {
    let guards = Guards {
        evacuation_precondition: false,
        ..Guards::default()
    };
    for begun_before in [false, true] {
        expect_that!(begins_again_after_the_end(guards, begun_before), eq(true));
    }
}

#[gtest]
fn a_late_end_changes_nothing_after_another_begin() {
    let mut cluster = Cluster::new(11, 3, 1, Guards::default());
    cluster.run(100);
    for (change, version) in [
        (EvacuationChange::Begin, 0),
        (EvacuationChange::End, 1),
        (EvacuationChange::Begin, 2),
    ] {
        expect_that!(
            cluster.status_of(ip(1), &evacuate(change, version)),
            eq(200)
        );
    }
    cluster.call(ip(2), evacuate(EvacuationChange::End, 1));
    cluster.run(1_000);
    cluster.heal_and_check();
    expect_that!(cluster.violation, none());
    expect_that!(is_evacuated(&cluster, 3), eq(true));
}
