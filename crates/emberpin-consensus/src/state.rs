//! The items that a replica knows to be chosen, and digests by which replicas compare them.

use crate::hash::{fnv1a, mix};
use crate::message::ItemVersion;
use crate::roster::roster_key;
use emberpin_config::{Configuration, Item, ItemKey, ItemKind, MergeOutcome};

/// How many buckets the keys are hashed into. Replicas exchange one digest for each bucket, and then only the items of
/// the buckets that differ. Part of the protocol: replicas have to agree on it.
const BUCKET_COUNT: u8 = 64;

/// The newest known version of each chosen item. Versions only rise.
#[derive(Clone, Debug)]
pub struct State {
    configuration: Configuration,
    /// The digest of each bucket: the sum of its items' digests, so that it can be updated item by item.
    digests: Vec<u64>,
}

/// The changes of the state from learning one item.
#[derive(Debug)]
pub(crate) struct Merged {
    /// Whether the item was newer than its known version.
    pub is_newer: bool,
    /// Tombstones that the item made obsolete, if it is a checkpoint.
    pub removed: Vec<Item>,
}

impl Default for State {
    fn default() -> State {
        State {
            configuration: Configuration::new(),
            digests: vec![0; usize::from(BUCKET_COUNT)],
        }
    }
}

impl State {
    /// Merges a chosen item if it is newer than its known version.
    pub(crate) fn learn(&mut self, item: &Item) -> Merged {
        let old_digest = self.get(&item.key).map_or(0, item_digest);
        let MergeOutcome { is_newer, removed } = self.configuration.merge_and_prune(item.clone());
        if is_newer {
            let sum = &mut self.digests[usize::from(bucket(&item.key))];
            *sum = sum.wrapping_sub(old_digest).wrapping_add(item_digest(item));
        }
        for item in &removed {
            let sum = &mut self.digests[usize::from(bucket(&item.key))];
            *sum = sum.wrapping_sub(item_digest(item));
        }
        Merged { is_newer, removed }
    }

    /// Whether this version of the item or a newer one is known, or was known before its tombstone was removed.
    pub fn covers(&self, item: &Item) -> bool {
        self.get(&item.key)
            .is_some_and(|known| known.version >= item.version)
            || !self.configuration.admits(item)
    }

    pub(crate) fn covers_version(&self, version: &ItemVersion) -> bool {
        self.covers(&Item {
            key: version.key.clone(),
            version: version.version,
            body: None,
        })
    }

    /// The items that followers of the configuration receive: all but histories, which only replicas need.
    pub fn follower_items(&self) -> impl Iterator<Item = &Item> {
        self.iter().filter(|item| is_for_followers(item))
    }

    /// The newest known version of an item.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.configuration.get(key)
    }

    /// How many items there are, including tombstones and histories.
    pub fn item_count(&self) -> usize {
        self.configuration.len()
    }

    /// The approximate encoded size of all items, in bytes.
    pub fn encoded_len(&self) -> usize {
        self.configuration.encoded_len()
    }

    /// All items, including tombstones and histories.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.configuration.iter()
    }

    /// The newest known roster of voters; `None` if no roster is known, as before the bootstrap.
    pub fn roster(&self) -> Option<&Item> {
        self.get(&roster_key())
    }

    pub(crate) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The digest of each bucket.
    pub(crate) fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// The digest of the whole state.
    pub(crate) fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |sum, digest| mix(sum ^ digest).wrapping_add(1))
    }

    /// The buckets whose digests differ from another replica's.
    pub(crate) fn differing_buckets(&self, digests: &[u64]) -> Vec<u8> {
        let differs = |bucket: &u8| {
            let index = usize::from(*bucket);
            digests.get(index) != self.digests.get(index)
        };
        (0..BUCKET_COUNT).filter(differs).collect()
    }

    /// All items in these buckets.
    pub(crate) fn in_buckets(&self, buckets: &[u8]) -> Vec<Item> {
        if buckets.is_empty() {
            return Vec::new();
        }
        self.iter()
            .filter(|item| buckets.contains(&bucket(&item.key)))
            .cloned()
            .collect()
    }
}

/// Whether an item is sent to followers of the configuration.
pub(crate) fn is_for_followers(item: &Item) -> bool {
    item.key.kind != ItemKind::History
}

/// The bucket of a key.
pub(crate) fn bucket(key: &ItemKey) -> u8 {
    let bucket = mix(fnv1a(key_bytes(key))) % u64::from(BUCKET_COUNT);
    u8::try_from(bucket).expect("a remainder is below the number of buckets")
}

fn key_bytes(key: &ItemKey) -> impl Iterator<Item = u8> + '_ {
    std::iter::once(key.kind as u8)
        .chain(key.name.bytes())
        .chain(std::iter::once(0xff))
}

fn item_digest(item: &Item) -> u64 {
    let body = item
        .body
        .as_deref()
        .map(|body| std::iter::once(1).chain(body.bytes()));
    mix(fnv1a(
        key_bytes(&item.key)
            .chain(item.version.0.to_be_bytes())
            .chain(body.into_iter().flatten()),
    ))
}
