//! The acceptor: the ballot that this replica has promised as a voter, the proposal that it has accepted, and the items
//! that it knows to be chosen.

use crate::ballot::{AcceptedProposal, Ballot};
use crate::bootstrap::BootstrapCandidate;
use crate::guards::Guards;
use crate::incarnation::{Incarnation, LatestIncarnations};
use crate::message::{Accepted, AcceptedLed, Message, NotVoting, Promise, Rejected};
use crate::state::{Merged, State};
use crate::storage::PersistedState;
use emberpin_config::{Item, ItemKey, ItemKind};
use std::net::Ipv4Addr;

/// The changes of the state from learning chosen items.
#[derive(Debug, Default)]
pub(crate) struct Learned {
    /// The items that were newer than their known versions.
    pub new: Vec<Item>,
    /// Keys of items that are no longer in the state.
    pub removed: Vec<ItemKey>,
}

/// The voting part of a replica. Its fields mirror [`PersistedState`]: code that changes them has to have them written
/// before it sends any message that depends on the change.
#[derive(Debug)]
pub(crate) struct Acceptor {
    pub state: State,
    pub promised: Ballot,
    pub accepted: AcceptedProposal,
    pub voting: bool,
    pub incarnation: Incarnation,
    pub latest_incarnations: LatestIncarnations,
    pub bootstrap_candidate: Option<BootstrapCandidate>,
    pub guards: Guards,
}

impl Acceptor {
    pub fn new(persisted: PersistedState, guards: Guards) -> Acceptor {
        let mut state = State::default();
        let is_restored = |item: &&Item| match item.key.kind {
            ItemKind::History => guards.restore_history,
            ItemKind::Checkpoint => guards.restore_checkpoint,
            _ => true,
        };
        for item in persisted.chosen.iter().filter(is_restored) {
            state.learn(item);
        }
        Acceptor {
            state,
            promised: persisted.promised,
            accepted: persisted.accepted,
            voting: persisted.voting || !guards.catch_up_before_voting,
            incarnation: persisted.incarnation,
            latest_incarnations: persisted.latest_incarnations,
            bootstrap_candidate: persisted.bootstrap_candidate,
            guards,
        }
    }

    /// Handles [`Prepare`](crate::message::Prepare), and returns the voter's answer. Only a promise has to be written.
    pub fn prepare(&mut self, ballot: Ballot, digests: &[u64], recovers: bool) -> Message {
        if !self.voting {
            return Message::NotVoting(NotVoting { ballot });
        }
        // An earlier answer with this promise may have been lost, so the proposer asks for it again.
        let is_repeated = ballot == self.promised && self.accepted.ballot < ballot;
        if ballot <= self.promised && !is_repeated && self.guards.keep_promises {
            return Message::Rejected(Rejected {
                ballot,
                promised: self.promised,
            });
        }
        self.promised = ballot;
        if recovers {
            self.latest_incarnations
                .record(Ipv4Addr::from_bits(ballot.proposer), Incarnation(ballot));
        }
        let buckets = self.state.differing_buckets(digests);
        let chosen = self.state.in_buckets(&buckets);
        Message::Promise(Promise {
            ballot,
            incarnation: self.incarnation,
            latest_incarnations: self.latest_incarnations.clone(),
            accepted: self.accepted.clone(),
            buckets,
            chosen,
        })
    }

    /// Handles [`Accept`](crate::message::Accept), and returns the voter's answer. Learning the chosen items of the
    /// message is left to the caller.
    pub fn accept(&mut self, ballot: Ballot, items: Vec<Item>) -> Message {
        if !self.voting {
            return Message::NotVoting(NotVoting { ballot });
        }
        if ballot < self.promised && self.guards.keep_promises {
            return Message::Rejected(Rejected {
                ballot,
                promised: self.promised,
            });
        }
        self.promised = ballot;
        self.accepted = AcceptedProposal { ballot, items };
        self.clear_accepted_if_chosen();
        Message::Accepted(Accepted { ballot })
    }

    /// Handles [`AcceptLed`](crate::message::AcceptLed), and returns the voter's answer. Learning the chosen items of
    /// the message is left to the caller.
    pub fn accept_led(&mut self, ballot: Ballot, next_ballot: Ballot, items: Vec<Item>) -> Message {
        if !self.voting {
            return Message::NotVoting(NotVoting { ballot });
        }
        // An earlier answer may have been lost, so the proposer sends the proposal again.
        let is_repeated = ballot == self.accepted.ballot && next_ballot == self.promised;
        if ballot < self.promised && !is_repeated && self.guards.keep_promises {
            return Message::Rejected(Rejected {
                ballot,
                promised: self.promised,
            });
        }
        self.promised = next_ballot;
        self.accepted = AcceptedProposal { ballot, items };
        self.clear_accepted_if_chosen();
        Message::AcceptedLed(AcceptedLed {
            ballot,
            next_ballot,
            incarnation: self.incarnation,
            latest_incarnations: self.latest_incarnations.clone(),
        })
    }

    /// Merges chosen items into the state.
    pub fn learn(&mut self, items: &[Item]) -> Learned {
        let mut learned = Learned::default();
        for item in items {
            let Merged { is_newer, removed } = self.state.learn(item);
            if is_newer {
                learned.new.push(item.clone());
            }
            learned
                .removed
                .extend(removed.into_iter().map(|item| item.key));
        }
        // An item that was removed by one of the learned items may have been set again by a later one.
        learned.removed.retain(|key| self.state.get(key).is_none());
        self.clear_accepted_if_chosen();
        learned
    }

    /// Whether the accepted proposal has items that are not known to be chosen.
    pub fn has_unchosen_items(&self) -> bool {
        !self.accepted.items.is_empty()
    }

    /// Clears the accepted items once all are known to be chosen. Their ballot is kept, see
    /// [`AcceptedProposal::ballot`].
    fn clear_accepted_if_chosen(&mut self) {
        let state = &self.state;
        if self.accepted.items.iter().all(|item| state.covers(item)) {
            self.accepted.items.clear();
            if !self.guards.keep_accepted_ballot {
                self.accepted.ballot = Ballot::default();
            }
        }
    }
}
