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

/// Guards against an acknowledged exit or drain that is lost with the memory of all registries, after which proxies that
/// were not told of it restore the server as up.
#[gtest]
fn an_acknowledged_shutdown_survives_the_restart_of_all_registries() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    for id in ["drained", "left"] {
        cluster.send_heartbeat(1, instance(id, 1));
    }
    cluster.run(50);
    for call in [
        cluster.send_heartbeat(1, draining("drained", 2)),
        cluster.send_leave(1, "left"),
    ] {
        verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
    }
    for machine in 1..=3 {
        cluster.kill(machine);
    }
    for machine in 1..=3 {
        cluster.start(machine);
    }
    for machine in 1..=3 {
        let known = vec![instance("drained", 1), instance("left", 1)];
        cluster.open_session(machine, 9, None, known);
        cluster.run(500);
        let mut view = ProxyView::default();
        view.apply(&cluster.take_messages(machine, 9));
        expect_that!(
            view.instances.get("drained"),
            some(eq(&Status::Draining)),
            "machine {machine}"
        );
        expect_that!(
            view.instances.get("left"),
            not(some(eq(&Status::Up))),
            "machine {machine}"
        );
        expect_that!(
            cluster.status(machine, "left"),
            some(eq(Status::Removed)),
            "machine {machine}"
        );
    }
    // A heartbeat that was delayed for all that time does not revive the server.
    cluster.send_heartbeat(2, instance("left", 1));
    verify_that!(cluster.status(2, "left"), some(eq(Status::Removed)))
}

/// Guards against a replaced machine without a disk that brings a server back after all registries have restarted.
#[gtest]
fn an_acknowledged_exit_survives_a_lost_disk_and_the_restart_of_all_registries(
) -> googletest::Result<()> {
    for wiped in 1..=3 {
        let mut cluster = Cluster::confirmed(3);
        cluster.send_heartbeat(1, instance("a", 1));
        cluster.run(50);
        let call = cluster.send_leave(1, "a");
        verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
        for machine in 1..=3 {
            cluster.kill(machine);
        }
        cluster.wipe_disk(wiped);
        for machine in 1..=3 {
            cluster.start(machine);
        }
        cluster.open_session(wiped, 9, None, vec![instance("a", 1)]);
        cluster.run(500);
        for machine in 1..=3 {
            let status = cluster.status(machine, "a");
            expect_that!(status, some(eq(Status::Removed)), "{wiped} wiped");
        }
    }
    Ok(())
}

#[gtest]
fn a_shutdown_is_acknowledged_only_once_a_majority_has_synced_it() -> googletest::Result<()> {
    // A stalled disk delays the acknowledgement by a limited time, also that of the registry that was called.
    for stalled in 1..=3 {
        let mut cluster = Cluster::confirmed(3);
        cluster.stall_disk(stalled);
        let call = cluster.send_leave(1, "a");
        let (took, reply) = cluster.await_reply(1, call).expect("a reply");
        let is_acknowledged = matches!(reply, ServerReply::Acknowledged { .. });
        verify_that!((took < 250, is_acknowledged), eq((true, true)))?;
    }
    // Without a majority of disks, nothing is acknowledged, neither at first nor when the call is repeated.
    let mut cluster = Cluster::confirmed(3);
    cluster.stall_disk(2);
    cluster.stall_disk(3);
    for machine in [1, 2, 3] {
        let call = cluster.send_leave(machine, "a");
        let (_, reply) = cluster.await_reply(machine, call).expect("a reply");
        verify_that!(reply, eq(ServerReply::NotAcknowledged))?;
    }
    // Once the disks accept writes again, they also get what was lost.
    cluster.recover_disk(2);
    cluster.run(50);
    let call = cluster.send_leave(1, "a");
    verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
    verify_that!(cluster.shutdown_log_length(2), eq(1))
}

#[gtest]
fn a_registry_confirms_nothing_before_its_shutdown_log_is_read() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.kill(1);
    cluster.start_with_unread_log(1);
    cluster.run(1_000);
    cluster.open_session(1, 9, None, vec![]);
    verify_that!(cluster.query_confirmation(1, 9), some(eq(false)))?;
    cluster.open_shutdown_log(1);
    verify_that!(cluster.query_confirmation(1, 9), some(eq(true)))
}

#[gtest]
fn the_shutdown_log_drops_the_shutdowns_that_are_no_longer_remembered() -> googletest::Result<()> {
    const INSTANCES: usize = 600;
    const REMEMBERED_FOR_MS: u64 = 600_000;
    let mut cluster = Cluster::confirmed(1);
    for id in 0..INSTANCES {
        let id = format!("i-{id}");
        // Recorded as draining, then as removed.
        cluster.send_heartbeat(1, draining(&id, 1));
        cluster.run(5);
        cluster.send_leave(1, &id);
        cluster.run(5);
    }
    verify_that!(cluster.shutdown_log_length(1), eq(2 * INSTANCES))?;
    cluster.run(REMEMBERED_FOR_MS + 1_000);
    cluster.send_leave(1, "last");
    cluster.run(5);
    verify_that!(cluster.shutdown_log_length(1), eq(1))?;
    // A restart restores what the log contains.
    cluster.kill(1);
    cluster.start(1);
    verify_that!(cluster.status(1, "last"), some(eq(Status::Removed)))
}

/// Guards against a drain that is acknowledged only because the same server's leave was received before, although no
/// majority has recorded that leave.
#[gtest]
fn a_drain_after_a_leave_that_was_not_acknowledged_needs_a_majority() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.send_heartbeat(1, instance("a", 1));
    cluster.run(50);
    cluster.partition(1, &[2, 3]);
    let call = cluster.send_leave(1, "a");
    verify_that!(cluster.is_acknowledged(1, call), eq(false))?;
    let call = cluster.send_heartbeat(1, draining("a", 2));
    verify_that!(cluster.is_acknowledged(1, call), eq(false))?;
    cluster.heal(1, &[2, 3]);
    cluster.run(2_000);
    let call = cluster.send_heartbeat(1, draining("a", 3));
    verify_that!(cluster.is_acknowledged(1, call), eq(true))?;
    verify_that!(cluster.status(2, "a"), some(eq(Status::Removed)))
}
