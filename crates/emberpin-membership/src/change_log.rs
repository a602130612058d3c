//! The log of changes that limiters follow: what changed behind which place, but not how, as the tables hold
//! that.

use crate::session::Revision;
use emberpin_config::ItemKey;
use std::collections::{BTreeSet, VecDeque};

/// So many changes are remembered; whoever is behind them needs a snapshot.
pub const MOST: usize = 4096;

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// An item of the configuration.
    Item(ItemKey),
    /// A incarnation, by its id.
    Instance(String),
}

/// The log of one registry's incarnation.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    incarnation: u64,
    number: u64,
    /// The last change of the log has `number`, those before it one less each.
    log: VecDeque<Change>,
    /// Not told to those that follow yet.
    fresh: BTreeSet<Change>,
}

impl ChangeLog {
    /// An empty one.
    pub fn new(incarnation: u64) -> ChangeLog {
        ChangeLog {
            incarnation,
            number: 0,
            log: VecDeque::new(),
            fresh: BTreeSet::new(),
        }
    }

    /// Where it stands.
    pub fn at(&self) -> Revision {
        Revision {
            incarnation: self.incarnation,
            number: self.number,
        }
    }

    /// Something has changed.
    pub fn note(&mut self, change: Change) {
        self.number += 1;
        self.fresh.insert(change.clone());
        self.log.push_back(change);
        if self.log.len() > MOST {
            self.log.pop_front();
        }
    }

    /// Nothing waits to be told.
    pub fn told(&self) -> bool {
        self.fresh.is_empty()
    }

    /// What those that follow were not told yet; they are now.
    pub fn take(&mut self) -> BTreeSet<Change> {
        std::mem::take(&mut self.fresh)
    }

    /// What has changed behind a place; `None`: that is not known (any more), only a snapshot helps.
    pub fn since(&self, place: Revision) -> Option<BTreeSet<Change>> {
        let behind = self.number.checked_sub(place.number)?;
        let skip = self.log.len().checked_sub(usize::try_from(behind).ok()?)?;
        (place.incarnation == self.incarnation)
            .then(|| self.log.iter().skip(skip).cloned().collect())
    }
}
