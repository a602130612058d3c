//! Replication of changes on three stores, with retries, restarts, and the loss of a disk.

mod common;

use common::{nodes_in_subnet, run, service_patch, StoreNode};
use emberpin_config::{Item, ItemKind, Version};
use emberpin_consensus::EvacuationChange;
use emberpin_store::protocol::{RequestId, StoreReply, StoreRequest};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use tokio::time::Instant;

/// Sends a request without retries, and returns the status of the response; `None` if there is none.
async fn status_once(node: &StoreNode, request: StoreRequest) -> Option<u16> {
    let mut stream = node.connect().await;
    let response = node.try_call(&mut stream, request).await;
    response.map(|(status, _)| status)
}

#[gtest]
fn a_change_reaches_all_stores_and_survives_a_restart_of_all() {
    run(async {
        let mut nodes = nodes_in_subnet(1, 3);
        nodes.iter_mut().for_each(StoreNode::bootstrap);
        expect_that!(nodes[0].patch(&service_patch("a", 7)).await, eq(200));
        expect_that!(nodes[1].patch(&service_patch("a", 7)).await, eq(200));
        expect_that!(nodes[2].patch(&service_patch("a", 6)).await, eq(409));
        expect_that!(nodes[2].patch("{\"upsert\":").await, eq(400));
        let evacuate = |zone: &str, version| StoreRequest::ChangeEvacuation {
            id: RequestId(1),
            zone: zone.into(),
            change: EvacuationChange::Begin,
            precondition: Version(version),
        };
        expect_that!(nodes[1].call(evacuate("z2", 0)).await.0, eq(200));
        let unknown_zone = evacuate("z9", 0);
        let request_of_an_earlier_build = StoreRequest::Evacuate {
            id: RequestId(1),
            zone: "z2".into(),
            begin: false,
        };
        expect_that!(
            status_once(&nodes[1], request_of_an_earlier_build).await,
            some(eq(503))
        );
        expect_that!(nodes[1].call(unknown_zone).await.0, eq(404));
        for node in &nodes {
            let mut received_items: Vec<Item> = Vec::new();
            node.subscribe_until(|reply| {
                if let StoreReply::Items { items } = reply {
                    received_items.extend(items);
                }
                let has = |kind| {
                    received_items
                        .iter()
                        .any(|item| item.key.kind == kind && item.body.is_some())
                };
                (has(ItemKind::Service) && has(ItemKind::Evacuation)).then_some(())
            })
            .await;
        }
        nodes.iter_mut().for_each(StoreNode::kill);
        nodes.iter_mut().for_each(StoreNode::start);
        expect_that!(nodes[2].get().await, contains_substring("\"name\":\"a\""));
        expect_that!(nodes[0].call(evacuate("z2", 0)).await.0, eq(200));
        expect_that!(
            status_once(&nodes[0], evacuate("z2", 7)).await,
            some(eq(503))
        );
    });
}

#[gtest]
fn an_acknowledged_change_survives_a_lost_disk() {
    run(async {
        let mut nodes = nodes_in_subnet(2, 3);
        nodes.iter_mut().for_each(StoreNode::bootstrap);
        // A store that is killed before its first sync would count as a second lost disk, and only one is tolerated.
        let all: Vec<Ipv4Addr> = nodes.iter().map(|node| node.ip).collect();
        for node in &nodes {
            node.wait_for_voters(&all).await;
        }
        expect_that!(nodes[0].patch(&service_patch("a", 1)).await, eq(200));
        nodes[2].kill();
        expect_that!(nodes[0].patch(&service_patch("b", 1)).await, eq(200));
        nodes[0].kill_and_wipe_disk();
        nodes[1].kill();
        nodes.iter_mut().for_each(StoreNode::start);
        expect_that!(nodes[0].get().await, contains_substring("\"name\":\"b\""));
        expect_that!(nodes[2].get().await, contains_substring("\"name\":\"b\""));
    });
}

/// Sends the accepted patches again to all nodes, which must acknowledge them, and patches with other contents for the
/// same versions, which the nodes must reject.
async fn expect_retries_acknowledged_and_conflicts_rejected(nodes: &[StoreNode]) {
    let conflict = service_patch("x", 5).replace("\"maxconn\":9", "\"maxconn\":8");
    let conflict_with_another_service = conflict.replace(
        "}]}}",
        &format!(
            "}},{}",
            service_patch("y", 1).split_once('[').expect("a list").1
        ),
    );
    let removal = "{\"remove\":{\"svcs\":[{\"name\":\"x\",\"ver\":7}]}}";
    for node in nodes {
        for patch in [&service_patch("x", 5), &service_patch("x", 6), removal] {
            expect_that!(node.patch(patch).await, eq(200), "{patch} at {}", node.ip);
        }
        for patch in [&conflict, &conflict_with_another_service] {
            expect_that!(node.patch(patch).await, eq(409), "{patch} at {}", node.ip);
        }
    }
}

#[gtest]
fn a_retry_is_acknowledged_and_conflicting_contents_are_rejected_after_later_changes() {
    run(async {
        let mut nodes = nodes_in_subnet(17, 3);
        nodes.iter_mut().for_each(StoreNode::bootstrap);
        expect_that!(nodes[0].patch(&service_patch("x", 5)).await, eq(200));
        expect_that!(nodes[1].patch(&service_patch("x", 6)).await, eq(200));
        expect_retries_acknowledged_and_conflicts_rejected(&nodes).await;
        nodes.iter_mut().for_each(StoreNode::kill);
        nodes.iter_mut().for_each(StoreNode::start);
        expect_retries_acknowledged_and_conflicts_rejected(&nodes).await;
        nodes[2].kill_and_wipe_disk();
        nodes[2].start();
        expect_retries_acknowledged_and_conflicts_rejected(&nodes).await;
        // Histories are internal to stores and not sent to subscribers.
        let items = nodes[1].subscribe_until(|reply| match reply {
            StoreReply::Items { items } => Some(items),
            _ => None,
        });
        let items = items.await;
        expect_that!(items.iter().any(|item| item.key.name == "x"), eq(true));
        expect_that!(
            items.iter().any(|item| item.key.kind == ItemKind::History),
            eq(false)
        );
    });
}

#[gtest]
fn a_first_patch_with_many_routes_is_applied_completely() {
    run(async {
        let mut nodes = nodes_in_subnet(5, 3);
        nodes.iter_mut().for_each(StoreNode::bootstrap);
        let locs: Vec<String> = (0..800)
            .map(|number| {
                format!(
                    "{{\"name\":\"r-{number}\",\"pfx\":\"/p{number}/\",\"type\":\"readonly\",\"timeout\":\"1500ms\",\
                     \"target_time\":\"250ms\",\"prio\":2,\"svc\":\"a\",\"tries\":2,\"ver\":7}}"
                )
            })
            .collect();
        let routes = format!(
            ",\"vhosts\":[{{\"hostname\":\"h.example\",\"locs\":[{}]}}]}}}}",
            locs.join(",")
        );
        let body = service_patch("a", 7).replace("]}}", &format!("]{routes}"));
        let began = Instant::now();
        expect_that!(nodes[1].patch(&body).await, eq(200));
        println!("{} bytes accepted in {:?}", body.len(), began.elapsed());
        let began = Instant::now();
        expect_that!(nodes[1].patch(&service_patch("b", 8)).await, eq(200));
        println!("one more item accepted in {:?}", began.elapsed());
        for node in &nodes {
            let configuration = node.get().await;
            expect_that!(configuration.matches("\"name\":\"r-").count(), eq(800));
        }
    });
}
