//! Deduces from the end of an attempt whether the server has run the request.

/// The status code with which a server rejects a request that was meant for another instance (RFC 9110, 15.5.20).
const MISDIRECTED_REQUEST: u16 = 421;

/// Whether a server has run an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptVerdict {
    /// The server has not run the request and never will, so any request may be retried.
    NotRun,
    /// Unknown, so only a request that may run more than once may be retried.
    MayHaveRun,
    /// The server has run the request.
    Ran,
}

impl AttemptVerdict {
    /// The verdict on an attempt with a response of this status code. `has_not_run_header` is whether the response has
    /// the header `Not-Run`.
    pub fn from_response(status: u16, has_not_run_header: bool) -> AttemptVerdict {
        match status {
            _ if has_not_run_header => AttemptVerdict::NotRun,
            MISDIRECTED_REQUEST => AttemptVerdict::NotRun,
            // Without the header these guarantee nothing: an intermediary in front of the server may have sent them.
            408 | 429 | 502 | 503 => AttemptVerdict::MayHaveRun,
            _ => AttemptVerdict::Ran,
        }
    }

    /// The verdict on an attempt that ended without a response. `is_sent` is whether any byte of the request was handed
    /// to the connection.
    pub fn from_unanswered(is_sent: bool) -> AttemptVerdict {
        if is_sent {
            AttemptVerdict::MayHaveRun
        } else {
            AttemptVerdict::NotRun
        }
    }
}

/// Whether this status code means that another instance is at the address of the request, so the endpoint table is out
/// of date.
pub fn is_misdirected(status: u16) -> bool {
    status == MISDIRECTED_REQUEST
}
