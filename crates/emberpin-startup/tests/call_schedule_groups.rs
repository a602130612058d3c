//! Tests the schedules of whole groups of limiters that call one discovery service of bounded capacity, simulated in
//! virtual time.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::random_numbers;
use emberpin_startup::call_schedule::{CallOutcome, CallSchedule, GroupPosition};
use std::time::Duration;

/// How long a call waits for the discovery service before it fails, in seconds.
const CALL_TIMEOUT: f64 = 2.0;
/// The steps of virtual time, in seconds.
const STEP: f64 = 0.005;

/// A discovery service that shares its capacity among all calls that are pending.
struct Service {
    calls_per_second: f64,
    /// Until when calls fail at once, in seconds.
    down_until: f64,
}

impl Service {
    fn with_capacity(calls_per_second: f64) -> Service {
        Service {
            calls_per_second,
            down_until: 0.0,
        }
    }
}

struct PendingCall {
    limiter: usize,
    started_at: f64,
    /// The share of the discovery service's work on this call that is left.
    work_left: f64,
}

#[derive(Debug, Default, PartialEq)]
struct Observed {
    calls: usize,
    /// When each call failed, in seconds, in order.
    failed_at: Vec<f64>,
    /// When each limiter was answered, in seconds, in order.
    answered_at: Vec<f64>,
}

impl Service {
    /// Simulates a group for this many seconds. `first_calls` holds the time of each limiter's first call;
    /// `delay_after` returns the delay between a limiter's failed call and its next one.
    fn simulate(
        &self,
        first_calls: &[Duration],
        mut delay_after: impl FnMut(usize, CallOutcome) -> Duration,
        seconds: f64,
    ) -> Observed {
        let mut next_calls: Vec<Option<f64>> = first_calls
            .iter()
            .map(|first| Some(first.as_secs_f64()))
            .collect();
        let mut pending: Vec<PendingCall> = Vec::new();
        let mut observed = Observed::default();
        for step in 0..(seconds / STEP) as u32 {
            let now = f64::from(step) * STEP;
            for (limiter, next_call) in next_calls.iter_mut().enumerate() {
                if next_call.is_none_or(|at| at > now) {
                    continue;
                }
                observed.calls += 1;
                if now < self.down_until {
                    observed.failed_at.push(now);
                    let refused = CallOutcome::Failed {
                        after: Duration::ZERO,
                    };
                    *next_call = Some(now + delay_after(limiter, refused).as_secs_f64());
                } else {
                    *next_call = None;
                    pending.push(PendingCall {
                        limiter,
                        started_at: now,
                        work_left: 1.0,
                    });
                }
            }
            let share = self.calls_per_second * STEP / pending.len().max(1) as f64;
            pending.retain_mut(|call| {
                call.work_left -= share;
                let waited = now - call.started_at;
                if call.work_left <= 0.0 {
                    observed.answered_at.push(now);
                    return false;
                }
                if waited <= CALL_TIMEOUT {
                    return true;
                }
                observed.failed_at.push(now);
                let timed_out = CallOutcome::Failed {
                    after: Duration::from_secs_f64(waited),
                };
                let delay = delay_after(call.limiter, timed_out);
                next_calls[call.limiter] = Some(now + delay.as_secs_f64());
                false
            });
        }
        observed
    }
}

/// A group whose limiters all start at once.
struct Group {
    size: u32,
    /// The size that the limiters' settings name.
    configured_size: u32,
    /// The rate of the discovery service that the settings name.
    service_rate: Option<f64>,
}

impl Group {
    fn with_size(size: u32) -> Group {
        Group {
            size,
            configured_size: size,
            service_rate: None,
        }
    }

    fn start(&self, service: &Service, seed: u64, seconds: f64) -> Observed {
        let mut random = random_numbers(seed);
        let position = |number| GroupPosition {
            number,
            size: self.configured_size,
        };
        let mut schedules: Vec<CallSchedule> = (0..self.size)
            .map(|number| CallSchedule::staggered(position(number), self.service_rate, random()))
            .collect();
        let first_calls: Vec<Duration> =
            schedules.iter().map(CallSchedule::first_call_at).collect();
        service.simulate(
            &first_calls,
            |limiter, outcome| schedules[limiter].next_delay(outcome, random()),
            seconds,
        )
    }
}

#[test]
fn a_group_that_starts_at_once_is_answered_within_5_s_by_a_service_that_serves_it_in_4_s() {
    for size in [40, 100, 300, 1000] {
        let service = Service::with_capacity(f64::from(size) / 4.0);
        let observed = Group::with_size(size).start(&service, 1, 6.0);
        assert_eq!(
            (observed.calls, observed.failed_at.len()),
            (size as usize, 0),
            "{size}"
        );
        assert_eq!(observed.answered_at.len(), size as usize, "{size}");
        let last = observed.answered_at.last();
        assert!(last < Some(&5.0), "{size}: {last:?}");
    }
}

