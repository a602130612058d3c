//! Messages from other replicas: what each of them leads to.

use super::{Action, Replica, OPEN};
use crate::message::{Ballot, Message};
use emberpin_config::Item;
use std::net::Ipv4Addr;

impl Replica {
    pub(super) fn hear(&mut self, now: u64, from: Ipv4Addr, message: Message, out: &mut Vec<Action>) {
        if from != self.options.me {
            self.peers.entry(from).or_default().heard = now.max(1);
        }
        match message {
            Message::Prepare { ballot, roster, digests } => {
                if self.goes_by(from, ballot, &roster, out) {
                    let answer = self.acceptor.prepare(ballot, &digests);
                    self.counter = self.counter.max(ballot.counter);
                    self.answer(from, answer, false, out);
                }
            }
            Message::Accept { ballot, roster, chosen, items } => {
                if self.goes_by(from, ballot, &roster, out) {
                    let answer = self.acceptor.accept(ballot, items);
                    if matches!(answer, Message::Accepted { .. }) {
                        self.open_until = self.acceptor.open().then_some(now + OPEN);
                        if let Some(open) = self.open_until {
                            self.open_until = Some(open + self.draw(OPEN));
                        }
                    }
                    // Learned first or with it: in either order they are on the disk before the answer goes
                    // out.
                    self.learn(&chosen, out);
                    self.answer(from, answer, true, out);
                }
            }
            Message::Promise { ballot, pending, buckets, chosen } => {
                self.promise(now, from, ballot, pending, buckets, chosen, out);
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
            Message::Roster { ballot, roster } => {
                self.learn(std::slice::from_ref(&roster), out);
                if self
                    .round
                    .as_ref()
                    .is_some_and(|round| round.ballot == ballot && round.roster.ver < roster.ver)
                {
                    self.give_way(now, false);
                }
            }
            Message::Chosen { items } => self.learn(&items, out),
            Message::Exchange { seq, digest } => {
                let answer = match digest == self.state().digest() {
                    true => Message::Same { seq, voting: self.acceptor.voting, open: self.open_versions() },
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
                self.send(from, Message::Items { seq, items, voting: self.acceptor.voting }, out);
            }
            Message::Items { seq, items, voting } => {
                self.learn(&items, out);
                // As it was when the digests were told: the buckets were chosen by those.
                let open = self.peers.get(&from).map_or_else(Vec::new, |peer| peer.open.clone());
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
            Some(newer) if newer.ver > roster.ver => {
                self.send(from, Message::Roster { ballot, roster: newer }, out);
                false
            }
            _ => {
                self.learn(std::slice::from_ref(roster), out);
                true
            }
        }
    }

    pub(super) fn answer(&mut self, to: Ipv4Addr, answer: Message, pending: bool, out: &mut Vec<Action>) {
        match answer {
            Message::Promise { .. } | Message::Accepted { .. } => {
                self.persist(Vec::new(), pending, true, Some((to, answer)), out);
            }
            _ => self.send(to, answer, out),
        }
    }
}
