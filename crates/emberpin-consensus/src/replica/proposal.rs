//! The step between the two phases of a round: finds the items that may already be chosen, evaluates the tasks on top
//! of them, and makes the proposal.

use super::register_view::ProposedItems;
use super::{Action, Replica};
use crate::ballot::AcceptedProposal;
use crate::error::CallError;
use crate::incarnation::Incarnation;
use crate::roster::{roster_item, roster_key};
use crate::round::{Proposal, Round};
use crate::task::{Operation, Outcome, Task, TaskResult, Verdict};
use emberpin_config::Item;
use std::borrow::Cow;

impl Replica {
    /// Evaluates the tasks on top of all items that are or may be chosen, and proposes the resulting items.
    pub(super) fn propose(&mut self, actions: &mut Vec<Action>) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        let carried = self.possibly_chosen(&round);
        let roster_change = carried.iter().find(|item| item.key == roster_key());
        if roster_change.is_some()
            && roster_change != round.next_roster.as_ref()
            && self.guards().joint_quorums
        {
            // The voters that the change adds have to promise too, so the change is completed by a round with joint
            // quorums.
            self.next_roster = roster_change.cloned();
            self.round = Some(round);
            return self.end_round();
        }
        if round.recovers {
            return self.finish_recovery(&round, carried, actions);
        }
        let items = self.evaluate_tasks(&mut round, carried);
        if items.is_empty() && !round.needs_acceptance() {
            self.pacing.record_success();
            return self.complete(round.outcomes, actions);
        }
        let transferred = if round.is_led && self.guards().send_last_items {
            std::mem::take(&mut round.last_items)
        } else if round.is_led {
            Vec::new()
        } else if self.guards().transfer_missing_items {
            round.missing_items(self.state())
        } else {
            Vec::new()
        };
        if round.next_voters.is_empty() {
            round.next_ballot = self.reserve_next_ballot();
        }
        round.proposal = Some(Proposal { items, transferred });
        self.start_phase(round, actions);
    }

    /// The items accepted at the highest ballot that are not known to be chosen. They may be chosen, so they have to be
    /// proposed again.
    fn possibly_chosen(&self, round: &Round) -> Vec<Item> {
        if !self.guards().repropose_accepted {
            return Vec::new();
        }
        let accepted = round.highest_accepted.items.iter();
        accepted
            .filter(|item| !self.state().covers(item))
            .cloned()
            .collect()
    }

    /// Completes the catch-up of a replica that lost its disk: every proposal that it may have voted for before is
    /// known to one of the voters that promised. The replica adopts their state, and votes once that is synced.
    fn finish_recovery(&mut self, round: &Round, carried: Vec<Item>, actions: &mut Vec<Action>) {
        self.acceptor.promised = self.acceptor.promised.max(round.ballot);
        self.acceptor.incarnation = Incarnation(round.ballot);
        for promise in round.promises.values() {
            self.acceptor
                .latest_incarnations
                .merge(&promise.latest_incarnations);
        }
        self.acceptor.accepted = AcceptedProposal {
            ballot: round.highest_accepted.ballot,
            items: carried,
        };
        self.schedule_repair();
        self.acceptor.voting = true;
        self.pacing.record_success();
        self.persist_everything(actions);
    }

    /// Evaluates each task on top of the chosen items, the carried items (those of an earlier proposal that may be
    /// chosen) and the items of the tasks before it. Returns the items to propose, and stores the replies in the round.
    fn evaluate_tasks(&mut self, round: &mut Round, carried: Vec<Item>) -> Vec<Item> {
        let completes_roster_change = carried.iter().any(|item| item.key == roster_key());
        let mut configuration = match round.initial_state.take() {
            Some(initial_state) => Cow::Owned(initial_state),
            None => Cow::Borrowed(self.acceptor.state.configuration()),
        };
        for item in &carried {
            configuration.to_mut().merge(item.clone());
        }
        let mut registers = ProposedItems::new();
        if self.tasks.iter().any(Task::is_coordination) {
            registers.extend(carried.iter().map(|item| (item.key.clone(), item.clone())));
        }
        let mut items = carried;
        let mut tasks = std::mem::take(&mut self.tasks);
        while let Some(mut task) = tasks.pop_front() {
            if self.acceptor.guards.joint_quorums
                && is_deferred(&task, round, completes_roster_change)
            {
                self.tasks.push_back(task);
                continue;
            }
            if let Operation::Coordinate { operation, .. } = &task.operation {
                let (result, changes) = self.evaluate_operation(operation, &registers);
                task.proposed |= !changes.is_empty();
                registers.extend(changes.into_iter().map(|item| (item.key.clone(), item)));
                round.outcomes.push(Outcome { task, result });
                continue;
            }
            let verdict = task
                .operation
                .evaluate(&configuration, &self.acceptor.guards);
            let result = match verdict {
                Verdict::Propose(new_items) => {
                    // Merged only if another task follows: the first merge of a round copies the whole configuration.
                    if !tasks.is_empty() {
                        for item in &new_items {
                            configuration.to_mut().merge(item.clone());
                        }
                    }
                    items.extend(new_items);
                    task.proposed = true;
                    Ok(String::new())
                }
                Verdict::Complete(body) => Ok(body),
                // An earlier proposal of the task may be chosen in part, so the task must not be reported as rejected.
                Verdict::Reject(_) if task.proposed => Err(CallError::Undecided),
                Verdict::Reject(error) => {
                    if !self.acceptor.guards.atomic_calls {
                        items.extend(task.operation.items_valid_alone(&configuration));
                    }
                    Err(error)
                }
            };
            let result = TaskResult::Operator(result);
            round.outcomes.push(Outcome { task, result });
        }
        items.retain(|item| !registers.contains_key(&item.key));
        items.extend(registers.into_values());
        items
    }
}

/// Whether a task is deferred to a later round: a change of the roster gets a round of its own, so that no other task
/// waits for it.
fn is_deferred(task: &Task, round: &Round, completes_roster_change: bool) -> bool {
    match &task.operation {
        Operation::ChangeRoster { version, voters } => {
            completes_roster_change
                || round.next_roster != Some(roster_item(version.next(), voters))
        }
        _ => round.next_roster.is_some(),
    }
}
