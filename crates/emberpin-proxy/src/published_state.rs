//! State that the controller publishes for request handlers, which read it without a round trip through the command
//! queue.

use std::cell::Cell;

/// Longest request body, in bytes, until the configuration states `body_max_bytes`.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 << 20;

/// Readiness and the size limits of requests, shared by the controller and the request handlers on one thread.
pub struct PublishedState {
    ready: Cell<bool>,
    draining: Cell<bool>,
    rejects_requests: Cell<bool>,
    max_body_bytes: Cell<u64>,
    max_head_bytes: Cell<u64>,
}

impl PublishedState {
    /// Not ready yet, with the default body limit and this limit for heads.
    pub fn new(max_head_bytes: u64) -> PublishedState {
        PublishedState {
            ready: Cell::new(false),
            draining: Cell::new(false),
            rejects_requests: Cell::new(false),
            max_body_bytes: Cell::new(DEFAULT_MAX_BODY_BYTES),
            max_head_bytes: Cell::new(max_head_bytes),
        }
    }

    /// Whether the platform should direct new connections to this proxy.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.draining.get()
    }

    /// Marks the configuration as complete and recent; returns whether it already was. Readiness is never withdrawn
    /// except by [`start_draining`](Self::start_draining).
    pub fn test_and_set_ready(&self) -> bool {
        self.ready.replace(true)
    }

    /// Begins graceful shutdown: readiness is withdrawn, and attempts are no longer abandoned early for a retry.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Whether graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Rejects requests from now on, as too little of the grace period is left to finish them.
    pub fn start_rejecting_requests(&self) {
        self.rejects_requests.set(true);
    }

    /// Whether requests are rejected because the process is about to exit.
    pub fn rejects_requests(&self) -> bool {
        self.rejects_requests.get()
    }

    /// Longest request body that is accepted, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        self.max_body_bytes.get()
    }

    /// Longest request head that is accepted, in bytes.
    pub fn max_head_bytes(&self) -> u64 {
        self.max_head_bytes.get()
    }

    /// Replaces the size limits; requests whose head was already checked are not affected.
    pub fn set_size_limits(&self, max_head_bytes: u64, max_body_bytes: u64) {
        self.max_head_bytes.set(max_head_bytes);
        self.max_body_bytes.set(max_body_bytes);
    }
}
