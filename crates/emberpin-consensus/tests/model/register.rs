//! The register of custody as a model for `stateright`: rounds of ballots over voters whose roster changes
//! and of which some lose their disks. An abstraction with types of its own, as the core keeps clocks and queues
//! that a search need not tell apart; `docs/design/consensus.md` says which line of the core each action stands
//! for.
//!
//! The network is a set that only grows: what was sent may be delivered late, twice, or never.

use stateright::{Checker, HasDiscoveries, Model, Path, Property};

/// Three voters, and the one that is to replace the last of them; or five voters, whose roster stays.
const NODES: usize = 5;
const PROPOSERS: u8 = 4;
pub const FIRST_WRITER: u8 = 0;
pub const SECOND_WRITER: u8 = 1;
/// It is to join the roster.
pub const CHANGER: u8 = 2;
/// Any voter that lost its disk.
pub const RECOVERER: u8 = 3;

const ROSTERS: [u8; 2] = [0b0111, 0b1011];
const FIVE: u8 = 0b11111;

/// Items, as a set of bits. The first two conflict: one name and version with two contents, or two changes
/// that are not valid together.
pub type Items = u8;
const FIRST: Items = 1;
const SECOND: Items = 2;
const ROSTER: Items = 4;

/// The counter times the number of proposers, and the proposer's number; 0 for none. As only the order of
/// ballots matters, no two counters are the same.
pub type Ballot = u8;

/// Parts that a wrong build leaves out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wrong {
    /// A voter that lost its disk votes at once.
    Amnesia,
    /// A voter that lost its disk reads what the others hold, but asks for no promise.
    StaleCatchUp,
    /// A promise counts also if its voter lost its disk since, and caught up at a lower ballot.
    DeadPromise,
    /// A voter that catches up doesn't ask the others who caught up before.
    ForgottenRenewals,
    /// Instead of promises, accepts are fenced: a voter accepts only as the incarnation that promised.
    FencedAccepts,
    /// A change of the roster goes by majorities of the old one alone.
    OldMajorityAlone,
    /// A change of the roster takes no chosen items along.
    NoTransfer,
    /// What may be chosen is not proposed again.
    NoCarry,
    /// Of two contents that may be chosen the ballot doesn't decide.
    NoBallot,
    /// A voter forgets the ballot of what it accepted, once it knows that to be chosen.
    ForgottenBallot,
    /// Accepted is said before it is on the disk.
    NoSync,
    /// A voter keeps no promise.
    NoPromise,
}

/// What is searched.
#[derive(Clone, Debug)]
pub struct Custody {
    pub wrong: Option<Wrong>,
    /// Whether the conflicting items share a name and version, so that one chosen covers the other.
    pub one_name: bool,
    /// Whose ballots there are, from the lowest on; a proposer begins a round by each of its own, or fewer.
    pub order: Vec<u8>,
    pub wipes: u8,
    /// Five voters, of which two may be without their disks at a time; else three, and one.
    pub five: bool,
    pub power_cuts: u8,
    /// How often a chosen item is told outside of rounds.
    pub told: u8,
    /// Whether rounds that can do nothing more are dropped, so that fewer states differ.
    pub reduced: bool,
    /// Whether a shortest trace is looked for, by further searches.
    pub shortest: bool,
}

impl Default for Custody {
    fn default() -> Custody {
        Custody {
            wrong: None,
            one_name: true,
            order: vec![FIRST_WRITER, SECOND_WRITER, CHANGER, RECOVERER],
            wipes: 1,
            five: false,
            power_cuts: 0,
            told: 0,
            reduced: true,
            shortest: true,
        }
    }
}

/// What a voter has on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    pub promised: Ballot,
    pub pending: (Ballot, Items),
    pub chosen: Items,
    pub voting: bool,
    /// Its incarnation: by which ballot it caught up.
    pub incarnation: Ballot,
    /// Of each voter, the highest ballot by which it has asked this one to catch up.
    pub renewed: [Ballot; NODES],
}

