//! What becomes of a call.

use crate::checkpoint::{next_history_version, MOST_TOMBSTONES};
use crate::forms::called;
use crate::history::MOST_VERSIONS;
use crate::patch::same_content;
use crate::{Checkpoint, Configuration, History, Item, Key, Past, Patch, Wrong};
use std::collections::BTreeSet;

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// These items of it are newer than what is known, in the order of their keys. What else the call holds
    /// was acknowledged with the same content, or is superseded. The call may be acknowledged once these are
    /// kept.
    Apply(Vec<Item>),
    /// Nothing of it is newer, and some of it was acknowledged with the same content (or it holds nothing): a
    /// repeat, to be acknowledged again.
    Known,
    /// Refused as 409: an item has another content than the one that was acknowledged under its name and
    /// version, or every item of the call is superseded and was never acknowledged.
    Stale(Wrong),
    /// Neither acknowledged nor refused, as 503: an item is so old that it can't be told whether it was
    /// acknowledged.
    Forgotten(Wrong),
    /// Refused as 400: the configuration would be invalid with it.
    Invalid(Wrong),
}

/// What becomes of one item of a call.
enum Standing {
    Newer,
    Repeat,
    Conflict,
    Forgotten,
    Superseded,
}

fn standing(newest: &Configuration, item: &Item) -> Standing {
    let Some(known) = newest.get(&item.key) else {
        return if newest.admits(item) {
            Standing::Newer
        } else {
            Standing::Forgotten
        };
    };
    if item.ver > known.ver {
        return Standing::Newer;
    }
    if item.ver == known.ver {
        return if same_content(known, item) {
            Standing::Repeat
        } else {
            Standing::Conflict
        };
    }
    match History::below(newest, known).past(item) {
        Past::Same => Standing::Repeat,
        Past::Other => Standing::Conflict,
        Past::Forgotten => Standing::Forgotten,
        Past::Never => Standing::Superseded,
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
pub fn validate(newest: &Configuration, patch: &Patch) -> Decision {
    let (mut newer, mut repeats, mut superseded, mut forgotten) = (Vec::new(), false, None, None);
    for item in &patch.items {
        match standing(newest, item) {
            Standing::Newer => newer.push(item.clone()),
            Standing::Repeat => repeats = true,
            // Not even a part of this call was ever acknowledged, whatever can't be told of the others.
            Standing::Conflict => {
                let what = format!("version {} is known with another content", item.ver);
                return Decision::Stale(Wrong::new(called(&item.key), what));
            }
            Standing::Forgotten => {
                let what = format!(
                    "version {} is too old to tell whether it was acknowledged",
                    item.ver
                );
                forgotten.get_or_insert_with(|| Wrong::new(called(&item.key), what));
            }
            Standing::Superseded => {
                let known = newest.get(&item.key).map_or(0, |known| known.ver);
                let what = format!("version {} is older than {known}, which is known", item.ver);
                superseded.get_or_insert_with(|| Wrong::new(called(&item.key), what));
            }
        }
    }
    if let Some(wrong) = forgotten {
        return Decision::Forgotten(wrong);
    }
    if newer.is_empty() {
        return match superseded {
            Some(wrong) if !repeats => Decision::Stale(wrong),
            _ => Decision::Known,
        };
    }
    let touched: BTreeSet<&Key> = newer.iter().map(|item| &item.key).collect();
    let mut merged = newest.without_histories();
    for item in &newer {
        merged.merge(item.clone());
    }
    // What the call sets is judged in full; what it leaves alone was at fault before, except where it drops
    // the service.
    let new = merged.faults().into_iter().find(|fault| {
        let dropped = fault
            .unknown
            .as_ref()
            .is_some_and(|service| newest.knows(service));
        dropped || fault.of.iter().any(|key| touched.contains(key))
    });
    match new {
        Some(fault) => Decision::Invalid(fault.wrong),
        None => Decision::Apply(newer),
    }
}

/// How much of the past is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// So many versions of each item, besides its newest one.
    pub versions: usize,
    /// So many tombstones of routes and services; one call may add up to [`MOST_ITEMS`](crate::MOST_ITEMS)
    /// where all others are removed.
    pub tombstones: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            versions: MOST_VERSIONS,
            tombstones: MOST_TOMBSTONES,
        }
    }
}

/// As [`validate`], for those who keep the configuration: [`Decision::Apply`] also holds what is to be kept of
/// the past, and of a call that has nothing newer it tells the numbers that it takes.
pub fn judge(newest: &Configuration, patch: &Patch, bounds: &Bounds) -> Decision {
    let newer = match validate(newest, patch) {
        Decision::Apply(newer) => newer,
        Decision::Known => Vec::new(),
        refused => return refused,
    };
    let drops = newer.iter().filter(|item| item.body.is_none()).count();
    let room = bounds.tombstones.saturating_sub(drops);
    // Before the call, so that what it drops is not among what is removed.
    match (drops > 0).then(|| Checkpoint::due(newest, room)).flatten() {
        Some(checkpoint) => judge_after(newest, patch, bounds, checkpoint),
        None => apply_or_known([newer, histories(newest, patch, bounds)].concat()),
    }
}

/// Judges a call on what a checkpoint leaves, which goes along with it.
fn judge_after(
    newest: &Configuration,
    patch: &Patch,
    bounds: &Bounds,
    checkpoint: Item,
) -> Decision {
    let mut left = newest.clone();
    left.merge(checkpoint.clone());
    match validate(&left, patch) {
        Decision::Apply(newer) => {
            Decision::Apply([newer, histories(&left, patch, bounds), vec![checkpoint]].concat())
        }
        otherwise => otherwise,
    }
}

fn apply_or_known(items: Vec<Item>) -> Decision {
    if items.is_empty() {
        Decision::Known
    } else {
        Decision::Apply(items)
    }
}

/// The histories as they are to be once a call is acknowledged: they tell of what its newer items follow, and
/// of its superseded items, whose numbers are taken from then on.
fn histories(newest: &Configuration, patch: &Patch, bounds: &Bounds) -> Vec<Item> {
    let mut histories = Vec::new();
    for item in &patch.items {
        let Some(known) = newest.get(&item.key) else {
            histories.extend(beginning(newest, item));
            continue;
        };
        let mut history = History::below(newest, known);
        match standing(newest, item) {
            Standing::Newer => history.follow(known, item.ver, bounds.versions),
            Standing::Superseded => history.note(item, bounds.versions),
            Standing::Repeat | Standing::Conflict | Standing::Forgotten => continue,
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
        .filter(|_| item.key.can_be_dropped())?;
    let history = History::new(item.key.clone(), item.ver, Some(floor));
    Some(history.to_item(next_history_version(newest, &item.key)))
}
