//! Groups of limiters that call one service, in virtual time.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_startup::call_schedule::{CallOutcome, CallSchedule, GroupPosition, PeerStart};
use proptest::prelude::*;
use std::time::Duration;

const LONG: Duration = Duration::from_millis(1_000);

/// A service that shares its power among all calls that wait, and fails those that have waited for 2 s.
struct Service {
    power: f64,
    /// Answers nothing before, in seconds.
    dead_until: f64,
}

#[derive(Debug, Default, PartialEq)]
struct Seen {
    calls: usize,
    failed: usize,
    /// When each was served, in seconds, in order.
    served: Vec<f64>,
}

impl Service {
    /// What a group sees of it in so many seconds; `first` and `pause` say when limiter k calls.
    fn meets(
        &self,
        first: &[Duration],
        mut pause: impl FnMut(u32, CallOutcome) -> Duration,
        seconds: f64,
    ) -> Seen {
        const STEP: f64 = 0.005;
        let mut next: Vec<Option<f64>> = first
            .iter()
            .map(|first| Some(first.as_secs_f64()))
            .collect();
        let mut waiting: Vec<(usize, f64, f64)> = Vec::new();
        let mut seen = Seen::default();
        for step in 0..(seconds / STEP) as u32 {
            let now = f64::from(step) * STEP;
            let dead = now < self.dead_until;
            for (k, due) in next.iter_mut().enumerate() {
                if due.is_some_and(|at| at <= now) {
                    seen.calls += 1;
                    *due = if dead {
                        seen.failed += 1;
                        Some(
                            now + pause(
                                k as u32,
                                CallOutcome::Failed {
                                    after: Duration::ZERO,
                                },
                            )
                            .as_secs_f64(),
                        )
                    } else {
                        waiting.push((k, now, 1.0));
                        None
                    };
                }
            }
            let share = self.power * STEP / waiting.len().max(1) as f64;
            waiting.iter_mut().for_each(|(_, _, left)| *left -= share);
            waiting.retain(|(k, since, left)| {
                let (done, late) = (*left <= 0.0, now - since > 2.0);
                if done {
                    seen.served.push(now);
                } else if late {
                    seen.failed += 1;
                    let ended = CallOutcome::Failed {
                        after: Duration::from_secs_f64(now - since),
                    };
                    next[*k] = Some(now + pause(*k as u32, ended).as_secs_f64());
                }
                !done && !late
            });
        }
        seen
    }
}

#[test]
fn every_limiter_of_a_group_has_a_slot_of_its_own() {
    for size in 2..400 {
        let first = |number| {
            CallSchedule::staggered(GroupPosition { number, size }, Some(1.0), 0.0).first_call_at()
        };
        let mut all: Vec<Duration> = (0..size).map(first).collect();
        all.sort();
        let least = Duration::from_secs(u64::from(size).min(60)).mul_f64(0.99 / f64::from(size));
        assert!(all.windows(2).all(|two| two[1] - two[0] >= least), "{size}");
    }
}

fn peer_start(together: bool) -> PeerStart {
    if together {
        PeerStart::Together
    } else {
        PeerStart::Earlier
    }
}

