//! One round: a ballot, who has promised it, what it proposes, and who has accepted that.

use crate::ballot::{AcceptedProposal, Ballot};
use crate::incarnation::{Incarnation, LatestIncarnations};
use crate::quorum::{accept_quorum, majority, recovery_quorum};
use crate::roster::voters;
use crate::state::{bucket, State};
use crate::task::Outcome;
use crate::time::Timestamp;
use emberpin_config::{Configuration, Item, ItemKey, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

/// What a voter reported with its promise.
#[derive(Debug)]
pub(crate) struct VoterPromise {
    /// The incarnation in which the voter promised.
    pub incarnation: Incarnation,
    /// The incarnations that the voter knows of others.
    pub latest_incarnations: LatestIncarnations,
    /// The buckets in which its chosen items differed from the proposer's.
    pub buckets: Vec<u8>,
    /// The versions of its chosen items in these buckets.
    pub versions: BTreeMap<ItemKey, Version>,
}

/// What a round proposes.
#[derive(Debug)]
pub(crate) struct Proposal {
    /// The items that are to be chosen.
    pub items: Vec<Item>,
    /// Chosen items that some voter lacked when it promised; they are sent along.
    pub transferred: Vec<Item>,
}

/// A round in progress. It is in phase 1 until it has a proposal, and in phase 2 from then on.
#[derive(Debug)]
pub(crate) struct Round {
    pub ballot: Ballot,
    /// When it is abandoned for a new one.
    pub deadline: Timestamp,
    /// When its messages were sent last. An answer to earlier ones makes its phase look shorter than it was; but an
    /// answer that came late because of a network partition does not make it look longer.
    pub sent_at: Timestamp,
    /// When messages that were not answered are sent again; `None`, if they are not.
    pub resend_at: Option<Timestamp>,
    /// How often messages of this phase were sent again.
    pub resent: u32,
    /// The roster by which it counts quorums.
    pub roster: Item,
    /// The voters of that roster.
    pub voters: Vec<Ipv4Addr>,
    /// The roster that is to replace it; the round needs quorums of both.
    pub next_roster: Option<Item>,
    /// The voters of the next roster; empty, if there is none.
    pub next_voters: Vec<Ipv4Addr>,
    /// Whether the proposer lost its disk: the round only reads, and the proposer itself does not count.
    pub recovers: bool,
    /// The promises that count.
    pub promises: BTreeMap<Ipv4Addr, VoterPromise>,
    /// Of the proposals that voters accepted in earlier rounds, the one of the highest ballot.
    pub highest_accepted: AcceptedProposal,
    /// What the proposer learned since it sent its digests.
    pub learned: BTreeSet<ItemKey>,
    /// What it proposes, once it does.
    pub proposal: Option<Proposal>,
    /// The voters that have accepted the proposal.
    pub accepted: BTreeSet<Ipv4Addr>,
    /// The voters that have promised a higher ballot, or cannot write.
    pub rejected: BTreeSet<Ipv4Addr>,
    /// Whether the proposer leads: its last round had this round's phase 1.
    pub is_led: bool,
    /// If it does: the chosen items of its last round, which voters may not know to be chosen.
    pub last_items: Vec<Item>,
    /// The ballot that voters promise when they accept; `None`, if the proposer does not become the leader.
    pub next_ballot: Option<Ballot>,
    /// The promises of that ballot.
    pub next_promises: BTreeMap<Ipv4Addr, VoterPromise>,
    /// Replies to send once the proposal is chosen.
    pub outcomes: Vec<Outcome>,
    /// For tests with [`crate::Guards::evaluate_on_quorum_state`] off: what was known when the round began.
    pub initial_state: Option<Configuration>,
}

impl Round {
    pub fn new(
        ballot: Ballot,
        now: Timestamp,
        timeout: Duration,
        roster: Item,
        next_roster: Option<Item>,
    ) -> Round {
        Round {
            ballot,
            deadline: now + timeout,
            sent_at: now,
            resend_at: None,
            resent: 0,
            voters: voters(&roster),
            next_voters: next_roster.as_ref().map(voters).unwrap_or_default(),
            roster,
            next_roster,
            recovers: false,
            promises: BTreeMap::new(),
            highest_accepted: AcceptedProposal::default(),
            learned: BTreeSet::new(),
            proposal: None,
            accepted: BTreeSet::new(),
            rejected: BTreeSet::new(),
            is_led: false,
            last_items: Vec::new(),
            next_ballot: None,
            next_promises: BTreeMap::new(),
            outcomes: Vec::new(),
            initial_state: None,
        }
    }

    /// All voters, of both rosters if there are two.
    pub fn all_voters(&self) -> BTreeSet<Ipv4Addr> {
        self.voters
            .iter()
            .chain(&self.next_voters)
            .copied()
            .collect()
    }

    /// The voters that have not answered in this phase.
    pub fn unanswered(&self) -> BTreeSet<Ipv4Addr> {
        let has_answered = |voter: &Ipv4Addr| match self.proposal {
            Some(_) => self.accepted.contains(voter),
            None => self.promises.contains_key(voter),
        };
        let mut voters = self.all_voters();
        voters.retain(|voter| !has_answered(voter) && !self.rejected.contains(voter));
        voters
    }

    /// Takes a promise, and drops those that have become void: a voter that lost its disk may since have accepted what
    /// this round would have to know. Such a voter is asked again.
    pub fn add_promise(&mut self, from: Ipv4Addr, promise: VoterPromise) {
        let is_newest = self
            .promises
            .get(&from)
            .is_none_or(|known| known.incarnation <= promise.incarnation);
        if is_newest {
            self.promises.insert(from, promise);
        }
        let mut latest = LatestIncarnations::default();
        for promise in self.promises.values() {
            latest.merge(&promise.latest_incarnations);
        }
        self.promises
            .retain(|voter, promise| !latest.is_superseded(*voter, promise.incarnation));
    }

    /// Whether the proposal is sent to voters even if it is empty: a leader learns only from their answers that no other
    /// one was promised a higher ballot since, and becomes or stays the leader by them.
    pub fn needs_acceptance(&self) -> bool {
        self.is_led
            || self
                .outcomes
                .iter()
                .any(|outcome| outcome.task.is_coordination())
    }

    /// Whether enough voters have promised for the round to go on.
    pub fn has_promise_quorum(&self, proposer: Ipv4Addr) -> bool {
        self.in_each_roster(|voters| {
            let required = if self.recovers {
                recovery_quorum(voters, proposer)
            } else {
                majority(voters)
            };
            let promised = |voter: &&Ipv4Addr| self.promises.contains_key(*voter);
            voters.iter().filter(promised).count() >= required
        })
    }

    /// Whether enough voters have accepted the proposal for it to be chosen.
    pub fn is_chosen(&self, tolerated_failures: usize) -> bool {
        self.in_each_roster(|voters| {
            let accepted = |voter: &&Ipv4Addr| self.accepted.contains(*voter);
            voters.iter().filter(accepted).count() >= accept_quorum(voters, tolerated_failures)
        })
    }

    /// Whether the voters that have not rejected the round are no majority.
    pub fn is_quorum_impossible(&self) -> bool {
        !self.in_each_roster(|voters| {
            let not_rejected = |voter: &&Ipv4Addr| !self.rejected.contains(*voter);
            voters.iter().filter(not_rejected).count() >= majority(voters)
        })
    }

    /// Whether the condition holds for the voters of the roster, and of the next roster if there is one.
    fn in_each_roster(&self, condition: impl Fn(&[Ipv4Addr]) -> bool) -> bool {
        condition(&self.voters) && (self.next_voters.is_empty() || condition(&self.next_voters))
    }

    /// The chosen items that some voter which promised lacks; all chosen items, if the roster changes.
    pub fn missing_items(&self, state: &State) -> Vec<Item> {
        let changes_roster = !self.next_voters.is_empty();
        state
            .iter()
            .filter(|item| changes_roster || self.is_missing(item))
            .cloned()
            .collect()
    }

    fn is_missing(&self, item: &Item) -> bool {
        let (bucket, learned) = (bucket(&item.key), self.learned.contains(&item.key));
        self.promises.values().any(|promise| {
            // In any other bucket, the voter has what the proposer had when it sent its digests.
            let differs = learned || promise.buckets.contains(&bucket);
            let voter_version = promise.versions.get(&item.key);
            differs && voter_version.is_none_or(|version| *version < item.version)
        })
    }
}