/// What a voter goes by, and what of it is synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Node {
    pub now: PersistedState,
    pub synced: PersistedState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Promise {
    pub incarnation: Ballot,
    pub renewed: [Ballot; NODES],
    pub pending: (Ballot, Items),
    pub chosen: Items,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    pub chosen: Items,
    pub items: Items,
}

/// A round, and all that was sent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    pub ballot: Ballot,
    /// Whether it goes by the second roster.
    pub second: bool,
    /// Whether it changes the first roster to the second.
    pub joint: bool,
    pub promises: [Option<Promise>; NODES],
    pub proposal: Option<Proposal>,
    /// Of each voter, which incarnation was heard to promise; see [`Wrong::FencedAccepts`].
    pub heard: [Option<Ballot>; NODES],
    pub accepted: u8,
    /// What its proposer tells its caller when the proposal is chosen.
    pub outcome: Told,
    /// What had been told before it began.
    pub before: Items,
    /// Where its proposer runs.
    pub home: u8,
    /// Its proposer gave it up, crashed, or is done.
    pub over: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Told {
    #[default]
    Nothing,
    Acknowledged,
    Refused,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proposer {
    pub rounds: u8,
    /// It saw the change of the roster accepted: its next round is joint.
    pub saw: bool,
    /// Its caller has its answer.
    pub done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub nodes: [Node; NODES],
    pub proposers: [Proposer; 4],
    /// By ballot.
    pub rounds: Vec<Round>,
    /// Who lost its disk and has not caught up.
    pub wiped: u8,
    pub wipes: u8,
    pub power_cuts: u8,
    pub spread: u8,
    /// What callers were told to be chosen.
    pub told: Items,
    /// A caller was told of a conflict.
    pub refused: bool,
    /// What was accepted by so many that it is chosen.
    pub chosen: Items,
    pub caught_up: bool,
    /// A round was judged without something that was told before it began.
    pub lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A proposer asks for promises; a round that it had is over. One that crashes does nothing more, or
    /// begins anew.
    Begin {
        ballot: Ballot,
        home: u8,
        second: bool,
        joint: bool,
    },
    /// A voter gets a prepare; its promise is synced before it is sent.
    Prepare {
        ballot: Ballot,
        voter: u8,
    },
    /// The proposer has heard these voters, and judges.
    Propose {
        ballot: Ballot,
        heard: u8,
    },
    /// A voter gets a proposal; what it accepts is synced before that is said.
    Accept {
        ballot: Ballot,
        voter: u8,
    },
    /// The proposer has heard a majority accept.
    Finish {
        ballot: Ballot,
    },
    /// A voter hears outside of a round that an item is chosen, and writes it without a sync.
    Tell {
        voter: u8,
        item: Items,
    },
    Wipe {
        voter: u8,
    },
    /// One machine loses its power, or all do.
    PowerCut {
        voters: u8,
    },
}

fn proposer(ballot: Ballot) -> u8 {
    ballot % PROPOSERS
}

fn is_majority(of: u8, roster: u8) -> bool {
    2 * (of & roster).count_ones() > roster.count_ones()
}

impl Custody {
    fn is(&self, wrong: Wrong) -> bool {
        self.wrong == Some(wrong)
    }

    /// By which ballot a proposer begins its next round.
    fn ballot(&self, number: u8, rounds: u8) -> Option<Ballot> {
        let mut own = (1..)
            .zip(&self.order)
            .filter(|(_, owner)| **owner == number);
        own.nth(usize::from(rounds))
            .map(|(counter, _)| counter * PROPOSERS + number)
    }

    /// With what these are covered: the items themselves, and another content of one's name and version.
    fn covered(&self, chosen: Items) -> Items {
        match self.one_name && chosen & (FIRST | SECOND) != 0 {
            true => chosen | FIRST | SECOND,
            false => chosen,
        }
    }

    fn learn(&self, kept: &mut PersistedState, items: Items) {
        kept.chosen |= items & !self.covered(kept.chosen);
        if kept.pending.1 & !self.covered(kept.chosen) == 0 {
            kept.pending.1 = 0;
            if self.is(Wrong::ForgottenBallot) {
                kept.pending.0 = 0;
            }
        }
    }

    /// Where a proposer may run; the changer is the one that is to join.
    fn homes(&self, state: &State, number: u8) -> Vec<u8> {
        match number {
            RECOVERER => (0..NODES as u8)
                .filter(|voter| state.wiped & 1 << voter != 0)
                .collect(),
            CHANGER => vec![3],
            writer => vec![writer],
        }
    }

    fn roster(&self, second: bool) -> u8 {
        if self.five {
            FIVE
        } else {
            ROSTERS[usize::from(second)]
        }
    }

    fn targets(&self, round: &Round) -> u8 {
        if round.joint {
            ROSTERS[0] | ROSTERS[1]
        } else {
            self.roster(round.second)
        }
    }

    /// How many disks may be lost at once.
    fn tolerated(&self) -> u32 {
        if self.five {
            2
        } else {
            1
        }
    }

    fn enough(&self, round: &Round, of: u8, of_others: Option<usize>) -> bool {
        let enough = |roster: u8| {
            // Two others are a majority of three, and all that is left of it to one that lost its disk.
            let others = of_others.map_or(roster, |me| roster & !(1 << me));
            is_majority(of & others, roster)
        };
        let now = enough(self.roster(round.second));
        now && (!round.joint || enough(ROSTERS[1]))
    }

    fn begin(&self, state: &mut State, ballot: Ballot, home: u8, second: bool, joint: bool) {
        let number = usize::from(proposer(ballot));
        let held = &mut state.proposers[number];
        (held.rounds, held.saw) = (held.rounds + 1, false);
        if second {
            self.learn(&mut state.nodes[usize::from(home)].now, ROSTER);
        }
        let own =
            |round: &&mut Round| proposer(round.ballot) == proposer(ballot) && round.home == home;
        state
            .rounds
            .iter_mut()
            .filter(own)
            .for_each(|round| round.over = true);
        let before = state.told;
        state.rounds.push(Round {
            ballot,
            second,
            joint,
            promises: [None; NODES],
            proposal: None,
            heard: [None; NODES],
            accepted: 0,
            outcome: Told::Nothing,
            before,
            home,
            over: false,
        });
    }

    fn prepare(&self, node: &mut Node, round: &Round) -> Promise {
        let ballot = round.ballot;
        let fresh = !(self.is(Wrong::StaleCatchUp) && proposer(ballot) == RECOVERER);
        if fresh {
            node.now.promised = ballot;
            if proposer(ballot) == RECOVERER {
                node.now.renewed[usize::from(round.home)] = ballot;
            }
            node.synced = node.now;
        }
        let PersistedState {
            incarnation,
            renewed,
            pending,
            chosen,
            ..
        } = node.now;
        Promise {
            incarnation,
            renewed,
            pending,
            chosen,
        }
    }

    fn propose(&self, state: &mut State, nth: usize, heard: u8) {
        let round = state.rounds[nth];
        let home = usize::from(round.home);
        let number = proposer(round.ballot);
        let promises = || {
            (0..NODES)
                .filter(|voter| heard & 1 << voter != 0)
                .filter_map(|v| round.promises[v])
        };
        let mut known = state.nodes[home].now;
        known.pending = (0, 0);
        promises().for_each(|promise| self.learn(&mut known, promise.chosen));
        let known = known.chosen;
        if known & ROSTER != 0 && !round.second {
            state.rounds[nth].over = true;
            return;
        }
        let rank = |pending: &(Ballot, Items)| match self.is(Wrong::NoBallot) {
            true => (pending.1 & SECOND, pending.0),
            false => (pending.0, 0),
        };
        let latest = promises()
            .map(|promise| promise.pending)
            .max_by_key(rank)
            .unwrap_or_default();
        let open = match self.is(Wrong::NoCarry) {
            true => 0,
            false => latest.1 & !self.covered(known),
        };
        if open & ROSTER != 0 && !round.joint && !self.is(Wrong::OldMajorityAlone) {
            state.proposers[usize::from(number)].saw = true;
            state.rounds[nth].over = true;
            return;
        }
        let mut whole = PersistedState {
            chosen: known,
            ..PersistedState::default()
        };
        self.learn(&mut whole, open);
        let whole = whole.chosen;
        // This is the read: what was told before the round began must be in what it goes by.
        state.lost |= round.before & !whole != 0;
        let round = &mut state.rounds[nth];
        if number == RECOVERER {
            let node = &mut state.nodes[home];
            node.now.promised = node.now.promised.max(round.ballot);
            node.now.pending = (latest.0, open);
            self.learn(&mut node.now, known);
            (node.now.voting, node.now.incarnation) = (true, round.ballot);
            if !self.is(Wrong::ForgottenRenewals) {
                node.now.renewed = Custody::renewed(round, heard);
            }
            node.synced = node.now;
            state.wiped &= !(1 << home);
            (round.over, state.caught_up) = (true, true);
            return;
        }
        let (wanted, other) = [(FIRST, SECOND), (SECOND, FIRST), (ROSTER, 0)][usize::from(number)];
        let waits = round.joint && number != CHANGER;
        let mut items = open;
        round.outcome = match () {
            () if waits => Told::Nothing,
            () if whole & wanted != 0 => Told::Acknowledged,
            () if whole & other != 0 => Told::Refused,
            () => {
                items |= wanted;
                Told::Acknowledged
            }
        };
        if items == 0 {
            return self.tell(state, nth);
        }
        let lacked = promises().fold(0, |lacked, promise| {
            lacked | (known & !self.covered(promise.chosen))
        });
        let chosen = match round.joint {
            true if self.is(Wrong::NoTransfer) => 0,
            true => known,
            false => lacked,
        };
        round.proposal = Some(Proposal { chosen, items });
        if self.is(Wrong::FencedAccepts) {
            for voter in (0..NODES).filter(|voter| heard & 1 << voter != 0) {
                round.heard[voter] = round.promises[voter].map(|promise| promise.incarnation);
            }
        }
        round.promises = [None; NODES];
    }

    /// Of each voter, the highest ballot by which it caught up as far as these know.
    fn renewed(round: &Round, heard: u8) -> [Ballot; NODES] {
        let promises = (0..NODES)
            .filter(|voter| heard & 1 << voter != 0)
            .filter_map(|v| round.promises[v]);
        promises.fold([0; NODES], |renewed, promise| {
            std::array::from_fn(|voter| renewed[voter].max(promise.renewed[voter]))
        })
    }

    /// Whether none of these promises is of a voter that lost its disk since, and caught up before one of the others
    /// promised.
    fn alive(&self, round: &Round, heard: u8) -> bool {
        let renewed = Custody::renewed(round, heard);
        let alive = |voter: usize| {
            round.promises[voter].is_none_or(|promise| promise.incarnation >= renewed[voter])
        };
        let unchecked = self.is(Wrong::DeadPromise) || self.is(Wrong::FencedAccepts);
        unchecked
            || (0..NODES)
                .filter(|voter| heard & 1 << voter != 0)
                .all(alive)
    }

    /// Whether a voter accepts the proposal when it gets it.
    fn accepts(&self, round: &Round, voter: usize, node: &Node) -> bool {
        let refuses = round.ballot < node.now.promised && !self.is(Wrong::NoPromise);
        let fenced =
            self.is(Wrong::FencedAccepts) && round.heard[voter] != Some(node.now.incarnation);
        node.now.voting && !refuses && !fenced
    }

    /// A round's end: its proposer tells its caller, who may tell others.
    fn tell(&self, state: &mut State, nth: usize) {
        let round = &mut state.rounds[nth];
        round.over = true;
        let number = usize::from(proposer(round.ballot));
        if round.outcome == Told::Nothing {
            return;
        }
        state.proposers[number].done = true;
        let acknowledged = round.outcome == Told::Acknowledged;
        state.refused |= !acknowledged;
        state.told |= [(FIRST, SECOND), (SECOND, FIRST), (ROSTER, 0)][number].pick(acknowledged);
    }

    fn accept(&self, state: &mut State, nth: usize, voter: usize) {
        let round = &mut state.rounds[nth];
        let Some(proposal) = round.proposal else {
            return;
        };
        let node = &mut state.nodes[voter];
        node.now.promised = node.now.promised.max(round.ballot);
        node.now.pending = (round.ballot, proposal.items);
        let roster = if round.second { ROSTER } else { 0 };
        self.learn(&mut node.now, proposal.chosen | roster);
        if !self.is(Wrong::NoSync) {
            node.synced = node.now;
        }
        round.accepted |= 1 << voter;
        if self.enough(round, round.accepted, None) {
            state.chosen |= proposal.items;
        }
    }

    /// Drops what no longer makes a difference, so that fewer states differ.
    fn tidy(&self, state: &mut State) {
        let State { nodes, wipes, .. } = *state;
        let sound = self.wrong.is_none() && self.reduced;
        let refuses = |voter: usize, round: &Round| nodes[voter].synced.promised > round.ballot;
        let refused = |round: &Round| {
            let mut voters = (0..NODES).filter(|voter| self.targets(round) & 1 << voter != 0);
            sound && voters.all(|voter| refuses(voter, round))
        };
        let hopeless = |round: &Round| {
            let may = |voter: &usize| round.promises[*voter].is_some() || !refuses(*voter, round);
            let may = (0..NODES)
                .filter(may)
                .fold(0, |may, voter| may | 1 << voter);
            sound && wipes == self.wipes && !self.enough(round, may, None)
        };
        state.rounds.retain(|round| match round.proposal {
            Some(_) => !round.over || !refused(round),
            None => !round.over && !hopeless(round),
        });
        for (number, held) in (0..).zip(&mut state.proposers) {
            if held.done || self.ballot(number, held.rounds).is_none() {
                *held = Proposer {
                    done: true,
                    ..Proposer::default()
                };
            }
        }
        for round in &mut state.rounds {
            if round.over {
                (round.promises, round.before) = ([None; NODES], 0);
                (round.home, round.outcome) = (0, Told::Nothing);
                if self.enough(round, round.accepted, None) {
                    round.accepted = self.targets(round);
                }
            }
        }
        state.rounds.sort_unstable_by_key(|round| round.ballot);
    }
}

fn wrote(state: &State) -> bool {
    state.told & (FIRST | SECOND) != 0
}

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

impl Model for Custody {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let kept = PersistedState {
            voting: true,
            ..PersistedState::default()
        };
        vec![State {
            nodes: [Node {
                now: kept,
                synced: kept,
            }; NODES],
            proposers: Default::default(),
            rounds: Vec::new(),
            wiped: 0,
            wipes: 0,
            power_cuts: 0,
            spread: 0,
            told: 0,
            refused: false,
            chosen: 0,
            caught_up: false,
            lost: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.lost {
            return;
        }
        for (number, held) in (0..PROPOSERS).zip(&state.proposers) {
            let Some(ballot) = self.ballot(number, held.rounds).filter(|_| !held.done) else {
                continue;
            };
            for home in self.homes(state, number) {
                let knows = state.nodes[usize::from(home)].now.chosen & ROSTER != 0;
                let somebody = state.nodes.iter().any(|node| node.now.chosen & ROSTER != 0);
                // Any may have heard of a new roster, and without a disk also of the old one.
                let rosters: &[bool] = match somebody {
                    true if knows => &[true],
                    true => &[false, true],
                    false => &[false],
                };
                for second in rosters.iter().copied() {
                    let joint = !second
                        && (held.saw || number == CHANGER)
                        && !self.is(Wrong::OldMajorityAlone);
                    actions.push(Action::Begin {
                        ballot,
                        home,
                        second,
                        joint,
                    });
                }
            }
        }
        for round in &state.rounds {
            let ballot = round.ballot;
            let targets = (0..NODES as u8).filter(|voter| self.targets(round) & 1 << voter != 0);
            let by_roster = |node: &Node| round.second || node.now.chosen & ROSTER == 0;
            for voter in targets {
                let node = &state.nodes[usize::from(voter)];
                if !node.now.voting || !by_roster(node) {
                    continue;
                }
                let keeps = !self.is(Wrong::NoPromise);
                let promised = keeps && ballot <= node.now.promised;
                let untold = round.promises[usize::from(voter)]
                    .is_none_or(|promise| promise.incarnation != node.now.incarnation);
                if !round.over && round.proposal.is_none() && !promised && untold {
                    actions.push(Action::Prepare { ballot, voter });
                }
                if round.proposal.is_some() && self.accepts(round, usize::from(voter), node) {
                    actions.push(Action::Accept { ballot, voter });
                }
            }
            if round.over {
                continue;
            }
            if round.proposal.is_some() {
                if self.enough(round, round.accepted, None) {
                    actions.push(Action::Finish { ballot });
                }
                continue;
            }
            let told = (0..NODES)
                .filter(|v| round.promises[*v].is_some())
                .fold(0, |told, v| told | 1 << v);
            let me = (proposer(ballot) == RECOVERER).then_some(usize::from(round.home));
            for heard in (1..1u8 << NODES).filter(|heard| heard & !told == 0) {
                let one_less = |last: usize| {
                    heard & 1 << last != 0 && !self.enough(round, heard & !(1 << last), me)
                };
                if self.alive(round, heard)
                    && self.enough(round, heard, me)
                    && (0..NODES).any(one_less)
                {
                    actions.push(Action::Propose { ballot, heard });
                }
            }
        }
        if state.spread < self.told {
            for (voter, node) in (0..).zip(&state.nodes) {
                for item in [FIRST, SECOND, ROSTER] {
                    let known = state.nodes.iter().any(|other| other.now.chosen & item != 0);
                    if known && self.covered(node.now.chosen) & item == 0 {
                        actions.push(Action::Tell { voter, item });
                    }
                }
            }
        }
        if state.wipes < self.wipes && state.wiped.count_ones() < self.tolerated() {
            let machines = if self.five {
                FIVE
            } else {
                ROSTERS[0] | ROSTERS[1]
            };
            let kept = (0..NODES as u8).filter(|voter| machines & !state.wiped & 1 << voter != 0);
            actions.extend(kept.map(|voter| Action::Wipe { voter }));
        }
        if state.power_cuts < self.power_cuts {
            let unsynced = (0..NODES as u8).filter(|voter| {
                let node = &state.nodes[usize::from(*voter)];
                node.now != node.synced
            });
            let all = unsynced.clone().fold(0u8, |all, voter| all | 1 << voter);
            actions.extend(unsynced.map(|voter| Action::PowerCut { voters: 1 << voter }));
            if all.count_ones() > 1 {
                actions.push(Action::PowerCut { voters: all });
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let nth = |ballot: Ballot| last.rounds.iter().position(|round| round.ballot == ballot);
        match action {
            Action::Begin {
                ballot,
                home,
                second,
                joint,
            } => self.begin(&mut state, ballot, home, second, joint),
            Action::Prepare { ballot, voter } => {
                let nth = nth(ballot)?;
                let node = &mut state.nodes[usize::from(voter)];
                if state.rounds[nth].second {
                    self.learn(&mut node.now, ROSTER);
                }
                let promise = self.prepare(node, &last.rounds[nth]);
                state.rounds[nth].promises[usize::from(voter)] = Some(promise);
            }
            Action::Propose { ballot, heard } => self.propose(&mut state, nth(ballot)?, heard),
            Action::Accept { ballot, voter } => {
                self.accept(&mut state, nth(ballot)?, usize::from(voter));
            }
            Action::Finish { ballot } => {
                let nth = nth(ballot)?;
                let home = usize::from(state.rounds[nth].home);
                let items = state.rounds[nth].proposal?.items;
                self.learn(&mut state.nodes[home].now, items);
                self.tell(&mut state, nth);
            }
            Action::Tell { voter, item } => {
                state.spread += 1;
                self.learn(&mut state.nodes[usize::from(voter)].now, item);
            }
            Action::Wipe { voter } => {
                state.wipes += 1;
                state.wiped |= 1 << voter;
                let kept = PersistedState {
                    voting: self.is(Wrong::Amnesia),
                    ..PersistedState::default()
                };
                let node = &mut state.nodes[usize::from(voter)];
                *node = Node {
                    now: kept,
                    synced: kept,
                };
                // What ran there went with it.
                state
                    .rounds
                    .iter_mut()
                    .for_each(|round| round.over |= round.home == voter);
            }
            Action::PowerCut { voters } => {
                state.power_cuts += 1;
                for (voter, node) in state.nodes.iter_mut().enumerate() {
                    if voters & 1 << voter != 0 {
                        node.now = node.synced;
                    }
                }
                state.rounds.iter_mut().for_each(|round| {
                    round.over |= voters & 1 << round.home != 0;
                });
            }
        }
        self.tidy(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Custody>> {
        let mut all = vec![
            Property::always(LOST, |_, state: &State| !state.lost),
            Property::always(TWO, |_, state: &State| {
                state.chosen & (FIRST | SECOND) != FIRST | SECOND
            }),
        ];
        if self.wrong.is_none() {
            all.extend([
                Property::sometimes(ACKNOWLEDGED, |_, state: &State| wrote(state)),
                Property::sometimes(REFUSED, |_, state: &State| state.refused),
                Property::sometimes(CAUGHT_UP, |_, state: &State| state.caught_up),
                Property::sometimes(CHANGED, |_, state: &State| state.told & ROSTER != 0),
                Property::sometimes(ALL, |_, state: &State| {
                    state.caught_up && state.told & ROSTER != 0 && wrote(state)
                }),
            ]);
        }
        all
    }
}

pub const ACKNOWLEDGED: &str = "a write is acknowledged";
pub const REFUSED: &str = "a conflict is refused";
pub const CAUGHT_UP: &str = "a voter without a disk catches up";
pub const CHANGED: &str = "the roster is changed";
pub const ALL: &str = "all of it, and a write too";
pub const LOST: &str = "what was told is in whatever is read later";
pub const TWO: &str = "one of two that conflict is chosen";

/// What a search found.
pub struct Found {
    pub states: usize,
    pub depth: usize,
    /// Of each property that was violated, how.
    pub violated: Vec<(&'static str, Vec<Action>)>,
    /// Of what is to happen at some time, what did.
    pub happened: Vec<&'static str>,
}

/// Searches breadth first; of all traces to what is wrong it returns a shortest one.
pub fn search(model: Custody, threads: usize) -> Found {
    let mut found = search_to(model.clone(), threads, None);
    // Among states of nearly the same depth the checker keeps what it saw last.
    while let Some(steps) = found.violated.iter().map(|(_, trace)| trace.len()).min() {
        if !model.shortest {
            break;
        }
        let shorter = search_to(model.clone(), threads, Some(steps));
        if !shorter
            .violated
            .iter()
            .any(|(_, trace)| trace.len() < steps)
        {
            break;
        }
        found.violated = shorter.violated;
    }
    found
}

/// Looks at traces of fewer steps than this.
fn search_to(model: Custody, threads: usize, steps: Option<usize>) -> Found {
    let checker = model
        .checker()
        .threads(threads)
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
    let violated = [LOST, TWO]
        .into_iter()
        .filter_map(|name| trace(name).map(|trace| (name, trace)))
        .collect();
    let sometimes = checker.model().properties();
    let sometimes = sometimes
        .iter()
        .map(|property| property.name)
        .filter(|name| ![LOST, TWO].contains(name));
    Found {
        states: checker.unique_state_count(),
        depth: checker.max_depth(),
        violated,
        happened: sometimes
            .filter(|name| discoveries.contains_key(name))
            .collect(),
    }
}
