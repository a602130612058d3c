//! How long rounds may take, and how long a store waits before it begins another: both follow the times measured.
//!
//! A round is two phases, and each phase waits for up to three syncs one after the other: the one that a voter is
//! at when the message comes, the one that the message itself needs, and the one that the proposer is at when the
//! answer comes. Timeouts begin at [`ROUND`] and double with each round that failed, up to [`LONGEST_ROUND`], which
//! is above the six syncs of [`LONGEST_SYNC`].

/// The longest sync at which rounds are sure to come to their end, in milliseconds.
pub(super) const LONGEST_SYNC: u64 = 3_000;
/// A round that isn't done by then gives way to a new one, however slow the disks.
pub(super) const LONGEST_ROUND: u64 = 7 * LONGEST_SYNC;
/// A first round that isn't done by then gives way to a new one, if no phase was measured to be slow.
const ROUND: u64 = 700;
/// A round that one voter refused gives way after so long: the others may be a majority, or may be gone.
const REFUSED: u64 = 150;
/// What is accepted and not chosen after so long is finished by whoever holds it.
const OPEN: u64 = 300;
/// The first pause after a round that failed is drawn below this.
const PAUSE: u64 = 60;
/// Messages that were not answered go out again after so long, and then after twice as long each time.
const RESEND: u64 = 700;
/// But at least so often.
const LONGEST_RESEND: u64 = 2_000;
/// After so long without another measurement, one counts half as much.
const HALF_LIFE: u64 = 5_000;
/// A failed round doubles the next one's times; so often at most.
const MOST_DOUBLINGS: u32 = 6;

/// The measured times, and the failures since the last success.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacing {
    /// About the longest that a phase of a round, or a sync of this store, took lately.
    phase: u64,
    /// When that was measured last.
    measured_at: u64,
    /// Rounds that failed in a row.
    failed: u32,
    /// False in the wrong build, whose times are those of quick disks.
    follows: bool,
}

impl Pacing {
    pub fn new(follows: bool) -> Pacing {
        Pacing {
            phase: 0,
            measured_at: 0,
            failed: 0,
            follows,
        }
    }

    /// A phase or a sync took so long.
    pub fn observe(&mut self, now: u64, took: u64) {
        let phase = self.phase(now);
        self.phase = took.min(LONGEST_ROUND).max(phase - phase.div_ceil(4));
        self.measured_at = now;
    }

    /// What was measured, which says less the longer that is ago.
    fn phase(&self, now: u64) -> u64 {
        let halves = now.saturating_sub(self.measured_at) / HALF_LIFE;
        self.phase.checked_shr(halves.min(64) as u32).unwrap_or(0)
    }

    pub fn failed(&mut self) {
        self.failed = (self.failed + 1).min(MOST_DOUBLINGS);
    }

    pub fn succeeded(&mut self) {
        self.failed = 0;
    }

    /// Whether other proposers got in the way lately, or the disks are slow.
    pub fn contended(&self) -> bool {
        self.follows && self.failed > 0
    }

    /// When a round that begins now gives way.
    pub fn round_timeout(&self, now: u64) -> u64 {
        match self.follows {
            true => ((ROUND + 4 * self.phase(now)) << self.failed).min(LONGEST_ROUND),
            false => ROUND + 300 * u64::from(self.failed.min(3)),
        }
    }

    /// How long a round goes on that a voter has refused.
    pub fn refused_grace(&self, now: u64) -> u64 {
        match self.follows {
            true => ((REFUSED + self.phase(now)) << self.failed).min(LONGEST_ROUND),
            false => REFUSED,
        }
    }

    /// Below which the pause after a failed round is drawn.
    pub fn pause_bound(&self, now: u64) -> u64 {
        match self.follows {
            true => (((PAUSE + self.phase(now)) << self.failed) / 2).min(LONGEST_ROUND),
            false => (PAUSE / 2) << self.failed.min(4),
        }
    }

    /// How long a store that failed leaves the field to a round of another that it has just heard of.
    pub fn yield_time(&self, now: u64) -> u64 {
        PAUSE + 2 * self.phase(now)
    }

    /// After how long a store finishes what it accepted and doesn't know to be chosen.
    pub fn open_delay(&self, now: u64) -> u64 {
        match self.follows {
            true => ((OPEN + 3 * self.phase(now)) << self.failed.min(3)).min(LONGEST_ROUND),
            false => OPEN,
        }
    }

    /// After how long unanswered messages go out again, having done so this often.
    pub fn resend_delay(&self, times: u32) -> u64 {
        (RESEND << times.min(MOST_DOUBLINGS)).min(LONGEST_RESEND)
    }

    /// Whether unanswered messages go out again.
    pub fn resends(&self) -> bool {
        self.follows
    }
}
