//! A model of the protocol for `stateright`: rounds with ballots among voters whose roster changes, and of which some
//! lose their disks. It is an abstraction with types of its own, as replicas have clocks and queues whose states a
//! search need not distinguish. `docs/design/consensus.md` lists the functions that each action stands for.
//!
//! The network is a set of messages that only grows: a message may be delivered late, twice, or never. Sets of machines
//! (voters, quorums, rosters) are bit masks by machine number.

mod led_rounds;

use led_rounds::{Leadership, NextBallotPromise};
use stateright::{Checker, HasDiscoveries, Model, Path, Property};

/// The greatest number of machines that a search needs: five voters whose roster does not change. The other searches
/// use four: three voters, and one that is to replace the last of them.
const NODES: usize = 5;
const PROPOSERS: u8 = 4;
pub const FIRST_WRITER: u8 = 0;
pub const SECOND_WRITER: u8 = 1;
/// The proposer of the change of the roster; its replica joins the roster.
pub const ROSTER_CHANGER: u8 = 2;
/// The proposer on any voter that lost its disk and catches up.
pub const RECOVERING: u8 = 3;

/// The first and the second roster.
const ROSTERS: [u8; 2] = [0b0111, 0b1011];
/// The only roster if there are five voters.
const FIVE_VOTERS: u8 = 0b11111;

/// A set of items, one bit for each. The first two items conflict: they are two contents of one version, or two changes
/// that are not valid together.
pub type Items = u8;
const FIRST: Items = 1;
const SECOND: Items = 2;
const ROSTER: Items = 4;

/// The counter times the number of proposers, plus the proposer's number; 0 for none. [`RegisterModel::order`] gives
/// each counter to one proposer only, as ballots with equal counters would add no other order of ballots.
pub type Ballot = u8;

/// A fault in the protocol, which the search has to detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutation {
    /// A voter that lost its disk votes before it has caught up.
    VoteBeforeCatchUp,
    /// A voter catches up by reading what other voters know, without their promises.
    CatchUpWithoutPromises,
    /// A promise counts although its voter has since lost its disk and caught up at a lower ballot.
    CountStalePromises,
    /// A voter that catches up does not adopt the incarnations that other voters know.
    ForgetIncarnations,
    /// Stale promises count, and only a voter's acceptance is restricted to the incarnation in which it promised.
    CheckIncarnationsOnAcceptOnly,
    /// A change of the roster needs a majority of the old roster only.
    OldMajorityAlone,
    /// A change of the roster does not transfer the chosen items.
    NoTransfer,
    /// Items that may be chosen are not proposed again.
    NoReproposal,
    /// Of several accepted proposals, the one with the highest ballot is not preferred.
    IgnoreBallotOrder,
    /// A voter forgets the ballot of its accepted proposal once it knows the items to be chosen.
    ForgetAcceptedBallot,
    /// A voter answers an accept before the proposal is on its disk.
    AnswerBeforeSync,
    /// A voter accepts ballots below the one that it promised.
    BreakPromises,
    /// A voter reports its promise of a leader's next ballot before that promise is on its disk.
    AnswerBeforePromiseSync,
    /// A leader's proposal does not carry the items of its last round.
    OmitLastItems,
    /// A leader's proposal does not carry the items of its last round once all voters have learned them, although
    /// voters write learned items without a sync.
    OmitLearnedItems,
    /// A promise of a leader's next ballot counts although its voter has since lost its disk.
    CountStaleNextPromises,
    /// A leader uses its next ballot with a new roster although the voters of the old one promised it.
    LeadAfterRosterChange,
    /// A leader changes the roster by its next ballot, without a joint round.
    LeadRosterChange,
}

/// The request of a round's caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The proposer's own item; a conflict is rejected.
    Write,
    /// Reads the chosen items; only in the rounds of a leader.
    Read,
    /// Changes the roster in a led round, only for [`Mutation::LeadRosterChange`]; other changes of the roster are
    /// proposed by [`ROSTER_CHANGER`].
    ChangeRoster,
}

/// The protocol or mutation to search, and the bounds of the search.
#[derive(Clone, Debug)]
pub struct RegisterModel {
    pub mutation: Option<Mutation>,
    /// Whether the conflicting items share a name and version, so that a chosen one covers the other.
    pub same_version: bool,
    /// The proposers that own the ballots, in ascending order of ballots. A proposer begins at most one round with each
    /// of its ballots.
    pub order: Vec<u8>,
    pub disk_losses: u8,
    /// Whether there are five voters, of which two may be without their disks at a time; otherwise there are three
    /// voters, of which one may be.
    pub five_voters: bool,
    pub power_losses: u8,
    /// How often a chosen item may be spread outside of rounds.
    pub spread_items: u8,
    /// The number of writers that lead: 0, 1 (the first) or 2.
    pub leaders: u8,
    /// Whether rounds that have no further effect are dropped, which reduces the number of states.
    pub reduced: bool,
    /// Whether further searches look for the shortest trace to a violation.
    pub shortest: bool,
}

