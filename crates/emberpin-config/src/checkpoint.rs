//! Checkpoints, which bound the number of tombstones: they record which of them were removed.

use crate::json::decode_string;
use crate::{Configuration, Item, ItemKey, ItemKind, Version};
use std::collections::BTreeMap;

/// The maximum number of tombstones of routes and services. A patch that would exceed it is committed together with a
/// [`Checkpoint`], which removes the tombstones with the lowest versions.
pub const MAX_TOMBSTONES: usize = 50_000;
/// Besides the excess, a checkpoint removes `1 / REMOVED_FRACTION` of the maximum number of tombstones. A higher value
/// makes checkpoints more frequent, which is costly as each of them lists live items.
const REMOVED_FRACTION: usize = 8;

/// Records which tombstones of routes and services were removed: those with versions up to the floor. Of the versions
/// up to the floor, only those of live items were kept, and the checkpoint lists these.
///
/// A checkpoint is itself an item that consensus chooses like any other, so all replicas remove the same tombstones, in
/// whatever order they receive items. A version at or below the floor is admitted only if the checkpoint lists its item
/// with that version or a lower one. So a replica that missed the removal of an item removes it when it receives the
/// checkpoint, and a live item can still be removed by a version below the floor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Checkpoint {
    floor: Option<Version>,
    max_history_version: Version,
    /// The items that were live with a version at or below the floor, each with that version.
    live: BTreeMap<ItemKey, Version>,
}

impl Checkpoint {
    /// The key of the checkpoint item, of which there is only one.
    pub fn key() -> ItemKey {
        ItemKey {
            kind: ItemKind::Checkpoint,
            name: String::new(),
        }
    }

    /// The highest version of a removed tombstone; `None` if no tombstone was removed.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// The highest version of any history so far. A history that is created again gets a higher version, so an old copy
    /// of a removed history is never mistaken for the newer one.
    pub fn max_history_version(&self) -> Version {
        self.max_history_version
    }

    /// Whether this version of an item may be merged: false if it is a version of a route or service that the
    /// checkpoint removed.
    pub fn admits(&self, key: &ItemKey, version: Version) -> bool {
        let is_above_floor = self.floor.is_none_or(|floor| version > floor);
        is_above_floor
            || !key.is_removable()
            || self.live.get(key).is_some_and(|live| version >= *live)
    }

    /// The item of the next checkpoint, if the configuration has more than `max_tombstones` removable tombstones.
    pub fn next_if_due(configuration: &Configuration, max_tombstones: usize) -> Option<Item> {
        let tombstones = configuration.removable_tombstones();
        let excess = tombstones
            .len()
            .checked_sub(max_tombstones)
            .filter(|excess| *excess > 0)?;
        let removed = excess + max_tombstones / REMOVED_FRACTION;
        let (highest_removed, _) = tombstones.iter().nth(removed - 1)?;
        let current = configuration.checkpoint();
        let floor = current.floor.max(Some(*highest_removed));
        let live = configuration
            .live()
            .filter(|item| item.key.is_removable() && Some(item.version) <= floor)
            .map(|item| (item.key.clone(), item.version))
            .collect();
        let max_history_version = configuration
            .iter()
            .filter(|item| item.key.kind == ItemKind::History)
            .map(|item| item.version)
            .fold(current.max_history_version, Version::max);
        let current_version = configuration
            .get(&Checkpoint::key())
            .map_or(Version(0), |item| item.version);
        let next = Checkpoint {
            floor,
            max_history_version,
            live,
        };
        Some(next.to_item(current_version.next()))
    }

    /// Reads a checkpoint from its item. A checkpoint that cannot be parsed, because a build with another format wrote
    /// it, counts as one that removes nothing.
    pub fn from_item(item: &Item) -> Checkpoint {
        item.body
            .as_deref()
            .and_then(Checkpoint::parse)
            .unwrap_or_default()
    }

    fn parse(body: &str) -> Option<Checkpoint> {
        let mut lines = body.split('\n');
        let (floor, max_history_version) = lines.next()?.split_once(' ')?;
        let live = lines.map(parse_live).collect::<Option<_>>()?;
        Some(Checkpoint {
            floor: Some(floor.parse().ok()?),
            max_history_version: max_history_version.parse().ok()?,
            live,
        })
    }

    /// The checkpoint as an item of this version. Its body is the line `FLOOR MAX_HISTORY_VERSION`, followed by a line
    /// `KIND VERSION "NAME"` for each live item.
    fn to_item(&self, version: Version) -> Item {
        let mut body = format!(
            "{} {}",
            self.floor.unwrap_or_default(),
            self.max_history_version
        );
        for (key, version) in &self.live {
            let kind = key.kind.tag();
            let name = jzon::stringify(key.name.as_str());
            body.push_str(&format!("\n{kind} {version} {name}"));
        }
        Item {
            key: Checkpoint::key(),
            version,
            body: Some(body),
        }
    }
}

/// Parses the line of a live item: its key and version.
fn parse_live(line: &str) -> Option<(ItemKey, Version)> {
    let mut fields = line.splitn(3, ' ');
    let kind = ItemKind::from_tag(fields.next()?)?;
    let version = fields.next()?.parse().ok()?;
    let name = decode_string(fields.next()?)?;
    let key = ItemKey { kind, name };
    key.is_removable().then_some((key, version))
}
