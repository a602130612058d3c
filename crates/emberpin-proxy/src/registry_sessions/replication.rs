//! Tracks how much of each registry's log of changes this proxy has received.

use emberpin_membership::session::{Revision, SnapshotCursor, SyncProgress, ToProxy};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Replication progress by registry. A revision has a meaning only for the registry that issued it.
#[derive(Default)]
pub(super) struct ReplicationProgress {
    registries: BTreeMap<Ipv4Addr, SyncProgress>,
}

impl ReplicationProgress {
    /// The revision from which a session with this registry resumes, also in the middle of a snapshot.
    pub(super) fn resume_from(&self, registry: Ipv4Addr) -> Option<Revision> {
        self.registries
            .get(&registry)
            .map(|progress| progress.revision)
    }

    /// The revision up to which everything has been received; `None` while a snapshot is incomplete.
    pub(super) fn complete_revision(&self, registry: Ipv4Addr) -> Option<Revision> {
        self.registries
            .get(&registry)
            .and_then(SyncProgress::synced_revision)
    }

    /// Where an incomplete snapshot continues.
    pub(super) fn snapshot_cursor(&self, registry: Ipv4Addr) -> Option<SnapshotCursor> {
        self.registries
            .get(&registry)
            .and_then(|progress| progress.next_part.clone())
    }

    /// Advances past a message that was received.
    pub(super) fn advance(&mut self, registry: Ipv4Addr, message: &ToProxy) {
        let mut progress = self.registries.remove(&registry);
        SyncProgress::advance(&mut progress, message);
        self.registries
            .extend(progress.map(|progress| (registry, progress)));
    }
}
