//! The owner of a work: its claimant, or the member that took it over. Asks the acceptors before each attempt, and
//! notifies them of the outcome.

use super::{is_majority, Acceptor, Failover};
use crate::event::Action;
use crate::message::Message;
use crate::time::Timestamp;
use crate::work::{Ballot, FirstAttempt, Member, ServerGroup, Work, WorkId};
use std::collections::BTreeSet;

/// A work that this limiter runs.
#[derive(Clone, Debug)]
pub(super) struct OwnedWork {
    pub(super) ballot: Ballot,
    pub(super) acceptors: Vec<Acceptor>,
    /// When the first attempt was about to be sent. The deduplication window counts from here, also for later attempts.
    pub(super) first_attempt_at: Option<Timestamp>,
    /// An acceptor has promised a higher ballot: no further attempt is sent.
    pub(super) fenced: bool,
    /// The attempt that waits for its acceptors.
    pub(super) pending: Option<PendingAttempt>,
}

/// An attempt that waits for a majority of acceptors.
#[derive(Clone, Debug)]
pub(super) struct PendingAttempt {
    attempt: u32,
    accepted: BTreeSet<Member>,
    rejected: BTreeSet<Member>,
    deadline: Timestamp,
}

/// A completed work whose outcome a majority has not acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct PendingCompletion {
    acceptor_count: usize,
    acknowledged: BTreeSet<Member>,
    deadline: Timestamp,
}

impl OwnedWork {
    pub(super) fn new(
        ballot: Ballot,
        acceptors: Vec<Acceptor>,
        first_attempt_at: Option<Timestamp>,
    ) -> OwnedWork {
        OwnedWork {
            ballot,
            acceptors,
            first_attempt_at,
            fenced: false,
            pending: None,
        }
    }

    /// Whether the pending attempt still lacks the answer of this member.
    fn awaits(&self, member: Member) -> bool {
        let is_acceptor = self.acceptors.iter().any(|one| one.member == member);
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| is_acceptor && !pending.accepted.contains(&member))
    }
}

impl Failover {
    pub(super) fn on_work_started(&mut self, work_id: WorkId, acceptors: Vec<Member>) {
        let ballot = Ballot {
            round: 0,
            proposer: self.config.member,
        };
        let acceptors = self.acceptors_of(acceptors);
        let owned = OwnedWork::new(ballot, acceptors, None);
        self.owned.insert(work_id, owned);
    }

    /// Asks the acceptors to accept an attempt. Those that cannot be asked count as having rejected it.
    pub(super) fn on_attempt_requested(
        &mut self,
        work_id: WorkId,
        attempt: u32,
        group: ServerGroup,
        work: Work,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let deadline = now + self.config.reply_timeout;
        let Some(owned) = self.owned.get_mut(&work_id).filter(|owned| !owned.fenced) else {
            return actions.push(Action::DenyAttempt { work_id, attempt });
        };
        // The host changes the group only if no earlier attempt can have run, or if all groups drop duplicates. The
        // window counts from the first attempt in either case.
        let first_at = *owned.first_attempt_at.get_or_insert(now);
        owned.pending = Some(PendingAttempt {
            attempt,
            accepted: BTreeSet::new(),
            rejected: BTreeSet::new(),
            deadline,
        });
        let ballot = owned.ballot;
        let first_attempt = FirstAttempt {
            group,
            age_ms: now.millis_since(first_at),
        };
        for Acceptor {
            member,
            incarnation,
        } in owned.acceptors.clone()
        {
            let reachable = member == self.config.member || !self.unreachable.contains(&member);
            let Some(acceptor_incarnation) = incarnation.filter(|_| reachable) else {
                self.on_attempt_rejected(work_id, ballot, member, None, actions);
                continue;
            };
            let message = Message::Accept {
                work_id,
                ballot,
                acceptor_incarnation,
                first_attempt,
                work: work.clone(),
            };
            self.send(member, message, actions);
        }
    }

