//! Read leases, which bound how long state received from a peer may be relied on. The peer of a lease is the other side
//! of a connection: a store, a registry, or, for a proxy, the registry of a session.
//!
//! A lease is renewed only by answers to queries. An answer carries the age of the peer's state, not a clock reading,
//! so no clocks are compared; the lease then runs from the local time at which the *query* was sent, less that age. A
//! delay of the answer, by a queue, a slow link or a paused process, therefore makes the state count as older, never as
//! younger.

use crate::clock::{millis, Timestamp};
use crate::ids::Nonce;
use crate::timing::{FIRST_CONFIRMATION_TIMEOUT, PROXY_LEASE_DURATION};
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of pending queries. Beyond it, the oldest query is forgotten, and an answer to it renews nothing.
const MAX_PENDING_QUERIES: usize = 16;

/// A query that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct PendingQuery {
    nonce: Nonce,
    sent_at: Timestamp,
}

/// The lease on the state received from one peer.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    last_nonce: Nonce,
    /// Queries in flight, the oldest first.
    pending: VecDeque<PendingQuery>,
    /// The latest time for which a confirmation was received: all that the peer knew at that time has been received.
    /// In milliseconds on the clock of [`Timestamp`]; negative if before the clock's origin. `None` before the first
    /// confirmation.
    confirmed_at_ms: Option<i64>,
}

impl Lease {
    /// Begins a query that is sent now. Returns the nonce that the query must carry.
    pub fn begin_query(&mut self, now: Timestamp) -> Nonce {
        let nonce = Nonce(self.last_nonce.0 + 1);
        self.last_nonce = nonce;
        if self.pending.len() == MAX_PENDING_QUERIES {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingQuery {
            nonce,
            sent_at: now,
        });
        nonce
    }

    /// Handles the answer to a query. `age` is the age of the peer's state, or `None` if the peer can confirm nothing.
    /// An answer to an unknown query, or to one that was sent before the last answered one, changes nothing.
    pub fn on_answer(&mut self, nonce: Nonce, age: Option<Duration>) {
        let Some(index) = self.pending.iter().position(|query| query.nonce == nonce) else {
            return;
        };
        let sent_at = self.pending[index].sent_at;
        self.pending.drain(..=index);
        let age_ms = age.map(|age| signed(millis(age)));
        self.renew(age_ms.map(|age_ms| signed(sent_at.as_millis()).saturating_sub(age_ms)));
    }

    /// Handles an answer as if its state had no age on arrival. Used instead of [`Lease::on_answer`] where
    /// [`crate::guards::Guards::lease_from_query`] is off.
    #[doc(hidden)]
    pub fn on_answer_from_arrival(&mut self, now: Timestamp, age: Option<Duration>) {
        self.renew(age.map(|_| signed(now.as_millis())));
    }

    fn renew(&mut self, confirmed_at_ms: Option<i64>) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(confirmed_at_ms);
    }

    /// The greatest possible age of the received state; `None` before the first confirmation.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let confirmed_at_ms = self.confirmed_at_ms?;
        let age_ms = signed(now.as_millis()).saturating_sub(confirmed_at_ms);
        Some(Duration::from_millis(u64::try_from(age_ms).unwrap_or(0)))
    }

    /// The latest time for which a confirmation was received: all that the peer knew at that time has been received.
    /// The clock's origin if that time is before it; `None` before the first confirmation.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        let confirmed_at_ms = self.confirmed_at_ms?;
        Some(Timestamp::from_millis(
            u64::try_from(confirmed_at_ms).unwrap_or(0),
        ))
    }

    /// Whether the received state is no older than `max_age`.
    pub fn is_valid(&self, now: Timestamp, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }
}

/// Converts milliseconds to a signed number. It saturates, but no process runs for that long.
fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// A proxy's lease on the state received from one registry, for the duration of one session.
#[derive(Clone, Debug)]
pub struct SessionLease {
    lease: Lease,
    /// When the session began, or the last part of its snapshot arrived.
    last_progress: Timestamp,
}

impl SessionLease {
    /// The lease of a session that begins now; it is not confirmed.
    pub fn new(now: Timestamp) -> SessionLease {
        SessionLease {
            lease: Lease::default(),
            last_progress: now,
        }
    }

    /// Begins a query that is sent now; see [`Lease::begin_query`].
    pub fn begin_query(&mut self, now: Timestamp) -> Nonce {
        self.lease.begin_query(now)
    }

    /// Handles the answer to a query; see [`Lease::on_answer`].
    pub fn on_answer(&mut self, nonce: Nonce, age: Option<Duration>) {
        self.lease.on_answer(nonce, age);
    }

    /// Records that a part of the snapshot has arrived, which restarts the time-out of the first confirmation.
    pub fn on_snapshot_progress(&mut self, now: Timestamp) {
        self.last_progress = now;
    }

    /// Whether the state received from the registry is no older than [`PROXY_LEASE_DURATION`].
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        self.lease.is_valid(now, PROXY_LEASE_DURATION)
    }

    /// Whether the proxy must end the session and try another registry: the lease is not valid, and more than
    /// [`FIRST_CONFIRMATION_TIMEOUT`] has passed since the start of the session or its last snapshot part.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        !self.is_confirmed(now)
            && now.duration_since(self.last_progress) > FIRST_CONFIRMATION_TIMEOUT
    }
}
