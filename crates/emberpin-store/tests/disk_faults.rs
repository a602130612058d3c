//! Stores on disks that are full, stalled, slow or damaged, or belong to another machine.

mod common;

use common::{nodes_in_subnet, run, service_patch, single_node, StoreNode};
use emberpin_store::protocol::{DiskState, RequestId, StoreReply, StoreRequest};
use googletest::prelude::*;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Number of services in each patch of [`batch_patch`].
const SERVICES_PER_BATCH: usize = 60;

/// Returns the body of a patch that sets [`SERVICES_PER_BATCH`] services, of about 12 KB.
fn batch_patch(number: u64) -> String {
    let service = service_patch("x", 1)
        .replace("{\"upsert\":{\"svcs\":[", "")
        .replace("]}}", "");
    let numbered_service =
        |nth| service.replace("\"x\"", &format!("\"s-{number}-{nth}-{}\"", "n".repeat(90)));
    let services: Vec<String> = (0..SERVICES_PER_BATCH).map(numbered_service).collect();
    format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", services.join(","))
}

/// Sends batches, numbered from `first`, until one is not acknowledged. Returns that batch's number and its response,
/// which is `None` if the connection ended without one.
async fn patch_until_rejected(node: &StoreNode, first: u64) -> (u64, Option<(u16, String)>) {
    let mut stream = node.connect().await;
    for number in first.. {
        let body = batch_patch(number).into_bytes();
        let request = StoreRequest::Patch {
            id: RequestId(number),
            body,
        };
        match node.try_call(&mut stream, request).await {
            Some((200, _)) => {}
            other => return (number, other),
        }
    }
    (first, None)
}

/// Checks that the configuration contains all services of these batches.
fn expect_batches(configuration: &str, numbers: impl Iterator<Item = u64>) {
    for number in numbers {
        let found = configuration.matches(&format!("\"s-{number}-")).count();
        expect_that!(found, eq(SERVICES_PER_BATCH), "batch {number}");
    }
}

#[gtest]
fn acknowledged_changes_survive_a_full_disk_and_changes_resume_with_free_space() {
    run(async {
        // With these limits, in blocks of 512 bytes, the file limit is reached at different offsets within a write.
        for blocks in [400, 411, 425, 438] {
            let mut node = single_node(8);
            node.bootstrap();
            expect_that!(node.patch(&batch_patch(0)).await, eq(200));
            node.kill();
            node.start_with_file_limit(blocks);
            let (rejected_batch, response) = patch_until_rejected(&node, 1).await;
            expect_that!(rejected_batch, gt(2));
            expect_that!(response, some(eq(&(503, "the disk is full".to_string()))));
            node.wait_for_disk(DiskState::Full).await;
            let mut stream = node.connect().await;
            let retry = StoreRequest::Patch {
                id: RequestId(9),
                body: batch_patch(rejected_batch).into_bytes(),
            };
            let rejected = node.try_call(&mut stream, retry).await;
            expect_that!(rejected, some(eq(&(503, "the disk is full".to_string()))));
            expect_that!(node.is_running(), eq(true));
            node.lift_file_limit();
            node.wait_for_disk(DiskState::Writable).await;
            expect_that!(node.patch(&batch_patch(rejected_batch)).await, eq(200));
            expect_that!(node.is_running(), eq(true));
            node.kill();
            node.start();
            expect_batches(&node.get().await, 0..=rejected_batch);
        }
    });
}

#[gtest]
fn acknowledged_changes_survive_a_kill_while_the_disk_is_full() {
    run(async {
        for blocks in [400, 425] {
            let mut node = single_node(11);
            node.bootstrap();
            expect_that!(node.patch(&batch_patch(0)).await, eq(200));
            node.kill();
            node.start_with_file_limit(blocks);
            let (rejected_batch, _) = patch_until_rejected(&node, 1).await;
            node.wait_for_disk(DiskState::Full).await;
            node.kill();
            node.start();
            expect_batches(&node.get().await, 0..rejected_batch);
        }
    });
}

#[gtest]
fn a_store_with_a_full_disk_learns_changes_and_votes_again_with_free_space() {
    run(async {
        let mut nodes = nodes_in_subnet(12, 3);
        nodes.iter_mut().for_each(StoreNode::bootstrap);
        expect_that!(nodes[0].patch(&batch_patch(0)).await, eq(200));
        nodes[0].kill();
        nodes[0].start_with_file_limit(200);
        for number in 1..20 {
            expect_that!(nodes[1].patch(&batch_patch(number)).await, eq(200));
        }
        nodes[0].wait_for_disk(DiskState::Full).await;
        let mut learned_services = 0;
        nodes[0]
            .subscribe_until(|reply| {
                if let StoreReply::Items { items } = reply {
                    learned_services += items
                        .iter()
                        .filter(|item| item.key.name.starts_with("s-"))
                        .count();
                }
                (learned_services == 20 * SERVICES_PER_BATCH).then_some(())
            })
            .await;
        nodes[0].lift_file_limit();
        nodes[0].wait_for_disk(DiskState::Writable).await;
        // Without node 2, nodes 0 and 1 are a majority only if node 0 votes again.
        nodes[2].kill();
        expect_that!(nodes[0].patch(&batch_patch(20)).await, eq(200));
        expect_that!(nodes[0].is_running(), eq(true));
    });
}

