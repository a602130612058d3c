//! The gateway as a state machine: equal events give equal actions, and unexpected events do no harm.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::just_started(settings(), 12);
        let in_flight = fill_in_flight(&mut harness, 64);
        harness.end_attempt(in_flight[0].0, 0, in_flight[0].1, Outcome::Ok);
        (0..100)
            .map(|k| harness.arrive(SAFE, 0, 9_000 + k).1)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn unexpected_events_and_empty_settings_do_no_harm() {
    let mut empty = settings();
    empty.classes.clear();
    empty.plans.clear();
    empty.group_size = 0;
    empty.max_attempts = 0;
    let mut harness = Harness::just_started(empty, 0);
    assert!(rejected(&harness.arrive(SAFE, 0, 1).1));
    harness.advance(500.0);
    harness.end_attempt(RequestId(99), 3, ServerId(5), Outcome::Ok);
    harness.handle(Event::ResponseStarted {
        request: RequestId(4),
    });
    harness.handle(Event::CounterReply {
        counter: 1,
        total: None,
    });
    let mut zero = settings();
    zero.plans[0].quota_rate = 0.0;
    zero.plans[0].quota_burst = 0.0;
    zero.slow_start.duration = 0.0;
    zero.peer_messages_per_second = 0.0;
    let mut harness = Harness::just_started(zero, 1);
    assert!(
        sent_to(&harness.arrive_with(SAFE, 0, 1, 1.0, 0).1).is_some(),
        "a rate of 0 means no quota"
    );
}
