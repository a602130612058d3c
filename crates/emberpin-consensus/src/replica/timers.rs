//! Timers: when the next one is due, and the handling of those that are due.

use super::{Action, Replica, COMPARISON_INTERVAL};
use crate::round::Round;
use crate::time::Timestamp;

impl Replica {
    /// When [`Event::Tick`](crate::Event::Tick) is due, unless another event comes earlier.
    pub fn next_tick_at(&self) -> Timestamp {
        let deadlines = self.all_tasks().map(|task| task.deadline);
        let contact_deadlines = self.contact_checks().map(|check| check.deadline);
        let round = self
            .round
            .iter()
            .flat_map(|round| round.resend_at.into_iter().chain([round.deadline]));
        deadlines
            .chain(contact_deadlines)
            .chain(round)
            .chain(self.next_round_due_at())
            .chain(self.next_bootstrap_query_at())
            .chain(self.next_candidacy_query_at())
            .chain(self.next_announcement_at())
            .chain(self.coordination.next_watch_deadline())
            .fold(self.next_comparison_at, Timestamp::min)
    }

    /// When the next round begins; `None` if one is in progress, or there is no reason for one, or none can begin.
    fn next_round_due_at(&self) -> Option<Timestamp> {
        let may_begin = self.round.is_none()
            && self.state().roster().is_some()
            && self.disk_unavailable_reason().is_none();
        if !may_begin {
            return None;
        }
        let earliest = self.earliest_round_at();
        if self.has_round_work() || !self.acceptor.voting {
            return Some(earliest);
        }
        self.repair_at
            .filter(|_| self.is_voter())
            .map(|at| at.max(earliest))
    }

    /// Whether there is a reason for a round other than catching up, or completing a proposal that this replica
    /// accepted.
    pub(super) fn has_round_work(&self) -> bool {
        !self.tasks.is_empty() || self.next_roster.is_some() || self.roster_unconfirmed
    }

    /// The earliest time at which a round may begin.
    pub(super) fn earliest_round_at(&self) -> Timestamp {
        self.next_round_at
            .max(self.yields_until.unwrap_or_default())
    }

    /// Runs all timers that are due.
    pub(super) fn handle_timers(&mut self, actions: &mut Vec<Action>) {
        let is_expired = |round: &Round| self.now >= round.deadline;
        if self.round.as_ref().is_some_and(is_expired) {
            self.fail_round();
        }
        self.expire_tasks(actions);
        self.finish_contact_checks(actions);
        self.expire_watches(actions);
        if self.now >= self.next_comparison_at {
            self.next_comparison_at = self.now + COMPARISON_INTERVAL;
            self.compare_with_peers(actions);
            self.maintain_roster();
        }
        self.drive_bootstrap(actions);
        self.drive_late_candidacy(actions);
        if self.is_leaving {
            // Requested again, as another change of the roster may have been chosen first.
            self.request_removal();
        }
        if self.round.is_none() && self.now >= self.earliest_round_at() {
            self.begin_round(actions);
        }
        self.announce_if_due(actions);
        self.resend(actions);
    }
}
