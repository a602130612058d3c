//! State and dispatch of the failover core, for *works*: requests under an idempotency key. Its three roles have
//! modules of their own: [`owner`] requests permission for attempts, [`acceptor`] keeps the state of other members'
//! work, [`candidate`] takes work over.

mod acceptor;
mod candidate;
mod owner;

use crate::config::Config;
use crate::event::{Action, Event};
use crate::message::{AcceptedAttempt, Message};
use crate::time::Timestamp;
use crate::work::{Member, Verdict, WorkId};
use acceptor::WorkRecord;
use candidate::{Grant, TakeoverBudget};
use emberpin_peering::Incarnation;
use owner::{OwnedWork, PendingCompletion};
use std::collections::{BTreeMap, BTreeSet};

/// Decides for one limiter which attempts may be sent, and which work of lost limiters it takes over.
///
/// A state machine: see [`Failover::handle`].
#[derive(Clone, Debug)]
pub struct Failover {
    config: Config,
    now: Timestamp,
    /// Current incarnations of the members, as far as observed.
    incarnations: BTreeMap<Member, Incarnation>,
    unreachable: BTreeSet<Member>,
    /// Works that this limiter runs, as their owner.
    owned: BTreeMap<WorkId, OwnedWork>,
    /// Completed works whose outcome no majority has acknowledged yet.
    completing: BTreeMap<WorkId, PendingCompletion>,
    /// Works for which this limiter is an acceptor.
    records: BTreeMap<WorkId, WorkRecord>,
    /// Bytes of payload in `records`.
    record_bytes: usize,
    /// Works whose idempotency key this limiter has granted, and which it may have to take over.
    grants: BTreeMap<WorkId, Grant>,
    takeover_budget: TakeoverBudget,
    /// Messages of this limiter to itself, delivered in order before [`Failover::handle`] returns.
    loopback: Vec<Message>,
}

/// The state that an acceptor keeps for other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Works, promises and outcomes. Bounded by [`Config::max_entries`](crate::Config::max_entries).
    pub entries: usize,
    /// Bytes of payload. Bounded by [`Config::max_bytes`](crate::Config::max_bytes).
    pub bytes: usize,
}

/// An acceptor of a work, as known when the work's key was granted.
#[derive(Clone, Copy, Debug)]
struct Acceptor {
    member: Member,
    /// Its incarnation when the work began. `None` if the incarnation was unknown: the acceptor cannot be asked then.
    incarnation: Option<Incarnation>,
}

impl Failover {
    /// Creates a core without any work, which knows the incarnation of its own member only.
    #[must_use]
    pub fn new(config: Config, now: Timestamp) -> Failover {
        let incarnations = BTreeMap::from([(config.member, config.incarnation)]);
        let takeover_budget = TakeoverBudget::full(config.max_takeovers_per_s, now);
        Failover {
            config,
            now,
            incarnations,
            unreachable: BTreeSet::new(),
            owned: BTreeMap::new(),
            completing: BTreeMap::new(),
            records: BTreeMap::new(),
            record_bytes: 0,
            grants: BTreeMap::new(),
            takeover_budget,
            loopback: Vec::new(),
        }
    }

