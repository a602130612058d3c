//! The log of changes that a registry sends to proxies. It records which entry of the tables changed at which revision;
//! the entry itself is read from the tables when the change is sent.

use crate::ids::Incarnation;
use crate::session::Revision;
use emberpin_config::ItemKey;
use std::collections::{BTreeSet, VecDeque};

/// The maximum number of changes that the log keeps. A proxy that is further behind gets a snapshot.
pub const CAPACITY: usize = 4096;

/// An entry of the tables that has changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// The configuration item of this key.
    Item(ItemKey),
    /// The instance of this id.
    Instance(String),
}

/// The log of changes of one incarnation of a registry.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    incarnation: Incarnation,
    /// The number of the last change, counted from 1; 0 before the first change.
    number: u64,
    /// The most recent changes in consecutive order; the last of them has the number `number`.
    changes: VecDeque<Change>,
    /// The changes that have not been sent to the sessions yet.
    unsent: BTreeSet<Change>,
}

impl ChangeLog {
    /// An empty log of a registry that has just started.
    pub fn new(incarnation: Incarnation) -> ChangeLog {
        ChangeLog {
            incarnation,
            number: 0,
            changes: VecDeque::new(),
            unsent: BTreeSet::new(),
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> Revision {
        Revision {
            incarnation: self.incarnation,
            number: self.number,
        }
    }

    /// Appends a change, and drops the oldest one if the log is full.
    pub fn append(&mut self, change: Change) {
        self.number += 1;
        self.unsent.insert(change.clone());
        self.changes.push_back(change);
        if self.changes.len() > CAPACITY {
            self.changes.pop_front();
        }
    }

    /// Removes and returns the changes that have not been sent to the sessions yet.
    pub fn take_unsent(&mut self) -> BTreeSet<Change> {
        std::mem::take(&mut self.unsent)
    }

    /// The entries that have changed after `revision`. `None` if the log does not reach back to it, or if it belongs to
    /// another incarnation or is newer than the log; a proxy then needs a snapshot.
    pub fn since(&self, revision: Revision) -> Option<BTreeSet<Change>> {
        let behind = self.number.checked_sub(revision.number)?;
        let skip = self
            .changes
            .len()
            .checked_sub(usize::try_from(behind).ok()?)?;
        (revision.incarnation == self.incarnation)
            .then(|| self.changes.iter().skip(skip).cloned().collect())
    }
}
