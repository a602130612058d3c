//! HTTP responses: one line of text, JSON, or "try again".

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response whose whole body is in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// Seconds after which a client may send the call again, here or to another registry.
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

/// 503: the call may be sent again, here or to another registry.
pub fn unavailable() -> HttpResponse {
    unavailable_because("not now")
}

/// 503 with a reason; see [`unavailable`].
pub fn unavailable_because(reason: &str) -> HttpResponse {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    response
}

/// Has the connection close after this response.
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
