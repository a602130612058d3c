//! Timeouts and backoff of rounds, which adapt to the measured delays of disks and network.
//!
//! A round has two phases, and each phase waits for up to three syncs one after the other: the one that a voter is
//! in when the message arrives, the one that the message itself needs, and the one that the proposer is in when the
//! answer arrives. Timeouts begin at [`BASE_ROUND_TIMEOUT`] and double with each round that failed, up to
//! [`MAX_ROUND_TIMEOUT`], which is above the six syncs of [`MAX_SYNC_TIME`].

use crate::time::{as_whole_millis, Timestamp};
use std::time::Duration;

/// The longest sync at which rounds are sure to succeed.
const MAX_SYNC_TIME: Duration = Duration::from_millis(3_000);
/// Upper bound of all timeouts and backoffs here, however slow the disks.
const MAX_ROUND_TIMEOUT: Duration = MAX_SYNC_TIME.saturating_mul(7);
/// A round that takes longer is abandoned for a new one, if no round failed before it and no delay was measured.
const BASE_ROUND_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a round that a voter rejected goes on: the other voters may be a majority, or may be down.
const BASE_REJECTED_GRACE: Duration = Duration::from_millis(150);
/// How long a voter waits for what it accepted to be chosen before it finishes the round itself.
const BASE_REPAIR_DELAY: Duration = Duration::from_millis(300);
/// Twice the bound below which the backoff after a first failed round is drawn.
const BASE_BACKOFF: Duration = Duration::from_millis(60);
/// Unanswered messages are sent again after this delay, which doubles each time.
const BASE_RESEND_DELAY: Duration = Duration::from_millis(700);
/// Upper bound of the delay before unanswered messages are sent again.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(2_000);
/// A measured delay counts half as much after each such span without another measurement.
const DELAY_HALF_LIFE: Duration = Duration::from_millis(5_000);
/// How often failed rounds double the timeouts of the next one.
const MAX_DOUBLINGS: u32 = 6;
/// How often failed rounds double the bound of the backoff. Enough for one proposer on each of a few machines; a replica
/// that waits longer misses its turn among calls that come all the time.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// How often failed rounds double the delay before a voter finishes what it accepted.
const MAX_REPAIR_DOUBLINGS: u32 = 3;

/// Whether timeouts adapt to measured delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adaptation {
    Adaptive,
    /// Only in tests, to show that they detect it: the timeouts suit fast disks, and nothing is sent again.
    Fixed,
}

/// The measured delays, and the failures since the last success.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacing {
    /// About the longest that a phase of a round, or a sync of this replica, took lately; in whole milliseconds.
    phase_millis: u64,
    /// When that was measured last.
    measured_at: Timestamp,
    /// How many rounds failed in a row, up to [`MAX_DOUBLINGS`].
    failures: u32,
    adaptation: Adaptation,
}

impl Pacing {
    pub fn new(adaptation: Adaptation) -> Pacing {
        Pacing {
            phase_millis: 0,
            measured_at: Timestamp::default(),
            failures: 0,
            adaptation,
        }
    }

    /// Takes the measured time of a phase or a sync. A longer one replaces the estimate, a shorter one reduces it by a
    /// quarter.
    pub fn record_delay(&mut self, now: Timestamp, delay: Duration) {
        let phase = self.phase_millis(now);
        let delay = as_whole_millis(delay.min(MAX_ROUND_TIMEOUT));
        self.phase_millis = delay.max(phase - phase.div_ceil(4));
        self.measured_at = now;
    }

    pub fn record_failure(&mut self) {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Whether other proposers got in the way lately, or the disks are slow.
    pub fn is_contended(&self) -> bool {
        self.is_adaptive() && self.failures > 0
    }

    /// After how long a round that begins now is abandoned.
    pub fn round_timeout(&self, now: Timestamp) -> Duration {
        if !self.is_adaptive() {
            return BASE_ROUND_TIMEOUT + Duration::from_millis(300) * self.failures.min(3);
        }
        let timeout = (BASE_ROUND_TIMEOUT + 4 * self.phase(now)) * self.failure_factor();
        timeout.min(MAX_ROUND_TIMEOUT)
    }

    /// How long a round goes on that a voter has rejected.
    pub fn rejected_grace(&self, now: Timestamp) -> Duration {
        if !self.is_adaptive() {
            return BASE_REJECTED_GRACE;
        }
        let grace = (BASE_REJECTED_GRACE + self.phase(now)) * self.failure_factor();
        grace.min(MAX_ROUND_TIMEOUT)
    }

    /// The bound below which the backoff after a failed round is drawn.
    pub fn max_backoff(&self, now: Timestamp) -> Duration {
        if !self.is_adaptive() {
            return BASE_BACKOFF / 2 * (1 << self.failures.min(4));
        }
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (BASE_BACKOFF + self.phase(now)) * (1 << doublings) / 2;
        backoff.min(MAX_ROUND_TIMEOUT)
    }

    /// How long a replica whose last round failed waits for another proposer's round that it has just promised to.
    pub fn yield_time(&self, now: Timestamp) -> Duration {
        BASE_BACKOFF + 2 * self.phase(now)
    }

    /// After how long a replica finishes what it accepted and does not know to be chosen.
    pub fn repair_delay(&self, now: Timestamp) -> Duration {
        if !self.is_adaptive() {
            return BASE_REPAIR_DELAY;
        }
        let doublings = self.failures.min(MAX_REPAIR_DOUBLINGS);
        let delay = (BASE_REPAIR_DELAY + 3 * self.phase(now)) * (1 << doublings);
        delay.min(MAX_ROUND_TIMEOUT)
    }

    /// After how long messages that were sent again this often, and not answered, are sent once more; `None`, if
    /// nothing is sent again.
    pub fn resend_delay(&self, resent: u32) -> Option<Duration> {
        let delay = BASE_RESEND_DELAY * (1 << resent.min(MAX_DOUBLINGS));
        self.is_adaptive().then_some(delay.min(MAX_RESEND_DELAY))
    }

    fn is_adaptive(&self) -> bool {
        self.adaptation == Adaptation::Adaptive
    }

    fn failure_factor(&self) -> u32 {
        1 << self.failures
    }

    /// The measured delay, which counts less the longer ago it was measured.
    pub fn phase(&self, now: Timestamp) -> Duration {
        Duration::from_millis(self.phase_millis(now))
    }

    fn phase_millis(&self, now: Timestamp) -> u64 {
        let age = now.saturating_since(self.measured_at);
        let half_lives = as_whole_millis(age) / as_whole_millis(DELAY_HALF_LIFE);
        let shift = u32::try_from(half_lives).unwrap_or(u32::MAX);
        self.phase_millis.checked_shr(shift).unwrap_or(0)
    }
}
