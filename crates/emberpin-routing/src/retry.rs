//! Decides whether a request is retried, rejected or failed after attempts without a response that the client could
//! get.

use crate::attempt::AttemptVerdict;
use crate::RouteKind;

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Send the request to another server.
    Retry,
    /// Respond with 429 or 503, which guarantee that the request has not run and never will.
    Reject,
    /// Respond with 502 or 504, which guarantee nothing.
    Fail,
}

/// Decides about a request of this kind after these attempts. `can_retry` is whether the maximum number of attempts,
/// the deadline and the retry budget allow another attempt.
pub fn decide(kind: RouteKind, attempts: &[AttemptVerdict], can_retry: bool) -> RetryDecision {
    let has_not_run = attempts
        .iter()
        .all(|verdict| *verdict == AttemptVerdict::NotRun);
    let is_idempotent = match kind {
        RouteKind::Readonly | RouteKind::Pull => true,
        RouteKind::Mutating => false,
    };
    if can_retry && (has_not_run || is_idempotent) {
        RetryDecision::Retry
    } else if has_not_run {
        RetryDecision::Reject
    } else {
        RetryDecision::Fail
    }
}
