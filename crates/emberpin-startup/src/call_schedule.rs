//! When to call the discovery service: the first call of a process in a slot of its own, later ones by exponential
//! backoff with full jitter over a window that grows with the group.
//!
//! The schedule keeps a group from overloading the service that all its limiters depend on. A call that waits there for
//! too long fails, and has cost the service as much as one that was answered. When hundreds of limiters start at once,
//! or many watches break at once, they must not all call in that instant, nor again together after equal delays: an
//! overloaded service would answer nobody for as long as they go on at their pace.

use crate::slots::slot_of;
use std::collections::BTreeMap;
use std::time::Duration;

/// The rate that the service is taken to answer calls at where none is configured. A group too large to be
/// served within [`MAX_DEFAULT_STAGGER`] at this rate is taken to have a faster service.
const DEFAULT_CALLS_PER_SECOND: f64 = 10.0;
/// The longest that first calls are spread over where the service's rate is not configured.
const MAX_DEFAULT_STAGGER: Duration = Duration::from_secs(4);
/// The longest that first calls are spread over, whatever rate is configured.
const MAX_STAGGER: Duration = Duration::from_secs(60);
/// The share of its slot, from 0 to 1, in which a call comes at random. Over all of it, calls of adjacent slots would
/// meet.
const SLOT_JITTER_SHARE: f64 = 0.25;

/// What each limiter of the group adds to the first backoff window: 100 limiters call again within 5 s, 3 almost at
/// once.
const WINDOW_PER_LIMITER: Duration = Duration::from_millis(50);
/// How often the window doubles before it stays as it is.
const MAX_DOUBLINGS: u32 = 2;
/// What the window of a small group may grow to all the same.
const MIN_WINDOW_LIMIT: Duration = Duration::from_millis(1_000);
/// The shortest window after a call that failed slowly, as a multiple of the call's duration: what took long to fail
/// takes long to answer, and shorter delays would let calls meet there.
const SLOW_FAILURE_WINDOW: u32 = 2;
/// What the window may grow to after calls that failed slowly, as a multiple of the last one's duration. Without it a
/// few limiters overload a service whose every call takes longer than their usual delays.
const SLOW_FAILURE_WINDOW_LIMIT: u32 = 4;
/// A call that failed faster reached no service, and cost it nothing.
const FAST_FAILURE: Duration = Duration::from_millis(100);
/// The longest window after a failure, and the longest delay that a service's `Retry-After` is obeyed for.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The longest window after a watch broke, where the age of the list is bounded: changes bind 6 s after a watch fell
/// silent, which is noticed after 4.5 s.
const MAX_BOUNDED_WINDOW: Duration = Duration::from_millis(1_200);
/// A call that failed after this long hung before a service that is silent, and cost it nothing.
const HANG_THRESHOLD: Duration = Duration::from_millis(4_000);
/// How many calls that hung in a row are retried at once where the age of the list is bounded, so that a call is
/// pending when the service answers again.
const MAX_IMMEDIATE_RETRIES: u32 = 2;
/// The window of such a retry.
const IMMEDIATE_RETRY_WINDOW: Duration = Duration::from_millis(200);

/// The longest time that a number of seconds without meaning (infinite, not a number) stands for.
const UNBOUNDED: Duration = Duration::from_secs(86_400);

/// Which member of its group a limiter is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPosition {
    /// The member's number, from 0.
    pub number: u32,
    /// How many members the settings name. A wrong size costs calls or time, and keeps nobody out.
    pub size: u32,
}

/// How a call to the discovery service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It delivered a list or changes before it broke.
    Delivered,
    /// It delivered nothing.
    Failed {
        /// The time from the call to its failure.
        after: Duration,
    },
    /// The service asked for a later call: 503 with `Retry-After` (RFC 9110, section 10.2.3).
    RetryAfter {
        /// The delay that it asked for.
        delay: Duration,
    },
}

/// When a peer's process started, compared with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStart {
    /// About when this one did: it needs its list too.
    Together,
    /// Before: it does not call now.
    Earlier,
}

/// The calls of one process to the discovery service.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    position: GroupPosition,
    /// The time in which the service can answer a call of each member.
    stagger: Duration,
    /// When the first call is due, since the start, if the whole group starts together.
    slot: Duration,
    /// The shortest window after a call that reached no service, where the service's rate is configured. The mean delay
    /// is half the window, so a group whose windows are twice the stagger calls no more often than the service
    /// answers, at whatever moment it comes back.
    recovery_window: Duration,
    /// The peers heard of before the first call.
    peers: BTreeMap<u32, PeerStart>,
    /// The window that the last delay was drawn from.
    window: Duration,
    /// The age of the list is bounded: calls may not wait for long.
    is_age_bounded: bool,
    /// How many calls have hung in a row.
    hung_calls: u32,
}

impl CallSchedule {
    /// For a process whose first call does not wait, since its list may be outdated and changes to it bind.
    pub fn immediate(position: GroupPosition) -> CallSchedule {
        CallSchedule {
            slot: Duration::ZERO,
            is_age_bounded: true,
            ..CallSchedule::staggered(position, None, 0.0)
        }
    }

