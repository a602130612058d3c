//! What the stores commit along with a call, so that its versions are recognized later: histories and checkpoints.

use crate::checkpoint::MAX_TOMBSTONES;
use crate::history::MAX_RETAINED_VERSIONS;
use crate::validate::{validate, ItemStatus};
use crate::{
    Checkpoint, Configuration, History, Item, ItemKey, Patch, PatchOutcome, Problem,
    ValidationError, Version,
};

/// What the histories of all items may take together before each keeps fewer versions, in bytes.
pub const MAX_HISTORY_BYTES: usize = 2 << 20;
/// The largest configuration that a call may add to, in bytes. Replicas send each other all items in one message of 8 MiB
/// at most, together with a proposal that may have been accepted.
pub const MAX_CONFIGURATION_BYTES: usize = 6 << 20;
/// What one version takes in the item of a history, about, in bytes.
const HISTORY_VERSION_BYTES: usize = 40;
/// How many versions a history keeps, however many histories there are.
const MIN_RETAINED_VERSIONS: usize = 4;

/// How much of the past is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// How many versions of each item a history keeps, besides the newest one. Of those below it is not known
    /// whether they were acknowledged. Default: [`MAX_RETAINED_VERSIONS`].
    pub max_versions: usize,
    /// How many tombstones of routes and services are kept. A call that removes more than this may exceed it by up to
    /// [`MAX_PATCH_ITEMS`](crate::MAX_PATCH_ITEMS). Default: [`MAX_TOMBSTONES`].
    pub max_tombstones: usize,
    /// What the histories of all items may take together, in bytes. With more names, each history keeps fewer versions
    /// than `max_versions`, from its next change on. Default: [`MAX_HISTORY_BYTES`].
    pub max_history_bytes: usize,
    /// The largest configuration that a call may add to, in bytes; calls that only remove items are taken beyond it.
    /// Default: [`MAX_CONFIGURATION_BYTES`].
    pub max_configuration_bytes: usize,
}

impl Retention {
    /// How many versions each history keeps, given how many histories there are.
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

/// As [`validate`], for the stores, which commit the configuration: [`PatchOutcome::Apply`] also has the histories and
/// the checkpoint to commit in the same proposal. So it has items for a call of superseded versions, too, if these are
/// recorded as acknowledged.
pub fn validate_for_commit(
    newest: &Configuration,
    patch: &Patch,
    retention: &Retention,
) -> PatchOutcome {
    let outcome = validate_with_history(newest, patch, retention);
    let PatchOutcome::Apply(items) = &outcome else {
        return outcome;
    };
    let only_removes = patch.items.iter().all(Item::is_tombstone);
    let growth = newest.growth_by(items);
    let limit = retention.max_configuration_bytes;
    if only_removes || growth == 0 || newest.encoded_len() + growth <= limit {
        return outcome;
    }
    let bytes = newest.encoded_len() + growth;
    PatchOutcome::TooLarge(ValidationError::new(
        "configuration",
        Problem::ConfigurationTooLarge { bytes, limit },
    ))
}

fn validate_with_history(
    newest: &Configuration,
    patch: &Patch,
    retention: &Retention,
) -> PatchOutcome {
    let newer = match validate(newest, patch) {
        PatchOutcome::Apply(newer) => newer,
        PatchOutcome::Duplicate => Vec::new(),
        rejected => return rejected,
    };
    let removals = newer.iter().filter(|item| item.is_tombstone()).count();
    let capacity = retention.max_tombstones.saturating_sub(removals);
    // Before the call, so that what it removes is not among the tombstones that the checkpoint removes.
    let checkpoint = (removals > 0)
        .then(|| Checkpoint::next_if_due(newest, capacity))
        .flatten();
    match checkpoint {
        Some(checkpoint) => validate_after_checkpoint(newest, patch, retention, checkpoint),
        None => apply_or_duplicate([newer, histories(newest, patch, retention)].concat()),
    }
}

/// Validates a call on top of what a checkpoint leaves, which is committed with it.
fn validate_after_checkpoint(
    newest: &Configuration,
    patch: &Patch,
    retention: &Retention,
    checkpoint: Item,
) -> PatchOutcome {
    let mut remaining = newest.clone();
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

/// The histories that change with a call: they record what its newer items supersede, and its superseded items, whose
/// versions count as acknowledged from then on.
fn histories(newest: &Configuration, patch: &Patch, retention: &Retention) -> Vec<Item> {
    let max_versions = retention.versions_per_item(newest);
    let mut histories = Vec::new();
    for item in &patch.items {
        let Some(known) = newest.get(&item.key) else {
            histories.extend(history_after_removal(newest, item));
            continue;
        };
        let mut history = History::find_or_new(newest, known);
        match ItemStatus::of(item, newest) {
            ItemStatus::Newer => history.supersede(known, item.version, max_versions),
            ItemStatus::Superseded => history.record(item, max_versions),
            ItemStatus::Duplicate | ItemStatus::Conflict | ItemStatus::Forgotten => continue,
        }
        histories.push(history.to_item(next_history_version(newest, &item.key)));
    }
    histories
}

/// The first history of an unknown item, if the item may have existed before its tombstone was removed: which versions
/// were acknowledged then is not known.
fn history_after_removal(newest: &Configuration, item: &Item) -> Option<Item> {
    let floor = newest
        .checkpoint()
        .floor()
        .filter(|_| item.key.is_removable())?;
    let history = History::new(item.key.clone(), item.version, Some(floor));
    Some(history.to_item(next_history_version(newest, &item.key)))
}

/// The version of the next history of an item, above that of any earlier one.
fn next_history_version(configuration: &Configuration, subject: &ItemKey) -> Version {
    let current = configuration
        .get(&History::key(subject))
        .map_or(Version(0), |item| item.version);
    current
        .max(configuration.checkpoint().max_history_version())
        .next()
}
