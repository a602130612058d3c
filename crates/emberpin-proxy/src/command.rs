//! What the controller works through, beneath both those who send it and the controller itself.

use emberpin_balancer::{RequestId, ServerId};
use emberpin_limiter::host::{Outgoing, Reply};
use emberpin_membership::instance::Instance;
use emberpin_membership::session::ToLimiter;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request that a client made.
pub struct Ask {
    /// Names it here.
    pub id: RequestId,
    /// The host that it is for.
    pub host: String,
    /// What goes on to a server.
    pub outgoing: Outgoing,
    /// When its head had come.
    pub arrived: Instant,
    /// For how long the client waits, if it says.
    pub deadline: Option<Duration>,
    /// How often it went out before, if it was taken back from a service that it may not go to any more.
    pub sends: u32,
    /// Who waits for the one answer.
    pub answer: oneshot::Sender<Reply>,
}

/// What the controller works through.
pub enum Command {
    /// A client's request.
    Ask(Box<Ask>),
    /// Its client has gone.
    Gone(RequestId),
    /// A registry has told something, in this session.
    News { session: usize, message: ToLimiter },
    /// What a session told is confirmed; so many limiters have sessions.
    Confirmed { session: usize, limiters: u32 },
    /// A session begins; `resumed`: with a place of an earlier one with the same registry.
    Begun { session: usize, resumed: bool },
    /// A session has ended.
    Lost { session: usize },
    /// A server that was silent takes connections again.
    Heard { service: String, server: ServerId },
    /// Wants all instances that are known.
    Instances(oneshot::Sender<Vec<Instance>>),
}
