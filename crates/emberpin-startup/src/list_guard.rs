//! Which endpoint lists are accepted: static stability against an outage of the discovery service.
//!
//! A discovery service that has just restarted, or lost its data, may send a list without servers, with far fewer than
//! before, or with a revision older than one already seen; following it would turn its outage into one of all servers.
//! What such a list adds or drains is applied; servers that it leaves out are retained until the doubt has lasted for
//! [`GuardConfig::max_doubt`], or until the operator overrides it.

use std::time::Duration;

/// The mean delay until a full list is requested again while the last one is doubted. Actual delays are spread by half
/// of it either way, so that the limiters of a group do not ask together.
const REFETCH_DELAY: Duration = Duration::from_secs(5);

/// How far a list may deviate from the current one before it is doubted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardConfig {
    /// A full list with fewer servers than this share of the current ones, from 0 to 1, is doubted. 0 accepts any
    /// list; 1 doubts every list that is shorter.
    pub min_retained_share: f64,
    /// How long a list may be doubted. After that the next full list is accepted, whatever it names; until then
    /// servers that it leaves out are still sent requests.
    pub max_doubt: Duration,
}

/// What the guard compares of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSummary {
    /// Which discovery service the list comes from, counted up each time the limiter is pointed to another one.
    /// Revisions of different services are not comparable.
    pub service_generation: u32,
    /// The discovery service's revision of the list.
    pub revision: u64,
    /// How many servers it names that are not marked as gone.
    pub servers: usize,
}

/// How much of the state a received list describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All servers: one that is left out is gone.
    Full,
    /// Changes alone: a server that is left out stays as it is.
    Delta,
}

/// What the host does with a received list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Apply it as it is.
    Accept,
    /// Apply it as it is although it was doubted: the operator overrode the doubt, or it lasted for too long.
    AcceptDespiteDoubt,
    /// Apply what it names, and retain the servers that it leaves out.
    Merge,
    /// Discard it: its revision is older than the current one.
    Reject,
}

/// Decides which lists one limiter accepts, and for how long it has been doubting them.
#[derive(Clone, Debug)]
pub struct ListGuard {
    config: GuardConfig,
    /// Since when, in time since the start, lists have been doubted without an accepted full list in between.
    doubted_since: Option<Duration>,
    /// The operator has overridden the doubt: the next full list is accepted.
    overridden: bool,
}

impl ListGuard {
    /// A guard that doubts nothing yet.
    pub fn new(config: GuardConfig) -> ListGuard {
        ListGuard {
            config,
            doubted_since: None,
            overridden: false,
        }
    }

    /// Judges a list received at `now`, in time since the start, against the current one.
    pub fn evaluate(
        &mut self,
        now: Duration,
        current: ListSummary,
        received: ListSummary,
        scope: ListScope,
    ) -> Verdict {
        let full = scope == ListScope::Full;
        let outdated = received.service_generation == current.service_generation
            && received.revision < current.revision;
        let short = full
            && (received.servers as f64) < self.config.min_retained_share * current.servers as f64;
        if !outdated && !short {
            if full {
                self.on_full_list_accepted();
            }
            return Verdict::Accept;
        }
        let since = *self.doubted_since.get_or_insert(now);
        let expired = now.saturating_sub(since) >= self.config.max_doubt;
        if full && (self.overridden || expired) {
            self.on_full_list_accepted();
            return Verdict::AcceptDespiteDoubt;
        }
        if outdated {
            Verdict::Reject
        } else {
            Verdict::Merge
        }
    }

    /// A full list was accepted, here or by a peer whose doubt has ended: no list is doubted any more.
    pub fn on_full_list_accepted(&mut self) {
        self.doubted_since = None;
        self.overridden = false;
    }

    /// Whether a list was doubted and no full list has been accepted since.
    pub fn is_doubting(&self) -> bool {
        self.doubted_since.is_some()
    }

    /// The operator's override: if a list is doubted, the next full one is accepted whatever it names. Returns whether
    /// there was a doubt to override.
    pub fn override_doubt(&mut self) -> bool {
        self.overridden = self.is_doubting();
        self.overridden
    }

    /// The delay until the full list is to be requested again, or `None` while nothing is doubted; `random` lies in
    /// [0, 1).
    pub fn refetch_delay(&self, random: f64) -> Option<Duration> {
        self.doubted_since
            .map(|_| REFETCH_DELAY.mul_f64(0.5 + random.clamp(0.0, 1.0)))
    }
}
