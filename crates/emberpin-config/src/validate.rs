//! What becomes of a call.

use crate::forms::called;
use crate::patch::same_content;
use crate::{Configuration, Item, Key, Patch, Wrong};
use std::collections::BTreeSet;

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// These items of it are newer than what is known, in the order of their keys. What else the call holds
    /// is known with the same content, or superseded. The call may be acknowledged once these are kept.
    Apply(Vec<Item>),
    /// Nothing of it is newer, and some of it is known with the same content (or it holds nothing): a repeat,
    /// to be acknowledged again.
    Known,
    /// Refused as 409: an item has another content than the one known under its name and version, or every
    /// item of the call is superseded.
    Stale(Wrong),
    /// Refused as 400: the configuration would be invalid with it.
    Invalid(Wrong),
}

/// Judges a call on top of the newest items.
///
/// Only one content of a name and version is ever acknowledged, so another one refuses the whole call. A call
/// of which an item is newer or known already goes on although others of its items are superseded: it may
/// have been spread by half when a higher version came, and must end whole, and be acknowledged when it is
/// sent again.
///
/// Two changes that were each valid alone may have merged into something invalid. Later calls are not refused
/// for that, unless they set an item that has such a fault and leave the fault in place: otherwise no call
/// could mend it in part.
pub fn validate(newest: &Configuration, patch: &Patch) -> Decision {
    let (mut newer, mut repeats, mut superseded) = (Vec::new(), false, None);
    for item in &patch.items {
        match newest.get(&item.key) {
            None => newer.push(item.clone()),
            Some(known) if item.ver > known.ver => newer.push(item.clone()),
            Some(known) if item.ver == known.ver => match same_content(known, item) {
                true => repeats = true,
                false => {
                    let what = format!("version {} is known with another content", item.ver);
                    return Decision::Stale(Wrong::new(called(&item.key), what));
                }
            },
            Some(known) => {
                let what = format!("version {} is older than {}, which is known", item.ver, known.ver);
                superseded.get_or_insert_with(|| Wrong::new(called(&item.key), what));
            }
        }
    }
    if newer.is_empty() {
        return match superseded {
            Some(wrong) if !repeats => Decision::Stale(wrong),
            _ => Decision::Known,
        };
    }
    let touched: BTreeSet<&Key> = newer.iter().map(|item| &item.key).collect();
    let mut merged = newest.clone();
    for item in &newer {
        merged.merge(item.clone());
    }
    // What the call sets is judged in full; what it leaves alone was at fault before, except where it drops
    // the service.
    let new = merged.faults().into_iter().find(|fault| {
        let dropped = fault.unknown.as_ref().is_some_and(|service| newest.knows(service));
        dropped || fault.of.iter().any(|key| touched.contains(key))
    });
    match new {
        Some(fault) => Decision::Invalid(fault.wrong),
        None => Decision::Apply(newer),
    }
}
