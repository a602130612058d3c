//! Handling of a disk that takes no writes.
//!
//! After a disk failure, memory may be ahead of the disk: it may have a promised ballot, an accepted proposal or
//! learned items that the disk lacks. This is harmless. The answer to a promised ballot or an accepted proposal was
//! never sent, which other replicas cannot distinguish from an answer that was lost in the network; and learned items
//! are on a majority of other disks. So the only obligation is to send no message that depends on a write before a sync
//! that covers the write. When the disk fails, the messages that wait for a sync are dropped. Until the disk is
//! restored, the replica neither votes nor begins a round, and it votes again only after everything in memory is
//! synced.

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
        /// The reason, as shown to operators and clients.
        reason: String,
    },
    /// The disk takes writes again, and this write of everything in memory is not synced yet.
    Restoring { token: WriteToken },
}

/// The reply to a call while everything in memory is being written to a restored disk.
const RESTORING: &str = "the disk is being restored";

impl Replica {
    /// The reason why no operation that needs a write may begin; `None` if the disk takes writes and is up to date.
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

    /// Drops the messages that waited for writes that did not reach the disk, ends the round, and rejects all calls so
    /// that callers retry them.
    pub(super) fn on_disk_failed(&mut self, reason: String, actions: &mut Vec<Action>) {
        if self.guards().restore_after_disk_failure {
            self.deferred_messages.clear();
        }
        // The round's tasks go back to the queue. Items that were proposed may still be chosen, which a 503 leaves
        // open.
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

    /// A write and all writes before it are synced: if these include the write of everything in memory, the replica
    /// votes again.
    pub(super) fn on_restore_synced(&mut self, synced: WriteToken) {
        if matches!(self.disk_state, DiskState::Restoring { token } if synced >= token) {
            self.disk_state = DiskState::Writable;
        }
    }

    /// Notifies a proposer that this replica cannot vote in its round.
    pub(super) fn reject_without_disk(
        &mut self,
        proposer: Ipv4Addr,
        ballot: Ballot,
        actions: &mut Vec<Action>,
    ) {
        let unavailable = DiskUnavailable { ballot };
        self.send(proposer, Message::DiskUnavailable(unavailable), actions);
    }

    /// A voter's disk takes no writes: the round goes on with the other voters as long as they are a majority.
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