#[gtest]
fn a_stalled_disk_rejects_changes_and_delays_neither_reads_nor_other_stores() {
    run(async {
        let mut nodes = nodes_in_subnet(13, 3);
        nodes
            .iter_mut()
            .for_each(StoreNode::bootstrap_with_stallable_disk);
        expect_that!(nodes[0].patch(&service_patch("a", 1)).await, eq(200));
        fs::write(nodes[0].stall_file(), "").expect("a file");
        expect_that!(nodes[1].patch(&service_patch("b", 1)).await, eq(200));
        nodes[0].wait_for_disk(DiskState::Stalled).await;
        let learned_b = |reply| match reply {
            StoreReply::Items { items } => {
                items.iter().any(|item| item.key.name == "b").then_some(())
            }
            _ => None,
        };
        nodes[0].subscribe_until(learned_b).await;
        let mut stream = nodes[0].connect().await;
        let patch = StoreRequest::Patch {
            id: RequestId(1),
            body: service_patch("c", 1).into_bytes(),
        };
        let rejected = nodes[0].try_call(&mut stream, patch).await;
        expect_that!(
            rejected,
            some(eq(&(503, "the disk does not answer".to_string())))
        );
        expect_that!(nodes[0].get().await, contains_substring("\"name\":\"b\""));
        fs::remove_file(nodes[0].stall_file()).expect("a file");
        nodes[0].wait_for_disk(DiskState::Writable).await;
        expect_that!(nodes[0].patch(&service_patch("c", 1)).await, eq(200));
    });
}

#[gtest]
fn changes_are_accepted_when_each_sync_is_delayed_by_150_ms() {
    run(async {
        let mut nodes = nodes_in_subnet(14, 3);
        for node in &mut nodes {
            node.bootstrap_with_slow_syncs(Duration::from_millis(150));
        }
        for number in 0..5 {
            expect_that!(
                nodes[0].patch(&service_patch("a", 1 + number)).await,
                eq(200)
            );
        }
    });
}

#[gtest]
fn a_nearly_full_disk_rejects_changes_and_serves_reads() {
    run(async {
        let mut node = single_node(9);
        node.disk_limit_mib = Some(1);
        node.bootstrap();
        expect_that!(node.patch(&batch_patch(0)).await, eq(200));
        let (rejected_batch, response) = patch_until_rejected(&node, 1).await;
        expect_that!(
            response,
            some(eq(&(503, "the disk is nearly full".to_string())))
        );
        let configuration_read = node.get().await;
        expect_that!(
            (0..rejected_batch)
                .all(|number| configuration_read.contains(&format!("\"s-{number}-59-"))),
            eq(true)
        );
        node.kill();
        node.start();
        expect_that!(node.get().await, eq(&configuration_read));
    });
}

#[gtest]
fn a_store_with_a_damaged_disk_does_not_start() {
    run(async {
        let mut node = single_node(10);
        node.bootstrap();
        expect_that!(node.patch(&service_patch("a", 1)).await, eq(200));
        node.kill();
        let journal = node.data_dir().join("store/journals/0");
        let mut bytes = fs::read(&journal).expect("a journal");
        // Overwrites the tag at the start of the second batch.
        let end = bytes
            .windows(4)
            .position(|part| part == *b"FJL\x02")
            .expect("an end");
        bytes[end + 4] = 9;
        fs::write(&journal, &bytes).expect("a journal");
        node.start();
        expect_that!(node.wait_for_exit(), some(eq(2)));
        expect_that!(fs::read(&journal).expect("a journal") == bytes, eq(true));
    });
}

#[gtest]
fn a_store_with_the_disk_of_another_machine_does_not_start() {
    let mut nodes = nodes_in_subnet(4, 2);
    run(async {
        nodes[0].bootstrap();
        nodes[0]
            .subscribe_until(|reply| matches!(reply, StoreReply::Items { .. }).then_some(()))
            .await;
    });
    nodes[0].kill();
    copy_folder(&nodes[0].data_dir(), &nodes[1].data_dir());
    nodes[1].start();
    expect_that!(nodes[1].wait_for_exit(), some(eq(2)));
}

fn copy_folder(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a folder");
    for entry in fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        match entry.file_type().expect("a type").is_dir() {
            true => copy_folder(&entry.path(), &to.join(entry.file_name())),
            false => _ = fs::copy(entry.path(), to.join(entry.file_name())).expect("a copy"),
        }
    }
}
