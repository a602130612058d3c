//! The state of one pending request.

use crate::interface::{DedupScope, Idempotency, Location, Millis, Request, Server, ServerId};

/// A request that this gateway has not answered yet.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request as it was received.
    pub request: Request,
    /// The idempotency of its class when it arrived. Whether it may run again depends on this alone, whatever
    /// becomes of the class meanwhile.
    pub idempotency: Idempotency,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// Number of attempts that were sent.
    pub attempts: u32,
    /// The server of the attempt in flight.
    pub in_flight: Option<ServerId>,
    /// When the newest attempt was sent.
    pub sent_at: Millis,
    /// The first attempt that may have run. After it, only a repeat that is known to do no harm may be sent.
    pub first_run: Option<FirstRun>,
    /// Whether the retry after the attempt in flight is already granted, see
    /// [`Gateway::reserve_retry`](crate::Gateway::reserve_retry).
    pub retry_reserved: bool,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub struct FirstRun {
    /// When it was sent.
    pub sent_at: Millis,
    /// Where its server is.
    pub location: Location,
}

/// The servers that a keyed request may be sent to again: those that recognize its key from the first attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryScope {
    /// Which servers share their keys.
    pub scope: DedupScope,
    /// Where the server of the first attempt is.
    pub location: Location,
}

impl RetryScope {
    /// Whether a server is in this scope.
    pub fn contains(&self, server: &Server) -> bool {
        match self.scope {
            DedupScope::All => true,
            DedupScope::Zone => server.zone == self.location.zone,
            DedupScope::Cell => server.cell == self.location.cell,
        }
    }
}
