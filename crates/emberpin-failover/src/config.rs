//! Options of the failover core, fixed while its process runs.

use crate::work::Member;
use emberpin_peering::Incarnation;
use std::time::Duration;

/// Options of [`Failover`](crate::Failover). There are no defaults; the host derives them from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The number of this limiter. It breaks ties between ballots of one round, so no two limiters may have the same.
    pub member: Member,
    /// The incarnation of this process. Requests that name another one are rejected.
    pub incarnation: Incarnation,
    /// How long to wait for a majority of acceptors, for an attempt and for a takeover. If it is too short, attempts
    /// are denied while acceptors are only slow. Each candidate starts this much later than the one before it.
    pub reply_timeout: Duration,
    /// The maximum time that a client waits until a majority of acceptors acknowledges the outcome. An acceptor that
    /// receives nothing for this long must suspect this limiter, and so must not take over when its connection ends. If
    /// this time-out is shorter, the work may be taken over after its client got the outcome.
    pub completion_timeout: Duration,
    /// How long an accepted work is kept after its own deadline. Promises and outcomes are kept for twice this long.
    pub retention: Duration,
    /// Maximum number of works kept as an acceptor. Above it new work is rejected.
    pub max_entries: usize,
    /// Maximum size of the payloads kept as an acceptor, in bytes. Above it attempts are rejected.
    pub max_bytes: usize,
    /// Maximum number of takeovers per second. The burst is the same number, but at least one. Above the rate a work is
    /// abandoned as [`Verdict::MayHaveRun`](crate::Verdict::MayHaveRun).
    pub max_takeovers_per_s: f64,
}
