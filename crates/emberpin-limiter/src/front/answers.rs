//! Builds the HTTP responses that clients receive.

use crate::front::stream::Content;
use crate::messages::{Answer, ResponseHead};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// Converts an answer into the response that its client receives. `retry_after` of a rejected request is in
/// milliseconds; the header gives it in seconds.
pub fn client_response(answer: Answer) -> Response<Content> {
    match answer {
        Answer::Served(served) => {
            response_with_head(served.head, Content::Buffered(Some(served.body)))
        }
        Answer::Rejected { retry_after } => {
            let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
            let seconds = format!("{:.3}", retry_after / 1000.0);
            if let (Ok(value), true) = (HeaderValue::try_from(seconds), retry_after > 0.0) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// A response with this status and these headers, and this body.
pub fn response_with_head(head: ResponseHead, content: Content) -> Response<Content> {
    let mut response = Response::new(content);
    (*response.status_mut(), *response.headers_mut()) = (head.status, head.headers);
    response
}

/// A response with this status and an empty body.
pub fn empty_response(status: StatusCode) -> Response<Content> {
    let mut response = Response::new(Content::Buffered(None));
    *response.status_mut() = status;
    response
}
