//! Messages from a store to registries of the previous protocol version.

mod common;

use common::{run, service_patch, single_node, StoreNode, TEST_TIMEOUT};
use emberpin_config::ItemKind;
use emberpin_runtime::frames;
use emberpin_runtime::protocol_version::ProtocolVersion;
use emberpin_store::protocol::{StoreReply, StoreRequest, ToStore};
use googletest::prelude::*;
use tokio::time::timeout;

/// Number of services, enough for several batches of items.
const SERVICE_COUNT: usize = 600;

/// Subscribes with this protocol version, and returns the number of services in each message before the first status.
async fn services_in_first_messages(node: &StoreNode, version: ProtocolVersion) -> Vec<usize> {
    let mut stream = node.connect_with(version).await;
    frames::write(&mut stream, &ToStore::Request(StoreRequest::Subscribe))
        .await
        .expect("a store that reads");
    let mut counts = Vec::new();
    loop {
        let reply = timeout(TEST_TIMEOUT, frames::read(&mut stream)).await;
        match reply.expect("a reply in time").expect("a reply") {
            StoreReply::Items { items } => {
                let is_service = |kind: ItemKind| kind == ItemKind::Service;
                counts.push(
                    items
                        .iter()
                        .filter(|item| is_service(item.key.kind))
                        .count(),
                );
            }
            _ => return counts,
        }
    }
}

#[gtest]
fn a_subscriber_of_version_2_is_sent_all_items_in_one_message() {
    run(async {
        let mut node = single_node(23);
        node.bootstrap();
        for number in 0..SERVICE_COUNT {
            let patch = service_patch(&format!("service-{number}"), 1);
            expect_that!(node.patch(&patch).await, eq(200));
        }
        let counts = services_in_first_messages(&node, ProtocolVersion::V2).await;
        expect_that!(counts, eq(&vec![SERVICE_COUNT]));
        let counts = services_in_first_messages(&node, ProtocolVersion::V3).await;
        expect_that!(counts.len(), gt(1));
        expect_that!(counts.iter().sum::<usize>(), eq(SERVICE_COUNT));
    });
}
