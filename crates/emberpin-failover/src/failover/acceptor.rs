//! The acceptor of other members' work: accepts attempts, promises ballots, and remembers outcomes.

use super::Failover;
use crate::event::Action;
use crate::message::{AcceptedAttempt, Message};
use crate::time::{as_millis, Timestamp};
use crate::work::{Ballot, FirstAttempt, Member, ServerGroup, Verdict, Work, WorkId};
use emberpin_peering::Incarnation;

/// The state of a work at this acceptor.
#[derive(Clone, Debug)]
pub(super) struct WorkRecord {
    /// No lower ballot is accepted or promised.
    pub(super) promised: Ballot,
    accepted: Option<AcceptedRecord>,
    /// Kept for candidates that ask later: one that was partitioned may not have received it.
    outcome: Option<Outcome>,
    expires_at: Timestamp,
}

/// The attempt that was accepted last.
#[derive(Clone, Debug)]
struct AcceptedRecord {
    ballot: Ballot,
    group: ServerGroup,
    /// The earliest moment, on this clock, at which the work may have begun to run.
    first_at: Timestamp,
    work: Work,
}

/// How a work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Completed,
    Abandoned(Verdict),
}

/// Why an acceptor rejects a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The message is meant for an earlier incarnation, whose state is lost.
    Restarted,
    /// The work has its outcome.
    HasOutcome,
    /// This higher ballot was promised.
    HigherBallot(Ballot),
    /// There is no capacity for another work.
    Full,
}

impl Outcome {
    fn message(self, work_id: WorkId) -> Message {
        match self {
            Outcome::Completed => Message::Completed(work_id),
            Outcome::Abandoned(verdict) => Message::Abandoned(work_id, verdict),
        }
    }
}

impl Rejection {
    fn message(self, work_id: WorkId, ballot: Ballot) -> Message {
        let promised = match self {
            Rejection::HigherBallot(promised) => Some(promised),
            Rejection::Restarted | Rejection::HasOutcome | Rejection::Full => None,
        };
        Message::Rejected {
            work_id,
            ballot,
            promised,
        }
    }
}

impl Failover {
    pub(super) fn on_accept(
        &mut self,
        from: Member,
        work_id: WorkId,
        acceptor_incarnation: Incarnation,
        attempt: AcceptedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let ballot = attempt.ballot;
        let answer = match self.accept(work_id, acceptor_incarnation, attempt) {
            Ok(()) => {
                self.yield_to(work_id, ballot);
                Message::Accepted { work_id, ballot }
            }
            Err(rejection) => rejection.message(work_id, ballot),
        };
        self.send(from, answer, actions);
    }

    pub(super) fn on_prepare(
        &mut self,
        from: Member,
        work_id: WorkId,
        ballot: Ballot,
        acceptor_incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let record = self.records.get(&work_id);
        let outcome = record.and_then(|record| record.outcome);
        let promise = self.promise(work_id, ballot, acceptor_incarnation);
        let answer = match (outcome, promise) {
            (Some(outcome), _) => outcome.message(work_id),
            (None, Ok(accepted)) => {
                self.yield_to(work_id, ballot);
                Message::Promise {
                    work_id,
                    ballot,
                    accepted,
                }
            }
            (None, Err(rejection)) => rejection.message(work_id, ballot),
        };
        self.send(from, answer, actions);
    }

    pub(super) fn on_completed(
        &mut self,
        from: Member,
        work_id: WorkId,
        actions: &mut Vec<Action>,
    ) {
        self.record_outcome(work_id, Outcome::Completed);
        self.grants.remove(&work_id);
        self.send(from, Message::CompletionAcknowledged(work_id), actions);
    }

    pub(super) fn on_abandoned(
        &mut self,
        work_id: WorkId,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        self.record_outcome(work_id, Outcome::Abandoned(verdict));
        if self.grants.remove(&work_id).is_some() {
            actions.push(Action::Abandoned { work_id, verdict });
        }
    }

    /// Records which server group an attempt is about to be sent to, replacing the attempt accepted before.
    fn accept(
        &mut self,
        work_id: WorkId,
        acceptor_incarnation: Incarnation,
        attempt: AcceptedAttempt,
    ) -> Result<(), Rejection> {
        // A restarted acceptor may have promised the work to a candidate, and lost that promise.
        if acceptor_incarnation != self.config.incarnation {
            return Err(Rejection::Restarted);
        }
        let known = self.records.get(&work_id);
        if known.is_some_and(|record| record.outcome.is_some()) {
            return Err(Rejection::HasOutcome);
        }
        if let Some(record) = known.filter(|record| record.promised > attempt.ballot) {
            return Err(Rejection::HigherBallot(record.promised));
        }
        let replaced = known.and_then(|record| record.accepted.as_ref());
        let replaced_bytes = replaced.map_or(0, |accepted| accepted.work.payload.len());
        let record_bytes = self.record_bytes - replaced_bytes + attempt.work.payload.len();
        let table_full = known.is_none() && self.records.len() >= self.config.max_entries;
        if table_full || record_bytes > self.config.max_bytes {
            return Err(Rejection::Full);
        }
        self.record_bytes = record_bytes;
        let retention_ms = as_millis(self.config.retention);
        let time_left_ms = attempt.work.time_left_ms.clamp(0.0, retention_ms);
        let record = WorkRecord {
            promised: attempt.ballot,
            accepted: Some(AcceptedRecord::new(attempt, self.now)),
            outcome: None,
            expires_at: self.now.plus_millis(time_left_ms).plus_millis(retention_ms),
        };
        self.records.insert(work_id, record);
        Ok(())
    }

