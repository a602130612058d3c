//! Cells: preconditions, retried puts, and the byte limit of the registers.

mod memory;

use emberpin_coordination::{Outcome, Revision};
use googletest::prelude::*;
use memory::{changed, granted, written, Memory};
use std::time::Duration;

/// A size above the byte limit of the registers.
const SIZE_ABOVE_LIMIT: usize = 64 << 20;

fn cell(value: &str, revision: u64) -> Outcome {
    Outcome::Cell {
        value: value.into(),
        revision: Revision(revision),
    }
}

#[gtest]
fn a_put_succeeds_only_at_the_expected_revision() {
    let mut memory = Memory::default();
    expect_that!(memory.put("g.a", "v1", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.a", "v2", 1), some(eq(&written(2))));
    for expected in [1, 3] {
        let outcome = memory.put("g.a", "v3", expected);
        expect_that!(outcome, some(eq(&changed(2))));
    }
    expect_that!(memory.get("g.a"), some(eq(&cell("v2", 2))));
}

#[gtest]
fn a_put_at_revision_zero_creates_a_cell_and_never_overwrites_one() {
    let mut memory = Memory::default();
    expect_that!(memory.get("g.a"), some(eq(&Outcome::NoCell)));
    expect_that!(memory.put("g.a", "v1", 1), some(eq(&changed(0))));
    expect_that!(memory.put("g.a", "v2", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.a", "v3", 0), some(eq(&changed(1))));
    expect_that!(memory.get("g.a"), some(eq(&cell("v2", 1))));
}

#[gtest]
fn a_put_without_an_expected_revision_always_succeeds() {
    let mut memory = Memory::default();
    expect_that!(
        memory.put_unconditionally("g.a", "v1"),
        some(eq(&written(1)))
    );
    expect_that!(
        memory.put_unconditionally("g.a", "v2"),
        some(eq(&written(2)))
    );
    expect_that!(memory.get("g.a"), some(eq(&cell("v2", 2))));
}

#[gtest]
fn revisions_are_counted_per_group() {
    let mut memory = Memory::default();
    expect_that!(memory.put("g.a", "v1", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.b.c", "v2", 0), some(eq(&written(2))));
    expect_that!(memory.put("h.a", "v3", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.a", "v4", 1), some(eq(&written(3))));
}

#[gtest]
fn a_retried_put_returns_the_revision_of_its_first_attempt_and_changes_nothing() {
    let mut memory = Memory::default();
    memory.put("g.a", "v1", 0);
    memory.put("g.b", "v2", 0);
    memory.put_unconditionally("g.a", "v3");
    for _ in 0..2 {
        expect_that!(memory.put("g.a", "v1", 0), some(eq(&written(1))));
        expect_that!(memory.put("g.b", "v2", 0), some(eq(&written(2))));
        expect_that!(
            memory.put_unconditionally("g.a", "v1"),
            some(eq(&written(1)))
        );
        expect_that!(
            memory.put_unconditionally("g.a", "v3"),
            some(eq(&written(3)))
        );
    }
    expect_that!(memory.get("g.a"), some(eq(&cell("v3", 3))));
    expect_that!(memory.put("g.a", "v4", 3), some(eq(&written(4))));
}

#[gtest]
fn a_retried_put_returns_its_first_revision_after_a_thousand_other_puts_to_the_group() {
    let mut memory = Memory::default();
    memory.put("g.a", "first", 0);
    for number in 0..1_000 {
        memory.put_unconditionally(["g.a", "g.b"][number % 2], &format!("v{number}"));
    }
    expect_that!(memory.put("g.a", "first", 0), some(eq(&written(1))));
    expect_that!(
        memory.put_unconditionally("g.a", "first"),
        some(eq(&written(1)))
    );
}

/// Guards against a search for an earlier attempt that accepts another cell with this value, or a value that only
/// contains this one.
#[gtest]
fn a_put_is_not_mistaken_for_one_of_another_cell_or_value() {
    let mut memory = Memory::default();
    memory.put("g.a", "v\"1", 0);
    memory.put("g.a", "v", 1);
    memory.put("g.b", "w", 0);
    expect_that!(memory.put("g.a", "1", 0), some(eq(&changed(2))));
    expect_that!(memory.put("g.a", "w", 0), some(eq(&changed(2))));
    expect_that!(memory.put("g.a", "v\"1", 0), some(eq(&written(1))));
}

#[gtest]
fn at_the_byte_limit_nothing_is_created_and_existing_registers_can_still_change() {
    let mut memory = Memory::default();
    let lease = Duration::from_secs(1);
    memory.acquire("a", lease);
    memory.next_number("n");
    memory.put("g.a", "v1", 0);
    memory.size_bytes = SIZE_ABOVE_LIMIT;
    let out_of_space = Outcome::OutOfSpace;
    expect_that!(memory.next_number("m"), some(eq(&out_of_space)));
    expect_that!(memory.put("g.b", "v2", 0), some(eq(&out_of_space)));
    expect_that!(
        memory.put_unconditionally("g.b", "v3"),
        some(eq(&out_of_space))
    );
    expect_that!(memory.get("g.b"), some(eq(&Outcome::NoCell)));
    expect_that!(memory.release("a", 1), some(eq(&Outcome::LockReleased)));
    expect_that!(memory.acquire("b", lease), some(eq(&granted(2))));
    expect_that!(
        memory.next_number("n"),
        some(eq(&Outcome::Number { value: 2 }))
    );
    expect_that!(memory.put("g.a", "v4", 1), some(eq(&written(2))));
    memory.size_bytes = 0;
    expect_that!(memory.put("g.b", "v2", 0), some(eq(&written(3))));
}
