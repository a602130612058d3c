//! Messages between gateways: their recipients, and the effect of lost, late or garbled ones.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;

#[test]
fn a_later_count_makes_up_for_lost_and_reordered_ones() {
    let mut harness = Harness::new(settings(), 12);
    let incarnation = harness.now as u32;
    admit(&mut harness, 0, 5, 1);
    harness.advance(3000.0);
    // The count of 4 was lost, and 12 arrives before 8.
    receive(&mut harness, 1, count_message(incarnation, 5, 12.0));
    receive(&mut harness, 1, count_message(incarnation, 5, 8.0));
    receive(&mut harness, 1, count_message(incarnation, 5, 12.0));
    assert_eq!(admit(&mut harness, 0, 5, 30), 8);
}

#[test]
fn a_peers_restart_refunds_nothing_and_its_old_incarnation_is_ignored() {
    let mut harness = Harness::new(settings(), 12);
    let incarnation = harness.now as u32;
    admit(&mut harness, 0, 5, 1);
    harness.advance(3000.0);
    receive(&mut harness, 1, count_message(incarnation, 5, 12.0));
    receive(&mut harness, 1, count_message(incarnation + 3000, 5, 3.0));
    receive(&mut harness, 1, count_message(incarnation, 5, 19.0));
    assert_eq!(admit(&mut harness, 0, 5, 30), 5, "20 - 12 - 3");
}

/// Guards against saturating incarnations: Unix milliseconds do not fit the 32 bits of a message, and all
/// incarnations would look alike.
#[test]
fn incarnations_are_reconstructed_on_any_clock() {
    for started in [
        1_000.0,
        1_794_000_000_000.0,
        418.0 * 4_294_967_296.0 - 500.0,
    ] {
        for later in [0.0, 600.0, 86_400_000.0, 30.0 * 86_400_000.0] {
            let low = (started as u64) as u32;
            assert_eq!(
                gossip::full_incarnation(low, started + later),
                started as u64,
                "{started} received {later} ms later"
            );
        }
    }
    let ahead = gossip::full_incarnation(5_000_000, 4_000_000.0);
    assert_eq!(ahead, 5_000_000, "the clock of the peer is slightly ahead");
}

#[test]
fn counts_are_announced_twice_and_to_the_customers_set_only() {
    let mut harness = Harness::new(settings(), 12);
    harness.arrive_with(SAFE, 0, 77, 2.0, 2);
    let first = harness.advance(100.0);
    let second = harness.advance(100.0);
    for (actions, requested) in [(&first, 2.0), (&second, 0.0)] {
        let to_one = gossip::decode(&messages_to(actions, 1)[0]).expect("readable");
        assert_eq!(
            to_one.entries,
            vec![gossip::Entry::Count {
                customer: 77,
                plan: 0,
                first: 0,
                size: 2,
                units: 2.0,
                requested
            }]
        );
        for bytes in messages_to(actions, 2) {
            assert!(gossip::decode(&bytes).expect("readable").entries.is_empty());
        }
    }
}

#[test]
fn garbled_messages_change_nothing() {
    let mut harness = Harness::new(settings(), 12);
    admit(&mut harness, 0, 5, 1);
    harness.advance(6000.0);
    let good = count_message(harness.now as u32, 5, 15.0);
    let mut other_version = good.clone();
    other_version[0] ^= 0xff;
    let mut long = good.clone();
    long.resize(300, 0);
    for bytes in [
        vec![],
        good[..good.len() - 1].to_vec(),
        other_version,
        long,
        vec![1; 9],
    ] {
        receive(&mut harness, 1, bytes);
    }
    receive(&mut harness, 0, good.clone());
    receive(&mut harness, 9, good);
    assert_eq!(admit(&mut harness, 0, 5, 30), 20);
}

/// Guards against a leak: advice on customers unknown at this gateway must expire.
#[test]
fn advice_on_unknown_customers_expires() {
    let mut harness = Harness::new(settings(), 12);
    let size = |harness: &Harness| format!("{:?}", harness.gateway).len();
    let before = size(&harness);
    for number in 0..2_000 {
        let mut message = gossip::MessageBuilder::new(harness.now as u32, 0.0, 0.0);
        assert!(message.push(gossip::Entry::Advice {
            customer: 500_000 + number,
            probability: 0.5
        }));
        receive(&mut harness, 1, message.finish());
    }
    assert!(size(&harness) > before + 20_000, "the advice is stored");
    harness.advance(20_000.0);
    assert!(
        size(&harness) < before + 2_000,
        "{} from {before}",
        size(&harness)
    );
}
