//! Responses to clients, other than streamed ones.

use emberpin_limiter::host::{
    empty_response, response_with_head, ActiveRequest, Answer, Content, RequestOutcome,
    ServerResponse,
};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A response of the frontend itself, to a request that was not forwarded or got no reply.
pub(super) enum Rejection {
    Status(StatusCode),
    /// 503; the request has not run and never will, and the client may retry after this time.
    RetryLater(Duration),
}

impl From<StatusCode> for Rejection {
    fn from(status: StatusCode) -> Rejection {
        Rejection::Status(status)
    }
}

impl Rejection {
    pub(super) fn into_response(self) -> Response<Content> {
        match self {
            Rejection::Status(status) => empty_response(status),
            Rejection::RetryLater(after) => retry_later(after),
        }
    }
}

/// The response that carries a complete reply.
pub(super) fn answer_response(answer: Answer) -> Response<Content> {
    match answer {
        Answer::Served(ServerResponse { head, body }) => {
            response_with_head(head, Content::Buffered(Some(body)))
        }
        Answer::Rejected { retry_after } => {
            retry_later(Duration::try_from_secs_f64(retry_after / 1000.0).unwrap_or_default())
        }
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// 503 with `Retry-After`: the request has not run and never will.
fn retry_later(after: Duration) -> Response<Content> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Sets how the metrics count the request, by the status of its response.
pub(super) fn record_outcome(mut active_request: ActiveRequest, status: StatusCode) {
    active_request.set_outcome(match status {
        status if status.is_success() => RequestOutcome::Ok,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Shed,
        _ => RequestOutcome::Errors,
    });
}
