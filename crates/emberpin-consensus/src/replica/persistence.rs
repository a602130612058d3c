//! Writes to the disk, and messages that wait for them to be synced.

use super::{Action, Replica};
use crate::message::Message;
use crate::storage::{WriteBatch, WriteToken};
use crate::time::Timestamp;
use emberpin_config::{Item, ItemKey};
use std::net::Ipv4Addr;

/// Whether a write includes the accepted proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptedChange {
    Changed,
    Unchanged,
}

/// Whether a write has to be synced before anything that depends on it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Durability {
    Synced,
    /// The write reaches the disk with the next sync; its items are on a majority of other disks.
    Buffered,
}

/// A message that is sent once a write is synced.
#[derive(Debug)]
pub(super) struct DeferredMessage {
    to: Ipv4Addr,
    message: Message,
    deferred_at: Timestamp,
}

impl Replica {
    /// Writes and syncs the metadata: the promise, whether the replica votes, the incarnations and the candidacy.
    pub(super) fn persist_metadata(&mut self, actions: &mut Vec<Action>) {
        self.persist_items(
            Vec::new(),
            Vec::new(),
            AcceptedChange::Unchanged,
            Durability::Synced,
            actions,
        );
    }

    /// Like [`Replica::persist_metadata`], and sends a message once the write is synced.
    pub(super) fn persist_metadata_then_send(
        &mut self,
        to: Ipv4Addr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        self.persist_then_send(AcceptedChange::Unchanged, to, message, actions);
    }

    /// Writes the metadata, with the accepted proposal if it changed, and sends a message once the write is synced.
    /// While the disk is unavailable, nothing is written and the message is dropped.
    pub(super) fn persist_then_send(
        &mut self,
        accepted: AcceptedChange,
        to: Ipv4Addr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let written = self.persist_items(
            Vec::new(),
            Vec::new(),
            accepted,
            Durability::Synced,
            actions,
        );
        let Some(token) = written else { return };
        if !self.acceptor.guards.sync_before_reply {
            return self.send(to, message, actions);
        }
        let deferred = DeferredMessage {
            to,
            message,
            deferred_at: self.now,
        };
        self.deferred_messages.insert(token, deferred);
    }

    /// Writes items that were learned to be chosen, without waiting for a sync.
    pub(super) fn persist_learned(
        &mut self,
        chosen: Vec<Item>,
        removed: Vec<ItemKey>,
        accepted: AcceptedChange,
        actions: &mut Vec<Action>,
    ) {
        self.persist_items(chosen, removed, accepted, Durability::Buffered, actions);
    }

    /// Writes and syncs everything that is in memory.
    pub(super) fn persist_everything(&mut self, actions: &mut Vec<Action>) {
        let chosen = self.state().iter().cloned().collect();
        self.persist_items(
            chosen,
            Vec::new(),
            AcceptedChange::Changed,
            Durability::Synced,
            actions,
        );
    }

    /// Writes the metadata and these changes. Returns the token of the write; `None` if the disk is unavailable and
    /// nothing is written.
    fn persist_items(
        &mut self,
        chosen: Vec<Item>,
        removed: Vec<ItemKey>,
        accepted: AcceptedChange,
        durability: Durability,
        actions: &mut Vec<Action>,
    ) -> Option<WriteToken> {
        if self.is_disk_unavailable() {
            return None;
        }
        self.last_write = self.last_write.next();
        let accepted =
            (accepted == AcceptedChange::Changed).then(|| self.acceptor.accepted.clone());
        let write = WriteBatch {
            chosen,
            removed,
            promised: self.acceptor.promised,
            accepted,
            voting: self.acceptor.voting,
            incarnation: self.acceptor.incarnation,
            latest_incarnations: self.acceptor.latest_incarnations.clone(),
            bootstrap_candidate: self.acceptor.bootstrap_candidate.clone(),
            sync: durability == Durability::Synced,
        };
        let token = self.last_write;
        actions.push(Action::Persist { token, write });
        Some(token)
    }

    /// A write and all writes before it are synced: sends the messages that waited for them.
    pub(super) fn on_persisted(&mut self, synced: WriteToken, actions: &mut Vec<Action>) {
        self.on_restore_synced(synced);
        self.on_nonce_synced(synced);
        let unsynced = self.deferred_messages.split_off(&synced.next());
        let due = std::mem::replace(&mut self.deferred_messages, unsynced);
        for deferred in due.into_values() {
            let sync_time = self.now.saturating_since(deferred.deferred_at);
            self.pacing.record_delay(self.now, sync_time);
            let is_accepted = matches!(
                deferred.message,
                Message::Accepted(_) | Message::AcceptedLed(_)
            );
            if is_accepted && self.acceptor.guards.adaptive_timeouts {
                // The repair timer restarts here, so that a slow sync of this disk does not make the round look late.
                self.schedule_repair();
            }
            self.send(deferred.to, deferred.message, actions);
        }
    }
}
