//! What is harmless in one gateway and harmful in a hundred: whole fleets in virtual time.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::fleet::{Fleet, Size};
use common::settings;
use emberpin_balancer::*;

/// No quota, and peers that cannot receive every announcement once they are many.
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

/// Cold successors once stood idle while the servers that stayed were overloaded: the few gateways picked for each sent
/// it their own small share only, and what they did not send lowered what the next were allowed.
#[test]
fn six_in_ten_servers_replaced_carry_their_share_and_none_is_overloaded() {
    for (gateways, seed) in [(3, 1), (30, 2), (100, 3), (100, 5)] {
        let mut fleet = fleet(gateways, seed);
        fleet.play(8_000.0);
        fleet.replace(36, 1_000.0);
        let after = fleet.play(12_000.0);
        let share = f64::from(after.in_time) / f64::from(after.requested);
        assert!(
            share > 0.75,
            "{gateways} gateways, seed {seed}: {share} in time of {after:?}"
        );
        let nearest = fleet.nearest_to_overload();
        assert!(
            nearest < 1.0,
            "{gateways} gateways, seed {seed}: {nearest} of what overloads a cold server"
        );
    }
}

#[test]
fn nine_in_ten_gateways_killed_at_once_and_again_soon_after_serve_on() {
    for (gateways, seed) in [(30, 2), (100, 3), (100, 5)] {
        let mut fleet = fleet(gateways, seed);
        fleet.play(8_000.0);
        fleet.restart(gateways * 9 / 10);
        let first = fleet.play(3_000.0);
        fleet.restart(gateways * 9 / 10);
        let second = fleet.play(5_000.0);
        for after in [first, second] {
            let share = f64::from(after.in_time) / f64::from(after.requested);
            assert!(
                share > 0.9,
                "{gateways} gateways, seed {seed}: {share} in time of {after:?}"
            );
        }
    }
}

/// Each of hundreds has far less than one attempt in flight: thresholds below one were crossed by chance, by what few
/// gateways sent of the moment in which they had something to announce.
#[test]
fn hundreds_of_gateways_with_hardly_anything_in_flight_do_not_throttle_an_idle_back_end() {
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
        fleet.play(3_000.0);
        let calm = fleet.play(12_000.0);
        let share = f64::from(calm.in_time) / f64::from(calm.requested);
        assert!(
            share > 0.97,
            "{gateways} gateways, seed {seed}: {share} in time of {calm:?}"
        );
    }
}

/// And a back end that is full is detected all the same.
#[test]
fn hundreds_of_gateways_throttle_a_back_end_that_is_full() {
    for (gateways, seed) in [(3, 1), (100, 2), (300, 3)] {
        let size = Size {
            gateways,
            servers: 20,
            server_rate: 30.0,
            load: 1.6,
            seed,
        };
        let mut fleet = Fleet::new(without_quotas(), size);
        fleet.play(4_000.0);
        let rush = fleet.play(10_000.0);
        let share = f64::from(rush.in_time) / f64::from(rush.requested);
        assert!(
            share > 0.45,
            "{gateways} gateways, seed {seed}: {share} in time of {rush:?}"
        );
    }
}
