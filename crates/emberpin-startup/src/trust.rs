//! Which lists are believed: static stability. A list service that has just come back, or lost its own data, may name no
//! servers, far fewer than before, or a version older than one already heard; following it would empty the fleet.
//!
//! What such a list adds or drains is obeyed; what it leaves out stays, for a stated time at most, or until the operator
//! has the service believed. Guards against an outage of the list turning into one of the servers.

use std::time::Duration;

/// While a list is doubted the whole list is asked for again after so long, give or take half.
const AGAIN: Duration = Duration::from_secs(5);

/// How far lists are believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A whole list that names less than this share of the servers held is doubted.
    pub keep_share: f64,
    /// For so long at most.
    pub keep: Duration,
}

/// A list: what is held, or what was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct List {
    /// Which list service this is from; versions of two have nothing to do with each other.
    pub place: u32,
    /// Its version.
    pub rev: u64,
    /// How many servers it names that are not gone.
    pub servers: usize,
}

/// What becomes of what was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds.
    Take,
    /// It holds after a doubt, by the operator's word or because its time was over.
    Believe,
    /// What it names holds; what it leaves out stays.
    Keep,
    /// It is older than what is held, which stays as it is.
    Ignore,
}

/// The doubts of one limiter's life.
#[derive(Clone, Debug)]
pub struct Trust {
    limits: Limits,
    /// Since when, in time since the start, what was told is doubted without a break.
    doubted: Option<Duration>,
    /// The operator has said that the next whole list holds.
    believed: bool,
}

impl Trust {
    /// Doubts nothing yet.
    pub fn new(limits: Limits) -> Trust {
        Trust {
            limits,
            doubted: None,
            believed: false,
        }
    }

    /// A whole list was told, or changes (`whole` is false), at a time since the start.
    pub fn judge(&mut self, now: Duration, held: List, told: List, whole: bool) -> Verdict {
        let older = told.place == held.place && told.rev < held.rev;
        let short = whole && (told.servers as f64) < self.limits.keep_share * held.servers as f64;
        if !older && !short {
            if whole {
                self.take();
            }
            return Verdict::Take;
        }
        let since = *self.doubted.get_or_insert(now);
        if whole && (self.believed || now.saturating_sub(since) >= self.limits.keep) {
            self.take();
            return Verdict::Believe;
        }
        match older {
            true => Verdict::Ignore,
            false => Verdict::Keep,
        }
    }

    /// A whole list is taken; others may have doubted it and believe it now.
    pub fn take(&mut self) {
        (self.doubted, self.believed) = (None, false);
    }

    /// Whether what was told last is doubted.
    pub fn doubts(&self) -> bool {
        self.doubted.is_some()
    }

    /// The operator's word: while what was told is doubted, the next whole list holds, whatever it names. Whether it is.
    pub fn believe(&mut self) -> bool {
        self.believed = self.doubted.is_some();
        self.believed
    }

    /// When the whole list is to be asked for again, from now, if what was told is doubted; `draw` lies in [0, 1).
    pub fn again(&self, draw: f64) -> Option<Duration> {
        self.doubted
            .map(|_| AGAIN.mul_f64(0.5 + draw.clamp(0.0, 1.0)))
    }
}
