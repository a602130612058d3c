//! Leadership: rounds that need no phase 1.
//!
//! A voter that accepts a leader's proposal promises the leader's next ballot with the same write. So a quorum that has
//! accepted a round has promised the next one, and its answers say the same as promises would: that this proposal is
//! the last that the voters accepted, and that they have learned the chosen items that were sent with it. The leader's
//! next proposal carries the items of this one as chosen. If no proposal follows soon, the leader announces them
//! separately.
//!
//! These promises follow the same rules as others: they are void once their voter has lost its disk, or another
//! proposer has been promised a higher ballot, which the leader finds out when its proposal is rejected. A leader has
//! no exclusive rights: any replica may begin a round with phase 1, and becomes the leader by it. Replicas redirect
//! applications to the leader that they know, so that the rounds of two proposers do not contend.

use super::{Action, Replica};
use crate::ballot::Ballot;
use crate::event::Rounds;
use crate::message::{AcceptLed, AcceptedLed, Chosen, Message};
use crate::replica::persistence::AcceptedChange;
use crate::round::{Round, VoterPromise};
use crate::time::Timestamp;
use emberpin_config::{Item, Version};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// How long the chosen items of a round wait for the leader's next proposal to carry them before they are announced
/// separately.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(40);
/// Callers are not redirected to a leader whose last proposal is older than this, as it may have failed.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// The promises of a quorum for the next round of this replica.
#[derive(Debug)]
pub(super) struct Leadership {
    ballot: Ballot,
    /// The version of the roster of which the promises are a quorum.
    roster_version: Version,
    promises: BTreeMap<Ipv4Addr, VoterPromise>,
    /// The items of the last round. The next proposal carries them, whether or not they were announced before: an
    /// announcement may be lost, and a voter that accepts the next proposal no longer records that it accepted them.
    last_items: Vec<Item>,
    /// When the items are announced separately; `None` if they already are, or there are none.
    announce_at: Option<Timestamp>,
}

/// The leader that this replica knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownLeader {
    address: Ipv4Addr,
    /// When its last proposal was accepted here.
    accepted_at: Timestamp,
}

impl Replica {
    /// The leader, if it is another replica and this one accepted a proposal of it recently.
    pub fn other_leader(&self) -> Option<Ipv4Addr> {
        self.known_leader
            .filter(|leader| self.now < leader.accepted_at + LEADER_TIMEOUT)
            .map(|leader| leader.address)
            .filter(|address| *address != self.options.address)
    }

    /// Whether this replica may begin its next round without phase 1.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some() || self.round.as_ref().is_some_and(|round| round.is_led)
    }

    /// Reserves the ballot that voters promise when they accept the proposal of this round.
    pub(super) fn reserve_next_ballot(&mut self) -> Option<Ballot> {
        (self.options.rounds == Rounds::Led).then(|| self.next_ballot())
    }

    /// Creates the next round of this replica as the leader, whose phase 1 is already done; `None` if the replica does
    /// not lead, or no longer leads with this roster.
    pub(super) fn begin_led_round(&mut self, roster: &Item, timeout: Duration) -> Option<Round> {
        let leadership = self.leadership.take_if(|leadership| {
            leadership.roster_version == roster.version
                && leadership.ballot.counter >= self.highest_counter
        })?;
        let mut round = Round::new(leadership.ballot, self.now, timeout, roster.clone(), None);
        for (voter, promise) in leadership.promises {
            round.add_promise(voter, promise);
        }
        if !round.has_promise_quorum(self.options.address) {
            return None;
        }
        round.is_led = true;
        round.last_items = leadership.last_items;
        Some(round)
    }

    /// Becomes or stays the leader: the round's proposal is chosen, and the voters that accepted it have promised the
    /// next ballot.
    pub(super) fn become_leader(
        &mut self,
        round: &mut Round,
        next_ballot: Ballot,
        items: Vec<Item>,
    ) {
        self.leadership = Some(Leadership {
            ballot: next_ballot,
            roster_version: round.roster.version,
            promises: std::mem::take(&mut round.next_promises),
            announce_at: (!items.is_empty()).then(|| self.now + ANNOUNCEMENT_DELAY),
            last_items: items,
        });
    }

    /// When the items of the last round are to be announced without a proposal.
    pub(super) fn next_announcement_at(&self) -> Option<Timestamp> {
        self.leadership.as_ref()?.announce_at
    }

    /// Announces the items of the last round, if that is due.
    pub(super) fn announce_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.next_announcement_at().is_some_and(|at| self.now >= at) {
            self.announce(actions);
        }
    }

    /// Announces the items of the last round to all other replicas that this one knows, unless they already are
    /// announced.
    pub(super) fn announce(&mut self, actions: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.announce_at.take().is_none() {
            return;
        }
        let items = leadership.last_items.clone();
        let mut receivers = self.comparison_peers();
        receivers.remove(&self.options.address);
        for to in receivers {
            let items = items.clone();
            self.send(to, Message::Chosen(Chosen { items }), actions);
        }
    }

    pub(super) fn on_accept_led(
        &mut self,
        from: Ipv4Addr,
        accept: AcceptLed,
        actions: &mut Vec<Action>,
    ) {
        let AcceptLed {
            ballot,
            next_ballot,
            roster,
            chosen,
            items,
        } = accept;
        if !self.may_vote(from, ballot, &roster, actions) {
            return;
        }
        let answer = self.acceptor.accept_led(ballot, next_ballot, items);
        if matches!(answer, Message::AcceptedLed(_)) {
            self.highest_counter = self.highest_counter.max(next_ballot.counter);
            self.schedule_repair();
            self.record_leader(from, actions);
        }
        self.learn(&chosen, actions);
        self.answer_proposer(from, answer, AcceptedChange::Changed, actions);
    }

    /// Records the leader, and redirects the applications that wait at this replica to it.
    fn record_leader(&mut self, leader: Ipv4Addr, actions: &mut Vec<Action>) {
        self.known_leader = Some(KnownLeader {
            address: leader,
            accepted_at: self.now,
        });
        if leader != self.options.address {
            self.redirect_applications(leader, actions);
        }
    }

    pub(super) fn on_accepted_led(
        &mut self,
        from: Ipv4Addr,
        accepted: AcceptedLed,
        actions: &mut Vec<Action>,
    ) {
        let AcceptedLed {
            ballot,
            next_ballot: _,
            incarnation,
            latest_incarnations,
        } = accepted;
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        let promise = VoterPromise {
            incarnation,
            latest_incarnations,
            buckets: Vec::new(),
            versions: BTreeMap::new(),
        };
        round.next_promises.insert(from, promise);
        self.on_accepted(from, crate::message::Accepted { ballot }, actions);
    }
}
