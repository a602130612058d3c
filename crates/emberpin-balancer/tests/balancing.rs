//! The choice of a server, by the work in flight, latency and silence; and servers that drain.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;
use std::collections::BTreeSet;

#[test]
fn a_draining_server_gets_no_new_request() {
    let mut harness = Harness::new(settings(), 2);
    let mut line = server(0);
    line.status = ServerStatus::Draining;
    harness.update_membership(MembershipUpdate::Changes(vec![line]));
    for k in 0..50 {
        assert_eq!(
            sent_to(&harness.arrive(SAFE, 0, 100 + k).1),
            Some(ServerId(1))
        );
    }
    harness.update_membership(MembershipUpdate::Full(vec![]));
    let (_, actions) = harness.arrive(SAFE, 0, 999);
    assert!(rejected(&actions), "nobody is left");
}

#[test]
fn a_silent_server_is_passed_over() {
    let mut harness = Harness::new(settings(), 2);
    harness.serve_for(50.0, 5_000.0);
    let silent = loop {
        let (id, actions) = harness.arrive(SAFE, 0, 5_000 + harness.now as u64);
        let to = sent_to(&actions).expect("sent");
        harness.now += 1.0;
        if to == ServerId(0) {
            break id;
        }
        harness.end_attempt(id, 0, to, Outcome::Ok);
    };
    harness.now += 400.0;
    let both = (0..200).filter(|k| {
        let (id, actions) = harness.arrive(SAFE, 0, 9_000 + k);
        let to = sent_to(&actions).expect("sent");
        harness.end_attempt(id, 0, to, Outcome::Ok);
        to == ServerId(0)
    });
    assert!(
        both.count() < 80,
        "{silent:?} is still out: two choices avoid its server"
    );
}

#[test]
fn requests_are_spread_by_their_work_and_not_by_their_number() {
    let mut harness = harness_with_latencies_by_units(2);
    let large = sent_to(&harness.arrive_with(SAFE, 0, 1, 4.0, 3).1).expect("sent");
    for k in 0..5 {
        let small = sent_to(&harness.arrive_with(SAFE, 0, 2 + k, 1.0, 3).1).expect("sent");
        assert_ne!(
            small, large,
            "one of 300 ms is in flight there, and {k} of 20 ms at the other"
        );
    }
}

#[test]
fn a_server_is_not_slow_for_the_large_requests_that_it_answered() {
    let mut harness = harness_with_latencies_by_units(2);
    let only = |harness: &mut Harness, id: u32| {
        let draining = Server {
            status: ServerStatus::Draining,
            ..server(1 - id)
        };
        harness.update_membership(MembershipUpdate::Full(vec![server(id), draining]));
    };
    only(&mut harness, 0);
    for _ in 0..40 {
        answer_new_request(&mut harness, 4.0, 300.0);
    }
    // The other one is slow for small ones.
    only(&mut harness, 1);
    for _ in 0..6 {
        answer_new_request(&mut harness, 1.0, 40.0);
    }
    harness.update_membership(MembershipUpdate::Full(vec![server(0), server(1)]));
    assert_eq!(sent_to(&harness.arrive(SAFE, 0, 1).1), Some(ServerId(0)));
}

/// What is assumed of answers before any was seen must not make those that were used first look quick for long: who
/// comes later would get nothing.
#[test]
fn a_server_that_comes_later_is_no_slower_than_those_that_were_used_first() {
    let mut harness = Harness::fresh(settings(), 2);
    for _ in 0..10 {
        answer_new_request(&mut harness, 1.0, 20.0);
    }
    harness.update_membership(MembershipUpdate::Changes(vec![server(2)]));
    for k in 0..3 {
        harness.arrive_with(SAFE, 0, 500 + k, 1.0, 3);
    }
    let next = sent_to(&harness.arrive_with(SAFE, 0, 600, 1.0, 3).1).expect("sent");
    let out =
        (0..2).map(|k| sent_to(&harness.arrive_with(SAFE, 0, 700 + k, 1.0, 3).1).expect("sent"));
    let used: BTreeSet<ServerId> = out.chain([next]).collect();
    assert_eq!(
        used.len(),
        3,
        "six are in flight at three servers: two each"
    );
}

/// A large request in flight for no longer than requests of its size take is no silence of its server.
#[test]
fn a_server_that_works_on_a_large_request_is_not_taken_for_stalled() {
    for (since, expected) in [(500.0, 0), (1_500.0, 1)] {
        let mut harness = harness_with_latencies_by_units(2);
        let only = |harness: &mut Harness, id: u32| {
            let draining = Server {
                status: ServerStatus::Draining,
                ..server(1 - id)
            };
            harness.update_membership(MembershipUpdate::Full(vec![server(id), draining]));
        };
        only(&mut harness, 0);
        harness.arrive_with(SAFE, 0, 1, 4.0, 3);
        harness.now += since;
        // A little more than that is in flight at the other, since just now.
        only(&mut harness, 1);
        harness.arrive_with(SAFE, 0, 2, 4.0, 3);
        for k in 0..4 {
            harness.arrive_with(SAFE, 0, 10 + k, 1.0, 3);
        }
        harness.update_membership(MembershipUpdate::Full(vec![server(0), server(1)]));
        assert_eq!(
            sent_to(&harness.arrive_with(SAFE, 0, 5, 1.0, 3).1),
            Some(ServerId(expected)),
            "{since} ms"
        );
    }
}
