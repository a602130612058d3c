//! A store's copies of the items that are chosen, and digests to compare them by.

use emberpin_config::{Configuration, Item, ItemKey, ItemKind};
use std::net::Ipv4Addr;

/// So many buckets share the names.
pub(crate) const BUCKETS: usize = 64;

/// The newest version known of each name; only rises.
#[derive(Clone, Debug)]
pub struct State {
    configuration: Configuration,
    digests: Vec<u64>,
}

impl Default for State {
    fn default() -> State {
        State {
            configuration: Configuration::new(),
            digests: vec![0; BUCKETS],
        }
    }
}

impl State {
    /// Takes what is newer; says whether it was, and what a new checkpoint removes.
    pub fn learn(&mut self, item: &Item) -> (bool, Vec<Item>) {
        let old = self.get(&item.key).map_or(0, digest);
        let (newer, removed) = self.configuration.merge_and_prune(item.clone());
        if newer {
            let sum = &mut self.digests[usize::from(bucket(&item.key))];
            *sum = sum.wrapping_sub(old).wrapping_add(digest(item));
        }
        for item in &removed {
            let sum = &mut self.digests[usize::from(bucket(&item.key))];
            *sum = sum.wrapping_sub(digest(item));
        }
        (newer, removed)
    }

    /// Whether this version or a newer one of the name is here, or was and its tombstone is removed.
    pub fn covers(&self, item: &Item) -> bool {
        self.get(&item.key)
            .is_some_and(|held| held.version >= item.version)
            || !self.configuration.admits(item)
    }

    /// All items but histories, which are of use to stores alone.
    pub fn told(&self) -> impl Iterator<Item = &Item> {
        self.iter().filter(|item| is_told(item))
    }

    /// The newest version of a name.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.configuration.get(key)
    }

    /// All items, drops among them.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.configuration.iter()
    }

    /// Who votes, once that is known.
    pub fn roster(&self) -> Option<&Item> {
        self.get(&roster_key())
    }

    pub(crate) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    pub(crate) fn digests(&self) -> &[u64] {
        &self.digests
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |all, one| mixed(all ^ one).wrapping_add(1))
    }

    /// Which buckets differ from these.
    pub(crate) fn differing(&self, digests: &[u64]) -> Vec<u8> {
        let differs = |bucket: &u8| {
            digests.get(usize::from(*bucket)) != self.digests.get(usize::from(*bucket))
        };
        (0..BUCKETS as u8).filter(differs).collect()
    }

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

/// Whether an item is told to others than stores.
pub(crate) fn is_told(item: &Item) -> bool {
    item.key.kind != ItemKind::History
}

/// The name of the roster.
pub(crate) fn roster_key() -> ItemKey {
    ItemKey {
        kind: ItemKind::Roster,
        name: String::new(),
    }
}

/// A roster as an item.
pub(crate) fn roster_item(ver: u64, voters: &[Ipv4Addr]) -> Item {
    let voters: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
    Item {
        key: roster_key(),
        version: ver,
        body: Some(format!("[{}]", voters.join(","))),
    }
}

/// The first roster: its founders, and the numbers of their candidacies, 0 for one that was none.
pub(crate) fn first_roster_item(founders: &[(Ipv4Addr, u64)]) -> Item {
    let voters = founders.iter().map(|(voter, _)| format!("\"{voter}\""));
    let numbers = founders.iter().map(|(_, number)| number.to_string());
    let body: Vec<String> = voters.chain(numbers).collect();
    Item {
        key: roster_key(),
        version: 1,
        body: Some(format!("[{}]", body.join(","))),
    }
}

/// Under which number the first roster names a founder; a later roster names none.
pub(crate) fn founder_number(roster: &Item, founder: Ipv4Addr) -> Option<u64> {
    let place = voters(roster).iter().position(|voter| *voter == founder)?;
    let body = roster.body.as_deref().filter(|_| roster.version == 1)?;
    let mut numbers = body
        .split(['[', ']', ','])
        .filter_map(|part| part.parse::<u64>().ok());
    numbers.nth(place).filter(|number| *number > 0)
}

/// The addresses in a roster; the stores alone write it.
pub(crate) fn voters(roster: &Item) -> Vec<Ipv4Addr> {
    let body = roster.body.as_deref().unwrap_or_default();
    let parts = body.split(['[', ']', ',', '"', ' ']);
    parts.filter_map(|part| part.parse().ok()).collect()
}

/// Which bucket a name belongs to.
pub(crate) fn bucket(key: &ItemKey) -> u8 {
    (mixed(hashed(key_bytes(key))) % BUCKETS as u64) as u8
}

fn key_bytes(key: &ItemKey) -> impl Iterator<Item = u8> + '_ {
    std::iter::once(key.kind as u8)
        .chain(key.name.bytes())
        .chain(std::iter::once(0xff))
}

fn digest(item: &Item) -> u64 {
    let body = item
        .body
        .as_deref()
        .map(|body| std::iter::once(1).chain(body.bytes()));
    mixed(hashed(
        key_bytes(&item.key)
            .chain(item.version.to_be_bytes())
            .chain(body.into_iter().flatten()),
    ))
}

/// FNV-1a.
fn hashed(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// The end of splitmix64: spreads every bit.
pub(crate) fn mixed(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
