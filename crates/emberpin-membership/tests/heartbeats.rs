//! Heartbeats of servers: when they are acknowledged and replicated, and to which registry servers are directed.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, ip, warming_up, Cluster, StoreState};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::registry::ServerReply;
use emberpin_membership::session::ToProxy;
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[gtest]
fn a_registry_that_has_just_started_acknowledges_heartbeats() -> googletest::Result<()> {
    let mut cluster = Cluster::new(3);
    let call = cluster.send_heartbeat(1, instance("a", 1));
    verify_that!(cluster.is_acknowledged(1, call), eq(true))
}

#[gtest]
fn a_heartbeat_that_arrives_late_changes_nothing() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.send_heartbeat(1, warming_up("a", 5, 3_000));
    let call = cluster.send_heartbeat(1, instance("a", 4));
    verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
    let known = cluster.entry(1, "a").instance(cluster.timestamp());
    verify_that!(
        (known.seq, known.warmup_left > Duration::from_millis(2_900)),
        eq((5, true))
    )
}

#[gtest]
fn a_new_instance_evicts_an_older_one_with_its_address() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.send_heartbeat(1, instance("old", 4));
    cluster.run(50);
    cluster.send_heartbeat(
        2,
        Instance {
            address: instance("old", 0).address,
            ..instance("new", 1)
        },
    );
    cluster.run(50);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "old"), some(eq(Status::Removed)))?;
        verify_that!(cluster.status(machine, "new"), some(eq(Status::Up)))?;
    }
    // If the older instance is still running and sends a heartbeat, both are up: requests name the instance that they
    // are for.
    cluster.send_heartbeat(1, instance("old", 5));
    cluster.run(50);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "old"), some(eq(Status::Up)))?;
        verify_that!(cluster.status(machine, "new"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn servers_are_directed_to_a_confirmed_registry_of_their_zone() -> googletest::Result<()> {
    // Machines 1 and 4 are in the zone of the servers.
    let mut cluster = Cluster::confirmed(5);
    let mut targets = BTreeMap::new();
    for number in 0..40 {
        let call = cluster.send_heartbeat(2, instance(&format!("s-{number}"), 1));
        let Some((_, ServerReply::Acknowledged { heartbeat_target })) =
            cluster.await_reply(2, call)
        else {
            return fail!("no reply");
        };
        *targets.entry(heartbeat_target).or_insert(0) += 1;
    }
    verify_that!(
        targets.keys().copied().collect::<Vec<_>>(),
        eq(&vec![ip(1), ip(4)])
    )?;
    verify_that!(targets.values().all(|count| *count >= 10), eq(true))?;
    // All registries direct the same server to the same registry.
    let call = cluster.send_heartbeat(3, instance("s-0", 2));
    let same = cluster.await_reply(3, call);
    let call = cluster.send_heartbeat(5, instance("s-0", 3));
    verify_that!(
        cluster.await_reply(5, call).map(|(_, reply)| reply),
        eq(same.map(|(_, reply)| reply))
    )?;
    cluster.kill(1);
    cluster.set_store(4, StoreState::Unconfirmed);
    cluster.run(2_500);
    let call = cluster.send_heartbeat(2, instance("s-0", 4));
    let Some((_, ServerReply::Acknowledged { heartbeat_target })) = cluster.await_reply(2, call)
    else {
        return fail!("no reply");
    };
    verify_that!([ip(2), ip(3), ip(5)].contains(&heartbeat_target), eq(true))
}

#[gtest]
fn a_registry_in_a_minority_does_not_acknowledge_a_heartbeat_but_records_it(
) -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.partition(1, &[2, 3]);
    cluster.run(2_000);
    let call = cluster.send_heartbeat(1, instance("a", 1));
    verify_that!(
        cluster.await_reply(1, call).map(|(_, reply)| reply),
        some(eq(ServerReply::NotAcknowledged))
    )?;
    verify_that!(cluster.status(1, "a"), some(eq(Status::Up)))?;
    let call = cluster.send_heartbeat(2, instance("a", 2));
    verify_that!(cluster.is_acknowledged(2, call), eq(true))
}

#[gtest]
fn a_change_of_the_owner_is_replicated_at_once() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    for (target, seq) in [(1, 1), (2, 2), (1, 3)] {
        cluster.send_heartbeat(target, instance("a", seq));
        cluster.run(20);
        for machine in 1..=3 {
            let owner = cluster.entry(machine, "a").owner;
            verify_that!((seq, machine, owner), eq((seq, machine, Some(ip(target)))))?;
        }
    }
    Ok(())
}

#[gtest]
fn heartbeats_without_a_change_are_not_replicated() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    for number in 0..50 {
        cluster.add_server(1, &format!("s-{number}"));
    }
    cluster.open_session(1, 9, None, vec![]);
    cluster.run_with_session(1, 9, 3_000);
    _ = cluster.take_messages(1, 9);
    let (message_count, ack_count) = (cluster.peer_message_count, cluster.heartbeat_ack_count);
    cluster.run_with_session(1, 9, 10_000);
    // Three registries have six connections, with two heartbeats a second on each, and one answer to each heartbeat.
    verify_that!(cluster.peer_message_count - message_count, le(6 * 2 * 10))?;
    verify_that!(cluster.heartbeat_ack_count - ack_count, le(6 * 2 * 10))?;
    verify_that!(
        cluster
            .take_messages(1, 9)
            .iter()
            .all(|message| matches!(message, ToProxy::Confirmation { .. })),
        eq(true)
    )
}
