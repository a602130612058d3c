//! Attempts: time-outs, retries by idempotency, final answers, and requests resumed from a lost gateway.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn no_action_follows_an_abandoned_request() {
    let mut harness = Harness::new(settings(), 12);
    let (id, actions) = harness.arrive(SAFE, 0, 1);
    let server = sent_to(&actions).expect("sent");
    harness.handle(Event::Abandoned { request: id });
    let after = harness.end_attempt(id, 0, server, Outcome::Timeout);
    assert!(sent_to(&after).is_none() && !rejected(&after) && !failed(&after));
}

#[test]
fn a_request_is_rejected_after_its_deadline() {
    let mut harness = Harness::new(settings(), 12);
    let (id, actions) = harness.arrive(SAFE, 0, 1);
    let server = sent_to(&actions).expect("sent");
    harness.now += 2000.0;
    let after = harness.end_attempt(id, 0, server, Outcome::Timeout);
    assert!(rejected(&after) && sent_to(&after).is_none());
}

#[test]
fn an_unsafe_request_is_not_retried_once_it_may_have_run() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(), 12);
        let (id, actions) = harness.arrive(UNSAFE, 0, 1);
        let after = harness.end_attempt(id, 0, sent_to(&actions).expect("sent"), outcome);
        assert!(
            failed(&after) && sent_to(&after).is_none() && !rejected(&after),
            "{outcome:?}"
        );
    }
    let mut harness = Harness::new(settings(), 12);
    let (id, actions) = harness.arrive(UNSAFE, 0, 1);
    let after = harness.end_attempt(id, 0, sent_to(&actions).expect("sent"), Outcome::Rejected);
    assert!(
        sent_to(&after).is_some(),
        "rejected without having run: another server may get it"
    );
}

#[test]
fn a_keyed_request_is_retried_only_within_its_scope_and_window() {
    for _ in 0..20 {
        let mut harness = Harness::new(settings(), 12);
        let (id, actions) = harness.arrive(KEYED_ZONE, 0, 1);
        let first = sent_to(&actions).expect("sent");
        harness.now += 600.0;
        let after = harness.end_attempt(id, 0, first, Outcome::Timeout);
        let second = sent_to(&after).expect("within the window");
        assert_eq!(first.0 % 3, second.0 % 3, "the same zone");
        harness.now += 1000.0;
        let after = harness.end_attempt(id, 1, second, Outcome::Timeout);
        assert!(
            sent_to(&after).is_none() && failed(&after),
            "past the window: failed, as its deduplication scope is a zone"
        );
    }
    let mut harness = Harness::new(settings(), 12);
    let (id, actions) = harness.arrive(KEYED_ALL, 0, 1);
    harness.now += 1600.0;
    let after = harness.end_attempt(id, 0, sent_to(&actions).expect("sent"), Outcome::Timeout);
    assert!(
        sent_to(&after).is_none() && rejected(&after),
        "every server discards repeats, so a rejection is safe"
    );
}

/// Guards against time-outs that are too short: an attempt that times out early usually belongs to a large request,
/// which takes as long at the next server and is late then. So an attempt may take all of the latency target except
/// the time that a retry needs.
#[test]
fn an_attempt_times_out_early_only_when_a_retry_can_still_meet_the_latency_target() {
    let mut harness = Harness::new(settings(), 12);
    harness.serve_for(50.0, 5_000.0);
    let (_, actions) = harness.arrive(SAFE, 0, 1);
    let Some(Action::Send { timeout, .. }) = actions.first() else {
        panic!("sent: {actions:?}")
    };
    // Answers take 20 ms of a latency target of 500.
    assert!((400.0..480.0).contains(timeout), "{timeout}");
}

/// Guards against time-outs by the mean latency of the class alone, where units reflect a request's work.
#[test]
fn the_timeout_of_an_attempt_depends_on_its_units() {
    let mut harness = Harness::new(settings(), 12);
    for k in 0..60 {
        answer_new_request(&mut harness, 1.0, 20.0);
        answer_new_request(&mut harness, 1.0, 20.0);
        answer_new_request(&mut harness, 4.0, 300.0 + f64::from(k % 2) * 200.0);
    }
    let large = timeout_of(&harness.arrive_with(SAFE, 0, 1, 4.0, 3).1);
    let small = timeout_of(&harness.arrive_with(SAFE, 0, 2, 1.0, 3).1);
    assert!(
        large >= 900.0,
        "answers of this size take up to 500 ms: {large}"
    );
    assert!(
        small < 480.0,
        "a retry would still meet the latency target: {small}"
    );
}

/// Resumes a request that may have run at a server of zone 0 `age` milliseconds ago.
fn resume(harness: &mut Harness, class: usize, age: Millis) -> (RequestId, Vec<Action>) {
    let id = RequestId(1 << 31);
    let request = Request {
        id,
        class: ClassId(class),
        plan: PlanId(0),
        customer: CustomerId(5),
        remaining: 2_000.0,
        units: 1.0,
        gateways: GatewaySet {
            first: GatewayId(0),
            size: 3,
        },
        prior_attempt: Some(PriorAttempt {
            age,
            location: Location::default(),
        }),
    };
    (id, harness.handle(Event::Request(request)))
}

#[test]
fn a_resumed_request_goes_to_its_scope_within_its_window_and_is_not_charged_again() {
    let mut harness = Harness::new(settings(), 6);
    let before = harness.arrive(SAFE, 0, 5);
    harness.end_attempt(before.0, 0, sent_to(&before.1).expect("sent"), Outcome::Ok);
    let (id, actions) = resume(&mut harness, KEYED_ZONE, 100.0);
    let to = sent_to(&actions).expect("inside its window");
    assert_eq!(
        harness.gateway.location(to).map(|location| location.zone),
        Some(0),
        "the zone whose servers discard a repeat"
    );
    harness.end_attempt(id, 0, to, Outcome::Ok);
    let (_, late) = resume(&mut harness, KEYED_ZONE, 100_000.0);
    assert_eq!(sent_to(&late), None, "past its window");
    // So close to the end of the window that it might still be queued when the window ends.
    let Idempotency::Keyed { window, .. } = settings().classes[KEYED_ZONE].idempotency else {
        panic!("keyed")
    };
    let (_, late) = resume(&mut harness, KEYED_ZONE, window * 0.89);
    assert_eq!(sent_to(&late), None, "it might start after the window");
    let (_, never) = resume(&mut harness, UNSAFE, 0.0);
    assert_eq!(sent_to(&never), None, "an unsafe request may not run twice");
    assert!(
        never
            .iter()
            .any(|action| matches!(action, Action::Fail { .. })),
        "and the client is not advised to retry"
    );
}

#[test]
fn an_attempt_of_a_resumed_request_times_out_when_its_window_ends() {
    let Idempotency::Keyed { window, .. } = settings().classes[KEYED_ZONE].idempotency else {
        panic!("keyed")
    };
    let mut sends = 0;
    for part in 0..18 {
        // No further attempt is allowed, so this one has all the remaining time.
        let mut harness = Harness::new(
            Settings {
                max_attempts: 1,
                ..settings()
            },
            6,
        );
        let age = window * f64::from(part) * 0.05;
        let (_, actions) = resume(&mut harness, KEYED_ZONE, age);
        for action in actions {
            if let Action::Send { timeout, .. } = action {
                sends += 1;
                assert!(
                    timeout <= window - age + 1.0,
                    "{timeout} at {age} of {window}"
                );
            }
        }
    }
    assert!(sends > 5, "{sends}");
}
