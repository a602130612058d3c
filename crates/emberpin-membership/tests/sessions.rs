//! Sessions of proxies: snapshots and changes, and how proxies are counted.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, item, Cluster, ProxyView};
use emberpin_config::{ItemKind, Version};
use emberpin_membership::ids::Incarnation;
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::registry::Event;
use emberpin_membership::session::{Revision, ToProxy};
use googletest::prelude::*;

#[gtest]
fn a_session_resumes_from_its_revision_or_gets_a_snapshot() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.send_heartbeat(1, instance("a", 1));
    cluster.send_heartbeat(1, instance("b", 1));
    cluster.run(10);
    cluster.open_session(1, 1, None, vec![]);
    let mut view = ProxyView::default();
    view.apply(&cluster.take_messages(1, 1));
    verify_that!(
        (view.snapshot_count, view.instances.len(), view.is_complete),
        eq((1, 2, true))
    )?;
    cluster.close_session(1, 1);
    cluster.send_heartbeat(1, instance("c", 1));
    cluster.send_leave(1, "a");
    cluster.run(10);
    // The new session receives only the changes since then.
    cluster.open_session(1, 2, view.revision, vec![]);
    let messages = cluster.take_messages(1, 2);
    verify_that!(
        messages.iter().all(
            |message| matches!(message, ToProxy::Changes { instances, .. } if instances.len() == 2)
        ),
        eq(true)
    )?;
    view.apply(&messages);
    verify_that!(
        view.instances,
        eq(&ProxyView::live_instances(cluster.registry(1)))
    )?;
    // A proxy with a revision that is newer than the log, of another incarnation, or too old for the log gets a
    // snapshot.
    let revision = view.revision.expect("a revision");
    let future = Revision {
        number: revision.number + 1,
        ..revision
    };
    let other_incarnation = Revision {
        incarnation: Incarnation(revision.incarnation.0 + 1),
        ..revision
    };
    for (session, revision) in [(3, future), (4, other_incarnation)] {
        cluster.open_session(1, session, Some(revision), vec![]);
        verify_that!(
            matches!(
                cluster.take_messages(1, session)[0],
                ToProxy::Snapshot { .. }
            ),
            eq(true)
        )?;
    }
    for number in 0..emberpin_membership::change_log::CAPACITY {
        cluster.send_heartbeat(1, instance(&format!("x-{number}"), 1));
    }
    cluster.open_session(
        1,
        5,
        Some(Revision {
            number: revision.number - 1,
            ..revision
        }),
        vec![],
    );
    verify_that!(
        matches!(cluster.take_messages(1, 5)[0], ToProxy::Snapshot { .. }),
        eq(true)
    )
}

#[gtest]
fn a_proxy_that_reconnects_repeatedly_misses_no_change() -> googletest::Result<()> {
    for seed in 0..200 {
        let mut random = oorandom::Rand32::new(seed);
        let mut cluster = Cluster::confirmed(1);
        let (mut view, mut session, mut is_connected) = (ProxyView::default(), 0, false);
        let mut version = 0;
        for _ in 0..120 {
            match random.rand_range(0..8) {
                0 if is_connected => {
                    // Messages in flight are either lost with the connection, or were received before it closed.
                    let messages = cluster.take_messages(1, session);
                    if random.rand_range(0..2) == 0 {
                        view.apply(&messages);
                    }
                    cluster.close_session(1, session);
                    is_connected = false;
                }
                1 if !is_connected => {
                    session += 1;
                    cluster.open_session(1, session, view.revision, vec![]);
                    is_connected = true;
                }
                2 => {
                    version += 1;
                    let name = format!("r-{}", random.rand_range(0..4));
                    let body = (random.rand_range(0..3) > 0).then_some("{}");
                    cluster.handle_event(
                        1,
                        Event::Items(vec![item(ItemKind::Route, &name, version, body)]),
                    );
                }
                3 => _ = cluster.send_leave(1, &format!("s-{}", random.rand_range(0..30))),
                4 => cluster.run(5),
                _ => {
                    let seq = cluster.now;
                    cluster.send_heartbeat(
                        1,
                        instance(&format!("s-{}", random.rand_range(0..30)), seq),
                    );
                }
            }
            if is_connected {
                cluster.send_keep_alive(1, session);
            }
        }
        if !is_connected {
            session += 1;
            cluster.open_session(1, session, view.revision, vec![]);
        }
        cluster.run(20);
        view.apply(&cluster.take_messages(1, session));
        let registry = cluster.registry(1);
        verify_that!(
            (seed, &view.instances),
            eq((seed, &ProxyView::live_instances(registry)))
        )?;
        verify_that!(view.items.len(), eq(registry.item_count()))?;
    }
    Ok(())
}

