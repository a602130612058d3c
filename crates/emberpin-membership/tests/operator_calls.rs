//! Which registry handles the calls of the operator.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{ip, Cluster, StoreState};
use emberpin_membership::guards::Guards;
use emberpin_membership::registry::OperatorCallTarget;
use googletest::prelude::*;

/// A cluster of three in which machine 1 is partitioned from the others and its store answers that it has no contact
/// with a majority, both for long enough that the leases of its registry have expired.
fn partitioned_cluster(guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(3);
    cluster.restart_with_guards(1, guards);
    cluster.run_until_confirmed();
    cluster.set_store(1, StoreState::Unconfirmed);
    cluster.partition(1, &[2, 3]);
    cluster.run(1_500);
    cluster
}

#[gtest]
fn a_call_at_a_registry_in_a_minority_is_redirected_at_once() -> googletest::Result<()> {
    let mut cluster = partitioned_cluster(Guards::default());
    let target = |cluster: &Cluster, at: u8| {
        cluster
            .registry(at)
            .operator_call_target(cluster.timestamp())
    };
    verify_that!(
        matches!(target(&cluster, 1), OperatorCallTarget::Peer(other) if [ip(2), ip(3)].contains(&other)),
        eq(true)
    )?;
    verify_that!(target(&cluster, 2), eq(OperatorCallTarget::Local))?;
    // Once the registry and its store are in contact with a majority again, it handles calls itself.
    cluster.heal(1, &[2, 3]);
    cluster.set_store(1, StoreState::Confirming);
    cluster.run(2_500);
    verify_that!(target(&cluster, 1), eq(OperatorCallTarget::Local))
}

#[gtest]
fn without_the_redirect_a_call_in_a_minority_is_handled_locally() -> googletest::Result<()> {
    let cluster = partitioned_cluster(Guards {
        operator_redirect: false,
        ..Guards::default()
    });
    verify_that!(
        cluster
            .registry(1)
            .operator_call_target(cluster.timestamp()),
        eq(OperatorCallTarget::Local)
    )
}
