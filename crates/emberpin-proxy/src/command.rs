//! Commands to the [`Controller`](crate::controller::Controller), sent by request handlers, registry sessions and
//! health checks. This module depends on none of the senders, so that none of them depends on another for these types.

use crate::service::Repeatability;
use emberpin_balancer::{RequestId, ServerId};
use emberpin_limiter::host::{Reply, UpstreamRequest};
use emberpin_membership::instance::Instance;
use emberpin_membership::session::ToProxy;
use std::fmt;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// One of the proxy's concurrent registry sessions. Sessions that follow one another in the same slot share the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub usize);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A client's request that is to be routed to a service and forwarded to one of its servers.
pub struct RouteRequest {
    /// Unique among the requests in flight in this process.
    pub id: RequestId,
    /// Host for which routes are looked up.
    pub host: String,
    /// Method, target, headers and body that are forwarded to a server.
    pub outgoing: UpstreamRequest,
    /// When the request's head was complete. Time limits count from here unless the body is still being uploaded.
    pub arrived_at: Instant,
    /// How long the client waits for the response, as stated in its `Deadline` header; `None` without one.
    pub deadline: Option<Duration>,
    /// Attempts already sent to servers. Above 0 only if the request was withdrawn from a service to which its route no
    /// longer leads.
    pub attempts_sent: u32,
    /// How often it may run, whatever the kind of the route that it gets now: `AtMostOnce` if a mutating route has led
    /// it to a service before.
    pub repeatability: Repeatability,
    /// Receives the reply, which is sent once.
    pub reply_to: oneshot::Sender<Reply>,
}

/// A request to the controller, or an event that it is notified of.
pub enum Command {
    /// Route and forward a client's request.
    Route(Box<RouteRequest>),
    /// The client of this request disconnected before its reply.
    ClientDisconnected(RequestId),
    /// A registry sent configuration items or instances.
    RegistryUpdate {
        session: SessionId,
        message: ToProxy,
    },
    /// A registry confirmed that the state it sent in this session is recent. `proxies` is the number of proxies that
    /// have sessions, as the registry counts them.
    SessionConfirmed { session: SessionId, proxies: u32 },
    /// A session was established. If `resumed`, it continues at the revision up to which an earlier session with the
    /// same registry had received everything, and no further snapshot follows.
    SessionStarted { session: SessionId, resumed: bool },
    /// A session ended, or could not be established.
    SessionEnded { session: SessionId },
    /// An unreachable server accepted a connection again.
    ServerReachable { service: String, server: ServerId },
    /// Reply with all known instances.
    ListInstances(oneshot::Sender<Vec<Instance>>),
}
