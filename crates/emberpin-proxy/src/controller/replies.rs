//! Replies of the proxy itself, to requests that are not forwarded.

use bytes::Bytes;
use emberpin_limiter::host::{Answer, Reply, ResponseHead, ServerResponse};
use hyper::header::HeaderMap;
use hyper::StatusCode;
use std::time::Duration;

/// A response with this status and neither headers nor body.
pub(super) fn empty_response(status: StatusCode) -> Reply {
    let head = ResponseHead {
        status,
        headers: HeaderMap::new(),
    };
    Reply::Answer(Answer::Served(ServerResponse {
        head,
        body: Bytes::new(),
    }))
}

/// A rejection of a request that has not run and never will; the client may retry after this time.
pub(super) fn retry_later(after: Duration) -> Reply {
    Reply::Answer(Answer::Rejected {
        retry_after: after.as_secs_f64() * 1000.0,
    })
}
