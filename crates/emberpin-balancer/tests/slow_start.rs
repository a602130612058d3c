//! Slow start: the load that servers receive while they are warming up.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn a_cold_server_is_sent_its_share_of_a_warm_servers_load() {
    let mut harness = Harness::new(settings(), 4);
    harness.serve_for(100.0, 10_000.0);
    let mut entry = server(3);
    entry.started_at = Some(harness.now);
    harness.update_membership(MembershipUpdate::Changes(vec![entry]));
    let start = harness.now;
    let mut to_cold = 0;
    let mut in_flight = std::collections::VecDeque::new();
    for k in 0..300u32 {
        harness.now += 10.0;
        if k % 10 == 0 {
            harness.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = harness.arrive(SAFE, 0, 70_000 + u64::from(k));
        let Some(to) = sent_to(&actions) else {
            continue;
        };
        to_cold += u32::from(to == ServerId(3));
        in_flight.push_back((id, to));
        if in_flight.len() > 20 {
            let (id, to) = in_flight.pop_front().expect("not empty");
            harness.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    let seconds = (harness.now - start) / 1000.0;
    // A warm server serves 33 requests per second. Cold, it has a quarter to a half of that capacity, and twice its
    // capacity overloads it.
    assert!(
        to_cold > 0 && f64::from(to_cold) < 33.0 * 0.5 * seconds * 1.2,
        "{to_cold} in {seconds} s"
    );
}

#[test]
fn a_small_groups_shares_of_a_cold_server_add_up_to_its_limit() {
    // The throughput of a warm server is so high that more gateways than these three would be allowed to send.
    let mut harness = Harness::just_started(settings(), 4);
    harness.serve_for(400.0, 10_000.0);
    harness.update_membership(MembershipUpdate::Changes(vec![Server {
        started_at: Some(harness.now),
        ..server(3)
    }]));
    let start = harness.now;
    let (mut to_cold, mut in_flight) = (0, std::collections::VecDeque::new());
    for k in 0..1_200u32 {
        harness.now += 2.5;
        if k % 40 == 0 {
            harness.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = harness.arrive(SAFE, 0, 70_000 + u64::from(k));
        let Some(to) = sent_to(&actions) else {
            continue;
        };
        to_cold += u32::from(to == ServerId(3));
        in_flight.push_back((id, to));
        if in_flight.len() > 8 {
            let (id, to) = in_flight.pop_front().expect("not empty");
            harness.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    // A warm server serves 300 requests per second over three gateways. Half of the overload limit, which is twice
    // a quarter to a half of that, may be sent; a third of it by this gateway: 25 to 40 per second.
    let rate = f64::from(to_cold) * 1000.0 / (harness.now - start);
    assert!((15.0..45.0).contains(&rate), "{rate} a second");
}

#[test]
fn the_learned_throughput_of_warm_servers_survives_a_time_of_low_load() {
    let mut harness = Harness::just_started(settings(), 4);
    harness.serve_for(100.0, 10_000.0);
    let attempts_at_cold_servers = |harness: &mut Harness| {
        // Two servers restart and are cold; the two warm ones have little load.
        let entries = (2..4).map(|id| Server {
            started_at: Some(harness.now),
            ..server(id)
        });
        harness.update_membership(MembershipUpdate::Changes(entries.collect()));
        harness.serve_for(10.0, 4_000.0);
        // A surge: the cold servers have to take their share of it.
        let (mut to_cold, mut in_flight) = (0, std::collections::VecDeque::new());
        for k in 0..200 {
            harness.now += 5.0;
            let (id, actions) = harness.arrive(SAFE, 0, 80_000 + k);
            let Some(to) = sent_to(&actions) else {
                continue;
            };
            to_cold += u32::from(to.0 >= 2);
            in_flight.push_back((id, to));
            if in_flight.len() > 16 {
                let (id, to) = in_flight.pop_front().expect("not empty");
                harness.end_attempt(id, 0, to, Outcome::Ok);
            }
        }
        to_cold
    };
    let to_cold = attempts_at_cold_servers(&mut harness);
    assert!(to_cold >= 10, "{to_cold} of 200 in a second");
}

/// Guards against a fleet without any warm server receiving no requests until the first one is warm.
#[test]
fn a_fleet_without_warm_servers_is_sent_at_least_one_request_after_the_other() {
    let mut harness = Harness::just_started(settings(), 0);
    let cold_server = |id| Server {
        started_at: Some(1_000_000.0),
        ..server(id)
    };
    harness.update_membership(MembershipUpdate::Full((0..4).map(cold_server).collect()));
    let (start, mut admitted) = (harness.now, 0);
    while harness.now < start + 5_000.0 {
        harness.now += 20.0;
        harness.handle(Event::Timer { token: 0 });
        let (id, actions) = harness.arrive(SAFE, 0, 70_000 + harness.now as u64);
        let Some(to) = sent_to(&actions) else {
            continue;
        };
        admitted += 1;
        harness.now += 30.0;
        harness.end_attempt(id, 0, to, Outcome::Ok);
    }
    // Four cold servers have at least a quarter of their capacity. Twice that overloads them, and half of that load may
    // be sent: more than 4 x 0.25 x 1000 / 125 per second from the first answer on, shared by three gateways. The upper
    // bound is a third of a third of all that 30 ms per request would allow.
    assert!((13..150).contains(&admitted), "{admitted} in 5 s");
}

#[test]
fn the_slow_start_budget_is_charged_by_the_work_of_requests() {
    let small_requests_after = |units: f64| {
        let mut harness = Harness::just_started(settings(), 4);
        harness.serve_for(100.0, 4_000.0);
        learn_latencies_by_units(&mut harness);
        // The warm servers are so busy that the cold one receives all requests that its slow-start budget allows.
        harness.update_membership(MembershipUpdate::Changes(vec![Server {
            status: ServerStatus::Draining,
            ..server(3)
        }]));
        for k in 0..30 {
            harness.arrive_with(SAFE, 0, 1 + k, 4.0, 3);
        }
        harness.update_membership(MembershipUpdate::Changes(vec![Server {
            started_at: Some(harness.now),
            ..server(3)
        }]));
        harness.now += 400.0;
        assert_eq!(
            sent_to(&harness.arrive_with(SAFE, 0, 100, units, 3).1),
            Some(ServerId(3))
        );
        let next = (0..20u64).filter(|k| {
            harness.now += 10.0;
            sent_to(&harness.arrive_with(SAFE, 0, 200 + k, 1.0, 3).1) == Some(ServerId(3))
        });
        next.count()
    };
    let (large, small) = (small_requests_after(4.0), small_requests_after(1.0));
    assert!(
        large * 2 <= small,
        "one request of 300 ms uses the budget of many of 20 ms: {large}, {small}"
    );
}
