//! Decides whether a patch takes effect, is a duplicate or is rejected.

use crate::change_consistency::new_inconsistency;
use crate::patch::is_same_change;
use crate::{Configuration, History, Item, PastVersion, Patch, Problem, ValidationError, Version};

/// The decision about a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchOutcome {
    /// The items of the patch that are newer than the configuration, in the order of their keys. All other items of the
    /// patch were acknowledged with the same content, or are superseded. The patch may be acknowledged once these items
    /// are committed.
    Apply(Vec<Item>),
    /// A duplicate of an earlier patch, to be acknowledged again: no item is newer and at least one was acknowledged
    /// with the same content, or the patch has no items.
    Duplicate,
    /// Rejected with status 409: an item has a different content than the one acknowledged with its version, or all
    /// items are superseded and none of them was ever acknowledged.
    Conflict(ValidationError),
    /// Neither acknowledged nor rejected, status 503: the version of an item is so old that it is unknown whether it
    /// was acknowledged.
    Indeterminate(ValidationError),
    /// Rejected with status 400: the configuration would be invalid with the patch.
    Invalid(ValidationError),
    /// Rejected with status 507: the configuration would be larger than replicas can exchange.
    TooLarge(ValidationError),
}

/// How the version and content of one item compare with the configuration and its histories.
pub(crate) enum ItemStatus {
    /// The item is unknown, or its version is above the newest one.
    Newer,
    /// The version was acknowledged with the same content.
    Duplicate,
    /// The version was acknowledged with a different content.
    Conflict,
    /// It is no longer known whether the version was acknowledged.
    Forgotten,
    /// The version is below the newest one and was never acknowledged.
    Superseded,
}

impl ItemStatus {
    /// Compares an item with the configuration and, if it is older, with the history of its key.
    pub(crate) fn classify(item: &Item, configuration: &Configuration) -> ItemStatus {
        let Some(newest) = configuration.get(&item.key) else {
            return if configuration.admits(item) {
                ItemStatus::Newer
            } else {
                ItemStatus::Forgotten
            };
        };
        if item.version > newest.version {
            return ItemStatus::Newer;
        }
        if item.version == newest.version {
            return if is_same_change(newest, item) {
                ItemStatus::Duplicate
            } else {
                ItemStatus::Conflict
            };
        }
        match History::find_or_new(configuration, newest).lookup(item) {
            PastVersion::SameContent => ItemStatus::Duplicate,
            PastVersion::OtherContent => ItemStatus::Conflict,
            PastVersion::BelowFloor => ItemStatus::Forgotten,
            PastVersion::NeverAcknowledged => ItemStatus::Superseded,
        }
    }
}

/// Decides whether a patch takes effect on the configuration.
///
/// Only one content of a version is ever acknowledged, so an item with a different content rejects the whole patch,
/// even if a higher version exists. If one item is newer or was acknowledged, superseded items do not reject the patch:
/// it must take effect as a whole, and be acknowledged when it is sent again.
///
/// Two changes that were each valid alone may have merged into an invalid configuration. A later patch is rejected for
/// that only if it sets an item that is part of the problem and leaves the problem in place; otherwise no patch could
/// correct only a part of it.
pub fn validate(current: &Configuration, patch: &Patch) -> PatchOutcome {
    let newer = match newer_items(current, patch) {
        Ok(newer) if newer.is_empty() => return PatchOutcome::Duplicate,
        Ok(newer) => newer,
        Err(rejected) => return rejected,
    };
    match new_inconsistency(current, &newer) {
        Some(error) => PatchOutcome::Invalid(error),
        None => PatchOutcome::Apply(newer),
    }
}

/// The items of a patch that are newer than the configuration; empty if the patch is a duplicate.
///
/// # Errors
///
/// The outcome of the patch if its versions alone decide that it does not take effect.
fn newer_items(current: &Configuration, patch: &Patch) -> Result<Vec<Item>, PatchOutcome> {
    let mut newer = Vec::new();
    let mut has_duplicate = false;
    let mut first_superseded = None;
    let mut first_forgotten = None;
    for item in &patch.items {
        let version = item.version;
        let error = |problem| ValidationError::new(item.key.to_string(), problem);
        match ItemStatus::classify(item, current) {
            ItemStatus::Newer => newer.push(item.clone()),
            ItemStatus::Duplicate => has_duplicate = true,
            // The patch was never acknowledged, so this is a conflict even if the status of another item is unknown.
            ItemStatus::Conflict => {
                let problem = Problem::VersionConflict { version };
                return Err(PatchOutcome::Conflict(error(problem)));
            }
            ItemStatus::Forgotten => {
                first_forgotten.get_or_insert_with(|| error(Problem::VersionForgotten { version }));
            }
            ItemStatus::Superseded => {
                let newest = current
                    .get(&item.key)
                    .map_or(Version(0), |known| known.version);
                first_superseded
                    .get_or_insert_with(|| error(Problem::VersionSuperseded { version, newest }));
            }
        }
    }
    if let Some(error) = first_forgotten {
        return Err(PatchOutcome::Indeterminate(error));
    }
    match first_superseded {
        Some(error) if newer.is_empty() && !has_duplicate => Err(PatchOutcome::Conflict(error)),
        _ => Ok(newer),
    }
}