#[gtest]
fn changes_of_one_batch_are_sent_in_one_message() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.open_session(1, 9, None, vec![]);
    cluster.run(20);
    _ = cluster.take_messages(1, 9);
    let items = (0..500)
        .map(|number| item(ItemKind::Route, &format!("r-{number}"), 1, Some("{}")))
        .collect();
    cluster.handle_event(1, Event::Items(items));
    for number in 0..20 {
        cluster.send_heartbeat(1, instance(&format!("s-{number}"), 1));
    }
    cluster.run(10);
    let messages: Vec<ToProxy> = cluster
        .take_messages(1, 9)
        .into_iter()
        .filter(|message| !matches!(message, ToProxy::Confirmation { .. }))
        .collect();
    verify_that!(messages.len(), eq(1))?;
    let ToProxy::Changes {
        items, instances, ..
    } = &messages[0]
    else {
        return fail!("no changes");
    };
    verify_that!((items.len(), instances.len()), eq((500, 20)))
}

#[gtest]
fn an_idle_session_is_closed() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.open_session(1, 1, None, vec![]);
    cluster.open_session(1, 2, None, vec![]);
    cluster.run_with_session(1, 2, 3_000);
    verify_that!(cluster.closed_sessions(1), eq(&[1].into()))
}

#[gtest]
fn a_proxy_that_lists_an_instance_with_a_wrong_status_is_sent_the_right_one(
) -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.open_session(1, 1, None, vec![]);
    let mut view = ProxyView::default();
    view.apply(&cluster.take_messages(1, 1));
    for status in [Status::Removed, Status::Draining] {
        let id = format!("{status:?}");
        cluster.send_heartbeat(
            1,
            Instance {
                status,
                ..instance(&id, 3)
            },
        );
        cluster.run(10);
        cluster.open_session(1, 2, None, vec![]);
        view.apply(&cluster.take_messages(1, 2));
        // The status is corrected both in a snapshot and in the changes of a resumed session.
        for (session, resume_from) in [(3, None), (4, view.revision)] {
            cluster.open_session(1, session, resume_from, vec![instance(&id, 1)]);
            let messages = cluster.take_messages(1, session);
            let is_corrected = messages.iter().any(|message| match message {
                ToProxy::Snapshot { instances, .. } | ToProxy::Changes { instances, .. } => {
                    instances
                        .iter()
                        .any(|instance| instance.id == id && instance.status == status)
                }
                ToProxy::SnapshotPart { .. } | ToProxy::Confirmation { .. } => false,
            });
            verify_that!((session, is_corrected), eq((session, true)))?;
        }
    }
    Ok(())
}

#[gtest]
fn proxies_are_counted_once_and_for_a_while_after_their_last_session() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    let proxy_count = |cluster: &mut Cluster| {
        let messages = cluster.take_messages(1, 1);
        messages.iter().rev().find_map(|message| match message {
            ToProxy::Confirmation { proxies, .. } => Some(*proxies),
            _ => None,
        })
    };
    // The session number stands for the proxy: proxy 2 has sessions with two registries, as all proxies have in
    // production.
    for (machine, session) in [(1, 1), (1, 2), (2, 2), (3, 3)] {
        cluster.open_session(machine, session, None, vec![]);
    }
    for _ in 0..4 {
        for (machine, session) in [(1, 1), (1, 2), (2, 2), (3, 3)] {
            cluster.send_keep_alive(machine, session);
        }
        cluster.run(500);
    }
    verify_that!(proxy_count(&mut cluster), some(eq(3)))?;
    cluster.close_session(3, 3);
    cluster.run_with_session(1, 1, 10_000);
    verify_that!(proxy_count(&mut cluster), some(eq(3)))?;
    cluster.run_with_session(1, 1, 35_000);
    verify_that!(proxy_count(&mut cluster), some(eq(1)))
}

#[gtest]
fn an_older_version_of_an_item_changes_nothing() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    let route = |version, body| Event::Items(vec![item(ItemKind::Route, "r", version, body)]);
    cluster.handle_event(1, route(7, Some("{\"a\":7}")));
    cluster.handle_event(1, route(6, Some("{\"a\":6}")));
    cluster.handle_event(1, route(7, None));
    cluster.open_session(1, 9, None, vec![]);
    let mut view = ProxyView::default();
    view.apply(&cluster.take_messages(1, 9));
    let bodies: Vec<_> = view
        .items
        .values()
        .map(|item| (item.version, item.body.as_deref()))
        .collect();
    verify_that!(bodies, eq(&vec![(Version(7), Some("{\"a\":7}"))]))
}
