//! Tracks which registry sessions are synchronized.

use crate::command::SessionId;
use std::collections::BTreeSet;

/// The sessions that have received everything that their registry knows.
#[derive(Default)]
pub(super) struct SessionSync {
    /// Sessions that have received a whole snapshot, or all changes since one.
    synced: BTreeSet<SessionId>,
    /// Sessions that resumed at the revision of an earlier one and have received nothing yet. Their first changes bring
    /// them up to the registry's current state.
    resuming: BTreeSet<SessionId>,
}

impl SessionSync {
    pub(super) fn on_started(&mut self, session: SessionId, resumed: bool) {
        self.on_ended(session);
        if resumed {
            self.resuming.insert(session);
        }
    }

    pub(super) fn on_ended(&mut self, session: SessionId) {
        self.synced.remove(&session);
        self.resuming.remove(&session);
    }

    pub(super) fn received_last_part(&mut self, session: SessionId) {
        self.synced.insert(session);
    }

    pub(super) fn received_changes(&mut self, session: SessionId) {
        if self.resuming.remove(&session) {
            self.synced.insert(session);
        }
    }

    pub(super) fn is_synced(&self, session: SessionId) -> bool {
        self.synced.contains(&session)
    }
}
