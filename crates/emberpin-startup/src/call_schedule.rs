//! When to call the discovery service: the first call of a process in a slot of its own, later ones by exponential
//! backoff with full jitter over a window that grows with the group.
//!
//! The schedule keeps a group from overloading the discovery service, on which all its limiters depend. A call that
//! waits too long for its answer fails, but has cost the discovery service as much work as an answered call. When
//! hundreds of limiters start at once, or many watches break at once, they must not all call at the same moment, nor
//! retry together after equal delays: an overloaded discovery service would answer none of them as long as the rate of
//! calls stays the same.

use crate::slots::slot_of;
use std::collections::BTreeMap;
use std::time::Duration;

/// The rate at which the discovery service is assumed to answer calls where no rate is configured. If a group is too
/// large to be served within [`MAX_DEFAULT_STAGGER`] at this rate, its discovery service is assumed to be faster.
const DEFAULT_CALLS_PER_SECOND: f64 = 10.0;
/// The longest time that first calls are spread over where the discovery service's rate is not configured.
const MAX_DEFAULT_STAGGER: Duration = Duration::from_secs(4);
/// The longest time that first calls are spread over, whatever rate is configured.
const MAX_STAGGER: Duration = Duration::from_secs(60);
/// The share of its slot, from 0 to 1, over which the time of a call is randomized. If it were the whole slot, calls of
/// adjacent slots could coincide.
const SLOT_JITTER_SHARE: f64 = 0.25;

/// The contribution of each limiter of the group to the first backoff window: 100 limiters call again within 5 s, 3
/// almost at once.
const WINDOW_PER_LIMITER: Duration = Duration::from_millis(50);
/// How many times the window doubles at most.
const MAX_DOUBLINGS: u32 = 2;
/// The lower bound of the limit that the window may grow to, which takes effect in small groups.
const MIN_WINDOW_LIMIT: Duration = Duration::from_millis(1_000);
/// The shortest window after a call that failed slowly, as a multiple of the call's duration: a discovery service that
/// takes long to fail a call also takes long to answer one, and after shorter delays it would get further calls while
/// it still processes earlier ones.
const SLOW_FAILURE_WINDOW: u32 = 2;
/// The limit that the window may grow to after calls that failed slowly, as a multiple of the last call's duration.
/// Without it, a few limiters overload a discovery service whose every call takes longer than their usual delays.
const SLOW_FAILURE_WINDOW_LIMIT: u32 = 4;
/// A call that failed within this time did not reach the discovery service, and cost it nothing.
const FAST_FAILURE: Duration = Duration::from_millis(100);
/// The longest window after a failure, and the upper bound of the delay that a `Retry-After` of the discovery service
/// can ask for.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The longest window after a watch broke, where the age of the list is bounded: changes must be applied within 6 s
/// after a watch stopped delivering, which is detected after 4.5 s.
const MAX_BOUNDED_WINDOW: Duration = Duration::from_millis(1_200);
/// A call that failed after at least this time counts as hung: the discovery service answers no calls at all, so that
/// this one cost it nothing.
const HANG_THRESHOLD: Duration = Duration::from_millis(4_000);
/// How many consecutive hung calls are retried at once where the age of the list is bounded, so that a call is
/// pending when the discovery service answers again.
const MAX_IMMEDIATE_RETRIES: u32 = 2;
/// The window of the retry after a hung call.
const IMMEDIATE_RETRY_WINDOW: Duration = Duration::from_millis(200);

/// The duration used for a number of seconds that is no valid duration (infinite, not a number).
const UNBOUNDED: Duration = Duration::from_secs(86_400);

/// Which member of its group a limiter is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPosition {
    /// The member's number, from 0.
    pub number: u32,
    /// How many members the settings name. A wrong size costs calls or time, but no member is left without an answer.
    pub size: u32,
}

/// How a call to the discovery service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call delivered a list or changes before it broke.
    Delivered,
    /// The call delivered nothing.
    Failed {
        /// The time from the call to its failure.
        after: Duration,
    },
    /// The discovery service asked for a later call: 503 with `Retry-After` (RFC 9110, section 10.2.3).
    RetryAfter {
        /// The delay that the discovery service asked for.
        delay: Duration,
    },
}

/// When a peer's process started, compared with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStart {
    /// At about the same time as this one: the peer also needs a list.
    Together,
    /// Earlier than this one: the peer does not call now.
    Earlier,
}

/// Decides when one process calls the discovery service.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    position: GroupPosition,
    /// The time in which the discovery service can answer a call of each member.
    stagger: Duration,
    /// When the first call is due, since the start, if the whole group starts together.
    slot: Duration,
    /// The shortest window after a call that did not reach the discovery service, where its rate is configured. The
    /// mean delay is half the window, so a group whose windows are twice the stagger calls no more often than the
    /// discovery service can answer, at whatever moment it recovers.
    recovery_window: Duration,
    /// The peers that sent a message before the first call, by member number.
    peers: BTreeMap<u32, PeerStart>,
    /// The window that the last delay was drawn from.
    window: Duration,
    /// Whether the age of the list is bounded, so that calls must not be delayed for long.
    is_age_bounded: bool,
    /// The number of consecutive calls that hung.
    hung_calls: u32,
}

impl CallSchedule {
    /// A schedule for a process whose first call is not delayed, since its list may be outdated and changes to the list
    /// must be applied in time.
    pub fn immediate(position: GroupPosition) -> CallSchedule {
        CallSchedule {
            slot: Duration::ZERO,
            is_age_bounded: true,
            ..CallSchedule::staggered(position, None, 0.0)
        }
    }

    /// A schedule for a process that starts now and whose first call may be delayed. `calls_per_second` is how many
    /// calls per second the discovery service answers, where the operator has configured it; `random` is a random
    /// number from 0 to 1 (exclusive).
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

    /// Records that a peer sent a message before the first call. Member numbers outside the group are ignored, which
    /// bounds the table.
    pub fn on_peer_message(&mut self, peer: u32, start: PeerStart) {
        if peer < self.position.size && peer != self.position.number {
            self.peers.insert(peer, start);
        }
    }

    /// When the first call is due, since the start. The slot is scaled down to the share of members that started
    /// together with this one, as far as peers have sent messages; the order of these members stays the same.
    pub fn first_call_at(&self) -> Duration {
        let together = self
            .peers
            .values()
            .filter(|start| **start == PeerStart::Together)
            .count();
        self.slot
            .mul_f64((together + 1) as f64 / (self.peers.len() + 1) as f64)
    }

    /// The delay between a call that ended with `outcome` and the next call; `random` is a random number in [0, 1).
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

    /// Resets the backoff: the limiter has been configured with another discovery service, so failures of the previous
    /// one no longer count.
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

/// The start of a member's slot, plus a random part of the slot. Slots are assigned by member number, since with random
/// times alone calls could coincide; the random part separates members that share a slot because the configured size is
/// wrong.
fn slot_start(number: u32, size: u32, stagger: Duration, random: f64) -> Duration {
    // A lone limiter shares the discovery service with no other member.
    if size == 1 {
        return Duration::ZERO;
    }
    let slots = f64::from(slot_of(number, size)) + SLOT_JITTER_SHARE * random.clamp(0.0, 1.0);
    stagger.mul_f64(slots / f64::from(size))
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(UNBOUNDED)
}
