//! The bootstrap of the system: the agreement on the first roster, and on the replicas that vote from then on.
//!
//! A seed that starts for the first time is a *candidate*: it draws a nonce and syncs it before it sends anything. The
//! seed with the lowest address, the *initiator*, asks all other seeds whether they know a roster. A seed that knows
//! one answers with it, which ends all candidacies. Once every seed has answered that it knows none, and a majority of
//! the seeds are candidates, the initiator writes version 1 of the roster, which names the candidates' nonces. A
//! candidate votes once it learns a first roster with its own nonce; any other replica has to catch up like a replica
//! that lost its disk.
//!
//! A seed without a nonce may become a candidate later ([`super::late_candidacy`]).
//!
//! Therefore a seed that lost its disk in a running system does not write another first roster, whatever its settings
//! say, as long as at least one of the seeds knows the roster, or no majority of them are candidates.

use super::{Action, Replica};
use crate::bootstrap::{BootstrapCandidate, BootstrapNonce};
use crate::message::{BootstrapQuery, BootstrapReply, Chosen, FirstRoster, Message};
use crate::quorum::majority;
use crate::roster::{first_roster_item, founder_nonce, roster_item, Founder};
use crate::storage::WriteToken;
use crate::time::Timestamp;
use emberpin_config::Version;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The interval at which seeds that have not answered are asked again.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// The state of the bootstrap at a replica without a roster.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    /// At the initiator: the seeds that answered, with their nonces if they are candidates.
    replies: BTreeMap<Ipv4Addr, Option<BootstrapNonce>>,
    /// At the initiator: when it sends its next queries.
    next_query_at: Timestamp,
    /// The write of this replica's nonce, until it is synced.
    unsynced_nonce: Option<WriteToken>,
    /// The nonce of the query that this replica answered last. A first roster of any other query is ignored.
    answered_query: Option<BootstrapNonce>,
}

impl Replica {
    /// Becomes a candidate, unless the disk records that this replica already is one.
    pub(super) fn begin_bootstrap(&mut self, actions: &mut Vec<Action>) {
        let seeds = self.sorted_seeds();
        if !self.acceptor.guards.bootstrap_agreement {
            self.acceptor.voting = seeds.contains(&self.options.address);
            self.learn(&[roster_item(Version(1), &seeds)], actions);
            self.persist_metadata(actions);
            return;
        }
        if self.acceptor.bootstrap_candidate.is_some() || !seeds.contains(&self.options.address) {
            return;
        }
        self.become_candidate(seeds, actions);
    }

    /// The seeds in the settings, sorted and without duplicates.
    pub(super) fn sorted_seeds(&self) -> Vec<Ipv4Addr> {
        let mut seeds = self.options.seeds.clone();
        seeds.sort_unstable();
        seeds.dedup();
        seeds
    }

    /// Draws a nonce, and writes it to the disk. No message about the candidacy is sent before the nonce is synced.
    pub(super) fn become_candidate(&mut self, seeds: Vec<Ipv4Addr>, actions: &mut Vec<Action>) {
        let nonce = BootstrapNonce(self.random.below(u64::MAX).max(1));
        self.acceptor.bootstrap_candidate = Some(BootstrapCandidate { nonce, seeds });
        self.persist_metadata(actions);
        self.bootstrap.unsynced_nonce = Some(self.last_write);
    }

    /// This replica's candidacy, if it is synced to the disk and no roster is known.
    pub(super) fn candidacy(&self) -> Option<&BootstrapCandidate> {
        let is_open = self.bootstrap.unsynced_nonce.is_none() && self.state().roster().is_none();
        self.acceptor
            .bootstrap_candidate
            .as_ref()
            .filter(|_| is_open)
    }

    /// This replica's candidacy, if it is the initiator.
    fn initiator(&self) -> Option<&BootstrapCandidate> {
        self.candidacy()
            .filter(|candidate| candidate.seeds.first() == Some(&self.options.address))
    }

    /// When the initiator sends its next queries.
    pub(super) fn next_bootstrap_query_at(&self) -> Option<Timestamp> {
        self.initiator().map(|_| self.bootstrap.next_query_at)
    }

    /// A write and all writes before it are synced; the candidate's nonce may be among them.
    pub(super) fn on_nonce_synced(&mut self, synced: WriteToken) {
        self.bootstrap
            .unsynced_nonce
            .take_if(|token| *token <= synced);
    }

