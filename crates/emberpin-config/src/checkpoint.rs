//! Which tombstones were removed: the bound on what dropped names take.

use crate::json::decode;
use crate::{Configuration, History, Item, ItemKey, ItemKind, Version};
use std::collections::BTreeMap;

/// The most tombstones of routes and services. Beyond it those of the lowest versions are removed, a part of
/// the bound at once, by a [`Checkpoint`] that goes along with the call that drops one too many.
pub const MAX_TOMBSTONES: usize = 50_000;
/// One part in so many of the bound is removed at once, so that checkpoints are seldom.
const REMOVED_FRACTION: usize = 8;

/// The versions of routes and services at or below a floor that are still known; all others are removed.
///
/// It is an item itself and chosen like any other, so that all copies remove the same, in whatever order they
/// hear of it: an item at or below the floor is admitted only if its name is listed, with that version or a
/// lower one. So a copy that missed the drop of a name drops it when it hears of the checkpoint, and a name
/// that lives may be dropped by a version below the floor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Checkpoint {
    floor: Option<Version>,
    /// No history had a higher version of its own.
    max_history_version: Version,
    /// The names that were live with a version not above the floor.
    live: BTreeMap<ItemKey, Version>,
}

impl Checkpoint {
    /// Its name; there is one.
    pub fn key() -> ItemKey {
        ItemKey {
            kind: ItemKind::Checkpoint,
            name: String::new(),
        }
    }

    /// No version above it was removed; `None`, if none was at all.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// The versions of histories that begin anew must be above this one.
    pub fn max_history_version(&self) -> Version {
        self.max_history_version
    }

    /// Whether this version of a route or service isn't removed.
    pub fn admits(&self, key: &ItemKey, version: Version) -> bool {
        let above = self.floor.is_none_or(|floor| version > floor);
        above || !key.is_removable() || self.live.get(key).is_some_and(|live| version >= *live)
    }

    /// The checkpoint that is due once there are more tombstones than `max_tombstones`.
    pub fn next_if_due(configuration: &Configuration, max_tombstones: usize) -> Option<Item> {
        let tombstones = configuration.tombstones();
        let beyond = tombstones
            .len()
            .checked_sub(max_tombstones)
            .filter(|beyond| *beyond > 0)?;
        let (highest, _) = tombstones
            .iter()
            .nth(beyond - 1 + max_tombstones / REMOVED_FRACTION)?;
        let floor = configuration.checkpoint().floor().max(Some(*highest));
        let live = configuration
            .live()
            .filter(|item| item.key.is_removable() && Some(item.version) <= floor);
        let live = live.map(|item| (item.key.clone(), item.version)).collect();
        let histories = configuration
            .iter()
            .filter(|item| item.key.kind == ItemKind::History);
        let histories = histories
            .map(|item| item.version)
            .fold(configuration.checkpoint().max_history_version, Version::max);
        let former = configuration
            .get(&Checkpoint::key())
            .map_or(Version(0), |item| item.version);
        Some(
            Checkpoint {
                floor,
                max_history_version: histories,
                live,
            }
            .to_item(former.next()),
        )
    }

    /// Reads it from an item; the stores alone write it. One that can't be read removes nothing.
    pub fn from_item(item: &Item) -> Checkpoint {
        item.body
            .as_deref()
            .and_then(Checkpoint::parse)
            .unwrap_or_default()
    }

    fn parse(body: &str) -> Option<Checkpoint> {
        let mut lines = body.split('\n');
        let (floor, histories) = lines.next()?.split_once(' ')?;
        let mut live = BTreeMap::new();
        for line in lines {
            let mut fields = line.splitn(3, ' ');
            let kind = match fields.next()? {
                "s" => ItemKind::Service,
                "r" => ItemKind::Route,
                _ => return None,
            };
            let version = fields.next()?.parse().ok()?;
            live.insert(
                ItemKey {
                    kind,
                    name: decode(fields.next()?)?,
                },
                version,
            );
        }
        Some(Checkpoint {
            floor: Some(floor.parse().ok()?),
            max_history_version: histories.parse().ok()?,
            live,
        })
    }

    fn to_item(&self, version: Version) -> Item {
        let mut body = format!(
            "{} {}",
            self.floor.unwrap_or_default(),
            self.max_history_version
        );
        for (key, version) in &self.live {
            let kind = if key.kind == ItemKind::Service {
                's'
            } else {
                'r'
            };
            body.push_str(&format!(
                "\n{kind} {version} {}",
                jzon::stringify(key.name.as_str())
            ));
        }
        Item {
            key: Checkpoint::key(),
            version,
            body: Some(body),
        }
    }
}

/// The version that a history gets which follows on this one, or begins.
pub(crate) fn next_history_version(configuration: &Configuration, subject: &ItemKey) -> Version {
    let held = configuration
        .get(&History::key(subject))
        .map_or(Version(0), |item| item.version);
    held.max(configuration.checkpoint().max_history_version())
        .next()
}
