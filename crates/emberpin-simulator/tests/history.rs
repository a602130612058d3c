//! Histories that fit no order of operations are found, and others aren't.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_simulator::history::{check, Call, Numbered, Outcome};
use googletest::prelude::*;

fn item(name: &str, version: u64, content: &str) -> Numbered {
    Numbered {
        name: name.into(),
        version,
        content: Some(content.into()),
    }
}

fn dropped(name: &str, version: u64) -> Numbered {
    Numbered {
        name: name.into(),
        version,
        content: None,
    }
}

fn call(times: (u64, u64), items: &[Numbered], outcome: Outcome) -> Call {
    Call {
        sent: times.0,
        ended: times.1,
        items: items.to_vec(),
        outcome,
    }
}

fn confirmed(times: (u64, u64), items: &[Numbered]) -> Call {
    call(times, items, Outcome::Confirmed)
}

/// Refused at its only attempt.
fn refused(times: (u64, u64), items: &[Numbered]) -> Call {
    call(
        times,
        items,
        Outcome::Refused {
            attempted: times.0,
            only: true,
        },
    )
}

fn shown(times: (u64, u64), items: &[Numbered]) -> Call {
    call(times, &[], Outcome::Shown(items.to_vec()))
}

#[gtest]
fn a_repeat_of_what_was_taken_may_be_confirmed_and_not_refused() {
    let (five, six) = ([item("x", 5, "a")], [item("x", 6, "b")]);
    let taken = [confirmed((1, 2), &five), confirmed((3, 4), &six)];
    let with = |last: Call| [&taken[..], &[last, shown((7, 8), &six)]].concat();
    expect_that!(check(&with(confirmed((5, 6), &five))), ok(anything()));
    expect_that!(check(&with(refused((5, 6), &five))), err(anything()));
    let unclear = call((5, 0), &five, Outcome::Unclear);
    expect_that!(check(&with(unclear)), ok(anything()));
}

#[gtest]
fn one_number_has_one_content_after_higher_ones_and_drops() {
    let other = [item("x", 5, "other"), item("y", 1, "new")];
    for later in [item("x", 6, "b"), dropped("x", 6)] {
        let calls = [
            confirmed((1, 2), &[item("x", 5, "a")]),
            confirmed((3, 4), std::slice::from_ref(&later)),
            confirmed((5, 6), &other),
        ];
        let wrong = check(&calls).expect_err("two contents were confirmed");
        expect_that!(wrong.names, unordered_elements_are![eq("x")]);
    }
}

#[gtest]
fn a_race_has_one_winner() {
    let racers: Vec<Call> = (0..8)
        .map(|who| confirmed((1, 9), &[item("x", 5, &format!("{who}"))]))
        .collect();
    expect_that!(check(&racers), err(anything()));
    let winner = [item("x", 5, "3")];
    let race = |shows: &str| -> Vec<Call> {
        let racer = |who: u64| match who {
            3 => confirmed((1, 9), &winner),
            _ => refused((1, 9), &[item("x", 5, &format!("{who}"))]),
        };
        (0..8)
            .map(racer)
            .chain([shown((10, 11), &[item("x", 5, shows)])])
            .collect()
    };
    expect_that!(check(&race("3")), ok(anything()));
    expect_that!(check(&race("4")), err(anything()));
}

#[gtest]
fn what_was_confirmed_is_shown_until_something_higher_is() {
    let calls = |show: &[Numbered]| [confirmed((1, 2), &[item("x", 5, "a")]), shown((3, 4), show)];
    expect_that!(check(&calls(&[item("x", 5, "a")])), ok(anything()));
    expect_that!(check(&calls(&[])), err(anything()));
    expect_that!(check(&calls(&[item("x", 4, "a")])), err(anything()));
}

#[gtest]
fn what_has_no_clear_answer_takes_effect_at_any_later_time_and_not_twice() {
    let (five, six) = (item("x", 5, "a"), item("x", 6, "b"));
    let calls = |shows: &[&Numbered]| {
        let mut calls = vec![
            confirmed((1, 2), std::slice::from_ref(&five)),
            call((3, 0), std::slice::from_ref(&six), Outcome::Unclear),
        ];
        for (at, show) in (1..).zip(shows) {
            calls.push(shown((at * 10, at * 10 + 1), &[(*show).clone()]));
        }
        calls
    };
    expect_that!(check(&calls(&[&five, &five])), ok(anything()));
    expect_that!(check(&calls(&[&five, &six])), ok(anything()));
    expect_that!(check(&calls(&[&six, &five])), err(anything()));
}

#[gtest]
fn an_earlier_attempt_of_a_refused_order_may_still_take_effect() {
    let order = [item("x", 5, "a")];
    let refused = call(
        (1, 9),
        &order,
        Outcome::Refused {
            attempted: 7,
            only: false,
        },
    );
    expect_that!(
        check(&[refused.clone(), shown((10, 11), &order)]),
        ok(anything())
    );
    // But not if its effect was seen before the attempt that was refused.
    expect_that!(check(&[refused, shown((5, 6), &order)]), err(anything()));
}

#[gtest]
fn a_call_of_two_items_takes_effect_at_once() {
    let (x, y) = (item("x", 5, "a"), item("y", 5, "b"));
    let calls = [
        call((1, 0), &[x.clone(), y.clone()], Outcome::Unclear),
        shown((2, 3), std::slice::from_ref(&x)),
        shown((4, 5), &[x.clone(), y.clone()]),
    ];
    expect_that!(check(&calls), err(anything()));
    expect_that!(check(&calls[..1]), ok(anything()));
}
