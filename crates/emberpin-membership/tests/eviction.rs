//! Eviction of servers whose heartbeats stop.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    instance, ip, Cluster, ProxyView, StoreState, EVICTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS,
};
use emberpin_membership::instance::Status;
use googletest::prelude::*;

#[gtest]
fn the_owner_evicts_a_server_whose_heartbeats_stop_and_replicates_the_eviction(
) -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(1, "a");
    cluster.add_server(1, "b");
    cluster.run(3_000);
    cluster.servers.retain(|server| server.instance.id == "b");
    cluster.run(4_000 - HEARTBEAT_INTERVAL_MS);
    verify_that!(cluster.status(2, "a"), some(eq(Status::Up)))?;
    cluster.run(EVICTION_TIMEOUT_MS + 600);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "a"), some(eq(Status::Removed)))?;
        verify_that!(cluster.status(machine, "b"), some(eq(Status::Up)))?;
    }
    // A heartbeat that merely arrives late does not revive the server; a newer one does, at all registries.
    let seq = cluster.entry(1, "a").instance(cluster.timestamp()).seq;
    cluster.send_heartbeat(2, instance("a", seq));
    verify_that!(cluster.status(2, "a"), some(eq(Status::Removed)))?;
    cluster.send_heartbeat(2, instance("a", seq + 1));
    cluster.run(50);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "a"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn an_unconfirmed_registry_evicts_no_server() -> googletest::Result<()> {
    // Unconfirmed because of a partition from the peers, a store that confirms nothing, or a store that does not
    // answer.
    for (is_partitioned, store) in [
        (true, StoreState::Confirming),
        (false, StoreState::Unconfirmed),
        (false, StoreState::Silent),
    ] {
        let mut cluster = Cluster::confirmed(3);
        cluster.add_server(1, "a");
        cluster.run(1_000);
        cluster.servers.clear();
        if is_partitioned {
            cluster.partition(1, &[2, 3]);
        }
        cluster.set_store(1, store);
        cluster.run(3 * EVICTION_TIMEOUT_MS);
        verify_that!(
            (is_partitioned, store, cluster.status(1, "a")),
            eq((is_partitioned, store, Some(Status::Up)))
        )?;
        // Once it is confirmed again, it waits for a whole eviction timeout, as heartbeats may have been delayed.
        cluster.heal(1, &[2, 3]);
        cluster.set_store(1, StoreState::Confirming);
        if !is_partitioned {
            cluster.run(EVICTION_TIMEOUT_MS - 200);
            verify_that!(
                (is_partitioned, store, cluster.status(1, "a")),
                eq((is_partitioned, store, Some(Status::Up)))
            )?;
        }
        cluster.run(EVICTION_TIMEOUT_MS + 3_000);
        verify_that!(
            (is_partitioned, store, cluster.status(1, "a")),
            eq((is_partitioned, store, Some(Status::Removed)))
        )?;
    }
    Ok(())
}

#[gtest]
fn a_registry_evicts_no_server_right_after_a_pause() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    for number in 0..5 {
        cluster.add_server(1, &format!("s-{number}"));
    }
    cluster.run(2_000);
    // It is the only registry, so only answers of its store from before the pause could confirm it.
    cluster.servers.clear();
    cluster.pause(1);
    cluster.run(2 * EVICTION_TIMEOUT_MS);
    cluster.resume(1);
    cluster.run(EVICTION_TIMEOUT_MS - 200);
    verify_that!(cluster.status(1, "s-0"), some(eq(Status::Up)))?;
    cluster.run(2_000);
    verify_that!(cluster.status(1, "s-0"), some(eq(Status::Removed)))
}

#[gtest]
fn servers_of_a_failed_registry_get_a_new_owner_or_are_evicted() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(1, "stays");
    cluster.add_server(1, "goes");
    cluster.run(2_000);
    cluster.kill(1);
    cluster
        .servers
        .retain(|server| server.instance.id == "stays");
    cluster.servers[0].target = 2;
    cluster.run(EVICTION_TIMEOUT_MS - 700);
    verify_that!(cluster.status(3, "goes"), some(eq(Status::Up)))?;
    cluster.run(1_500);
    for machine in [2, 3] {
        verify_that!(cluster.status(machine, "goes"), some(eq(Status::Removed)))?;
        verify_that!(cluster.status(machine, "stays"), some(eq(Status::Up)))?;
        let owner = cluster.entry(machine, "stays").owner;
        verify_that!(owner, some(eq(ip(2))))?;
    }
    Ok(())
}

#[gtest]
fn an_eviction_does_not_reach_registries_in_contact_with_the_owner() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(1, "a");
    cluster.run(3_000);
    cluster.open_session(2, 9, None, vec![]);
    cluster.partition(1, &[3]);
    let mut view = ProxyView::default();
    for _ in 0..30 {
        cluster.run_with_session(2, 9, 500);
        view.apply(&cluster.take_messages(2, 9));
        verify_that!(view.instances.contains_key("a"), eq(true))?;
    }
    verify_that!(cluster.status(3, "a"), some(eq(Status::Removed)))?;
    cluster.heal(1, &[3]);
    cluster.run(2_000);
    verify_that!(cluster.status(3, "a"), some(eq(Status::Up)))
}

#[gtest]
fn servers_that_fail_while_their_owner_loses_its_table_are_evicted() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(1, "a");
    cluster.run(2_000);
    cluster.servers.clear();
    cluster.kill(1);
    cluster.start(1);
    cluster.run(2 * EVICTION_TIMEOUT_MS + 2_000);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "a"), some(eq(Status::Removed)))?;
    }
    Ok(())
}

#[gtest]
fn servers_of_a_registry_that_was_paused_are_up_again() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(1, "a");
    cluster.run(2_000);
    cluster.pause(1);
    cluster.run(EVICTION_TIMEOUT_MS + 2_000);
    verify_that!(cluster.status(2, "a"), some(eq(Status::Removed)))?;
    // The registry did not notice the pause of its process: it considers the server up, as before the pause.
    cluster.resume(1);
    cluster.run(2 * HEARTBEAT_INTERVAL_MS);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "a"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn a_server_that_its_owner_no_longer_knows_is_evicted() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(1, "a");
    cluster.run(2 * EVICTION_TIMEOUT_MS);
    // The server moves to another registry, which has no contact with the third one. Then the server fails.
    cluster.partition(2, &[3]);
    cluster.run(2_000);
    cluster.servers[0].target = 2;
    cluster.run(2_000);
    cluster.servers.clear();
    cluster.run(1_500);
    verify_that!(cluster.status(3, "a"), some(eq(Status::Up)))?;
    cluster.run(2 * EVICTION_TIMEOUT_MS);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "a"), some(eq(Status::Removed)))?;
    }
    Ok(())
}
