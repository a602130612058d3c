//! The registers on which a round evaluates operations: the chosen items, overlaid with the items that the round
//! proposes.

use crate::guards::Guards;
use crate::time::Timestamp;
use emberpin_config::{Configuration, Item, ItemKey, ItemKind, Version};
use emberpin_coordination::{Change, RegisterKey, RegisterKind, Registers};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Items that a round proposes, by key; of several changes of an item only the last one.
pub(super) type ProposedItems = BTreeMap<ItemKey, Item>;

/// A view of the registers during a round.
pub(super) struct RegisterView<'a> {
    pub chosen: &'a Configuration,
    pub proposed: &'a ProposedItems,
    /// When this replica learned the current content of each lock.
    pub locks_learned_at: &'a BTreeMap<ItemKey, Timestamp>,
    /// When this replica started; since then it has known the locks that it read from its disk.
    pub started_at: Timestamp,
    pub now: Timestamp,
    pub guards: Guards,
}

impl RegisterView<'_> {
    fn item(&self, key: &ItemKey) -> Option<&Item> {
        self.proposed.get(key).or_else(|| self.chosen.get(key))
    }

    /// The item that results from a change of a register.
    pub fn changed_item(&self, change: Change) -> Item {
        let key = item_key(&change.key);
        let version = self
            .item(&key)
            .map_or(Version::NEVER_SET, |item| item.version);
        Item {
            key,
            version: version.next(),
            body: Some(change.content),
        }
    }
}

impl Registers for RegisterView<'_> {
    fn content(&self, key: &RegisterKey) -> Option<&str> {
        self.item(&item_key(key))?.body.as_deref()
    }

    fn age(&self, key: &RegisterKey) -> Duration {
        let key = item_key(key);
        if self.proposed.contains_key(&key) {
            return Duration::ZERO;
        }
        let learned_at = match self.locks_learned_at.get(&key) {
            Some(learned_at) => learned_at,
            None if self.guards.count_leases_from_start => &self.started_at,
            None => return Duration::MAX,
        };
        self.now.saturating_since(*learned_at)
    }

    fn names_after(&self, kind: RegisterKind, after: &str, limit: usize) -> Vec<String> {
        let items = self.chosen.live().chain(self.proposed.values());
        let registers = items.filter(|item| item.key.kind == ItemKind::Register);
        let names = registers.filter_map(|item| item.key.name.strip_prefix(prefix(kind)));
        let later: BTreeSet<&str> = names.filter(|name| *name > after).collect();
        later.into_iter().take(limit).map(str::to_owned).collect()
    }

    fn size_bytes(&self) -> usize {
        self.chosen.encoded_len()
    }
}

/// Whether an item is the register of a lock.
pub(super) fn is_lock(key: &ItemKey) -> bool {
    key.kind == ItemKind::Register && key.name.starts_with(prefix(RegisterKind::Lock))
}

/// The key of the item of a register. Keys are stored, so their form must not change.
fn item_key(key: &RegisterKey) -> ItemKey {
    ItemKey {
        kind: ItemKind::Register,
        name: [prefix(key.kind), &key.name].concat(),
    }
}

fn prefix(kind: RegisterKind) -> &'static str {
    match kind {
        RegisterKind::Lock => "lock/",
        RegisterKind::Counter => "counter/",
        RegisterKind::Cell => "cell/",
        RegisterKind::CellGroup => "group/",
        RegisterKind::HistorySegment => "history/",
    }
}
