//! Handover of a gateway's state to its next process, and shared usage while both processes run.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

const RATE_LIMITED_PLAN: usize = 1;

/// Starts the next process from the handover of this harness; returns it and whether the whole state was restored.
fn successor(harness: &Harness, settings: Settings, servers: u32) -> (Harness, bool) {
    let endpoints = (0..servers).map(server).collect();
    let handover = harness.gateway.to_handover();
    let (gateway, complete) = Gateway::from_handover(settings, 9, harness.now, handover, endpoints);
    let mut after = harness.restarted(common::settings(), servers);
    after.gateway = gateway;
    (after, complete)
}

/// Sends `requests` requests of a customer, answers each admitted one at once and shares its usage with the other
/// process; returns the number admitted.
fn admit(
    harness: &mut Harness,
    other: Option<&mut Harness>,
    plan: usize,
    customer: u64,
    requests: usize,
) -> usize {
    let (mut count, mut shared) = (0, Vec::new());
    for _ in 0..requests {
        let (id, actions) = harness.arrive(SAFE, plan, customer);
        let Some(server) = sent_to(&actions) else {
            continue;
        };
        count += 1;
        shared.extend(actions.into_iter().filter_map(|action| match action {
            Action::ShareUsage(usage) => Some(usage),
            _ => None,
        }));
        harness.end_attempt(id, 0, server, Outcome::Ok);
    }
    if let Some(other) = other {
        shared
            .into_iter()
            .for_each(|usage| drop(other.handle(Event::SiblingUsage(usage))));
    }
    count
}

#[test]
fn used_quotas_and_rate_limits_stay_used_after_a_handover() {
    for plan in [0, RATE_LIMITED_PLAN] {
        let mut old = Harness::new(settings(), 3);
        let first = admit(&mut old, None, plan, 5, 200);
        assert!(first > 0);
        let (mut new, complete) = successor(&old, settings(), 3);
        assert!(complete);
        assert_eq!(admit(&mut new, None, plan, 5, 200), 0, "after {first}");
        // After a kill instead of a handover, a part of the burst is available again.
        let mut killed = old.restarted(settings(), 3);
        assert!(plan == RATE_LIMITED_PLAN || admit(&mut killed, None, plan, 5, 200) > 0);
    }
}

#[test]
fn units_admitted_by_either_process_count_at_both() {
    let mut old = Harness::new(settings(), 3);
    let alone = admit(&mut Harness::new(settings(), 3), None, 0, 5, 200);
    let (mut new, _) = successor(&old, settings(), 3);
    for harness in [&mut old, &mut new] {
        harness.handle(Event::SiblingChanged { running: true });
    }
    let mut all = 0;
    for round in 0..20 {
        let (one, other) = if round % 2 == 0 {
            (&mut old, &mut new)
        } else {
            (&mut new, &mut old)
        };
        all += admit(one, Some(other), 0, 5, 10);
    }
    assert_eq!(all, alone, "two processes admit what one would");
    // Control: a process that does not receive the other's usage admits as much again.
    let mut unaware = Harness::new(settings(), 3);
    let (mut other, _) = successor(&unaware, settings(), 3);
    assert_eq!(
        admit(&mut unaware, None, 0, 5, 200) + admit(&mut other, None, 0, 5, 200),
        2 * alone
    );
}

#[test]
fn two_processes_together_send_a_cold_server_one_gateways_share() {
    let cold_sends = |shares: bool| {
        let mut old = Harness::just_started(settings(), 2);
        old.serve_for(200.0, 8_000.0);
        let entries = |now| {
            vec![Server {
                started_at: Some(now),
                ..server(1)
            }]
        };
        let now = old.now;
        old.update_membership(MembershipUpdate::Changes(entries(now)));
        old.update_membership(MembershipUpdate::Changes(vec![Server {
            status: ServerStatus::Draining,
            ..server(0)
        }]));
        let handover = old.gateway.to_handover();
        let endpoints = vec![
            Server {
                status: ServerStatus::Draining,
                ..server(0)
            },
            entries(now).remove(0),
        ];
        let (gateway, _) = Gateway::from_handover(settings(), 9, now, handover, endpoints);
        let mut new = old.restarted(settings(), 2);
        new.gateway = gateway;
        old.handle(Event::SiblingChanged { running: shares });
        new.handle(Event::SiblingChanged { running: shares });
        let mut count = 0;
        for step in 0..200 {
            (old.now, new.now) = (old.now + 10.0, new.now + 10.0);
            for turn in 0..2 {
                let (one, other) = if turn == 0 {
                    (&mut old, &mut new)
                } else {
                    (&mut new, &mut old)
                };
                count += admit(one, Some(other), 0, 10_000 + step, 1);
            }
        }
        count
    };
    let (shared, separate) = (cold_sends(true), cold_sends(false));
    assert!(
        shared > 0 && shared * 3 < separate * 2,
        "{shared} sharing, {separate} without"
    );
}

#[test]
fn ejections_and_maintenance_survive_a_handover() {
    let mut old = Harness::new(settings(), 4);
    old.serve_for(100.0, 5_000.0);
    while old.gateway.ejected_count(old.now) == 0 {
        let (id, actions) = old.arrive(SAFE, 0, old.now as u64);
        let at = sent_to(&actions).expect("sent");
        let outcome = if at == ServerId(3) {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        };
        old.end_attempt_as(id, 0, at, outcome, true);
        old.now += 1.0;
    }
    old.handle(Event::Maintenance {
        server: ServerId(1),
        out_of_service: true,
    });
    let (new, _) = successor(&old, settings(), 4);
    assert!(new.gateway.is_in_maintenance(ServerId(1)));
    assert_eq!(new.gateway.pool_size(new.now), pool_size(4, 2));
}

#[test]
fn under_different_settings_only_maintenance_is_restored() {
    let mut old = Harness::new(settings(), 3);
    admit(&mut old, None, 0, 5, 200);
    old.handle(Event::Maintenance {
        server: ServerId(1),
        out_of_service: true,
    });
    let mut changed = settings();
    changed.plans[0].quota_rate *= 2.0;
    let (mut new, complete) = successor(&old, changed, 3);
    assert!(!complete && new.gateway.is_in_maintenance(ServerId(1)));
    assert!(admit(&mut new, None, 0, 5, 200) > 0, "as after a kill");
}
