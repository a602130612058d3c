//! Late candidacy: a seed becomes a candidate for the bootstrap although its settings no longer ask for a bootstrap.
//!
//! A bootstrap may be interrupted at some seeds before their nonces are synced, and all seeds may then be restarted
//! with `bootstrap` off, as for any later start. The seeds without a nonce look like machines that lost their disks,
//! and too few candidates may be left for a first roster. So a seed that knows no roster and is not a candidate asks
//! all other seeds. It becomes a candidate once each of them has answered that it knows no roster and is configured
//! with the same seeds, and at least one of them has answered that it is a candidate. Then the bootstrap continues as
//! usual: its initiator asks all seeds again.
//!
//! In a system with a roster, at least one seed knows it as long as no more disks are lost at once than are tolerated.
//! If the disks of all seeds are lost, no seed is a candidate, and no roster is written.

use super::{Action, Replica};
use crate::bootstrap::BootstrapNonce;
use crate::message::{CandidacyQuery, CandidacyReply, Chosen, Message};
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The interval at which the other seeds are asked, and the delay of the first query after the start. A machine that
/// lost its disk has learned the roster by then.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// The answers that a seed that is not a candidate has received from the other seeds.
#[derive(Debug, Default)]
pub(super) struct LateCandidacy {
    /// The nonce of this process' queries; `None` before the first.
    query_nonce: Option<BootstrapNonce>,
    /// The seeds that know no roster, and whether each is a candidate.
    replies: BTreeMap<Ipv4Addr, bool>,
    /// When the next queries are sent, if this replica sends any.
    next_query_at: Timestamp,
}

impl Replica {
    /// The sorted seeds, if there are several and this replica is one of them, knows no roster, and is not a candidate.
    fn seeds_without_candidacy(&self) -> Option<Vec<Ipv4Addr>> {
        let is_open = self.guards().bootstrap_agreement
            && self.acceptor.bootstrap_candidate.is_none()
            && self.state().roster().is_none();
        let seeds = self.sorted_seeds();
        let is_one_of_several = seeds.len() > 1 && seeds.contains(&self.options.address);
        (is_open && is_one_of_several).then_some(seeds)
    }

    /// When this replica asks the other seeds; `None` if it does not have to.
    pub(super) fn next_candidacy_query_at(&self) -> Option<Timestamp> {
        self.seeds_without_candidacy()?;
        let first_query_at = self.started_at + QUERY_INTERVAL;
        Some(self.late_candidacy.next_query_at.max(first_query_at))
    }

    /// Asks the other seeds if that is due.
    pub(super) fn drive_late_candidacy(&mut self, actions: &mut Vec<Action>) {
        if self
            .next_candidacy_query_at()
            .is_none_or(|at| self.now < at)
        {
            return;
        }
        self.late_candidacy.next_query_at = self.now + QUERY_INTERVAL;
        self.late_candidacy.replies.clear();
        let query_nonce = BootstrapNonce(self.random.below(u64::MAX).max(1));
        self.late_candidacy.query_nonce = Some(query_nonce);
        let seeds = self.sorted_seeds();
        for seed in seeds.clone() {
            if seed != self.options.address {
                let query = CandidacyQuery {
                    query_nonce,
                    seeds: seeds.clone(),
                };
                self.send(seed, Message::CandidacyQuery(query), actions);
            }
        }
    }

    /// Answers another seed's query whether this replica knows a roster. A seed that is configured with other seeds
    /// gets no answer, unless a roster is known.
    pub(super) fn on_candidacy_query(
        &mut self,
        from: Ipv4Addr,
        query: CandidacyQuery,
        actions: &mut Vec<Action>,
    ) {
        if let Some(roster) = self.state().roster().cloned() {
            let items = vec![roster];
            return self.send(from, Message::Chosen(Chosen { items }), actions);
        }
        let candidate = self.acceptor.bootstrap_candidate.as_ref();
        let own_seeds =
            candidate.map_or_else(|| self.sorted_seeds(), |candidate| candidate.seeds.clone());
        if own_seeds != query.seeds {
            return;
        }
        let reply = CandidacyReply {
            query_nonce: query.query_nonce,
            is_candidate: self.candidacy().is_some(),
        };
        self.send(from, Message::CandidacyReply(reply), actions);
    }

    /// Another seed has answered that it knows no roster.
    pub(super) fn on_candidacy_reply(
        &mut self,
        from: Ipv4Addr,
        reply: CandidacyReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(seeds) = self.seeds_without_candidacy() else {
            return;
        };
        let is_current = self.late_candidacy.query_nonce == Some(reply.query_nonce);
        if !is_current || !seeds.contains(&from) {
            return;
        }
        self.late_candidacy.replies.insert(from, reply.is_candidate);
        let replies = &self.late_candidacy.replies;
        let all_answered = seeds
            .iter()
            .all(|seed| *seed == self.options.address || replies.contains_key(seed));
        let any_candidate = replies.values().any(|is_candidate| *is_candidate);
        if all_answered && any_candidate {
            self.become_candidate(seeds, actions);
        }
    }
}
