//! The linearizability check accepts histories that some order of operations explains, and rejects all others.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_simulator::history::{check, Call, Outcome, VersionedItem};
use googletest::prelude::*;
use std::time::Duration;

fn item(name: &str, version: u64, content: &str) -> VersionedItem {
    VersionedItem {
        name: name.into(),
        version,
        content: Some(content.into()),
    }
}

fn dropped(name: &str, version: u64) -> VersionedItem {
    VersionedItem {
        name: name.into(),
        version,
        content: None,
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A call with its begin and end in milliseconds.
fn call((sent, ended): (u64, u64), items: &[VersionedItem], outcome: Outcome) -> Call {
    Call {
        sent_at: ms(sent),
        ended_at: ms(ended),
        items: items.to_vec(),
        outcome,
    }
}

fn confirmed(times: (u64, u64), items: &[VersionedItem]) -> Call {
    call(times, items, Outcome::Confirmed)
}

/// A call that was rejected at its only attempt.
fn rejected(times: (u64, u64), items: &[VersionedItem]) -> Call {
    call(
        times,
        items,
        Outcome::Rejected {
            last_attempt_at: ms(times.0),
            is_only_attempt: true,
        },
    )
}

fn read(times: (u64, u64), items: &[VersionedItem]) -> Call {
    call(times, &[], Outcome::Read(items.to_vec()))
}

#[gtest]
fn repeated_accepted_patch_may_be_confirmed_but_not_rejected() {
    let (five, six) = ([item("x", 5, "a")], [item("x", 6, "b")]);
    let accepted = [confirmed((1, 2), &five), confirmed((3, 4), &six)];
    let with = |last: Call| [&accepted[..], &[last, read((7, 8), &six)]].concat();
    expect_that!(check(&with(confirmed((5, 6), &five))), ok(anything()));
    expect_that!(check(&with(rejected((5, 6), &five))), err(anything()));
    let unknown = call((5, 0), &five, Outcome::Unknown);
    expect_that!(check(&with(unknown)), ok(anything()));
}

#[gtest]
fn second_content_for_a_version_is_not_linearizable_even_after_higher_versions_and_drops() {
    let other = [item("x", 5, "other"), item("y", 1, "new")];
    for later in [item("x", 6, "b"), dropped("x", 6)] {
        let calls = [
            confirmed((1, 2), &[item("x", 5, "a")]),
            confirmed((3, 4), std::slice::from_ref(&later)),
            confirmed((5, 6), &other),
        ];
        let error = check(&calls).expect_err("two contents were confirmed");
        expect_that!(error.names, unordered_elements_are![eq("x")]);
    }
}

#[gtest]
fn only_one_of_several_concurrent_contents_is_confirmed_and_read() {
    let racers: Vec<Call> = (0..8)
        .map(|number| confirmed((1, 9), &[item("x", 5, &format!("{number}"))]))
        .collect();
    expect_that!(check(&racers), err(anything()));
    let winner = [item("x", 5, "3")];
    let race_with_read = |content: &str| -> Vec<Call> {
        let racer = |number: u64| match number {
            3 => confirmed((1, 9), &winner),
            _ => rejected((1, 9), &[item("x", 5, &format!("{number}"))]),
        };
        (0..8)
            .map(racer)
            .chain([read((10, 11), &[item("x", 5, content)])])
            .collect()
    };
    expect_that!(check(&race_with_read("3")), ok(anything()));
    expect_that!(check(&race_with_read("4")), err(anything()));
}

#[gtest]
fn confirmed_version_must_be_read_back() {
    let calls =
        |show: &[VersionedItem]| [confirmed((1, 2), &[item("x", 5, "a")]), read((3, 4), show)];
    expect_that!(check(&calls(&[item("x", 5, "a")])), ok(anything()));
    expect_that!(check(&calls(&[])), err(anything()));
    expect_that!(check(&calls(&[item("x", 4, "a")])), err(anything()));
}

#[gtest]
fn patch_with_unknown_outcome_takes_effect_once_at_any_later_time() {
    let (five, six) = (item("x", 5, "a"), item("x", 6, "b"));
    let calls = |shows: &[&VersionedItem]| {
        let mut calls = vec![
            confirmed((1, 2), std::slice::from_ref(&five)),
            call((3, 0), std::slice::from_ref(&six), Outcome::Unknown),
        ];
        for (at, show) in (1..).zip(shows) {
            calls.push(read((at * 10, at * 10 + 1), &[(*show).clone()]));
        }
        calls
    };
    expect_that!(check(&calls(&[&five, &five])), ok(anything()));
    expect_that!(check(&calls(&[&five, &six])), ok(anything()));
    expect_that!(check(&calls(&[&six, &five])), err(anything()));
}

#[gtest]
fn earlier_attempt_of_a_rejected_patch_may_still_take_effect() {
    let patch = [item("x", 5, "a")];
    let rejected = call(
        (1, 9),
        &patch,
        Outcome::Rejected {
            last_attempt_at: ms(7),
            is_only_attempt: false,
        },
    );
    expect_that!(
        check(&[rejected.clone(), read((10, 11), &patch)]),
        ok(anything())
    );
    // Not linearizable if a read showed its effect before the rejected attempt.
    expect_that!(check(&[rejected, read((5, 6), &patch)]), err(anything()));
}

#[gtest]
fn patch_with_two_items_takes_effect_atomically() {
    let (x, y) = (item("x", 5, "a"), item("y", 5, "b"));
    let calls = [
        call((1, 0), &[x.clone(), y.clone()], Outcome::Unknown),
        read((2, 3), std::slice::from_ref(&x)),
        read((4, 5), &[x.clone(), y.clone()]),
    ];
    expect_that!(check(&calls), err(anything()));
    expect_that!(check(&calls[..1]), ok(anything()));
}
