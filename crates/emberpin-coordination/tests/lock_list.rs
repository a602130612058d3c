//! Which locks the list for operators has.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_coordination::{
    evaluate, Evaluation, Fence, HeldLock, Operation, Outcome, RegisterKey, RegisterKind,
    Registers, MAX_LISTED_LOCKS,
};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const HOLD: Duration = Duration::from_secs(3);
const AGE: Duration = Duration::from_millis(700);

/// Registers whose content is equally old.
#[derive(Default)]
struct FakeRegisters(BTreeMap<RegisterKey, String>);

impl Registers for FakeRegisters {
    fn content(&self, key: &RegisterKey) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn age(&self, _: &RegisterKey) -> Duration {
        AGE
    }

    fn names_after(&self, kind: RegisterKind, after: &str, limit: usize) -> Vec<String> {
        let of_kind = self.0.keys().filter(|key| key.kind == kind);
        let names = of_kind.map(|key| key.name.clone());
        names
            .filter(|name| name.as_str() > after)
            .take(limit)
            .collect()
    }

    fn size_bytes(&self) -> usize {
        0
    }
}

impl FakeRegisters {
    /// Carries an operation out; returns its outcome.
    fn carry_out(&mut self, operation: &Operation) -> Outcome {
        let evaluation = evaluate(operation, self).expect("registers of this build");
        let Evaluation::Complete { outcome, changes } = evaluation else {
            panic!("the operation waits");
        };
        for change in changes {
            self.0.insert(change.key, change.content);
        }
        outcome
    }

    fn begin(&mut self, lock: &str, owner: &str) -> Outcome {
        self.carry_out(&Operation::BeginLock {
            lock: lock.into(),
            owner: owner.into(),
            hold: HOLD,
        })
    }

    fn list(&mut self, after: &str) -> Outcome {
        let after = after.into();
        self.carry_out(&Operation::ListLocks { after })
    }
}

fn held(name: &str, owner: &str) -> HeldLock {
    HeldLock {
        name: name.into(),
        owner: owner.into(),
        fence: Fence(1),
        hold: HOLD,
        known_for: AGE,
    }
}

#[gtest]
fn the_list_has_the_locks_that_are_held_and_no_other_registers() {
    let mut registers = FakeRegisters::default();
    registers.begin("b", "one");
    registers.begin("a", "two");
    registers.begin("released", "two");
    registers.carry_out(&Operation::FinishLock {
        lock: "released".into(),
        owner: "two".into(),
        fence: Fence(1),
    });
    registers.carry_out(&Operation::NextNumber {
        counter: "c".into(),
    });
    let expected = |locks| Outcome::Locks {
        locks,
        next_after: None,
    };
    expect_that!(
        registers.list(""),
        eq(&expected(vec![held("a", "two"), held("b", "one")]))
    );
    expect_that!(registers.list("a"), eq(&expected(vec![held("b", "one")])));
    expect_that!(registers.list("b"), eq(&expected(vec![])));
}

#[gtest]
fn a_list_that_is_too_long_for_one_response_goes_on_after_the_name_that_it_tells() {
    let mut registers = FakeRegisters::default();
    for n in 0..=MAX_LISTED_LOCKS {
        registers.begin(&format!("l{n:05}"), "o");
    }
    let Outcome::Locks { locks, next_after } = registers.list("") else {
        panic!("no list");
    };
    expect_that!(locks.len(), eq(MAX_LISTED_LOCKS));
    let after = next_after.expect("there is one more");
    let Outcome::Locks { locks, next_after } = registers.list(&after) else {
        panic!("no list");
    };
    let last = format!("l{MAX_LISTED_LOCKS:05}");
    expect_that!(locks, elements_are![eq(&held(&last, "o"))]);
    expect_that!(next_after, none());
}

#[gtest]
fn a_list_changes_nothing() {
    let mut registers = FakeRegisters::default();
    registers.begin("a", "one");
    let list = Operation::ListLocks { after: "".into() };
    let evaluation = evaluate(&list, &registers).expect("registers of this build");
    expect_that!(list.is_read(), eq(true));
    expect_that!(
        matches!(evaluation, Evaluation::Complete { changes, .. } if changes.is_empty()),
        eq(true)
    );
}