    /// Promises a ballot: no lower one is accepted or promised from now on. Returns what was accepted last.
    fn promise(
        &mut self,
        work_id: WorkId,
        ballot: Ballot,
        acceptor_incarnation: Incarnation,
    ) -> Result<Option<AcceptedAttempt>, Rejection> {
        // A restarted acceptor does not know whether the work was sent.
        if acceptor_incarnation != self.config.incarnation {
            return Err(Rejection::Restarted);
        }
        let Some(record) = self.records.get_mut(&work_id) else {
            if self.records.len() >= self.config.max_entries {
                return Err(Rejection::Full);
            }
            let record = WorkRecord {
                promised: ballot,
                accepted: None,
                outcome: None,
                expires_at: self.bare_record_expiry(),
            };
            self.records.insert(work_id, record);
            return Ok(None);
        };
        if record.promised > ballot {
            return Err(Rejection::HigherBallot(record.promised));
        }
        record.promised = ballot;
        let retention_ms = as_millis(self.config.retention);
        let work_expires_at = record.expires_at.minus_millis(retention_ms);
        let time_left_ms = work_expires_at.millis_since(self.now).max(0.0);
        let accepted = record.accepted.as_ref();
        Ok(accepted.map(|accepted| accepted.as_of(self.now, time_left_ms)))
    }

    /// Records that a work has ended. Its payload is dropped. Promise and outcome remain until they expire, as the
    /// claimant may resume after a pause, and candidates may ask that have not received the outcome.
    pub(super) fn record_outcome(&mut self, work_id: WorkId, outcome: Outcome) {
        self.drop_payload(&work_id);
        if let Some(record) = self.records.get_mut(&work_id) {
            record.outcome = record.outcome.or(Some(outcome));
            return;
        }
        if self.records.len() >= self.config.max_entries {
            return;
        }
        let promised = Ballot {
            round: 0,
            proposer: work_id.claimant,
        };
        let record = WorkRecord {
            promised,
            accepted: None,
            outcome: Some(outcome),
            expires_at: self.bare_record_expiry(),
        };
        self.records.insert(work_id, record);
    }

    pub(super) fn drop_expired_records(&mut self) {
        let now = self.now;
        let is_expired = |record: &WorkRecord| record.expires_at <= now;
        let expired: Vec<WorkId> = self
            .records
            .iter()
            .filter(|(_, record)| is_expired(record))
            .map(|(work_id, _)| *work_id)
            .collect();
        for work_id in expired {
            self.drop_payload(&work_id);
            self.records.remove(&work_id);
        }
    }

    /// The expiry of a record that begins without an attempt.
    fn bare_record_expiry(&self) -> Timestamp {
        self.now.plus_millis(2.0 * as_millis(self.config.retention))
    }

    fn drop_payload(&mut self, work_id: &WorkId) {
        let record = self.records.get_mut(work_id);
        if let Some(accepted) = record.and_then(|record| record.accepted.take()) {
            self.record_bytes -= accepted.work.payload.len();
        }
    }
}

impl AcceptedRecord {
    /// The record of an attempt that is accepted now.
    fn new(attempt: AcceptedAttempt, now: Timestamp) -> AcceptedRecord {
        let age_ms = attempt.first_attempt.age_ms;
        // An age that is not finite counts as past every window.
        let age_ms = if age_ms.is_finite() {
            age_ms.max(0.0)
        } else {
            f64::MAX
        };
        AcceptedRecord {
            ballot: attempt.ballot,
            group: attempt.first_attempt.group,
            first_at: now.minus_millis(age_ms),
            work: attempt.work,
        }
    }

    /// The attempt as sent in a message: with its current age, and with at most `time_left_ms` left.
    fn as_of(&self, now: Timestamp, time_left_ms: f64) -> AcceptedAttempt {
        let first_attempt = FirstAttempt {
            group: self.group,
            age_ms: now.millis_since(self.first_at),
        };
        let work = Work {
            time_left_ms: time_left_ms.min(self.work.time_left_ms),
            ..self.work.clone()
        };
        AcceptedAttempt {
            ballot: self.ballot,
            first_attempt,
            work,
        }
    }
}
