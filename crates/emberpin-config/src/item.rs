//! What the configuration is made of.

use crate::Version;
use serde::{Deserialize, Serialize};

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// Who votes: the addresses of the stores. Written by the stores themselves, never by a call.
    Roster,
    /// A zone whose servers get nothing. Its versions are given by the stores.
    Evacuation,
    /// The bounds on what clients may send; there is one, with an empty name.
    Limits,
    /// A service.
    Service,
    /// A route.
    Route,
    /// The versions of another item below its newest one; see [`History`](crate::History). Written by the stores,
    /// and known to them alone.
    History,
    /// Which tombstones were removed; see [`Checkpoint`](crate::Checkpoint). Written by the stores.
    Checkpoint,
}

/// The name of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// What it is.
    pub kind: ItemKind,
    /// Its name among its kind.
    pub name: String,
}

impl ItemKey {
    /// Whether it is an item that operators set and drop, and whose tombstones are removed in time.
    pub fn is_removable(&self) -> bool {
        matches!(self.kind, ItemKind::Route | ItemKind::Service)
    }
}

/// One version of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Which.
    pub key: ItemKey,
    /// Rises with each change, by uneven steps.
    pub version: Version,
    /// Its JSON text, written in one way; a route's is `{"hostname": H, "loc": {...}}`. `None`: dropped (a tombstone).
    pub body: Option<String>,
}
