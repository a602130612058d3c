//! Actions that a gateway requests of its host.

use super::{GatewayId, Millis, RequestId, ServerId, Usage};

/// An action for the host. Actions must be carried out in the order in which they were appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Milliseconds after which the host may abort the attempt; it then ends as
        /// [`Outcome::Timeout`](crate::Outcome::Timeout).
        timeout: Millis,
    },
    /// Final answer: rejected. The client may safely retry.
    Reject {
        /// The request that is rejected.
        request: RequestId,
        /// Milliseconds for which the client should wait before it retries; 0 for no advice.
        retry_after: Millis,
    },
    /// Final answer: failed. The request may have run, and a retry may run it twice.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request whose attempt is cancelled.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Probe a server. The gateway does not request this yet.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Close idle connections to a server. The gateway does not request this yet.
    CloseIdle {
        /// The server whose idle connections to close.
        server: ServerId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) later.
    SetTimer {
        /// Milliseconds until the event.
        delay: Millis,
        /// The token to deliver.
        token: u64,
    },
    /// Send a message to another gateway, or to all of them.
    SendToPeer {
        /// The gateway to send it to; `None` for all.
        to: Option<GatewayId>,
        /// The encoded message, at most [`gossip::MAX_BYTES`](crate::gossip::MAX_BYTES).
        bytes: Vec<u8>,
    },
    /// Fetch the full endpoint list once. The gateway does not request this yet.
    FetchServers,
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    WatchServers {
        /// Whether to subscribe.
        on: bool,
    },
    /// Add to a counter of the counter service. The gateway does not request this yet.
    AddToCounter {
        /// The counter to add to.
        counter: u64,
        /// The amount to add.
        amount: f64,
        /// Milliseconds after which a counter that this call creates expires.
        lifetime: Millis,
    },
    /// Report usage to the second process of this gateway, which runs during an upgrade.
    ShareUsage(Usage),
    /// Write a line to the operators' log. The same text is appended at most once in five seconds.
    Log(String),
}
