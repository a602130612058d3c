//! What a replica does while its disk takes no writes.
//!
//! Memory may be ahead of a disk that failed: a ballot that was promised, a proposal that was accepted, items
//! that were learned. That is harmless, as each is one of these: an answer that was never sent, which other
//! replicas cannot tell from one that was lost on its way; or an item that a majority of other disks holds. So
//! the one duty is to say nothing that depends on a write before a sync that covers it. What was owed is
//! dropped when the disk fails, no vote is given and no round begun while it is gone, and votes start again
//! only after all of memory is synced.

use super::{Action, Replica};
use crate::message::{Ballot, Message};
use std::net::Ipv4Addr;

/// Whether the disk takes writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Storage {
    /// It does.
    #[default]
    Writable,
    /// It does not; why, in words for a caller.
    Unavailable { reason: String },
    /// It does again, and this write of all that is in memory is on its way.
    Restoring { token: u64 },
}

/// The answer to a call while all of memory is written to a disk that is back.
const RESTORING: &str = "the disk is being restored";

impl Replica {
    /// Why nothing that needs a write may begin; `None`, if it may.
    pub fn storage_refusal(&self) -> Option<&str> {
        match &self.storage {
            Storage::Writable => None,
            Storage::Unavailable { reason } => Some(reason),
            Storage::Restoring { .. } => Some(RESTORING),
        }
    }

    /// Whether a write would be lost.
    pub(super) fn drops_writes(&self) -> bool {
        matches!(self.storage, Storage::Unavailable { .. })
    }

    /// Drops what was to be said after writes that did not reach the disk, ends the round, and tells callers
    /// to come again.
    pub(super) fn disk_failed(&mut self, now: u64, reason: String, out: &mut Vec<Action>) {
        if self.guards().restore {
            self.owed.clear();
        }
        // Its tasks go back to the queue; those whose items were proposed may come to be chosen, which 503
        // leaves open.
        self.give_way(now, false);
        for id in self.tasks.drain(..).filter_map(|task| task.work.id()) {
            out.push(Action::Answer {
                id,
                status: 503,
                body: reason.clone(),
            });
        }
        self.storage = Storage::Unavailable { reason };
    }

    /// Writes all that is in memory.
    pub(super) fn disk_restored(&mut self, out: &mut Vec<Action>) {
        self.storage = Storage::Writable;
        if !self.guards().restore {
            return;
        }
        let all = self.state().iter().cloned().collect();
        self.persist(all, true, true, None, out);
        self.storage = Storage::Restoring { token: self.token };
    }

    /// Takes part again once the write of all that is in memory is synced.
    pub(super) fn storage_synced(&mut self, synced: u64) {
        if matches!(self.storage, Storage::Restoring { token } if synced >= token) {
            self.storage = Storage::Writable;
        }
    }

    /// The ballot of a message that asks for a vote which cannot be given.
    pub(super) fn vote_refused(&self, message: &Message) -> Option<Ballot> {
        self.storage_refusal()?;
        match message {
            Message::Prepare { ballot, .. } | Message::Accept { ballot, .. } => Some(*ballot),
            _ => None,
        }
    }

    /// A voter cannot write: the round goes on with the others, as long as they are a majority.
    pub(super) fn voter_unavailable(&mut self, now: u64, from: Ipv4Addr, ballot: Ballot) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        round.refused.insert(from);
        if round.lost() {
            self.give_way(now, true);
        }
    }
}
