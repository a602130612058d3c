//! Messages from other replicas: dispatch, and the voter's side of a round.

use super::persistence::AcceptedChange;
use super::{Action, Replica};
use crate::ballot::Ballot;
use crate::message::Message;
use crate::round::Promise;
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
            self.peers.entry(from).or_default().last_heard_at = Some(self.now);
        }
        if let Some(ballot) = self.ballot_without_disk(&message) {
            return self.send(from, Message::DiskUnavailable { ballot }, actions);
        }
        match message {
            Message::Prepare {
                ballot,
                roster,
                digests,
                recovers,
            } => {
                if self.accepts_roster(from, ballot, &roster, actions) {
                    self.on_prepare(from, ballot, &digests, recovers, actions);
                }
            }
            Message::Accept {
                ballot,
                roster,
                chosen,
                items,
            } => {
                if self.accepts_roster(from, ballot, &roster, actions) {
                    self.on_accept(from, ballot, &chosen, items, actions);
                }
            }
            Message::Promise {
                ballot,
                incarnation,
                latest_incarnations,
                accepted,
                buckets,
                chosen,
            } => {
                let versions = chosen
                    .iter()
                    .map(|item| (item.key.clone(), item.version))
                    .collect();
                let promise = Promise {
                    incarnation,
                    latest_incarnations,
                    buckets,
                    versions,
                };
                self.on_promise(from, ballot, promise, accepted, &chosen, actions);
            }
            Message::Accepted { ballot } => self.on_accepted(from, ballot, actions),
            Message::Rejected { ballot, promised } => self.on_rejected(from, ballot, promised),
            // The voter is just not counted: the round goes on with the others.
            Message::NotVoting { .. } => {}
            Message::DiskUnavailable { ballot } => self.on_disk_unavailable(from, ballot),
            Message::StaleRoster { ballot, roster } => {
                self.on_stale_roster(ballot, roster, actions);
            }
            Message::BootstrapQuery { query_nonce } => {
                self.on_bootstrap_query(from, query_nonce, actions);
            }
            Message::BootstrapReply {
                query_nonce,
                candidate_nonce,
            } => self.on_bootstrap_reply(from, query_nonce, candidate_nonce),
            Message::FirstRoster {
                query_nonce,
                roster,
            } => self.on_first_roster(query_nonce, roster, actions),
            Message::Chosen { items } => {
                // The round that this replica yielded to may be over.
                self.yields_until = None;
                self.learn(&items, actions);
            }
            Message::CompareDigest {
                comparison_id,
                digest,
            } => self.on_compare_digest(from, comparison_id, digest, actions),
            Message::DigestMatches {
                comparison_id,
                voting,
                unchosen,
            } => self.on_comparison_answered(from, comparison_id, voting, unchosen),
            Message::DigestDiffers {
                comparison_id,
                digests,
                unchosen,
            } => self.on_digest_differs(from, comparison_id, &digests, unchosen, actions),
            Message::FetchBuckets {
                comparison_id,
                buckets,
            } => self.on_fetch_buckets(from, comparison_id, &buckets, actions),
            Message::BucketItems {
                comparison_id,
                items,
                voting,
            } => {
                self.learn(&items, actions);
                self.on_bucket_items(from, comparison_id, voting);
            }
        }
    }

    fn on_prepare(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        digests: &[u64],
        recovers: bool,
        actions: &mut Vec<Action>,
    ) {
        let answer = self.acceptor.prepare(ballot, digests, recovers);
        self.highest_counter = self.highest_counter.max(ballot.counter);
        self.yield_to(from, &answer);
        self.answer_proposer(from, answer, AcceptedChange::Unchanged, actions);
    }

    fn on_accept(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        chosen: &[Item],
        items: Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        let answer = self.acceptor.accept(ballot, items);
        if matches!(answer, Message::Accepted { .. }) {
            self.schedule_repair();
        }
        // The order of the two writes does not matter: both are on the disk before the answer is sent.
        self.learn(chosen, actions);
        self.answer_proposer(from, answer, AcceptedChange::Changed, actions);
    }

    /// Whether a round's roster is no older than the newest one known here. If it is older, the proposer is told the
    /// newer one; otherwise the roster is learned, as proposers use chosen ones only.
    fn accepts_roster(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        roster: &Item,
        actions: &mut Vec<Action>,
    ) -> bool {
        match self.state().roster().cloned() {
            Some(newer) if newer.version > roster.version => {
                let roster = newer;
                self.send(from, Message::StaleRoster { ballot, roster }, actions);
                false
            }
            _ => {
                self.learn(std::slice::from_ref(roster), actions);
                true
            }
        }
    }

    /// Sends a voter's answer: a vote once it is on the disk, a rejection at once.
    fn answer_proposer(
        &mut self,
        to: Ipv4Addr,
        answer: Message,
        accepted: AcceptedChange,
        actions: &mut Vec<Action>,
    ) {
        if matches!(answer, Message::Promise { .. } | Message::Accepted { .. }) {
            self.persist_then_send(accepted, to, answer, actions);
        } else {
            self.send(to, answer, actions);
        }
    }
}
