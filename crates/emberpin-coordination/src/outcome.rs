//! The results that applications receive.

use crate::operation::{FencingToken, Revision};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One change of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellEvent {
    /// The cell's name.
    pub name: String,
    /// The value that was written.
    pub value: String,
    /// The revision of the change.
    pub revision: Revision,
}

/// A lock with a lease that was not released. The lease may have expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLock {
    /// The lock's name.
    pub name: String,
    /// The name of the lease holder.
    pub owner: String,
    /// The fencing token of the latest grant.
    pub fence: FencingToken,
    /// The duration of the lease, counted from its last renewal.
    pub lease: Duration,
    /// How long the replica that answers has known the last renewal: a lower bound of the renewal's age.
    pub known_for: Duration,
}

/// The result of an operation.
///
/// Variants and fields are encoded by position on the wire, so their order must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller holds the lock.
    LockGranted {
        /// The fencing token of the grant.
        fence: FencingToken,
    },
    /// The caller still holds the lock; its lease was renewed.
    LockRenewed,
    /// The caller does not hold the lock, whether or not it did before.
    LockReleased,
    /// Another owner holds the lock, or the caller's lease was lost.
    LockDenied,
    /// The next number of a counter.
    Number {
        /// The number.
        value: u64,
    },
    /// The cell was written, now or by an earlier attempt of the same request.
    CellWritten {
        /// The revision of the change.
        revision: Revision,
    },
    /// The cell does not have the expected revision; nothing was written.
    CellChanged {
        /// The cell's current revision.
        revision: Revision,
    },
    /// The content of a cell.
    Cell {
        /// Its value.
        value: String,
        /// Its revision.
        revision: Revision,
    },
    /// The cell does not exist.
    NoCell,
    /// The changes of a group after the revision in the request, in the order of their revisions.
    Events {
        /// The changes; empty if there were none while the caller waited, or if it requested the revision only.
        events: Vec<CellEvent>,
        /// The revision up to which `events` is complete.
        revision: Revision,
    },
    /// Some of the requested changes are no longer retained.
    EventsDropped,
    /// The byte limit of all registers does not allow another lock, counter or cell. Nothing was changed.
    OutOfSpace,
    /// One page of the locks that are held.
    Locks {
        /// The locks, in the order of their names.
        locks: Vec<HeldLock>,
        /// The cursor for the next page: the `after` of the next [`ListLocks`](crate::Operation::ListLocks) request;
        /// `None` if this is the last page.
        next_after: Option<String>,
    },
}
