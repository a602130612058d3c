//! The slow start of servers that have just started.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn a_cold_server_gets_its_share_of_what_warm_ones_carry() {
    let mut harness = Harness::new(settings(), 4);
    harness.serve_for(100.0, 10_000.0);
    let mut line = server(3);
    line.started_at = Some(harness.now);
    harness.update_membership(MembershipUpdate::Changes(vec![line]));
    let start = harness.now;
    let mut cold = 0;
    let mut out = std::collections::VecDeque::new();
    for k in 0..300u32 {
        harness.now += 10.0;
        if k % 10 == 0 {
            harness.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = harness.arrive(SAFE, 0, 70_000 + u64::from(k));
        let Some(to) = sent_to(&actions) else {
            continue;
        };
        cold += u32::from(to == ServerId(3));
        out.push_back((id, to));
        if out.len() > 20 {
            let (id, to) = out.pop_front().expect("not empty");
            harness.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    let seconds = (harness.now - start) / 1000.0;
    // Its like carry 33 a second each; at a quarter to a half of that, twice over is the fall.
    assert!(
        cold > 0 && f64::from(cold) < 33.0 * 0.5 * seconds * 1.2,
        "{cold} in {seconds} s"
    );
}

#[test]
fn the_shares_of_a_cold_server_add_up_to_its_limit_however_few_gateways_there_are() {
    // What warm ones carry is such that more gateways than these three would be let send.
    let mut harness = Harness::fresh(settings(), 4);
    harness.serve_for(400.0, 10_000.0);
    harness.update_membership(MembershipUpdate::Changes(vec![Server {
        started_at: Some(harness.now),
        ..server(3)
    }]));
    let start = harness.now;
    let (mut cold, mut out) = (0, std::collections::VecDeque::new());
    for k in 0..1_200u32 {
        harness.now += 2.5;
        if k % 40 == 0 {
            harness.handle(Event::Timer { token: 0 });
        }
        let (id, actions) = harness.arrive(SAFE, 0, 70_000 + u64::from(k));
        let Some(to) = sent_to(&actions) else {
            continue;
        };
        cold += u32::from(to == ServerId(3));
        out.push_back((id, to));
        if out.len() > 8 {
            let (id, to) = out.pop_front().expect("not empty");
            harness.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    // Its like carry 300 a second each over three gateways. Of twice what a quarter to a half of it can do, half is
    // given out, a third of that here: 25 to 40 a second.
    let rate = f64::from(cold) * 1000.0 / (harness.now - start);
    assert!((15.0..45.0).contains(&rate), "{rate} a second");
}

#[test]
fn what_warm_servers_carry_is_not_forgotten_as_soon_as_less_is_asked_of_them() {
    let mut harness = Harness::fresh(settings(), 4);
    harness.serve_for(100.0, 10_000.0);
    let cold_after = |harness: &mut Harness| {
        // Two leave and come anew, cold; little is asked of the two that stay.
        let lines = (2..4).map(|id| Server {
            started_at: Some(harness.now),
            ..server(id)
        });
        harness.update_membership(MembershipUpdate::Changes(lines.collect()));
        harness.serve_for(10.0, 4_000.0);
        // A surge: the cold ones carry their share of it.
        let (mut cold, mut out) = (0, std::collections::VecDeque::new());
        for k in 0..200 {
            harness.now += 5.0;
            let (id, actions) = harness.arrive(SAFE, 0, 80_000 + k);
            let Some(to) = sent_to(&actions) else {
                continue;
            };
            cold += u32::from(to.0 >= 2);
            out.push_back((id, to));
            if out.len() > 16 {
                let (id, to) = out.pop_front().expect("not empty");
                harness.end_attempt(id, 0, to, Outcome::Ok);
            }
        }
        cold
    };
    let cold = cold_after(&mut harness);
    assert!(cold >= 10, "{cold} of 200 in a second");
}

/// Once nothing at all, until the first of them was warm.
#[test]
fn a_fleet_that_is_all_cold_gets_what_one_request_after_the_other_makes() {
    let mut harness = Harness::fresh(settings(), 0);
    let cold = |id| Server {
        started_at: Some(1_000_000.0),
        ..server(id)
    };
    harness.update_membership(MembershipUpdate::Full((0..4).map(cold).collect()));
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
    // Four servers at a quarter and more, and of what twice that is, half: more than 4 x 0.25 x 1000 / 125 a second
    // from the first answer on, shared by three gateways; a third of a third of all that 30 ms would allow at most.
    assert!((13..150).contains(&admitted), "{admitted} in 5 s");
}

#[test]
fn a_cold_server_is_charged_by_the_size_of_its_requests() {
    let soon_after = |units: f64| {
        let mut harness = Harness::fresh(settings(), 4);
        harness.serve_for(100.0, 4_000.0);
        learn_latencies_by_units(&mut harness);
        // The warm ones are so busy that all goes to the cold one that its guard allows.
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
    let (large, small) = (soon_after(4.0), soon_after(1.0));
    assert!(
        large * 2 <= small,
        "one of 300 ms takes the part of many of 20 ms: {large}, {small}"
    );
}
