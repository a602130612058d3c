//! The choice of the registry with which a proxy opens its next session.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::candidates::{Confirmation, RegistryCandidates};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::timing::AVOIDANCE_PERIOD;
use googletest::prelude::*;
use std::net::Ipv4Addr;

fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[gtest]
fn registries_of_unconfirmed_sessions_are_chosen_last() {
    let mut candidates = RegistryCandidates::default();
    let seeds = [ip(1), ip(2), ip(9)];
    candidates.on_registries_named((1..=5).map(ip).collect(), Confirmation::Confirmed);
    // The two sessions of the proxy were with the registries that are cut off. Whichever random number is drawn,
    // neither of these registries may be chosen for the next session.
    for random in 0..20 {
        let mut candidates = candidates.clone();
        for (slot, registry) in [(0, ip(1)), (1, ip(2))] {
            expect_that!(
                candidates.choose(at(0), slot, [registry].into_iter(), None, 0),
                some(anything())
            );
        }
        let mut cut_off = RegistryCandidates::default();
        cut_off.on_registries_named((1..=5).map(ip).collect(), Confirmation::Confirmed);
        for slot in [0, 1] {
            let seeds = [ip(slot + 1)].into_iter();
            _ = cut_off.choose(at(0), slot.into(), seeds, None, 0);
            cut_off.on_session_ended(at(0), slot.into(), Confirmation::Unconfirmed);
        }
        let chosen = cut_off.choose(at(1), 0, seeds.into_iter(), None, random);
        expect_that!(
            chosen.map(|ip| (3..=5).contains(&ip.octets()[3])),
            some(eq(true))
        );
    }
}

#[gtest]
fn an_avoided_registry_is_chosen_if_no_other_is_known() {
    let mut candidates = RegistryCandidates::default();
    let choose = |candidates: &mut RegistryCandidates, now| {
        candidates.choose(now, 0, [ip(1)].into_iter(), None, 0)
    };
    expect_that!(choose(&mut candidates, at(0)), some(eq(ip(1))));
    candidates.on_session_ended(at(0), 0, Confirmation::Unconfirmed);
    expect_that!(choose(&mut candidates, at(1)), some(eq(ip(1))));
    candidates.on_session_ended(at(1), 0, Confirmation::Unconfirmed);
    // A registry that only an unconfirmed one has named is preferred to the avoided one, until a confirmed registry
    // names others.
    candidates.on_registries_named(vec![ip(1), ip(7)], Confirmation::Unconfirmed);
    expect_that!(choose(&mut candidates, at(2)), some(eq(ip(7))));
    candidates.on_session_ended(at(2), 0, Confirmation::Confirmed);
    candidates.on_registries_named(vec![ip(1), ip(2)], Confirmation::Confirmed);
    expect_that!(choose(&mut candidates, at(3)), some(eq(ip(2))));
    candidates.on_session_ended(at(3), 0, Confirmation::Unconfirmed);
    expect_that!(
        choose(&mut candidates, at(3) + AVOIDANCE_PERIOD),
        some(eq(ip(1)))
    );
}
