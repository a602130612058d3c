//! Tests the slot of a limiter's first call, and the delays between its calls.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::random_numbers;
use emberpin_startup::call_schedule::{CallOutcome, CallSchedule, GroupPosition, PeerStart};
use proptest::prelude::*;
use std::time::Duration;

const REFUSED: CallOutcome = CallOutcome::Failed {
    after: Duration::ZERO,
};

fn failed_after(seconds: u64) -> CallOutcome {
    CallOutcome::Failed {
        after: Duration::from_secs(seconds),
    }
}

fn staggered(number: u32, size: u32, random: f64) -> CallSchedule {
    CallSchedule::staggered(GroupPosition { number, size }, None, random)
}

fn peer_start(together: bool) -> PeerStart {
    if together {
        PeerStart::Together
    } else {
        PeerStart::Earlier
    }
}

#[test]
fn every_member_of_a_group_has_a_slot_of_its_own() {
    for size in 2..400 {
        let first_call = |number| {
            CallSchedule::staggered(GroupPosition { number, size }, Some(1.0), 0.0).first_call_at()
        };
        let mut slots: Vec<Duration> = (0..size).map(first_call).collect();
        slots.sort();
        let min_distance =
            Duration::from_secs(u64::from(size).min(60)).mul_f64(0.99 / f64::from(size));
        assert!(
            slots
                .windows(2)
                .all(|pair| pair[1] - pair[0] >= min_distance),
            "{size}"
        );
    }
}

#[test]
fn the_first_call_waits_only_for_peers_that_started_together() {
    let last = (0..300)
        .max_by_key(|number| staggered(*number, 300, 0.9).first_call_at())
        .expect("a member");
    let mut restarted_alone = staggered(last, 300, 0.9);
    assert!(restarted_alone.first_call_at() > Duration::from_secs_f64(3.9));
    (0..40).for_each(|peer| restarted_alone.on_peer_message(peer, PeerStart::Earlier));
    assert!(restarted_alone.first_call_at() < Duration::from_millis(100));
    // Seven in ten members started together, so the first call comes after seven tenths of the slot's time.
    let mut restarted_with_most = staggered(last, 300, 0.9);
    (0..100).for_each(|peer| restarted_with_most.on_peer_message(peer, peer_start(peer % 10 < 7)));
    let first_call = restarted_with_most.first_call_at();
    assert!(first_call > Duration::from_secs_f64(2.5) && first_call < Duration::from_secs(3));
}

#[test]
fn an_immediate_schedule_calls_at_once_and_backs_off_later() {
    let mut schedule = CallSchedule::immediate(GroupPosition {
        number: 77,
        size: 300,
    });
    assert_eq!(schedule.first_call_at(), Duration::ZERO);
    schedule.on_peer_message(3, PeerStart::Together);
    assert_eq!(schedule.first_call_at(), Duration::ZERO);
    assert!(schedule.next_delay(failed_after(2), 0.9) > Duration::from_secs(10));
}

#[test]
fn a_lone_limiter_calls_at_once() {
    for calls_per_second in [None, Some(0.1)] {
        for size in [0, 1] {
            let position = GroupPosition { number: 0, size };
            assert_eq!(
                CallSchedule::staggered(position, calls_per_second, 0.9).first_call_at(),
                Duration::ZERO
            );
        }
    }
}

#[test]
fn a_small_group_calls_again_at_once_and_waits_at_most_1_s_for_a_service_that_refuses_connections()
{
    let max_delay = Duration::from_secs(1);
    let mut random = random_numbers(6);
    let mut schedule = staggered(1, 3, 0.5);
    assert!((0..100).all(
        |_| schedule.next_delay(CallOutcome::Delivered, random()) <= Duration::from_millis(150)
    ));
    assert!((0..100).all(|_| schedule.next_delay(REFUSED, random()) <= max_delay));
    assert!(
        (0..100)
            .map(|_| schedule.next_delay(REFUSED, random()))
            .max()
            > Some(max_delay / 2),
        "refused calls back off"
    );
    schedule.on_service_changed();
    assert!(schedule.next_delay(REFUSED, random()) <= Duration::from_millis(300));
}

