//! Tracks changes of endpoints that have not been reported yet to the part of the proxy that manages the connections to
//! servers.

use emberpin_membership::instance::Instance;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether an instance may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// The instance is up and may get requests.
    Available,
    /// The instance finishes its requests in flight and gets no new ones: the server drains, or its zone is evacuated.
    Draining,
    /// The instance gets no new requests, and no more responses are expected from it.
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
    /// The number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the instance may get requests.
    pub availability: Availability,
}

/// Remembers the last reported state of each instance, to report only differences.
#[derive(Debug, Default)]
pub(super) struct ChangeTracker {
    /// The ids of the instances that may have changed since the last report.
    marked: BTreeSet<String>,
    /// The last reported state of each instance, except of those reported as removed.
    reported: BTreeMap<String, EndpointChange>,
}

impl ChangeTracker {
    /// Marks an instance as possibly changed.
    pub(super) fn mark(&mut self, id: &str) {
        self.marked.insert(id.into());
    }

    /// Returns the ids of the marked instances, and clears the marks.
    pub(super) fn take_marked(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.marked)
    }

    /// The change to report, if the state of an instance differs from the last reported one. `instance` is `None` if
    /// the instance is no longer known.
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
            // The removal of an instance that was never reported need not be reported either.
            self.reported.remove(id)?;
        } else {
            self.reported.insert(id.into(), change.clone());
        }
        Some(change)
    }
}
