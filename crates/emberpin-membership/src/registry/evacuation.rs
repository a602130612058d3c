//! Changes of evacuations, which have no version that the operator chooses.
//!
//! A request to begin an evacuation that was delayed for seconds, on a link or before a paused process, must not begin it
//! after the operator has ended it elsewhere. Nothing in the request tells its age. So it takes two steps: the first
//! request is answered with a redirect that names the version of the evacuation, and only the second one, which
//! repeats that version, goes to a store. Whoever has given up the first request does not follow its redirect; and
//! once a later change is acknowledged, the version of the second one is superseded, and the store rejects it. No
//! clocks are involved.

use super::Registry;
use emberpin_config::{ItemKey, ItemKind, Version};

/// What becomes of a request to change a zone's evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationStep {
    /// The caller is to send it again with this version.
    Redirect(Version),
    /// It goes to a store, which changes the evacuation if it still has this version.
    Forward(Version),
}

impl Registry {
    /// The next step of a request that states this version, or none. A registry that has not received the items yet
    /// names a version that a store rejects.
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