    /// Counts an acceptance. One that comes at the deadline or later, or for another ballot, has no effect: acceptors
    /// may have promised the work to a candidate meanwhile.
    pub(super) fn on_accepted(
        &mut self,
        work_id: WorkId,
        ballot: Ballot,
        from: Member,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let is_current = |owned: &&mut OwnedWork| owned.ballot == ballot && !owned.fenced;
        let Some(owned) = self.owned.get_mut(&work_id).filter(is_current) else {
            return;
        };
        let in_time = |pending: &&mut PendingAttempt| now < pending.deadline;
        let Some(pending) = owned.pending.as_mut().filter(in_time) else {
            return;
        };
        pending.accepted.insert(from);
        if is_majority(pending.accepted.len(), owned.acceptors.len()) {
            let attempt = pending.attempt;
            owned.pending = None;
            actions.push(Action::AllowAttempt { work_id, attempt });
        }
    }

    /// Counts a rejection, and denies the attempt once no majority can accept it. A higher promised ballot fences the
    /// work.
    pub(super) fn on_attempt_rejected(
        &mut self,
        work_id: WorkId,
        ballot: Ballot,
        from: Member,
        promised: Option<Ballot>,
        actions: &mut Vec<Action>,
    ) {
        let is_current = |owned: &&mut OwnedWork| owned.ballot == ballot;
        let Some(owned) = self.owned.get_mut(&work_id).filter(is_current) else {
            return;
        };
        owned.fenced |= promised.is_some_and(|promised| promised > ballot);
        let Some(pending) = owned.pending.as_mut() else {
            return;
        };
        pending.rejected.insert(from);
        let total = owned.acceptors.len();
        if owned.fenced || !is_majority(total - pending.rejected.len(), total) {
            let attempt = pending.attempt;
            owned.pending = None;
            actions.push(Action::DenyAttempt { work_id, attempt });
        }
    }

    /// An unreachable acceptor answers nothing: pending attempts count it as having rejected.
    pub(super) fn reject_for_unreachable(&mut self, member: Member, actions: &mut Vec<Action>) {
        let waiting: Vec<(WorkId, Ballot)> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.awaits(member))
            .map(|(work_id, owned)| (*work_id, owned.ballot))
            .collect();
        for (work_id, ballot) in waiting {
            self.on_attempt_rejected(work_id, ballot, member, None, actions);
        }
    }

    /// Ends the ownership of a work, and notifies its acceptors of how it ended. A fenced owner sends nothing.
    pub(super) fn finish_owned(
        &mut self,
        work_id: WorkId,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let owned = self.owned.remove(&work_id);
        let Some(owned) = owned.filter(|owned| !owned.fenced) else {
            return actions.push(Action::AllowResponse(work_id));
        };
        let completion = PendingCompletion {
            acceptor_count: owned.acceptors.len(),
            acknowledged: BTreeSet::new(),
            deadline: self.now + self.config.completion_timeout,
        };
        self.completing.insert(work_id, completion);
        for acceptor in owned.acceptors {
            self.send(acceptor.member, message.clone(), actions);
        }
    }

    pub(super) fn on_completion_acknowledged(
        &mut self,
        work_id: WorkId,
        from: Member,
        actions: &mut Vec<Action>,
    ) {
        let Some(completion) = self.completing.get_mut(&work_id) else {
            return;
        };
        completion.acknowledged.insert(from);
        if is_majority(completion.acknowledged.len(), completion.acceptor_count) {
            self.completing.remove(&work_id);
            actions.push(Action::AllowResponse(work_id));
        }
    }

    pub(super) fn deny_overdue_attempts(&mut self, actions: &mut Vec<Action>) {
        for (work_id, owned) in &mut self.owned {
            let is_overdue = |pending: &mut PendingAttempt| pending.deadline <= self.now;
            if let Some(pending) = owned.pending.take_if(is_overdue) {
                actions.push(Action::DenyAttempt {
                    work_id: *work_id,
                    attempt: pending.attempt,
                });
            }
        }
    }

    pub(super) fn expire_completions(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.completing.retain(|work_id, completion| {
            let overdue = completion.deadline <= now;
            if overdue {
                actions.push(Action::AllowResponse(*work_id));
            }
            !overdue
        });
    }
}
