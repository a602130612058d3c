//! The history of a cell group: the events that watches receive, without gaps, and the limit of retention.

mod memory;

use emberpin_coordination::{CellEvent, Outcome, Revision, MIN_RETAINED_EVENTS};
use googletest::prelude::*;
use memory::{event, Memory};

/// The group `g.` with this many changes; the value of each is its revision.
fn group_with(changes: u64) -> Memory {
    let mut memory = Memory::default();
    for number in 1..=changes {
        add_change(&mut memory, number);
        // Changes of another group must not show up in the history.
        memory.put("h.a", &number.to_string(), number - 1);
    }
    memory
}

/// Adds the change of revision `number`; the three cells of the group are changed in turn.
fn add_change(memory: &mut Memory, number: u64) {
    let cell = ["g.a", "g.b", "g.c"][number as usize % 3];
    memory.put(cell, &number.to_string(), number.saturating_sub(3));
}

fn expected_event(revision: u64) -> CellEvent {
    let cell = ["g.a", "g.b", "g.c"][revision as usize % 3];
    event(cell, &revision.to_string(), revision)
}

/// All changes after a revision, collected with as many watches as it takes.
fn collect(memory: &mut Memory, after: u64) -> Vec<CellEvent> {
    let mut all = Vec::new();
    let mut last = after;
    while let Some(Outcome::Events { events, revision }) = memory.watch(last) {
        all.extend(events);
        last = revision.0;
    }
    all
}

#[gtest]
fn a_watch_receives_every_change_after_a_revision_and_then_waits() {
    let changes = 50;
    let mut memory = group_with(changes);
    for after in 1..=changes {
        let expected: Vec<CellEvent> = (after + 1..=changes).map(expected_event).collect();
        if after == changes {
            expect_that!(memory.watch(after), none());
        } else {
            let outcome = Outcome::Events {
                events: expected,
                revision: Revision(changes),
            };
            expect_that!(memory.watch(after), some(eq(&outcome)));
        }
    }
}

#[gtest]
fn a_long_history_is_received_in_several_responses_without_gaps() {
    let changes = 1_000;
    let mut memory = group_with(changes);
    for after in [1, 7, 8, 9, 500] {
        let expected: Vec<CellEvent> = (after + 1..=changes).map(expected_event).collect();
        expect_that!(collect(&mut memory, after), eq(&expected));
    }
}

#[gtest]
fn a_watch_after_revision_zero_returns_the_current_revision_immediately() {
    for changes in [0, 1, 8, 9] {
        let outcome = Outcome::Events {
            events: Vec::new(),
            revision: Revision(changes),
        };
        expect_that!(group_with(changes).watch(0), some(eq(&outcome)));
    }
}

#[gtest]
fn a_watch_after_a_future_revision_waits() {
    let mut memory = group_with(3);
    expect_that!(memory.watch(4), none());
    expect_that!(Memory::default().watch(1), none());
}

#[gtest]
fn the_latest_changes_are_retained_and_a_watch_from_before_them_reports_dropped_events() {
    let changes = MIN_RETAINED_EVENTS + 20;
    let mut memory = group_with(changes);
    let oldest_after = changes - MIN_RETAINED_EVENTS;
    let kept = collect(&mut memory, oldest_after);
    let expected: Vec<CellEvent> = (oldest_after + 1..=changes).map(expected_event).collect();
    expect_that!(kept == expected, eq(true));
    // Changes are dropped one segment at a time, so up to one more segment may be retained.
    expect_that!(memory.watch(1), some(eq(&Outcome::EventsDropped)));
}

/// Guards against a watch that skips dropped changes, for every number of changes in the last segment.
#[gtest]
fn no_watch_silently_skips_dropped_changes() {
    let mut memory = group_with(MIN_RETAINED_EVENTS + 7);
    for changes in MIN_RETAINED_EVENTS + 8..MIN_RETAINED_EVENTS + 18 {
        add_change(&mut memory, changes);
        for after in 1..40 {
            match memory.watch(after) {
                Some(Outcome::Events { events, .. }) => {
                    expect_that!(events.first(), some(eq(&expected_event(after + 1))));
                }
                Some(Outcome::EventsDropped) => {
                    expect_that!(after, lt(changes - MIN_RETAINED_EVENTS));
                }
                outcome => add_failure!("{outcome:?} after {after}"),
            }
        }
    }
}
