//! What the host reports to a gateway.

use super::{
    ClassId, CustomerId, GatewayId, GatewaySet, LoadReport, Location, MembershipUpdate, Millis,
    Outcome, PlanId, RequestId, ServerId,
};
use serde::{Deserialize, Serialize};

/// A request of a client as it arrives.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, unique among the pending requests; a second one with the same id is ignored.
    pub id: RequestId,
    /// Its class. A class that the settings do not have is rejected.
    pub class: ClassId,
    /// Its customer's plan. A plan that the settings do not have is rejected.
    pub plan: PlanId,
    /// The customer whose quota it is charged to.
    pub customer: CustomerId,
    /// Milliseconds until the client gives up waiting for this request.
    pub remaining: Millis,
    /// Units that it takes from the customer's quota; its work is estimated by them too.
    pub units: f64,
    /// The gateways that the customer's requests come through.
    pub gateways: GatewaySet,
    /// An attempt that another gateway, now lost, may have made of it. Such a request was admitted there and takes no
    /// units here; it is sent again only where its idempotency allows it.
    pub prior_attempt: Option<PriorAttempt>,
}

/// Where and when a request may have run before it came to this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorAttempt {
    /// Upper bound on the milliseconds since the first attempt was sent. A bound that is too low lets a repeat out
    /// after its deduplication window.
    pub age: Millis,
    /// Where the server is that it was sent to.
    pub location: Location,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request that it was an attempt of.
    pub request: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Milliseconds since it was sent.
    pub elapsed: Millis,
    /// Whether the client has its answer; otherwise the gateway still owes one.
    pub answered: bool,
    /// Whether the host still has the complete request, so that it can be sent once more.
    pub replayable: bool,
    /// The load that the server reported.
    pub load: LoadReport,
    /// The true units, where [`Settings::units_are_estimates`](crate::Settings::units_are_estimates).
    pub units: Option<f64>,
    /// The customer's metered use as a share of its rate, where there is a meter.
    pub metered: Option<f64>,
}

/// What one of two processes of the same gateway used up during an upgrade; the other counts it as its own use, so that
/// quotas, rate limits and the slow start of servers hold for both together.
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

/// What happened to a gateway, for [`Gateway::handle`](crate::Gateway::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A second process of this gateway started or stopped, as during an upgrade. While it runs, use is shared with it.
    SiblingChanged {
        /// Whether the second process runs.
        running: bool,
    },
    /// The second process of this gateway used up something.
    SiblingUsage(Usage),
    /// The endpoint list changed.
    Membership(MembershipUpdate),
    /// A request came in. Exactly one final answer follows: an answered attempt,
    /// [`Action::Reject`](crate::Action::Reject) or [`Action::Fail`](crate::Action::Fail).
    Request(Request),
    /// The client began to receive a streamed answer: no other attempt may follow, and the gateway owes no answer.
    ResponseStarted {
        /// The request that is being answered.
        request: RequestId,
    },
    /// An attempt ended; exactly one such event follows each [`Action::Send`](crate::Action::Send).
    AttemptEnded(AttemptResult),
    /// The client left or its time is up; the gateway owes no answer.
    Abandoned {
        /// The request that nobody waits for.
        request: RequestId,
    },
    /// An operator takes a server out of service at this gateway, or puts it back. It holds whatever the endpoint list
    /// says meanwhile.
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
    /// A message of another gateway came in, as bytes of [`gossip`](crate::gossip).
    PeerMessage {
        /// The gateway that sent it.
        from: GatewayId,
        /// The encoded message; one that cannot be decoded is ignored.
        bytes: Vec<u8>,
    },
    /// The counter service replied.
    CounterReply {
        /// The counter that was added to.
        counter: u64,
        /// Its value after the addition; `None` where the call failed.
        total: Option<f64>,
    },
}
