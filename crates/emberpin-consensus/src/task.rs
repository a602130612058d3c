//! Tasks of a replica: operations requested by clients or by the replica itself, and their evaluation on top of the
//! chosen items.

use crate::call::{CallId, CoordinationReply, EvacuationChange, PossibleEffect};
use crate::error::CallError;
use crate::guards::Guards;
use crate::replica::ContactCheck;
use crate::roster::{roster_item, roster_key, voters};
use crate::time::Timestamp;
use emberpin_config::{
    export_json, validate, validate_for_commit, Configuration, Item, ItemKey, ItemKind, Patch,
    PatchOutcome, Version,
};
use std::net::Ipv4Addr;

/// An operation that waits for a round, or is proposed in one.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub operation: Operation,
    /// When it is rejected as undecided, with status 503 for an operator's call, so that its caller retries it.
    pub deadline: Timestamp,
    /// The pending check that a majority can be reached for it; `None` if there is no check.
    pub contact_check: Option<ContactCheck>,
    /// Whether items of it were proposed, so that they may be chosen even if a later round rejects them.
    pub proposed: bool,
}

/// The operation of a task.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Patch {
        call_id: CallId,
        patch: Patch,
    },
    Get {
        call_id: CallId,
    },
    Evacuate {
        call_id: CallId,
        zone: String,
        change: EvacuationChange,
        precondition: Version,
    },
    /// An operation of an application on registers.
    Coordinate {
        call_id: CallId,
        operation: emberpin_coordination::Operation,
    },
    /// Replaces the roster of this version. Requested by the replica itself, never by a client.
    ChangeRoster {
        version: Version,
        voters: Vec<Ipv4Addr>,
    },
}

/// The result of evaluating an operation on top of a configuration.
#[derive(Debug, PartialEq)]
pub(crate) enum Verdict {
    /// These items have to be chosen before the operation is acknowledged.
    Propose(Vec<Item>),
    /// Nothing has to be chosen: the operation is acknowledged with this body.
    Complete(String),
    /// The operation is rejected for this reason.
    Reject(CallError),
}

/// The reply to a task, sent once the items of its round are chosen.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub task: Task,
    pub result: TaskResult,
}

/// The result that is reported to the caller of a task.
#[derive(Debug)]
pub(crate) enum TaskResult {
    /// For a call of an operator: the body of the acknowledgement, or the reason why there is none.
    Operator(Result<String, CallError>),
    /// The reply to an application.
    Application(CoordinationReply),
    /// Nothing yet: the application waits for a change of a group of cells.
    AwaitsChange,
}

impl Task {
    pub fn new(operation: Operation, deadline: Timestamp) -> Task {
        Task {
            operation,
            deadline,
            contact_check: None,
            proposed: false,
        }
    }

    /// Whether it changes the roster, which only the replica itself requests.
    pub fn changes_roster(&self) -> bool {
        matches!(self.operation, Operation::ChangeRoster { .. })
    }

    /// Whether it is an operation of an application.
    pub fn is_coordination(&self) -> bool {
        matches!(self.operation, Operation::Coordinate { .. })
    }

    /// Whether the operation of an application may have taken effect, or may still.
    pub fn possible_effect(&self) -> PossibleEffect {
        if self.proposed {
            PossibleEffect::Unknown
        } else {
            PossibleEffect::None
        }
    }

    /// Whether it replaces the roster of this version.
    pub fn replaces_roster(&self, replaced: Version) -> bool {
        matches!(self.operation, Operation::ChangeRoster { version, .. } if version == replaced)
    }
}

impl Operation {
    /// The call to reply to; `None` for an operation that the replica itself requested.
    pub fn call_id(&self) -> Option<CallId> {
        match self {
            Operation::Patch { call_id, .. }
            | Operation::Get { call_id }
            | Operation::Evacuate { call_id, .. }
            | Operation::Coordinate { call_id, .. } => Some(*call_id),
            Operation::ChangeRoster { .. } => None,
        }
    }

