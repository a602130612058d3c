//! What the holder of the connections to servers has yet to learn about them.

use emberpin_membership::instance::Instance;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether an instance may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// It may: the server is up.
    Available,
    /// It finishes its requests in flight and gets no new ones: the server drains, or its zone is evacuated.
    Draining,
    /// It gets no new requests, and no responses come from it any more.
    Removed,
}

/// The state of an instance after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The service that the server belongs to.
    pub service: String,
    /// The id of the instance.
    pub id: String,
    /// The address at which the server accepts requests.
    pub address: SocketAddr,
    /// The zone of the server.
    pub zone: String,
    /// The number of requests that the server processes at a time.
    pub slots: u32,
    /// Whether it may get requests.
    pub availability: Availability,
}

/// Finds which marked instances differ from what was last reported.
#[derive(Debug, Default)]
pub(super) struct ChangeTracker {
    marked: BTreeSet<String>,
    /// The last reported change of each instance that was not reported as removed.
    reported: BTreeMap<String, EndpointChange>,
}

impl ChangeTracker {
    /// Marks an instance as possibly changed.
    pub(super) fn mark(&mut self, id: &str) {
        self.marked.insert(id.into());
    }

    pub(super) fn take_marked(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.marked)
    }

    /// The change to report, if the state of an instance differs from what was last reported. `instance` is `None` if it
    /// is no longer known.
    pub(super) fn report(
        &mut self,
        id: &str,
        instance: Option<&Instance>,
        availability: Availability,
    ) -> Option<EndpointChange> {
        let before = self.reported.get(id);
        let change = match (instance, before) {
            (Some(instance), _) => EndpointChange {
                service: instance.service.clone(),
                id: id.into(),
                address: instance.address,
                zone: instance.zone.clone(),
                slots: instance.slots,
                availability,
            },
            (None, Some(before)) => EndpointChange {
                availability,
                ..before.clone()
            },
            (None, None) => return None,
        };
        if before == Some(&change) {
            return None;
        }
        if availability == Availability::Removed {
            // Who never heard of the instance need not hear of its removal.
            self.reported.remove(id)?;
        } else {
            self.reported.insert(id.into(), change.clone());
        }
        Some(change)
    }
}
