//! Checks of contact with a majority while calls wait: a call at a replica that was just partitioned is rejected long
//! before its deadline, so that its caller can go on to another replica.
//!
//! Votes do not show a partition in time, as they wait for disks. Comparisons do, as any running replica answers them
//! at once. So a call begins a comparison, unless one was begun shortly before, and is rejected if no majority answers
//! it. If a call still waits when its check has passed, another check begins, as the partition may have begun after the
//! comparison.

use super::{Action, Replica};
use crate::error::CallError;
use crate::message::ComparisonId;
use crate::quorum::majority;
use crate::time::Timestamp;
use std::time::Duration;

/// How long a majority may take to answer a comparison, in addition to twice the measured time of a round's phase. A
/// call at a partitioned replica is rejected after this time.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(200);
/// A comparison that was begun at most this long before a call also serves as the call's check. This keeps frequent
/// calls from restarting comparisons before they are answered.
const COMPARISON_REUSE: Duration = Duration::from_millis(50);
/// If a deadline is noticed later than this, this process was paused, and answers may be waiting unread.
const PAUSE_TOLERANCE: Duration = Duration::from_millis(50);

/// A check that a majority can be reached for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ContactCheck {
    /// The comparison that a majority has to answer; an answer to a later one counts as well.
    comparison_id: ComparisonId,
    /// When the call is rejected, unless a majority has answered by then.
    pub deadline: Timestamp,
}

impl Replica {
    /// Begins the check for a call that has just arrived. Returns `None` before a roster is known, as calls then wait
    /// for the bootstrap.
    pub(super) fn begin_contact_check(
        &mut self,
        actions: &mut Vec<Action>,
    ) -> Option<ContactCheck> {
        if !self.guards().contact_check || self.state().roster().is_none() {
            return None;
        }
        if self.now > self.comparison_begun_at + COMPARISON_REUSE {
            self.compare_with_peers(actions);
        }
        Some(ContactCheck {
            comparison_id: self.last_comparison,
            deadline: self.now + CONTACT_TIMEOUT + 2 * self.pacing.phase(self.now),
        })
    }

    /// Finishes the checks of waiting calls whose deadlines have been reached. Checks that have passed are renewed, and
    /// all are renewed if this process was paused. Calls whose checks failed are rejected.
    pub(super) fn finish_contact_checks(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_due = |check: &ContactCheck| now >= check.deadline;
        let due: Vec<ContactCheck> = self.contact_checks().filter(is_due).collect();
        if due.is_empty() {
            return;
        }
        let was_paused = due
            .iter()
            .any(|check| now > check.deadline + PAUSE_TOLERANCE);
        let (passed, failed): (Vec<_>, Vec<_>) = due
            .into_iter()
            .partition(|check| was_paused || self.has_contact(*check));
        let renewed = (!passed.is_empty())
            .then(|| self.begin_contact_check(actions))
            .flatten();
        for check in passed {
            self.replace_contact_check(check, renewed);
        }
        for check in failed {
            self.reject_tasks(CallError::NoContact, actions, |task| {
                task.contact_check == Some(check)
            });
        }
    }

    fn replace_contact_check(&mut self, check: ContactCheck, next: Option<ContactCheck>) {
        let outcomes = self.round.iter_mut().flat_map(|round| &mut round.outcomes);
        let in_round = outcomes.map(|outcome| &mut outcome.task);
        for task in self.tasks.iter_mut().chain(in_round) {
            if task.contact_check == Some(check) {
                task.contact_check = next;
            }
        }
    }

    /// The checks of all waiting calls.
    pub(super) fn contact_checks(&self) -> impl Iterator<Item = ContactCheck> + '_ {
        self.all_tasks().filter_map(|task| task.contact_check)
    }

    /// Whether a majority of the voters has answered the check's comparison, or a later one.
    fn has_contact(&self, check: ContactCheck) -> bool {
        let voters = self.voters();
        let answered = voters.iter().filter(|voter| {
            **voter == self.options.address
                || self
                    .peers
                    .get(voter)
                    .is_some_and(|peer| peer.answered_comparison >= check.comparison_id)
        });
        answered.count() >= majority(&voters)
    }
}
