//! Locks: which owner holds one, when its lease expires, and which fencing tokens are valid.

mod memory;

use emberpin_coordination::{clock_tolerance, Outcome};
use googletest::prelude::*;
use memory::{granted, Memory};
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(2);
const MILLISECOND: Duration = Duration::from_millis(1);

#[gtest]
fn a_free_lock_is_granted_and_a_held_one_is_denied_to_others() {
    let mut memory = Memory::default();
    expect_that!(memory.acquire("a", LEASE), some(eq(&granted(1))));
    expect_that!(memory.acquire("b", LEASE), some(eq(&Outcome::LockDenied)));
}

#[gtest]
fn a_lock_becomes_free_after_its_lease_plus_the_clock_tolerance_and_not_before() {
    let mut memory = Memory::default();
    memory.acquire("a", LEASE);
    memory.advance(LEASE + clock_tolerance(LEASE));
    expect_that!(memory.acquire("b", LEASE), some(eq(&Outcome::LockDenied)));
    memory.advance(MILLISECOND);
    expect_that!(memory.acquire("b", LEASE), some(eq(&granted(2))));
}

#[gtest]
fn the_tolerance_covers_clocks_that_differ_by_half_a_percent() {
    let hour = Duration::from_secs(3_600);
    expect_that!(clock_tolerance(hour), ge(hour / 200));
    expect_that!(clock_tolerance(Duration::ZERO), gt(Duration::ZERO));
}

#[gtest]
fn a_renewal_restarts_the_lease() {
    let mut memory = Memory::default();
    memory.acquire("a", LEASE);
    memory.advance(LEASE / 2);
    expect_that!(memory.renew("a", 1, LEASE), some(eq(&Outcome::LockRenewed)));
    memory.advance(LEASE);
    expect_that!(memory.acquire("b", LEASE), some(eq(&Outcome::LockDenied)));
    memory.advance(LEASE / 2);
    expect_that!(memory.acquire("b", LEASE), some(eq(&granted(2))));
}

/// The responses with the later fencing tokens may have been lost, so the owner may know only its first one.
#[gtest]
fn an_owner_that_acquired_again_renews_with_any_token_of_its_tenure() {
    let mut memory = Memory::default();
    memory.acquire("z", LEASE);
    memory.release("z", 1);
    expect_that!(memory.acquire("a", LEASE), some(eq(&granted(2))));
    expect_that!(memory.acquire("a", LEASE), some(eq(&granted(3))));
    for token in [2, 3] {
        let renewed = memory.renew("a", token, LEASE);
        expect_that!(renewed, some(eq(&Outcome::LockRenewed)));
    }
    for token in [1, 4] {
        let renewed = memory.renew("a", token, LEASE);
        expect_that!(renewed, some(eq(&Outcome::LockDenied)));
    }
}

#[gtest]
fn a_renewal_is_denied_with_a_token_of_an_earlier_tenure() {
    let mut memory = Memory::default();
    memory.acquire("a", LEASE);
    memory.release("a", 1);
    expect_that!(memory.renew("a", 1, LEASE), some(eq(&Outcome::LockDenied)));
    memory.acquire("a", LEASE);
    expect_that!(memory.renew("a", 1, LEASE), some(eq(&Outcome::LockDenied)));
    expect_that!(memory.renew("b", 2, LEASE), some(eq(&Outcome::LockDenied)));
}

#[gtest]
fn an_expired_lease_is_renewed_unless_another_owner_acquired_the_lock() {
    let mut memory = Memory::default();
    memory.acquire("a", LEASE);
    memory.advance(3 * LEASE);
    expect_that!(memory.renew("a", 1, LEASE), some(eq(&Outcome::LockRenewed)));
    memory.advance(3 * LEASE);
    expect_that!(memory.acquire("b", LEASE), some(eq(&granted(2))));
    expect_that!(memory.renew("a", 1, LEASE), some(eq(&Outcome::LockDenied)));
}

#[gtest]
fn a_release_takes_effect_only_with_the_owners_latest_token() {
    let mut memory = Memory::default();
    memory.acquire("a", LEASE);
    memory.acquire("a", LEASE);
    for (owner, token) in [("a", 1), ("a", 3), ("b", 2)] {
        let released = memory.release(owner, token);
        expect_that!(released, some(eq(&Outcome::LockReleased)));
        expect_that!(memory.acquire("b", LEASE), some(eq(&Outcome::LockDenied)));
    }
    expect_that!(memory.release("a", 2), some(eq(&Outcome::LockReleased)));
    expect_that!(memory.acquire("b", LEASE), some(eq(&granted(3))));
}

/// The response to the request for the shorter lease may be lost; its owner then still counts by the longer one.
#[gtest]
fn a_shorter_lease_does_not_end_before_the_owners_previous_one() {
    type Extend = fn(&mut Memory) -> Option<Outcome>;
    let extend: [Extend; 2] = [
        |memory| memory.renew("a", 1, MILLISECOND),
        |memory| memory.acquire("a", MILLISECOND),
    ];
    for extend in extend {
        let mut memory = Memory::default();
        memory.acquire("a", LEASE);
        memory.advance(LEASE / 4);
        extend(&mut memory);
        memory.advance(LEASE / 4);
        extend(&mut memory);
        memory.advance(LEASE / 2 + clock_tolerance(LEASE));
        expect_that!(memory.acquire("b", LEASE), some(eq(&Outcome::LockDenied)));
        memory.advance(LEASE);
        expect_that!(
            memory.acquire("b", LEASE),
            some(matches_pattern!(Outcome::LockGranted { .. }))
        );
    }
}

#[gtest]
fn fencing_tokens_increase_with_each_grant_to_any_owner() {
    let mut memory = Memory::default();
    for token in 1..=20 {
        let owner = ["a", "b", "a"][token as usize % 3];
        expect_that!(memory.acquire(owner, LEASE), some(eq(&granted(token))));
        match token % 2 {
            0 => _ = memory.release(owner, token),
            _ => memory.advance(2 * LEASE),
        }
    }
}
