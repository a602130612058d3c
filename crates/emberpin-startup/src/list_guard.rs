//! Decides which endpoint lists are accepted, so that an outage of the discovery service leaves the known servers in
//! use (static stability).
//!
//! A discovery service that has just restarted, or lost its data, may send a list without servers, with far fewer than
//! before, or with a revision older than one already received. Applying it would turn the outage of the discovery
//! service into an outage of all servers. Such a list is doubted: servers that it adds or drains are added or drained,
//! but servers that it leaves out are retained until lists have been doubted for [`GuardConfig::max_doubt`], or until
//! the operator overrides the doubt.

use std::time::Duration;

/// The mean delay until a full list is requested again while the last one is doubted. Actual delays vary by up to
/// half of it either way, so that the limiters of a group do not send their requests at the same moment.
const REFETCH_DELAY: Duration = Duration::from_secs(5);

/// How far a list may deviate from the current one before it is doubted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardConfig {
    /// A full list with fewer servers than this share of the current ones, from 0 to 1, is doubted. 0 accepts any
    /// list; 1 doubts every list that is shorter.
    pub min_retained_share: f64,
    /// How long lists may be doubted. After this time the next full list is accepted, whatever servers it names; until
    /// then, servers that a doubted list leaves out are still sent requests.
    pub max_doubt: Duration,
}

/// The properties of a list that the guard compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSummary {
    /// Which discovery service the list comes from: a counter incremented each time the limiter is configured with
    /// another discovery service. Revisions of different discovery services are not comparable.
    pub service_generation: u32,
    /// The discovery service's revision of the list.
    pub revision: u64,
    /// The number of servers that the list names and does not mark as gone.
    pub servers: usize,
}

/// How much of the state a received list describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All servers: a server that is left out is gone.
    Full,
    /// Only changes: a server that is left out stays as it is.
    Delta,
}

/// The decision about a received list, carried out by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Apply it as it is.
    Accept,
    /// Apply it as it is although it is doubted: the operator overrode the doubt, or lists were doubted for longer than
    /// [`GuardConfig::max_doubt`].
    AcceptDespiteDoubt,
    /// Apply the entries of the servers that it names, and retain the servers that it leaves out.
    Merge,
    /// Discard it: its revision is older than that of the current list.
    Reject,
}

/// Decides which lists one limiter accepts, and records since when it has been doubting them.
#[derive(Clone, Debug)]
pub struct ListGuard {
    config: GuardConfig,
    /// When the current doubt began, in time since the start; `None` while no list is doubted.
    doubted_since: Option<Duration>,
    /// Whether the operator has overridden the doubt, so that the next full list is accepted.
    overridden: bool,
}

impl ListGuard {
    /// A guard that does not doubt any list yet.
    pub fn new(config: GuardConfig) -> ListGuard {
        ListGuard {
            config,
            doubted_since: None,
            overridden: false,
        }
    }

    /// Decides about a list received at `now`, in time since the start, by comparison with the current one.
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

    /// Ends the doubt: a full list was accepted, by this limiter or by a peer whose doubt has ended.
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

    /// The delay until the full list is to be requested again, or `None` while no list is doubted. `random` is a random
    /// number in [0, 1).
    pub fn refetch_delay(&self, random: f64) -> Option<Duration> {
        self.doubted_since
            .map(|_| REFETCH_DELAY.mul_f64(0.5 + random.clamp(0.0, 1.0)))
    }
}
