//! The configuration: the newest version of every item, and the merge of items from other replicas.

use crate::{Checkpoint, History, Item, ItemKey, ItemKind, Route, ValidationError, Version};
use std::collections::{BTreeMap, BTreeSet};

/// The newest version of every item, tombstones included.
///
/// A state-based CRDT: replicas that have merged the same items are equal, regardless of order and repetition.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    items: BTreeMap<ItemKey, Item>,
    /// The result of parsing each live route, by name, so that a change does not cost a parse of all other routes.
    parsed_routes: BTreeMap<String, Result<Route, ValidationError>>,
    /// The tombstones that a checkpoint may remove, in the order of their versions.
    removable_tombstones: BTreeSet<(Version, ItemKey)>,
    checkpoint: Checkpoint,
    /// The approximate encoded size of all items, in bytes.
    bytes: usize,
    /// The number of histories.
    history_count: usize,
}

/// The effect of a merge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the item was newer than the known one and was applied. If not, nothing changed.
    pub is_newer: bool,
    /// The items that were removed because the merged item is a checkpoint. A caller that stores items elsewhere has to
    /// remove them there, too.
    pub removed: Vec<Item>,
}

impl Configuration {
    /// A configuration without items.
    pub fn new() -> Configuration {
        Configuration::default()
    }

    /// Merges an item: applies it if its version is above the known one and the [`Checkpoint`] admits it. Returns
    /// whether it was applied.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_and_prune(item).is_newer
    }

    /// Merges an item like [`Configuration::merge`], and also returns the items that a new checkpoint removes, for
    /// callers that store items elsewhere as well.
    pub fn merge_and_prune(&mut self, item: Item) -> MergeOutcome {
        let is_known = self
            .get(&item.key)
            .is_some_and(|known| known.version >= item.version);
        if is_known || !self.admits(&item) {
            return MergeOutcome {
                is_newer: false,
                removed: Vec::new(),
            };
        }
        let checkpoint =
            (item.key.kind == ItemKind::Checkpoint).then(|| Checkpoint::from_item(&item));
        self.replace(item);
        let removed = match checkpoint {
            Some(checkpoint) => {
                self.checkpoint = checkpoint;
                self.remove_inadmissible()
            }
            None => Vec::new(),
        };
        MergeOutcome {
            is_newer: true,
            removed,
        }
    }

    fn replace(&mut self, item: Item) {
        if let Some(known) = self.items.get(&item.key) {
            self.removable_tombstones
                .remove(&(known.version, item.key.clone()));
            self.bytes -= known.encoded_len();
        } else {
            self.history_count += usize::from(item.key.kind == ItemKind::History);
        }
        self.bytes += item.encoded_len();
        if item.key.kind == ItemKind::Route {
            if item.is_tombstone() {
                self.parsed_routes.remove(&item.key.name);
            } else {
                self.parsed_routes
                    .insert(item.key.name.clone(), Route::from_item(&item));
            }
        }
        // Tombstones of evacuations are kept forever: there are few of them, and an old evacuation that reappeared
        // would take a zone out of use.
        if item.is_tombstone() && item.key.is_removable() {
            self.removable_tombstones
                .insert((item.version, item.key.clone()));
        }
        self.items.insert(item.key.clone(), item);
    }

    fn remove_inadmissible(&mut self) -> Vec<Item> {
        let inadmissible = self.items.values().filter(|item| !self.admits(item));
        let removed: Vec<Item> = inadmissible.cloned().collect();
        for item in &removed {
            self.items.remove(&item.key);
            self.bytes -= item.encoded_len();
            self.history_count -= usize::from(item.key.kind == ItemKind::History);
            self.removable_tombstones
                .remove(&(item.version, item.key.clone()));
            if item.key.kind == ItemKind::Route {
                self.parsed_routes.remove(&item.key.name);
            }
        }
        removed
    }

    /// Whether the checkpoint admits this version of an item. If not, the item's tombstone was removed, and applying
    /// the version could bring the item back.
    pub fn admits(&self, item: &Item) -> bool {
        if self.checkpoint.floor().is_none() {
            return true;
        }
        match item.key.kind {
            ItemKind::Route | ItemKind::Service => self.checkpoint.admits(&item.key, item.version),
            ItemKind::History => History::from_item(item).is_none_or(|history| {
                self.checkpoint
                    .admits(history.subject(), history.newest_version())
            }),
            ItemKind::Roster
            | ItemKind::Evacuation
            | ItemKind::Limits
            | ItemKind::Checkpoint
            | ItemKind::Register => true,
        }
    }

    /// The latest checkpoint, which records the removed tombstones.
    pub fn checkpoint(&self) -> &Checkpoint {
        &self.checkpoint
    }

    /// The number of tombstones that a checkpoint may remove.
    pub fn tombstone_count(&self) -> usize {
        self.removable_tombstones.len()
    }

    /// The tombstones that a checkpoint may remove, in the order of their versions.
    pub(crate) fn removable_tombstones(&self) -> &BTreeSet<(Version, ItemKey)> {
        &self.removable_tombstones
    }

    /// The newest version of an item, possibly a tombstone.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items, tombstones included, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Item> + '_ {
        self.items.values()
    }

    /// All items except tombstones, in the order of their keys.
    pub fn live(&self) -> impl Iterator<Item = &Item> + '_ {
        self.iter().filter(|item| !item.is_tombstone())
    }

    /// The number of items, tombstones included.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// The approximate encoded size of all items, in bytes.
    pub fn encoded_len(&self) -> usize {
        self.bytes
    }

    /// By how many bytes the configuration grows if these items replace its own; 0 if it shrinks.
    pub(crate) fn growth_by(&self, items: &[Item]) -> usize {
        let replaced = |item: &Item| self.get(&item.key).map_or(0, Item::encoded_len);
        let added: usize = items.iter().map(Item::encoded_len).sum();
        added.saturating_sub(items.iter().map(replaced).sum())
    }

    /// The number of histories.
    pub(crate) fn history_count(&self) -> usize {
        self.history_count
    }

    /// Whether there are no items, not even tombstones.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether a service of this name exists and is not a tombstone.
    pub fn has_service(&self, service: &str) -> bool {
        let key = ItemKey {
            kind: ItemKind::Service,
            name: service.to_owned(),
        };
        self.items
            .get(&key)
            .is_some_and(|item| !item.is_tombstone())
    }

    /// The live routes that are valid by themselves, in the order of their names. See
    /// [`effective_routes`](crate::effective_routes()) for the routes that proxies use.
    pub fn routes(&self) -> impl Iterator<Item = &Route> + '_ {
        self.parsed_routes
            .values()
            .filter_map(|route| route.as_ref().ok())
    }

    /// The result of parsing the live route of this item; `None` for other items.
    pub(crate) fn parsed_route(&self, item: &Item) -> Option<&Result<Route, ValidationError>> {
        let is_route = item.key.kind == ItemKind::Route;
        self.parsed_routes.get(&item.key.name).filter(|_| is_route)
    }
}

impl FromIterator<Item> for Configuration {
    fn from_iter<T: IntoIterator<Item = Item>>(items: T) -> Configuration {
        let mut configuration = Configuration::new();
        for item in items {
            configuration.merge(item);
        }
        configuration
    }
}
