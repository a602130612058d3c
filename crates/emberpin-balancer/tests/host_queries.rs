//! What hosts ask and set beside events: classes that are added later, reported capacity, whether a retry would follow,
//! and the preference for the own zone.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

/// As the proxy has it: one gateway alone, in zone 0, and no quota.
fn alone() -> Settings {
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

/// A request of a class that is not there is rejected.
#[test]
fn a_class_is_known_once_it_is_added() {
    let mut harness = Harness::fresh(
        Settings {
            classes: vec![],
            ..alone()
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

/// Its first latency is a quarter of the target and its deviation a tenth, as for initial classes.
#[test]
fn an_added_class_has_the_attempt_timeout_of_an_initial_one() {
    let added = |aim: Millis, effect: Idempotency| {
        let mut harness = Harness::fresh(
            Settings {
                classes: vec![],
                ..alone()
            },
            2,
        );
        let class = harness.gateway.add_class(Class {
            latency_target: aim,
            ..class(effect)
        });
        timeout(&harness.arrive(class.0, 0, 1).1)
    };
    let known = |aim: Millis, effect: Idempotency| {
        let classes = vec![Class {
            latency_target: aim,
            ..class(effect)
        }];
        timeout(
            &Harness::fresh(Settings { classes, ..alone() }, 2)
                .arrive(0, 0, 1)
                .1,
        )
    };
    assert_eq!(added(400.0, Idempotency::Safe), Some(340.0));
    assert_eq!(
        added(400.0, Idempotency::Safe),
        known(400.0, Idempotency::Safe)
    );
    assert_eq!(
        added(800.0, Idempotency::Safe),
        known(800.0, Idempotency::Safe)
    );
    // What must not run twice has all of its time.
    assert_eq!(added(400.0, Idempotency::Unsafe), Some(2_000.0));
    assert_eq!(
        added(400.0, Idempotency::Unsafe),
        known(400.0, Idempotency::Unsafe)
    );
}

/// The target that `add_class` lowers: without it a gateway that began with no class has no finite onset.
#[test]
fn an_added_class_counts_for_the_onset() {
    let mut harness = Harness::fresh(
        Settings {
            classes: vec![],
            ..alone()
        },
        2,
    );
    harness.gateway.add_class(class(Idempotency::Safe));
    harness.serve_for(20.0, 3_000.0);
    assert!(is_congested_with(&mut harness, 40));
}

// Reported capacity

/// Whether a gateway is congested above `out` attempts in flight. Chance misses it in under one of 10,000 runs.
fn is_congested_with(harness: &mut Harness, out: usize) -> bool {
    let in_flight: Vec<_> = (0..=out)
        .map(|k| harness.arrive(SAFE, 0, 100 + k as u64))
        .collect();
    let (first, actions) = &in_flight[0];
    harness.end_attempt(*first, 0, sent_to(actions).expect("is sent"), Outcome::Ok);
    let mut turned_away = false;
    for k in 0..50 {
        let (request, actions) = harness.arrive(SAFE, 0, 50_000 + k);
        match sent_to(&actions) {
            Some(_) => drop(harness.handle(Event::Abandoned { request })),
            None => turned_away = true,
        }
    }
    turned_away
}

/// A gateway whose throughput is known and so small that the lower bound of the onset decides.
fn quiet() -> Harness {
    let mut harness = Harness::fresh(alone(), 12);
    harness.serve_for(20.0, 3_000.0);
    harness
}

/// Without reports the bound is two attempts for each of twelve servers.
#[test]
fn the_least_onset_is_guessed_by_the_number_of_servers() {
    assert!(!is_congested_with(&mut quiet(), 24));
    assert!(is_congested_with(&mut quiet(), 25));
}

/// The reported capacity may lie above the guess and below it.
#[test]
fn reported_capacity_replaces_the_guess_of_the_least_onset() {
    let with_reported_capacity = |out: f64| {
        let mut harness = quiet();
        harness.gateway.set_reported_capacity(out);
        harness
    };
    assert!(
        !is_congested_with(&mut with_reported_capacity(40.0), 40),
        "more than the guess"
    );
    assert!(is_congested_with(&mut with_reported_capacity(40.0), 41));
    assert!(
        !is_congested_with(&mut with_reported_capacity(6.0), 6),
        "less than the guess"
    );
    assert!(is_congested_with(&mut with_reported_capacity(6.0), 7));
    // A measured onset above it still counts: 100 a second, of a target of half a second, and a third of that.
    let mut harness = Harness::fresh(alone(), 12);
    harness.serve_for(100.0, 5_000.0);
    harness.gateway.set_reported_capacity(3.0);
    assert!(!is_congested_with(&mut harness, 12));
    // Without reports the guess counts again.
    assert!(!is_congested_with(&mut with_reported_capacity(0.0), 24));
    assert!(is_congested_with(&mut with_reported_capacity(0.0), 25));
}

// The preference for the own zone

/// Server 0 is in this gateway's zone, server 1 is not.
fn same_zone_and_other_zone(away: f64) -> Harness {
    Harness::fresh(
        Settings {
            cross_zone_slowdown: away,
            ..alone()
        },
        2,
    )
}

fn chosen(harness: &mut Harness) -> (RequestId, u32) {
    let (id, actions) = harness.arrive(SAFE, 0, 1);
    (id, sent_to(&actions).expect("is sent").0)
}

/// The cross-zone slowdown multiplies the expected wait.
#[test]
fn a_server_of_the_same_zone_is_preferred_until_it_is_as_many_times_slower() {
    let mut harness = same_zone_and_other_zone(2.5);
    let to: Vec<u32> = (0..3).map(|_| chosen(&mut harness).1).collect();
    // At the same zone's server it would be the third in line and wait for three mean answers; at the other it is the
    // first, for two and a half.
    assert_eq!(to, [0, 0, 1]);
    let mut harness = same_zone_and_other_zone(2.0);
    for _ in 0..50 {
        let (id, to) = chosen(&mut harness);
        assert_eq!(to, 0);
        harness.end_attempt(id, 0, ServerId(to), Outcome::Ok);
    }
}

/// The server of the next request, with none in flight, after the same zone's answers took `same_zone` times as long.
fn next_server_where_the_same_zone_takes(same_zone: f64) -> u32 {
    let mut harness = same_zone_and_other_zone(2.0);
    for _ in 0..40 {
        let in_flight: Vec<_> = (0..6).map(|_| chosen(&mut harness)).collect();
        assert!(
            in_flight.iter().any(|(_, to)| *to == 0) && in_flight.iter().any(|(_, to)| *to == 1)
        );
        for (request, to) in in_flight {
            harness.now += 1.0;
            let elapsed = if to == 0 { 20.0 * same_zone } else { 20.0 };
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

/// Traffic between zones costs, and slowness costs more.
#[test]
fn a_server_of_another_zone_is_preferred_where_the_same_zone_is_far_slower() {
    assert_eq!(next_server_where_the_same_zone_takes(1.0), 0);
    assert_eq!(next_server_where_the_same_zone_takes(1.5), 0);
    assert_eq!(next_server_where_the_same_zone_takes(4.0), 1);
}

/// Latencies count as a millisecond at least: else a server of the own zone that has not answered yet would never be
/// chosen beside one that answers within a part of a millisecond.
#[test]
fn a_server_that_answers_within_a_millisecond_is_not_taken_for_faster_than_one_that_has_not_answered(
) {
    let mut harness = same_zone_and_other_zone(2.0);
    let same_zone = |condition| {
        MembershipUpdate::Changes(vec![Server {
            status: condition,
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

/// The limiter of one service sets 1, where zones make no difference.
#[test]
fn zones_are_alike_without_a_cross_zone_slowdown() {
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
    let mut harness = Harness::fresh(alone(), 2);
    assert!(
        !would_retry(&harness, RequestId(99)),
        "one that is not known"
    );
    for (class, expected) in [(SAFE, true), (UNSAFE, false), (KEYED_ALL, false)] {
        let (request, actions) = harness.arrive(class, 0, 1);
        assert!(sent_to(&actions).is_some());
        assert_eq!(would_retry(&harness, request), expected, "class {class}");
    }
}

/// A mean answer of 125 ms must fit in the time that is left.
#[test]
fn no_retry_would_follow_that_could_not_end_in_time() {
    let mut harness = Harness::fresh(alone(), 2);
    let (request, _) = harness.arrive_for(SAFE, 0, 1, 1.0, 1, 1_000.0);
    harness.now += 875.0;
    assert!(would_retry(&harness, request));
    harness.now += 1.0;
    assert!(!would_retry(&harness, request));
}

/// In each way in which a server accepts no requests.
#[test]
fn no_retry_would_follow_without_another_server() {
    let mut harness = Harness::fresh(alone(), 1);
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
    let mut harness = quiet();
    let (request, _) = harness.arrive(SAFE, 0, 1);
    assert!(would_retry(&harness, request));
    assert!(is_congested_with(&mut harness, 40));
    assert!(!would_retry(&harness, request));
}

/// A request whose attempt is broken off while the gateway is quiet, and ends once it is congested.
fn retried_although_congested(reserve: bool) -> bool {
    let mut harness = quiet();
    let (request, actions) = harness.arrive(SAFE, 0, 1);
    let to = sent_to(&actions).expect("is sent");
    if reserve {
        assert!(harness.gateway.reserve_retry(harness.now, request));
    }
    assert!(is_congested_with(&mut harness, 40));
    let actions = harness.end_attempt(request, 0, to, Outcome::Timeout);
    sent_to(&actions).is_some_and(|again| again != to)
}

#[test]
fn a_reserved_retry_follows_whatever_the_load_is_by_then() {
    assert!(retried_although_congested(true));
    assert!(!retried_although_congested(false));
}

#[test]
fn a_reserved_retry_goes_to_the_same_server_if_no_other_is_left() {
    let mut harness = Harness::fresh(alone(), 2);
    let (request, actions) = harness.arrive(SAFE, 0, 1);
    let to = sent_to(&actions).expect("is sent");
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
    let mut harness = Harness::fresh(alone(), 12);
    let mut reserved = 0;
    loop {
        let (request, _) = harness.arrive(SAFE, 0, 1);
        if !harness.gateway.reserve_retry(harness.now, request) {
            assert!(!would_retry(&harness, request));
            break;
        }
        // Asked again, it holds and costs nothing more.
        assert!(
            !would_retry(&harness, request) || harness.gateway.reserve_retry(harness.now, request)
        );
        reserved += 1;
        assert!(reserved < 100, "there is no end to it");
    }
    let mut spent = Harness::fresh(alone(), 12);
    let mut repeats = 0;
    while let (request, Some(to)) = {
        let (request, actions) = spent.arrive(SAFE, 0, 1);
        (request, sent_to(&actions))
    } {
        if sent_to(&spent.end_attempt(request, 0, to, Outcome::Error)).is_none() {
            break;
        }
        repeats += 1;
    }
    assert_eq!(reserved, repeats);
}

/// And the retry that would not follow does not.
#[test]
fn no_retry_would_follow_beyond_the_budget() {
    let mut harness = Harness::fresh(alone(), 12);
    let mut repeats = 0;
    loop {
        let (request, actions) = harness.arrive(SAFE, 0, 1);
        let to = sent_to(&actions).expect("is sent");
        let expected = would_retry(&harness, request);
        let again = sent_to(&harness.end_attempt(request, 0, to, Outcome::Error));
        assert_eq!(again.is_some(), expected, "after {repeats}");
        let Some(again) = again else { break };
        harness.end_attempt(request, 1, again, Outcome::Ok);
        repeats += 1;
        assert!(repeats < 100, "there is no end to it");
    }
    assert!(repeats >= 10, "{repeats}");
}

/// Idempotency, timeout and what was learned are the new class's.
#[test]
fn a_replaced_class_is_as_one_that_was_added() {
    let mut harness = Harness::fresh(
        Settings {
            classes: vec![class(Idempotency::Unsafe)],
            ..alone()
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
    // What is not there is not replaced.
    harness
        .gateway
        .replace_class(ClassId(7), class(Idempotency::Safe));
    assert!(rejected(&harness.arrive(7, 0, 1).1));
}
