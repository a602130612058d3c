//! Messages from other replicas: dispatch, and the voter's side of a round.

use super::persistence::AcceptedChange;
use super::{Action, Replica};
use crate::ballot::Ballot;
use crate::message::{Accept, Message, Prepare, StaleRoster};
use emberpin_config::Item;
use std::net::Ipv4Addr;

impl Replica {
    /// Handles a message from another replica, or from this one to itself.
    pub(super) fn on_message(
        &mut self,
        from: Ipv4Addr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        if from != self.options.address {
            self.peers.entry(from).or_default().last_message_at = Some(self.now);
        }
        match message {
            Message::Prepare(prepare) => self.on_prepare(from, prepare, actions),
            Message::Promise(promise) => self.on_promise(from, promise, actions),
            Message::Accept(accept) => self.on_accept(from, accept, actions),
            Message::Accepted(accepted) => self.on_accepted(from, accepted, actions),
            Message::Rejected(rejected) => self.on_rejected(from, rejected, actions),
            // Nothing to do: the replica is not counted, and the round goes on with the other voters.
            Message::NotVoting(_) => {}
            Message::StaleRoster(stale) => self.on_stale_roster(stale, actions),
            Message::BootstrapQuery(query) => self.on_bootstrap_query(from, query, actions),
            Message::BootstrapReply(reply) => self.on_bootstrap_reply(from, reply),
            Message::FirstRoster(first) => self.on_first_roster(first, actions),
            Message::Chosen(chosen) => self.on_chosen(&chosen.items, actions),
            Message::CompareDigest(compare) => self.on_compare_digest(from, compare, actions),
            Message::DigestMatches(matches) => self.on_digest_matches(from, matches),
            Message::DigestDiffers(differs) => self.on_digest_differs(from, differs, actions),
            Message::FetchBuckets(fetch) => self.on_fetch_buckets(from, &fetch, actions),
            Message::BucketItems(answer) => self.on_bucket_items(from, &answer, actions),
            Message::DiskUnavailable(unavailable) => self.on_disk_unavailable(from, unavailable),
            Message::CandidacyQuery(query) => self.on_candidacy_query(from, query, actions),
            Message::CandidacyReply(reply) => self.on_candidacy_reply(from, reply, actions),
            Message::AcceptLed(accept) => self.on_accept_led(from, accept, actions),
            Message::AcceptedLed(accepted) => self.on_accepted_led(from, accepted, actions),
            Message::FetchNewer(fetch) => self.on_fetch_newer(from, &fetch, actions),
        }
    }

    fn on_prepare(&mut self, from: Ipv4Addr, prepare: Prepare, actions: &mut Vec<Action>) {
        let Prepare {
            ballot,
            roster,
            digests,
            recovers,
        } = prepare;
        if !self.may_vote(from, ballot, &roster, actions) {
            return;
        }
        let answer = self.acceptor.prepare(ballot, &digests, recovers);
        self.highest_counter = self.highest_counter.max(ballot.counter);
        self.yield_to(from, &answer);
        self.answer_proposer(from, answer, AcceptedChange::Unchanged, actions);
    }

    fn on_accept(&mut self, from: Ipv4Addr, accept: Accept, actions: &mut Vec<Action>) {
        let Accept {
            ballot,
            roster,
            chosen,
            items,
        } = accept;
        if !self.may_vote(from, ballot, &roster, actions) {
            return;
        }
        let answer = self.acceptor.accept(ballot, items);
        if matches!(answer, Message::Accepted(_)) {
            self.schedule_repair();
        }
        // The order of the two writes does not matter, as both are on the disk before the answer is sent.
        self.learn(&chosen, actions);
        self.answer_proposer(from, answer, AcceptedChange::Changed, actions);
    }

    fn on_chosen(&mut self, items: &[Item], actions: &mut Vec<Action>) {
        // The round to which this replica yielded may be over.
        self.yields_until = None;
        self.learn(items, actions);
    }

    /// Whether this replica may vote in a round: its disk takes writes, and it knows no newer roster than the round's.
    /// If not, this replica sends the reason to the proposer. Otherwise it learns the roster, as proposers only use
    /// chosen rosters.
    pub(super) fn may_vote(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        roster: &Item,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.disk_unavailable_reason().is_some() {
            self.reject_without_disk(from, ballot, actions);
            return false;
        }
        let newer = self
            .state()
            .roster()
            .filter(|newest| newest.version > roster.version)
            .cloned();
        if let Some(roster) = newer {
            let stale = StaleRoster { ballot, roster };
            self.send(from, Message::StaleRoster(stale), actions);
            return false;
        }
        self.learn(std::slice::from_ref(roster), actions);
        true
    }

    /// Sends a voter's answer: a promise or an acceptance once it is on the disk, any other answer at once.
    pub(super) fn answer_proposer(
        &mut self,
        to: Ipv4Addr,
        answer: Message,
        accepted: AcceptedChange,
        actions: &mut Vec<Action>,
    ) {
        if matches!(
            answer,
            Message::Promise(_) | Message::Accepted(_) | Message::AcceptedLed(_)
        ) {
            self.persist_then_send(accepted, to, answer, actions);
        } else {
            self.send(to, answer, actions);
        }
    }
}
