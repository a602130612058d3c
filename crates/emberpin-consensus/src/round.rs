//! The state of one round at its proposer: the ballot, the voters that have promised it, the proposal, and the voters
//! that have accepted the proposal.

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

/// The information that a voter reported with its promise.
#[derive(Debug)]
pub(crate) struct VoterPromise {
    /// The voter's incarnation when it promised.
    pub incarnation: Incarnation,
    /// The incarnations of other voters that this voter knows.
    pub latest_incarnations: LatestIncarnations,
    /// The buckets in which its chosen items differed from the proposer's.
    pub buckets: Vec<u8>,
    /// The versions of its chosen items in these buckets.
    pub versions: BTreeMap<ItemKey, Version>,
}

/// The proposal of a round.
#[derive(Debug)]
pub(crate) struct Proposal {
    /// The items to be chosen.
    pub items: Vec<Item>,
    /// Chosen items that some voter lacked when it promised; they are sent with the proposal.
    pub transferred: Vec<Item>,
}

/// A round in progress. It is in phase 1 until it has a proposal, and in phase 2 from then on.
#[derive(Debug)]
pub(crate) struct Round {
    pub ballot: Ballot,
    /// When it is abandoned and a new round begins.
    pub deadline: Timestamp,
    /// When the messages of its phase were last sent; the duration of the phase is measured from then. An answer to an
    /// earlier transmission makes the phase look shorter than it was, but an answer that a network partition delayed
    /// does not make it look longer.
    pub sent_at: Timestamp,
    /// When unanswered messages are sent again; `None` if they are not resent.
    pub resend_at: Option<Timestamp>,
    /// How often the messages of this phase were resent.
    pub resent: u32,
    /// The roster whose quorums it needs.
    pub roster: Item,
    /// The voters of that roster.
    pub voters: Vec<Ipv4Addr>,
    /// The roster that this round proposes to replace it with, if any; the round then needs quorums of both.
    pub next_roster: Option<Item>,
    /// The voters of the next roster; empty if there is none.
    pub next_voters: Vec<Ipv4Addr>,
    /// Whether the proposer lost its disk and catches up by this round: the round only reads, and the proposer itself
    /// does not count in its quorums.
    pub recovers: bool,
    /// The valid promises, by voter.
    pub promises: BTreeMap<Ipv4Addr, VoterPromise>,
    /// The proposal with the highest ballot among those that the voters accepted in earlier rounds.
    pub highest_accepted: AcceptedProposal,
    /// The keys of the items that the proposer learned since it sent its digests.
    pub learned: BTreeSet<ItemKey>,
    /// The proposal; `None` in phase 1.
    pub proposal: Option<Proposal>,
    /// The voters that have accepted the proposal.
    pub accepted: BTreeSet<Ipv4Addr>,
    /// The voters that have promised a higher ballot, or whose disks take no writes.
    pub rejected: BTreeSet<Ipv4Addr>,
    /// Whether this is a led round: its phase 1 was part of the proposer's last round.
    pub is_led: bool,
    /// In a led round: the chosen items of the leader's last round, which voters may not know to be chosen yet.
    pub last_items: Vec<Item>,
    /// The ballot that voters promise when they accept the proposal; `None` if the proposer does not become the leader
    /// by this round.
    pub next_ballot: Option<Ballot>,
    /// The promises of `next_ballot`, by voter.
    pub next_promises: BTreeMap<Ipv4Addr, VoterPromise>,
    /// Replies to send once the proposal is chosen.
    pub outcomes: Vec<Outcome>,
    /// For tests with [`crate::Guards::evaluate_on_quorum_state`] off: the configuration that was known when the round
    /// began.
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

    /// All voters, of both rosters if the round changes the roster.
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

    /// Adds a promise, and drops the promises that have become void: a voter that lost its disk after its promise may
    /// since have accepted a proposal that this round would have to know. Such a voter is asked again.
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

    /// Whether the proposal is sent to the voters even if it is empty. A leader needs their answers, which show that
    /// they have not promised a higher ballot to another proposer; and a proposer becomes or stays the leader only by
    /// these answers.
    pub fn needs_acceptance(&self) -> bool {
        self.is_led
            || self
                .outcomes
                .iter()
                .any(|outcome| outcome.task.is_coordination())
    }

    /// Whether enough voters have promised for phase 2 to begin.
    pub fn has_promise_quorum(&self, proposer: Ipv4Addr) -> bool {
        self.holds_in_each_roster(|voters| {
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
        self.holds_in_each_roster(|voters| {
            let accepted = |voter: &&Ipv4Addr| self.accepted.contains(*voter);
            voters.iter().filter(accepted).count() >= accept_quorum(voters, tolerated_failures)
        })
    }

    /// Whether too many voters have rejected the round for the others to be a majority.
    pub fn is_quorum_impossible(&self) -> bool {
        !self.holds_in_each_roster(|voters| {
            let has_not_rejected = |voter: &&Ipv4Addr| !self.rejected.contains(*voter);
            voters.iter().filter(has_not_rejected).count() >= majority(voters)
        })
    }

    /// Whether the condition holds for the voters of the roster, and of the next roster if there is one.
    fn holds_in_each_roster(&self, condition: impl Fn(&[Ipv4Addr]) -> bool) -> bool {
        condition(&self.voters) && (self.next_voters.is_empty() || condition(&self.next_voters))
    }

    /// The chosen items that some voter lacked when it promised; all chosen items if the round changes the roster.
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
            // In all other buckets, the voter has the same items as the proposer had when it sent its digests.
            let differs = learned || promise.buckets.contains(&bucket);
            let voter_version = promise.versions.get(&item.key);
            differs && voter_version.is_none_or(|version| *version < item.version)
        })
    }
}
