//! Messages from other replicas: what each of them leads to.

use super::{Action, Replica};
use crate::message::{Ballot, Message};
use crate::round::Promised;
use emberpin_config::Item;
use std::net::Ipv4Addr;

impl Replica {
    pub(super) fn hear(
        &mut self,
        now: u64,
        from: Ipv4Addr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if from != self.options.me {
            self.peers.entry(from).or_default().heard = now.max(1);
        }
        if let Some(ballot) = self.vote_refused(&message) {
            return self.send(from, Message::DiskUnavailable { ballot }, out);
        }
        match message {
            Message::Prepare {
                ballot,
                roster,
                digests,
                recovers,
            } => {
                if self.goes_by(from, ballot, &roster, out) {
                    let answer = self.acceptor.prepare(ballot, &digests, recovers);
                    self.counter = self.counter.max(ballot.counter);
                    self.yield_to(now, from, &answer);
                    self.answer(from, answer, false, out);
                }
            }
            Message::Accept {
                ballot,
                roster,
                chosen,
                items,
            } => {
                if self.goes_by(from, ballot, &roster, out) {
                    let answer = self.acceptor.accept(ballot, items);
                    if matches!(answer, Message::Accepted { .. }) {
                        self.watch_open(now);
                    }
                    // Learned first or with it: in either order they are on the disk before the answer goes
                    // out.
                    self.learn(&chosen, out);
                    self.answer(from, answer, true, out);
                }
            }
            Message::Promise {
                ballot,
                incarnation,
                renewals,
                pending,
                buckets,
                chosen,
            } => {
                let versions = chosen
                    .iter()
                    .map(|item| (item.key.clone(), item.version))
                    .collect();
                let promised = Promised {
                    incarnation,
                    renewals,
                    buckets,
                    versions,
                };
                self.promise(now, from, ballot, promised, pending, chosen, out);
            }
            Message::Accepted { ballot } => self.accepted(now, from, ballot, out),
            Message::Refused { ballot, promised } => {
                self.counter = self.counter.max(promised.counter);
                // One's own ballot comes back if a message came twice.
                if promised > ballot {
                    self.refused(now, from, ballot);
                }
            }
            Message::NotVoting { .. } => {}
            Message::DiskUnavailable { ballot } => self.voter_unavailable(now, from, ballot),
            Message::Roster { ballot, roster } => {
                self.learn(std::slice::from_ref(&roster), out);
                if self.round.as_ref().is_some_and(|round| {
                    round.ballot == ballot && round.roster.version < roster.version
                }) {
                    self.give_way(now, false);
                }
            }
            Message::Candidacy { asker } => self.give_word(from, asker, out),
            Message::Word { asker, candidate } => self.take_word(now, from, asker, candidate),
            Message::Founded { asker, roster } => self.take_founded(asker, &roster, out),
            Message::Chosen { items } => {
                // The round that it yielded to may be over.
                self.yields_until = 0;
                self.learn(&items, out);
            }
            Message::Exchange { seq, digest } => {
                let answer = match digest == self.state().digest() {
                    true => Message::Same {
                        seq,
                        voting: self.acceptor.voting,
                        open: self.open_versions(),
                    },
                    false => Message::Differ {
                        seq,
                        digests: self.state().digests().to_vec(),
                        open: self.open_versions(),
                    },
                };
                self.send(from, answer, out);
            }
            Message::Same { seq, voting, open } => self.compared(from, seq, voting, open),
            Message::Differ { seq, digests, open } => {
                if let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.asked.0 == seq) {
                    peer.open = open;
                }
                let buckets = self.state().differing(&digests);
                let items = self.state().in_buckets(&buckets);
                if !items.is_empty() {
                    self.send(from, Message::Chosen { items }, out);
                }
                self.send(from, Message::Fetch { seq, buckets }, out);
            }
            Message::Fetch { seq, buckets } => {
                let items = self.state().in_buckets(&buckets);
                self.send(
                    from,
                    Message::Items {
                        seq,
                        items,
                        voting: self.acceptor.voting,
                    },
                    out,
                );
            }
            Message::Items { seq, items, voting } => {
                self.learn(&items, out);
                // As it was when the digests were told: the buckets were chosen by those.
                let open = self
                    .peers
                    .get(&from)
                    .map_or_else(Vec::new, |peer| peer.open.clone());
                self.compared(from, seq, voting, open);
            }
        }
    }

    /// Whether a round goes by the newest roster known here; what it goes by is chosen in any case.
    pub(super) fn goes_by(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        roster: &Item,
        out: &mut Vec<Action>,
    ) -> bool {
        match self.state().roster().cloned() {
            Some(newer) if newer.version > roster.version => {
                self.send(
                    from,
                    Message::Roster {
                        ballot,
                        roster: newer,
                    },
                    out,
                );
                false
            }
            _ => {
                self.learn(std::slice::from_ref(roster), out);
                true
            }
        }
    }

    pub(super) fn answer(
        &mut self,
        to: Ipv4Addr,
        answer: Message,
        pending: bool,
        out: &mut Vec<Action>,
    ) {
        match answer {
            Message::Promise { .. } | Message::Accepted { .. } => {
                self.persist(Vec::new(), pending, true, Some((to, answer)), out);
            }
            _ => self.send(to, answer, out),
        }
    }
}
