//! Answers of the gateway's own.

use bytes::Bytes;
use emberpin_limiter::host::{plain, Answer, Content, Head, Reply, Served};
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The request has not run and never will; the client may come back after this time.
pub fn come_back(after: Duration) -> Response<Content> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// An answer of the gateway's own, with nothing in it.
pub fn own(status: StatusCode) -> Reply {
    let head = Head {
        status,
        headers: HeaderMap::new(),
    };
    Reply::Answer(Answer::Served(Served {
        head,
        body: Bytes::new(),
    }))
}
