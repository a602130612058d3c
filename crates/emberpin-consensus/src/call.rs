//! Calls, and what becomes of them on top of everything that is chosen.

use crate::acceptor::Guards;
use crate::state::{roster_item, roster_key, voters};
use emberpin_config::{
    export_json, validate, validate_for_commit, Configuration, Item, ItemKey, ItemKind, Patch,
    PatchOutcome,
};
use std::net::Ipv4Addr;

/// What is asked of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Takes the items in this body.
    Patch(Vec<u8>),
    /// The whole configuration.
    Get,
    /// Evacuates a zone, or ends that.
    Evacuate {
        /// Which zone.
        zone: String,
        /// Begin, or end.
        begin: bool,
    },
}

/// What a store does for a caller, or for itself.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    Patch {
        id: u64,
        patch: Patch,
    },
    Get {
        id: u64,
    },
    Evacuate {
        id: u64,
        zone: String,
        begin: bool,
    },
    /// Replaces the roster of this version.
    Roster {
        ver: u64,
        voters: Vec<Ipv4Addr>,
    },
}

/// What becomes of a call.
#[derive(Debug, PartialEq)]
pub(crate) enum Verdict {
    /// These items are to be chosen before it is acknowledged.
    Choose(Vec<Item>),
    /// Nothing is left to do; the body of the 200.
    Done(String),
    /// Refused with this status and line.
    Refuse(u16, String),
}

impl Work {
    /// The number of the caller's answer.
    pub fn id(&self) -> Option<u64> {
        match self {
            Work::Patch { id, .. } | Work::Get { id } | Work::Evacuate { id, .. } => Some(*id),
            Work::Roster { .. } => None,
        }
    }

    /// Judges it on top of these items.
    pub fn evaluate(&self, newest: &Configuration, guards: &Guards) -> Verdict {
        match self {
            Work::Get { .. } => Verdict::Done(export_json(newest)),
            Work::Patch { patch, .. } => match validate_for_commit(newest, patch, &guards.bounds) {
                PatchOutcome::Apply(items) => match guards.leave_out(items) {
                    items if items.is_empty() => Verdict::Done(String::new()),
                    items => Verdict::Choose(items),
                },
                PatchOutcome::Duplicate => Verdict::Done(String::new()),
                PatchOutcome::Conflict(wrong) => Verdict::Refuse(409, wrong.to_string()),
                PatchOutcome::Indeterminate(wrong) => Verdict::Refuse(503, wrong.to_string()),
                PatchOutcome::Invalid(wrong) => Verdict::Refuse(400, wrong.to_string()),
            },
            Work::Evacuate { zone, begin, .. } => {
                let key = ItemKey {
                    kind: ItemKind::Evacuation,
                    name: zone.clone(),
                };
                let held = newest.get(&key);
                if held.is_some_and(|item| item.body.is_some()) == *begin {
                    return Verdict::Done(String::new());
                }
                let ver = held.map_or(1, |item| item.version + 1);
                Verdict::Choose(vec![Item {
                    key,
                    version: ver,
                    body: begin.then(|| "{}".into()),
                }])
            }
            Work::Roster { ver, voters: new } => match newest.get(&roster_key()) {
                Some(held) if held.version == *ver && voters(held) != *new => {
                    Verdict::Choose(vec![roster_item(ver + 1, new)])
                }
                _ => Verdict::Done(String::new()),
            },
        }
    }

    /// For tests: the items of a call that would do alone.
    pub fn alone(&self, newest: &Configuration) -> Vec<Item> {
        let Work::Patch { patch, .. } = self else {
            return Vec::new();
        };
        let patches = patch.items.iter().map(|item| Patch {
            items: vec![item.clone()],
        });
        patches
            .filter(|one| matches!(validate(newest, one), PatchOutcome::Apply(_)))
            .flat_map(|one| one.items)
            .collect()
    }
}