#[test]
fn a_service_of_configured_rate_is_not_overloaded_by_groups_of_any_size() {
    for (size, rate) in [
        (3, 0.75),
        (30, 7.5),
        (30, 1.0),
        (300, 10.0),
        (300, 75.0),
        (600, 10.0),
    ] {
        let group = Group {
            service_rate: Some(rate),
            ..Group::with_size(size)
        };
        let observed = group.start(&Service::with_capacity(rate), 2, 70.0);
        assert_eq!(
            (observed.calls, observed.failed_at.len()),
            (size as usize, 0),
            "{size} at {rate}"
        );
        assert_eq!(
            observed.answered_at.len(),
            size as usize,
            "{size} at {rate}"
        );
    }
}

/// Guards against delays that are shorter than the calls: a call alone takes 1.3 s, and three at once fail at the
/// time-out of 2 s. With delays of at most a second, the calls of the three limiters overlapped for ever.
#[test]
fn a_small_group_that_overloads_a_slow_service_is_answered_in_the_end() {
    for seed in 0..20 {
        let observed = Group::with_size(3).start(&Service::with_capacity(0.75), seed, 60.0);
        assert_eq!(observed.answered_at.len(), 3, "seed {seed}: {observed:?}");
    }
}

#[test]
fn with_a_group_size_that_is_wrong_by_a_factor_of_three_every_limiter_is_still_answered() {
    for (configured_size, max_calls_each) in [(100, 3.0), (900, 1.0)] {
        let group = Group {
            configured_size,
            ..Group::with_size(300)
        };
        let observed = group.start(&Service::with_capacity(75.0), 3, 40.0);
        assert_eq!(
            observed.answered_at.len(),
            300,
            "configured {configured_size}"
        );
        assert!(
            observed.calls as f64 <= max_calls_each * 300.0,
            "configured {configured_size}: {} calls",
            observed.calls
        );
    }
}

#[test]
fn a_service_that_recovers_is_not_overloaded() {
    let service = Service {
        calls_per_second: 75.0,
        down_until: 10.0,
    };
    let observed = Group::with_size(300).start(&service, 4, 60.0);
    assert_eq!(observed.answered_at.len(), 300);
    let last = observed.answered_at.last();
    assert!(last < Some(&20.0), "the last answer at {last:?}");
    let failed_since = |time: f64| observed.failed_at.iter().filter(|at| **at >= time).count();
    assert_eq!(failed_since(service.down_until), 0, "after the recovery");
}

#[test]
fn a_group_whose_watches_all_break_at_once_is_answered_soon_whatever_its_size() {
    for size in [3, 30, 100, 300] {
        let mut random = random_numbers(5);
        let mut schedules: Vec<CallSchedule> = (0..size)
            .map(|number| CallSchedule::staggered(GroupPosition { number, size }, None, 0.0))
            .collect();
        let first_calls: Vec<Duration> = schedules
            .iter_mut()
            .map(|schedule| schedule.next_delay(CallOutcome::Delivered, random()))
            .collect();
        let service = Service::with_capacity((f64::from(size) / 4.0).max(10.0));
        let observed = service.simulate(
            &first_calls,
            |limiter, outcome| schedules[limiter].next_delay(outcome, random()),
            20.0,
        );
        let answered = observed.answered_at.len();
        assert!(
            answered * 10 >= size as usize * 9,
            "{answered} of {size} within 20 s"
        );
    }
}

/// Checks the simulation itself: exponential backoff without jitter overloads the discovery service.
#[test]
fn with_equal_delays_at_all_limiters_no_limiter_of_a_large_group_is_answered() {
    let mut failures = [0; 100];
    let without_jitter = |limiter: usize, _| {
        failures[limiter] += 1;
        Duration::from_millis(50 << failures[limiter].min(4)).min(Duration::from_secs(1))
    };
    let observed =
        Service::with_capacity(25.0).simulate(&[Duration::ZERO; 100], without_jitter, 20.0);
    assert!(observed.answered_at.is_empty());
}

/// Guards against a backoff after the first failed call that is shorter than the time that the discovery service needs
/// to answer all members: limiters that had called just before the recovery called again at once, and their calls
/// overloaded the recovered discovery service and failed.
#[test]
fn a_service_that_recovers_while_first_calls_still_come_is_not_overloaded() {
    for (size, outage) in [(24, 2.0), (24, 5.0), (100, 5.0), (300, 5.0)] {
        let service_rate = f64::from(size) / 4.0;
        let service = Service {
            calls_per_second: service_rate,
            down_until: outage,
        };
        let group = Group {
            service_rate: Some(service_rate),
            ..Group::with_size(size)
        };
        for seed in 0..100 {
            let observed = group.start(&service, seed, 60.0);
            let case = format!("{size} limiters, down for {outage} s, seed {seed}");
            assert_eq!(observed.answered_at.len(), size as usize, "{case}");
            let failed = observed.failed_at.iter().filter(|at| **at >= outage);
            assert_eq!(failed.count(), 0, "after the recovery: {case}");
        }
    }
}
