//! Quotas and hard rate limits of customers, at one gateway and over a set of gateways.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn a_new_gateway_splits_an_unknown_customers_burst_over_its_set() {
    let mut harness = Harness::just_started(settings(), 12);
    assert_eq!(
        admit(&mut harness, 0, 5, 30),
        6,
        "20 units over three gateways"
    );
}

#[test]
fn an_isolated_gateway_refills_quotas_at_its_share_of_the_rate() {
    let mut harness = Harness::new(settings(), 12);
    admit(&mut harness, 0, 5, 30);
    harness.advance(3000.0);
    let admitted_later = admit(&mut harness, 0, 5, 30);
    assert!(
        (9..=11).contains(&admitted_later),
        "a third of 10 units a second refills, {admitted_later} admitted"
    );
}

/// Three gateways that are isolated from each other, under constant demand of one customer.
#[test]
fn a_quota_is_kept_over_a_set_of_isolated_gateways() {
    let mut gateways: Vec<Harness> = (0..3)
        .map(|number| {
            Harness::new(
                Settings {
                    gateway_id: GatewayId(number),
                    ..settings()
                },
                12,
            )
        })
        .collect();
    for harness in &mut gateways {
        admit(harness, 0, 5, 100);
    }
    let mut admitted = 0;
    for _ in 0..100 {
        for harness in &mut gateways {
            harness.advance(100.0);
            admitted += admit(harness, 0, 5, 100);
        }
    }
    assert!(
        (90..=105).contains(&admitted),
        "10 units a second for 10 s, {admitted} were admitted"
    );
}

/// Peers may start slightly later, so a gateway's first moments do not count as isolation.
#[test]
fn a_gateway_that_has_just_started_refills_quotas_at_the_rate() {
    let mut harness = Harness::just_started(settings(), 12);
    admit(&mut harness, 0, 5, 30);
    harness.advance(1000.0);
    let admitted_later = admit(&mut harness, 0, 5, 30);
    assert!(
        (9..=11).contains(&admitted_later),
        "10 units a second refill, {admitted_later} admitted"
    );
}

/// Units that peers admitted during an isolation were withheld here in the meantime, so they must not become a
/// debt.
#[test]
fn withheld_units_cause_no_debt_after_an_isolation() {
    let mut harness = Harness::new(settings(), 12);
    let incarnation = harness.now as u32;
    receive(&mut harness, 1, count_message(incarnation, 5, 0.0));
    harness.advance(2000.0);
    admit(&mut harness, 0, 5, 30);
    for _ in 0..60 {
        harness.advance(100.0);
        admit(&mut harness, 0, 5, 30);
    }
    // Two peers admitted their shares of 6 s, 20 units each; 40 units were withheld here.
    receive(&mut harness, 1, count_message(incarnation, 5, 20.0));
    harness.advance(500.0);
    assert!(
        admit(&mut harness, 0, 5, 30) >= 4,
        "the quota refills at once"
    );
    // Units announced beyond the withheld ones still become a debt.
    receive(&mut harness, 1, count_message(incarnation, 5, 70.0));
    harness.advance(500.0);
    assert_eq!(admit(&mut harness, 0, 5, 30), 0);
}

/// Withheld units must only cover units that are announced soon after the isolation.
#[test]
fn withheld_units_are_dropped_once_peers_have_caught_up() {
    let mut harness = Harness::new(settings(), 12);
    let incarnation = harness.now as u32;
    receive(&mut harness, 1, count_message(incarnation, 5, 0.0));
    harness.advance(2000.0);
    for _ in 0..60 {
        harness.advance(100.0);
        admit(&mut harness, 0, 5, 30);
    }
    for _ in 0..15 {
        receive(&mut harness, 1, count_message(incarnation, 5, 0.0));
        harness.advance(100.0);
        admit(&mut harness, 0, 5, 30);
    }
    receive(&mut harness, 1, count_message(incarnation, 5, 15.0));
    harness.advance(1000.0);
    assert_eq!(
        admit(&mut harness, 0, 5, 30),
        0,
        "15 units at once take more than a second's refill"
    );
}

#[test]
fn units_that_a_peer_announces_are_taken_from_the_quota() {
    let mut harness = Harness::new(settings(), 12);
    let incarnation = harness.now as u32;
    admit(&mut harness, 0, 5, 1);
    harness.advance(3000.0);
    receive(&mut harness, 1, count_message(incarnation, 5, 15.0));
    assert_eq!(admit(&mut harness, 0, 5, 30), 5);
}