    /// The state kept for other members as an acceptor.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            entries: self.records.len(),
            bytes: self.record_bytes,
        }
    }

    /// Whether another member runs a work that was started here.
    #[must_use]
    pub fn is_fenced(&self, work_id: &WorkId) -> bool {
        let promised = self.records.get(work_id).map(|record| record.promised);
        self.owned.get(work_id).is_some_and(|owned| {
            owned.fenced || promised.is_some_and(|promised| promised > owned.ballot)
        })
    }

    /// Whether this acceptor has promised a work to a candidate. Reports about the work from the limiter that received
    /// the request must be ignored then.
    #[must_use]
    pub fn is_promised_to_candidate(&self, work_id: &WorkId) -> bool {
        self.records
            .get(work_id)
            .is_some_and(|record| record.promised.round > 0)
    }

    /// Handles an event, and appends the actions that follow from it. A `now` before an earlier one counts as the
    /// earlier one.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.dispatch(event, actions);
        while !self.loopback.is_empty() {
            for message in std::mem::take(&mut self.loopback) {
                self.on_message(self.config.member, message, actions);
            }
        }
    }

    fn dispatch(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::WorkStarted { work_id, acceptors } => self.on_work_started(work_id, acceptors),
            Event::AttemptRequested {
                work_id,
                attempt,
                group,
                work,
            } => self.on_attempt_requested(work_id, attempt, group, work, actions),
            Event::WorkCompleted(work_id) => {
                self.finish_owned(work_id, &Message::Completed(work_id), actions);
            }
            Event::TakeoverFailed(work_id) => {
                let message = Message::Abandoned(work_id, Verdict::MayHaveRun);
                self.finish_owned(work_id, &message, actions);
            }
            Event::KeyGranted { work_id, acceptors } => self.on_key_granted(work_id, acceptors),
            Event::KeyReleased(work_id) => _ = self.grants.remove(&work_id),
            Event::IncarnationObserved {
                member,
                incarnation,
            } => _ = self.incarnations.insert(member, incarnation),
            Event::MemberReachable(member) => {
                self.unreachable.remove(&member);
                self.cancel_takeovers_from(member);
            }
            Event::MemberUnreachable(member) => {
                self.unreachable.insert(member);
                self.reject_for_unreachable(member, actions);
            }
            Event::IncarnationEnded {
                member,
                incarnation,
            } => self.schedule_takeovers_from(member, incarnation),
            Event::MessageReceived { from, message } => self.on_message(from, message, actions),
            Event::Tick => self.on_tick(actions),
        }
    }

    fn on_message(&mut self, from: Member, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Accept {
                work_id,
                ballot,
                acceptor_incarnation,
                first_attempt,
                work,
            } => {
                let attempt = AcceptedAttempt {
                    ballot,
                    first_attempt,
                    work,
                };
                self.on_accept(from, work_id, acceptor_incarnation, attempt, actions);
            }
            Message::Accepted { work_id, ballot } => {
                self.on_accepted(work_id, ballot, from, actions);
            }
            Message::Rejected {
                work_id,
                ballot,
                promised,
            } => {
                self.on_attempt_rejected(work_id, ballot, from, promised, actions);
                self.on_prepare_rejected(work_id, ballot, promised);
            }
            Message::Prepare {
                work_id,
                ballot,
                acceptor_incarnation,
            } => self.on_prepare(from, work_id, ballot, acceptor_incarnation, actions),
            Message::Promise {
                work_id,
                ballot,
                accepted,
            } => self.on_promise(work_id, ballot, from, accepted, actions),
            Message::Completed(work_id) => {
                self.on_completed(from, work_id, actions);
            }
            Message::CompletionAcknowledged(work_id) => {
                self.on_completion_acknowledged(work_id, from, actions);
            }
            Message::Abandoned(work_id, verdict) => {
                self.on_abandoned(work_id, verdict, actions);
            }
        }
    }

    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        let rate = self.config.max_takeovers_per_s;
        self.takeover_budget.refill(rate, self.now);
        self.deny_overdue_attempts(actions);
        self.expire_completions(actions);
        self.drop_expired_records();
        self.drop_expired_grants();
        self.prepare_due_takeovers(actions);
    }

    /// The acceptors of a work that begins now, with their current incarnations.
    fn acceptors_of(&self, members: Vec<Member>) -> Vec<Acceptor> {
        let with_incarnation = |member| Acceptor {
            member,
            incarnation: self.incarnations.get(&member).copied(),
        };
        members.into_iter().map(with_incarnation).collect()
    }

    /// Sends a message. One to this limiter itself goes through `loopback`; one to an unreachable member is dropped.
    fn send(&mut self, to: Member, message: Message, actions: &mut Vec<Action>) {
        if to == self.config.member {
            self.loopback.push(message);
        } else if !self.unreachable.contains(&to) {
            actions.push(Action::Send { to, message });
        }
    }
}

/// Whether `count` of `total` acceptors are a majority. Any two majorities have a member in common.
fn is_majority(count: usize, total: usize) -> bool {
    count > total / 2
}
