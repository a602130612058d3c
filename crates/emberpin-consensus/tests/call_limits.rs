//! Calls that cannot be carried out: without a majority, unreadable, or beyond the capacity of the queue.

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, Cluster};
use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;

#[gtest]
fn call_without_a_majority_is_answered_503() {
    let mut cluster = Cluster::new(10, 3, 1, Guards::default());
    cluster.run(100);
    cluster.kill(ip(2));
    cluster.kill(ip(3));
    let sent = cluster.call(ip(1), set_service("a", 1, 1));
    cluster.run(4_000);
    expect_that!(cluster.calls[sent].status(), some(eq(503)));
    let unreadable = cluster.call(ip(1), Call::Patch(b"{\"upsert\"".to_vec()));
    expect_that!(cluster.calls[unreadable].status(), some(eq(400)));
}

#[gtest]
fn calls_beyond_the_queue_are_answered_503_at_once() {
    let mut cluster = Cluster::new(13, 3, 1, Guards::default());
    cluster.run(100);
    cluster.kill(ip(2));
    cluster.kill(ip(3));
    let ids: Vec<usize> = (0..80).map(|_| cluster.call(ip(1), Call::Get)).collect();
    let answered_at_once = ids
        .iter()
        .filter(|id| cluster.calls[**id].reply.is_some())
        .count();
    expect_that!(answered_at_once, eq(16));
    cluster.run(4_000);
    let is_rejected = |id: &&usize| cluster.calls[**id].status() == Some(503);
    expect_that!(ids.iter().filter(is_rejected).count(), eq(80));
}