#[test]
fn a_restarted_gateway_is_not_charged_a_peers_earlier_units() {
    let mut harness = Harness::just_started(settings(), 12);
    admit(&mut harness, 0, 5, 1);
    receive(&mut harness, 1, count_message(1000, 5, 5000.0));
    assert_eq!(
        admit(&mut harness, 0, 5, 30),
        5,
        "its share of the burst stays"
    );
    harness.advance(1000.0);
    receive(&mut harness, 1, count_message(1000, 5, 5004.0));
    assert_eq!(
        admit(&mut harness, 0, 5, 30),
        6,
        "10 refilled, 4 used by the peer"
    );
}

#[test]
fn one_gateway_admits_only_its_share_of_the_rate_limit() {
    // A rate of 20 and a burst of 40 over three gateways: 13.3 units at once and 6.7 per second.
    let mut large_quota = settings();
    large_quota.plans[1].quota_rate = 1000.0;
    large_quota.plans[1].quota_burst = 1000.0;
    let mut harness = Harness::new(large_quota, 12);
    assert_eq!(admit(&mut harness, 1, 5, 100), 13);
    harness.advance(1000.0);
    assert_eq!(
        admit(&mut harness, 1, 5, 100),
        7,
        "a third of 20 per second, and the remainder"
    );
}

#[test]
fn the_share_of_the_rate_limit_starts_empty_in_a_new_incarnation() {
    let mut large_quota = settings();
    large_quota.plans[1].quota_rate = 1000.0;
    large_quota.plans[1].quota_burst = 1000.0;
    let mut harness = Harness::just_started(large_quota, 12);
    assert_eq!(admit(&mut harness, 1, 5, 100), 0);
}

#[test]
fn units_that_peers_admit_at_the_same_time_become_a_debt() {
    let mut harness = Harness::new(settings(), 12);
    let incarnation = harness.now as u32;
    admit(&mut harness, 0, 5, 1);
    harness.advance(6000.0);
    receive(&mut harness, 1, count_message(incarnation, 5, 0.0));
    assert_eq!(admit(&mut harness, 0, 5, 30), 20);
    receive(&mut harness, 1, count_message(incarnation, 5, 10.0));
    harness.advance(1000.0);
    assert_eq!(
        admit(&mut harness, 0, 5, 30),
        0,
        "one second's refill covers what the peer admitted meanwhile"
    );
}

#[test]
fn the_whole_burst_is_available_once_all_peers_show_a_common_start() {
    for (age, expected) in [(0, 20), (30_000, 6)] {
        let mut harness = Harness::just_started(settings(), 12);
        let incarnation = harness.now as u32 - age;
        let first = admit(&mut harness, 0, 5, 1);
        receive(&mut harness, 1, count_message(incarnation, 9, 1.0));
        assert!(
            first == 1 && rejected(&harness.arrive_with(SAFE, 0, 5, 10.0, 3).1),
            "one peer has sent no message"
        );
        receive(&mut harness, 2, count_message(incarnation, 9, 1.0));
        assert_eq!(
            first + admit(&mut harness, 0, 5, 30),
            expected,
            "peers {age} ms older"
        );
    }
}

#[test]
fn paid_requests_beyond_the_quota_are_admitted_only_while_quiet() {
    let mut paid = settings();
    paid.plans[0].over_quota_value = 0.6;
    let mut harness = Harness::new(paid.clone(), 12);
    assert_eq!(
        admit(&mut harness, 0, 5, 60),
        60,
        "pays more than it costs: admitted while quiet"
    );
    let messages = messages_to(&harness.advance(100.0), 1);
    let entry = gossip::decode(&messages[0]).expect("readable").entries[0];
    let gossip::Entry::Count { units, .. } = entry else {
        panic!("a count")
    };
    assert!(
        units < 20.0,
        "requests beyond the quota are not charged to it"
    );

    let mut harness = Harness::just_started(paid, 12);
    fill_in_flight(&mut harness, 40);
    let admitted = (0..30)
        .filter(|_| sent_to(&harness.arrive(SAFE, 0, 5).1).is_some())
        .count();
    assert_eq!(
        admitted, 6,
        "40 of 62 in flight is not quiet: an empty quota rejects"
    );
}
