//! What a limiter and a registry say to each other.

use crate::instance::Instance;
use emberpin_config::{Item, ItemKey};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The first message on any connection to a registry's port: who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum First {
    /// A limiter; [`FromLimiter::Hello`] follows.
    Limiter,
    /// The registry on this machine; [`crate::peers::RegistryMessage::Hello`] follows.
    Registry(Ipv4Addr),
}

/// Where a limiter stands in a registry's log of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// The registry's incarnation; places of another one mean nothing.
    pub incarnation: u64,
    /// The number of the last change that was taken.
    pub number: u64,
}

/// The last name of a part of a snapshot: items come first, then instances, each in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotCursor {
    /// Up to this item.
    Item(ItemKey),
    /// All items, and instances up to this id.
    Instance(String),
}

/// How far a limiter has followed one registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Followed {
    /// All that changed up to here has been told, as far as it stands before the cursor.
    pub place: Revision,
    /// Where the snapshot goes on, unless it is whole.
    pub rest: Option<SnapshotCursor>,
}

impl Followed {
    /// Up to where everything has been told.
    pub fn whole(&self) -> Option<Revision> {
        self.rest.is_none().then_some(self.place)
    }

    /// Where a limiter stands after a message, and what it is to ask for next.
    pub fn advance(known: &mut Option<Followed>, told: &ToLimiter) {
        match (told, known) {
            (ToLimiter::Snapshot { at, rest, .. }, known) => {
                *known = Some(Followed {
                    place: *at,
                    rest: rest.clone(),
                });
            }
            (ToLimiter::SnapshotPart { rest, .. }, Some(known)) => known.rest.clone_from(rest),
            (ToLimiter::Changes { at, .. }, Some(known)) => known.place = *at,
            (ToLimiter::Changes { at, .. }, known) => {
                *known = Some(Followed {
                    place: *at,
                    rest: None,
                });
            }
            (ToLimiter::SnapshotPart { .. } | ToLimiter::Pulse { .. }, _) => {}
        }
    }
}

/// From a limiter to a registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromLimiter {
    /// The first message of a session.
    Hello {
        /// The limiter's incarnation, drawn at its start.
        incarnation: u64,
        /// The machine's name.
        name: String,
        /// Its zone.
        zone: String,
        /// Up to where it has followed this registry before, if it has.
        from: Option<Revision>,
        /// The instances that it knows, told to a registry that knows less.
        instances: Vec<Instance>,
    },
    /// Comes twice a second, and is answered by [`ToLimiter::Pulse`]; the session ends after a silence.
    Pulse {
        /// Up to where all changes are in force here; `None` until all has been told.
        at: Option<Revision>,
        /// The nonce of the question how old what the registry tells is.
        question: u64,
    },
    /// Wants the next part of the snapshot, as [`ToLimiter::SnapshotPart`].
    More {
        /// The cursor of the part before.
        after: SnapshotCursor,
    },
}

/// From a registry to a limiter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToLimiter {
    /// All that there is, or the first part of it. What a limiter knows beside it stays: instances that are not named are gone only if `complete`.
    Snapshot {
        /// The place that it stands for.
        at: Revision,
        /// All items of the configuration, drops among them.
        items: Vec<Item>,
        /// All instances, also those that drain.
        instances: Vec<Instance>,
        /// The registry has run for long enough to have heard of every server that lives.
        complete: bool,
        /// There is more behind this: [`FromLimiter::More`].
        rest: Option<SnapshotCursor>,
    },
    /// What has changed behind a place.
    Changes {
        /// The place that these lead to.
        at: Revision,
        /// Items, drops among them.
        items: Vec<Item>,
        /// Instances, also such as are gone.
        instances: Vec<Instance>,
    },
    /// Answers [`FromLimiter::Pulse`].
    Pulse {
        /// The nonce of the question.
        question: u64,
        /// So many milliseconds ago a majority had nothing that has not been told by now; `None`: the registry can
        /// confirm nothing, as it hears no majority.
        age: Option<u64>,
        /// How many limiters have a session with any registry.
        limiters: u32,
        /// The machines on which registries run; of a registry that can confirm nothing, those where some may run.
        registries: Vec<Ipv4Addr>,
    },
    /// Another part of a snapshot.
    SnapshotPart {
        /// Items behind the cursor that was asked for.
        items: Vec<Item>,
        /// Instances behind it.
        instances: Vec<Instance>,
        /// There is more behind this.
        rest: Option<SnapshotCursor>,
    },
}
