//! Methods of the gateway that hosts call besides passing events: classes that are added later, reported capacity, the
//! preference for the own zone, and whether a retry would follow.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

/// Settings as the proxy uses them: one gateway alone, in zone 0, without a quota.
fn single_gateway() -> Settings {
    let mut settings = Settings {
        group_size: 1,
        ..settings()
    };
    settings.plans[0] = Plan {
        quota_rate: 0.0,
        quota_burst: 0.0,
        ..settings.plans[0]
    };
    settings
}

fn timeout(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    })
}

// Classes

/// A request of an unknown class is rejected.
#[test]
fn requests_of_a_class_are_accepted_once_it_is_added() {
    let mut harness = Harness::just_started(
        Settings {
            classes: vec![],
            ..single_gateway()
        },
        2,
    );
    let (_, actions) = harness.arrive(0, 0, 1);
    assert!(rejected(&actions), "{actions:?}");
    let added = [class(Idempotency::Safe), class(Idempotency::Unsafe)]
        .map(|class| harness.gateway.add_class(class));
    assert_eq!(added, [ClassId(0), ClassId(1)]);
    for class in added {
        let (_, actions) = harness.arrive(class.0, 0, 1);
        assert!(sent_to(&actions).is_some(), "{actions:?}");
    }
    assert!(rejected(&harness.arrive(2, 0, 1).1));
}

/// The initial latency of an added class is a quarter of its target and the deviation a tenth, as for initial
/// classes.
#[test]
fn an_added_class_has_the_attempt_timeout_of_an_initial_one() {
    let added = |latency_target: Millis, idempotency: Idempotency| {
        let mut harness = Harness::just_started(
            Settings {
                classes: vec![],
                ..single_gateway()
            },
            2,
        );
        let class = harness.gateway.add_class(Class {
            latency_target,
            ..class(idempotency)
        });
        timeout(&harness.arrive(class.0, 0, 1).1)
    };
    let initial = |latency_target: Millis, idempotency: Idempotency| {
        let classes = vec![Class {
            latency_target,
            ..class(idempotency)
        }];
        timeout(
            &Harness::just_started(
                Settings {
                    classes,
                    ..single_gateway()
                },
                2,
            )
            .arrive(0, 0, 1)
            .1,
        )
    };
    assert_eq!(added(400.0, Idempotency::Safe), Some(340.0));
    assert_eq!(
        added(400.0, Idempotency::Safe),
        initial(400.0, Idempotency::Safe)
    );
    assert_eq!(
        added(800.0, Idempotency::Safe),
        initial(800.0, Idempotency::Safe)
    );
    // An unsafe request has all of its time.
    assert_eq!(added(400.0, Idempotency::Unsafe), Some(2_000.0));
    assert_eq!(
        added(400.0, Idempotency::Unsafe),
        initial(400.0, Idempotency::Unsafe)
    );
}

/// `add_class` lowers the mean latency target. Otherwise a gateway that started without classes would have no
/// finite onset.
#[test]
fn an_added_class_takes_part_in_the_onset() {
    let mut harness = Harness::just_started(
        Settings {
            classes: vec![],
            ..single_gateway()
        },
        2,
    );
    harness.gateway.add_class(class(Idempotency::Safe));
    harness.serve_for(20.0, 3_000.0);
    assert!(is_congested_with(&mut harness, 40));
}

// Reported capacity

/// Whether a gateway is congested with more than `count` attempts in flight. The first congestion level rejects at
/// random; the probability that none of the 50 requests is rejected is below 1 in 10,000.
fn is_congested_with(harness: &mut Harness, count: usize) -> bool {
    let in_flight: Vec<_> = (0..=count)
        .map(|k| harness.arrive(SAFE, 0, 100 + k as u64))
        .collect();
    let (first, actions) = &in_flight[0];
    harness.end_attempt(*first, 0, sent_to(actions).expect("sent"), Outcome::Ok);
    let mut any_rejected = false;
    for k in 0..50 {
        let (request, actions) = harness.arrive(SAFE, 0, 50_000 + k);
        match sent_to(&actions) {
            Some(_) => drop(harness.handle(Event::Abandoned { request })),
            None => any_rejected = true,
        }
    }
    any_rejected
}

/// A gateway whose throughput is known and so low that the lower bound on the onset applies.
fn with_low_throughput() -> Harness {
    let mut harness = Harness::just_started(single_gateway(), 12);
    harness.serve_for(20.0, 3_000.0);
    harness
}

