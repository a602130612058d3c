//! What happens to a request after attempts that gave no response for its client.

use crate::attempt::AttemptVerdict;
use crate::RouteKind;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Send it to another server.
    Retry,
    /// Answer with 429 or 503, which promise that it has not run and never will.
    Reject,
    /// Answer with 502 or 504, which promise nothing.
    Fail,
}

/// Decides about a request of this kind after these attempts. `can_retry` says that its attempts, its deadline and the
/// retry budget leave room for one more.
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
