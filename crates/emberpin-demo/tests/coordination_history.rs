//! The checks of what applications saw find each rule that is broken, and nothing where none is.
#![allow(missing_docs, reason = "a test has no public interface")]

mod core_machines;

use core_machines::history::{Event, Get, History, Hold, Number, Put, PutAnswer, Span, Watch};
use googletest::prelude::*;
use std::time::Duration;

fn seconds(at: u64) -> Duration {
    Duration::from_secs(at)
}

fn span(sent: u64, received: u64) -> Span {
    Span {
        sent: seconds(sent),
        received: seconds(received),
    }
}

fn hold(owner: &str, fence: u64, sent: u64, until: u64) -> Hold {
    Hold {
        lock: "l1".into(),
        owner: owner.into(),
        fence,
        span: span(sent, sent + 1),
        until: seconds(until),
    }
}

fn number(value: u64, sent: u64) -> Number {
    Number {
        counter: "n1".into(),
        value,
        span: span(sent, sent + 1),
    }
}

fn put(cell: &str, value: &str, when: u64, sent: u64, answer: PutAnswer) -> Put {
    Put {
        cell: cell.into(),
        value: value.into(),
        when,
        span: span(sent, sent + 1),
        answer,
    }
}

fn get(cell: &str, value: &str, revision: u64, sent: u64) -> Get {
    Get {
        cell: cell.into(),
        span: span(sent, sent + 1),
        value: Some(value.into()),
        revision,
    }
}

fn watch(after: u64, revision: u64, events: &[(&str, &str, u64)]) -> Watch {
    let event = |(cell, value, revision): &(&str, &str, u64)| Event {
        cell: (*cell).into(),
        value: (*value).into(),
        revision: *revision,
    };
    Watch {
        group: "g1.".into(),
        after,
        revision,
        events: events.iter().map(event).collect(),
        span: span(50, 51),
    }
}

/// A history in which no rule is broken: two puts to `g1.a` at 1 and 4, one to `g1.b` at 2, and one turned away.
fn good() -> History {
    History {
        holds: vec![hold("a", 1, 0, 5), hold("b", 2, 4, 9), hold("b", 2, 6, 8)],
        numbers: vec![number(1, 0), number(3, 1), number(2, 1), number(9, 4)],
        puts: vec![
            put("g1.a", "x", 0, 0, PutAnswer::Written(1)),
            put("g1.b", "y", 0, 2, PutAnswer::Written(2)),
            put("g1.a", "z", 1, 4, PutAnswer::Written(4)),
            put("g1.a", "refused", 1, 6, PutAnswer::Changed(4)),
            put("g1.b", "unclear", 2, 6, PutAnswer::Unclear),
            put("g1.b", "away", 2, 6, PutAnswer::TurnedAway),
        ],
        gets: vec![get("g1.a", "x", 1, 1), get("g1.a", "z", 4, 6)],
        watches: vec![
            watch(0, 4, &[]),
            watch(
                1,
                4,
                &[("g1.b", "y", 2), ("g1.b", "unclear", 3), ("g1.a", "z", 4)],
            ),
        ],
        found: Vec::new(),
    }
}

/// The rules that are broken in the good history with one change.
fn broken_by(change: impl FnOnce(&mut History)) -> Vec<&'static str> {
    let mut history = good();
    change(&mut history);
    let mut rules: Vec<&str> = history
        .violations()
        .iter()
        .map(|found| found.rule)
        .collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn a_history_that_keeps_to_the_rules_has_no_broken_ones() -> googletest::Result<()> {
    verify_that!(good().violations(), is_empty())
}

#[test]
fn two_holders_at_one_moment_and_fences_that_do_not_rise_break_one() -> googletest::Result<()> {
    let overlapping = broken_by(|history| history.holds.push(hold("c", 3, 6, 20)));
    verify_that!(overlapping, eq(&vec!["ONE"]))?;
    let same_fence = broken_by(|history| history.holds.push(hold("c", 2, 20, 25)));
    verify_that!(same_fence, eq(&vec!["ONE"]))?;
    let lower_fence = broken_by(|history| history.holds.push(hold("a", 1, 20, 25)));
    verify_that!(lower_fence, eq(&vec!["ONE"]))?;
    let lower_fence_of_owner = broken_by(|history| history.holds.push(hold("b", 1, 20, 25)));
    verify_that!(lower_fence_of_owner, eq(&vec!["ONE"]))
}

#[test]
fn numbers_and_revisions_that_repeat_or_fall_break_order() -> googletest::Result<()> {
    let repeated = broken_by(|history| history.numbers.push(number(3, 1)));
    verify_that!(repeated, eq(&vec!["ORDER"]))?;
    let lower = broken_by(|history| history.numbers.push(number(8, 20)));
    verify_that!(lower, eq(&vec!["ORDER"]))?;
    let lower_revision = broken_by(|history| {
        let late = put("g1.b", "late", 2, 20, PutAnswer::Written(3));
        history.watches.pop();
        history.puts.push(late);
    });
    verify_that!(lower_revision, eq(&vec!["ORDER"]))?;
    let over_a_later_one = broken_by(|history| {
        let over = put("g1.a", "over", 1, 20, PutAnswer::Written(5));
        history.puts.push(over);
    });
    verify_that!(over_a_later_one, eq(&vec!["ORDER"]))?;
    let passed_over = broken_by(|history| history.watches.push(watch(1, 4, &[("g1.b", "y", 2)])));
    verify_that!(passed_over, eq(&vec!["ORDER"]))?;
    let falling = broken_by(|history| {
        let events = [("g1.a", "z", 4), ("g1.b", "unclear", 3)];
        history.watches.push(watch(2, 4, &events));
    });
    verify_that!(falling, eq(&vec!["ORDER"]))
}

#[test]
fn reads_behind_a_put_and_values_of_nobody_break_stale_mixed_and_refused() -> googletest::Result<()>
{
    let behind = broken_by(|history| history.gets.push(get("g1.a", "x", 1, 20)));
    verify_that!(behind, eq(&vec!["STALE"]))?;
    let of_nobody = broken_by(|history| history.gets.push(get("g1.b", "nobody", 7, 20)));
    verify_that!(of_nobody, eq(&vec!["MIXED"]))?;
    let under_two = broken_by(|history| history.gets.push(get("g1.a", "z", 6, 20)));
    verify_that!(under_two, eq(&vec!["MIXED"]))?;
    let unknown = broken_by(|history| {
        let changed = put("g1.a", "late", 4, 20, PutAnswer::Changed(3));
        history.puts.push(changed);
    });
    verify_that!(unknown, eq(&vec!["MIXED"]))?;
    for refused in ["refused", "away"] {
        let cell = if refused == "away" { "g1.b" } else { "g1.a" };
        let shown = broken_by(|history| history.gets.push(get(cell, refused, 8, 20)));
        verify_that!(shown, eq(&vec!["REFUSED"]))?;
    }
    Ok(())
}