    /// Evaluates the operation on top of a configuration.
    pub fn evaluate(&self, configuration: &Configuration, guards: &Guards) -> Verdict {
        match self {
            Operation::Get { .. } => Verdict::Complete(export_json(configuration)),
            Operation::Patch { patch, .. } => evaluate_patch(patch, configuration, guards),
            Operation::Evacuate {
                zone,
                change,
                precondition,
                ..
            } => {
                let precondition = guards.evacuation_precondition.then_some(*precondition);
                evaluate_evacuation(zone, *change, precondition, configuration)
            }
            Operation::ChangeRoster { version, voters } => {
                evaluate_roster_change(*version, voters, configuration)
            }
            // Evaluated on registers; see `replica/coordination.rs`.
            Operation::Coordinate { .. } => Verdict::Complete(String::new()),
        }
    }

    /// For tests with [`Guards::atomic_calls`] off: the items of a patch that would be valid each alone.
    pub fn items_valid_alone(&self, configuration: &Configuration) -> Vec<Item> {
        let Operation::Patch { patch, .. } = self else {
            return Vec::new();
        };
        let patches = patch.items.iter().map(|item| Patch {
            items: vec![item.clone()],
        });
        patches
            .filter(|patch| matches!(validate(configuration, patch), PatchOutcome::Apply(_)))
            .flat_map(|patch| patch.items)
            .collect()
    }
}

fn evaluate_patch(patch: &Patch, configuration: &Configuration, guards: &Guards) -> Verdict {
    match validate_for_commit(configuration, patch, &guards.retention) {
        PatchOutcome::Apply(items) => match guards.filter_proposal(items) {
            items if items.is_empty() => Verdict::Complete(String::new()),
            items => Verdict::Propose(items),
        },
        PatchOutcome::Duplicate => Verdict::Complete(String::new()),
        PatchOutcome::Conflict(error) => Verdict::Reject(CallError::Conflict(error)),
        PatchOutcome::Indeterminate(error) => Verdict::Reject(CallError::Indeterminate(error)),
        PatchOutcome::Invalid(error) => Verdict::Reject(CallError::Invalid(error)),
        PatchOutcome::TooLarge(error) => Verdict::Reject(CallError::TooLarge(error)),
    }
}

/// Evaluates a change of a zone's evacuation. Every change gets a version of its own, even if it leaves the zone as it
/// was, so that the preconditions of all calls sent before it no longer hold. Only a call that finds exactly its own
/// effect, chosen by an earlier round or an earlier attempt, is acknowledged without another version.
fn evaluate_evacuation(
    zone: &str,
    change: EvacuationChange,
    precondition: Option<Version>,
    configuration: &Configuration,
) -> Verdict {
    let key = ItemKey {
        kind: ItemKind::Evacuation,
        name: zone.into(),
    };
    let body = match change {
        EvacuationChange::Begin => Some("{}".into()),
        EvacuationChange::End => None,
    };
    let known = configuration.get(&key);
    let chosen = known.map_or(Version::NEVER_SET, |item| item.version);
    let precondition = precondition.unwrap_or(chosen);
    if precondition == chosen {
        let version = chosen.next();
        return Verdict::Propose(vec![Item { key, version, body }]);
    }
    let is_already_applied =
        precondition.next() == chosen && known.is_some_and(|item| item.body == body);
    if is_already_applied {
        Verdict::Complete(String::new())
    } else {
        Verdict::Reject(CallError::EvacuationChanged)
    }
}

fn evaluate_roster_change(
    version: Version,
    new_voters: &[Ipv4Addr],
    configuration: &Configuration,
) -> Verdict {
    match configuration.get(&roster_key()) {
        Some(roster) if roster.version == version && voters(roster) != new_voters => {
            Verdict::Propose(vec![roster_item(version.next(), new_voters)])
        }
        _ => Verdict::Complete(String::new()),
    }
}
