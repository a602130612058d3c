//! Items, the units of the configuration, each with a key and its own version.

use crate::Version;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The kinds of items. Their order is part of the encoding on the wire and on the store's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// The voters of consensus: the addresses of the stores. Written by the stores only, never by a patch.
    Roster,
    /// The evacuation of a zone, whose servers get no new requests. The stores assign its versions.
    Evacuation,
    /// The limits on requests and connections of clients. There is only one such item; its name is empty.
    Limits,
    /// A service: a group of interchangeable servers. See [`Service`](crate::Service).
    Service,
    /// A route of requests to services. See [`Route`](crate::Route).
    Route,
    /// The versions of another item below its newest one; see [`History`](crate::History). Written by the stores only,
    /// and not sent to any other process.
    History,
    /// The record of removed tombstones; see [`Checkpoint`](crate::Checkpoint). Written by the stores only.
    Checkpoint,
    /// A lock, counter or cell of applications, or a part of a cell group's state. The stores write it for requests of
    /// applications, and keep it separate from the configuration.
    Register,
}

impl ItemKind {
    /// The letter for the kind in histories and checkpoints. It is stored, so it must not change. All kinds that occur
    /// in neither share one letter.
    pub(crate) fn tag(self) -> char {
        match self {
            ItemKind::Service => 's',
            ItemKind::Route => 'r',
            ItemKind::Limits => 'l',
            ItemKind::Roster
            | ItemKind::Evacuation
            | ItemKind::History
            | ItemKind::Checkpoint
            | ItemKind::Register => '-',
        }
    }

    /// The kind with this tag; `None` for any other tag, including the one that several kinds share.
    pub(crate) fn from_tag(tag: &str) -> Option<ItemKind> {
        match tag {
            "s" => Some(ItemKind::Service),
            "r" => Some(ItemKind::Route),
            "l" => Some(ItemKind::Limits),
            _ => None,
        }
    }
}

/// The key that identifies an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The kind of the item.
    pub kind: ItemKind,
    /// Its name, unique among the items of its kind; empty if the kind has only one item.
    pub name: String,
}

impl ItemKey {
    /// Whether operators can remove the item by its name. A [`Checkpoint`](crate::Checkpoint) removes the tombstones of
    /// such items when there are too many; all other tombstones are kept.
    pub fn is_removable(&self) -> bool {
        matches!(self.kind, ItemKind::Route | ItemKind::Service)
    }
}

/// The form in error messages: `route r-1`, `limits`.
impl fmt::Display for ItemKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = &self.name;
        match self.kind {
            ItemKind::Roster => formatter.write_str("roster"),
            ItemKind::Evacuation => write!(formatter, "evacuation {name}"),
            ItemKind::Limits => formatter.write_str("limits"),
            ItemKind::Service => write!(formatter, "service {name}"),
            ItemKind::Route => write!(formatter, "route {name}"),
            ItemKind::History => write!(formatter, "history {name}"),
            ItemKind::Checkpoint => formatter.write_str("checkpoint"),
            ItemKind::Register => write!(formatter, "register {name}"),
        }
    }
}

/// The maximum encoded size of an item without its name and body: kind, version and lengths.
const ITEM_OVERHEAD_BYTES: usize = 24;

/// One version of an item. Fields are encoded by position on the wire, so their order must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key of the item.
    pub key: ItemKey,
    /// The version of this content. Of two versions of one key the higher one wins.
    pub version: Version,
    /// The content as compact JSON, spelled as the operator sent it. The body of a route is
    /// `{"hostname": H, "loc": {...}}`. `None` for a tombstone: the item was removed in this version.
    pub body: Option<String>,
}

impl Item {
    /// Whether the item was removed in this version.
    pub fn is_tombstone(&self) -> bool {
        self.body.is_none()
    }

    /// The approximate size of the item as replicas send and store it, in bytes.
    pub fn encoded_len(&self) -> usize {
        ITEM_OVERHEAD_BYTES + self.key.name.len() + self.body.as_ref().map_or(0, String::len)
    }
}
