//! Which locks the list for operators has.
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

fn begin(registers: &mut Memory, lock: &str, owner: &str) {
    registers.operate(&Operation::AcquireLock {
        lock: lock.into(),
        owner: owner.into(),
        lease: LEASE,
    });
}

/// The list of the locks after a name.
fn list(registers: &mut Memory, after: &str) -> Outcome {
    let after = after.into();
    let outcome = registers.operate(&Operation::ListLocks { after });
    outcome.expect("a list does not wait")
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
fn the_list_has_the_locks_that_are_held_and_no_other_registers() {
    let mut registers = Memory::default();
    begin(&mut registers, "b", "one");
    begin(&mut registers, "a", "two");
    begin(&mut registers, "released", "two");
    registers.operate(&Operation::ReleaseLock {
        lock: "released".into(),
        owner: "two".into(),
        fence: FencingToken(1),
    });
    registers.operate(&Operation::NextNumber {
        counter: "c".into(),
    });
    registers.pass(AGE);
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
fn a_list_that_is_too_long_for_one_response_goes_on_after_the_name_that_it_tells() {
    let mut registers = Memory::default();
    for n in 0..=MAX_LISTED_LOCKS {
        begin(&mut registers, &format!("l{n:05}"), "o");
    }
    registers.pass(AGE);
    let Outcome::Locks { locks, next_after } = list(&mut registers, "") else {
        panic!("no list");
    };
    expect_that!(locks.len(), eq(MAX_LISTED_LOCKS));
    let after = next_after.expect("there is one more");
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
    begin(&mut registers, "a", "one");
    let list = Operation::ListLocks { after: "".into() };
    let evaluation = evaluate(&list, &registers).expect("registers of this build");
    expect_that!(list.is_read(), eq(true));
    expect_that!(
        matches!(evaluation, Evaluation::Complete { changes, .. } if changes.is_empty()),
        eq(true)
    );
}
