//! Sessions of proxies: a slow reader or an unreadable frame must affect only its own session, and new proxies must
//! catch up quickly.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    call, connect, first_item, heartbeat, item, loopback, FakeStore, ProxySession, RegistryProcess,
    REGISTRY_PORT, TEST_TIMEOUT,
};
use emberpin_config::ItemKind;
use emberpin_membership::session::ToProxy;
use emberpin_runtime::identity::ProcessIdentity;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test]
async fn a_proxy_that_reads_slowly_is_disconnected_and_delays_no_other() -> googletest::Result<()> {
    let local = loopback(7, 1);
    // The snapshot is larger than the socket buffers.
    let body = "x".repeat(7 << 20);
    FakeStore::new(&[local])
        .with_items(vec![item(ItemKind::Route, "large", 1, Some(&body))])
        .serve(local);
    let _registry = RegistryProcess::start(local, &[local]);
    let mut other = ProxySession::open(local).await;
    other.wait_for(first_item).await;
    // The slow proxy keeps sending keep-alives, but reads more slowly than messages are queued for it.
    let slow = tokio::spawn(ProxySession::open(local).await.read_slowly());
    let mut number = 0;
    while !slow.is_finished() {
        number += 1;
        let id = format!("s-{number}");
        let path = format!("/instances/{id}/heartbeat");
        let called_at = Instant::now();
        let (status, _) = call(
            local,
            "POST",
            &path,
            &heartbeat("a", 1000 + number, "up", 1),
        )
        .await;
        verify_that!(status, eq(200))?;
        let has_instance = |message: &ToProxy| match message {
            ToProxy::Changes { instances, .. } => instances
                .iter()
                .any(|instance| instance.id == id)
                .then_some(()),
            _ => None,
        };
        other.wait_for(has_instance).await;
        verify_that!(called_at.elapsed(), lt(Duration::from_millis(500)))?;
        verify_that!(number, lt(2_000))?;
    }
    Ok(())
}

#[tokio::test]
async fn an_unreadable_frame_closes_only_its_own_connection() -> googletest::Result<()> {
    let local = loopback(4, 1);
    let _registry = RegistryProcess::start(local, &[local]);
    let mut proxy = ProxySession::open(local).await;
    let mut stream = connect(local, REGISTRY_PORT).await;
    let (mut reader, mut writer) = stream.split();
    ProcessIdentity::new(1)
        .handshake(&mut reader, &mut writer)
        .await
        .expect("handshake");
    stream.write_all(&[0, 0, 0, 2, 99, 99]).await?;
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await;
    verify_that!(ended.is_ok(), eq(true))?;
    verify_that!(rest, is_empty())?;
    proxy
        .wait_for(|message| matches!(message, ToProxy::Confirmation { .. }).then_some(()))
        .await;
    let (_, response) = call(local, "GET", "/status", "").await;
    verify_that!(response, contains_substring("\"unreadable\":1"))
}

/// For each size of the configuration, a new proxy must receive every item within two seconds. The time is printed.
#[tokio::test]
async fn a_new_proxy_catches_up_while_changes_continue() -> googletest::Result<()> {
    for (machine, size) in [(1, 100), (2, 1_000), (3, 10_000)] {
        let local = loopback(11, machine);
        let body = "x".repeat(300);
        let routes = (0..size)
            .map(|number| item(ItemKind::Route, &format!("r-{number:05}"), 1, Some(&body)));
        FakeStore::new(&[local])
            .with_items(routes.collect())
            .serve(local);
        let _registry = RegistryProcess::start(local, &[local]);
        let mut first = ProxySession::open(local).await;
        first.fetch_items(size).await;
        let changes = tokio::spawn(send_heartbeats_of_new_instances(local));
        let opened_at = Instant::now();
        let mut proxy = ProxySession::open(local).await;
        let parts = proxy.fetch_items(size).await;
        let took = opened_at.elapsed();
        println!("{size} routes in {parts} parts after {took:?}");
        changes.abort();
        verify_that!(took, lt(Duration::from_secs(2)))?;
    }
    Ok(())
}

/// Sends one heartbeat after the other, each of a new instance, until one is not acknowledged.
async fn send_heartbeats_of_new_instances(local: Ipv4Addr) {
    for number in 0.. {
        let path = format!("/instances/s-{number}/heartbeat");
        let body = heartbeat("a", 1000 + number, "up", 1);
        if call(local, "POST", &path, &body).await.0 != 200 {
            return;
        }
    }
}