/// Draws that repeat with the seed.
fn draws(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed;
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// A group of which all, or the last part, start in one instant; the settings of each say `told` for its size.
fn starts(
    service: &Service,
    size: u32,
    told: u32,
    power: Option<f64>,
    seed: u64,
    seconds: f64,
) -> Seen {
    let mut draw = draws(seed);
    let place = |number| GroupPosition { number, size: told };
    let mut all: Vec<CallSchedule> = (0..size)
        .map(|k| CallSchedule::staggered(place(k), power, draw()))
        .collect();
    let first: Vec<Duration> = all.iter().map(CallSchedule::first_call_at).collect();
    service.meets(
        &first,
        |k, ended| all[k as usize].next_delay(ended, draw()),
        seconds,
    )
}

#[test]
fn a_group_that_starts_at_once_is_told_at_once_by_a_service_of_a_call_each_in_four_seconds() {
    for size in [40, 100, 300, 1000] {
        let service = Service {
            power: f64::from(size) / 4.0,
            dead_until: 0.0,
        };
        let seen = starts(&service, size, size, None, 1, 6.0);
        assert_eq!((seen.calls, seen.failed), (size as usize, 0), "{size}");
        assert_eq!(seen.served.len(), size as usize, "{size}");
        assert!(
            seen.served.last() < Some(&5.0),
            "{size}: {:?}",
            seen.served.last()
        );
    }
}

#[test]
fn a_service_whose_power_was_said_is_not_overrun_by_groups_of_any_size() {
    for (size, power) in [
        (3, 0.75),
        (30, 7.5),
        (30, 1.0),
        (300, 10.0),
        (300, 75.0),
        (600, 10.0),
    ] {
        let service = Service {
            power,
            dead_until: 0.0,
        };
        let seen = starts(&service, size, size, Some(power), 2, 70.0);
        assert_eq!(
            (seen.calls, seen.failed),
            (size as usize, 0),
            "{size} at {power}"
        );
        assert_eq!(seen.served.len(), size as usize, "{size} at {power}");
    }
}

#[test]
fn a_few_that_overrun_a_slow_service_are_told_all_the_same() {
    // Each call alone takes 1.3 s, three together fail at 2 s: with pauses of a second at most they met for ever.
    for seed in 0..20 {
        let service = Service {
            power: 0.75,
            dead_until: 0.0,
        };
        let seen = starts(&service, 3, 3, None, seed, 60.0);
        assert_eq!(seen.served.len(), 3, "seed {seed}: {seen:?}");
    }
}

#[test]
fn a_size_that_is_wrong_by_three_costs_calls_and_keeps_nobody_out() {
    for (told, most) in [(100, 3.0), (900, 1.0)] {
        let service = Service {
            power: 75.0,
            dead_until: 0.0,
        };
        let seen = starts(&service, 300, told, None, 3, 40.0);
        assert_eq!(seen.served.len(), 300, "told {told}");
        assert!(
            seen.calls as f64 <= most * 300.0,
            "told {told}: {} calls",
            seen.calls
        );
    }
}

#[test]
fn a_service_that_comes_back_is_not_overrun() {
    let service = Service {
        power: 75.0,
        dead_until: 10.0,
    };
    let seen = starts(&service, 300, 300, None, 4, 60.0);
    assert_eq!(seen.served.len(), 300, "{} of 300", seen.served.len());
    assert!(
        seen.served.last() < Some(&20.0),
        "the last after {:?}",
        seen.served.last()
    );
    let after = seen.calls - seen.failed;
    assert_eq!(
        after, 300,
        "once it was back no call failed, of {}",
        seen.calls
    );
}

#[test]
fn a_group_whose_watches_all_break_at_once_is_back_soon_whatever_its_size() {
    for size in [3, 30, 100, 300] {
        let mut draw = draws(5);
        let place = |number| GroupPosition { number, size };
        let mut all: Vec<CallSchedule> = (0..size)
            .map(|k| CallSchedule::staggered(place(k), None, 0.0))
            .collect();
        let first: Vec<Duration> = all
            .iter_mut()
            .map(|calls| calls.next_delay(CallOutcome::Delivered, draw()))
            .collect();
        let service = Service {
            power: (f64::from(size) / 4.0).max(10.0),
            dead_until: 0.0,
        };
        let seen = service.meets(
            &first,
            |k, ended| all[k as usize].next_delay(ended, draw()),
            20.0,
        );
        assert!(
            seen.served.len() * 10 >= size as usize * 9,
            "{} of {size} within 20 s",
            seen.served.len()
        );
    }
}

#[test]
fn pauses_that_all_share_would_keep_a_large_group_out() {
    let service = Service {
        power: 25.0,
        dead_until: 0.0,
    };
    let mut failures = [0; 100];
    let shared = |k: u32, _| {
        failures[k as usize] += 1;
        Duration::from_millis(50 << failures[k as usize].min(4)).min(LONG)
    };
    assert!(service
        .meets(&[Duration::ZERO; 100], shared, 20.0)
        .served
        .is_empty());
}

#[test]
fn one_that_comes_back_among_peers_that_serve_asks_soon() {
    let late = |number: &u32| {
        CallSchedule::staggered(
            GroupPosition {
                number: *number,
                size: 300,
            },
            None,
            0.9,
        )
        .first_call_at()
    };
    let last = (0..300).max_by_key(late).expect("some");
    let mut one = CallSchedule::staggered(
        GroupPosition {
            number: last,
            size: 300,
        },
        None,
        0.9,
    );
    assert!(one.first_call_at() > Duration::from_secs_f64(3.9));
    (0..40).for_each(|peer| one.on_peer_heard(peer, PeerStart::Earlier));
    assert!(one.first_call_at() < Duration::from_millis(100));
    // Seven in ten started with it: they need seven tenths of the round.
    let mut many = CallSchedule::staggered(
        GroupPosition {
            number: last,
            size: 300,
        },
        None,
        0.9,
    );
    (0..100).for_each(|peer| many.on_peer_heard(peer, peer_start(peer % 10 < 7)));
    assert!(
        many.first_call_at() > Duration::from_secs_f64(2.5)
            && many.first_call_at() < Duration::from_secs(3)
    );
}

#[test]
fn one_that_may_not_wait_asks_at_once_and_spaces_later_calls() {
    let mut calls = CallSchedule::immediate(GroupPosition {
        number: 77,
        size: 300,
    });
    assert_eq!(calls.first_call_at(), Duration::ZERO);
    calls.on_peer_heard(3, PeerStart::Together);
    assert_eq!(calls.first_call_at(), Duration::ZERO);
    let late = CallOutcome::Failed {
        after: Duration::from_secs(2),
    };
    assert!(calls.next_delay(late, 0.9) > Duration::from_secs(10));
}

#[test]
fn a_lone_limiter_asks_at_once() {
    for power in [None, Some(0.1)] {
        assert_eq!(
            CallSchedule::staggered(GroupPosition { number: 0, size: 1 }, power, 0.9)
                .first_call_at(),
            Duration::ZERO
        );
        assert_eq!(
            CallSchedule::staggered(GroupPosition { number: 0, size: 0 }, power, 0.9)
                .first_call_at(),
            Duration::ZERO
        );
    }
}

#[test]
fn a_few_limiters_ask_again_at_once_and_never_wait_long_for_a_service_that_fails_at_once() {
    let mut draw = draws(6);
    let mut few = CallSchedule::staggered(GroupPosition { number: 1, size: 3 }, None, 0.5);
    let failed = CallOutcome::Failed {
        after: Duration::ZERO,
    };
    assert!((0..100)
        .all(|_| few.next_delay(CallOutcome::Delivered, draw()) <= Duration::from_millis(150)));
    assert!((0..100).all(|_| few.next_delay(failed, draw()) <= LONG));
    assert!(
        (0..100).map(|_| few.next_delay(failed, draw())).max() > Some(LONG / 2),
        "fruitless ones are spaced out"
    );
    few.on_service_changed();
    assert!(few.next_delay(failed, draw()) <= Duration::from_millis(300));
}

#[test]
fn a_call_that_took_long_to_fail_widens_the_pauses_at_once() {
    let mut few = CallSchedule::staggered(GroupPosition { number: 1, size: 3 }, None, 0.5);
    let failed = CallOutcome::Failed {
        after: Duration::from_secs(2),
    };
    assert_eq!(few.next_delay(failed, 1.0), Duration::from_secs(4));
    assert_eq!(few.next_delay(failed, 1.0), Duration::from_secs(8));
    assert_eq!(few.next_delay(failed, 1.0), Duration::from_secs(8));
}

#[test]
fn a_service_that_says_when_is_not_asked_before() {
    let mut calls = CallSchedule::staggered(
        GroupPosition {
            number: 1,
            size: 30,
        },
        None,
        0.5,
    );
    let wait = Duration::from_secs(7);
    assert!(calls.next_delay(CallOutcome::RetryAfter { delay: wait }, 0.0) >= wait);
    let ever = Duration::from_secs(1 << 40);
    assert!(
        calls.next_delay(CallOutcome::RetryAfter { delay: ever }, 1.0) <= Duration::from_secs(120),
        "and not for ever"
    );
}

proptest! {
    #[test]
    fn no_input_makes_a_call_wait_for_ever_or_panics(
        number in any::<u32>(), size in any::<u32>(), power in proptest::option::of(any::<f64>()), draw in any::<f64>(),
        peers in proptest::collection::vec((any::<u32>(), any::<bool>()), 0..50),
        ends in proptest::collection::vec((0u8..3, any::<u64>(), 0.0..1.0f64), 0..20),
    ) {
        let size = size % 1_000_000;
        let mut calls = CallSchedule::staggered(GroupPosition { number, size }, power, draw);
        prop_assert!(calls.first_call_at() <= Duration::from_secs(60));
        let before = calls.first_call_at();
        peers.iter().for_each(|(peer, together)| calls.on_peer_heard(*peer, peer_start(*together)));
        prop_assert!(calls.first_call_at() <= before, "what is heard makes nobody wait longer");
        for (kind, value, draw) in ends {
            let time = Duration::from_millis(value);
            let ended = [CallOutcome::Delivered, CallOutcome::Failed { after: time }, CallOutcome::RetryAfter { delay: time }][usize::from(kind)];
            let pause = calls.next_delay(ended, draw);
            let longest = Duration::from_millis(50) * size.max(1);
            prop_assert!(pause <= Duration::from_secs(120).max(longest), "{pause:?}");
        }
    }
}

/// Once one of 300 waited up to 15 s after its watch had fallen silent, while drains bound after six.
#[test]
fn one_that_is_bound_is_back_within_6_s_of_the_silence_of_its_watch_whatever_the_size() {
    for size in [1, 3, 60, 300, 1_000] {
        let mut calls = CallSchedule::immediate(GroupPosition { number: 0, size });
        let silent = Duration::from_millis(4_500);
        assert!(
            silent + calls.next_delay(CallOutcome::Delivered, 0.999) < Duration::from_millis(5_800),
            "{size}"
        );
        // A service that is silent for 8 s finds a call of each when it speaks again.
        for _ in 0..2 {
            assert!(
                calls.next_delay(CallOutcome::Failed { after: silent }, 0.999)
                    <= Duration::from_millis(200),
                "{size}"
            );
        }
        let third = calls.next_delay(CallOutcome::Failed { after: silent }, 0.5);
        assert!(
            third > Duration::from_millis(500),
            "and then it backs off: {third:?}"
        );
        // A service that answers, and late, is a crowded one.
        let mut calls = CallSchedule::immediate(GroupPosition {
            number: 0,
            size: 300,
        });
        assert!(
            calls.next_delay(
                CallOutcome::Failed {
                    after: Duration::from_secs(2)
                },
                0.5
            ) > Duration::from_secs(1)
        );
    }
}
