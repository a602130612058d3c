//! Connections with malformed frames, an unsupported protocol version or another system: a store must reject them
//! without effect on other connections.

mod common;

use common::{nodes_in_subnet, run, service_patch, single_node, StoreNode, TEST_TIMEOUT};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::system_id::SystemId;
use emberpin_store::protocol::StoreReply;
use googletest::prelude::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Checks that the store closes a connection without sending anything more.
async fn expect_closed(stream: &mut TcpStream) {
    let read = timeout(TEST_TIMEOUT, stream.read(&mut [0; 1]))
        .await
        .expect("an end in time");
    expect_that!(read.unwrap_or(0), eq(0));
}

#[gtest]
fn a_malformed_frame_closes_its_connection_and_no_other() {
    run(async {
        let mut nodes = nodes_in_subnet(6, 3);
        nodes.iter_mut().for_each(StoreNode::bootstrap);
        for bytes in [&[0, 0, 0, 2, 9, 9][..], &[0xff; 64][..]] {
            let mut stream = nodes[0].connect().await;
            stream.write_all(bytes).await.expect("a connection");
            expect_closed(&mut stream).await;
        }
        expect_that!(nodes[0].patch(&service_patch("a", 1)).await, eq(200));
    });
}

#[gtest]
fn frames_of_the_previous_protocol_version_are_rejected_and_counted() {
    run(async {
        let mut node = single_node(15);
        node.bootstrap();
        let recorded = include_str!("../../emberpin-runtime/tests/fixtures/protocol-1.txt");
        let frames = recorded
            .lines()
            .filter_map(|line| line.strip_prefix("to-store "));
        let mut rejected = 0;
        for hex in frames {
            let digits = (0..hex.len()).step_by(2);
            let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
            let bytes: Vec<u8> = digits.map(byte).collect();
            let mut stream = node.connect_raw().await;
            stream.write_all(&bytes).await.expect("a connection");
            expect_closed(&mut stream).await;
            rejected += 1;
        }
        expect_that!(rejected, eq(17));
        expect_that!(node.patch(&service_patch("a", 1)).await, eq(200));
        expect_that!(node.get().await, not(contains_substring("\"b\"")));
        let rejected_peers = |reply| match reply {
            StoreReply::Status { rejected_peers, .. } => Some(rejected_peers),
            _ => None,
        };
        expect_that!(node.subscribe_until(rejected_peers).await, eq(rejected));
    });
}

/// Waits until a store knows the system that it belongs to, and returns the system's id.
async fn wait_for_system(node: &StoreNode) -> SystemId {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(system) = node
            .try_preamble()
            .await
            .and_then(|preamble| preamble.system)
        {
            return system;
        }
        assert!(Instant::now() < deadline, "{}: no system", node.ip);
        sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
fn a_store_rejects_peers_of_another_system_and_learns_its_own_when_it_joins() {
    run(async {
        let mut nodes = nodes_in_subnet(16, 4);
        nodes[..3].iter_mut().for_each(StoreNode::bootstrap);
        let own = wait_for_system(&nodes[0]).await;
        nodes[3].start();
        for node in &nodes {
            expect_that!(wait_for_system(node).await, eq(own));
        }
        let foreign = ProcessIdentity::new(1);
        foreign.set_system_if_unknown(SystemId::new(own.get() ^ 1).expect("a system"));
        let mut stream = nodes[3].connect_raw().await;
        let (mut reader, mut writer) = stream.split();
        expect_that!(
            foreign.handshake(&mut reader, &mut writer).await.is_err(),
            eq(true)
        );
        expect_that!(nodes[0].patch(&service_patch("a", 1)).await, eq(200));
        // The store must have persisted the id: no other store is running from which it could learn it.
        nodes[..3].iter_mut().for_each(StoreNode::kill);
        nodes[3].kill();
        nodes[3].start();
        expect_that!(wait_for_system(&nodes[3]).await, eq(own));
    });
}
