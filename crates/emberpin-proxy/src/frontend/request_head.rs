//! Properties of a request's head that the proxy needs before it routes the request: host, size and deadline.

use crate::wire::DEADLINE;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Request, StatusCode};
use std::time::Duration;

/// The host that the request is for: the target's authority if it has one, else the only `Host` header. `None` without
/// a host, with several, or with one that is not text.
pub(super) fn host<T>(request: &Request<T>) -> Option<String> {
    if let Some(authority) = request.uri().authority() {
        return Some(authority.as_str().to_string());
    }
    let mut hosts = request.headers().get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().ok().map(str::to_string),
        _ => None,
    }
}

/// Lower bound of the bytes that the head took on the wire: optional white space around header values is not counted.
pub(super) fn min_size<T>(request: &Request<T>) -> u64 {
    const LINE_END: usize = 2;
    const COLON: usize = 1;
    let target = request
        .uri()
        .path_and_query()
        .map_or(1, |target| target.as_str().len());
    let request_line = request.method().as_str().len() + target + "  HTTP/1.1".len() + LINE_END;
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + COLON + value.len() + LINE_END
    };
    let headers: usize = request.headers().iter().map(header).sum();
    (request_line + headers + LINE_END) as u64
}

/// How long the client waits, as its `Deadline` header states in milliseconds; `None` without the header.
///
/// # Errors
///
/// 400 if the header is not a number of milliseconds that is at least 0.
pub(super) fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, StatusCode> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok())
        .filter(|millis| millis.is_finite() && *millis >= 0.0)
        .ok_or(StatusCode::BAD_REQUEST)?;
    Duration::try_from_secs_f64(millis / 1000.0)
        .map(Some)
        .map_err(|_| StatusCode::BAD_REQUEST)
}
