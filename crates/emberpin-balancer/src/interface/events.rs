//! Events that the host reports to a gateway.

use super::{
    ClassId, CustomerId, GatewayId, GatewaySet, LoadReport, Location, MembershipUpdate, Millis,
    Outcome, PlanId, RequestId, ServerId,
};
use serde::{Deserialize, Serialize};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, unique among the pending requests; a second one with the same id is ignored.
    pub id: RequestId,
    /// Its class. A request whose class the settings do not have is rejected.
    pub class: ClassId,
    /// Its customer's plan. A request whose plan the settings do not have is rejected.
    pub plan: PlanId,
    /// The customer whose quota it is charged to.
    pub customer: CustomerId,
    /// Milliseconds until the client stops waiting for this request.
    pub remaining: Millis,
    /// Units that it takes from the customer's quota; they are also the estimate of its work.
    pub units: f64,
    /// The gateways that the customer's requests come through.
    pub gateways: GatewaySet,
    /// An attempt that another gateway may have made before it was lost. Such a request was admitted there and is
    /// not charged here; it is sent again only where its idempotency allows it.
    pub prior_attempt: Option<PriorAttempt>,
}

/// Where and when a request may have run before it came to this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorAttempt {
    /// Upper bound on the milliseconds since the first attempt was sent. Too low a bound allows a repeat after the
    /// deduplication window.
    pub age: Millis,
    /// The failure domains of the server that it was sent to.
    pub location: Location,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Milliseconds since it was sent.
    pub elapsed: Millis,
    /// Whether the client has received its answer; otherwise the gateway still has to answer it.
    pub answered: bool,
    /// Whether the host still has the complete request, so that it can send it again.
    pub replayable: bool,
    /// The load that the server reported.
    pub load: LoadReport,
    /// The true units, where [`Settings::units_are_estimates`](crate::Settings::units_are_estimates) is set.
    pub units: Option<f64>,
    /// The customer's metered use as a share of its rate, where there is a meter.
    pub metered: Option<f64>,
}

/// Units or budget that one of two processes of the same gateway used during an upgrade. The other process counts
/// it as its own usage, so that quotas, rate limits and the slow start of servers hold for both together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Usage {
    /// A request was admitted within a customer's quota.
    Units {
        /// The customer's hash, within [`gossip::ID_MASK`](crate::gossip::ID_MASK).
        customer: u64,
        /// Index of its plan.
        plan: usize,
        /// The gateways that its requests come through.
        gateways: GatewaySet,
        /// Units that the request took.
        units: f64,
    },
    /// An attempt was sent to a server that may still be warming up.
    SlowStart {
        /// The server that it was sent to.
        server: ServerId,
        /// The attempt's work, as a multiple of a mean request's.
        work: f64,
    },
}

/// An event for [`Gateway::handle`](crate::Gateway::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A second process of this gateway started or stopped, as during an upgrade. While it is running, usage is
    /// shared with it.
    SiblingChanged {
        /// Whether the second process runs.
        running: bool,
    },
    /// The second process of this gateway reports usage.
    SiblingUsage(Usage),
    /// The endpoint list changed.
    Membership(MembershipUpdate),
    /// A request arrived. Exactly one final answer follows: an answered attempt,
    /// [`Action::Reject`](crate::Action::Reject) or [`Action::Fail`](crate::Action::Fail).
    Request(Request),
    /// The client began to receive a streamed answer: no other attempt follows, and the gateway no longer has to
    /// answer.
    ResponseStarted {
        /// The request that is being answered.
        request: RequestId,
    },
    /// An attempt ended; exactly one such event follows each [`Action::Send`](crate::Action::Send).
    AttemptEnded(AttemptResult),
    /// The client disconnected or its deadline passed; the gateway no longer has to answer.
    Abandoned {
        /// The abandoned request.
        request: RequestId,
    },
    /// An operator takes a server out of service at this gateway, or puts it back. This stays in effect whatever
    /// the endpoint list reports.
    Maintenance {
        /// The server that is taken out or put back.
        server: ServerId,
        /// Whether it is taken out of service.
        out_of_service: bool,
    },
    /// A timer of [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer {
        /// The token that the timer was set with.
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Milliseconds since the probe was sent.
        elapsed: Millis,
        /// The load that the server reported.
        load: LoadReport,
    },
    /// A message from another gateway arrived, encoded as in [`gossip`](crate::gossip).
    PeerMessage {
        /// The gateway that sent it.
        from: GatewayId,
        /// The encoded message; one that cannot be decoded is ignored.
        bytes: Vec<u8>,
    },
    /// The counter service replied.
    CounterReply {
        /// The counter that was incremented.
        counter: u64,
        /// Its value after the addition; `None` where the call failed.
        total: Option<f64>,
    },
}
