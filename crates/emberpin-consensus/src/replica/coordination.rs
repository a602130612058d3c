//! Operations of applications on registers: which are queued, how a round evaluates them, and which wait for a change.

use super::register_view::{is_lock, ProposedItems, RegisterView};
use super::{Action, Replica};
use crate::call::{CallId, CoordinationReply, PossibleEffect, WhenLed};
use crate::event::Rounds;
use crate::guards::Guards;
use crate::task::{Operation, Task, TaskResult};
use crate::time::Timestamp;
use emberpin_config::{Item, ItemKey};
use emberpin_coordination::{evaluate, Evaluation, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Time limit of an operation; one that is not decided by then is rejected as undecided. Well below the second for
/// which applications wait, so that a registry can reply to them in time.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(600);
/// Capacity of the queue for operations; further ones are rejected.
const MAX_QUEUED_OPERATIONS: usize = 1_024;
/// Capacity for operations that wait for changes; further ones are rejected.
const MAX_WATCHES: usize = 1_024;

/// An operation that waits for a change of a group of cells.
#[derive(Debug)]
struct Watch {
    call_id: CallId,
    operation: emberpin_coordination::Operation,
    /// When it is answered with no events.
    deadline: Timestamp,
}

/// The state that a replica keeps in memory for applications, in addition to the registers.
#[derive(Debug, Default)]
pub(super) struct Coordination {
    watches: Vec<Watch>,
    /// When this replica learned the current content of each lock that changed since its start.
    locks_learned_at: BTreeMap<ItemKey, Timestamp>,
}

impl Coordination {
    /// Records that the locks among these items got their current content now.
    pub fn record_learned(&mut self, items: &[Item], now: Timestamp, guards: &Guards) {
        for item in items.iter().filter(|item| is_lock(&item.key)) {
            let key = item.key.clone();
            if guards.renewals_restart_leases {
                self.locks_learned_at.insert(key, now);
            } else {
                self.locks_learned_at.entry(key).or_insert(now);
            }
        }
    }

    /// The earliest deadline of the operations that wait for a change.
    pub fn next_watch_deadline(&self) -> Option<Timestamp> {
        self.watches.iter().map(|watch| watch.deadline).min()
    }
}

impl Replica {
    /// Queues an operation for a round, or replies at once that another replica leads or that it cannot be queued.
    pub(super) fn on_operation(
        &mut self,
        call_id: CallId,
        operation: emberpin_coordination::Operation,
        when_led: WhenLed,
        actions: &mut Vec<Action>,
    ) {
        let effect = PossibleEffect::None;
        let leader = self
            .other_leader()
            .filter(|_| when_led == WhenLed::Redirect);
        let reply = if let Some(leader) = leader {
            CoordinationReply::NotLeader { leader, effect }
        } else if self.can_queue_operation() {
            let operation = Operation::Coordinate { call_id, operation };
            let task = Task::new(operation, self.now + OPERATION_TIMEOUT);
            return self.tasks.push_back(task);
        } else {
            CoordinationReply::Undecided { effect }
        };
        actions.push(Action::ReplyToApplication { call_id, reply });
    }

    fn can_queue_operation(&self) -> bool {
        self.options.rounds == Rounds::Led
            && self.disk_unavailable_reason().is_none()
            && self.tasks.len() < MAX_QUEUED_OPERATIONS
    }

    /// Evaluates an operation on top of the chosen items and those that the round proposes. Returns its result, and the
    /// items that it changes.
    pub(super) fn evaluate_operation(
        &self,
        operation: &emberpin_coordination::Operation,
        proposed: &ProposedItems,
    ) -> (TaskResult, Vec<Item>) {
        let view = self.register_view(proposed);
        match evaluate(operation, &view) {
            Ok(Evaluation::Complete { outcome, changes }) => {
                let changes = changes.into_iter().map(|change| view.changed_item(change));
                let reply = CoordinationReply::Done(outcome);
                (TaskResult::Application(reply), changes.collect())
            }
            Ok(Evaluation::AwaitChange { .. }) => (TaskResult::AwaitsChange, Vec::new()),
            // A register was written by a later build. Nothing was changed, but an earlier attempt of the operation may
            // be chosen.
            Err(_) => {
                let effect = PossibleEffect::Unknown;
                let reply = CoordinationReply::Undecided { effect };
                (TaskResult::Application(reply), Vec::new())
            }
        }
    }

    fn register_view<'a>(&'a self, proposed: &'a ProposedItems) -> RegisterView<'a> {
        RegisterView {
            chosen: self.state().configuration(),
            proposed,
            locks_learned_at: &self.coordination.locks_learned_at,
            started_at: self.started_at,
            now: self.now,
            guards: self.guards(),
        }
    }

    /// Keeps an operation until there is a change of its group or its wait is over. Rejects it if too many operations
    /// wait.
    pub(super) fn begin_watch(&mut self, task: Task, actions: &mut Vec<Action>) {
        let Operation::Coordinate { call_id, operation } = task.operation else {
            return;
        };
        if self.coordination.watches.len() >= MAX_WATCHES {
            let effect = PossibleEffect::None;
            let reply = CoordinationReply::Undecided { effect };
            return actions.push(Action::ReplyToApplication { call_id, reply });
        }
        let wait = match &operation {
            emberpin_coordination::Operation::WatchGroup { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        self.coordination.watches.push(Watch {
            call_id,
            operation,
            deadline: self.now + wait,
        });
    }

    /// Answers the operations that waited for the changes that a round of this replica has just chosen. This replica
    /// knows all earlier changes, as the round read them from a quorum.
    pub(super) fn serve_watches(&mut self, actions: &mut Vec<Action>) {
        let watches = std::mem::take(&mut self.coordination.watches);
        for watch in watches {
            let (result, _) = self.evaluate_operation(&watch.operation, &ProposedItems::new());
            match result {
                TaskResult::Application(reply) => actions.push(Action::ReplyToApplication {
                    call_id: watch.call_id,
                    reply,
                }),
                TaskResult::AwaitsChange | TaskResult::Operator(_) => {
                    self.coordination.watches.push(watch);
                }
            }
        }
    }

    /// Answers the operations whose wait is over.
    pub(super) fn expire_watches(&mut self, actions: &mut Vec<Action>) {
        if self
            .coordination
            .next_watch_deadline()
            .is_none_or(|deadline| self.now < deadline)
        {
            return;
        }
        let now = self.now;
        let is_expired = |watch: &mut Watch| now >= watch.deadline;
        for watch in self.coordination.watches.extract_if(.., is_expired) {
            let emberpin_coordination::Operation::WatchGroup { after, .. } = watch.operation else {
                continue;
            };
            let events = Vec::new();
            actions.push(Action::ReplyToApplication {
                call_id: watch.call_id,
                reply: CoordinationReply::Done(Outcome::Events {
                    events,
                    revision: after,
                }),
            });
        }
    }

    /// Another replica leads: replies to all waiting applications with the address of that leader.
    pub(super) fn redirect_applications(&mut self, leader: Ipv4Addr, actions: &mut Vec<Action>) {
        let tasks = self.tasks.drain(..);
        let (waiting, others): (VecDeque<Task>, VecDeque<Task>) =
            tasks.partition(Task::is_coordination);
        self.tasks = others;
        for task in waiting {
            if let Some(call_id) = task.operation.call_id() {
                let effect = task.possible_effect();
                let reply = CoordinationReply::NotLeader { leader, effect };
                actions.push(Action::ReplyToApplication { call_id, reply });
            }
        }
        for watch in self.coordination.watches.drain(..) {
            actions.push(Action::ReplyToApplication {
                call_id: watch.call_id,
                reply: CoordinationReply::NotLeader {
                    leader,
                    effect: PossibleEffect::None,
                },
            });
        }
    }
}