    /// For a process that starts now and may wait for its first call. `calls_per_second` is how many calls per second the
    /// service answers, where the operator has configured it; `random` lies in [0, 1).
    pub fn staggered(
        position: GroupPosition,
        calls_per_second: Option<f64>,
        random: f64,
    ) -> CallSchedule {
        let size = position.size.max(1);
        let stagger = stagger(size, calls_per_second);
        CallSchedule {
            position,
            stagger,
            recovery_window: calls_per_second.map_or(Duration::ZERO, |_| stagger * 2),
            slot: slot_start(position.number, size, stagger, random),
            peers: BTreeMap::new(),
            window: WINDOW_PER_LIMITER * size,
            is_age_bounded: false,
            hung_calls: 0,
        }
    }

    /// A message of a peer came before the first call. Numbers outside the group are ignored, which bounds the table.
    pub fn on_peer_message(&mut self, peer: u32, start: PeerStart) {
        if peer < self.position.size && peer != self.position.number {
            self.peers.insert(peer, start);
        }
    }

    /// When the first call is due, since the start. The wait is cut to the share of members that started together with
    /// this one, as far as heard of; these keep their order.
    pub fn first_call_at(&self) -> Duration {
        let together = self
            .peers
            .values()
            .filter(|start| **start == PeerStart::Together)
            .count();
        self.slot
            .mul_f64((together + 1) as f64 / (self.peers.len() + 1) as f64)
    }

    /// The delay between a call that ended with `outcome` and the next; `random` lies in [0, 1).
    pub fn next_delay(&mut self, outcome: CallOutcome, random: f64) -> Duration {
        let random = random.clamp(0.0, 1.0);
        self.count_hung_calls(outcome);
        if self.is_age_bounded && (1..=MAX_IMMEDIATE_RETRIES).contains(&self.hung_calls) {
            return IMMEDIATE_RETRY_WINDOW.mul_f64(random);
        }
        match outcome {
            CallOutcome::Delivered => self.delay_after_delivery(random),
            CallOutcome::Failed { after } => self.delay_after_failure(after, random),
            CallOutcome::RetryAfter { delay } => self.delay_after_rejection(delay, random),
        }
    }

    /// The limiter has been pointed to another discovery service: failures of the last one no longer count.
    pub fn on_service_changed(&mut self) {
        self.window = self.first_window();
    }

    fn count_hung_calls(&mut self, outcome: CallOutcome) {
        let hung = matches!(outcome, CallOutcome::Failed { after } if after >= HANG_THRESHOLD);
        self.hung_calls = if hung {
            self.hung_calls.saturating_add(1)
        } else {
            0
        };
    }

    fn delay_after_delivery(&mut self, random: f64) -> Duration {
        self.window = self.first_window();
        let window = if self.is_age_bounded {
            self.window.min(MAX_BOUNDED_WINDOW)
        } else {
            self.window
        };
        window.mul_f64(random)
    }

    fn delay_after_failure(&mut self, after: Duration, random: f64) -> Duration {
        self.window = if after < FAST_FAILURE {
            (self.window * 2)
                .max(self.recovery_window)
                .min(MIN_WINDOW_LIMIT.max(self.stagger * 2))
        } else {
            let limit = self
                .usual_window_limit()
                .max(after.saturating_mul(SLOW_FAILURE_WINDOW_LIMIT));
            (self.window * 2)
                .max(after.saturating_mul(SLOW_FAILURE_WINDOW))
                .min(limit)
        }
        .min(MAX_BACKOFF);
        self.window.mul_f64(random)
    }

    fn delay_after_rejection(&mut self, delay: Duration, random: f64) -> Duration {
        self.window = (self.window * 2)
            .min(self.usual_window_limit())
            .min(MAX_BACKOFF);
        delay.min(MAX_BACKOFF) + self.window.mul_f64(random)
    }

    fn first_window(&self) -> Duration {
        WINDOW_PER_LIMITER * self.position.size.max(1)
    }

    fn usual_window_limit(&self) -> Duration {
        (self.first_window() * 2u32.pow(MAX_DOUBLINGS)).max(MIN_WINDOW_LIMIT)
    }
}

/// The time that the first calls of a group are spread over.
fn stagger(size: u32, calls_per_second: Option<f64>) -> Duration {
    match calls_per_second {
        Some(rate) => seconds(f64::from(size) / rate.max(f64::EPSILON)).min(MAX_STAGGER),
        None => seconds(f64::from(size) / DEFAULT_CALLS_PER_SECOND).min(MAX_DEFAULT_STAGGER),
    }
}

/// When a member's slot begins, plus a random part of it. Slots go by number, since random times alone would let calls
/// meet; the random part keeps members apart that a wrong size gives the same slot.
fn slot_start(number: u32, size: u32, stagger: Duration, random: f64) -> Duration {
    // A lone limiter has nobody to make room for.
    if size == 1 {
        return Duration::ZERO;
    }
    let slots = f64::from(slot_of(number, size)) + SLOT_JITTER_SHARE * random.clamp(0.0, 1.0);
    stagger.mul_f64(slots / f64::from(size))
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(UNBOUNDED)
}
