//! Registries on machines without a vote, and the table that a new peer is sent.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{draining, instance, ip, Cluster};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::{CallId, Incarnation};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::peers::RegistryMessage;
use emberpin_membership::registry::{Action, Event, Registry, RegistryConfig, SNAPSHOT_PART_BYTES};
use googletest::prelude::*;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

#[gtest]
fn a_registry_without_a_vote_receives_all_changes_but_counts_for_no_majority(
) -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(2, "a");
    cluster.start(4);
    cluster.run(1_500);
    verify_that!(cluster.status(4, "a"), some(eq(Status::Up)))?;
    let connect_count = cluster.connect_count;
    cluster.run(3_000);
    verify_that!(cluster.connect_count, eq(connect_count))?;
    cluster.partition(1, &[2, 3]);
    let call = cluster.send_heartbeat(1, draining("b", 1));
    verify_that!(cluster.is_acknowledged(1, call), eq(false))?;
    verify_that!(cluster.status(4, "b"), some(eq(Status::Draining)))?;
    cluster.heal(1, &[2, 3]);
    cluster.run(3_000);
    verify_that!(
        cluster
            .registry(1)
            .registries_in_contact(cluster.timestamp()),
        contains(eq(&ip(4)))
    )?;
    // After a minute without contact, the others no longer connect to it.
    cluster.kill(4);
    verify_that!(cluster.has_link(1, 4), eq(true))?;
    cluster.run(62_000);
    verify_that!(
        (cluster.has_link(1, 4), cluster.has_link(1, 2)),
        eq((false, true))
    )
}

/// The hello messages that a registry with this number of servers sends a peer when the connection to it opens.
fn hellos(server_count: u32) -> Vec<RegistryMessage> {
    let (now, mut actions) = (Timestamp::ZERO, Vec::new());
    let config = RegistryConfig {
        address: ip(1),
        zone: "north".into(),
        incarnation: Incarnation(1),
        heartbeat_interval: Duration::from_secs(1),
        seeds: vec![ip(1), ip(2)],
        snapshot_part_bytes: SNAPSHOT_PART_BYTES,
    };
    let mut registry = Registry::new(now, config);
    registry.handle(now, Event::Tick, &mut actions);
    for number in 0..server_count {
        let address = SocketAddr::from((Ipv4Addr::from(0x0a80_0000 + number), 8080));
        let instance = Instance {
            address,
            ..instance(&format!("instance-{number}"), 1)
        };
        let event = Event::Heartbeat {
            call: CallId(u64::from(number)),
            instance,
        };
        registry.handle(now, event, &mut actions);
    }
    actions.clear();
    registry.handle(now, Event::PeerConnected { peer: ip(2) }, &mut actions);
    let messages = actions.into_iter().filter_map(|action| match action {
        Action::SendToPeers { message, .. } => Some(message),
        _ => None,
    });
    messages
        .filter(|message| matches!(message, RegistryMessage::Hello { .. }))
        .collect()
}

#[gtest]
fn a_new_peer_is_sent_the_table_in_messages_of_bounded_size() {
    expect_that!(hellos(0).len(), eq(1));
    let mut listed = BTreeSet::new();
    for hello in hellos(5_000) {
        let RegistryMessage::Hello { instances, .. } = hello else {
            continue;
        };
        // A record takes 64 bytes or more, and a batch is closed at 64 KiB.
        expect_that!(instances.len(), le(1_024));
        listed.extend(instances.into_iter().map(|record| record.instance.id));
    }
    expect_that!(listed.len(), eq(5_000));
}
