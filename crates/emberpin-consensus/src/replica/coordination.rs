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

/// An operation that is not decided by then is given up. Well below the second for which applications wait, so that a
/// registry can tell them in time.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(600);
/// How many operations are queued; further ones are rejected.
const MAX_QUEUED_OPERATIONS: usize = 1_024;
/// How many operations may wait for changes; further ones are rejected.
const MAX_WATCHES: usize = 1_024;

/// An operation that waits for a change of a group of cells.
#[derive(Debug)]
struct Watch {
    call_id: CallId,
    operation: emberpin_coordination::Operation,
    /// When it is answered that there was no change.
    ends_at: Timestamp,
}

/// What a replica keeps for applications beside the registers.
#[derive(Debug, Default)]
pub(super) struct Coordination {
    watches: Vec<Watch>,
    /// When this replica learned the present content of each lock that changed since its start.
    locks_learned_at: BTreeMap<ItemKey, Timestamp>,
}

impl Coordination {
    /// Records when locks got their present content.
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

    /// When the first wait for a change ends.
    pub fn next_watch_end(&self) -> Option<Timestamp> {
        self.watches.iter().map(|watch| watch.ends_at).min()
    }
}

impl Replica {
    /// Queues an operation for a round, or rejects it at once.
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

    /// Evaluates an operation on everything chosen and on what the round proposes. Returns its result, and the items
    /// that it changes.
    pub(super) fn evaluate_operation(
        &self,
        operation: &emberpin_coordination::Operation,
        proposed: &ProposedItems,
    ) -> (TaskResult, Vec<Item>) {
        let view = self.register_view(proposed);
        match evaluate(operation, &view) {
            Ok(Evaluation::Complete { outcome, changes }) => {
                let changes = changes.into_iter().map(|change| view.item_of(change));
                let reply = CoordinationReply::Done(outcome);
                (TaskResult::Application(reply), changes.collect())
            }
            Ok(Evaluation::AwaitChange { .. }) => (TaskResult::AwaitsChange, Vec::new()),
            // Written by a later build. Nothing was changed, but an earlier attempt may be chosen.
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

    /// Keeps an operation until there is a change of its group, or its time is over. Rejects it if too many wait.
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
            ends_at: self.now + wait,
        });
    }

    /// Answers the operations that waited for what a round of this replica has just chosen. All earlier changes are
    /// known here, as the round read them from a quorum.
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
    pub(super) fn end_watches(&mut self, actions: &mut Vec<Action>) {
        if self
            .coordination
            .next_watch_end()
            .is_none_or(|ends_at| self.now < ends_at)
        {
            return;
        }
        let now = self.now;
        let is_over = |watch: &mut Watch| now >= watch.ends_at;
        for watch in self.coordination.watches.extract_if(.., is_over) {
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

    /// Another replica leads: redirects the applications that wait here to it.
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
