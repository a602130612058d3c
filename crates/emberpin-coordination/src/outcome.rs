//! What applications are told.

use crate::operation::{FencingToken, Revision};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One change of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellEvent {
    /// The cell's name.
    pub name: String,
    /// What was written.
    pub value: String,
    /// The revision of the change.
    pub revision: Revision,
}

/// A lock that somebody holds, or held last without releasing it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLock {
    /// The lock's name.
    pub name: String,
    /// Who holds it.
    pub owner: String,
    /// The holder's token.
    pub fence: FencingToken,
    /// How long the lease lasts from its last renewal on.
    pub lease: Duration,
    /// For how long the replica that was asked has known the last renewal: a lower bound of its age.
    pub known_for: Duration,
}

/// The result of an operation.
///
/// The order of variants and fields is the encoding on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller holds the lock.
    LockGranted {
        /// Its fencing token.
        fence: FencingToken,
    },
    /// The caller still holds the lock, for another lease.
    LockRenewed,
    /// The caller does not hold the lock.
    LockReleased,
    /// Another owner holds the lock, or the caller's lease was lost.
    LockDenied,
    /// A number of a counter.
    Number {
        /// The number.
        value: u64,
    },
    /// The cell was written, now or by an earlier attempt of the same call.
    CellWritten {
        /// The revision of the change.
        revision: Revision,
    },
    /// The cell does not have the expected revision, and nothing was written.
    CellChanged {
        /// The cell's revision.
        revision: Revision,
    },
    /// What a cell holds.
    Cell {
        /// Its value.
        value: String,
        /// Its revision.
        revision: Revision,
    },
    /// There is no such cell.
    NoCell,
    /// The changes of a group above the revision that the caller named, in the order of their revisions.
    Events {
        /// The changes; empty if there were none while the caller waited, or if it asked for the revision only.
        events: Vec<CellEvent>,
        /// The revision up to which the changes are complete.
        revision: Revision,
    },
    /// Some of the changes that the caller asked for are no longer kept.
    EventsDropped,
    /// There is no room for another lock, counter or cell. Nothing was done.
    OutOfSpace,
    /// Locks that are held.
    Locks {
        /// The locks, in the order of their names.
        locks: Vec<HeldLock>,
        /// The name after which the list goes on; `None` if this is its end.
        next_after: Option<String>,
    },
}
