//! Leases: which answers renew them, and when a session expires.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::Nonce;
use emberpin_membership::lease::{Lease, SessionLease};
use emberpin_membership::timing::{FIRST_CONFIRMATION_TIMEOUT, PROXY_LEASE_DURATION};
use googletest::prelude::*;
use std::time::Duration;

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const ONE_MILLISECOND: Duration = ms(1);

#[gtest]
fn an_answer_renews_the_lease_from_the_time_of_its_query_less_its_age() {
    let mut lease = Lease::default();
    expect_that!(lease.age(at(5_000)), none());
    let nonce = lease.begin_query(at(5_000));
    // The time at which the answer arrives does not matter.
    lease.on_answer(nonce, Some(ms(300)));
    expect_that!(lease.age(at(9_000)), some(eq(ms(4_300))));
    expect_that!(lease.is_valid(at(9_000), ms(4_300)), eq(true));
    expect_that!(lease.is_valid(at(9_000), ms(4_299)), eq(false));
    // Neither an answer that confirms nothing nor an older confirmation shortens the lease.
    let (first, second) = (lease.begin_query(at(9_000)), lease.begin_query(at(9_500)));
    lease.on_answer(first, None);
    lease.on_answer(second, Some(ms(6_000)));
    expect_that!(lease.age(at(9_500)), some(eq(ms(4_800))));
}

#[gtest]
fn an_answer_renews_the_lease_once_and_only_for_a_pending_query() {
    let mut lease = Lease::default();
    let old = lease.begin_query(at(1_000));
    let new = lease.begin_query(at(2_000));
    lease.on_answer(Nonce(new.0 + 1), Some(Duration::ZERO));
    expect_that!(lease.age(at(2_000)), none());
    lease.on_answer(new, Some(Duration::ZERO));
    // The answer to an older query comes after that to the newer one.
    lease.on_answer(old, Some(Duration::ZERO));
    lease.on_answer(new, Some(Duration::ZERO));
    expect_that!(lease.age(at(3_000)), some(eq(ms(1_000))));
    // Only the last 16 pending queries are remembered.
    let forgotten = lease.begin_query(at(4_000));
    (0..16).for_each(|_| _ = lease.begin_query(at(4_000)));
    lease.on_answer(forgotten, Some(Duration::ZERO));
    expect_that!(lease.age(at(4_000)), some(eq(ms(2_000))));
}

#[gtest]
fn a_confirmation_of_state_from_before_the_clock_origin_counts() {
    let mut lease = Lease::default();
    let nonce = lease.begin_query(at(10));
    lease.on_answer(nonce, Some(ms(500)));
    expect_that!(lease.age(at(20)), some(eq(ms(510))));
}

#[gtest]
fn a_session_expires_with_its_lease_or_without_a_first_confirmation() {
    let mut lease = SessionLease::new(at(1_000));
    let first_deadline = at(1_000) + FIRST_CONFIRMATION_TIMEOUT;
    expect_that!(lease.is_expired(first_deadline), eq(false));
    expect_that!(lease.is_expired(first_deadline + ONE_MILLISECOND), eq(true));
    // The arrival of a snapshot part restarts the time-out.
    lease.on_snapshot_progress(at(2_000));
    expect_that!(
        lease.is_expired(at(2_000) + FIRST_CONFIRMATION_TIMEOUT),
        eq(false)
    );
    let nonce = lease.begin_query(at(2_000));
    lease.on_answer(nonce, Some(ms(100)));
    let expiry = at(2_000 - 100) + PROXY_LEASE_DURATION;
    expect_that!(lease.is_confirmed(expiry), eq(true));
    expect_that!(lease.is_expired(expiry), eq(false));
    expect_that!(lease.is_confirmed(expiry + ONE_MILLISECOND), eq(false));
    expect_that!(lease.is_expired(expiry + ONE_MILLISECOND), eq(true));
}
