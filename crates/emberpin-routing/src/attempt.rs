//! What is known of an attempt after its end, and what a request may do next.

use crate::RouteKind;

/// Whether a server has run an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptVerdict {
    /// It has not, and never will.
    NotRun,
    /// Nobody can tell.
    MayHaveRun,
    /// It has.
    Ran,
}

impl AttemptVerdict {
    /// Of an answer: `not_run_header` says that it carries `Not-Run`.
    pub fn from_response(status: u16, not_run_header: bool) -> AttemptVerdict {
        match status {
            _ if not_run_header => AttemptVerdict::NotRun,
            421 => AttemptVerdict::NotRun,
            // Such an answer without the header promises nothing: it may come from something before the
            // server.
            408 | 429 | 502 | 503 => AttemptVerdict::MayHaveRun,
            _ => AttemptVerdict::Ran,
        }
    }

    /// Of an attempt that ended without an answer; `sent`: some byte of it was handed to the connection.
    pub fn unanswered(sent: bool) -> AttemptVerdict {
        if sent {
            AttemptVerdict::MayHaveRun
        } else {
            AttemptVerdict::NotRun
        }
    }
}

/// The list of servers is wrong about the one that gave this answer.
pub fn is_misdirected(status: u16) -> bool {
    status == 421
}

/// What a request does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Goes to another server.
    Retry,
    /// Ends with 429 or 503: it has not run and never will.
    Reject,
    /// Ends with 502 or 504, which promise nothing.
    Fail,
}

/// What follows for a request of this kind after these attempts, none of which brought an answer for the
/// client. `more`: its tries, its time and the budget leave room for one more.
pub fn decide(kind: RouteKind, attempts: &[AttemptVerdict], more: bool) -> RetryDecision {
    let not_run = attempts
        .iter()
        .all(|verdict| *verdict == AttemptVerdict::NotRun);
    let repeatable = match kind {
        RouteKind::Readonly | RouteKind::Pull => true,
        RouteKind::Mutating => false,
    };
    if more && (not_run || repeatable) {
        RetryDecision::Retry
    } else if not_run {
        RetryDecision::Reject
    } else {
        RetryDecision::Fail
    }
}
