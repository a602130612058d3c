//! Timeouts and backoff of rounds, which adapt to the measured delays of disks and network.
//!
//! A round has two phases, and each phase waits for up to three consecutive syncs: the sync in progress at a voter when
//! the message arrives, the sync that the message itself needs, and the sync in progress at the proposer when the
//! answer arrives. Timeouts begin at [`BASE_ROUND_TIMEOUT`] and double with each failed round, up to
//! [`MAX_ROUND_TIMEOUT`], which is above the six syncs of [`MAX_SYNC_TIME`].

use crate::time::{as_whole_millis, Timestamp};
use std::time::Duration;

/// The longest sync at which rounds are sure to succeed.
const MAX_SYNC_TIME: Duration = Duration::from_millis(3_000);
/// Upper bound of all timeouts and backoffs here, however slow the disks.
const MAX_ROUND_TIMEOUT: Duration = MAX_SYNC_TIME.saturating_mul(7);
/// Timeout of a round if no round failed before it and no delay was measured. A round that takes longer is abandoned,
/// and a new one begins.
const BASE_ROUND_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a round continues after a voter rejected it: the other voters may be a majority, or may be down.
const BASE_REJECTED_GRACE: Duration = Duration::from_millis(150);
/// How long a voter waits for the proposal that it accepted to be chosen before it completes the proposal by a round of
/// its own.
const BASE_REPAIR_DELAY: Duration = Duration::from_millis(300);
/// The bound below which the backoff after a first failed round is drawn.
const BASE_BACKOFF: Duration = Duration::from_millis(60);
/// Delay before unanswered messages are resent; it doubles each time.
const BASE_RESEND_DELAY: Duration = Duration::from_millis(700);
/// Upper bound of the delay before unanswered messages are resent.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(2_000);
/// The weight of a measured delay halves after each such span without another measurement.
const DELAY_HALF_LIFE: Duration = Duration::from_millis(5_000);
/// How many times failed rounds double the timeouts of the next round.
const MAX_DOUBLINGS: u32 = 6;
/// How many times failed rounds double the bound of the backoff. Enough for one proposer on each of a few machines.
/// With a longer backoff, a replica would not get its turn among proposers that receive calls all the time.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// How many times failed rounds double the delay before a voter completes the proposal that it accepted.
const MAX_REPAIR_DOUBLINGS: u32 = 3;

/// Whether timeouts adapt to measured delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adaptation {
    Adaptive,
    /// Only in tests, which show that they detect it: the timeouts suit fast disks, and nothing is resent.
    Fixed,
}

/// The measured delays, and the failures since the last success.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacing {
    /// Estimate of the longest recent duration of a round's phase or of a sync of this replica, in whole milliseconds.
    phase_millis: u64,
    /// When the last duration was measured.
    measured_at: Timestamp,
    /// The number of consecutive failed rounds, up to [`MAX_DOUBLINGS`].
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

    /// Records the measured duration of a phase or a sync. A longer one replaces the estimate, a shorter one reduces it
    /// by up to a quarter.
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

    /// Whether rounds failed since the last success, because other proposers contended or the disks are slow.
    pub fn is_contended(&self) -> bool {
        self.is_adaptive() && self.failures > 0
    }

    /// The time after which a round that begins now is abandoned.
    pub fn round_timeout(&self, now: Timestamp) -> Duration {
        if !self.is_adaptive() {
            return BASE_ROUND_TIMEOUT + Duration::from_millis(300) * self.failures.min(3);
        }
        let timeout = (BASE_ROUND_TIMEOUT + 4 * self.phase(now)) * self.failure_factor();
        timeout.min(MAX_ROUND_TIMEOUT)
    }

    /// How long a round continues after a voter has rejected it.
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

    /// How long a replica that yields to another proposer's round waits for that round.
    pub fn yield_time(&self, now: Timestamp) -> Duration {
        BASE_BACKOFF + 2 * self.phase(now)
    }

    /// The delay before a replica completes the proposal that it accepted and does not know to be chosen.
    pub fn repair_delay(&self, now: Timestamp) -> Duration {
        if !self.is_adaptive() {
            return BASE_REPAIR_DELAY;
        }
        let doublings = self.failures.min(MAX_REPAIR_DOUBLINGS);
        let delay = (BASE_REPAIR_DELAY + 3 * self.phase(now)) * (1 << doublings);
        delay.min(MAX_ROUND_TIMEOUT)
    }

    /// The delay before unanswered messages that were already resent this often are resent once more; `None` if nothing
    /// is resent.
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

    /// The estimated duration of a phase, which decays with the time since the last measurement.
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
