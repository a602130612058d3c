//! The state of a replica on its disk: the state that it reads at its start, and the writes that change it.

use crate::ballot::{AcceptedProposal, Ballot};
use crate::bootstrap::BootstrapCandidate;
use crate::incarnation::{Incarnation, LatestIncarnations};
use emberpin_config::{Item, ItemKey};

/// The state that a replica reads from its disk at its start: the result of all [`WriteBatch`]es that reached the disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Items known to be chosen.
    pub chosen: Vec<Item>,
    /// The highest ballot that was promised.
    pub promised: Ballot,
    /// The proposal that was accepted last.
    pub accepted: AcceptedProposal,
    /// Whether the replica counts in quorums; false until a replica with an empty disk has caught up.
    pub voting: bool,
    /// The replica's own incarnation, sent with each promise.
    pub incarnation: Incarnation,
    /// Incarnations of other voters that caught up with this replica's help.
    pub latest_incarnations: LatestIncarnations,
    /// The replica's candidacy in the bootstrap of the system, if it started as one of the seeds.
    pub bootstrap_candidate: Option<BootstrapCandidate>,
}

/// One atomic write. Writes reach the disk in the order of their [`Action::Persist`](crate::Action::Persist), each
/// completely or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// Chosen items to insert or replace.
    pub chosen: Vec<Item>,
    /// Keys of items to delete.
    pub removed: Vec<ItemKey>,
    /// Replaces [`PersistedState::promised`].
    pub promised: Ballot,
    /// Replaces the accepted proposal; `None` leaves it unchanged.
    pub accepted: Option<AcceptedProposal>,
    /// Replaces [`PersistedState::voting`].
    pub voting: bool,
    /// Replaces the incarnation.
    pub incarnation: Incarnation,
    /// Replaces the incarnations of other voters.
    pub latest_incarnations: LatestIncarnations,
    /// Replaces the bootstrap candidacy.
    pub bootstrap_candidate: Option<BootstrapCandidate>,
    /// Whether this write and all before it have to be synced, and the sync reported by
    /// [`Event::Persisted`](crate::Event::Persisted).
    pub sync: bool,
}

/// Identifies a write; tokens rise by one with each write of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteToken(pub u64);

impl WriteToken {
    /// The token of the write that follows this one.
    #[must_use]
    pub fn next(self) -> WriteToken {
        WriteToken(self.0 + 1)
    }
}
