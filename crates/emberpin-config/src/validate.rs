//! What becomes of a call.

use crate::checkpoint::{next_history_version, MAX_TOMBSTONES};
use crate::history::MAX_RETAINED_VERSIONS;
use crate::patch::same_content;
use crate::schema::called;
use crate::{
    Checkpoint, Configuration, History, Item, ItemKey, PastVersion, Patch, ValidationError, Version,
};
use std::collections::BTreeSet;

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchOutcome {
    /// These items of it are newer than what is known, in the order of their keys. What else the call holds
    /// was acknowledged with the same content, or is superseded. The call may be acknowledged once these are
    /// kept.
    Apply(Vec<Item>),
    /// Nothing of it is newer, and some of it was acknowledged with the same content (or it holds nothing): a
    /// repeat, to be acknowledged again.
    Duplicate,
    /// Refused as 409: an item has another content than the one that was acknowledged under its name and
    /// version, or every item of the call is superseded and was never acknowledged.
    Conflict(ValidationError),
    /// Neither acknowledged nor refused, as 503: an item is so old that it can't be told whether it was
    /// acknowledged.
    Indeterminate(ValidationError),
    /// Refused as 400: the configuration would be invalid with it.
    Invalid(ValidationError),
}

/// What becomes of one item of a call.
enum ItemStatus {
    Newer,
    Repeat,
    Conflict,
    Forgotten,
    Superseded,
}

fn item_status(newest: &Configuration, item: &Item) -> ItemStatus {
    let Some(known) = newest.get(&item.key) else {
        return if newest.admits(item) {
            ItemStatus::Newer
        } else {
            ItemStatus::Forgotten
        };
    };
    if item.version > known.version {
        return ItemStatus::Newer;
    }
    if item.version == known.version {
        return if same_content(known, item) {
            ItemStatus::Repeat
        } else {
            ItemStatus::Conflict
        };
    }
    match History::find_or_new(newest, known).lookup(item) {
        PastVersion::SameContent => ItemStatus::Repeat,
        PastVersion::OtherContent => ItemStatus::Conflict,
        PastVersion::BelowFloor => ItemStatus::Forgotten,
        PastVersion::NeverAcknowledged => ItemStatus::Superseded,
    }
}

/// Judges a call on top of the newest items.
///
/// Only one content of a name and version is ever acknowledged, so another one refuses the whole call, also
/// where higher versions follow it. A call of which an item is newer or was acknowledged goes on although
/// others of its items are superseded: it must end whole, and be acknowledged when it is sent again.
///
/// Two changes that were each valid alone may have merged into something invalid. Later calls are not refused
/// for that, unless they set an item that has such a fault and leave the fault in place: otherwise no call
/// could mend it in part.
pub fn validate(newest: &Configuration, patch: &Patch) -> PatchOutcome {
    let (mut newer, mut repeats, mut superseded, mut forgotten) = (Vec::new(), false, None, None);
    for item in &patch.items {
        match item_status(newest, item) {
            ItemStatus::Newer => newer.push(item.clone()),
            ItemStatus::Repeat => repeats = true,
            // Not even a part of this call was ever acknowledged, whatever can't be told of the others.
            ItemStatus::Conflict => {
                let what = format!("version {} is known with another content", item.version);
                return PatchOutcome::Conflict(ValidationError::new(called(&item.key), what));
            }
            ItemStatus::Forgotten => {
                let what = format!(
                    "version {} is too old to tell whether it was acknowledged",
                    item.version
                );
                forgotten.get_or_insert_with(|| ValidationError::new(called(&item.key), what));
            }
            ItemStatus::Superseded => {
                let known = newest
                    .get(&item.key)
                    .map_or(Version(0), |known| known.version);
                let what = format!(
                    "version {} is older than {known}, which is known",
                    item.version
                );
                superseded.get_or_insert_with(|| ValidationError::new(called(&item.key), what));
            }
        }
    }
    if let Some(wrong) = forgotten {
        return PatchOutcome::Indeterminate(wrong);
    }
    if newer.is_empty() {
        return match superseded {
            Some(wrong) if !repeats => PatchOutcome::Conflict(wrong),
            _ => PatchOutcome::Duplicate,
        };
    }
    let touched: BTreeSet<&ItemKey> = newer.iter().map(|item| &item.key).collect();
    let mut merged = newest.without_histories();
    for item in &newer {
        merged.merge(item.clone());
    }
    // What the call sets is judged in full; what it leaves alone was at fault before, except where it drops
    // the service.
    let new = merged.inconsistencies().into_iter().find(|fault| {
        let dropped = fault
            .unknown
            .as_ref()
            .is_some_and(|service| newest.has_service(service));
        dropped || fault.of.iter().any(|key| touched.contains(key))
    });
    match new {
        Some(fault) => PatchOutcome::Invalid(fault.wrong),
        None => PatchOutcome::Apply(newer),
    }
}

