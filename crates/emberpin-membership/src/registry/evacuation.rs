//! Requests to change an evacuation, which take two steps because the operator's request states no version.
//!
//! A request to begin an evacuation may be delayed for seconds, on a link or in the queue of a paused process. It must
//! not begin the evacuation after the operator has ended it with another request, but nothing in the request shows its
//! age. Therefore the first request is answered with a redirect that names the current version of the evacuation, and
//! only the second request, which repeats that version, goes to a store. A caller that has abandoned the first request
//! does not follow its redirect. Once a later change is acknowledged, the version that the second request repeats is
//! superseded, and the store rejects it. No clocks are involved.

use super::Registry;
use emberpin_config::{ItemKey, ItemKind, Version};

/// How a request to change a zone's evacuation continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationStep {
    /// The caller must send the request again with this version.
    Redirect(Version),
    /// The request goes to a store, which changes the evacuation if it still has this version.
    Forward(Version),
}

impl Registry {
    /// The next step of a request for `zone` that repeats the version `stated`, or is the first and states none. A
    /// registry without an item of the zone's evacuation names [`Version::NEVER_SET`]; if that is only because it has
    /// not received the items yet, a store rejects that version.
    pub fn evacuation_step(&self, zone: &str, stated: Option<Version>) -> EvacuationStep {
        if let Some(version) = stated {
            return EvacuationStep::Forward(version);
        }
        let key = ItemKey {
            kind: ItemKind::Evacuation,
            name: zone.into(),
        };
        let known = self.items.get(&key);
        let version = known.map_or(Version::NEVER_SET, |item| item.version);
        if self.guards.evacuation_redirect {
            EvacuationStep::Redirect(version)
        } else {
            EvacuationStep::Forward(version)
        }
    }
}
