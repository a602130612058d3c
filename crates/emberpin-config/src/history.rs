//! Histories: the acknowledged versions of an item below its newest one. They distinguish a patch that is sent again
//! from a different patch that reuses its versions.

use crate::digest::Digest;
use crate::{Configuration, Item, ItemKey, ItemKind, Version};
use std::collections::BTreeMap;

/// The maximum number of versions that a history retains besides the newest one. When it would be exceeded, the lowest
/// version is removed, and a duplicate of that version can no longer be distinguished from a conflict.
pub const MAX_RETAINED_VERSIONS: usize = 64;

/// The record of a version below the newest one in a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PastVersion {
    /// The version was acknowledged with the same content.
    SameContent,
    /// The version was acknowledged with a different content.
    OtherContent,
    /// The version is at or below the floor and not recorded, so it is no longer known whether it was acknowledged.
    BelowFloor,
    /// The version was never acknowledged.
    NeverAcknowledged,
}

/// The acknowledged versions of one item, its subject, below its newest one, with digests of their contents.
///
/// A history is itself an item, whose versions the stores assign. Each state of a history is a function of the state
/// before it, and is proposed together with the change that it records, so each version of a history has one content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    subject: ItemKey,
    newest: Version,
    /// The highest version that was removed from the history. Up to it, only the versions in `versions` are known.
    floor: Option<Version>,
    versions: BTreeMap<Version, Digest>,
}

impl History {
    /// A history without versions, of an item whose newest version is `newest`. Up to `floor`, if any, it is unknown
    /// which versions were acknowledged.
    pub fn new(subject: ItemKey, newest: Version, floor: Option<Version>) -> History {
        History {
            subject,
            newest,
            floor,
            versions: BTreeMap::new(),
        }
    }

    /// The key of the history of an item: the tag of its kind followed by its name. Only items whose versions operators
    /// choose have a history: routes, services and limits.
    pub fn key(subject: &ItemKey) -> ItemKey {
        ItemKey {
            kind: ItemKind::History,
            name: format!("{}{}", subject.kind.tag(), subject.name),
        }
    }

    /// Looks up the history of an item; `None` if it has none.
    pub fn find(configuration: &Configuration, subject: &ItemKey) -> Option<History> {
        History::from_item(configuration.get(&History::key(subject))?)
    }

    /// The history of an item, given its newest version; an empty history if it has none.
    pub(crate) fn find_or_new(configuration: &Configuration, newest: &Item) -> History {
        History::find(configuration, &newest.key)
            .unwrap_or_else(|| History::new(newest.key.clone(), newest.version, None))
    }

    /// Reads a history from its item. `None` if it cannot be parsed, because a build with another format wrote it.
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

    /// The history as an item of this version. Its body is `NEWEST FLOOR VERSION:DIGEST ...`, with `-` for no floor.
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

    /// The key of the item whose versions the history records.
    pub fn subject(&self) -> &ItemKey {
        &self.subject
    }

    /// The newest version of the subject.
    pub fn newest_version(&self) -> Version {
        self.newest
    }

    /// Looks up the version of an item, which must be below the newest one.
    pub fn lookup(&self, item: &Item) -> PastVersion {
        match self.versions.get(&item.version) {
            Some(digest) if *digest == Digest::of_content(item) => PastVersion::SameContent,
            Some(_) => PastVersion::OtherContent,
            None if self.floor.is_some_and(|floor| item.version <= floor) => {
                PastVersion::BelowFloor
            }
            None => PastVersion::NeverAcknowledged,
        }
    }

    /// Records a version below the newest one. If there are more than `max_versions`, the lowest versions are removed
    /// and the floor is raised to them.
    pub fn record(&mut self, item: &Item, max_versions: usize) {
        self.versions.insert(item.version, Digest::of_content(item));
        while self.versions.len() > max_versions {
            let lowest = self.versions.pop_first().map(|(version, _)| version);
            self.floor = self.floor.max(lowest);
        }
    }

    /// Records that version `newest` supersedes `former`, the newest version so far.
    pub fn supersede(&mut self, former: &Item, newest: Version, max_versions: usize) {
        self.record(former, max_versions);
        self.newest = newest;
    }
}
