//! The choice of a server by work in flight, latency and time without a result; and draining servers.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;
use std::collections::BTreeSet;

#[test]
fn a_draining_server_gets_no_new_request() {
    let mut harness = Harness::new(settings(), 2);
    let mut entry = server(0);
    entry.status = ServerStatus::Draining;
    harness.update_membership(MembershipUpdate::Changes(vec![entry]));
    for k in 0..50 {
        assert_eq!(
            sent_to(&harness.arrive(SAFE, 0, 100 + k).1),
            Some(ServerId(1))
        );
    }
    harness.update_membership(MembershipUpdate::Full(vec![]));
    let (_, actions) = harness.arrive(SAFE, 0, 999);
    assert!(rejected(&actions), "no server is left");
}

#[test]
fn a_server_that_does_not_answer_is_chosen_less_often() {
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
    let to_silent_server = (0..200).filter(|k| {
        let (id, actions) = harness.arrive(SAFE, 0, 9_000 + k);
        let to = sent_to(&actions).expect("sent");
        harness.end_attempt(id, 0, to, Outcome::Ok);
        to == ServerId(0)
    });
    assert!(
        to_silent_server.count() < 80,
        "{silent:?} is still in flight, so its server should be avoided"
    );
}

#[test]
fn requests_are_balanced_by_their_work_and_not_by_their_number() {
    let mut harness = harness_with_latencies_by_units(2);
    let large = sent_to(&harness.arrive_with(SAFE, 0, 1, 4.0, 3).1).expect("sent");
    for k in 0..5 {
        let small = sent_to(&harness.arrive_with(SAFE, 0, 2 + k, 1.0, 3).1).expect("sent");
        assert_ne!(
            small, large,
            "a request of 300 ms is in flight there, and {k} requests of 20 ms at the other server"
        );
    }
}

#[test]
fn a_server_that_answers_large_requests_does_not_count_as_slow() {
    let mut harness = harness_with_latencies_by_units(2);
    let drain_all_but = |harness: &mut Harness, id: u32| {
        let draining = Server {
            status: ServerStatus::Draining,
            ..server(1 - id)
        };
        harness.update_membership(MembershipUpdate::Full(vec![server(id), draining]));
    };
    drain_all_but(&mut harness, 0);
    for _ in 0..40 {
        answer_new_request(&mut harness, 4.0, 300.0);
    }
    // The other server is slow with small requests.
    drain_all_but(&mut harness, 1);
    for _ in 0..6 {
        answer_new_request(&mut harness, 1.0, 40.0);
    }
    harness.update_membership(MembershipUpdate::Full(vec![server(0), server(1)]));
    assert_eq!(sent_to(&harness.arrive(SAFE, 0, 1).1), Some(ServerId(0)));
}

/// Guards against the initial latency estimate making the servers that answer first look fast for long: a server
/// added later would receive no requests.
#[test]
fn a_server_added_later_does_not_count_as_slower_than_those_used_first() {
    let mut harness = Harness::just_started(settings(), 2);
    for _ in 0..10 {
        answer_new_request(&mut harness, 1.0, 20.0);
    }
    harness.update_membership(MembershipUpdate::Changes(vec![server(2)]));
    for k in 0..3 {
        harness.arrive_with(SAFE, 0, 500 + k, 1.0, 3);
    }
    let next = sent_to(&harness.arrive_with(SAFE, 0, 600, 1.0, 3).1).expect("sent");
    let remaining =
        (0..2).map(|k| sent_to(&harness.arrive_with(SAFE, 0, 700 + k, 1.0, 3).1).expect("sent"));
    let used: BTreeSet<ServerId> = remaining.chain([next]).collect();
    assert_eq!(
        used.len(),
        3,
        "six requests are in flight at three servers: two at each"
    );
}

/// Guards against taking a server for stalled while a large request is in flight for no longer than requests of its
/// size usually take.
#[test]
fn a_server_with_a_large_request_in_flight_does_not_count_as_stalled() {
    for (elapsed, expected) in [(500.0, 0), (1_500.0, 1)] {
        let mut harness = harness_with_latencies_by_units(2);
        let drain_all_but = |harness: &mut Harness, id: u32| {
            let draining = Server {
                status: ServerStatus::Draining,
                ..server(1 - id)
            };
            harness.update_membership(MembershipUpdate::Full(vec![server(id), draining]));
        };
        drain_all_but(&mut harness, 0);
        harness.arrive_with(SAFE, 0, 1, 4.0, 3);
        harness.now += elapsed;
        // The other server has slightly more work in flight, sent just now.
        drain_all_but(&mut harness, 1);
        harness.arrive_with(SAFE, 0, 2, 4.0, 3);
        for k in 0..4 {
            harness.arrive_with(SAFE, 0, 10 + k, 1.0, 3);
        }
        harness.update_membership(MembershipUpdate::Full(vec![server(0), server(1)]));
        assert_eq!(
            sent_to(&harness.arrive_with(SAFE, 0, 5, 1.0, 3).1),
            Some(ServerId(expected)),
            "{elapsed} ms"
        );
    }
}
