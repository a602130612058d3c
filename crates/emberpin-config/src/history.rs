//! The acknowledged versions of an item below its newest one, by which a call that is sent again is distinguished from
//! another call that reuses its versions.

use crate::digest::Digest;
use crate::{Configuration, Item, ItemKey, ItemKind, Version};
use std::collections::BTreeMap;

/// How many versions of each item a history keeps, besides the newest one. When another one is recorded, the lowest is
/// removed, and a duplicate of it can no longer be distinguished from a conflict.
pub const MAX_RETAINED_VERSIONS: usize = 64;

/// What a history knows of a version below the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PastVersion {
    /// It was acknowledged with the content that was asked about.
    SameContent,
    /// It was acknowledged with another content.
    OtherContent,
    /// It is not above the floor, so whether it was acknowledged is not known any more.
    BelowFloor,
    /// It was never acknowledged.
    NeverAcknowledged,
}

/// The acknowledged versions of one item, its subject, below its newest one, with digests of their contents.
///
/// A history is an item itself, whose versions the stores assign. Each state is a function of the one before, and is
/// proposed together with the change that it records; so each version of a history has one content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    subject: ItemKey,
    newest: Version,
    /// The highest version that was removed. Nothing is known of the versions up to it but those in `versions`.
    floor: Option<Version>,
    versions: BTreeMap<Version, Digest>,
}

impl History {
    /// A history without versions, of an item whose newest version is `newest`. Up to `floor`, if there is one, it
    /// is not known which versions were acknowledged.
    pub fn new(subject: ItemKey, newest: Version, floor: Option<Version>) -> History {
        History {
            subject,
            newest,
            floor,
            versions: BTreeMap::new(),
        }
    }

    /// The key of the history of an item: the tag of its kind, then its name. Only items whose versions calls choose
    /// have a history: routes, services and limits.
    pub fn key(subject: &ItemKey) -> ItemKey {
        ItemKey {
            kind: ItemKind::History,
            name: format!("{}{}", subject.kind.tag(), subject.name),
        }
    }

    /// The history of an item, if it has one.
    pub fn find(configuration: &Configuration, subject: &ItemKey) -> Option<History> {
        History::from_item(configuration.get(&History::key(subject))?)
    }

    /// The history of an item, given its newest version; an empty one, if it has none.
    pub(crate) fn find_or_new(configuration: &Configuration, newest: &Item) -> History {
        History::find(configuration, &newest.key)
            .unwrap_or_else(|| History::new(newest.key.clone(), newest.version, None))
    }

    /// Reads a history from its item. `None`, if it cannot be read: a build with another format wrote it.
    pub fn from_item(item: &Item) -> Option<History> {
        let (tag, name) = item.key.name.split_at_checked(1)?;
        let subject = ItemKey {
            kind: ItemKind::from_tag(tag)?,
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

    /// The history as an item of this version: `NEWEST FLOOR VERSION:DIGEST ...`, a `-` for no floor.
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

    /// The key of the item whose versions these are.
    pub fn subject(&self) -> &ItemKey {
        &self.subject
    }

    /// The newest version of the subject.
    pub fn newest_version(&self) -> Version {
        self.newest
    }

    /// What is known of the version of an item, which is below the newest one.
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

    /// Records a version below the newest one of which nothing was known. Beyond `max_versions` the lowest versions
    /// are removed and raise the floor.
    pub fn record(&mut self, item: &Item, max_versions: usize) {
        self.versions.insert(item.version, Digest::of(item));
        while self.versions.len() > max_versions {
            let lowest = self.versions.pop_first().map(|(version, _)| version);
            self.floor = self.floor.max(lowest);
        }
    }

    /// Records that `former`, the newest version until now, is superseded by the version `newest`.
    pub fn supersede(&mut self, former: &Item, newest: Version, max_versions: usize) {
        self.record(former, max_versions);
        self.newest = newest;
    }
}