impl Default for RegisterModel {
    fn default() -> RegisterModel {
        RegisterModel {
            mutation: None,
            same_version: true,
            order: vec![FIRST_WRITER, SECOND_WRITER, ROSTER_CHANGER, RECOVERING],
            disk_losses: 1,
            five_voters: false,
            power_losses: 0,
            spread_items: 0,
            leaders: 0,
            reduced: true,
            shortest: true,
        }
    }
}

/// The proposal that a voter accepted last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AcceptedProposal {
    pub ballot: Ballot,
    pub items: Items,
}

/// The state that a voter writes to its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    pub promised: Ballot,
    pub accepted: AcceptedProposal,
    pub chosen: Items,
    pub voting: bool,
    /// Its incarnation: the ballot of the round by which it caught up.
    pub incarnation: Ballot,
    /// For each voter, the highest ballot of a catch-up round that this voter has promised to it.
    pub latest_incarnations: [Ballot; NODES],
}

/// A voter: its state in memory, and the state that is synced to its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Node {
    pub memory: PersistedState,
    pub synced: PersistedState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Promise {
    pub incarnation: Ballot,
    pub latest_incarnations: [Ballot; NODES],
    pub accepted: AcceptedProposal,
    pub chosen: Items,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    pub chosen: Items,
    pub items: Items,
}

