//! Led rounds in the model: a voter that accepts a leader's proposal promises the leader's next ballot in the same
//! write, so that the leader's next round needs no phase 1 of its own.

use super::{
    proposer, Action, Ballot, Call, Items, Mutation, Proposal, RegisterModel, Reply, Round, State,
    FIRST, NODES, PROPOSERS, ROSTER, SECOND,
};

/// The promise of a leader's next ballot, which a voter reports when it accepts the leader's proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NextBallotPromise {
    pub incarnation: Ballot,
    pub latest_incarnations: [Ballot; NODES],
}

/// The state that a leader keeps from its last round, whose proposal is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Leadership {
    pub ballot: Ballot,
    pub uses_second_roster: bool,
    promises: [Option<NextBallotPromise>; NODES],
    /// All chosen items that it knows.
    known: Items,
    /// The chosen items of the last round.
    last_items: Items,
}

impl RegisterModel {
    /// Whether a proposer becomes the leader by its rounds.
    pub(super) fn leads(&self, number: u8) -> bool {
        number < self.leaders
    }

    /// The calls that a round of a proposer may serve.
    pub(super) fn calls(&self, state: &State, number: u8) -> Vec<Call> {
        match self.leads(number) {
            false => vec![Call::Write],
            true if state.proposers[usize::from(number)].has_replied => vec![Call::Read],
            true => vec![Call::Read, Call::Write],
        }
    }

    /// Reserves the ballot that voters promise when they accept the proposal of this round. Only a led round may use
    /// it.
    pub(super) fn reserve_next_ballot(&self, state: &mut State, nth: usize) {
        let round = &mut state.rounds[nth];
        let number = proposer(round.ballot);
        let owner = &mut state.proposers[usize::from(number)];
        let next = self.ballot(number, owner.rounds);
        if let Some(next_ballot) = next.filter(|_| self.leads(number) && !owner.done) {
            owner.rounds += 1;
            round.next_ballot = next_ballot;
        }
    }

    /// The rounds that leaders may begin without a phase 1.
    pub(super) fn lead_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (number, owner) in (0..PROPOSERS).zip(&state.proposers) {
            let Some(leadership) = owner.leadership else {
                continue;
            };
            let knows_second = state.nodes[usize::from(number)].memory.chosen & ROSTER != 0;
            let is_replaced = knows_second && !leadership.uses_second_roster;
            if is_replaced && !self.has(Mutation::LeadAfterRosterChange) {
                continue;
            }
            if !self.has_valid_quorum(&leadership) && !self.has(Mutation::CountStaleNextPromises) {
                continue;
            }
            let mut calls = self.calls(state, number);
            if self.has(Mutation::LeadRosterChange) && leadership.known & ROSTER == 0 {
                calls.push(Call::ChangeRoster);
            }
            let ballot = leadership.ballot;
            actions.extend(calls.into_iter().map(|call| Action::Lead { ballot, call }));
        }
    }

    /// Whether the voters whose promises are not stale include a quorum.
    fn has_valid_quorum(&self, leadership: &Leadership) -> bool {
        let roster = self.roster(leadership.uses_second_roster);
        let promising = (0..NODES)
            .filter(|voter| leadership.promises[*voter].is_some())
            .fold(0, |promising, voter| promising | 1 << voter);
        (1..1u8 << NODES)
            .filter(|quorum| quorum & !promising == 0)
            .any(|quorum| super::is_majority(quorum, roster) && are_valid(leadership, quorum))
    }

    /// A leader proposes at the ballot that voters promised when they accepted the proposal of its last round.
    pub(super) fn lead(&self, state: &mut State, ballot: Ballot, call: Call) {
        let number = proposer(ballot);
        let Some(leadership) = state.proposers[usize::from(number)].leadership.take() else {
            return;
        };
        let replica = &state.nodes[usize::from(number)];
        let known = leadership.known | (replica.memory.chosen & !self.covered(leadership.known));
        let (wanted, other) = match call {
            Call::ChangeRoster => (ROSTER, 0),
            _ if number == super::FIRST_WRITER => (FIRST, SECOND),
            _ => (SECOND, FIRST),
        };
        let (items, outcome) = match call {
            Call::Read => (0, Reply::Nothing),
            _ if known & wanted != 0 => (0, Reply::Acknowledged),
            _ if known & other != 0 => (0, Reply::Rejected),
            _ => (wanted, Reply::Acknowledged),
        };
        let roster = self.roster(leadership.uses_second_roster);
        let all_learned = (0..NODES)
            .filter(|voter| roster & 1 << voter != 0)
            .all(|voter| {
                leadership.last_items & !self.covered(state.nodes[voter].memory.chosen) == 0
            });
        let omits = self.has(Mutation::OmitLastItems)
            || (self.has(Mutation::OmitLearnedItems) && all_learned);
        let chosen = if omits { 0 } else { leadership.last_items };
        state.rounds.push(Round {
            ballot,
            uses_second_roster: leadership.uses_second_roster || known & ROSTER != 0,
            joint: false,
            promises: [None; NODES],
            proposal: Some(Proposal { chosen, items }),
            next_ballot: 0,
            next_promises: [None; NODES],
            is_led: true,
            known,
            promising_incarnations: [None; NODES],
            accepted_by: 0,
            outcome,
            acknowledged_before: state.acknowledged,
            replica: number,
            is_over: false,
        });
        let nth = state.rounds.len() - 1;
        self.reserve_next_ballot(state, nth);
    }

    /// The proposal of a round is chosen, and its proposer may lead from now on. Only now is a led round known to have
    /// read everything.
    pub(super) fn finish_led(&self, state: &mut State, nth: usize, items: Items) {
        let round = state.rounds[nth];
        let number = usize::from(proposer(round.ballot));
        if round.is_led {
            state.led = true;
            state.read_is_stale |= round.acknowledged_before & !round.known != 0;
        }
        if round.next_ballot != 0 {
            state.proposers[number].leadership = Some(Leadership {
                ballot: round.next_ballot,
                uses_second_roster: round.uses_second_roster,
                promises: round.next_promises,
                known: round.known | items,
                last_items: items,
            });
        }
        let changes_roster = round.is_led && items & ROSTER != 0;
        if changes_roster && round.outcome == Reply::Acknowledged {
            // The reply to the writer's own call is sent later.
            state.acknowledged |= ROSTER;
            state.rounds[nth].outcome = Reply::Nothing;
        }
    }

    /// Ends the leaderships of proposers on these replicas, which have lost their memory.
    pub(super) fn end_leaderships(&self, state: &mut State, replicas: u8) {
        for (number, proposer) in state.proposers.iter_mut().enumerate() {
            if replicas & 1 << number != 0 {
                proposer.leadership = None;
            }
        }
    }
}

/// Whether none of these voters' promises is stale: none of the others reports a later incarnation of its voter.
fn are_valid(leadership: &Leadership, quorum: u8) -> bool {
    let promises = || {
        (0..NODES)
            .filter(|voter| quorum & 1 << voter != 0)
            .filter_map(|voter| Some((voter, leadership.promises[voter]?)))
    };
    promises().all(|(voter, promise)| {
        promises().all(|(_, other)| other.latest_incarnations[voter] <= promise.incarnation)
    })
}