/// How much of the past is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// So many versions of each item, besides its newest one.
    pub max_versions: usize,
    /// So many tombstones of routes and services; one call may add up to [`MAX_PATCH_ITEMS`](crate::MAX_PATCH_ITEMS)
    /// where all others are removed.
    pub max_tombstones: usize,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            max_versions: MAX_RETAINED_VERSIONS,
            max_tombstones: MAX_TOMBSTONES,
        }
    }
}

/// As [`validate`], for those who keep the configuration: [`PatchOutcome::Apply`] also holds what is to be kept of
/// the past, and of a call that has nothing newer it tells the numbers that it takes.
pub fn validate_for_commit(
    newest: &Configuration,
    patch: &Patch,
    retention: &Retention,
) -> PatchOutcome {
    let newer = match validate(newest, patch) {
        PatchOutcome::Apply(newer) => newer,
        PatchOutcome::Duplicate => Vec::new(),
        refused => return refused,
    };
    let drops = newer.iter().filter(|item| item.body.is_none()).count();
    let room = retention.max_tombstones.saturating_sub(drops);
    // Before the call, so that what it drops is not among what is removed.
    match (drops > 0)
        .then(|| Checkpoint::next_if_due(newest, room))
        .flatten()
    {
        Some(checkpoint) => validate_after_checkpoint(newest, patch, retention, checkpoint),
        None => apply_or_known([newer, histories(newest, patch, retention)].concat()),
    }
}

/// Judges a call on what a checkpoint leaves, which goes along with it.
fn validate_after_checkpoint(
    newest: &Configuration,
    patch: &Patch,
    retention: &Retention,
    checkpoint: Item,
) -> PatchOutcome {
    let mut left = newest.clone();
    left.merge(checkpoint.clone());
    match validate(&left, patch) {
        PatchOutcome::Apply(newer) => PatchOutcome::Apply(
            [newer, histories(&left, patch, retention), vec![checkpoint]].concat(),
        ),
        otherwise => otherwise,
    }
}

fn apply_or_known(items: Vec<Item>) -> PatchOutcome {
    if items.is_empty() {
        PatchOutcome::Duplicate
    } else {
        PatchOutcome::Apply(items)
    }
}

/// The histories as they are to be once a call is acknowledged: they tell of what its newer items follow, and
/// of its superseded items, whose numbers are taken from then on.
fn histories(newest: &Configuration, patch: &Patch, retention: &Retention) -> Vec<Item> {
    let mut histories = Vec::new();
    for item in &patch.items {
        let Some(known) = newest.get(&item.key) else {
            histories.extend(beginning(newest, item));
            continue;
        };
        let mut history = History::find_or_new(newest, known);
        match item_status(newest, item) {
            ItemStatus::Newer => history.supersede(known, item.version, retention.max_versions),
            ItemStatus::Superseded => history.record(item, retention.max_versions),
            ItemStatus::Repeat | ItemStatus::Conflict | ItemStatus::Forgotten => continue,
        }
        histories.push(history.to_item(next_history_version(newest, &item.key)));
    }
    histories
}

/// The history of a name that wasn't known, if it may have been before its tombstone was removed: nothing can
/// be told of versions from then.
fn beginning(newest: &Configuration, item: &Item) -> Option<Item> {
    let floor = newest
        .checkpoint()
        .floor()
        .filter(|_| item.key.is_removable())?;
    let history = History::new(item.key.clone(), item.version, Some(floor));
    Some(history.to_item(next_history_version(newest, &item.key)))
}
