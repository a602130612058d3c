//! Membership: which replicas this one compares with, and which changes of the roster it asks for.

use super::calls::CALL_TIMEOUT;
use super::{Replica, COMPARISON_INTERVAL};
use crate::quorum::majority;
use crate::roster::voters;
use crate::task::{Operation, Task};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// A replica that is no voter is compared with as long as it was heard from within this time.
const PEER_TIMEOUT: Duration = Duration::from_millis(6_000);
/// How long a replica without a vote listens before it asks for one. Nor does it ask for a larger roster while a voter has
/// been unresponsive for longer than this but not yet for [`REPLACEMENT_TIMEOUT`], as that voter may return soon or
/// never.
const JOIN_DELAY: Duration = COMPARISON_INTERVAL.saturating_mul(3);
/// A voter that was unresponsive for this long is replaced by a replica that has no vote. Well below the `sync_time` that an
/// operator waits after the start of a new machine before another disk may be lost.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A voter that was unresponsive for this long is removed without a replacement, as long as the others can bear further
/// losses.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(12_000);
/// A roster is made no smaller than this.
const MIN_VOTERS: usize = 3;

impl Replica {
    /// Whether a replica that was told to leave has nothing left to wait for: a majority of the other voters has a
    /// roster without it on their disks, or the roster is too small to leave.
    pub fn has_left(&self) -> bool {
        let voters = self.voters();
        let has_to_stay = voters.len() <= self.min_voters();
        let is_off_roster = !voters.contains(&self.options.address);
        self.is_leaving && (has_to_stay || is_off_roster) && !self.roster_unconfirmed
    }

    /// The replicas to compare with: all voters, the seeds as long as this replica has no vote, and all others that
    /// were heard from lately.
    pub(super) fn comparison_peers(&self) -> BTreeSet<Ipv4Addr> {
        let mut peers: BTreeSet<Ipv4Addr> = self.voters().into_iter().collect();
        if !self.is_voter() {
            peers.extend(&self.options.seeds);
        }
        let heard_lately = self.peers.iter().filter(|(_, peer)| {
            peer.last_message_at
                .is_some_and(|message_at| self.now < message_at + PEER_TIMEOUT)
        });
        peers.extend(heard_lately.map(|(peer, _)| *peer));
        peers.remove(&self.options.address);
        peers
    }

    /// The process is about to end.
    pub(super) fn on_leave(&mut self) {
        self.is_leaving = true;
        self.request_removal();
    }

    /// Asks for the roster without this replica, unless a change of this roster is on its way already or the roster
    /// would be too small.
    pub(super) fn request_removal(&mut self) {
        let Some(roster) = self.state().roster() else {
            return;
        };
        let (current, version) = (voters(roster), roster.version);
        if current.len() <= self.min_voters()
            || self.all_tasks().any(|task| task.replaces_roster(version))
        {
            return;
        }
        let mut remaining = current.clone();
        remaining.retain(|voter| *voter != self.options.address);
        if remaining.len() < current.len() {
            let operation = Operation::ChangeRoster {
                version,
                voters: remaining,
            };
            // Before the calls, whose callers can go to other replicas.
            self.tasks
                .push_front(Task::new(operation, self.now + CALL_TIMEOUT));
        }
    }

    /// Asks for a vote if this replica has none, or for the removal of a voter that is gone.
    pub(super) fn maintain_roster(&mut self) {
        let Some(roster) = self.state().roster() else {
            return;
        };
        if !self.may_change_roster() {
            return;
        }
        let current = voters(roster);
        let wanted = if current.contains(&self.options.address) {
            Some(self.roster_without_unresponsive_voter(&current))
        } else {
            self.roster_with_this_replica(&current)
        };
        let Some(mut wanted) = wanted else { return };
        wanted.sort_unstable();
        if wanted != current {
            let operation = Operation::ChangeRoster {
                version: roster.version,
                voters: wanted,
            };
            self.tasks
                .push_back(Task::new(operation, self.now + CALL_TIMEOUT));
        }
    }

    fn may_change_roster(&self) -> bool {
        self.disk_unavailable_reason().is_none()
            && self.acceptor.voting
            && !self.is_leaving
            && !self.tasks.iter().any(Task::changes_roster)
            && self.is_up_to_date(self.now)
    }

    /// The roster without the first voter that has been unresponsive for too long, if there is one and the roster stays
    /// large enough.
    fn roster_without_unresponsive_voter(&self, current: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        // Earlier, if the others are too few to bear a further loss: the voter may be gone for good.
        let is_unresponsive =
            |voter: &&Ipv4Addr| self.is_unresponsive(**voter, REPLACEMENT_TIMEOUT);
        let alive = current.len() - current.iter().filter(is_unresponsive).count();
        let has_margin = alive >= majority(current) + self.options.tolerated_failures;
        let timeout = if has_margin || !self.guards().evict_early_without_margin {
            EVICTION_TIMEOUT
        } else {
            REPLACEMENT_TIMEOUT
        };
        let mut wanted = current.to_vec();
        let gone = current
            .iter()
            .position(|voter| self.is_unresponsive(*voter, timeout));
        if let Some(gone) = gone.filter(|_| current.len() > self.min_voters()) {
            wanted.remove(gone);
        }
        wanted
    }

    /// The roster with this replica, in place of unresponsive voters where that leaves it large enough; `None`, as long
    /// as it is too early to tell which voters are.
    fn roster_with_this_replica(&self, current: &[Ipv4Addr]) -> Option<Vec<Ipv4Addr>> {
        let is_listening = self.now < self.started_at + JOIN_DELAY && !self.options.bootstrap;
        if is_listening && self.guards().listen_before_joining {
            return None;
        }
        let mut wanted = current.to_vec();
        wanted.push(self.options.address);
        let minority = current.len() - majority(current);
        let mut removable = minority.min(wanted.len().saturating_sub(self.min_voters()));
        wanted.retain(|voter| {
            let is_removed = removable > 0 && self.is_unresponsive(*voter, REPLACEMENT_TIMEOUT);
            removable -= usize::from(is_removed);
            !is_removed
        });
        let may_return = |voter: &Ipv4Addr| {
            self.is_unresponsive(*voter, JOIN_DELAY)
                && !self.is_unresponsive(*voter, REPLACEMENT_TIMEOUT)
        };
        // In the place of a voter that is gone, it does not wait for others: were they gone too, that place would be
        // missing when the next one is lost.
        let grows = wanted.len() > current.len() || !self.guards().replace_without_delay;
        (!grows || !current.iter().any(may_return)).then_some(wanted)
    }

    /// Whether no message of another replica has arrived for this long. Before its first message, the time counts from
    /// the start of this process.
    fn is_unresponsive(&self, replica: Ipv4Addr, timeout: Duration) -> bool {
        let last_message_at = self
            .peers
            .get(&replica)
            .and_then(|peer| peer.last_message_at)
            .unwrap_or_default();
        let since = last_message_at.max(self.started_at);
        replica != self.options.address && self.now >= since + timeout
    }

    /// A roster is made no smaller than this: of fewer voters, no majority would be left after the tolerated failures.
    fn min_voters(&self) -> usize {
        MIN_VOTERS.max(2 * self.options.tolerated_failures + 1)
    }
}
