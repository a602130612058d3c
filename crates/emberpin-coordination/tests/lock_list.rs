//! The list of held locks for operators: its content, and its division into pages.
#![allow(missing_docs, reason = "a test has no public interface")]

mod memory;

use emberpin_coordination::{
    evaluate, Evaluation, FencingToken, HeldLock, Operation, Outcome, MAX_LISTED_LOCKS,
};
use googletest::prelude::*;
use memory::Memory;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(3);
const AGE: Duration = Duration::from_millis(700);

fn acquire(registers: &mut Memory, lock: &str, owner: &str) {
    registers.execute(&Operation::AcquireLock {
        lock: lock.into(),
        owner: owner.into(),
        lease: LEASE,
    });
}

/// The page of locks whose names sort after `after`.
fn list(registers: &mut Memory, after: &str) -> Outcome {
    let after = after.into();
    let outcome = registers.execute(&Operation::ListLocks { after });
    outcome.expect("a list request completes without waiting")
}

fn held(name: &str, owner: &str) -> HeldLock {
    HeldLock {
        name: name.into(),
        owner: owner.into(),
        fence: FencingToken(1),
        lease: LEASE,
        known_for: AGE,
    }
}

#[gtest]
fn the_list_has_exactly_the_held_locks_in_the_order_of_their_names() {
    let mut registers = Memory::default();
    acquire(&mut registers, "b", "one");
    acquire(&mut registers, "a", "two");
    acquire(&mut registers, "released", "two");
    registers.execute(&Operation::ReleaseLock {
        lock: "released".into(),
        owner: "two".into(),
        fence: FencingToken(1),
    });
    registers.execute(&Operation::NextNumber {
        counter: "c".into(),
    });
    registers.advance(AGE);
    let expected = |locks| Outcome::Locks {
        locks,
        next_after: None,
    };
    expect_that!(
        list(&mut registers, ""),
        eq(&expected(vec![held("a", "two"), held("b", "one")]))
    );
    expect_that!(
        list(&mut registers, "a"),
        eq(&expected(vec![held("b", "one")]))
    );
    expect_that!(list(&mut registers, "b"), eq(&expected(vec![])));
}

#[gtest]
fn a_list_that_exceeds_one_page_continues_after_the_returned_cursor() {
    let mut registers = Memory::default();
    for n in 0..=MAX_LISTED_LOCKS {
        acquire(&mut registers, &format!("l{n:05}"), "o");
    }
    registers.advance(AGE);
    let Outcome::Locks { locks, next_after } = list(&mut registers, "") else {
        panic!("no list");
    };
    expect_that!(locks.len(), eq(MAX_LISTED_LOCKS));
    let after = next_after.expect("a second page");
    let Outcome::Locks { locks, next_after } = list(&mut registers, &after) else {
        panic!("no list");
    };
    let last = format!("l{MAX_LISTED_LOCKS:05}");
    expect_that!(locks, elements_are![eq(&held(&last, "o"))]);
    expect_that!(next_after, none());
}

#[gtest]
fn a_list_changes_nothing() {
    let mut registers = Memory::default();
    acquire(&mut registers, "a", "one");
    let list = Operation::ListLocks { after: "".into() };
    let evaluation = evaluate(&list, &registers).expect("registers written by this build");
    expect_that!(list.is_read(), eq(true));
    expect_that!(
        matches!(evaluation, Evaluation::Complete { changes, .. } if changes.is_empty()),
        eq(true)
    );
}
