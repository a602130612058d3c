//! One round: a ballot, who has promised it, and what it proposes.

use crate::call::Work;
use crate::message::{Ballot, Pending};
use crate::renewals::{Incarnation, Renewals};
use crate::state::{bucket, voters, State};
use emberpin_config::{Configuration, Item, ItemKey};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Something to do, and until when its caller waits.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub work: Work,
    pub until: u64,
    /// Items of it went out in a proposal, so that it may be chosen.
    pub proposed: bool,
}

/// The answer to a task that is told once the round's items are chosen.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub task: Task,
    pub status: u16,
    pub body: String,
}

/// What a voter told with its promise: the buckets in which it differed, and its versions there.
#[derive(Debug)]
pub(crate) struct Promised {
    pub incarnation: Incarnation,
    pub renewals: Renewals,
    pub buckets: Vec<u8>,
    pub versions: BTreeMap<ItemKey, u64>,
}

/// A round that is under way.
#[derive(Debug)]
pub(crate) struct Round {
    pub ballot: Ballot,
    /// When it gives way to a new one.
    pub until: u64,
    /// When its messages went out last. An answer to earlier ones makes its phase look shorter than it was, but one
    /// after a cut doesn't make it look longer.
    pub asked_at: u64,
    /// When messages that were not answered go out again, and how often they did.
    pub resend_at: u64,
    pub resent: u32,
    /// The roster that it goes by.
    pub roster: Item,
    pub voters: Vec<Ipv4Addr>,
    /// The roster that is to replace it, whose majorities are needed too.
    pub next: Option<Item>,
    pub joining: Vec<Ipv4Addr>,
    /// The round of a store that lost its disk: it only reads, and the store itself doesn't count.
    pub recovers: bool,
    pub promises: BTreeMap<Ipv4Addr, Promised>,
    /// Of what was accepted in earlier rounds, the latest.
    pub latest: Pending,
    /// What the proposer learned since it sent its digests.
    pub learned: BTreeSet<ItemKey>,
    /// What it proposes, once it does.
    pub proposal: Option<Vec<Item>>,
    /// The chosen items that go along with it.
    pub transferred: Vec<Item>,
    pub accepted: BTreeSet<Ipv4Addr>,
    /// Those that have promised a higher ballot.
    pub refused: BTreeSet<Ipv4Addr>,
    pub outcomes: Vec<Outcome>,
    /// What was known at its start; see [`crate::Guards::newest`].
    pub known: Option<Configuration>,
}

impl Round {
    pub fn new(ballot: Ballot, until: u64, roster: Item, next: Option<Item>) -> Round {
        Round {
            ballot,
            until,
            asked_at: 0,
            resend_at: u64::MAX,
            resent: 0,
            voters: voters(&roster),
            joining: next.as_ref().map(voters).unwrap_or_default(),
            roster,
            next,
            recovers: false,
            promises: BTreeMap::new(),
            latest: Pending::default(),
            learned: BTreeSet::new(),
            proposal: None,
            transferred: Vec::new(),
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            outcomes: Vec::new(),
            known: None,
        }
    }

    /// Whom it talks to.
    pub fn targets(&self) -> BTreeSet<Ipv4Addr> {
        self.voters.iter().chain(&self.joining).copied().collect()
    }

    /// Those that have not answered in this phase.
    pub fn unanswered(&self) -> BTreeSet<Ipv4Addr> {
        let answered = |voter: &Ipv4Addr| match self.proposal {
            Some(_) => self.accepted.contains(voter),
            None => self.promises.contains_key(voter),
        };
        let mut targets = self.targets();
        targets.retain(|voter| !answered(voter) && !self.refused.contains(voter));
        targets
    }

    /// Takes a promise, and lets go of those that are void: a voter that lost its disk may have accepted since what
    /// this round would have to know. Such a voter is asked again.
    pub fn take_promise(&mut self, from: Ipv4Addr, promised: Promised) {
        if self
            .promises
            .get(&from)
            .is_none_or(|known| known.incarnation <= promised.incarnation)
        {
            self.promises.insert(from, promised);
        }
        let mut renewals = Renewals::default();
        self.promises
            .values()
            .for_each(|promised| renewals.merge(&promised.renewals));
        self.promises
            .retain(|voter, promised| !renewals.outdate(*voter, promised.incarnation));
    }

    /// Whether enough have promised.
    pub fn promised(&self, me: Ipv4Addr) -> bool {
        let enough = |voters: &[Ipv4Addr]| {
            let (mut need, others) = (
                majority(voters),
                voters.iter().filter(|voter| **voter != me).count(),
            );
            if self.recovers {
                // What is chosen is on a majority, and of that only this store's copy is lost.
                need = need.min(others);
            }
            voters
                .iter()
                .filter(|voter| self.promises.contains_key(voter))
                .count()
                >= need
        };
        enough(&self.voters) && (self.joining.is_empty() || enough(&self.joining))
    }

    /// Whether so many have refused that the others are no majority.
    pub fn lost(&self) -> bool {
        let lost = |voters: &[Ipv4Addr]| {
            let left = voters
                .iter()
                .filter(|voter| !self.refused.contains(voter))
                .count();
            left < majority(voters)
        };
        lost(&self.voters) || (!self.joining.is_empty() && lost(&self.joining))
    }

    /// Whether enough have accepted: a majority, and more than may be lost at once.
    pub fn chosen(&self, tolerated: usize) -> bool {
        let enough = |voters: &[Ipv4Addr]| {
            let need = majority(voters).max((tolerated + 1).min(voters.len()));
            voters
                .iter()
                .filter(|voter| self.accepted.contains(voter))
                .count()
                >= need
        };
        enough(&self.voters) && (self.joining.is_empty() || enough(&self.joining))
    }

    /// The chosen items that some voter which promised doesn't have; all, where a roster joins.
    pub fn lacking(&self, state: &State) -> Vec<Item> {
        let lacks = |item: &&Item| {
            let (bucket, learned) = (bucket(&item.key), self.learned.contains(&item.key));
            self.promises.values().any(|promised| {
                let told = learned || promised.buckets.contains(&bucket);
                told && promised
                    .versions
                    .get(&item.key)
                    .is_none_or(|ver| *ver < item.version)
            })
        };
        state
            .iter()
            .filter(|item| !self.joining.is_empty() || lacks(item))
            .cloned()
            .collect()
    }
}

/// How many of the voters are more than half.
pub(crate) fn majority(voters: &[Ipv4Addr]) -> usize {
    voters.len() / 2 + 1
}
