//! Outlier ejection: which servers are ejected for their failures, and for how long.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn a_server_that_fails_alone_is_ejected_and_used_again_later() {
    let mut harness = Harness::new(settings(), 6);
    // The healthy servers answer only after all servers were tried.
    let mut in_flight = Vec::new();
    for k in 0..20 {
        let (id, actions) = harness.arrive(SAFE, 0, 100 + k);
        let mut attempt = 0;
        let mut to = sent_to(&actions).expect("sent");
        while to == ServerId(2) {
            to = sent_to(&harness.end_attempt(id, attempt, to, Outcome::ConnectFailed))
                .expect("retried at another server");
            attempt += 1;
        }
        in_flight.push((id, attempt, to));
    }
    for (id, attempt, to) in in_flight {
        harness.end_attempt(id, attempt, to, Outcome::Ok);
    }
    let to_failing = (0..50).filter(|k| {
        let (id, actions) = harness.arrive(SAFE, 0, 1000 + k);
        let to = sent_to(&actions).expect("sent");
        harness.end_attempt(id, 0, to, Outcome::Ok);
        to == ServerId(2)
    });
    assert_eq!(to_failing.count(), 0, "ejected");
    harness.advance(20_000.0);
    let mut trial = None;
    for k in 0..30 {
        let (id, actions) = harness.arrive(SAFE, 0, 2000 + k);
        if sent_to(&actions) == Some(ServerId(2)) {
            assert!(trial.is_none(), "one attempt at a time until it answers");
            trial = Some(id);
        }
    }
    for k in 0..3 {
        let id = trial.expect("tried again after its ejection");
        harness.end_attempt(id, 0, ServerId(2), Outcome::Ok);
        let mut next = (0..30).map(|n| harness.arrive(SAFE, 0, 3000 + 100 * k + n));
        trial = next
            .find(|(_, actions)| sent_to(actions) == Some(ServerId(2)))
            .map(|(id, _)| id);
    }
    assert!(trial.is_some(), "chosen again like any other server");
}

/// Serves requests with two attempts in flight for each server; an attempt is reset if `is_reset` returns true for
/// its number and server. Returns the mean share of ejected servers.
fn ejected_share(is_reset: impl Fn(u64, ServerId) -> bool) -> f64 {
    const SERVERS: u32 = 9;
    let mut harness = Harness::new(settings(), SERVERS);
    let (mut ejected, mut samples) = (0, 0);
    let mut in_flight = std::collections::VecDeque::new();
    for k in 0..3_000u64 {
        harness.now += 10.0;
        let (id, actions) = harness.arrive(SAFE, 0, 100_000 + k);
        in_flight.extend(sent_to(&actions).map(|to| (id, 0, to)));
        if in_flight.len() > 2 * SERVERS as usize {
            let (id, attempt, to) = in_flight.pop_front().expect("not empty");
            let outcome = if is_reset(k, to) {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            in_flight.extend(
                sent_to(&harness.end_attempt(id, attempt, to, outcome))
                    .map(|to| (id, attempt + 1, to)),
            );
        }
        if k % 50 == 49 {
            ejected += harness.gateway.ejected_count(harness.now);
            samples += SERVERS;
        }
    }
    f64::from(ejected) / f64::from(samples)
}

/// Guards against ejecting one server after the other when connections break by chance at any server.
#[test]
fn resets_that_affect_all_servers_alike_eject_none() {
    let chance = |k: u64, _| k.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 7 == 0;
    let share = ejected_share(chance);
    assert!(
        share < 0.03,
        "one attempt in eight is reset: {share:.2} of the servers are ejected"
    );
}

#[test]
fn a_server_that_alone_resets_its_connections_is_ejected() {
    let share = ejected_share(|_, server| server == ServerId(4));
    assert!(
        (0.08..0.13).contains(&share),
        "one of nine is ejected most of the time: {share:.2}"
    );
}

#[test]
fn half_of_the_servers_can_be_ejected_together_but_not_all() {
    let mut harness = Harness::new(settings(), 6);
    for k in 0..30 {
        // The healthy servers do not answer, so the failing ones look idle and are tried.
        let (id, actions) = harness.arrive(SAFE, 0, 100 + k);
        let mut to = sent_to(&actions);
        let mut attempt = 0;
        while let Some(server) = to.filter(|server| server.0 < 3) {
            to = sent_to(&harness.end_attempt(id, attempt, server, Outcome::ConnectFailed));
            attempt += 1;
        }
    }
    let to_unreachable = (0..30).filter(|k| {
        sent_to(&harness.arrive(SAFE, 0, 1000 + k).1)
            .expect("sent")
            .0
            < 3
    });
    assert_eq!(to_unreachable.count(), 0, "all three are ejected");

    let mut harness = Harness::new(settings(), 6);
    for k in 0..60 {
        let (id, actions) = harness.arrive(SAFE, 0, 100 + k);
        let mut to = sent_to(&actions);
        let mut attempt = 0;
        while let Some(server) = to {
            to = sent_to(&harness.end_attempt(id, attempt, server, Outcome::ConnectFailed));
            attempt += 1;
        }
    }
    assert!(
        sent_to(&harness.arrive(SAFE, 0, 999).1).is_some(),
        "a fault that all servers share must not leave none to choose"
    );
}

#[test]
fn unreachable_servers_are_ejected_even_if_only_one_is_left() {
    let mut harness = Harness::new(settings(), 6);
    for k in 0..30 {
        let (id, actions) = harness.arrive(SAFE, 0, 100 + k);
        let mut to = sent_to(&actions);
        let mut attempt = 0;
        while let Some(server) = to.filter(|server| server.0 > 0) {
            to = sent_to(&harness.end_attempt(id, attempt, server, Outcome::ConnectFailed));
            attempt += 1;
        }
    }
    for k in 0..10 {
        assert_eq!(
            sent_to(&harness.arrive(SAFE, 0, 1000 + k).1),
            Some(ServerId(0)),
            "the only one that accepts connections"
        );
    }
}
