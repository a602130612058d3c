//! A voter: what it has promised and accepted, and what it knows to be chosen.

use crate::message::{Ballot, Message, Pending};
use crate::renewals::{Incarnation, Renewals};
use crate::replica::Candidacy;
use crate::state::State;
use emberpin_config::{History, Item, ItemKey, ItemKind, Retention};
use std::net::Ipv4Addr;

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
    /// By which round it caught up.
    pub incarnation: Incarnation,
    /// Who asked it to catch up.
    pub renewals: Renewals,
    /// Its wish to found the system.
    pub candidacy: Option<Candidacy>,
}

/// What is to be written to the disk, in the order in which it is given, each wholly or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Chosen items.
    pub chosen: Vec<Item>,
    /// The names of items that are removed.
    pub removed: Vec<ItemKey>,
    /// Replaces the promise.
    pub promised: Ballot,
    /// Replaces what is pending, if it changed.
    pub pending: Option<Pending>,
    /// Whether the store counts in quorums.
    pub voting: bool,
    /// Replaces the incarnation.
    pub incarnation: Incarnation,
    /// Replaces who asked to catch up.
    pub renewals: Renewals,
    /// Replaces the candidacy.
    pub candidacy: Option<Candidacy>,
    /// It and all before it must be synced before it is said to be persisted.
    pub sync: bool,
}

/// Parts that can be left out, to show that a test sees it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guards {
    /// A store that lost its disk doesn't vote before it caught up.
    pub amnesia: bool,
    /// A store without a place on the roster listens for a while before it asks for one.
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
    /// What a voter has accepted, and does not know to be chosen, is a part of comparisons.
    pub open: bool,
    /// What is acknowledged is on the disks of a majority, and on more than may be lost.
    pub spread: bool,
    /// The versions below the newest one of a name are kept, with digests of their contents.
    pub history: bool,
    /// So are versions that were superseded when their call was acknowledged.
    pub superseded: bool,
    /// Histories outlast a restart.
    pub history_kept: bool,
    /// What is known of removed tombstones outlasts a restart.
    pub checkpoint_kept: bool,
    /// How much of the past is kept; no guard, but tests need less of it.
    pub bounds: Retention,
    /// Timeouts and pauses follow the measured times, and messages that were not answered go out again.
    pub pacing: bool,
    /// Promises that their voters made before they lost their disks don't count.
    pub incarnations: bool,
    /// After a disk failed, nothing that was owed is said, and all of memory is synced before a vote.
    pub restore: bool,
    /// A seed that starts for the first time asks before it founds.
    pub founding: bool,
    /// A silent voter leaves a larger roster as soon as the others can't bear further losses.
    pub margin: bool,
}

impl Guards {
    /// The items that are proposed of those that a call leads to.
    pub(crate) fn leave_out(&self, mut items: Vec<Item>) -> Vec<Item> {
        if !self.history {
            items.retain(|item| item.key.kind != ItemKind::History);
        }
        if !self.superseded {
            let newer: Vec<ItemKey> = items.iter().map(|item| History::key(&item.key)).collect();
            items.retain(|item| item.key.kind != ItemKind::History || newer.contains(&item.key));
        }
        items
    }
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
            open: true,
            spread: true,
            history: true,
            superseded: true,
            history_kept: true,
            checkpoint_kept: true,
            bounds: Retention::default(),
            pacing: true,
            incarnations: true,
            restore: true,
            founding: true,
            margin: true,
        }
    }
}

/// What changed with items that were learned to be chosen.
#[derive(Debug, Default)]
pub(crate) struct Learned {
    pub new: Vec<Item>,
    pub removed: Vec<ItemKey>,
}

/// The part of a store that votes.
#[derive(Debug)]
pub(crate) struct Acceptor {
    pub state: State,
    pub promised: Ballot,
    pub pending: Pending,
    pub voting: bool,
    pub incarnation: Incarnation,
    pub renewals: Renewals,
    pub candidacy: Option<Candidacy>,
    pub guards: Guards,
}

impl Acceptor {
    pub fn new(kept: Kept, guards: Guards) -> Acceptor {
        let mut state = State::default();
        let left_out = |item: &&Item| match item.key.kind {
            ItemKind::History => !guards.history_kept,
            ItemKind::Checkpoint => !guards.checkpoint_kept,
            _ => false,
        };
        let found = kept.chosen.iter().filter(|item| !left_out(item));
        found.for_each(|item| _ = state.learn(item));
        let voting = kept.voting || !guards.amnesia;
        let Kept {
            promised,
            pending,
            incarnation,
            renewals,
            candidacy,
            ..
        } = kept;
        Acceptor {
            state,
            promised,
            pending,
            voting,
            incarnation,
            renewals,
            candidacy,
            guards,
        }
    }

    /// What the voter answers; nothing has to be written if it isn't a promise.
    pub fn prepare(&mut self, ballot: Ballot, digests: &[u64], recovers: bool) -> Message {
        if !self.voting {
            return Message::NotVoting { ballot };
        }
        // A promise may have been lost, and is asked for again.
        let again = ballot == self.promised && self.pending.ballot < ballot;
        if ballot <= self.promised && !again && self.guards.promise {
            return Message::Refused {
                ballot,
                promised: self.promised,
            };
        }
        self.promised = ballot;
        if recovers {
            self.renewals
                .note(Ipv4Addr::from_bits(ballot.node), Incarnation(ballot));
        }
        let buckets = self.state.differing(digests);
        let chosen = self.state.in_buckets(&buckets);
        let (incarnation, renewals) = (self.incarnation, self.renewals.clone());
        Message::Promise {
            ballot,
            incarnation,
            renewals,
            pending: self.pending.clone(),
            buckets,
            chosen,
        }
    }

    /// What the voter answers; the caller has it learn the chosen items that come along.
    pub fn accept(&mut self, ballot: Ballot, items: Vec<Item>) -> Message {
        if !self.voting {
            return Message::NotVoting { ballot };
        }
        if ballot < self.promised && self.guards.promise {
            return Message::Refused {
                ballot,
                promised: self.promised,
            };
        }
        self.promised = ballot;
        self.pending = Pending { ballot, items };
        self.close();
        Message::Accepted { ballot }
    }

    /// Takes chosen items; returns those that were new, and the names of those that are removed.
    pub fn learn(&mut self, items: &[Item]) -> Learned {
        let mut learned = Learned::default();
        for item in items {
            let (new, removed) = self.state.learn(item);
            learned.new.extend(new.then(|| item.clone()));
            learned
                .removed
                .extend(removed.into_iter().map(|item| item.key));
        }
        // What was removed may have come anew.
        learned.removed.retain(|key| self.state.get(key).is_none());
        self.close();
        learned
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