#[test]
fn a_call_that_failed_slowly_widens_the_window_at_once() {
    let mut schedule = staggered(1, 3, 0.5);
    assert_eq!(
        schedule.next_delay(failed_after(2), 1.0),
        Duration::from_secs(4)
    );
    assert_eq!(
        schedule.next_delay(failed_after(2), 1.0),
        Duration::from_secs(8)
    );
    assert_eq!(
        schedule.next_delay(failed_after(2), 1.0),
        Duration::from_secs(8)
    );
}

#[test]
fn a_retry_after_is_obeyed_up_to_a_limit() {
    let mut schedule = staggered(1, 30, 0.5);
    let delay = Duration::from_secs(7);
    assert!(schedule.next_delay(CallOutcome::RetryAfter { delay }, 0.0) >= delay);
    let excessive = CallOutcome::RetryAfter {
        delay: Duration::from_secs(1 << 40),
    };
    assert!(schedule.next_delay(excessive, 1.0) <= Duration::from_secs(120));
}

/// Guards against a window that grows with the group: one of 300 limiters waited up to 15 s after its watch had stopped
/// delivering, while changes must be applied within 6 s.
#[test]
fn an_immediate_schedule_calls_within_6_s_after_its_watch_stops_delivering_at_any_group_size() {
    let silence = Duration::from_millis(4_500);
    let hung = CallOutcome::Failed { after: silence };
    for size in [1, 3, 60, 300, 1_000] {
        let mut schedule = CallSchedule::immediate(GroupPosition { number: 0, size });
        let delay = schedule.next_delay(CallOutcome::Delivered, 0.999);
        assert!(silence + delay < Duration::from_millis(5_800), "{size}");
        // When a discovery service that was silent for 8 s answers again, a call of each limiter is pending.
        for _ in 0..2 {
            let delay = schedule.next_delay(hung, 0.999);
            assert!(delay <= Duration::from_millis(200), "{size}");
        }
        let third = schedule.next_delay(hung, 0.5);
        assert!(
            third > Duration::from_millis(500),
            "the third retry backs off: {third:?}"
        );
    }
}

#[test]
fn an_immediate_schedule_backs_off_from_a_service_that_fails_within_the_hang_threshold() {
    let mut schedule = CallSchedule::immediate(GroupPosition {
        number: 0,
        size: 300,
    });
    assert!(schedule.next_delay(failed_after(2), 0.5) > Duration::from_secs(1));
}

proptest! {
    #[test]
    fn no_input_delays_a_call_without_bound_or_causes_a_panic(
        number in any::<u32>(),
        size in 0..1_000_000u32,
        calls_per_second in proptest::option::of(any::<f64>()),
        random in any::<f64>(),
        peers in proptest::collection::vec((any::<u32>(), any::<bool>()), 0..50),
        outcomes in proptest::collection::vec((0u8..3, any::<u64>(), 0.0..1.0f64), 0..20),
    ) {
        let mut schedule =
            CallSchedule::staggered(GroupPosition { number, size }, calls_per_second, random);
        prop_assert!(schedule.first_call_at() <= Duration::from_secs(60));
        let before = schedule.first_call_at();
        peers
            .iter()
            .for_each(|(peer, together)| schedule.on_peer_message(*peer, peer_start(*together)));
        prop_assert!(schedule.first_call_at() <= before, "a message of a peer delays the first call");
        for (kind, millis, random) in outcomes {
            let time = Duration::from_millis(millis);
            let outcome = match kind {
                0 => CallOutcome::Delivered,
                1 => CallOutcome::Failed { after: time },
                _ => CallOutcome::RetryAfter { delay: time },
            };
            let delay = schedule.next_delay(outcome, random);
            let max_delivered = Duration::from_millis(50) * size.max(1);
            prop_assert!(delay <= Duration::from_secs(120).max(max_delivered), "{delay:?}");
        }
    }
}
