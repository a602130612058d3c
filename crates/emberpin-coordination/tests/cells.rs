//! Cells: preconditions, repeated puts, and the limit of space.

mod memory;

use emberpin_coordination::{Outcome, Revision};
use googletest::prelude::*;
use memory::{changed, granted, written, Memory};
use std::time::Duration;

/// More than the registers may take.
const TOO_MANY_BYTES: usize = 64 << 20;

fn cell(value: &str, revision: u64) -> Outcome {
    Outcome::Cell {
        value: value.into(),
        revision: Revision(revision),
    }
}

#[gtest]
fn a_put_is_carried_out_at_the_expected_revision_only() {
    let mut memory = Memory::default();
    expect_that!(memory.put("g.a", "v1", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.a", "v2", 1), some(eq(&written(2))));
    for expected in [1, 3] {
        let refused = memory.put("g.a", "v3", expected);
        expect_that!(refused, some(eq(&changed(2))));
    }
    expect_that!(memory.get("g.a"), some(eq(&cell("v2", 2))));
}

#[gtest]
fn a_put_at_revision_zero_makes_a_cell_and_changes_none() {
    let mut memory = Memory::default();
    expect_that!(memory.get("g.a"), some(eq(&Outcome::NoCell)));
    expect_that!(memory.put("g.a", "v1", 1), some(eq(&changed(0))));
    expect_that!(memory.put("g.a", "v2", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.a", "v3", 0), some(eq(&changed(1))));
    expect_that!(memory.get("g.a"), some(eq(&cell("v2", 1))));
}

#[gtest]
fn a_put_without_an_expected_revision_is_always_carried_out() {
    let mut memory = Memory::default();
    expect_that!(memory.put_always("g.a", "v1"), some(eq(&written(1))));
    expect_that!(memory.put_always("g.a", "v2"), some(eq(&written(2))));
    expect_that!(memory.get("g.a"), some(eq(&cell("v2", 2))));
}

#[gtest]
fn cells_of_a_group_share_its_revisions_and_those_of_other_groups_do_not() {
    let mut memory = Memory::default();
    expect_that!(memory.put("g.a", "v1", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.b.c", "v2", 0), some(eq(&written(2))));
    expect_that!(memory.put("h.a", "v3", 0), some(eq(&written(1))));
    expect_that!(memory.put("g.a", "v4", 1), some(eq(&written(3))));
}

#[gtest]
fn a_repeated_put_gets_its_first_revision_and_changes_nothing() {
    let mut memory = Memory::default();
    memory.put("g.a", "v1", 0);
    memory.put("g.b", "v2", 0);
    memory.put_always("g.a", "v3");
    for _ in 0..2 {
        expect_that!(memory.put("g.a", "v1", 0), some(eq(&written(1))));
        expect_that!(memory.put("g.b", "v2", 0), some(eq(&written(2))));
        expect_that!(memory.put_always("g.a", "v1"), some(eq(&written(1))));
        expect_that!(memory.put_always("g.a", "v3"), some(eq(&written(3))));
    }
    expect_that!(memory.get("g.a"), some(eq(&cell("v3", 3))));
    expect_that!(memory.put("g.a", "v4", 3), some(eq(&written(4))));
}

#[gtest]
fn a_repeated_put_gets_its_first_revision_after_a_thousand_others_of_the_group() {
    let mut memory = Memory::default();
    memory.put("g.a", "first", 0);
    for number in 0..1_000 {
        memory.put_always(["g.a", "g.b"][number % 2], &format!("v{number}"));
    }
    expect_that!(memory.put("g.a", "first", 0), some(eq(&written(1))));
    expect_that!(memory.put_always("g.a", "first"), some(eq(&written(1))));
}

/// The value of one cell may be a part of another one's, or stand in another cell.
#[gtest]
fn a_put_is_not_taken_for_one_of_another_cell_or_value() {
    let mut memory = Memory::default();
    memory.put("g.a", "v\"1", 0);
    memory.put("g.a", "v", 1);
    memory.put("g.b", "w", 0);
    expect_that!(memory.put("g.a", "1", 0), some(eq(&changed(2))));
    expect_that!(memory.put("g.a", "w", 0), some(eq(&changed(2))));
    expect_that!(memory.put("g.a", "v\"1", 0), some(eq(&written(1))));
}

#[gtest]
fn without_space_nothing_is_made_and_everything_that_exists_goes_on() {
    let mut memory = Memory::default();
    let hold = Duration::from_secs(1);
    memory.begin("a", hold);
    memory.next_number("n");
    memory.put("g.a", "v1", 0);
    memory.size_bytes = TOO_MANY_BYTES;
    let out_of_space = Outcome::OutOfSpace;
    expect_that!(memory.next_number("m"), some(eq(&out_of_space)));
    expect_that!(memory.put("g.b", "v2", 0), some(eq(&out_of_space)));
    expect_that!(memory.put_always("g.b", "v3"), some(eq(&out_of_space)));
    expect_that!(memory.get("g.b"), some(eq(&Outcome::NoCell)));
    expect_that!(memory.finish("a", 1), some(eq(&Outcome::LockReleased)));
    expect_that!(memory.begin("b", hold), some(eq(&granted(2))));
    expect_that!(
        memory.next_number("n"),
        some(eq(&Outcome::Number { value: 2 }))
    );
    expect_that!(memory.put("g.a", "v4", 1), some(eq(&written(2))));
    memory.size_bytes = 0;
    expect_that!(memory.put("g.b", "v2", 0), some(eq(&written(3))));
}
