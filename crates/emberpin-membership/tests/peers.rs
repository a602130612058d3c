//! Registries beside those of the voters.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{draining, ip, Cluster};
use emberpin_membership::instance::Status;
use googletest::prelude::*;

#[gtest]
fn a_registry_without_a_vote_gets_everything_but_counts_for_no_majority() -> googletest::Result<()>
{
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(2, "a");
    cluster.start(4);
    cluster.run(1_500);
    verify_that!(cluster.status(4, "a"), some(eq(Status::Up)))?;
    let connect_count = cluster.connect_count;
    cluster.run(3_000);
    verify_that!(cluster.connect_count, eq(connect_count))?;
    cluster.partition(1, &[2, 3]);
    let call = cluster.send_heartbeat(1, draining("b", 1));
    verify_that!(cluster.is_acknowledged(1, call), eq(false))?;
    verify_that!(cluster.status(4, "b"), some(eq(Status::Draining)))?;
    cluster.heal(1, &[2, 3]);
    cluster.run(3_000);
    verify_that!(
        cluster
            .registry(1)
            .registries_in_contact(cluster.timestamp()),
        contains(eq(&ip(4)))
    )?;
    // Without contact for long, it is not connected to any more.
    cluster.kill(4);
    verify_that!(cluster.has_link(1, 4), eq(true))?;
    cluster.run(62_000);
    verify_that!(
        (cluster.has_link(1, 4), cluster.has_link(1, 2)),
        eq((false, true))
    )
}
