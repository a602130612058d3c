//! Snapshots, which proxies fetch in parts.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{item, Cluster};
use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_membership::guards::Guards;
use emberpin_membership::registry::{Event, SNAPSHOT_PART_BYTES};
use emberpin_membership::session::{FromProxy, SyncProgress, ToProxy};
use googletest::prelude::*;
use std::collections::BTreeMap;

/// Fetches the parts of a snapshot until it is complete. Returns the number of parts that were requested.
fn fetch_all_parts(
    cluster: &mut Cluster,
    session: u64,
    progress: &mut Option<SyncProgress>,
    items: &mut BTreeMap<ItemKey, Version>,
) -> usize {
    let mut parts = 0;
    loop {
        for message in cluster.take_messages(1, session) {
            SyncProgress::advance(progress, &message);
            let (ToProxy::Snapshot {
                items: received, ..
            }
            | ToProxy::SnapshotPart {
                items: received, ..
            }
            | ToProxy::Changes {
                items: received, ..
            }) = message
            else {
                continue;
            };
            received
                .into_iter()
                .for_each(|item| _ = items.insert(item.key, item.version));
        }
        let next_part = progress
            .as_ref()
            .and_then(|progress| progress.next_part.clone());
        let Some(after) = next_part else { return parts };
        parts += 1;
        cluster.send_from_proxy(1, session, FromProxy::FetchSnapshotPart { after });
    }
}

/// Routes with the numbers `from..to`, each with a body of 300 bytes.
fn routes(from: usize, to: usize, version: u64) -> Vec<Item> {
    let body = "x".repeat(300);
    (from..to)
        .map(|number| {
            item(
                ItemKind::Route,
                &format!("r-{number:05}"),
                version,
                Some(&body),
            )
        })
        .collect()
}

/// The size of a part does not depend on the size of the table; the number of parts does.
#[gtest]
fn a_snapshot_is_sent_in_parts_of_bounded_size() -> googletest::Result<()> {
    for size in [100, 1_000, 10_000] {
        let mut cluster = Cluster::confirmed(1);
        cluster.handle_event(1, Event::Items(routes(0, size, 1)));
        cluster.run(20);
        cluster.open_session(1, 1, None, vec![]);
        let (mut progress, mut items) = (None, BTreeMap::new());
        let parts = fetch_all_parts(&mut cluster, 1, &mut progress, &mut items);
        println!("{size} routes: {} parts", parts + 1);
        // Each route counts 355 bytes: 48 of overhead, 7 of its name and 300 of its body.
        verify_that!(
            (items.len(), parts),
            eq((size, size * 355 / SNAPSHOT_PART_BYTES))
        )?;
    }
    Ok(())
}

/// Changes happen before and after the cursor, sessions end between parts, and at times there are more changes than the
/// log keeps. No item may be missed.
#[gtest]
fn a_snapshot_resumes_from_its_cursor_while_changes_go_on() -> googletest::Result<()> {
    for seed in 0..20 {
        let mut random = oorandom::Rand32::new(seed);
        let mut cluster = Cluster::new(1);
        cluster.snapshot_part_bytes = 2_000;
        cluster.restart_with_guards(1, Guards::default());
        cluster.run_until_confirmed();
        cluster.handle_event(1, Event::Items(routes(0, 100, 1)));
        cluster.run(20);
        let (mut progress, mut items, mut session, mut version) =
            (None::<SyncProgress>, BTreeMap::new(), 0, 1);
        let mut request_count = 0;
        while progress
            .as_ref()
            .and_then(SyncProgress::synced_revision)
            .is_none()
        {
            session += 1;
            let resume_from = progress.as_ref().map(|progress| progress.revision);
            cluster.open_session(1, session, resume_from, vec![]);
            for _ in 0..random.rand_range(0..6) {
                version += 1;
                let first = random.rand_range(0..110) as usize;
                let count = if random.rand_range(0..60) == 0 {
                    // More changes than the log keeps.
                    4_200
                } else {
                    1
                };
                cluster.handle_event(1, Event::Items(routes(first, first + count, version)));
                cluster.run(10);
                for message in cluster.take_messages(1, session) {
                    SyncProgress::advance(&mut progress, &message);
                    let (ToProxy::Snapshot {
                        items: received, ..
                    }
                    | ToProxy::SnapshotPart {
                        items: received, ..
                    }
                    | ToProxy::Changes {
                        items: received, ..
                    }) = message
                    else {
                        continue;
                    };
                    received
                        .into_iter()
                        .for_each(|item| _ = items.insert(item.key, item.version));
                }
                let Some(after) = progress
                    .as_ref()
                    .and_then(|progress| progress.next_part.clone())
                else {
                    break;
                };
                request_count += 1;
                cluster.send_from_proxy(1, session, FromProxy::FetchSnapshotPart { after });
            }
            cluster.close_session(1, session);
            _ = cluster.take_messages(1, session);
        }
        cluster.open_session(
            1,
            0,
            progress.as_ref().map(|progress| progress.revision),
            vec![],
        );
        cluster.run(20);
        fetch_all_parts(&mut cluster, 0, &mut progress, &mut items);
        let known_items: BTreeMap<ItemKey, Version> = cluster
            .registry(1)
            .items()
            .map(|item| (item.key.clone(), item.version))
            .collect();
        verify_that!(
            (seed, request_count > 0, items == known_items),
            eq((seed, true, true))
        )?;
    }
    Ok(())
}