/// Without reports the lower bound is two attempts for each of twelve servers.
#[test]
fn the_lower_bound_of_the_onset_depends_on_the_number_of_servers() {
    assert!(!is_congested_with(&mut with_low_throughput(), 24));
    assert!(is_congested_with(&mut with_low_throughput(), 25));
}

/// The reported capacity may be above or below the default bound.
#[test]
fn reported_capacity_replaces_the_default_lower_bound_of_the_onset() {
    let with_reported_capacity = |count: f64| {
        let mut harness = with_low_throughput();
        harness.gateway.set_reported_capacity(count);
        harness
    };
    assert!(
        !is_congested_with(&mut with_reported_capacity(40.0), 40),
        "above the default bound"
    );
    assert!(is_congested_with(&mut with_reported_capacity(40.0), 41));
    assert!(
        !is_congested_with(&mut with_reported_capacity(6.0), 6),
        "below the default bound"
    );
    assert!(is_congested_with(&mut with_reported_capacity(6.0), 7));
    // A higher measured onset still applies: 100 requests per second, times a third of a target of half a second.
    let mut harness = Harness::just_started(single_gateway(), 12);
    harness.serve_for(100.0, 5_000.0);
    harness.gateway.set_reported_capacity(3.0);
    assert!(!is_congested_with(&mut harness, 12));
    // Without reports the default bound applies again.
    assert!(!is_congested_with(&mut with_reported_capacity(0.0), 24));
    assert!(is_congested_with(&mut with_reported_capacity(0.0), 25));
}

// The preference for the own zone

/// A gateway with two servers: server 0 is in its zone, server 1 is not.
fn same_zone_and_other_zone(cross_zone_slowdown: f64) -> Harness {
    Harness::just_started(
        Settings {
            cross_zone_slowdown,
            ..single_gateway()
        },
        2,
    )
}

fn chosen(harness: &mut Harness) -> (RequestId, u32) {
    let (id, actions) = harness.arrive(SAFE, 0, 1);
    (id, sent_to(&actions).expect("sent").0)
}

/// The cross-zone slowdown multiplies the expected wait.
#[test]
fn a_server_of_the_same_zone_is_preferred_until_its_wait_reaches_the_slowdown() {
    let mut harness = same_zone_and_other_zone(2.5);
    let to: Vec<u32> = (0..3).map(|_| chosen(&mut harness).1).collect();
    // In the same zone the request would be the third in line and wait for three mean answers; in the other zone it
    // would be the first, which counts as two and a half.
    assert_eq!(to, [0, 0, 1]);
    let mut harness = same_zone_and_other_zone(2.0);
    for _ in 0..50 {
        let (id, to) = chosen(&mut harness);
        assert_eq!(to, 0);
        harness.end_attempt(id, 0, ServerId(to), Outcome::Ok);
    }
}

/// The server chosen for the next request, with none in flight, after answers of the same zone took `slowdown`
/// times as long as the other zone's.
fn next_server_where_the_same_zone_takes(slowdown: f64) -> u32 {
    let mut harness = same_zone_and_other_zone(2.0);
    for _ in 0..40 {
        let in_flight: Vec<_> = (0..6).map(|_| chosen(&mut harness)).collect();
        assert!(
            in_flight.iter().any(|(_, to)| *to == 0) && in_flight.iter().any(|(_, to)| *to == 1)
        );
        for (request, to) in in_flight {
            harness.now += 1.0;
            let elapsed = if to == 0 { 20.0 * slowdown } else { 20.0 };
            harness.handle(Event::AttemptEnded(AttemptResult {
                request,
                attempt: 0,
                server: ServerId(to),
                outcome: Outcome::Ok,
                elapsed,
                answered: true,
                replayable: true,
                load: LoadReport::default(),
                units: None,
                metered: None,
            }));
        }
    }
    chosen(&mut harness).1
}

/// Crossing zones has a cost, but a much slower server costs more.
#[test]
fn a_server_of_another_zone_is_preferred_where_the_same_zone_is_far_slower() {
    assert_eq!(next_server_where_the_same_zone_takes(1.0), 0);
    assert_eq!(next_server_where_the_same_zone_takes(1.5), 0);
    assert_eq!(next_server_where_the_same_zone_takes(4.0), 1);
}

