//! Servers that operators take out of service and put back.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;
use std::collections::BTreeSet;

fn set_maintenance(harness: &mut Harness, id: u32, out_of_service: bool) -> Vec<Action> {
    harness.handle(Event::Maintenance {
        server: ServerId(id),
        out_of_service,
    })
}

/// The servers that receive any of `requests` requests.
fn served_by(harness: &mut Harness, requests: usize) -> BTreeSet<u32> {
    (0..requests)
        .filter_map(|k| {
            let (id, actions) = harness.arrive(SAFE, 0, 700_000 + k as u64);
            let server = sent_to(&actions)?;
            harness.end_attempt(id, 0, server, Outcome::Ok);
            Some(server.0)
        })
        .collect()
}

#[test]
fn a_server_in_maintenance_receives_no_requests_whatever_the_endpoint_list_says() {
    let mut harness = Harness::new(settings(), 3);
    set_maintenance(&mut harness, 1, true);
    assert_eq!(served_by(&mut harness, 60), BTreeSet::from([0, 2]));
    assert_eq!(harness.gateway.pool_size(harness.now), pool_size(3, 1));
    // It is removed, and returns as another incarnation.
    harness.update_membership(MembershipUpdate::Changes(vec![Server {
        status: ServerStatus::Removed,
        ..server(1)
    }]));
    assert_eq!(harness.gateway.pool_size(harness.now), pool_size(2, 0));
    harness.update_membership(MembershipUpdate::Full(
        (0..3)
            .map(|id| Server {
                started_at: Some(harness.now),
                ..server(id)
            })
            .collect(),
    ));
    harness.advance(30_000.0);
    // Taking it out a second time changes nothing; putting it back once is enough.
    set_maintenance(&mut harness, 1, true);
    assert_eq!(served_by(&mut harness, 60), BTreeSet::from([0, 2]));
    set_maintenance(&mut harness, 1, false);
    harness.advance(30_000.0);
    assert_eq!(served_by(&mut harness, 60), BTreeSet::from([0, 1, 2]));
    assert_eq!(harness.gateway.pool_size(harness.now), pool_size(3, 0));
}

#[test]
fn a_server_put_back_into_service_warms_up_without_its_earlier_failures() {
    let mut harness = Harness::just_started(settings(), 4);
    harness.serve_for(100.0, 10_000.0);
    while harness.gateway.ejected_count(harness.now) == 0 {
        let (id, actions) = harness.arrive(SAFE, 0, 1_000 + harness.now as u64);
        let at = sent_to(&actions).expect("sent");
        let outcome = if at == ServerId(3) {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        };
        harness.end_attempt_as(id, 0, at, outcome, true);
        harness.now += 1.0;
    }
    set_maintenance(&mut harness, 3, true);
    set_maintenance(&mut harness, 3, false);
    assert_eq!(
        harness.gateway.pool_size(harness.now),
        pool_size(4, 0),
        "it is no longer ejected"
    );
    let mut requests_by_server = [0u32; 4];
    let mut in_flight = std::collections::VecDeque::new();
    for k in 0..300 {
        harness.now += 10.0;
        if k % 10 == 0 {
            harness.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = harness.arrive(SAFE, 0, 900_000 + k);
        let Some(to) = sent_to(&actions) else {
            continue;
        };
        requests_by_server[to.0 as usize] += 1;
        in_flight.push_back((id, to));
        if in_flight.len() > 20 {
            let (id, to) = in_flight.pop_front().expect("not empty");
            harness.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    assert!(
        requests_by_server[3] > 0 && requests_by_server[3] * 3 < requests_by_server[0] * 2,
        "{requests_by_server:?}"
    );
}

#[test]
fn taking_out_the_last_server_is_allowed_and_logged() {
    let mut harness = Harness::new(settings(), 2);
    set_maintenance(&mut harness, 0, true);
    let actions = set_maintenance(&mut harness, 1, true);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Log(text) if text.contains("by hand"))));
    assert_eq!(served_by(&mut harness, 20), BTreeSet::new());
}
