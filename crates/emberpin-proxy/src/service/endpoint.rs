//! Endpoints of a service: server instances, and whether this proxy may send requests to them.

use emberpin_balancer::{Server, ServerId, ServerStatus};
use emberpin_routing::{Availability, EndpointChange};

/// A server instance, with its state according to registries and slow start.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address, capacity and availability, as reported by registries.
    pub change: EndpointChange,
    /// Index of its zone; 0 is the proxy's own.
    pub zone: usize,
    /// Whether slow start admits another request of this proxy, or the instance is warm.
    pub admitted: bool,
}

impl Endpoint {
    pub(super) fn is_available(&self) -> bool {
        self.change.availability == Availability::Available
    }

    /// Requests that the instance processes concurrently, at least 1.
    pub(super) fn slots(&self) -> u32 {
        self.change.slots.max(1)
    }
}

/// An endpoint that the decision module knows.
pub(super) struct KnownEndpoint {
    pub(super) endpoint: Endpoint,
    /// Id by which the decision module knows it.
    pub(super) server: ServerId,
    /// Whether it accepted no connection or acknowledged nothing, so that a health check is under way.
    pub(super) unreachable: bool,
}

impl KnownEndpoint {
    /// Whether the decision module may choose it.
    pub(super) fn is_in_service(&self) -> bool {
        self.endpoint.is_available() && self.endpoint.admitted && !self.unreachable
    }

    /// The endpoint's entry in the decision module's membership list. An endpoint that is temporarily out of service is
    /// listed as draining: it stays known, and gets no new requests.
    pub(super) fn membership_entry(&self) -> Server {
        let server_status = match self.endpoint.change.availability {
            Availability::Removed => ServerStatus::Removed,
            Availability::Available if self.is_in_service() => ServerStatus::InService,
            Availability::Available | Availability::Draining => ServerStatus::Draining,
        };
        Server {
            id: self.server,
            zone: self.endpoint.zone,
            kind: 0,
            cell: 0,
            capacity: f64::from(self.endpoint.slots()),
            started_at: None,
            status: server_status,
        }
    }
}
