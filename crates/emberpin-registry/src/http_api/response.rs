//! Builds HTTP responses: empty, plain text, JSON, or 503 with a `Retry-After` header.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response whose whole body is in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// The value of `Retry-After`: the seconds after which a client may repeat the call, at this registry or another one.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// A response without a body.
pub fn empty() -> HttpResponse {
    Response::new(Full::default())
}

/// A response of plain text.
pub fn plain_text(status: StatusCode, body: String) -> HttpResponse {
    with_content_type(status, "text/plain; charset=utf-8", body)
}

/// A response of JSON.
pub fn json(status: StatusCode, body: String) -> HttpResponse {
    with_content_type(status, "application/json", body)
}

/// The response 503: the client may repeat the call, at this registry or another one.
pub fn unavailable() -> HttpResponse {
    unavailable_because("not now")
}

/// The response 503 with a reason; see [`unavailable`].
pub fn unavailable_because(reason: &str) -> HttpResponse {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    response
}

/// Adds the header that closes the connection after this response.
pub fn close_connection(response: &mut HttpResponse) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: String) -> HttpResponse {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
