//! What the end of an attempt says about whether a server has run the request.

/// The status code with which a server rejects a request for another instance (RFC 9110, 15.5.20).
const MISDIRECTED_REQUEST: u16 = 421;

/// Whether a server has run an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptVerdict {
    /// The server has not run it and never will, so any request may be retried.
    NotRun,
    /// Unknown. Only a request that may run more than once may be retried.
    MayHaveRun,
    /// The server has run it.
    Ran,
}

impl AttemptVerdict {
    /// The verdict on a response with this status code. `has_not_run_header` says that it carries `Not-Run`.
    pub fn from_response(status: u16, has_not_run_header: bool) -> AttemptVerdict {
        match status {
            _ if has_not_run_header => AttemptVerdict::NotRun,
            MISDIRECTED_REQUEST => AttemptVerdict::NotRun,
            // Without the header these promise nothing: they may come from something in front of the server.
            408 | 429 | 502 | 503 => AttemptVerdict::MayHaveRun,
            _ => AttemptVerdict::Ran,
        }
    }

    /// The verdict on an attempt that ended without a response. `is_sent` says that any byte of the request was handed
    /// to the connection.
    pub fn from_unanswered(is_sent: bool) -> AttemptVerdict {
        if is_sent {
            AttemptVerdict::MayHaveRun
        } else {
            AttemptVerdict::NotRun
        }
    }
}

/// Whether a response with this status code says that the instance is not at the address it was sent to, so that the
/// endpoint table is out of date.
pub fn is_misdirected(status: u16) -> bool {
    status == MISDIRECTED_REQUEST
}
