//! Store failover: a registry must use another store while the one on its machine is down, does not respond, has a full
//! disk, or speaks too old a version of the protocol.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    call, call_once_confirmed, first_item, item, loopback, FakeStore, ProxySession,
    RegistryProcess, STORE_PORT, TEST_TIMEOUT,
};
use emberpin_config::{Item, ItemKind, Version};
use emberpin_membership::session::ToProxy;
use emberpin_runtime::protocol_version::ProtocolVersion;
use emberpin_store::protocol::{DiskState, DiskStatus};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const FULL_DISK: DiskStatus = DiskStatus {
    state: DiskState::Full,
    used_bytes: 90,
    limit_bytes: 100,
};

fn service(version: u64) -> Item {
    item(ItemKind::Service, "svc-a", version, Some("{}"))
}

#[tokio::test]
async fn another_voters_store_replaces_a_local_store_that_is_down() -> googletest::Result<()> {
    let (local, other) = (loopback(6, 1), loopback(6, 2));
    FakeStore::new(&[other])
        .with_items(vec![service(7)])
        .serve(other);
    let _registry = RegistryProcess::start(local, &[local, other]);
    let mut proxy = ProxySession::open(local).await;
    let first = proxy.wait_for(first_item).await;
    verify_that!(first.key.name.as_str(), eq("svc-a"))?;
    let (status, _) = call_once_confirmed(local, "GET", "/config/get", "").await;
    verify_that!(status, eq(200))?;
    let called_at = Instant::now();
    let (status, response) = call(local, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, response.ends_with("patch of 2 bytes")),
        eq((200, true))
    )?;
    verify_that!(called_at.elapsed(), lt(Duration::from_millis(700)))?;
    // The local store is started, and must replace the fallback: its item is newer.
    FakeStore::new(&[other])
        .with_items(vec![service(8)])
        .serve(local);
    let newer = |message: &ToProxy| first_item(message).filter(|item| item.version == Version(8));
    proxy.wait_for(newer).await;
    Ok(())
}

#[tokio::test]
async fn a_store_that_accepts_connections_and_never_responds_is_skipped() -> googletest::Result<()>
{
    let (local, other) = (loopback(8, 1), loopback(8, 2));
    let _silent_listener = tokio::net::TcpListener::bind((local, STORE_PORT)).await?;
    FakeStore::new(&[other])
        .with_items(vec![service(7)])
        .serve(other);
    let _registry = RegistryProcess::start(local, &[local, other]);
    let mut proxy = ProxySession::open(local).await;
    // The first item shows that the local store has timed out and the other store is subscribed to.
    proxy.wait_for(first_item).await;
    let (status, response) =
        call_once_confirmed(local, "POST", "/evac/north/finish?evac-version=0", "").await;
    verify_that!((status, response.ends_with("north End 0")), eq((200, true)))
}

#[tokio::test]
async fn calls_skip_a_store_with_a_full_disk_and_the_status_reports_it() -> googletest::Result<()> {
    let (local, other) = (loopback(12, 1), loopback(12, 2));
    FakeStore::new(&[local, other])
        .with_disk(FULL_DISK)
        .serve(local);
    FakeStore::new(&[local, other]).serve(other);
    let _registry = RegistryProcess::start(local, &[local, other]);
    let mut proxy = ProxySession::open(local).await;
    proxy.wait_for_message().await;
    let (status, response) = call_once_confirmed(local, "POST", "/config/patch", "{}").await;
    verify_that!(
        (status, response.ends_with("patch of 2 bytes")),
        eq((200, true))
    )?;
    let (status, _) = call(local, "GET", "/config/get", "").await;
    verify_that!(status, eq(200))?;
    let reported = async {
        loop {
            let (_, response) = call(local, "GET", "/status", "").await;
            if response.contains("\"disk\":{\"state\":\"full\",\"used\":90,\"of\":100}") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    verify_that!(
        tokio::time::timeout(TEST_TIMEOUT, reported).await,
        ok(anything())
    )
}

#[tokio::test]
async fn a_call_that_every_store_rejects_is_answered_with_the_reason() -> googletest::Result<()> {
    let local = loopback(13, 1);
    FakeStore::new(&[local]).with_disk(FULL_DISK).serve(local);
    let _registry = RegistryProcess::start(local, &[local]);
    ProxySession::open(local).await.wait_for_message().await;
    let (status, response) = call_once_confirmed(local, "POST", "/config/patch", "{}").await;
    verify_that!(status, eq(503))?;
    verify_that!(response, contains_substring("patch of 2 bytes"))
}

#[tokio::test]
async fn an_evacuation_goes_to_a_store_that_checks_versions_and_other_calls_to_any(
) -> googletest::Result<()> {
    let (local, other) = (loopback(34, 1), loopback(34, 2));
    FakeStore::new(&[local, other])
        .with_newest_version(ProtocolVersion::V2)
        .serve(local);
    let _registry = RegistryProcess::start(local, &[local, other]);
    ProxySession::open(local).await.wait_for_message().await;
    let finish = "/evac/north/finish?evac-version=0";
    let (status, _) = call_once_confirmed(local, "POST", "/config/patch", "{}").await;
    verify_that!(status, eq(200))?;
    // The only store speaks version 2, in which changes of an evacuation have no precondition. It must not be used.
    let (status, _) = call(local, "POST", finish, "").await;
    verify_that!(status, eq(503))?;
    FakeStore::new(&[local, other]).serve(other);
    let (status, response) = call_once_confirmed(local, "POST", finish, "").await;
    verify_that!((status, response.ends_with("north End 0")), eq((200, true)))
}
