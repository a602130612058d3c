//! Membership: the replicas with which this one compares its state, and the changes of the roster that it requests.

use super::calls::CALL_TIMEOUT;
use super::{Replica, COMPARISON_INTERVAL};
use crate::quorum::majority;
use crate::roster::voters;
use crate::task::{Operation, Task};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// A replica that is not a voter takes part in comparisons as long as a message of it arrived within this time.
const PEER_TIMEOUT: Duration = Duration::from_millis(6_000);
/// How long a replica that is not on the roster waits after its start before it asks to join. It also does not ask for
/// a larger roster while a voter has been unresponsive for longer than this but not yet for [`REPLACEMENT_TIMEOUT`]: it
/// is not known yet whether that voter will return.
const JOIN_DELAY: Duration = COMPARISON_INTERVAL.saturating_mul(3);
/// A voter that has been unresponsive for this long is replaced by a replica that is not on the roster. Well below the
/// `sync_time` that an operator waits after the start of a new machine before another disk may be lost.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A voter that has been unresponsive for this long is removed without a replacement, if the other voters can tolerate
/// further losses.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(12_000);
/// Minimum size of a roster, whatever the number of tolerated failures.
const MIN_VOTERS: usize = 3;

impl Replica {
    /// Whether a replica that is leaving the roster has nothing left to wait for: a majority of the other voters have a
    /// roster without it on their disks, or the roster is too small to leave.
    pub fn has_left(&self) -> bool {
        let voters = self.voters();
        let is_roster_minimal = voters.len() <= self.min_voters();
        let is_off_roster = !voters.contains(&self.options.address);
        self.is_leaving && (is_roster_minimal || is_off_roster) && !self.roster_unconfirmed
    }

    /// The replicas to compare with: all voters, the seeds while this replica is not a voter, and all other replicas of
    /// which a message arrived recently.
    pub(super) fn comparison_peers(&self) -> BTreeSet<Ipv4Addr> {
        let mut peers: BTreeSet<Ipv4Addr> = self.voters().into_iter().collect();
        if !self.is_voter() {
            peers.extend(&self.options.seeds);
        }
        let recently_active = self.peers.iter().filter(|(_, peer)| {
            peer.last_message_at
                .is_some_and(|message_at| self.now < message_at + PEER_TIMEOUT)
        });
        peers.extend(recently_active.map(|(peer, _)| *peer));
        peers.remove(&self.options.address);
        peers
    }

    /// The process shuts down: begins to leave the roster.
    pub(super) fn on_leave(&mut self) {
        self.is_leaving = true;
        self.request_removal();
    }

    /// Requests a roster without this replica, unless a change of the current roster is already requested or the roster
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
            // Queued before the calls, whose callers can retry at other replicas.
            self.tasks
                .push_front(Task::new(operation, self.now + CALL_TIMEOUT));
        }
    }

    /// Requests to join the roster if this replica is not on it; otherwise, requests the removal of an unresponsive
    /// voter.
    pub(super) fn maintain_roster(&mut self) {
        let Some(roster) = self.state().roster() else {
            return;
        };
        if !self.may_change_roster() {
            return;
        }
        let current = voters(roster);
        let target = if current.contains(&self.options.address) {
            Some(self.roster_without_unresponsive_voter(&current))
        } else {
            self.roster_with_this_replica(&current)
        };
        let Some(mut target) = target else { return };
        target.sort_unstable();
        if target != current {
            let operation = Operation::ChangeRoster {
                version: roster.version,
                voters: target,
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

    /// The roster without the first voter that has been unresponsive for too long; unchanged if there is none or the
    /// roster would be too small.
    fn roster_without_unresponsive_voter(&self, current: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        // The voter may be gone for good, so it is removed earlier if the others are too few to tolerate a further
        // loss.
        let is_unresponsive =
            |voter: &&Ipv4Addr| self.is_unresponsive(**voter, REPLACEMENT_TIMEOUT);
        let responsive = current.len() - current.iter().filter(is_unresponsive).count();
        let has_margin = responsive >= majority(current) + self.options.tolerated_failures;
        let timeout = if has_margin || !self.guards().evict_early_without_margin {
            EVICTION_TIMEOUT
        } else {
            REPLACEMENT_TIMEOUT
        };
        let mut target = current.to_vec();
        let unresponsive = current
            .iter()
            .position(|voter| self.is_unresponsive(*voter, timeout));
        if let Some(unresponsive) = unresponsive.filter(|_| current.len() > self.min_voters()) {
            target.remove(unresponsive);
        }
        target
    }

    /// The roster with this replica, in place of unresponsive voters as long as the roster stays large enough; `None`
    /// while it is too early to tell which voters are unresponsive.
    fn roster_with_this_replica(&self, current: &[Ipv4Addr]) -> Option<Vec<Ipv4Addr>> {
        let is_too_early = self.now < self.started_at + JOIN_DELAY && !self.options.bootstrap;
        if is_too_early && self.guards().listen_before_joining {
            return None;
        }
        let mut target = current.to_vec();
        target.push(self.options.address);
        let minority = current.len() - majority(current);
        let mut removable = minority.min(target.len().saturating_sub(self.min_voters()));
        target.retain(|voter| {
            let is_removed = removable > 0 && self.is_unresponsive(*voter, REPLACEMENT_TIMEOUT);
            removable -= usize::from(is_removed);
            !is_removed
        });
        let may_return = |voter: &Ipv4Addr| {
            self.is_unresponsive(*voter, JOIN_DELAY)
                && !self.is_unresponsive(*voter, REPLACEMENT_TIMEOUT)
        };
        // If it replaces an unresponsive voter, this replica does not wait for others to return: if they are gone, too,
        // the replacement would be missing when the next voter is lost.
        let grows = target.len() > current.len() || !self.guards().replace_without_delay;
        (!grows || !current.iter().any(may_return)).then_some(target)
    }

    /// Whether no message of another replica has arrived for this long. Until its first message, the time counts from
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

    /// The minimum size of a roster: with fewer voters, no majority would be left after the tolerated failures.
    fn min_voters(&self) -> usize {
        MIN_VOTERS.max(2 * self.options.tolerated_failures + 1)
    }
}
