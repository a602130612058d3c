//! The versions of one item that were acknowledged before its newest one, so that a call which is sent again is
//! told from another call that carries the same number.

use crate::digest::Digest;
use crate::{Configuration, Item, ItemKey, ItemKind, Version};
use std::collections::BTreeMap;

/// So many versions are kept of each item, besides its newest one; the lowest gives way.
pub const MAX_RETAINED_VERSIONS: usize = 64;

/// What is known of a version below the newest one of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PastVersion {
    /// It was acknowledged with this content.
    SameContent,
    /// It was acknowledged with another content.
    OtherContent,
    /// Nobody can tell any more: it is not above the highest version that gave way.
    BelowFloor,
    /// It was never acknowledged.
    NeverAcknowledged,
}

/// The acknowledged versions of an item below its newest one, with digests of their contents.
///
/// It is an item itself, with versions that the stores give: each change of it is a function of the one before
/// and is chosen in the round that chooses what it tells of, so of each of its versions there is one content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    subject: ItemKey,
    /// The version of the subject that is the newest one.
    newest: Version,
    /// The highest version that gave way.
    floor: Option<Version>,
    versions: BTreeMap<Version, Digest>,
}

impl History {
    /// Nothing yet; `floor` is the highest version of which nothing can be told.
    pub fn new(subject: ItemKey, newest: Version, floor: Option<Version>) -> History {
        History {
            subject,
            newest,
            floor,
            versions: BTreeMap::new(),
        }
    }

    /// The name of the history of an item.
    pub fn key(subject: &ItemKey) -> ItemKey {
        let kind = match subject.kind {
            ItemKind::Service => 's',
            ItemKind::Route => 'r',
            ItemKind::Limits => 'l',
            // No caller gives these a version.
            ItemKind::Roster | ItemKind::Evacuation | ItemKind::History | ItemKind::Checkpoint => {
                '-'
            }
        };
        ItemKey {
            kind: ItemKind::History,
            name: format!("{kind}{}", subject.name),
        }
    }

    /// The history of an item, if anything is known of it.
    pub fn find(configuration: &Configuration, subject: &ItemKey) -> Option<History> {
        History::from_item(configuration.get(&History::key(subject))?)
    }

    /// The history of an item whose newest version this is, also if nothing is known of it yet.
    pub(crate) fn find_or_new(configuration: &Configuration, known: &Item) -> History {
        History::find(configuration, &known.key)
            .unwrap_or_else(|| History::new(known.key.clone(), known.version, None))
    }

    /// Reads it from an item; the stores alone write it, and `None` says that one of another build did.
    pub fn from_item(item: &Item) -> Option<History> {
        let (kind, name) = item.key.name.split_at_checked(1)?;
        let kind = match kind {
            "s" => ItemKind::Service,
            "r" => ItemKind::Route,
            "l" => ItemKind::Limits,
            _ => return None,
        };
        let subject = ItemKey {
            kind,
            name: name.to_owned(),
        };
        let mut fields = item.body.as_deref()?.split(' ');
        let newest = fields.next()?.parse().ok()?;
        let floor = match fields.next()? {
            "-" => None,
            floor => Some(floor.parse().ok()?),
        };
        let mut versions = BTreeMap::new();
        for field in fields {
            let (version, digest) = field.split_once(':')?;
            versions.insert(version.parse().ok()?, Digest::parse(digest)?);
        }
        Some(History {
            subject,
            newest,
            floor,
            versions,
        })
    }

    /// As an item of this version.
    pub fn to_item(&self, version: Version) -> Item {
        let mut body = format!("{} ", self.newest);
        match self.floor {
            None => body.push('-'),
            Some(floor) => body.push_str(&floor.to_string()),
        }
        for (version, digest) in &self.versions {
            body.push_str(&format!(" {version}:{digest}"));
        }
        Item {
            key: History::key(&self.subject),
            version,
            body: Some(body),
        }
    }

    /// Whose history it is.
    pub fn subject(&self) -> &ItemKey {
        &self.subject
    }

    /// The newest version of the subject.
    pub fn newest_version(&self) -> Version {
        self.newest
    }

    /// What is known of a version below the newest one.
    pub fn lookup(&self, item: &Item) -> PastVersion {
        match self.versions.get(&item.version) {
            Some(digest) if *digest == Digest::of(item) => PastVersion::SameContent,
            Some(_) => PastVersion::OtherContent,
            None if self.floor.is_some_and(|floor| item.version <= floor) => {
                PastVersion::BelowFloor
            }
            None => PastVersion::NeverAcknowledged,
        }
    }

    /// Notes a version below the newest one, of which nothing was known; at most so many are kept.
    pub fn record(&mut self, item: &Item, most: usize) {
        self.versions.insert(item.version, Digest::of(item));
        while self.versions.len() > most {
            let lowest = self.versions.pop_first().map(|(version, _)| version);
            self.floor = self.floor.max(lowest);
        }
    }

    /// Notes that a newer version follows on the one that was the newest.
    pub fn supersede(&mut self, former: &Item, newest: Version, most: usize) {
        self.record(former, most);
        self.newest = newest;
    }
}
