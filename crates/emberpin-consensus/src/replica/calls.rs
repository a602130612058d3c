//! Calls of clients: which are queued for a round, and which get a reply at once.

use super::{Action, Replica};
use crate::call::{Call, CallId, CoordinationReply};
use crate::error::CallError;
use crate::task::{Operation, Outcome, Task, TaskResult};
use emberpin_config::parse_patch;
use std::time::Duration;

/// Time limit of a call. A call that is not done by then is answered with 503, so that its caller retries it.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Capacity of the task queue. Further calls are rejected with 503, so that their callers retry later or at another
/// replica.
const MAX_TASKS: usize = 64;

impl Replica {
    /// Queues a call for a round, or rejects it at once.
    pub(super) fn on_call(&mut self, call_id: CallId, call: Call, actions: &mut Vec<Action>) {
        if let Call::Coordinate {
            operation,
            when_led,
        } = call
        {
            return self.on_operation(call_id, operation, when_led, actions);
        }
        match self.task_for(call_id, call) {
            Ok(mut task) => {
                task.contact_check = self.begin_contact_check(actions);
                self.tasks.push_back(task);
            }
            Err(error) => actions.push(reply(call_id, Err(error))),
        }
    }

    fn task_for(&self, call_id: CallId, call: Call) -> Result<Task, CallError> {
        if let Some(reason) = self.disk_unavailable_reason() {
            let reason = reason.into();
            return Err(CallError::DiskUnavailable { reason });
        }
        if self.tasks.len() >= MAX_TASKS {
            return Err(CallError::QueueFull);
        }
        let operation = match call {
            // Handled by `on_operation`.
            Call::Coordinate { .. } => return Err(CallError::QueueFull),
            Call::Get => Operation::Get { call_id },
            Call::Evacuate {
                zone,
                change,
                precondition,
            } => Operation::Evacuate {
                call_id,
                zone,
                change,
                precondition,
            },
            Call::Patch(body) => {
                // An unreadable patch is rejected here, as every replica would reject it on top of any configuration.
                let patch = parse_patch(&body).map_err(CallError::Invalid)?;
                Operation::Patch { call_id, patch }
            }
        };
        Ok(Task::new(operation, self.now + CALL_TIMEOUT))
    }

    /// Replies to the calls of a completed round.
    pub(super) fn complete(&mut self, outcomes: Vec<Outcome>, actions: &mut Vec<Action>) {
        for Outcome { task, result } in outcomes {
            let Some(call_id) = task.operation.call_id() else {
                continue;
            };
            match result {
                TaskResult::Operator(result) => actions.push(reply(call_id, result)),
                TaskResult::Application(reply) => {
                    actions.push(Action::ReplyToApplication { call_id, reply });
                }
                TaskResult::AwaitsChange => self.begin_watch(task, actions),
            }
        }
    }

    /// Replies 503 to the calls whose deadline has passed, including those whose items are proposed: these may still be
    /// chosen, which a 503 leaves open.
    pub(super) fn expire_tasks(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.reject_tasks(CallError::Timeout, actions, |task| now >= task.deadline);
    }

    /// Drops the matching tasks from the queue and from the round, and replies with the error to the calls among them.
    pub(super) fn reject_tasks(
        &mut self,
        error: CallError,
        actions: &mut Vec<Action>,
        is_rejected: impl Fn(&Task) -> bool,
    ) {
        let mut keep = |task: &Task| {
            if !is_rejected(task) {
                return true;
            }
            actions.extend(rejection(task, error.clone()));
            false
        };
        self.tasks.retain(&mut keep);
        if let Some(round) = &mut self.round {
            round.outcomes.retain(|outcome| keep(&outcome.task));
        }
    }
}

/// The reply to the call of a rejected task; `None` if no client called for the task.
pub(super) fn rejection(task: &Task, error: CallError) -> Option<Action> {
    let call_id = task.operation.call_id()?;
    if !task.is_coordination() {
        return Some(reply(call_id, Err(error)));
    }
    let effect = task.possible_effect();
    Some(Action::ReplyToApplication {
        call_id,
        reply: CoordinationReply::Undecided { effect },
    })
}

/// The reply to a call: 200 with a body, or the error because of which it is not acknowledged.
pub(super) fn reply(call_id: CallId, result: Result<String, CallError>) -> Action {
    match result {
        Ok(body) => Action::Reply {
            call_id,
            status: 200,
            body,
        },
        Err(error) => Action::Reply {
            call_id,
            status: error.status(),
            body: error.to_string(),
        },
    }
}
