//! The candidate for a takeover: a member that granted the key of a work whose owner is lost. Prepares a higher ballot,
//! and decides with a majority of promises whether the work may be sent again.

use super::owner::OwnedWork;
use super::{is_majority, Acceptor, Failover};
use crate::event::Action;
use crate::message::{AcceptedAttempt, Message};
use crate::time::{as_millis, Timestamp};
use crate::work::{Ballot, Member, Verdict, Work, WorkId};
use emberpin_peering::Incarnation;
use std::collections::BTreeMap;

/// Share of a server group's deduplication window that is left unused, as an attempt takes time to reach its server.
const WINDOW_SAFETY_MARGIN: f64 = 0.1;

/// A work whose key this limiter has granted.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    acceptors: Vec<Acceptor>,
    expires_at: Timestamp,
    /// When this limiter becomes a candidate. Set while the owner is lost.
    takeover_at: Option<Timestamp>,
    /// A member other than the claimant that runs the work, or is a candidate. While it is set, only the loss of that
    /// member leads to a takeover.
    successor: Option<Member>,
    /// The highest round seen for this work.
    round: u32,
    prepare: Option<PendingPrepare>,
}

/// A ballot that waits for a majority of promises.
#[derive(Clone, Debug)]
struct PendingPrepare {
    ballot: Ballot,
    promises: BTreeMap<Member, Option<AcceptedAttempt>>,
    deadline: Timestamp,
}

