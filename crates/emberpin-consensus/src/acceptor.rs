//! A voter: what it has promised and accepted, and what it knows to be chosen.

use crate::message::{Ballot, Message, Pending};
use crate::state::State;
use emberpin_config::Item;

/// What a store finds on its disk at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// Chosen items.
    pub chosen: Vec<Item>,
    /// The highest ballot that was promised.
    pub promised: Ballot,
    /// What was accepted last.
    pub pending: Pending,
    /// Whether it counts in quorums.
    pub voting: bool,
}

/// What is to be written to the disk, in the order in which it is given, each wholly or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Chosen items.
    pub chosen: Vec<Item>,
    /// Replaces the promise.
    pub promised: Ballot,
    /// Replaces what is pending, if it changed.
    pub pending: Option<Pending>,
    /// Whether the store counts in quorums.
    pub voting: bool,
    /// It and all before it must be synced before it is said to be persisted.
    pub sync: bool,
}

/// Parts that can be left out, to show that a test sees it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guards {
    /// A store that lost its disk doesn't vote before it caught up.
    pub amnesia: bool,
    /// A replica joins the roster only once it can tell which voters are gone.
    pub heard: bool,
    /// An evacuation that may have waited while the process stood still is not taken.
    pub awake: bool,
    /// A voter keeps its promises.
    pub promise: bool,
    /// What may be chosen is proposed again.
    pub carry: bool,
    /// A change of the roster needs majorities of both.
    pub joint: bool,
    /// Nothing is said before it is on the disk.
    pub sync: bool,
    /// A voter keeps the ballot of what it accepted.
    pub ballot: bool,
    /// Chosen items that a voter lacks go along with what is proposed.
    pub lacking: bool,
    /// A call is judged on what a majority knows, not on what this store knew before.
    pub newest: bool,
    /// Of a call that is refused, nothing is chosen.
    pub whole: bool,
    /// An evacuation that its caller no longer waits for is not begun.
    pub late: bool,
    /// What is acknowledged is on the disks of a majority, and on more than may be lost.
    pub spread: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            amnesia: true,
            heard: true,
            awake: true,
            promise: true,
            carry: true,
            joint: true,
            sync: true,
            ballot: true,
            lacking: true,
            newest: true,
            whole: true,
            late: true,
            spread: true,
        }
    }
}

/// The part of a store that votes.
#[derive(Debug)]
pub(crate) struct Acceptor {
    pub state: State,
    pub promised: Ballot,
    pub pending: Pending,
    pub voting: bool,
    pub guards: Guards,
}

impl Acceptor {
    pub fn new(kept: Kept, guards: Guards) -> Acceptor {
        let mut state = State::default();
        kept.chosen.iter().for_each(|item| _ = state.learn(item));
        let voting = kept.voting || !guards.amnesia;
        Acceptor { state, promised: kept.promised, pending: kept.pending, voting, guards }
    }

    /// What the voter answers; nothing has to be written if it isn't a promise.
    pub fn prepare(&mut self, ballot: Ballot, digests: &[u64]) -> Message {
        if !self.voting {
            return Message::NotVoting { ballot };
        }
        if ballot <= self.promised && self.guards.promise {
            return Message::Refused { ballot, promised: self.promised };
        }
        self.promised = ballot;
        let buckets = self.state.differing(digests);
        let chosen = self.state.in_buckets(&buckets);
        Message::Promise { ballot, pending: self.pending.clone(), buckets, chosen }
    }

    /// What the voter answers; the caller has it learn the chosen items that come along.
    pub fn accept(&mut self, ballot: Ballot, items: Vec<Item>) -> Message {
        if !self.voting {
            return Message::NotVoting { ballot };
        }
        if ballot < self.promised && self.guards.promise {
            return Message::Refused { ballot, promised: self.promised };
        }
        self.promised = ballot;
        self.pending = Pending { ballot, items };
        self.close();
        Message::Accepted { ballot }
    }

    /// Takes chosen items; returns those that were new.
    pub fn learn(&mut self, items: &[Item]) -> Vec<Item> {
        let new: Vec<Item> = items.iter().filter(|item| self.state.learn(item)).cloned().collect();
        self.close();
        new
    }

    /// Whether it holds something that it doesn't know to be chosen.
    pub fn open(&self) -> bool {
        !self.pending.items.is_empty()
    }

    /// Lets go of what was accepted and is known to be chosen. Its ballot stays: it tells that what others
    /// accepted at lower ones, and that is not chosen, never will be.
    fn close(&mut self) {
        let state = &self.state;
        if self.pending.items.iter().all(|item| state.covers(item)) {
            self.pending.items.clear();
            if !self.guards.ballot {
                self.pending.ballot = Ballot::default();
            }
        }
    }
}
