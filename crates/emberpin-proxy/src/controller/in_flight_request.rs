//! The record of a request in flight.

use crate::command::RouteRequest;
use emberpin_balancer::RequestId;
use emberpin_limiter::host::{Reply, UpstreamRequest};
use emberpin_routing::Route;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request that is owed a reply or has an attempt at a server.
pub(super) struct InFlightRequest {
    /// The newest route under which it may stay at its service.
    pub(super) route: Rc<Route>,
    pub(super) service: String,
    pub(super) host: String,
    pub(super) outgoing: Rc<UpstreamRequest>,
    pub(super) arrived_at: Instant,
    pub(super) deadline: Option<Duration>,
    /// Attempts handed to servers, less those that ended before any byte went out.
    pub(super) attempts_sent: u32,
    /// The attempt at a server was broken off for a retry, which is granted and charged to the budget already.
    pub(super) retry_reserved: bool,
}

impl InFlightRequest {
    /// The request as it arrived, to be routed again for the same waiting client.
    pub(super) fn to_route_request(
        &self,
        id: RequestId,
        reply_to: oneshot::Sender<Reply>,
    ) -> RouteRequest {
        RouteRequest {
            id,
            host: self.host.clone(),
            outgoing: UpstreamRequest {
                withdrawn: Cell::new(false),
                ..(*self.outgoing).clone()
            },
            arrived_at: self.arrived_at,
            deadline: self.deadline,
            attempts_sent: self.attempts_sent,
            reply_to,
        }
    }
}
