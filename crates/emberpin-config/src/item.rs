//! What the configuration is made of: items, each with a key and a version of its own.

use crate::Version;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The kinds of items. Their order is that of the wire and of the store's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// The voters of consensus: the addresses of the stores. Only the stores themselves write it, never a call.
    Roster,
    /// A zone whose servers get no requests. The stores assign its versions.
    Evacuation,
    /// The limits on what clients may send. There is one such item, whose name is empty.
    Limits,
    /// A service: a group of servers that answer alike. See [`Service`](crate::Service).
    Service,
    /// A route of requests to services. See [`Route`](crate::Route).
    Route,
    /// The versions of another item below its newest one; see [`History`](crate::History). Only the stores write it,
    /// and it is not sent to any other process.
    History,
    /// Which tombstones were removed; see [`Checkpoint`](crate::Checkpoint). Only the stores write it.
    Checkpoint,
    /// A lock, counter or cell of applications, or what belongs to one. The stores write it for calls of applications,
    /// and keep it apart from the configuration.
    Register,
}

impl ItemKind {
    /// The letter by which histories and checkpoints name the kind. Stored, so it must not change. Kinds that neither
    /// names share one.
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

    /// The kind that has this tag.
    pub(crate) fn from_tag(tag: &str) -> Option<ItemKind> {
        match tag {
            "s" => Some(ItemKind::Service),
            "r" => Some(ItemKind::Route),
            "l" => Some(ItemKind::Limits),
            _ => None,
        }
    }
}

/// What identifies an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The kind of the item.
    pub kind: ItemKind,
    /// Its name, unique among the items of its kind; empty where there is only one of a kind.
    pub name: String,
}

impl ItemKey {
    /// Whether operators remove items of this kind by name. Their tombstones are removed by a
    /// [`Checkpoint`](crate::Checkpoint) once there are too many; all other tombstones stay.
    pub fn is_removable(&self) -> bool {
        matches!(self.kind, ItemKind::Route | ItemKind::Service)
    }
}

/// As messages to callers name the item: `route r-1`, `limits`.
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

/// What an item takes besides its name and body, at most: kind, version and lengths.
const ITEM_OVERHEAD_BYTES: usize = 24;

/// One version of an item. The order of its fields is that of the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Which item it is.
    pub key: ItemKey,
    /// The version of this content. Of two versions of one key the higher one wins.
    pub version: Version,
    /// The content as compact JSON, spelled as the operator sent it; that of a route is
    /// `{"hostname": H, "loc": {...}}`. `None` for a tombstone: the item was removed in this version.
    pub body: Option<String>,
}

impl Item {
    /// Whether the item was removed in this version.
    pub fn is_tombstone(&self) -> bool {
        self.body.is_none()
    }

    /// The size of the item as replicas send and write it, about, in bytes.
    pub fn encoded_len(&self) -> usize {
        ITEM_OVERHEAD_BYTES + self.key.name.len() + self.body.as_ref().map_or(0, String::len)
    }
}
