//! Builds the HTTP responses that clients receive.

use crate::front::stream::Content;
use crate::messages::{Answer, ResponseHead};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// Converts an answer into the response that its client receives. `retry_after` of a rejected request is in milliseconds;
/// the header gives it in seconds.
pub fn client_response(answer: Answer) -> Response<Content> {
    match answer {
        Answer::Served(served) => headed(served.head, Content::Buffered(Some(served.body))),
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS);
            let seconds = format!("{:.3}", retry_after / 1000.0);
            if let (Ok(value), true) = (HeaderValue::try_from(seconds), retry_after > 0.0) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

/// A response with this status and these headers, and this body.
pub fn headed(head: ResponseHead, content: Content) -> Response<Content> {
    let mut response = Response::new(content);
    (*response.status_mut(), *response.headers_mut()) = (head.status, head.headers);
    response
}

/// A response with this status and an empty body.
pub fn plain(status: StatusCode) -> Response<Content> {
    let mut response = Response::new(Content::Buffered(None));
    *response.status_mut() = status;
    response
}
