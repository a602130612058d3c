//! Locks: who holds one, until when, and with which fencing token.

mod memory;

use emberpin_coordination::{clock_tolerance, Outcome};
use googletest::prelude::*;
use memory::{granted, Memory};
use std::time::Duration;

const HOLD: Duration = Duration::from_secs(2);
const MILLISECOND: Duration = Duration::from_millis(1);

#[gtest]
fn a_free_lock_is_granted_and_a_held_one_is_denied_to_others() {
    let mut memory = Memory::default();
    expect_that!(memory.begin("a", HOLD), some(eq(&granted(1))));
    expect_that!(memory.begin("b", HOLD), some(eq(&Outcome::LockDenied)));
}

#[gtest]
fn a_lock_becomes_free_after_its_hold_and_the_clock_tolerance_and_not_before() {
    let mut memory = Memory::default();
    memory.begin("a", HOLD);
    memory.pass(HOLD + clock_tolerance(HOLD));
    expect_that!(memory.begin("b", HOLD), some(eq(&Outcome::LockDenied)));
    memory.pass(MILLISECOND);
    expect_that!(memory.begin("b", HOLD), some(eq(&granted(2))));
}

#[gtest]
fn the_tolerance_covers_clocks_that_differ_by_half_a_percent() {
    let hour = Duration::from_secs(3_600);
    expect_that!(clock_tolerance(hour), ge(hour / 200));
    expect_that!(clock_tolerance(Duration::ZERO), gt(Duration::ZERO));
}

#[gtest]
fn a_renewal_begins_the_hold_anew() {
    let mut memory = Memory::default();
    memory.begin("a", HOLD);
    memory.pass(HOLD / 2);
    expect_that!(memory.renew("a", 1, HOLD), some(eq(&Outcome::LockRenewed)));
    memory.pass(HOLD);
    expect_that!(memory.begin("b", HOLD), some(eq(&Outcome::LockDenied)));
    memory.pass(HOLD / 2);
    expect_that!(memory.begin("b", HOLD), some(eq(&granted(2))));
}

/// It may not have been told of the later fences.
#[gtest]
fn an_owner_that_began_again_renews_with_any_fence_of_its_tenure() {
    let mut memory = Memory::default();
    memory.begin("z", HOLD);
    memory.finish("z", 1);
    expect_that!(memory.begin("a", HOLD), some(eq(&granted(2))));
    expect_that!(memory.begin("a", HOLD), some(eq(&granted(3))));
    for fence in [2, 3] {
        let renewed = memory.renew("a", fence, HOLD);
        expect_that!(renewed, some(eq(&Outcome::LockRenewed)));
    }
    for fence in [1, 4] {
        let renewed = memory.renew("a", fence, HOLD);
        expect_that!(renewed, some(eq(&Outcome::LockDenied)));
    }
}

#[gtest]
fn a_renewal_is_denied_with_a_fence_of_an_earlier_tenure() {
    let mut memory = Memory::default();
    memory.begin("a", HOLD);
    memory.finish("a", 1);
    expect_that!(memory.renew("a", 1, HOLD), some(eq(&Outcome::LockDenied)));
    memory.begin("a", HOLD);
    expect_that!(memory.renew("a", 1, HOLD), some(eq(&Outcome::LockDenied)));
    expect_that!(memory.renew("b", 2, HOLD), some(eq(&Outcome::LockDenied)));
}

#[gtest]
fn a_lapsed_lock_is_renewed_as_long_as_nobody_else_came() {
    let mut memory = Memory::default();
    memory.begin("a", HOLD);
    memory.pass(3 * HOLD);
    expect_that!(memory.renew("a", 1, HOLD), some(eq(&Outcome::LockRenewed)));
    memory.pass(3 * HOLD);
    expect_that!(memory.begin("b", HOLD), some(eq(&granted(2))));
    expect_that!(memory.renew("a", 1, HOLD), some(eq(&Outcome::LockDenied)));
}

#[gtest]
fn a_finish_frees_the_lock_with_the_exact_fence_of_its_owner_only() {
    let mut memory = Memory::default();
    memory.begin("a", HOLD);
    memory.begin("a", HOLD);
    for (owner, fence) in [("a", 1), ("a", 3), ("b", 2)] {
        let finished = memory.finish(owner, fence);
        expect_that!(finished, some(eq(&Outcome::LockReleased)));
        expect_that!(memory.begin("b", HOLD), some(eq(&Outcome::LockDenied)));
    }
    expect_that!(memory.finish("a", 2), some(eq(&Outcome::LockReleased)));
    expect_that!(memory.begin("b", HOLD), some(eq(&granted(3))));
}

/// The response to the second call may be lost: then its owner counts by the first one.
#[gtest]
fn a_shorter_hold_does_not_end_before_the_one_that_its_owner_had() {
    type Extend = fn(&mut Memory) -> Option<Outcome>;
    let extend: [Extend; 2] = [
        |memory| memory.renew("a", 1, MILLISECOND),
        |memory| memory.begin("a", MILLISECOND),
    ];
    for extend in extend {
        let mut memory = Memory::default();
        memory.begin("a", HOLD);
        memory.pass(HOLD / 4);
        extend(&mut memory);
        memory.pass(HOLD / 4);
        extend(&mut memory);
        memory.pass(HOLD / 2 + clock_tolerance(HOLD));
        expect_that!(memory.begin("b", HOLD), some(eq(&Outcome::LockDenied)));
        memory.pass(HOLD);
        expect_that!(
            memory.begin("b", HOLD),
            some(matches_pattern!(Outcome::LockGranted { .. }))
        );
    }
}

#[gtest]
fn fences_rise_from_one_grant_to_the_next_whoever_gets_them() {
    let mut memory = Memory::default();
    for fence in 1..=20 {
        let owner = ["a", "b", "a"][fence as usize % 3];
        expect_that!(memory.begin(owner, HOLD), some(eq(&granted(fence))));
        match fence % 2 {
            0 => _ = memory.finish(owner, fence),
            _ => memory.pass(2 * HOLD),
        }
    }
}
