//! Whether a call takes effect, is a duplicate or is rejected, on top of the newest items.

use crate::change_consistency::new_inconsistency;
use crate::patch::is_same_change;
use crate::{Configuration, History, Item, PastVersion, Patch, Problem, ValidationError, Version};

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchOutcome {
    /// These items are newer than what is known, in the order of their keys. All others of the call were acknowledged
    /// with the same content, or are superseded. The call may be acknowledged once these are committed.
    Apply(Vec<Item>),
    /// No item is newer, and some were acknowledged with the same content, or the call has no items: a duplicate of
    /// an earlier call, to be acknowledged again.
    Duplicate,
    /// Rejected, as 409: an item has another content than the one that was acknowledged with its version, or all items
    /// are superseded and none of them was ever acknowledged.
    Conflict(ValidationError),
    /// Neither acknowledged nor rejected, as 503: an item is so old that it is not known whether it was acknowledged.
    Indeterminate(ValidationError),
    /// Rejected, as 400: the configuration would be invalid with the call.
    Invalid(ValidationError),
    /// Rejected, as 507: the configuration would be larger than replicas can exchange.
    TooLarge(ValidationError),
}

/// How the version and content of one item compare with what is known.
pub(crate) enum ItemStatus {
    /// The item is unknown, or its version is above the newest one.
    Newer,
    /// The version was acknowledged with the same content.
    Duplicate,
    /// The version was acknowledged with another content.
    Conflict,
    /// It is not known any more whether the version was acknowledged.
    Forgotten,
    /// The version is below the newest one and was never acknowledged.
    Superseded,
}

impl ItemStatus {
    pub(crate) fn of(item: &Item, configuration: &Configuration) -> ItemStatus {
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

/// Decides what becomes of a call on top of the newest items.
///
/// Only one content of a version is ever acknowledged, so another one rejects the whole call, also where higher
/// versions are known. A call of which one item is newer or was acknowledged goes on although others are superseded:
/// it must take effect as a whole, and be acknowledged when it is sent again.
///
/// Two changes that were each valid alone may have merged into an invalid configuration. Later calls are not rejected
/// for that, unless they set an item that is part of the problem and leave the problem in place: otherwise no call
/// could correct a part of it.
pub fn validate(newest: &Configuration, patch: &Patch) -> PatchOutcome {
    let newer = match newer_items(newest, patch) {
        Ok(newer) if newer.is_empty() => return PatchOutcome::Duplicate,
        Ok(newer) => newer,
        Err(rejected) => return rejected,
    };
    match new_inconsistency(newest, &newer) {
        Some(error) => PatchOutcome::Invalid(error),
        None => PatchOutcome::Apply(newer),
    }
}

/// The items of a call that are newer than what is known; none, if the call is a duplicate.
///
/// # Errors
///
/// The outcome of the call, if its versions decide that it takes no effect.
fn newer_items(newest: &Configuration, patch: &Patch) -> Result<Vec<Item>, PatchOutcome> {
    let mut newer = Vec::new();
    let mut has_duplicate = false;
    let mut first_superseded = None;
    let mut first_forgotten = None;
    for item in &patch.items {
        let version = item.version;
        let error = |problem| ValidationError::new(item.key.to_string(), problem);
        match ItemStatus::of(item, newest) {
            ItemStatus::Newer => newer.push(item.clone()),
            ItemStatus::Duplicate => has_duplicate = true,
            // No part of this call was ever acknowledged, whatever is not known of its other items.
            ItemStatus::Conflict => {
                let problem = Problem::VersionConflict { version };
                return Err(PatchOutcome::Conflict(error(problem)));
            }
            ItemStatus::Forgotten => {
                first_forgotten.get_or_insert_with(|| error(Problem::VersionForgotten { version }));
            }
            ItemStatus::Superseded => {
                let newest = newest
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
