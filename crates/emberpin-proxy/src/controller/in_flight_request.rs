//! The record of a request in flight.

use crate::command::RouteRequest;
use crate::service::{ClassLease, Repeatability};
use emberpin_balancer::RequestId;
use emberpin_limiter::host::{Reply, UpstreamRequest};
use emberpin_routing::Route;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request whose reply is pending, or that has an attempt at a server.
pub(super) struct InFlightRequest {
    /// The newest route that leads it to `service`.
    pub(super) route: Rc<Route>,
    pub(super) service: String,
    /// Whether it may run more than once. Set by the kind of its first route and only ever restricted after that.
    pub(super) repeatability: Repeatability,
    /// Keeps its traffic class from being reused, whatever route is the newest.
    pub(super) _class: ClassLease,
    pub(super) host: String,
    pub(super) outgoing: Rc<UpstreamRequest>,
    pub(super) arrived_at: Instant,
    pub(super) deadline: Option<Duration>,
    /// Attempts sent to servers, less those that ended before any byte was sent.
    pub(super) attempts_sent: u32,
    /// The next attempt is already granted and charged to the retry budget: the one at a server was timed out in favour
    /// of it, or it takes the place of a retry of which nothing was sent.
    pub(super) retry_reserved: bool,
}

impl InFlightRequest {
    /// Takes back an attempt of which no byte was sent: the attempt that follows takes its place, and needs no retry
    /// budget beyond what was charged for this one.
    pub(super) fn take_back_unsent_attempt(&mut self) {
        self.retry_reserved |= self.attempts_sent > 1;
        self.attempts_sent = self.attempts_sent.saturating_sub(1);
    }

    /// The request, to be routed again for the same waiting client.
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
            repeatability: self.repeatability,
            reply_to,
        }
    }
}
