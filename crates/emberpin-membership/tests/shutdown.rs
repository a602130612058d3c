//! Drains and exits of servers, which must be acknowledged only once a majority has recorded them.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{draining, instance, Cluster, ProxyView};
use emberpin_membership::instance::Status;
use emberpin_membership::registry::ServerReply;
use googletest::prelude::*;
use std::collections::BTreeMap;

#[gtest]
fn an_acknowledged_drain_survives_the_registry_that_acknowledged_it() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.send_heartbeat(1, instance("a", 1));
    cluster.run(50);
    let call = cluster.send_heartbeat(1, draining("a", 2));
    verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
    cluster.kill(1);
    for machine in [2, 3] {
        verify_that!(cluster.status(machine, "a"), some(eq(Status::Draining)))?;
        // A proxy that connects with its state from before the drain learns of the drain.
        cluster.open_session(machine, 9, None, vec![instance("a", 1)]);
        let mut view = ProxyView::default();
        view.apply(&cluster.take_messages(machine, 9));
        verify_that!(
            view.instances,
            eq(&BTreeMap::from([("a".to_string(), Status::Draining)]))
        )?;
    }
    // The failed machine restarts with an empty table, and learns of the drain from its peers before it could send them
    // anything else.
    cluster.start(1);
    cluster.run(300);
    verify_that!(cluster.status(1, "a"), some(eq(Status::Draining)))
}

#[gtest]
fn a_drain_is_acknowledged_soon_and_only_with_a_majority() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(5);
    let call = cluster.send_heartbeat(1, draining("a", 1));
    let (took, reply) = cluster.await_reply(1, call).expect("a reply");
    verify_that!(
        (took < 60, matches!(reply, ServerReply::Acknowledged { .. })),
        eq((true, true))
    )?;
    // A registry that does not answer delays the acknowledgement by a limited time.
    cluster.pause(5);
    let call = cluster.send_heartbeat(1, draining("b", 1));
    let (took, reply) = cluster.await_reply(1, call).expect("a reply");
    verify_that!(
        (
            took >= 140,
            took < 250,
            matches!(reply, ServerReply::Acknowledged { .. })
        ),
        eq((true, true, true))
    )?;
    // With two of five registries it is not acknowledged, and that reply arrives within the server's time-out.
    cluster.resume(5);
    cluster.partition(1, &[3, 4, 5]);
    cluster.partition(2, &[3, 4, 5]);
    for _ in 0..3 {
        for call in [
            cluster.send_heartbeat(1, draining("c", 1)),
            cluster.send_leave(1, "d"),
        ] {
            let (took, reply) = cluster.await_reply(1, call).expect("a reply");
            verify_that!(
                (took < 700, reply),
                eq((true, ServerReply::NotAcknowledged))
            )?;
        }
        cluster.run(1_000);
    }
    // The other side of the partition acknowledges it.
    let call = cluster.send_heartbeat(3, draining("c", 2));
    verify_that!(cluster.is_acknowledged(3, call), eq(true))?;
    // A drain that was acknowledged before is acknowledged again at once.
    let call = cluster.send_heartbeat(3, draining("c", 3));
    verify_that!(cluster.reply(3, call).is_some(), eq(true))
}

#[gtest]
fn a_reported_status_does_not_go_back() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.send_heartbeat(1, instance("a", 5));
    cluster.send_heartbeat(1, draining("a", 6));
    // Neither a delayed nor a newer heartbeat moves the status back.
    for seq in [4, 7] {
        let call = cluster.send_heartbeat(1, instance("a", seq));
        verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
        verify_that!(cluster.status(1, "a"), some(eq(Status::Draining)))?;
    }
    // A leave call without a drain, and one for an instance that is not known.
    cluster.send_heartbeat(1, instance("b", 1));
    for id in ["b", "c"] {
        let call = cluster.send_leave(1, id);
        verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
        for late in [instance(id, 9), draining(id, 10)] {
            let call = cluster.send_heartbeat(1, late);
            verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
            verify_that!(cluster.status(1, id), some(eq(Status::Removed)))?;
        }
    }
    Ok(())
}

#[gtest]
fn the_exit_of_a_draining_server_needs_its_own_majority() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    let call = cluster.send_heartbeat(1, draining("a", 1));
    verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
    cluster.partition(1, &[2, 3]);
    let call = cluster.send_leave(1, "a");
    verify_that!(cluster.is_acknowledged(1, call), eq(false))
}

#[gtest]
fn a_pending_drain_is_sent_to_registries_that_connect_later() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.partition(1, &[2, 3]);
    cluster.run(3_000);
    let call = cluster.send_heartbeat(1, draining("a", 1));
    cluster.run(100);
    cluster.heal(1, &[2, 3]);
    verify_that!(cluster.is_acknowledged(1, call), eq(true))
}

#[gtest]
fn a_shutdown_is_forwarded_to_registries_that_the_first_one_cannot_reach() -> googletest::Result<()>
{
    let mut cluster = Cluster::confirmed(3);
    cluster.open_session(3, 9, None, vec![]);
    for id in ["a", "b"] {
        cluster.send_heartbeat(1, instance(id, 1));
    }
    cluster.run(50);
    cluster.partition(1, &[3]);
    for call in [
        cluster.send_heartbeat(1, draining("a", 2)),
        cluster.send_leave(1, "b"),
        cluster.send_heartbeat(1, draining("c", 1)),
    ] {
        verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
    }
    // Messages that the first registry has not delivered yet are lost with it.
    cluster.kill(1);
    cluster.run(50);
    verify_that!(cluster.status(3, "a"), some(eq(Status::Draining)))?;
    verify_that!(cluster.status(3, "b"), some(eq(Status::Removed)))?;
    verify_that!(cluster.status(3, "c"), some(eq(Status::Draining)))
}