/// A token bucket of takeovers.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakeoverBudget {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TakeoverBudget {
    pub(super) fn full(per_s: f64, now: Timestamp) -> TakeoverBudget {
        TakeoverBudget {
            tokens: per_s.max(1.0),
            refilled_at: now,
        }
    }

    pub(super) fn refill(&mut self, per_s: f64, now: Timestamp) {
        let elapsed_ms = now.millis_since(self.refilled_at).max(0.0);
        let refill = elapsed_ms * per_s / 1000.0;
        self.tokens = (self.tokens + refill).min(per_s.max(1.0));
        self.refilled_at = now;
    }

    fn is_empty(&self) -> bool {
        self.tokens < 1.0
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

impl Grant {
    /// Whether a due timer makes this limiter a candidate, for the first time or again.
    fn is_due(&self, now: Timestamp) -> bool {
        let prepare = self.prepare.as_ref();
        prepare.is_some_and(|prepare| prepare.deadline <= now)
            || self.takeover_at.is_some_and(|at| at <= now)
    }

    /// Whether the loss of a member's incarnation is that of the work's owner.
    fn is_owned_by(&self, work_id: &WorkId, member: Member, incarnation: Incarnation) -> bool {
        match self.successor {
            Some(successor) => successor == member,
            None => work_id.claimant == member && work_id.incarnation == incarnation,
        }
    }
}

impl Failover {
    pub(super) fn on_key_granted(&mut self, work_id: WorkId, acceptors: Vec<Member>) {
        let retention_ms = as_millis(self.config.retention);
        let grant = Grant {
            acceptors: self.acceptors_of(acceptors),
            expires_at: self.now.plus_millis(2.0 * retention_ms),
            takeover_at: None,
            successor: None,
            round: 0,
            prepare: None,
        };
        self.grants.insert(work_id, grant);
    }

    /// Schedules takeovers of what a lost incarnation ran. Candidates follow each other in the acceptors' order, so
    /// that most often only one of them prepares a ballot.
    pub(super) fn schedule_takeovers_from(&mut self, member: Member, incarnation: Incarnation) {
        let me = self.config.member;
        let step_ms = as_millis(self.config.reply_timeout);
        for (work_id, grant) in &mut self.grants {
            let is_candidate = grant.takeover_at.is_some() || grant.prepare.is_some();
            if is_candidate || !grant.is_owned_by(work_id, member, incarnation) {
                continue;
            }
            grant.successor = None;
            let members = grant.acceptors.iter().map(|acceptor| acceptor.member);
            let others = members.filter(|acceptor| *acceptor != member);
            let rank = others.take_while(|acceptor| *acceptor != me).count();
            grant.takeover_at = Some(self.now.plus_millis(rank as f64 * step_ms));
        }
    }

    /// Cancels takeovers from a claimant that is reachable again in the same incarnation and so still owns its work,
    /// unless a ballot is prepared already.
    pub(super) fn cancel_takeovers_from(&mut self, member: Member) {
        let incarnation = self.incarnations.get(&member).copied();
        for (work_id, grant) in &mut self.grants {
            let is_claimant =
                work_id.claimant == member && Some(work_id.incarnation) == incarnation;
            if is_claimant && grant.prepare.is_none() {
                grant.takeover_at = None;
            }
        }
    }

    pub(super) fn drop_expired_grants(&mut self) {
        let now = self.now;
        self.grants.retain(|_, grant| grant.expires_at > now);
    }

    pub(super) fn prepare_due_takeovers(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let due: Vec<WorkId> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.is_due(now))
            .map(|(work_id, _)| *work_id)
            .collect();
        for work_id in due {
            self.prepare(work_id, actions);
        }
    }

    /// Asks the acceptors to promise a ballot above all that are known here.
    fn prepare(&mut self, work_id: WorkId, actions: &mut Vec<Action>) {
        let record = self.records.get(&work_id);
        let promised_round = record.map_or(0, |record| record.promised.round);
        let Some(grant) = self.grants.get_mut(&work_id) else {
            return;
        };
        grant.round = grant.round.max(promised_round).saturating_add(1);
        let ballot = Ballot {
            round: grant.round,
            proposer: self.config.member,
        };
        grant.takeover_at = None;
        grant.prepare = Some(PendingPrepare {
            ballot,
            promises: BTreeMap::new(),
            deadline: self.now + self.config.reply_timeout,
        });
        for acceptor in grant.acceptors.clone() {
            if let Some(acceptor_incarnation) = acceptor.incarnation {
                let message = Message::Prepare {
                    work_id,
                    ballot,
                    acceptor_incarnation,
                };
                self.send(acceptor.member, message, actions);
            }
        }
    }

    /// Yields to the proposer of a higher ballot that an acceptor has promised.
    pub(super) fn on_prepare_rejected(
        &mut self,
        work_id: WorkId,
        ballot: Ballot,
        promised: Option<Ballot>,
    ) {
        let grant = self.grants.get(&work_id);
        let prepare = grant.and_then(|grant| grant.prepare.as_ref());
        let is_current = prepare.is_some_and(|prepare| prepare.ballot == ballot);
        if let Some(higher) = promised.filter(|promised| is_current && *promised > ballot) {
            self.yield_to(work_id, higher);
        }
    }

    /// Leaves a work to the member that runs it or is a candidate under this ballot. Has no effect for the claimant's
    /// ballot and this limiter's own.
    pub(super) fn yield_to(&mut self, work_id: WorkId, ballot: Ballot) {
        if ballot.proposer == self.config.member || ballot.round == 0 {
            return;
        }
        if let Some(grant) = self.grants.get_mut(&work_id) {
            grant.round = grant.round.max(ballot.round);
            grant.prepare = None;
            grant.takeover_at = None;
            grant.successor = Some(ballot.proposer);
        }
    }

    /// Counts a promise, and decides on the work once a majority has promised.
    pub(super) fn on_promise(
        &mut self,
        work_id: WorkId,
        ballot: Ballot,
        from: Member,
        accepted: Option<AcceptedAttempt>,
        actions: &mut Vec<Action>,
    ) {
        let Some(grant) = self.grants.get_mut(&work_id) else {
            return;
        };
        let is_current = |prepare: &&mut PendingPrepare| prepare.ballot == ballot;
        let Some(prepare) = grant.prepare.as_mut().filter(is_current) else {
            return;
        };
        prepare.promises.insert(from, accepted);
        if !is_majority(prepare.promises.len(), grant.acceptors.len()) {
            return;
        }
        let attempts = prepare.promises.values().flatten();
        let newest = attempts.max_by_key(|attempt| attempt.ballot).cloned();
        grant.prepare = None;
        grant.successor = Some(self.config.member);
        let acceptors = grant.acceptors.clone();
        match newest {
            Some(attempt) => self.decide(work_id, ballot, acceptors, attempt, actions),
            // A majority has accepted no attempt and will accept none of a lower ballot: none was sent.
            None => self.abandon(work_id, &acceptors, Verdict::NotSent, actions),
        }
    }

    /// Takes over a work that may have run if the servers still drop a duplicate of it, and abandons it otherwise.
    fn decide(
        &mut self,
        work_id: WorkId,
        ballot: Ballot,
        acceptors: Vec<Acceptor>,
        attempt: AcceptedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let AcceptedAttempt {
            first_attempt,
            work,
            ..
        } = attempt;
        let repeatable = is_inside_window(&work, first_attempt.age_ms);
        if !repeatable || work.time_left_ms <= 0.0 || self.takeover_budget.is_empty() {
            return self.abandon(work_id, &acceptors, Verdict::MayHaveRun, actions);
        }
        self.takeover_budget.take();
        let first_attempt_at = self.now.minus_millis(first_attempt.age_ms);
        let owned = OwnedWork::new(ballot, acceptors, Some(first_attempt_at));
        self.owned.insert(work_id, owned);
        actions.push(Action::TakeOver {
            work_id,
            work,
            first_attempt,
        });
    }

    /// Notifies the acceptors that no member runs a work. If this limiter is one of them, its own message produces the
    /// action for the host.
    fn abandon(
        &mut self,
        work_id: WorkId,
        acceptors: &[Acceptor],
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        for acceptor in acceptors {
            let message = Message::Abandoned(work_id, verdict);
            self.send(acceptor.member, message, actions);
        }
        let me = self.config.member;
        if !acceptors.iter().any(|acceptor| acceptor.member == me) {
            actions.push(Action::Abandoned { work_id, verdict });
        }
    }
}

/// Whether the servers are certain to drop a duplicate of a work whose first attempt is of this age.
fn is_inside_window(work: &Work, age_ms: f64) -> bool {
    work.deduplication_window_ms
        .is_some_and(|window_ms| age_ms < window_ms * (1.0 - WINDOW_SAFETY_MARGIN))
}
