//! Heartbeats of servers: they must reach proxies, and a drain must be acknowledged only once a majority of registries
//! has it.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    call, first_changed_instance, first_item, heartbeat, item, loopback, FakeStore, ProxySession,
    RegistryProcess,
};
use emberpin_config::ItemKind;
use emberpin_membership::instance::Status;
use emberpin_membership::session::ToProxy;
use googletest::prelude::*;

#[tokio::test]
async fn heartbeats_reach_proxies_and_operator_calls_reach_the_store() -> googletest::Result<()> {
    let local = loopback(1, 1);
    let service = item(ItemKind::Service, "svc-a", 7, Some("{\"warmup\":\"2s\"}"));
    FakeStore::new(&[local])
        .with_items(vec![service])
        .serve(local);
    let _registry = RegistryProcess::start(local, &[local]);
    let mut proxy = ProxySession::open(local).await;
    let service = proxy.wait_for(first_item).await;
    verify_that!(service.key.name.as_str(), eq("svc-a"))?;
    let (status, response) = call(
        local,
        "POST",
        "/instances/i-1/heartbeat",
        &heartbeat("svc-a", 8080, "up", 1),
    )
    .await;
    verify_that!(status, eq(200))?;
    verify_that!(
        response,
        contains_substring("{\"hb_addr\":\"127.77.1.1:8649\"}")
    )?;
    let instance = proxy.wait_for(first_changed_instance).await;
    verify_that!(
        (instance.id.as_str(), instance.status, instance.slots),
        eq(("i-1", Status::Up, 4))
    )?;
    let (status, response) = call(local, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, response.ends_with("patch of 2 bytes")),
        eq((200, true))
    )?;
    let (status, response) = call(local, "GET", "/config/get", "").await;
    verify_that!(
        (status, response.contains("application/json")),
        eq((200, true))
    )?;
    verify_that!(response, ends_with("{\"svcs\":[]}"))?;
    let path = "/evac/north/begin?evac-version=0";
    let (status, response) = call(local, "POST", path, "").await;
    verify_that!(
        (status, response.ends_with("north Begin 0")),
        eq((200, true))
    )?;
    let (status, response) = call(local, "POST", "/instances/i-1/leave", "").await;
    verify_that!(
        (status, response.contains("content-length: 0")),
        eq((200, true))
    )?;
    let removed = proxy.wait_for(first_changed_instance).await;
    verify_that!(
        (removed.id.as_str(), removed.status),
        eq(("i-1", Status::Removed))
    )?;
    proxy.wait_until_confirmed().await;
    let (status, response) = call(local, "GET", "/status", "").await;
    verify_that!(
        (status, response.contains("\"status\":\"gone\"")),
        eq((200, true))
    )?;
    verify_that!(response, contains_substring("\"settled\":true"))
}

#[tokio::test]
async fn a_drain_is_acknowledged_only_by_a_majority_of_registries() -> googletest::Result<()> {
    let machines = [loopback(3, 1), loopback(3, 2), loopback(3, 3)];
    for machine in machines {
        FakeStore::new(&machines).serve(machine);
    }
    let first_registry = RegistryProcess::start(machines[0], &machines);
    let (status, _) = call(
        machines[0],
        "POST",
        "/instances/i-1/heartbeat",
        &heartbeat("a", 80, "up", 1),
    )
    .await;
    verify_that!(status, eq(200))?;
    // One registry of three is no majority, so it must not acknowledge the drain.
    let (status, _) = call(
        machines[0],
        "POST",
        "/instances/i-1/heartbeat",
        &heartbeat("a", 80, "drain", 2),
    )
    .await;
    verify_that!(status, eq(503))?;
    let _second_registry = RegistryProcess::start(machines[1], &machines);
    let mut proxy = ProxySession::open(machines[1]).await;
    let draining = |message: &ToProxy| match message {
        ToProxy::Snapshot { instances, .. } | ToProxy::Changes { instances, .. } => instances
            .iter()
            .any(|instance| instance.id == "i-1" && instance.status == Status::Draining)
            .then_some(()),
        ToProxy::SnapshotPart { .. } | ToProxy::Confirmation { .. } => None,
    };
    proxy.wait_for(draining).await;
    let (status, _) = call(
        machines[0],
        "POST",
        "/instances/i-1/heartbeat",
        &heartbeat("a", 80, "drain", 3),
    )
    .await;
    verify_that!(status, eq(200))?;
    // The registry that acknowledged the drain is killed; the other one must still have it.
    drop(first_registry);
    let (_, response) = call(machines[1], "GET", "/status", "").await;
    verify_that!(response, contains_substring("\"status\":\"drain\""))
}
