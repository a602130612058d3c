//! What applications ask for.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The fencing token of a lock's holder. That of a later holder is higher.
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

/// The number of a change in a group of cells: the first one is 1. The revision of a cell is that of its last change;
/// 0 for a cell that does not exist.
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

/// An operation on a lock, a counter or a cell. Each may be executed twice without harm, as long as the second time
/// comes before its caller has gone on.
///
/// The order of variants and fields is the encoding on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Acquires a lock, or renews it for the owner that holds it.
    AcquireLock {
        /// The lock's name.
        lock: String,
        /// Who acquires it. A caller keeps this name from one lease to the next.
        owner: String,
        /// How long the caller counts itself holder, from the moment at which it sent the call.
        lease: Duration,
    },
    /// Renews a lock.
    RenewLock {
        /// The lock's name.
        lock: String,
        /// Who holds it.
        owner: String,
        /// The token that the holder was granted.
        fence: FencingToken,
        /// How long the caller counts itself holder, from the moment at which it sent the call.
        lease: Duration,
    },
    /// Releases a lock, if the owner still holds it.
    ReleaseLock {
        /// The lock's name.
        lock: String,
        /// Who held it.
        owner: String,
        /// The token that the holder was granted.
        fence: FencingToken,
    },
    /// Takes a number that is above all that the counter has given before.
    NextNumber {
        /// The counter's name.
        counter: String,
    },
    /// Writes a cell. No two values of a cell are the same, so a value that was written already is one of an earlier
    /// attempt.
    PutCell {
        /// The cell's name.
        cell: String,
        /// What is written.
        value: String,
        /// The revision that the cell must have: [`Revision::NONE`] if it must not exist, `None` for any.
        expected: Option<Revision>,
    },
    /// Reads a cell.
    GetCell {
        /// The cell's name.
        cell: String,
    },
    /// Reads the changes of a group above a revision, and waits for the first one if there are none.
    WatchGroup {
        /// The group's name; see [`group_of`].
        group: String,
        /// The revision up to which the caller knows all changes; [`Revision::NONE`] asks for the present revision
        /// only.
        after: Revision,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Reads which locks are held, for operators.
    ListLocks {
        /// Only locks whose names come after this one; empty for the first ones.
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

    /// Whether the operation changes nothing.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Operation::GetCell { .. } | Operation::WatchGroup { .. } | Operation::ListLocks { .. }
        )
    }
}

/// The group of a cell: its name up to and including the first dot, or the whole name if there is none.
pub fn group_of(cell: &str) -> &str {
    cell.find('.').map_or(cell, |dot| &cell[..=dot])
}
