//! Comparing state with other replicas, and keeping the roster of voters.

use super::{Action, Replica, GONE, PATIENCE, PLACELESS, SILENT, VACANT};
use crate::call::Work;
use crate::message::Message;
use crate::round::{majority, Task};
use crate::state::voters;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Replica {
    /// With whom it compares.
    pub(super) fn others(&self, now: u64) -> BTreeSet<Ipv4Addr> {
        let mut others: BTreeSet<Ipv4Addr> = self.voters().into_iter().collect();
        if !self.votes() {
            others.extend(&self.options.seeds);
        }
        let near = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heard > 0 && now < peer.heard + SILENT);
        others.extend(near.map(|(peer, _)| *peer));
        others.remove(&self.options.me);
        others
    }

    pub(super) fn exchange(&mut self, now: u64, out: &mut Vec<Action>) {
        let others = self.others(now);
        self.peers.retain(|peer, _| others.contains(peer));
        self.compare_with_self(now);
        self.seq += 1;
        let (seq, digest) = (self.seq, self.state().digest());
        for to in others {
            let peer = self.peers.entry(to).or_default();
            (peer.asked, peer.open) = ((seq, now), Vec::new());
            self.send(to, Message::Exchange { seq, digest }, out);
        }
    }

    /// Asks for the roster without itself, unless that is on its way or would be too small.
    pub(super) fn leave(&mut self, now: u64) {
        let Some(roster) = self.state().roster() else {
            return;
        };
        let (mut wanted, ver) = (voters(roster), roster.version);
        let asked =
            |task: &Task| matches!(task.work, Work::Roster { ver: asked, .. } if asked == ver);
        let proposed = self
            .round
            .iter()
            .flat_map(|round| &round.outcomes)
            .map(|outcome| &outcome.task);
        if wanted.len() <= self.fewest() || self.tasks.iter().chain(proposed).any(asked) {
            return;
        }
        let had = wanted.len();
        wanted.retain(|voter| *voter != self.options.me);
        if wanted.len() < had {
            let work = Work::Roster {
                ver,
                voters: wanted,
            };
            // Before calls: they can be sent to others.
            self.tasks.push_front(Task {
                work,
                until: now + PATIENCE,
                proposed: false,
            });
        }
    }

    /// Takes a place on the roster if it has none, or frees the place of a machine that is gone.
    pub(super) fn tend_roster(&mut self, now: u64) {
        let Some(roster) = self.state().roster() else {
            return;
        };
        let (voters, ver, me) = (voters(roster), roster.version, self.options.me);
        let busy = self
            .tasks
            .iter()
            .any(|task| matches!(task.work, Work::Roster { .. }));
        if self.storage_refusal().is_some()
            || !self.acceptor.voting
            || busy
            || self.leaving
            || !self.settled(now)
        {
            return;
        }
        let silent = |voter: &Ipv4Addr, since: u64| {
            let heard = self
                .peers
                .get(voter)
                .map_or(0, |peer| peer.heard)
                .max(self.started);
            *voter != me && now >= heard + since
        };
        let fewest = self.fewest();
        let mut wanted = voters.clone();
        if voters.contains(&me) {
            // Sooner, if the others are too few to bear further losses: the one that is silent may be gone for good.
            let alive = voters.iter().filter(|voter| !silent(voter, VACANT)).count();
            let bears = alive >= majority(&voters) + self.options.tolerated;
            let patience = if bears || !self.acceptor.guards.margin {
                GONE
            } else {
                VACANT
            };
            if let Some(gone) = voters.iter().position(|voter| silent(voter, patience)) {
                if voters.len() > fewest {
                    wanted.remove(gone);
                }
            }
        } else {
            // Before it has listened for so long, it doesn't know who is silent.
            let listens = now < self.started + PLACELESS && !self.options.bootstrap;
            if listens && self.acceptor.guards.heard {
                return;
            }
            // One that was just silent may be about to come back, or to be gone.
            if voters
                .iter()
                .any(|voter| silent(voter, PLACELESS) && !silent(voter, VACANT))
            {
                return;
            }
            wanted.push(me);
            let mut spare =
                (voters.len() - majority(&voters)).min(wanted.len().saturating_sub(fewest));
            wanted.retain(|voter| {
                let leaves = spare > 0 && silent(voter, VACANT);
                spare -= usize::from(leaves);
                !leaves
            });
        }
        wanted.sort_unstable();
        if wanted != voters {
            let work = Work::Roster {
                ver,
                voters: wanted,
            };
            self.tasks.push_back(Task {
                work,
                until: now + PATIENCE,
                proposed: false,
            });
        }
    }
}