/// A round, and all messages that were sent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    pub ballot: Ballot,
    /// Whether it uses the second roster.
    pub uses_second_roster: bool,
    /// Whether it changes the first roster to the second.
    pub joint: bool,
    pub promises: [Option<Promise>; NODES],
    pub proposal: Option<Proposal>,
    /// The ballot that voters promise when they accept the proposal, or 0.
    pub next_ballot: Ballot,
    /// The promises of `next_ballot`.
    pub next_promises: [Option<NextBallotPromise>; NODES],
    /// Whether its phase 1 was part of the proposer's last round.
    pub is_led: bool,
    /// The chosen items that a leader evaluated the call on.
    pub known: Items,
    /// The incarnation in which each voter promised; only for [`Mutation::CheckIncarnationsOnAcceptOnly`].
    pub promising_incarnations: [Option<Ballot>; NODES],
    /// The set of voters that accepted the proposal.
    pub accepted_by: u8,
    /// The reply to its caller once the proposal is chosen.
    pub outcome: Reply,
    /// The items that were acknowledged before it began.
    pub acknowledged_before: Items,
    /// The replica on which its proposer runs.
    pub replica: u8,
    /// Whether its proposer has abandoned or completed it, or crashed.
    pub is_over: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Reply {
    #[default]
    Nothing,
    Acknowledged,
    Rejected,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proposer {
    pub rounds: u8,
    /// Whether it saw an accepted change of the roster, so that its next round is joint.
    pub saw_roster_change: bool,
    /// Whether its caller has a reply and makes no other call.
    pub done: bool,
    /// Only for a leader: whether its write was answered; it goes on with reads.
    pub has_replied: bool,
    /// The state that a leader keeps from its last round.
    pub leadership: Option<Leadership>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub nodes: [Node; NODES],
    pub proposers: [Proposer; 4],
    /// Sorted by ballot.
    pub rounds: Vec<Round>,
    /// The set of voters that lost their disks and have not caught up.
    pub without_disk: u8,
    pub disk_losses: u8,
    pub power_losses: u8,
    pub items_spread: u8,
    /// The items whose calls were acknowledged.
    pub acknowledged: Items,
    /// Whether a call was rejected as a conflict.
    pub rejected: bool,
    /// The items that a quorum has accepted.
    pub chosen: Items,
    pub caught_up: bool,
    /// Whether a round read a state without an item that was acknowledged before the round began.
    pub read_is_stale: bool,
    /// Whether the proposal of a round without a phase 1 of its own was chosen.
    pub led: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A proposer begins a round, which ends its earlier one. A crash is modelled as a proposer that takes no further
    /// action.
    Begin {
        ballot: Ballot,
        replica: u8,
        uses_second_roster: bool,
        joint: bool,
    },
    /// A voter receives a prepare; its promise is synced before it is sent.
    Prepare { ballot: Ballot, voter: u8 },
    /// The proposer has promises of this quorum, and proposes.
    Propose {
        ballot: Ballot,
        quorum: u8,
        call: Call,
    },
    /// A leader begins its next round, which needs no phase 1 of its own, and proposes.
    Lead { ballot: Ballot, call: Call },
    /// A voter receives a proposal; it is synced before the answer is sent.
    Accept { ballot: Ballot, voter: u8 },
    /// The proposer has received the acceptances of a quorum.
    Finish { ballot: Ballot },
    /// A voter learns outside of rounds that an item is chosen, and writes it without a sync.
    Spread { voter: u8, item: Items },
    /// A voter loses its disk, and its process is restarted without it.
    LoseDisk { voter: u8 },
    /// One machine loses its power, or all do.
    PowerLoss { voters: u8 },
}

/// The number of the proposer that owns a ballot.
fn proposer(ballot: Ballot) -> u8 {
    ballot % PROPOSERS
}

/// Whether these voters are a majority of a roster.
fn is_majority(voters: u8, roster: u8) -> bool {
    2 * (voters & roster).count_ones() > roster.count_ones()
}

impl RegisterModel {
    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// The ballot of a proposer's next round, after it has begun `rounds` rounds; `None` if it owns no further ballot.
    fn ballot(&self, number: u8, rounds: u8) -> Option<Ballot> {
        let mut ballots = (1..)
            .zip(&self.order)
            .filter(|(_, owner)| **owner == number);
        ballots
            .nth(usize::from(rounds))
            .map(|(counter, _)| counter * PROPOSERS + number)
    }

    /// The items that the chosen ones cover: themselves, and another content of the same version.
    fn covered(&self, chosen: Items) -> Items {
        match self.same_version && chosen & (FIRST | SECOND) != 0 {
            true => chosen | FIRST | SECOND,
            false => chosen,
        }
    }

    /// Learns chosen items, and clears the accepted items once all are known to be chosen.
    fn learn(&self, disk: &mut PersistedState, items: Items) {
        disk.chosen |= items & !self.covered(disk.chosen);
        if disk.accepted.items & !self.covered(disk.chosen) == 0 {
            disk.accepted.items = 0;
            if self.has(Mutation::ForgetAcceptedBallot) {
                disk.accepted.ballot = 0;
            }
        }
    }

    /// The replicas on which a proposer may run.
    fn replicas(&self, state: &State, number: u8) -> Vec<u8> {
        match number {
            RECOVERING => (0..NODES as u8)
                .filter(|voter| state.without_disk & 1 << voter != 0)
                .collect(),
            ROSTER_CHANGER => vec![3],
            writer => vec![writer],
        }
    }

    fn roster(&self, uses_second_roster: bool) -> u8 {
        if self.five_voters {
            FIVE_VOTERS
        } else {
            ROSTERS[usize::from(uses_second_roster)]
        }
    }

    /// The voters that receive the messages of a round.
    fn targets(&self, round: &Round) -> u8 {
        if round.joint {
            ROSTERS[0] | ROSTERS[1]
        } else {
            self.roster(round.uses_second_roster)
        }
    }

    /// How many disks may be lost at once.
    fn tolerated(&self) -> u32 {
        if self.five_voters {
            2
        } else {
            1
        }
    }

    /// Whether these voters, without the excluded one, are a quorum for a round.
    fn has_quorum(&self, round: &Round, voters: u8, excluded_voter: Option<usize>) -> bool {
        let has_majority = |roster: u8| {
            // A replica that lost its disk does not count itself in the quorum.
            let others = excluded_voter.map_or(roster, |excluded| roster & !(1 << excluded));
            is_majority(voters & others, roster)
        };
        let has_current = has_majority(self.roster(round.uses_second_roster));
        has_current && (!round.joint || has_majority(ROSTERS[1]))
    }

    fn begin(
        &self,
        state: &mut State,
        ballot: Ballot,
        replica: u8,
        uses_second_roster: bool,
        joint: bool,
    ) {
        let number = usize::from(proposer(ballot));
        let owner = &mut state.proposers[number];
        (owner.rounds, owner.saw_roster_change) = (owner.rounds + 1, false);
        owner.leadership = None;
        if uses_second_roster {
            self.learn(&mut state.nodes[usize::from(replica)].memory, ROSTER);
        }
        let is_earlier_round = |round: &&mut Round| {
            proposer(round.ballot) == proposer(ballot) && round.replica == replica
        };
        state
            .rounds
            .iter_mut()
            .filter(is_earlier_round)
            .for_each(|round| round.is_over = true);
        let acknowledged_before = state.acknowledged;
        state.rounds.push(Round {
            ballot,
            uses_second_roster,
            joint,
            promises: [None; NODES],
            proposal: None,
            next_ballot: 0,
            next_promises: [None; NODES],
            is_led: false,
            known: 0,
            promising_incarnations: [None; NODES],
            accepted_by: 0,
            outcome: Reply::Nothing,
            acknowledged_before,
            replica,
            is_over: false,
        });
    }

    fn prepare(&self, node: &mut Node, round: &Round) -> Promise {
        let ballot = round.ballot;
        let makes_promise =
            !(self.has(Mutation::CatchUpWithoutPromises) && proposer(ballot) == RECOVERING);
        if makes_promise {
            node.memory.promised = ballot;
            if proposer(ballot) == RECOVERING {
                node.memory.latest_incarnations[usize::from(round.replica)] = ballot;
            }
            node.synced = node.memory;
        }
        let PersistedState {
            incarnation,
            latest_incarnations,
            accepted,
            chosen,
            ..
        } = node.memory;
        Promise {
            incarnation,
            latest_incarnations,
            accepted,
            chosen,
        }
    }

    fn propose(&self, state: &mut State, nth: usize, quorum: u8, call: Call) {
        let round = state.rounds[nth];
        let replica = usize::from(round.replica);
        let number = proposer(round.ballot);
        let promises = || {
            (0..NODES)
                .filter(|voter| quorum & 1 << voter != 0)
                .filter_map(|voter| round.promises[voter])
        };
        let mut known = state.nodes[replica].memory;
        known.accepted = AcceptedProposal::default();
        promises().for_each(|promise| self.learn(&mut known, promise.chosen));
        let known = known.chosen;
        if known & ROSTER != 0 && !round.uses_second_roster {
            state.rounds[nth].is_over = true;
            return;
        }
        let rank = |accepted: &AcceptedProposal| match self.has(Mutation::IgnoreBallotOrder) {
            true => (accepted.items & SECOND, accepted.ballot),
            false => (accepted.ballot, 0),
        };
        let highest = promises()
            .map(|promise| promise.accepted)
            .max_by_key(rank)
            .unwrap_or_default();
        let possibly_chosen = match self.has(Mutation::NoReproposal) {
            true => 0,
            false => highest.items & !self.covered(known),
        };
        if possibly_chosen & ROSTER != 0 && !round.joint && !self.has(Mutation::OldMajorityAlone) {
            state.proposers[usize::from(number)].saw_roster_change = true;
            state.rounds[nth].is_over = true;
            return;
        }
        let mut configuration = PersistedState {
            chosen: known,
            ..PersistedState::default()
        };
        self.learn(&mut configuration, possibly_chosen);
        let configuration = configuration.chosen;
        // This is where the round reads: it must see everything that was acknowledged before it began.
        state.read_is_stale |= round.acknowledged_before & !configuration != 0;
        if number == RECOVERING {
            let accepted = AcceptedProposal {
                ballot: highest.ballot,
                items: possibly_chosen,
            };
            return self.finish_recovery(state, nth, quorum, known, accepted);
        }
        let round = &mut state.rounds[nth];
        let (wanted, other) = [(FIRST, SECOND), (SECOND, FIRST), (ROSTER, 0)][usize::from(number)];
        // A joint round of a writer only completes the roster change; the writer's own call waits for a later round.
        let waits = round.joint && number != ROSTER_CHANGER;
        let mut items = possibly_chosen;
        round.outcome = match () {
            () if waits || call == Call::Read => Reply::Nothing,
            () if configuration & wanted != 0 => Reply::Acknowledged,
            () if configuration & other != 0 => Reply::Rejected,
            () => {
                items |= wanted;
                Reply::Acknowledged
            }
        };
        if items == 0 && !self.leads(number) {
            return self.reply(state, nth);
        }
        let missing = promises().fold(0, |missing, promise| {
            missing | (known & !self.covered(promise.chosen))
        });
        let chosen = match round.joint {
            true if self.has(Mutation::NoTransfer) => 0,
            true => known,
            false => missing,
        };
        round.proposal = Some(Proposal { chosen, items });
        if self.has(Mutation::CheckIncarnationsOnAcceptOnly) {
            for voter in (0..NODES).filter(|voter| quorum & 1 << voter != 0) {
                round.promising_incarnations[voter] =
                    round.promises[voter].map(|promise| promise.incarnation);
            }
        }
        round.promises = [None; NODES];
        round.known = if self.leads(number) { configuration } else { 0 };
        if !round.joint {
            self.reserve_next_ballot(state, nth);
        }
    }

    /// A voter that lost its disk has caught up by a round, and votes again.
    fn finish_recovery(
        &self,
        state: &mut State,
        nth: usize,
        quorum: u8,
        chosen: Items,
        accepted: AcceptedProposal,
    ) {
        let round = &mut state.rounds[nth];
        let replica = usize::from(round.replica);
        let node = &mut state.nodes[replica];
        node.memory.promised = node.memory.promised.max(round.ballot);
        node.memory.accepted = accepted;
        self.learn(&mut node.memory, chosen);
        (node.memory.voting, node.memory.incarnation) = (true, round.ballot);
        if !self.has(Mutation::ForgetIncarnations) {
            node.memory.latest_incarnations = RegisterModel::latest_incarnations(round, quorum);
        }
        node.synced = node.memory;
        state.without_disk &= !(1 << replica);
        (round.is_over, state.caught_up) = (true, true);
    }

    /// The latest incarnation of each voter that the promises of this quorum report.
    fn latest_incarnations(round: &Round, quorum: u8) -> [Ballot; NODES] {
        let promises = (0..NODES)
            .filter(|voter| quorum & 1 << voter != 0)
            .filter_map(|voter| round.promises[voter]);
        promises.fold([0; NODES], |latest_incarnations, promise| {
            std::array::from_fn(|voter| {
                latest_incarnations[voter].max(promise.latest_incarnations[voter])
            })
        })
    }

    /// Whether none of these promises is stale. A promise is stale if its voter has since lost its disk, and has caught
    /// up before one of the other voters promised.
    fn are_promises_valid(&self, round: &Round, quorum: u8) -> bool {
        let latest_incarnations = RegisterModel::latest_incarnations(round, quorum);
        let is_promise_valid = |voter: usize| {
            round.promises[voter]
                .is_none_or(|promise| promise.incarnation >= latest_incarnations[voter])
        };
        let unchecked = self.has(Mutation::CountStalePromises)
            || self.has(Mutation::CheckIncarnationsOnAcceptOnly);
        unchecked
            || (0..NODES)
                .filter(|voter| quorum & 1 << voter != 0)
                .all(is_promise_valid)
    }

    /// Whether a voter accepts the proposal when it receives it.
    fn accepts(&self, round: &Round, voter: usize, node: &Node) -> bool {
        let is_repeated = node.memory.accepted.ballot == round.ballot
            && node.memory.promised == round.next_ballot;
        let rejects = round.ballot < node.memory.promised
            && !is_repeated
            && !self.has(Mutation::BreakPromises);
        let has_other_incarnation = self.has(Mutation::CheckIncarnationsOnAcceptOnly)
            && round.promising_incarnations[voter] != Some(node.memory.incarnation);
        node.memory.voting && !rejects && !has_other_incarnation
    }

    /// Completes a round: its proposer replies to its caller.
    fn reply(&self, state: &mut State, nth: usize) {
        let round = &mut state.rounds[nth];
        round.is_over = true;
        let number = usize::from(proposer(round.ballot));
        if round.outcome == Reply::Nothing {
            return;
        }
        if self.leads(number as u8) {
            state.proposers[number].has_replied = true;
        } else {
            state.proposers[number].done = true;
        }
        let acknowledged = round.outcome == Reply::Acknowledged;
        state.rejected |= !acknowledged;
        state.acknowledged |=
            [(FIRST, SECOND), (SECOND, FIRST), (ROSTER, 0)][number].pick(acknowledged);
    }

    fn accept(&self, state: &mut State, nth: usize, voter: usize) {
        let round = &mut state.rounds[nth];
        let Some(proposal) = round.proposal else {
            return;
        };
        let node = &mut state.nodes[voter];
        let last_synced = node.synced;
        node.memory.promised = node
            .memory
            .promised
            .max(round.ballot)
            .max(round.next_ballot);
        node.memory.accepted = AcceptedProposal {
            ballot: round.ballot,
            items: proposal.items,
        };
        let roster = if round.uses_second_roster { ROSTER } else { 0 };
        self.learn(&mut node.memory, proposal.chosen | roster);
        if !self.has(Mutation::AnswerBeforeSync) {
            node.synced = node.memory;
        }
        if self.has(Mutation::AnswerBeforePromiseSync) {
            node.synced.promised = last_synced.promised.max(round.ballot);
        }
        round.next_promises[voter] = (round.next_ballot != 0).then_some(NextBallotPromise {
            incarnation: node.memory.incarnation,
            latest_incarnations: node.memory.latest_incarnations,
        });
        round.accepted_by |= 1 << voter;
        if self.has_quorum(round, round.accepted_by, None) {
            state.chosen |= proposal.items;
        }
    }

    /// Drops state that has no further effect, which reduces the number of states.
    fn reduce(&self, state: &mut State) {
        let State {
            nodes, disk_losses, ..
        } = *state;
        let may_reduce = self.mutation.is_none() && self.reduced;
        let rejects = |voter: usize, round: &Round| nodes[voter].synced.promised > round.ballot;
        let is_rejected = |round: &Round| {
            let mut voters = (0..NODES).filter(|voter| self.targets(round) & 1 << voter != 0);
            may_reduce && voters.all(|voter| rejects(voter, round))
        };
        let cannot_promise = |round: &Round| {
            let can_promise =
                |voter: &usize| round.promises[*voter].is_some() || !rejects(*voter, round);
            let candidates = (0..NODES)
                .filter(can_promise)
                .fold(0, |candidates, voter| candidates | 1 << voter);
            may_reduce
                && disk_losses == self.disk_losses
                && !self.has_quorum(round, candidates, None)
        };
        state.rounds.retain(|round| match round.proposal {
            Some(_) => !round.is_over || !is_rejected(round),
            None => !round.is_over && !cannot_promise(round),
        });
        for (number, proposer) in (0..).zip(&mut state.proposers) {
            let Proposer {
                leadership,
                has_replied,
                ..
            } = *proposer;
            let leadership = leadership.filter(|leadership| {
                let mut voters = (0..NODES)
                    .filter(|voter| self.roster(leadership.uses_second_roster) & 1 << voter != 0);
                !may_reduce || voters.any(|voter| nodes[voter].synced.promised <= leadership.ballot)
            });
            proposer.leadership = leadership;
            if proposer.done || self.ballot(number, proposer.rounds).is_none() {
                *proposer = Proposer {
                    done: true,
                    has_replied,
                    leadership,
                    ..Proposer::default()
                };
            }
        }
        for round in &mut state.rounds {
            if round.is_over {
                (round.promises, round.acknowledged_before) = ([None; NODES], 0);
                (round.replica, round.outcome) = (0, Reply::Nothing);
                (round.next_promises, round.is_led, round.known) = ([None; NODES], false, 0);
                if self.has_quorum(round, round.accepted_by, None) {
                    round.accepted_by = self.targets(round);
                }
            }
        }
        state.rounds.sort_unstable_by_key(|round| round.ballot);
    }
}

/// Whether one of the two writers' items is acknowledged.
fn has_acknowledged_write(state: &State) -> bool {
    state.acknowledged & (FIRST | SECOND) != 0
}

/// Selects one item of a pair: the first if the condition holds, else the second.
trait Pick {
    fn pick(self, first: bool) -> Items;
}

impl Pick for (Items, Items) {
    fn pick(self, first: bool) -> Items {
        if first {
            self.0
        } else {
            self.1
        }
    }
}

impl RegisterModel {
    /// The rounds that proposers may begin.
    fn begin_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (number, owner) in (0..PROPOSERS).zip(&state.proposers) {
            let Some(ballot) = self.ballot(number, owner.rounds).filter(|_| !owner.done) else {
                continue;
            };
            for replica in self.replicas(state, number) {
                let knows_second_roster =
                    state.nodes[usize::from(replica)].memory.chosen & ROSTER != 0;
                let is_known_anywhere = state
                    .nodes
                    .iter()
                    .any(|node| node.memory.chosen & ROSTER != 0);
                // Any replica may have learned a new roster, and a replica without a disk may also have learned the old
                // one.
                let rosters: &[bool] = match is_known_anywhere {
                    true if knows_second_roster => &[true],
                    true => &[false, true],
                    false => &[false],
                };
                for uses_second_roster in rosters.iter().copied() {
                    let joint = !uses_second_roster
                        && (owner.saw_roster_change || number == ROSTER_CHANGER)
                        && !self.has(Mutation::OldMajorityAlone);
                    actions.push(Action::Begin {
                        ballot,
                        replica,
                        uses_second_roster,
                        joint,
                    });
                }
            }
        }
    }

    /// The actions of voters on the messages of a round.
    fn voter_actions(&self, state: &State, round: &Round, actions: &mut Vec<Action>) {
        let ballot = round.ballot;
        let targets = (0..NODES as u8).filter(|voter| self.targets(round) & 1 << voter != 0);
        let is_roster_current =
            |node: &Node| round.uses_second_roster || node.memory.chosen & ROSTER == 0;
        for voter in targets {
            let node = &state.nodes[usize::from(voter)];
            if !node.memory.voting || !is_roster_current(node) {
                continue;
            }
            let keeps_promises = !self.has(Mutation::BreakPromises);
            let has_promised = keeps_promises && ballot <= node.memory.promised;
            let is_unanswered = round.promises[usize::from(voter)]
                .is_none_or(|promise| promise.incarnation != node.memory.incarnation);
            if !round.is_over && round.proposal.is_none() && !has_promised && is_unanswered {
                actions.push(Action::Prepare { ballot, voter });
            }
            if round.proposal.is_some() && self.accepts(round, usize::from(voter), node) {
                actions.push(Action::Accept { ballot, voter });
            }
        }
    }

    /// The actions of a round's proposer on the answers.
    fn proposer_actions(&self, state: &State, round: &Round, actions: &mut Vec<Action>) {
        let ballot = round.ballot;
        if round.is_over {
            return;
        }
        if round.proposal.is_some() {
            if self.has_quorum(round, round.accepted_by, None) {
                actions.push(Action::Finish { ballot });
            }
            return;
        }
        let promising = (0..NODES)
            .filter(|voter| round.promises[*voter].is_some())
            .fold(0, |promising, voter| promising | 1 << voter);
        let excluded = (proposer(ballot) == RECOVERING).then_some(usize::from(round.replica));
        for quorum in (1..1u8 << NODES).filter(|quorum| quorum & !promising == 0) {
            let is_needed = |voter: usize| {
                quorum & 1 << voter != 0
                    && !self.has_quorum(round, quorum & !(1 << voter), excluded)
            };
            if self.are_promises_valid(round, quorum)
                && self.has_quorum(round, quorum, excluded)
                && (0..NODES).any(is_needed)
            {
                let calls = self.calls(state, proposer(ballot)).into_iter();
                actions.extend(calls.map(|call| Action::Propose {
                    ballot,
                    quorum,
                    call,
                }));
            }
        }
    }

    /// The chosen items that voters may learn outside of rounds.
    fn spread_actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.items_spread >= self.spread_items {
            return;
        }
        for (voter, node) in (0..).zip(&state.nodes) {
            for item in [FIRST, SECOND, ROSTER] {
                let known = state
                    .nodes
                    .iter()
                    .any(|other| other.memory.chosen & item != 0);
                if known && self.covered(node.memory.chosen) & item == 0 {
                    actions.push(Action::Spread { voter, item });
                }
            }
        }
    }

    /// The losses of disks and power that may happen.
    fn fault_actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.disk_losses < self.disk_losses
            && state.without_disk.count_ones() < self.tolerated()
        {
            let machines = if self.five_voters {
                FIVE_VOTERS
            } else {
                ROSTERS[0] | ROSTERS[1]
            };
            let with_disk =
                (0..NODES as u8).filter(|voter| machines & !state.without_disk & 1 << voter != 0);
            actions.extend(with_disk.map(|voter| Action::LoseDisk { voter }));
        }
        if state.power_losses < self.power_losses {
            let unsynced = (0..NODES as u8).filter(|voter| {
                let node = &state.nodes[usize::from(*voter)];
                node.memory != node.synced
            });
            let all = unsynced.clone().fold(0u8, |all, voter| all | 1 << voter);
            actions.extend(unsynced.map(|voter| Action::PowerLoss { voters: 1 << voter }));
            if all.count_ones() > 1 {
                actions.push(Action::PowerLoss { voters: all });
            }
        }
    }
}

