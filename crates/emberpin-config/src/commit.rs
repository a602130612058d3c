//! Validation for the stores, which commit histories and checkpoints together with a patch, so that the versions of the
//! patch are recognized later.

use crate::checkpoint::MAX_TOMBSTONES;
use crate::history::MAX_RETAINED_VERSIONS;
use crate::validate::{validate, ItemStatus};
use crate::{
    Checkpoint, Configuration, History, Item, ItemKey, Patch, PatchOutcome, Problem,
    ValidationError, Version,
};

/// The byte limit of all histories together, beyond which each history retains fewer versions.
pub const MAX_HISTORY_BYTES: usize = 2 << 20;
/// The size in bytes up to which a patch may enlarge the configuration. Replicas send each other all items in one
/// message of at most 8 MiB, together with a proposal that may have been accepted.
pub const MAX_CONFIGURATION_BYTES: usize = 6 << 20;
/// The approximate size of one version in the item of a history, in bytes.
const HISTORY_VERSION_BYTES: usize = 40;
/// The number of versions that a history may retain even if there are so many histories that they exceed their byte
/// limit.
const MIN_RETAINED_VERSIONS: usize = 4;

/// Limits on the retention of past versions and tombstones, and on the size of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// The maximum number of versions that a history retains besides the newest one. For lower versions it is unknown
    /// whether they were acknowledged. Default: [`MAX_RETAINED_VERSIONS`].
    pub max_versions: usize,
    /// The maximum number of tombstones of routes and services. A patch that removes more items than this may exceed it
    /// by up to [`MAX_PATCH_ITEMS`](crate::MAX_PATCH_ITEMS). Default: [`MAX_TOMBSTONES`].
    pub max_tombstones: usize,
    /// The byte limit of all histories together. If there are many histories, each one retains fewer versions than
    /// `max_versions`, starting with its next change. Default: [`MAX_HISTORY_BYTES`].
    pub max_history_bytes: usize,
    /// The size in bytes up to which a patch may enlarge the configuration. Patches that only remove items are accepted
    /// beyond it. Default: [`MAX_CONFIGURATION_BYTES`].
    pub max_configuration_bytes: usize,
}

impl Retention {
    /// The maximum number of versions per history, given the number of histories.
    fn versions_per_item(&self, configuration: &Configuration) -> usize {
        let histories = configuration.history_count().max(1);
        let share = self.max_history_bytes / histories / HISTORY_VERSION_BYTES;
        self.max_versions.min(share.max(MIN_RETAINED_VERSIONS))
    }
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            max_versions: MAX_RETAINED_VERSIONS,
            max_tombstones: MAX_TOMBSTONES,
            max_history_bytes: MAX_HISTORY_BYTES,
            max_configuration_bytes: MAX_CONFIGURATION_BYTES,
        }
    }
}

/// Validates a patch like [`validate`], for the stores, which commit the configuration. [`PatchOutcome::Apply`] also
/// contains the histories and the checkpoint to commit in the same proposal. So a patch without newer items results in
/// `Apply`, too, if superseded versions have to be recorded as acknowledged.
pub fn validate_for_commit(
    current: &Configuration,
    patch: &Patch,
    retention: &Retention,
) -> PatchOutcome {
    let outcome = validate_with_history(current, patch, retention);
    let PatchOutcome::Apply(items) = &outcome else {
        return outcome;
    };
    let only_removes = patch.items.iter().all(Item::is_tombstone);
    let growth = current.growth_by(items);
    let limit = retention.max_configuration_bytes;
    if only_removes || growth == 0 || current.encoded_len() + growth <= limit {
        return outcome;
    }
    let bytes = current.encoded_len() + growth;
    PatchOutcome::TooLarge(ValidationError::new(
        "configuration",
        Problem::ConfigurationTooLarge { bytes, limit },
    ))
}

fn validate_with_history(
    current: &Configuration,
    patch: &Patch,
    retention: &Retention,
) -> PatchOutcome {
    let newer = match validate(current, patch) {
        PatchOutcome::Apply(newer) => newer,
        PatchOutcome::Duplicate => Vec::new(),
        rejected => return rejected,
    };
    let removals = newer.iter().filter(|item| item.is_tombstone()).count();
    let capacity = retention.max_tombstones.saturating_sub(removals);
    // Computed on the configuration without the patch, so that the checkpoint does not remove the patch's tombstones.
    let checkpoint = (removals > 0)
        .then(|| Checkpoint::next_if_due(current, capacity))
        .flatten();
    match checkpoint {
        Some(checkpoint) => validate_after_checkpoint(current, patch, retention, checkpoint),
        None => apply_or_duplicate([newer, histories(current, patch, retention)].concat()),
    }
}

/// Validates a patch on top of the configuration that remains after a checkpoint, and adds the checkpoint to the items
/// to commit.
fn validate_after_checkpoint(
    current: &Configuration,
    patch: &Patch,
    retention: &Retention,
    checkpoint: Item,
) -> PatchOutcome {
    let mut remaining = current.clone();
    remaining.merge(checkpoint.clone());
    match validate(&remaining, patch) {
        PatchOutcome::Apply(newer) => {
            let histories = histories(&remaining, patch, retention);
            PatchOutcome::Apply([newer, histories, vec![checkpoint]].concat())
        }
        other => other,
    }
}

fn apply_or_duplicate(items: Vec<Item>) -> PatchOutcome {
    if items.is_empty() {
        PatchOutcome::Duplicate
    } else {
        PatchOutcome::Apply(items)
    }
}

/// The histories that change with a patch. They record the versions that its newer items supersede, and the versions of
/// its superseded items, which count as acknowledged from then on.
fn histories(current: &Configuration, patch: &Patch, retention: &Retention) -> Vec<Item> {
    let max_versions = retention.versions_per_item(current);
    let mut histories = Vec::new();
    for item in &patch.items {
        let Some(known) = current.get(&item.key) else {
            histories.extend(history_after_removal(current, item));
            continue;
        };
        let mut history = History::find_or_new(current, known);
        match ItemStatus::classify(item, current) {
            ItemStatus::Newer => history.supersede(known, item.version, max_versions),
            ItemStatus::Superseded => history.record(item, max_versions),
            ItemStatus::Duplicate | ItemStatus::Conflict | ItemStatus::Forgotten => continue,
        }
        histories.push(history.to_item(next_history_version(current, &item.key)));
    }
    histories
}

/// The first history of an item that does not exist, if it may have existed before its tombstone was removed. The
/// history's floor records that the versions acknowledged at that time are unknown.
fn history_after_removal(current: &Configuration, item: &Item) -> Option<Item> {
    let floor = current
        .checkpoint()
        .floor()
        .filter(|_| item.key.is_removable())?;
    let history = History::new(item.key.clone(), item.version, Some(floor));
    Some(history.to_item(next_history_version(current, &item.key)))
}

/// The version of an item's next history, above those of all its earlier histories.
fn next_history_version(configuration: &Configuration, subject: &ItemKey) -> Version {
    let current = configuration
        .get(&History::key(subject))
        .map_or(Version(0), |item| item.version);
    current
        .max(configuration.checkpoint().max_history_version())
        .next()
}
