//! Calls of clients: which are queued for a round, and which get a reply at once.

use super::{Action, Replica};
use crate::call::{Call, CallId};
use crate::error::CallError;
use crate::task::{Operation, Outcome, Task};
use crate::time::Timestamp;
use emberpin_config::parse_patch;
use std::time::Duration;

/// A call that is not done by then is answered with 503, so that its caller sends it again.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The same for an evacuation. It has no version, and its caller asks another replica after one second without an
/// answer, where it may then take back what it asked for: here it must not begin after that.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(850);
/// A tick that is late by more than this shows that the process was paused: frozen, or without a processor.
const PAUSE_DETECTION_THRESHOLD: Duration = Duration::from_millis(500);
/// How many tasks are queued; further calls are rejected with 503, so that their callers try again later or elsewhere.
const MAX_TASKS: usize = 64;

impl Replica {
    /// Notices by a late event that the process was paused.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        if now > self.next_tick_at() + PAUSE_DETECTION_THRESHOLD {
            self.evacuations_rejected_until = now + EVACUATION_TIMEOUT;
        }
    }

    /// Queues a call for a round, or rejects it at once.
    pub(super) fn on_call(&mut self, call_id: CallId, call: Call, actions: &mut Vec<Action>) {
        match self.task_for(call_id, call) {
            Ok(task) => self.tasks.push_back(task),
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
            Call::Get => Operation::Get { call_id },
            Call::Evacuate { zone, change } => Operation::Evacuate {
                call_id,
                zone,
                change,
            },
            Call::Patch(body) => {
                // An unreadable patch would be rejected by every replica and on top of any configuration.
                let patch = parse_patch(&body).map_err(CallError::Invalid)?;
                Operation::Patch { call_id, patch }
            }
        };
        let is_evacuation = matches!(operation, Operation::Evacuate { .. });
        let may_be_outdated = is_evacuation && self.now < self.evacuations_rejected_until;
        if may_be_outdated && self.guards().reject_evacuation_after_pause {
            // It may have waited during the pause, and its caller may have taken it back elsewhere since.
            return Err(CallError::ProcessPaused);
        }
        let timeout = if is_evacuation && self.guards().evacuation_deadline {
            EVACUATION_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        Ok(Task::new(operation, self.now + timeout))
    }

    /// Replies 503 to the calls whose deadline has passed. Those whose items are proposed are among them: they may
    /// still come to be chosen, which a 503 leaves open.
    pub(super) fn expire_tasks(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.tasks
            .retain(|task| !reply_if_expired(task, now, actions));
        if let Some(round) = &mut self.round {
            round
                .outcomes
                .retain(|outcome| !reply_if_expired(&outcome.task, now, actions));
        }
    }
}

/// Whether the task's deadline has passed.
fn reply_if_expired(task: &Task, now: Timestamp, actions: &mut Vec<Action>) -> bool {
    if now < task.deadline {
        return false;
    }
    if let Some(call_id) = task.operation.call_id() {
        actions.push(reply(call_id, Err(CallError::Timeout)));
    }
    true
}

/// Replies to the calls of a round that is done.
pub(super) fn reply_all(outcomes: Vec<Outcome>, actions: &mut Vec<Action>) {
    for Outcome { task, result } in outcomes {
        if let Some(call_id) = task.operation.call_id() {
            actions.push(reply(call_id, result));
        }
    }
}

/// The reply to a call: 200 with a body, or why it is not acknowledged.
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
