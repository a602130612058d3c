//! Changes of the roster: the replacement of a voter that was killed, and the departure of a store on SIGTERM.

mod common;

use common::{nodes_in_subnet, run, service_patch, StoreNode};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;

#[gtest]
fn a_new_store_replaces_a_voter_that_was_killed() {
    run(async {
        let mut nodes = nodes_in_subnet(3, 4);
        nodes[..3].iter_mut().for_each(StoreNode::bootstrap);
        expect_that!(nodes[0].patch(&service_patch("a", 1)).await, eq(200));
        nodes[1].kill();
        nodes[3].start();
        let voters = [nodes[0].ip, nodes[2].ip, nodes[3].ip];
        nodes[3].wait_for_voters(&voters).await;
        nodes[2].kill();
        expect_that!(nodes[3].patch(&service_patch("b", 1)).await, eq(200));
        expect_that!(nodes[0].get().await, contains_substring("\"name\":\"b\""));
    });
}

#[gtest]
fn a_terminated_store_leaves_the_roster_if_enough_voters_remain() {
    run(async {
        let mut nodes = nodes_in_subnet(7, 4);
        nodes[..3].iter_mut().for_each(StoreNode::bootstrap);
        expect_that!(nodes[0].patch(&service_patch("a", 1)).await, eq(200));
        nodes[3].start();
        let all: Vec<Ipv4Addr> = nodes.iter().map(|node| node.ip).collect();
        nodes[3].wait_for_voters(&all).await;
        // A store leaves only if three voters remain, so it must know of the new voter first.
        nodes[1].wait_for_voters(&all).await;
        expect_that!(nodes[1].terminate(), some(eq(0)));
        // The store must leave by itself, well before the others would evict it after 12 s without messages.
        let terminated = Instant::now();
        nodes[3].wait_for_voters(&[all[0], all[2], all[3]]).await;
        expect_that!(terminated.elapsed(), lt(Duration::from_secs(9)));
        expect_that!(nodes[0].terminate(), some(eq(0)));
        nodes[3].wait_for_voters(&[all[0], all[2], all[3]]).await;
        expect_that!(nodes[3].patch(&service_patch("b", 1)).await, eq(200));
    });
}
