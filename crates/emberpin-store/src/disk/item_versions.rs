//! The versions of all items on the disk, and a digest of these.

use super::watermark::{Watermark, WriteNumber};
use emberpin_config::{ItemKey, Version};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the key of an item in the partition `items`: one byte for its kind, and its name.
pub fn encode_key(key: &ItemKey) -> Vec<u8> {
    [&[key.kind as u8], key.name.as_bytes()].concat()
}

/// The version of each item by its encoded key, with a digest that is updated with each change. The digest is the
/// wrapping sum of one hash per item, so that it does not depend on the order of the changes.
#[derive(Default)]
pub struct ItemVersions {
    versions: BTreeMap<Vec<u8>, Version>,
    digest: u64,
}

impl ItemVersions {
    /// Records that an item is present in this version.
    pub fn insert(&mut self, key: Vec<u8>, version: Version) {
        let inserted = version_digest(&key, version);
        let replaced = self
            .versions
            .get(&key)
            .map(|old| version_digest(&key, *old));
        self.digest = self
            .digest
            .wrapping_sub(replaced.unwrap_or_default())
            .wrapping_add(inserted);
        self.versions.insert(key, version);
    }

    /// Records that an item is no longer present.
    pub fn remove(&mut self, key: &[u8]) {
        if let Some(version) = self.versions.remove(key) {
            self.digest = self.digest.wrapping_sub(version_digest(key, version));
        }
    }

    /// Returns the watermark of a write after which these items are present.
    pub fn watermark(&self, write_number: WriteNumber) -> Watermark {
        Watermark {
            write_number,
            item_count: self.versions.len() as u64,
            versions_digest: self.digest,
        }
    }
}

/// Returns an item's contribution to the digest.
fn version_digest(key: &[u8], version: Version) -> u64 {
    xxh3_64(&[key, &version.0.to_be_bytes()].concat())
}
