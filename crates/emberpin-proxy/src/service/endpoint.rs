//! Endpoints of a service: server instances, and whether this proxy may send requests to them.

use emberpin_balancer::{Server, ServerId, ServerStatus};
use emberpin_routing::{Availability, EndpointChange};

/// A server instance, as registries and slow start have it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address, capacity and availability, as registries say.
    pub change: EndpointChange,
    /// Index of its zone; 0 is the proxy's own.
    pub zone: usize,
    /// Slow start admits another request of this proxy, or the instance is warm.
    pub admitted: bool,
}

impl Endpoint {
    pub(super) fn is_available(&self) -> bool {
        self.change.availability == Availability::Available
    }

    /// Requests that it works on at once, at least 1.
    pub(super) fn slots(&self) -> u32 {
        self.change.slots.max(1)
    }
}

/// An endpoint that the decision module knows.
pub(super) struct KnownEndpoint {
    pub(super) endpoint: Endpoint,
    /// Number under which the decision module knows it.
    pub(super) server: ServerId,
    /// It accepted no connection or gave no sign of life, and a health check is under way.
    pub(super) unreachable: bool,
}

impl KnownEndpoint {
    /// Whether the decision module may choose it.
    pub(super) fn is_in_service(&self) -> bool {
        self.endpoint.is_available() && self.endpoint.admitted && !self.unreachable
    }

    /// The endpoint as the decision module's membership list has it. One that is out of service for now counts as
    /// draining there: it stays known, and gets no new requests.
    pub(super) fn membership_entry(&self) -> Server {
        let condition = match self.endpoint.change.availability {
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
            status: condition,
        }
    }
}