    /// At the initiator: asks the seeds that have not answered, and writes the first roster once all have.
    pub(super) fn drive_bootstrap(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.bootstrap.next_query_at {
            return;
        }
        let Some(BootstrapCandidate { nonce, seeds }) = self.initiator().cloned() else {
            return;
        };
        self.bootstrap.next_query_at = self.now + QUERY_INTERVAL;
        let mut unanswered: Vec<Ipv4Addr> = seeds.clone();
        unanswered.retain(|seed| {
            *seed != self.options.address && !self.bootstrap.replies.contains_key(seed)
        });
        if unanswered.is_empty() {
            return self.write_first_roster(nonce, &seeds, actions);
        }
        for seed in unanswered {
            let query = BootstrapQuery { query_nonce: nonce };
            self.send(seed, Message::BootstrapQuery(query), actions);
        }
    }

    fn write_first_roster(
        &mut self,
        nonce: BootstrapNonce,
        seeds: &[Ipv4Addr],
        actions: &mut Vec<Action>,
    ) {
        let mut nonces = std::mem::take(&mut self.bootstrap.replies);
        nonces.insert(self.options.address, Some(nonce));
        if nonces.values().flatten().count() < majority(seeds) {
            // Without a majority of candidates, all seeds are asked again, as more may be candidates by then.
            return;
        }
        let founders: Vec<Founder> = seeds
            .iter()
            .map(|seed| Founder {
                address: *seed,
                nonce: nonces.get(seed).copied().flatten(),
            })
            .collect();
        let roster = first_roster_item(&founders);
        self.learn(std::slice::from_ref(&roster), actions);
        let own_address = self.options.address;
        for seed in seeds.iter().filter(|seed| **seed != own_address) {
            let first = FirstRoster {
                query_nonce: nonce,
                roster: roster.clone(),
            };
            self.persist_metadata_then_send(*seed, Message::FirstRoster(first), actions);
        }
    }

    /// Answers the initiator's query whether this replica knows a roster.
    pub(super) fn on_bootstrap_query(
        &mut self,
        from: Ipv4Addr,
        query: BootstrapQuery,
        actions: &mut Vec<Action>,
    ) {
        let BootstrapQuery { query_nonce } = query;
        if let Some(roster) = self.state().roster().cloned() {
            let items = vec![roster];
            return self.send(from, Message::Chosen(Chosen { items }), actions);
        }
        if self.bootstrap.unsynced_nonce.is_some() {
            // The initiator asks again; by then the nonce is on the disk.
            return;
        }
        self.bootstrap.answered_query = Some(query_nonce);
        let candidate = self
            .candidacy()
            .filter(|candidate| candidate.seeds.first() == Some(&from));
        let reply = BootstrapReply {
            query_nonce,
            candidate_nonce: candidate.map(|candidate| candidate.nonce),
        };
        self.send(from, Message::BootstrapReply(reply), actions);
    }

    /// At the initiator: a seed has answered that it knows no roster.
    pub(super) fn on_bootstrap_reply(&mut self, from: Ipv4Addr, reply: BootstrapReply) {
        let Some(BootstrapCandidate { nonce, seeds }) = self.initiator().cloned() else {
            return;
        };
        // A reply to a query that this seed sent before it lost its disk is void.
        if reply.query_nonce != nonce || !seeds.contains(&from) {
            return;
        }
        self.bootstrap.replies.insert(from, reply.candidate_nonce);
        let has_answered = |seed: &Ipv4Addr| {
            *seed == self.options.address || self.bootstrap.replies.contains_key(seed)
        };
        if seeds.iter().all(has_answered) {
            self.bootstrap.next_query_at = self.now;
        }
    }

    /// The initiator has written the first roster. The roster is void if the initiator has since lost its disk and
    /// asked again.
    pub(super) fn on_first_roster(&mut self, first: FirstRoster, actions: &mut Vec<Action>) {
        let answered_query = self.bootstrap.answered_query;
        if answered_query.is_none_or(|answered| answered == first.query_nonce) {
            self.learn(&[first.roster], actions);
        }
    }

    /// Begins to vote if the first roster records the nonce of this replica's candidacy.
    pub(super) fn vote_as_founder(&mut self, actions: &mut Vec<Action>) {
        if self.acceptor.voting {
            return;
        }
        let own_address = self.options.address;
        let recorded_nonce = self
            .state()
            .roster()
            .and_then(|roster| founder_nonce(roster, own_address));
        let candidate = self.acceptor.bootstrap_candidate.as_ref();
        let own_nonce = candidate.map(|candidate| candidate.nonce);
        if own_nonce.is_some() && recorded_nonce == own_nonce {
            self.acceptor.voting = true;
            self.persist_metadata(actions);
        }
    }
}
