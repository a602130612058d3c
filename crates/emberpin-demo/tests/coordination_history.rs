//! Tests of the history checks: they must find each violation of a rule, and none in a valid history.
#![allow(missing_docs, reason = "a test has no public interface")]

mod core_machines;

use core_machines::history::{Event, Get, History, Lease, Number, Put, PutResult, Span, Watch};
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

fn lease(owner: &str, fencing_token: u64, sent: u64, until: u64) -> Lease {
    Lease {
        lock: "l1".into(),
        owner: owner.into(),
        fencing_token,
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

fn put(cell: &str, value: &str, when: u64, sent: u64, result: PutResult) -> Put {
    Put {
        cell: cell.into(),
        value: value.into(),
        when,
        span: span(sent, sent + 1),
        result,
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

/// A history without violations: puts to `g1.a` at revisions 1 and 4 and to `g1.b` at 2, a put with a conflict, one
/// without a clear answer, and a rejected one.
fn valid_history() -> History {
    History {
        leases: vec![
            lease("a", 1, 0, 5),
            lease("b", 2, 4, 9),
            lease("b", 2, 6, 8),
        ],
        numbers: vec![number(1, 0), number(3, 1), number(2, 1), number(9, 4)],
        puts: vec![
            put("g1.a", "x", 0, 0, PutResult::Written(1)),
            put("g1.b", "y", 0, 2, PutResult::Written(2)),
            put("g1.a", "z", 1, 4, PutResult::Written(4)),
            put("g1.a", "refused", 1, 6, PutResult::Changed(4)),
            put("g1.b", "unclear", 2, 6, PutResult::Unknown),
            put("g1.b", "away", 2, 6, PutResult::Rejected),
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
        recorded_violations: Vec::new(),
    }
}

/// The rules that are violated by the valid history after one change.
fn rules_violated_by(change: impl FnOnce(&mut History)) -> Vec<&'static str> {
    let mut history = valid_history();
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
fn a_valid_history_has_no_violations() -> googletest::Result<()> {
    verify_that!(valid_history().violations(), is_empty())
}

#[test]
fn two_holders_at_a_time_and_fencing_tokens_that_do_not_increase_violate_one(
) -> googletest::Result<()> {
    let overlapping = rules_violated_by(|history| history.leases.push(lease("c", 3, 6, 20)));
    verify_that!(overlapping, eq(&vec!["ONE"]))?;
    let same_token = rules_violated_by(|history| history.leases.push(lease("c", 2, 20, 25)));
    verify_that!(same_token, eq(&vec!["ONE"]))?;
    let lower_token = rules_violated_by(|history| history.leases.push(lease("a", 1, 20, 25)));
    verify_that!(lower_token, eq(&vec!["ONE"]))?;
    let lower_token_of_owner =
        rules_violated_by(|history| history.leases.push(lease("b", 1, 20, 25)));
    verify_that!(lower_token_of_owner, eq(&vec!["ONE"]))
}

#[test]
fn repeated_or_decreasing_numbers_and_revisions_violate_order() -> googletest::Result<()> {
    let repeated = rules_violated_by(|history| history.numbers.push(number(3, 1)));
    verify_that!(repeated, eq(&vec!["ORDER"]))?;
    let lower = rules_violated_by(|history| history.numbers.push(number(8, 20)));
    verify_that!(lower, eq(&vec!["ORDER"]))?;
    let lower_revision = rules_violated_by(|history| {
        let late = put("g1.b", "late", 2, 20, PutResult::Written(3));
        history.watches.pop();
        history.puts.push(late);
    });
    verify_that!(lower_revision, eq(&vec!["ORDER"]))?;
    let over_a_later_revision = rules_violated_by(|history| {
        let over = put("g1.a", "over", 1, 20, PutResult::Written(5));
        history.puts.push(over);
    });
    verify_that!(over_a_later_revision, eq(&vec!["ORDER"]))?;
    let skipped =
        rules_violated_by(|history| history.watches.push(watch(1, 4, &[("g1.b", "y", 2)])));
    verify_that!(skipped, eq(&vec!["ORDER"]))?;
    let decreasing = rules_violated_by(|history| {
        let events = [("g1.a", "z", 4), ("g1.b", "unclear", 3)];
        history.watches.push(watch(2, 4, &events));
    });
    verify_that!(decreasing, eq(&vec!["ORDER"]))
}

#[test]
fn stale_reads_and_values_that_were_never_written_violate_stale_mixed_and_refused(
) -> googletest::Result<()> {
    let stale = rules_violated_by(|history| history.gets.push(get("g1.a", "x", 1, 20)));
    verify_that!(stale, eq(&vec!["STALE"]))?;
    let never_put = rules_violated_by(|history| history.gets.push(get("g1.b", "nobody", 7, 20)));
    verify_that!(never_put, eq(&vec!["MIXED"]))?;
    let two_revisions = rules_violated_by(|history| history.gets.push(get("g1.a", "z", 6, 20)));
    verify_that!(two_revisions, eq(&vec!["MIXED"]))?;
    let unknown_revision = rules_violated_by(|history| {
        let changed = put("g1.a", "late", 4, 20, PutResult::Changed(3));
        history.puts.push(changed);
    });
    verify_that!(unknown_revision, eq(&vec!["MIXED"]))?;
    for refused in ["refused", "away"] {
        let cell = if refused == "away" { "g1.b" } else { "g1.a" };
        let visible = rules_violated_by(|history| history.gets.push(get(cell, refused, 8, 20)));
        verify_that!(visible, eq(&vec!["REFUSED"]))?;
    }
    Ok(())
}
