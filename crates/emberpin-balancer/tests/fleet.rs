//! Faults that only show in a large group of gateways, tested on whole simulated fleets.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::fleet::{Fleet, Size};
use common::settings;
use emberpin_balancer::*;

/// Settings without quotas. The limit on peer messages is so low that gateways of a large group cannot receive every
/// announcement.
fn without_quotas() -> Settings {
    let mut settings = settings();
    settings.classes[0].latency_target = 1_000.0;
    settings.classes[0].deadline = 4_000.0;
    settings.plans[0].quota_rate = 0.0;
    settings.peer_messages_per_second = 40.0;
    settings.slow_start.duration = 17_000.0;
    settings
}

fn fleet(gateways: u32, seed: u64) -> Fleet {
    Fleet::new(
        without_quotas(),
        Size {
            gateways,
            servers: 60,
            server_rate: 16.0,
            load: 0.5,
            seed,
        },
    )
}

/// Guards against cold replacements staying idle while the remaining servers are overloaded: the few gateways
/// selected for each replacement sent only their own small share to it, and the throughput learned from that
/// lowered the limits further.
#[test]
fn replacements_of_six_in_ten_servers_are_used_and_not_overloaded() {
    for (gateways, seed) in [(3, 1), (30, 2), (100, 3), (100, 5)] {
        let mut fleet = fleet(gateways, seed);
        fleet.run(8_000.0);
        fleet.replace(36, 1_000.0);
        let after = fleet.run(12_000.0);
        let share = f64::from(after.in_time) / f64::from(after.requested);
        assert!(
            share > 0.75,
            "{gateways} gateways, seed {seed}: share answered in time: {share} of {after:?}"
        );
        let nearest = fleet.nearest_to_overload();
        assert!(
            nearest < 1.0,
            "{gateways} gateways, seed {seed}: a cold server was sent {nearest} times the load that overloads it"
        );
    }
}

#[test]
fn requests_are_served_in_time_after_nine_in_ten_gateways_are_killed_twice() {
    for (gateways, seed) in [(30, 2), (100, 3), (100, 5)] {
        let mut fleet = fleet(gateways, seed);
        fleet.run(8_000.0);
        fleet.restart(gateways * 9 / 10);
        let first = fleet.run(3_000.0);
        fleet.restart(gateways * 9 / 10);
        let second = fleet.run(5_000.0);
        for after in [first, second] {
            let share = f64::from(after.in_time) / f64::from(after.requested);
            assert!(
                share > 0.9,
                "{gateways} gateways, seed {seed}: share answered in time: {share} of {after:?}"
            );
        }
    }
}

/// Guards against false congestion: each of hundreds of gateways has far less than one attempt in flight.
/// Thresholds below one were exceeded by chance, because only few gateways send at a time, and they reported their
/// load at the moment when they had something to announce.
#[test]
fn hundreds_of_gateways_with_little_in_flight_do_not_throttle_a_back_end_with_spare_capacity() {
    for (gateways, seed) in [(3, 1), (100, 2), (300, 3), (300, 4)] {
        let size = Size {
            gateways,
            servers: 20,
            server_rate: 30.0,
            load: f64::from(gateways) / 600.0,
            seed,
        };
        let mut fleet = Fleet::new(
            Settings {
                peer_messages_per_second: 40.0,
                ..without_quotas()
            },
            size,
        );
        fleet.run(3_000.0);
        let outcomes = fleet.run(12_000.0);
        let share = f64::from(outcomes.in_time) / f64::from(outcomes.requested);
        assert!(
            share > 0.97,
            "{gateways} gateways, seed {seed}: share answered in time: {share} of {outcomes:?}"
        );
    }
}

/// Counterpart of the test above: an overloaded back end is still detected.
#[test]
fn hundreds_of_gateways_throttle_an_overloaded_back_end() {
    for (gateways, seed) in [(3, 1), (100, 2), (300, 3)] {
        let size = Size {
            gateways,
            servers: 20,
            server_rate: 30.0,
            load: 1.6,
            seed,
        };
        let mut fleet = Fleet::new(without_quotas(), size);
        fleet.run(4_000.0);
        let overloaded = fleet.run(10_000.0);
        let share = f64::from(overloaded.in_time) / f64::from(overloaded.requested);
        assert!(
            share > 0.45,
            "{gateways} gateways, seed {seed}: share answered in time: {share} of {overloaded:?}"
        );
    }
}
