//! What a replica does while its disk takes no writes.
//!
//! Memory may be ahead of a disk that failed: a ballot that was promised, a proposal that was accepted, items that were
//! learned. That is harmless, as each is one of these: an answer that was never sent, which other replicas cannot tell
//! from one that was lost on its way; or an item that a majority of other disks holds. So the only obligation is to
//! send nothing that depends on a write before a sync that covers it. Messages that waited for a sync are dropped when
//! the disk fails, no vote is given and no round begun meanwhile, and votes start again only after all of memory
//! is synced.

use super::calls::rejection;
use super::{Action, Replica};
use crate::ballot::Ballot;
use crate::error::CallError;
use crate::message::{DiskUnavailable, Message};
use crate::storage::WriteToken;
use std::net::Ipv4Addr;

/// Whether the disk takes writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum DiskState {
    #[default]
    Writable,
    Unavailable {
        /// Why, as an operator or client reads it.
        reason: String,
    },
    /// The disk takes writes again, and this write of everything in memory is not synced yet.
    Restoring { token: WriteToken },
}

/// The reply to a call while everything in memory is written to a disk that is back.
const RESTORING: &str = "the disk is being restored";

impl Replica {
    /// Why nothing that needs a write may begin; `None`, if it may.
    pub fn disk_unavailable_reason(&self) -> Option<&str> {
        match &self.disk_state {
            DiskState::Writable => None,
            DiskState::Unavailable { reason } => Some(reason),
            DiskState::Restoring { .. } => Some(RESTORING),
        }
    }

    /// Whether a write would be lost.
    pub(super) fn is_disk_unavailable(&self) -> bool {
        matches!(self.disk_state, DiskState::Unavailable { .. })
    }

    /// Drops the messages that waited for writes which did not reach the disk, ends the round, and tells callers to
    /// try again.
    pub(super) fn on_disk_failed(&mut self, reason: String, actions: &mut Vec<Action>) {
        if self.guards().restore_after_disk_failure {
            self.deferred_messages.clear();
        }
        // The round's tasks go back to the queue. Those whose items were proposed may still come to be chosen, which
        // a 503 leaves open.
        self.end_round();
        let error = CallError::DiskUnavailable {
            reason: reason.clone(),
        };
        let rejections = self
            .tasks
            .drain(..)
            .filter_map(|task| rejection(&task, error.clone()));
        actions.extend(rejections);
        self.disk_state = DiskState::Unavailable { reason };
    }

    /// Writes everything that is in memory.
    pub(super) fn on_disk_restored(&mut self, actions: &mut Vec<Action>) {
        self.disk_state = DiskState::Writable;
        if !self.guards().restore_after_disk_failure {
            return;
        }
        self.persist_everything(actions);
        self.disk_state = DiskState::Restoring {
            token: self.last_write,
        };
    }

    /// A write and all before it are synced: if everything in memory is among them, the replica votes again.
    pub(super) fn on_restore_synced(&mut self, synced: WriteToken) {
        if matches!(self.disk_state, DiskState::Restoring { token } if synced >= token) {
            self.disk_state = DiskState::Writable;
        }
    }

    /// Tells a proposer that this replica cannot vote in its round.
    pub(super) fn reject_without_disk(
        &mut self,
        proposer: Ipv4Addr,
        ballot: Ballot,
        actions: &mut Vec<Action>,
    ) {
        let unavailable = DiskUnavailable { ballot };
        self.send(proposer, Message::DiskUnavailable(unavailable), actions);
    }

    /// A voter cannot write: the round goes on with the others, as long as they are a majority.
    pub(super) fn on_disk_unavailable(&mut self, from: Ipv4Addr, unavailable: DiskUnavailable) {
        let DiskUnavailable { ballot } = unavailable;
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        round.rejected.insert(from);
        if round.is_quorum_impossible() {
            self.fail_round();
        }
    }
}
