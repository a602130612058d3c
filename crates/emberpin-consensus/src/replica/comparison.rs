//! Comparisons with other replicas: up to when all that was acknowledged is known here.
//!
//! A proposer may die between its answer and its news. A majority then holds the items as accepted, and nobody knows
//! them to be chosen. So a replica that is compared with names what it has accepted and does not know to be chosen, and
//! the comparison counts once the asker knows those versions, or newer ones, to be chosen.

use super::Replica;
use emberpin_config::{Item, ItemKey};
use std::net::Ipv4Addr;

/// Comparisons with one replica that wait; the oldest gives way.
const WAITING_COMPARISONS: usize = 4;

/// An item's name and version.
pub(super) type Version = (ItemKey, u64);

/// What is known of the comparisons with one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparisons {
    /// Until when what it held was here; `None`, as long as it doesn't count.
    pub counted: Option<u64>,
    /// When each began, and what has to be known before it counts.
    waiting: Vec<(u64, Vec<Version>)>,
}

impl Comparisons {
    fn add(&mut self, begun: u64, open: Vec<Version>) {
        if self.waiting.len() == WAITING_COMPARISONS {
            self.waiting.remove(0);
        }
        self.waiting.push((begun, open));
    }

    /// Counts the newest of which all is known.
    fn count(&mut self, known: impl Fn(&Version) -> bool) {
        let Some(at) = self
            .waiting
            .iter()
            .rposition(|(_, open)| open.iter().all(&known))
        else {
            return;
        };
        let (begun, _) = self.waiting[at];
        self.waiting.drain(..=at);
        self.counted = self.counted.max(Some(begun));
    }
}

impl Replica {
    /// What is accepted here and not known to be chosen.
    pub(super) fn open_versions(&self) -> Vec<Version> {
        let items = self
            .acceptor
            .pending
            .items
            .iter()
            .filter(|item| !self.state().covers(item));
        match self.acceptor.guards.open {
            true => items.map(|item| (item.key.clone(), item.version)).collect(),
            false => Vec::new(),
        }
    }

    /// What this replica itself has accepted is a part of each comparison.
    pub(super) fn compare_with_self(&mut self, now: u64) {
        let open = self.open_versions();
        self.own.add(now, open);
        self.count_comparisons();
    }

    /// Another replica has answered the comparison that is under way; one without a vote does not count.
    pub(super) fn compared(&mut self, from: Ipv4Addr, seq: u64, voting: bool, open: Vec<Version>) {
        let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.asked.0 == seq) else {
            return;
        };
        if voting {
            peer.compared.add(peer.asked.1, open);
            self.count_comparisons();
        } else {
            peer.compared = Comparisons::default();
        }
    }

    /// Counts what has become known.
    pub(super) fn count_comparisons(&mut self) {
        let state = &self.acceptor.state;
        let known = |(key, ver): &Version| {
            state.covers(&Item {
                key: key.clone(),
                version: *ver,
                body: None,
            })
        };
        self.own.count(known);
        self.peers
            .values_mut()
            .for_each(|peer| peer.compared.count(known));
    }

    /// So many milliseconds ago all that this replica holds itself was known to be chosen or not accepted.
    pub(super) fn own_age(&self, now: u64) -> Option<u64> {
        if self.open_versions().is_empty() {
            return Some(0);
        }
        self.own.counted.map(|at| now.saturating_sub(at))
    }
}