/// Guards against a starved server: latencies count as at least a millisecond, as otherwise a server that has not
/// answered yet would never be chosen beside one that answers within a fraction of a millisecond.
#[test]
fn a_server_that_answers_within_a_millisecond_is_not_taken_for_faster_than_one_that_has_not_answered(
) {
    let mut harness = same_zone_and_other_zone(2.0);
    let same_zone = |status| {
        MembershipUpdate::Changes(vec![Server {
            status,
            ..server(0)
        }])
    };
    harness.update_membership(same_zone(ServerStatus::Draining));
    for _ in 0..400 {
        let (request, to) = chosen(&mut harness);
        assert_eq!(to, 1);
        harness.now += 1.0;
        harness.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt: 0,
            server: ServerId(to),
            outcome: Outcome::Ok,
            elapsed: 0.2,
            answered: true,
            replayable: true,
            load: LoadReport::default(),
            units: None,
            metered: None,
        }));
    }
    harness.update_membership(same_zone(ServerStatus::InService));
    assert_eq!(chosen(&mut harness).1, 0);
}

/// The limiter uses 1, where zones make no difference.
#[test]
fn zones_make_no_difference_without_a_cross_zone_slowdown() {
    let mut harness = same_zone_and_other_zone(1.0);
    let mut to: Vec<u32> = (0..2).map(|_| chosen(&mut harness).1).collect();
    to.sort_unstable();
    assert_eq!(to, [0, 1]);
    let mut harness = same_zone_and_other_zone(1.0);
    let mut counts = [0; 2];
    for _ in 0..50 {
        let (id, to) = chosen(&mut harness);
        counts[to as usize] += 1;
        harness.end_attempt(id, 0, ServerId(to), Outcome::Ok);
    }
    assert!(counts.iter().all(|count| *count >= 10), "{counts:?}");
}

// Whether a retry would follow

fn would_retry(harness: &Harness, request: RequestId) -> bool {
    harness.gateway.would_retry(harness.now, request)
}

#[test]
fn only_a_safe_request_would_be_retried() {
    let mut harness = Harness::just_started(single_gateway(), 2);
    assert!(!would_retry(&harness, RequestId(99)), "an unknown request");
    for (class, expected) in [(SAFE, true), (UNSAFE, false), (KEYED_ALL, false)] {
        let (request, actions) = harness.arrive(class, 0, 1);
        assert!(sent_to(&actions).is_some());
        assert_eq!(would_retry(&harness, request), expected, "class {class}");
    }
}

/// The mean latency of 125 ms must fit into the remaining time.
#[test]
fn no_retry_would_follow_without_enough_time() {
    let mut harness = Harness::just_started(single_gateway(), 2);
    let (request, _) = harness.arrive_for(SAFE, 0, 1, 1.0, 1, 1_000.0);
    harness.now += 875.0;
    assert!(would_retry(&harness, request));
    harness.now += 1.0;
    assert!(!would_retry(&harness, request));
}

/// Covers each state in which a server accepts no requests.
#[test]
fn no_retry_would_follow_without_another_server() {
    let mut harness = Harness::just_started(single_gateway(), 1);
    let (request, _) = harness.arrive(SAFE, 0, 1);
    assert!(!would_retry(&harness, request));
    harness.update_membership(MembershipUpdate::Changes(vec![server(1)]));
    assert!(would_retry(&harness, request));
    harness.update_membership(MembershipUpdate::Changes(vec![Server {
        status: ServerStatus::Draining,
        ..server(1)
    }]));
    assert!(!would_retry(&harness, request));
    harness.update_membership(MembershipUpdate::Changes(vec![server(1)]));
    harness.handle(Event::Maintenance {
        server: ServerId(1),
        out_of_service: true,
    });
    assert!(!would_retry(&harness, request));
}

#[test]
fn no_retry_would_follow_while_congested() {
    let mut harness = with_low_throughput();
    let (request, _) = harness.arrive(SAFE, 0, 1);
    assert!(would_retry(&harness, request));
    assert!(is_congested_with(&mut harness, 40));
    assert!(!would_retry(&harness, request));
}

/// Whether a request is retried whose attempt was in flight while the gateway was quiet and ends once it is
/// congested.
fn retried_although_congested(reserve: bool) -> bool {
    let mut harness = with_low_throughput();
    let (request, actions) = harness.arrive(SAFE, 0, 1);
    let to = sent_to(&actions).expect("sent");
    if reserve {
        assert!(harness.gateway.reserve_retry(harness.now, request));
    }
    assert!(is_congested_with(&mut harness, 40));
    let actions = harness.end_attempt(request, 0, to, Outcome::Timeout);
    sent_to(&actions).is_some_and(|retried_at| retried_at != to)
}

