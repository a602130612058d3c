//! Repair from proxies: registries that start with empty tables learn instances and drains from the proxies' sessions.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{draining, instance, Cluster, ProxyView, EVICTION_TIMEOUT_MS};
use emberpin_membership::instance::{Instance, Status};
use googletest::prelude::*;

#[gtest]
fn a_registry_that_has_just_started_evicts_no_server() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.kill(1);
    cluster.start(1);
    let started_at = cluster.now;
    let instances: Vec<Instance> = (0..10)
        .map(|number| instance(&format!("s-{number}"), 3))
        .collect();
    cluster.open_session(1, 9, None, instances);
    let mut view = ProxyView::default();
    view.apply(&cluster.take_messages(1, 9));
    verify_that!((view.is_complete, view.instances.len()), eq((false, 10)))?;
    cluster.run_with_session(1, 9, 2_000);
    cluster.open_session(1, 8, None, vec![]);
    let mut other = ProxyView::default();
    other.apply(&cluster.take_messages(1, 8));
    verify_that!(other.is_complete, eq(false))?;
    // Instances that proxies report are kept until the registry has been confirmed for a whole eviction timeout.
    while cluster.now < started_at + EVICTION_TIMEOUT_MS - 100 {
        cluster.run_with_session(1, 9, 500);
        view.apply(&cluster.take_messages(1, 9));
        verify_that!(view.instances.len(), eq(10))?;
    }
    cluster.run_with_session(1, 9, 2_500);
    view.apply(&cluster.take_messages(1, 9));
    verify_that!(view.instances.len(), eq(0))?;
    cluster.open_session(1, 10, None, vec![]);
    view.apply(&cluster.take_messages(1, 10));
    verify_that!(view.is_complete, eq(true))
}

#[gtest]
fn registries_that_lost_their_tables_learn_drains_from_proxies() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    for machine in 1..=3 {
        cluster.kill(machine);
    }
    for machine in 1..=3 {
        cluster.start(machine);
    }
    cluster.run(300);
    // A heartbeat that was sent before the drain arrives first.
    cluster.send_heartbeat(1, instance("a", 8));
    cluster.open_session(1, 9, None, vec![draining("a", 7), instance("b", 4)]);
    cluster.run(50);
    for machine in 1..=3 {
        verify_that!(cluster.status(machine, "a"), some(eq(Status::Draining)))?;
        verify_that!(cluster.status(machine, "b"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn a_proxy_cannot_remove_an_instance_that_the_registry_knows_as_up() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.send_heartbeat(1, instance("a", 5));
    cluster.open_session(
        1,
        9,
        None,
        vec![Instance {
            status: Status::Removed,
            ..instance("a", 5)
        }],
    );
    verify_that!(cluster.status(1, "a"), some(eq(Status::Up)))?;
    let mut view = ProxyView::default();
    view.apply(&cluster.take_messages(1, 9));
    verify_that!(view.instances.contains_key("a"), eq(true))
}

/// Guards against a registry without a disk that takes a server back from a proxy, although all other registries know of
/// its exit: they list only the exits of the last minute when they connect.
#[gtest]
fn an_exit_that_peers_know_is_not_undone_by_a_proxy_at_a_replaced_registry(
) -> googletest::Result<()> {
    const LONGER_THAN_PEERS_LIST_EXITS_MS: u64 = 61_000;
    let mut cluster = Cluster::confirmed(3);
    cluster.send_heartbeat(2, instance("a", 1));
    cluster.run(50);
    let call = cluster.send_leave(2, "a");
    verify_that!(cluster.is_acknowledged(2, call), eq(true))?;
    cluster.run(LONGER_THAN_PEERS_LIST_EXITS_MS);
    cluster.kill(1);
    cluster.wipe_disk(1);
    cluster.start(1);
    cluster.run(500);
    cluster.open_session(1, 9, None, vec![instance("a", 1)]);
    cluster.run(100);
    let mut view = ProxyView::default();
    view.apply(&cluster.take_messages(1, 9));
    verify_that!(cluster.status(1, "a"), some(eq(Status::Removed)))?;
    verify_that!(view.instances.get("a"), not(some(eq(&Status::Up))))
}
