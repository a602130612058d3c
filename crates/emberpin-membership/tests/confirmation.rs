//! Confirmations in sessions: a registry must not confirm its state without a majority, or by answers that were delayed
//! by a pause.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{Cluster, StoreState};
use emberpin_membership::guards::Guards;
use emberpin_membership::session::ToProxy;
use googletest::prelude::*;

/// Pauses a registry repeatedly, each time too briefly for it to detect the pause, while links queue the messages to
/// it. Returns whether it confirms its state after each pause.
fn confirmations_after_repeated_pauses(guards: Guards) -> Vec<bool> {
    let mut cluster = Cluster::new(3);
    cluster.restart_with_guards(1, guards);
    cluster.run_until_confirmed();
    cluster.open_session(1, 9, None, vec![]);
    cluster.run(20);
    cluster.queue_messages(1, &[2, 3]);
    let mut confirmed = Vec::new();
    for _ in 0..8 {
        cluster.pause(1);
        cluster.run(900);
        // Links deliver their queued messages for a moment.
        cluster.release_messages(1, &[2, 3]);
        cluster.run(5);
        cluster.queue_messages(1, &[2, 3]);
        cluster.resume(1);
        cluster.run(5);
        confirmed.extend(cluster.query_confirmation(1, 9));
    }
    confirmed
}

#[gtest]
fn late_answers_confirm_nothing_after_repeated_pauses() {
    let confirmed = confirmations_after_repeated_pauses(Guards::default());
    expect_that!(confirmed[2..], each(eq(&false)));
    let without_guard = confirmations_after_repeated_pauses(Guards {
        lease_from_query: false,
        ..Guards::default()
    });
    expect_that!(without_guard[2..], contains(eq(&true)));
}

#[gtest]
fn a_registry_in_a_minority_stops_confirming_its_state_and_the_majority_goes_on(
) -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    for machine in 1..=3 {
        cluster.open_session(machine, 9, None, vec![]);
    }
    cluster.run(600);
    verify_that!(cluster.query_confirmation(1, 9), some(eq(true)))?;
    cluster.partition(1, &[2, 3]);
    let mut unconfirmed_at = None;
    for _ in 0..20 {
        for machine in 1..=3 {
            cluster.send_keep_alive(machine, 9);
        }
        cluster.run(100);
        if cluster.query_confirmation(1, 9) == Some(false) {
            unconfirmed_at = unconfirmed_at.or(Some(cluster.now));
        }
        verify_that!(cluster.query_confirmation(2, 9), not(some(eq(false))))?;
    }
    verify_that!(unconfirmed_at.is_some(), eq(true))?;
    // Once the partition has healed, it confirms again.
    cluster.heal(1, &[2, 3]);
    cluster.run_with_session(1, 9, 2_000);
    verify_that!(cluster.query_confirmation(1, 9), some(eq(true)))
}

#[gtest]
fn a_registry_stops_confirming_its_state_when_its_store_is_silent() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    cluster.open_session(1, 9, None, vec![]);
    cluster.run(600);
    verify_that!(cluster.query_confirmation(1, 9), some(eq(true)))?;
    cluster.set_store(1, StoreState::Silent);
    cluster.run_with_session(1, 9, 2_000);
    verify_that!(cluster.query_confirmation(1, 9), some(eq(false)))
}

#[gtest]
fn answers_that_were_queued_during_a_pause_confirm_nothing() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.open_session(1, 9, None, vec![]);
    cluster.run(600);
    cluster.pause(1);
    cluster.run(3_000);
    // When it receives the messages that the peers sent before, it is partitioned from them.
    cluster.partition(1, &[2, 3]);
    _ = cluster.take_messages(1, 9);
    cluster.resume(1);
    for _ in 0..5 {
        cluster.run_with_session(1, 9, 500);
        verify_that!(
            cluster.take_messages(1, 9).iter().any(is_confirmation),
            eq(false)
        )?;
    }
    // The same with answers of its store.
    let mut cluster = Cluster::confirmed(1);
    cluster.open_session(1, 9, None, vec![]);
    cluster.run(600);
    cluster.pause(1);
    cluster.run(3_000);
    cluster.set_store(1, StoreState::Silent);
    _ = cluster.take_messages(1, 9);
    cluster.resume(1);
    for _ in 0..5 {
        cluster.run_with_session(1, 9, 500);
        verify_that!(
            cluster.take_messages(1, 9).iter().any(is_confirmation),
            eq(false)
        )?;
    }
    Ok(())
}

fn is_confirmation(message: &ToProxy) -> bool {
    matches!(message, ToProxy::Confirmation { age: Some(_), .. })
}
