//! Leases: what renews them, and with which registry a proxy goes on when one runs out.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::candidates::Candidates;
use emberpin_membership::lease::{Lease, SessionLease};
use emberpin_membership::timing::{recovery, AVOIDED, FIRST_CONFIRMATION, PROXY_LEASE};
use googletest::prelude::*;
use std::net::Ipv4Addr;

fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

#[gtest]
fn an_answer_counts_from_its_question_less_its_age() {
    let mut lease = Lease::default();
    expect_that!(lease.age(5_000), none());
    let question = lease.ask(5_000);
    // However late it comes.
    lease.answer(question, Some(300));
    expect_that!(lease.age(9_000), some(eq(4_300)));
    expect_that!(
        (lease.holds(9_000, 4_300), lease.holds(9_000, 4_299)),
        eq((true, false))
    );
    // What confirms nothing takes nothing back, and an older answer neither.
    let (first, second) = (lease.ask(9_000), lease.ask(9_500));
    lease.answer(first, None);
    lease.answer(second, Some(6_000));
    expect_that!(lease.age(9_500), some(eq(4_800)));
}

#[gtest]
fn an_answer_counts_once_and_only_to_a_question_that_was_asked() {
    let mut lease = Lease::default();
    let old = lease.ask(1_000);
    let new = lease.ask(2_000);
    lease.answer(new + 1, Some(0));
    expect_that!(lease.age(2_000), none());
    lease.answer(new, Some(0));
    // It is behind the newer one.
    lease.answer(old, Some(0));
    lease.answer(new, Some(0));
    expect_that!(lease.age(3_000), some(eq(1_000)));
    // Of those that are never answered, few are remembered.
    let forgotten = lease.ask(4_000);
    (0..16).for_each(|_| _ = lease.ask(4_000));
    lease.answer(forgotten, Some(0));
    expect_that!(lease.age(4_000), some(eq(2_000)));
}

#[gtest]
fn what_was_confirmed_before_this_process_began_counts() {
    let mut lease = Lease::default();
    let question = lease.ask(10);
    lease.answer(question, Some(500));
    expect_that!(lease.age(20), some(eq(510)));
}

#[gtest]
fn a_session_ends_with_its_lease_or_without_a_first_confirmation() {
    let mut lease = SessionLease::new(1_000);
    expect_that!(lease.is_over(1_000 + FIRST_CONFIRMATION), eq(false));
    expect_that!(lease.is_over(1_001 + FIRST_CONFIRMATION), eq(true));
    // A snapshot that is still coming is awaited.
    lease.progressed(2_000);
    expect_that!(lease.is_over(2_000 + FIRST_CONFIRMATION), eq(false));
    let question = lease.ask(2_000);
    lease.answer(question, Some(100));
    let until = 2_000 - 100 + PROXY_LEASE;
    expect_that!(
        (lease.is_confirmed(until), lease.is_over(until)),
        eq((true, false))
    );
    expect_that!(
        (lease.is_confirmed(until + 1), lease.is_over(until + 1)),
        eq((false, true))
    );
}

#[gtest]
fn registries_that_could_confirm_nothing_are_the_last_choice() {
    let mut candidates = Candidates::default();
    let seeds = [ip(1), ip(2), ip(9)];
    candidates.told((1..=5).map(ip).collect(), true);
    // Both sessions are with the two that are cut off; whatever is drawn, neither goes to the other's.
    for draw in 0..20 {
        let mut candidates = candidates.clone();
        for (session, registry) in [(0, ip(1)), (1, ip(2))] {
            expect_that!(
                candidates.choose(0, session, [registry].into_iter(), None, 0),
                some(anything())
            );
        }
        let mut cut = Candidates::default();
        cut.told((1..=5).map(ip).collect(), true);
        for session in [0, 1] {
            let seeds = [ip(session + 1)].into_iter();
            _ = cut.choose(0, session.into(), seeds, None, 0);
            cut.ended(0, session.into(), false);
        }
        let chosen = cut.choose(1, 0, seeds.into_iter(), None, draw);
        expect_that!(
            chosen.map(|ip| (3..=5).contains(&ip.octets()[3])),
            some(eq(true))
        );
    }
}

#[gtest]
fn where_nobody_else_is_known_any_registry_is_tried_again() {
    let mut candidates = Candidates::default();
    let choose =
        |candidates: &mut Candidates, now| candidates.choose(now, 0, [ip(1)].into_iter(), None, 0);
    expect_that!(choose(&mut candidates, 0), some(eq(ip(1))));
    candidates.ended(0, 0, false);
    expect_that!(choose(&mut candidates, 1), some(eq(ip(1))));
    candidates.ended(1, 0, false);
    // One that is only named by a registry without a majority comes first now, and no more after that.
    candidates.told(vec![ip(1), ip(7)], false);
    expect_that!(choose(&mut candidates, 2), some(eq(ip(7))));
    candidates.ended(2, 0, true);
    candidates.told(vec![ip(1), ip(2)], true);
    expect_that!(choose(&mut candidates, 3), some(eq(ip(2))));
    candidates.ended(3, 0, false);
    expect_that!(choose(&mut candidates, 3 + AVOIDED), some(eq(ip(1))));
}

/// The sums themselves are asserted where they stand, and do not compile beyond the bounds.
#[gtest]
fn a_cut_costs_what_the_page_says() {
    expect_that!(
        (0..3).map(recovery).collect::<Vec<_>>(),
        elements_are![eq(&2_600), eq(&3_600), eq(&4_900)]
    );
}
