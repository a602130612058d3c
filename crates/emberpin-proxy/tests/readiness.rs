//! When the proxy is ready for new connections.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    confirmed, default_items, instance, unconfirmed, within_limit, Proxy, RawSession, Server,
    DEFAULT_BOUNDS,
};
use emberpin_config::Item;
use emberpin_membership::ids::Incarnation;
use emberpin_membership::instance::Instance;
use emberpin_membership::session::{Revision, SnapshotCursor, ToProxy};
use googletest::prelude::*;

const REVISION: Revision = Revision {
    incarnation: Incarnation(5),
    number: 12,
};

/// A configuration, and an instance at whose address no server listens.
fn snapshot_content() -> (Vec<Item>, Vec<Instance>) {
    let no_server = ([127, 0, 0, 1], 9).into();
    (default_items(), vec![instance("i-1", no_server)])
}

/// Changes that only repeat the registry's current revision.
fn no_changes() -> ToProxy {
    ToProxy::Changes {
        revision: REVISION,
        items: vec![],
        instances: vec![],
    }
}

/// Confirms the session until the proxy is ready.
async fn confirm_until_ready(proxy: &Proxy, session: &mut RawSession) {
    let confirming = async {
        loop {
            session.reply_to_keep_alive(confirmed(proxy.ip, 1)).await;
            if proxy.readiness().await == Some(200) {
                return;
            }
        }
    };
    within_limit("readiness", confirming).await;
}

/// Guards both conditions of readiness, and that the end of a session withdraws its synchronization.
#[tokio::test]
async fn the_proxy_is_ready_once_a_synced_session_is_confirmed() -> googletest::Result<()> {
    let server = Server::start().await;
    let proxy = Proxy::start(DEFAULT_BOUNDS).await;
    let mut session = proxy.accept_session().await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    // The session is confirmed, but has not received a whole snapshot.
    session.send(confirmed(proxy.ip, 1));
    session
        .send_changes(default_items(), vec![instance("i-1", server.address)])
        .await;
    session.send(confirmed(proxy.ip, 1));
    session.send_changes(vec![], vec![]).await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    // The snapshot is whole, but the registry is in contact with a minority.
    session
        .send_snapshot(default_items(), vec![instance("i-1", server.address)])
        .await;
    session.send(unconfirmed(proxy.ip, 1));
    session.send_changes(vec![], vec![]).await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    // The next sessions resume after that snapshot, and are not confirmed either. Several are tested, since the proxy
    // keeps two sessions, which connect in turn.
    for _ in 0..3 {
        drop(session);
        session = proxy.accept_session().await;
        session.send(unconfirmed(proxy.ip, 1));
        session.send_changes(vec![], vec![]).await;
        verify_that!(proxy.readiness().await, some(eq(503)))?;
    }
    session.send(confirmed(proxy.ip, 1));
    session.send_changes(vec![], vec![]).await;
    verify_that!(proxy.readiness().await, some(eq(200)))
}

/// Guards `SessionSync::received_changes` of a resumed session.
#[tokio::test]
async fn a_resumed_session_makes_the_proxy_ready_without_a_second_snapshot(
) -> googletest::Result<()> {
    let proxy = Proxy::start(DEFAULT_BOUNDS).await;
    // When the whole system starts, the registry has no majority yet: it sends a whole snapshot, but does not confirm
    // it.
    let mut first = RawSession::accept(&proxy.registry).await;
    verify_that!(first.resume_from, none())?;
    let (items, instances) = snapshot_content();
    first
        .send(ToProxy::Snapshot {
            revision: REVISION,
            items,
            instances,
            complete: false,
            next_part: None,
        })
        .await;
    first.reply_to_keep_alive(unconfirmed(proxy.ip, 1)).await;
    let (applied, _) = first.next_keep_alive().await;
    verify_that!(applied, some(eq(REVISION)))?;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    drop(first);
    // The next session resumes at that revision. Nothing has changed since, and the registry has a majority now.
    let mut second = RawSession::accept(&proxy.registry).await;
    verify_that!(second.resume_from, some(eq(REVISION)))?;
    second.send(no_changes()).await;
    confirm_until_ready(&proxy, &mut second).await;
    Ok(())
}

/// Guards the effect of `next_part` on readiness, and that a session continues the snapshot that an earlier one began.
#[tokio::test]
async fn the_proxy_is_not_ready_before_the_last_part_of_a_snapshot() -> googletest::Result<()> {
    let proxy = Proxy::start(DEFAULT_BOUNDS).await;
    let (items, instances) = snapshot_content();
    let cursor = SnapshotCursor::Item(items[0].key.clone());
    let mut first = RawSession::accept(&proxy.registry).await;
    first
        .send(ToProxy::Snapshot {
            revision: REVISION,
            items,
            instances: vec![],
            complete: true,
            next_part: Some(cursor.clone()),
        })
        .await;
    verify_that!(first.next_snapshot_request().await, eq(&cursor))?;
    first.reply_to_keep_alive(confirmed(proxy.ip, 1)).await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    drop(first);
    let mut second = RawSession::accept(&proxy.registry).await;
    verify_that!(second.resume_from, some(eq(REVISION)))?;
    second.send(no_changes()).await;
    verify_that!(second.next_snapshot_request().await, eq(&cursor))?;
    second.reply_to_keep_alive(confirmed(proxy.ip, 1)).await;
    verify_that!(proxy.readiness().await, some(eq(503)))?;
    second
        .send(ToProxy::SnapshotPart {
            items: vec![],
            instances,
            next_part: None,
        })
        .await;
    confirm_until_ready(&proxy, &mut second).await;
    Ok(())
}

/// Guards `has_whole_configuration`: a proxy that has just started must not respond with 404 on a route that may exist.
#[tokio::test]
async fn an_unknown_route_gets_503_until_the_whole_configuration_is_received(
) -> googletest::Result<()> {
    let proxy = Proxy::start(DEFAULT_BOUNDS).await;
    let (items, instances) = snapshot_content();
    let cursor = SnapshotCursor::Item(items[0].key.clone());
    let mut session = RawSession::accept(&proxy.registry).await;
    session
        .send(ToProxy::Snapshot {
            revision: REVISION,
            items,
            instances: vec![],
            complete: true,
            next_part: Some(cursor.clone()),
        })
        .await;
    verify_that!(session.next_snapshot_request().await, eq(&cursor))?;
    session.reply_to_keep_alive(confirmed(proxy.ip, 1)).await;
    let unknown = proxy.request("GET", "/unknown/a", "t1").await;
    verify_that!(unknown.status, eq(503))?;
    session
        .send(ToProxy::SnapshotPart {
            items: vec![],
            instances,
            next_part: None,
        })
        .await;
    confirm_until_ready(&proxy, &mut session).await;
    let unknown = proxy.request("GET", "/unknown/a", "t2").await;
    verify_that!(unknown.status, eq(404))?;
    Ok(())
}