#[test]
fn a_reserved_retry_follows_even_when_congested_by_then() {
    assert!(retried_although_congested(true));
    assert!(!retried_although_congested(false));
}

#[test]
fn a_reserved_retry_goes_to_the_same_server_if_no_other_is_left() {
    let mut harness = Harness::just_started(single_gateway(), 2);
    let (request, actions) = harness.arrive(SAFE, 0, 1);
    let to = sent_to(&actions).expect("sent");
    assert!(harness.gateway.reserve_retry(harness.now, request));
    harness.update_membership(MembershipUpdate::Changes(vec![Server {
        status: ServerStatus::Removed,
        ..server(1 - to.0)
    }]));
    let actions = harness.end_attempt(request, 0, to, Outcome::Timeout);
    assert_eq!(sent_to(&actions), Some(to));
}

#[test]
fn a_reserved_retry_is_spent_once() {
    let mut harness = Harness::just_started(single_gateway(), 12);
    let mut reserved = 0;
    loop {
        let (request, _) = harness.arrive(SAFE, 0, 1);
        if !harness.gateway.reserve_retry(harness.now, request) {
            assert!(!would_retry(&harness, request));
            break;
        }
        // Reserving it again succeeds and costs nothing more.
        assert!(
            !would_retry(&harness, request) || harness.gateway.reserve_retry(harness.now, request)
        );
        reserved += 1;
        assert!(reserved < 100, "the retry budget never ends");
    }
    let mut unreserved = Harness::just_started(single_gateway(), 12);
    let mut retries = 0;
    while let (request, Some(to)) = {
        let (request, actions) = unreserved.arrive(SAFE, 0, 1);
        (request, sent_to(&actions))
    } {
        if sent_to(&unreserved.end_attempt(request, 0, to, Outcome::Error)).is_none() {
            break;
        }
        retries += 1;
    }
    assert_eq!(reserved, retries);
}

/// The answer agrees with what happens: where no retry would follow, none does.
#[test]
fn no_retry_would_follow_beyond_the_budget() {
    let mut harness = Harness::just_started(single_gateway(), 12);
    let mut retries = 0;
    loop {
        let (request, actions) = harness.arrive(SAFE, 0, 1);
        let to = sent_to(&actions).expect("sent");
        let expected = would_retry(&harness, request);
        let retried_at = sent_to(&harness.end_attempt(request, 0, to, Outcome::Error));
        assert_eq!(retried_at.is_some(), expected, "after {retries}");
        let Some(retried_at) = retried_at else { break };
        harness.end_attempt(request, 1, retried_at, Outcome::Ok);
        retries += 1;
        assert!(retries < 100, "the retry budget never ends");
    }
    assert!(retries >= 10, "{retries}");
}

/// Idempotency, time-out and learned latencies are those of the new class.
#[test]
fn a_replaced_class_behaves_like_an_added_one() {
    let mut harness = Harness::just_started(
        Settings {
            classes: vec![class(Idempotency::Unsafe)],
            ..single_gateway()
        },
        2,
    );
    assert_eq!(timeout(&harness.arrive(0, 0, 1).1), Some(2_000.0));
    harness.gateway.replace_class(
        ClassId(0),
        Class {
            latency_target: 400.0,
            ..class(Idempotency::Safe)
        },
    );
    assert_eq!(timeout(&harness.arrive(0, 0, 1).1), Some(340.0));
    // An unknown class cannot be replaced.
    harness
        .gateway
        .replace_class(ClassId(7), class(Idempotency::Safe));
    assert!(rejected(&harness.arrive(7, 0, 1).1));
}

/// Guards `PendingRequest::idempotency`: a request that must not run twice stays one if its class is replaced while it
/// is in flight (review/5, TWICE).
#[test]
fn a_pending_request_keeps_its_idempotency_when_its_class_is_replaced() {
    let mut harness = Harness::just_started(
        Settings {
            classes: vec![class(Idempotency::Unsafe)],
            ..single_gateway()
        },
        2,
    );
    let (request, actions) = harness.arrive(0, 0, 1);
    let server = sent_to(&actions).expect("sent");
    harness
        .gateway
        .replace_class(ClassId(0), class(Idempotency::Safe));
    assert!(!would_retry(&harness, request));
    let actions = harness.end_attempt(request, 0, server, Outcome::Reset);
    assert!(failed(&actions), "{actions:?}");
}
