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
    /// are denied while acceptors are only slow; each candidate waits this much longer than the one before it.
    pub reply_timeout: Duration,
    /// How long a client waits at most until a majority of acceptors acknowledges the outcome. An acceptor that hears
    /// nothing for as long is to suspect this limiter, and so not to take over when its connection ends; if this is
    /// shorter, the work may be taken over after its client got the outcome.
    pub completion_timeout: Duration,
    /// How long an accepted work is kept beyond its own time. Promises and outcomes are kept for twice this long.
    pub retention: Duration,
    /// How many works are kept as an acceptor. Beyond it new work is rejected.
    pub max_entries: usize,
    /// How many bytes of payload are kept as an acceptor. Beyond it attempts are rejected.
    pub max_bytes: usize,
    /// How many takeovers begin each second, with a burst of as many and at least one. Beyond it a work is abandoned
    /// as [`Verdict::MayHaveRun`](crate::Verdict::MayHaveRun).
    pub max_takeovers_per_s: f64,
}
