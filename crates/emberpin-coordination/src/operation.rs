//! The operations that applications request.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The fencing token of a lock grant. Each grant of a lock has a higher token than the grants before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The token of the next grant.
    #[must_use]
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

/// The sequence number of a change within a group of cells, counted from 1. The revision of a cell is that of its last
/// change; 0 for a cell that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of a cell that does not exist, and of a group without changes.
    pub const NONE: Revision = Revision(0);

    /// The revision that follows this one.
    #[must_use]
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

/// An operation on a lock, a counter or a cell. Executing an operation twice does no harm if the second execution comes
/// before the caller has proceeded to its next step.
///
/// Variants and fields are encoded by position on the wire, so their order must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Acquires a lock, or renews it for the owner that holds it.
    AcquireLock {
        /// The lock's name.
        lock: String,
        /// The name of the caller that acquires the lock. A caller uses the same name for all its leases.
        owner: String,
        /// How long the caller considers itself the lease holder, counted from the moment at which it sent the request.
        lease: Duration,
    },
    /// Renews the lease of a lock.
    RenewLock {
        /// The lock's name.
        lock: String,
        /// The name of the lease holder.
        owner: String,
        /// The fencing token that the holder was granted.
        fence: FencingToken,
        /// How long the caller considers itself the lease holder, counted from the moment at which it sent the request.
        lease: Duration,
    },
    /// Releases a lock, if the owner still holds it.
    ReleaseLock {
        /// The lock's name.
        lock: String,
        /// The name of the lease holder.
        owner: String,
        /// The fencing token that the holder was granted.
        fence: FencingToken,
    },
    /// Returns a number greater than all that the counter has returned before.
    NextNumber {
        /// The counter's name.
        counter: String,
    },
    /// Writes a cell. Callers never write the same value to a cell twice, so a value that the cell had before comes
    /// from an earlier attempt of the same request.
    PutCell {
        /// The cell's name.
        cell: String,
        /// The new value.
        value: String,
        /// The revision that the cell must have: [`Revision::NONE`] if it must not exist, `None` for any revision.
        expected: Option<Revision>,
    },
    /// Reads a cell.
    GetCell {
        /// The cell's name.
        cell: String,
    },
    /// Reads the changes of a group after a revision, and waits for the first one if there are none.
    WatchGroup {
        /// The group's name; see [`cell_group`].
        group: String,
        /// The revision up to which the caller knows all changes; [`Revision::NONE`] requests the current revision
        /// only.
        after: Revision,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Lists the locks that are held, for operators.
    ListLocks {
        /// Only locks whose names sort after this one are listed; empty to start from the first lock.
        after: String,
    },
}

impl Operation {
    /// The operation's name in metrics and log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Operation::AcquireLock { .. } => "lock_begin",
            Operation::RenewLock { .. } => "lock_renew",
            Operation::ReleaseLock { .. } => "lock_finish",
            Operation::NextNumber { .. } => "number",
            Operation::PutCell { .. } => "cell_put",
            Operation::GetCell { .. } => "cell_get",
            Operation::WatchGroup { .. } => "watch",
            Operation::ListLocks { .. } => "lock_list",
        }
    }

    /// Whether the operation never changes a register.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Operation::GetCell { .. } | Operation::WatchGroup { .. } | Operation::ListLocks { .. }
        )
    }
}

/// The group of a cell: its name up to and including the first dot, or the whole name if there is none.
pub fn cell_group(cell: &str) -> &str {
    cell.find('.').map_or(cell, |dot| &cell[..=dot])
}