impl Model for RegisterModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let disk = PersistedState {
            voting: true,
            ..PersistedState::default()
        };
        vec![State {
            nodes: [Node {
                memory: disk,
                synced: disk,
            }; NODES],
            proposers: Default::default(),
            rounds: Vec::new(),
            without_disk: 0,
            disk_losses: 0,
            power_losses: 0,
            items_spread: 0,
            acknowledged: 0,
            rejected: false,
            chosen: 0,
            caught_up: false,
            read_is_stale: false,
            led: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.read_is_stale {
            return;
        }
        self.begin_actions(state, actions);
        for round in &state.rounds {
            self.voter_actions(state, round, actions);
            self.proposer_actions(state, round, actions);
        }
        self.lead_actions(state, actions);
        self.spread_actions(state, actions);
        self.fault_actions(state, actions);
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let nth = |ballot: Ballot| last.rounds.iter().position(|round| round.ballot == ballot);
        match action {
            Action::Begin {
                ballot,
                replica,
                uses_second_roster,
                joint,
            } => self.begin(&mut state, ballot, replica, uses_second_roster, joint),
            Action::Prepare { ballot, voter } => {
                let nth = nth(ballot)?;
                let node = &mut state.nodes[usize::from(voter)];
                if state.rounds[nth].uses_second_roster {
                    self.learn(&mut node.memory, ROSTER);
                }
                let promise = self.prepare(node, &last.rounds[nth]);
                state.rounds[nth].promises[usize::from(voter)] = Some(promise);
            }
            Action::Propose {
                ballot,
                quorum,
                call,
            } => self.propose(&mut state, nth(ballot)?, quorum, call),
            Action::Lead { ballot, call } => self.lead(&mut state, ballot, call),
            Action::Accept { ballot, voter } => {
                self.accept(&mut state, nth(ballot)?, usize::from(voter));
            }
            Action::Finish { ballot } => {
                let nth = nth(ballot)?;
                let replica = usize::from(state.rounds[nth].replica);
                let items = state.rounds[nth].proposal?.items;
                self.learn(&mut state.nodes[replica].memory, items);
                self.finish_led(&mut state, nth, items);
                self.reply(&mut state, nth);
            }
            Action::Spread { voter, item } => {
                state.items_spread += 1;
                self.learn(&mut state.nodes[usize::from(voter)].memory, item);
            }
            Action::LoseDisk { voter } => {
                state.disk_losses += 1;
                state.without_disk |= 1 << voter;
                let disk = PersistedState {
                    voting: self.has(Mutation::VoteBeforeCatchUp),
                    ..PersistedState::default()
                };
                let node = &mut state.nodes[usize::from(voter)];
                *node = Node {
                    memory: disk,
                    synced: disk,
                };
                // The proposer on this replica crashes with it.
                state
                    .rounds
                    .iter_mut()
                    .for_each(|round| round.is_over |= round.replica == voter);
                self.end_leaderships(&mut state, 1 << voter);
            }
            Action::PowerLoss { voters } => {
                state.power_losses += 1;
                for (voter, node) in state.nodes.iter_mut().enumerate() {
                    if voters & 1 << voter != 0 {
                        node.memory = node.synced;
                    }
                }
                state.rounds.iter_mut().for_each(|round| {
                    round.is_over |= voters & 1 << round.replica != 0;
                });
                self.end_leaderships(&mut state, voters);
            }
        }
        self.reduce(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<RegisterModel>> {
        let mut all = vec![
            Property::always(NO_STALE_READ, |_, state: &State| !state.read_is_stale),
            Property::always(NO_CONFLICT_CHOSEN, |_, state: &State| {
                state.chosen & (FIRST | SECOND) != FIRST | SECOND
            }),
        ];
        if self.mutation.is_none() && self.leaders > 0 {
            all.push(Property::sometimes(LED_ROUND_CHOSEN, |_, state: &State| {
                state.led
            }));
        }
        if self.mutation.is_none() {
            all.extend([
                Property::sometimes(ACKNOWLEDGED, |_, state: &State| {
                    has_acknowledged_write(state)
                }),
                Property::sometimes(REJECTED, |_, state: &State| state.rejected),
                Property::sometimes(CAUGHT_UP, |_, state: &State| state.caught_up),
                Property::sometimes(ROSTER_CHANGED, |_, state: &State| {
                    state.acknowledged & ROSTER != 0
                }),
                Property::sometimes(ALL_IN_ONE_RUN, |_, state: &State| {
                    state.caught_up
                        && state.acknowledged & ROSTER != 0
                        && has_acknowledged_write(state)
                }),
            ]);
        }
        all
    }
}

pub const ACKNOWLEDGED: &str = "a write is acknowledged";
pub const REJECTED: &str = "a conflict is rejected";
pub const CAUGHT_UP: &str = "a voter without a disk catches up";
pub const ROSTER_CHANGED: &str = "the roster is changed";
pub const ALL_IN_ONE_RUN: &str = "a write, a recovery and a change of the roster in one run";
pub const LED_ROUND_CHOSEN: &str = "a round without a phase 1 of its own is chosen";
pub const NO_STALE_READ: &str = "a read sees everything acknowledged before it";
pub const NO_CONFLICT_CHOSEN: &str = "of two items that conflict one at most is chosen";

/// The result of a search.
pub struct SearchResult {
    /// How many distinct states were searched.
    pub states: usize,
    /// Whether all states within the bounds were searched.
    pub complete: bool,
    /// The length of the longest path that was searched.
    pub depth: usize,
    /// The violated properties, each with a trace to its violation.
    pub violated: Vec<(&'static str, Vec<Action>)>,
    /// The properties of the `sometimes` kind that were reached.
    pub reached: Vec<&'static str>,
}

/// Searches breadth first, and returns a shortest trace to each violation.
#[allow(dead_code, reason = "examples/search_model.rs uses only search_up_to")]
pub fn search(model: RegisterModel, threads: usize) -> SearchResult {
    search_up_to(model, threads, usize::MAX)
}

/// Like [`search`], up to about `max_states` states.
pub fn search_up_to(model: RegisterModel, threads: usize, max_states: usize) -> SearchResult {
    let mut result = search_once(model.clone(), threads, None, max_states);
    // Among states of nearly the same depth the checker keeps the one that it saw last, so the first trace need not be
    // a shortest one.
    while let Some(steps) = result.violated.iter().map(|(_, trace)| trace.len()).min() {
        if !model.shortest {
            break;
        }
        let shorter = search_once(model.clone(), threads, Some(steps), max_states);
        if !shorter
            .violated
            .iter()
            .any(|(_, trace)| trace.len() < steps)
        {
            break;
        }
        result.violated = shorter.violated;
    }
    result
}

/// Runs the checker once, up to about `max_states` states, and only on traces of fewer than `steps` steps if that is
/// given.
fn search_once(
    model: RegisterModel,
    threads: usize,
    steps: Option<usize>,
    max_states: usize,
) -> SearchResult {
    let checker = model
        .checker()
        .threads(threads)
        .target_state_count(max_states)
        .finish_when(HasDiscoveries::AnyFailures);
    let checker = match steps {
        // The first state has a depth of one.
        Some(steps) => checker.target_max_depth(steps + 1),
        None => checker,
    };
    let checker = checker.spawn_bfs().join();
    let discoveries = checker.discoveries();
    let trace = |name: &'static str| {
        discoveries
            .get(name)
            .cloned()
            .map(|path: Path<_, _>| path.into_actions())
    };
    let violated = [NO_STALE_READ, NO_CONFLICT_CHOSEN]
        .into_iter()
        .filter_map(|name| trace(name).map(|trace| (name, trace)))
        .collect();
    let sometimes = checker.model().properties();
    let sometimes = sometimes
        .iter()
        .map(|property| property.name)
        .filter(|name| ![NO_STALE_READ, NO_CONFLICT_CHOSEN].contains(name));
    SearchResult {
        states: checker.unique_state_count(),
        complete: checker.state_count() < max_states,
        depth: checker.max_depth(),
        violated,
        reached: sometimes
            .filter(|name| discoveries.contains_key(name))
            .collect(),
    }
}
