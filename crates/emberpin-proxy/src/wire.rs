//! The HTTP headers between the gateway and its servers, and how the outcome of an attempt follows from the response.

use emberpin_balancer::{LoadReport, Outcome};
use emberpin_limiter::host::{remove_hop_by_hop_headers, ResponseHead, ResponseInfo, Wire};
use emberpin_routing::attempt::is_misdirected;
use emberpin_routing::AttemptVerdict;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Id of a client's request, which servers echo in their response.
pub const TRY_ID: HeaderName = HeaderName::from_static("try-id");
/// How long the sender of a request waits for its response, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline");
/// Id of the only instance that may run the request. A server with another id responds with 421.
pub const WANT_INSTANCE: HeaderName = HeaderName::from_static("want-instance");
/// Present in a response if the server has not run the request and never will.
pub const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// Present in a response that the server, and no intermediary, has produced.
pub const SEAL: HeaderName = HeaderName::from_static("seal");
/// States in a response how long the server keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Fraction of the idle time stated by a server after which the proxy closes an idle connection itself, so that none is
/// used just as the server closes it.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// The gateway's headers, as the connection pool of the limiter's library reads and writes them.
pub struct GatewayWire;

impl Wire for GatewayWire {
    fn set_request_headers(
        &self,
        headers: &mut HeaderMap,
        remaining: Duration,
        instance: Option<&HeaderValue>,
    ) {
        headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis() as u64));
        match instance {
            Some(instance) => headers.insert(WANT_INSTANCE, instance.clone()),
            None => headers.remove(WANT_INSTANCE),
        };
    }

    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(TRY_ID).cloned()
    }

    /// Rejects late responses to earlier requests on the same connection: those that name another id, and sealed ones
    /// that name none. A request without an id accepts no response that names one.
    fn response_belongs(&self, request_id: Option<&HeaderValue>, headers: &HeaderMap) -> bool {
        match (request_id, headers.get(TRY_ID)) {
            (Some(request_id), Some(echoed)) => request_id == echoed,
            (Some(_), None) => !headers.contains_key(SEAL),
            (None, echoed) => echoed.is_none(),
        }
    }

    /// A response that names no request, and has no seal, would belong to whichever request is next.
    fn is_reusable_after(&self, request_id: Option<&HeaderValue>) -> bool {
        request_id.is_some()
    }

    /// Servers do not promise to wait for the end of a body before they run a request.
    fn may_run_in_part(&self) -> bool {
        true
    }

    fn outcome(&self, _: Option<&HeaderValue>, response: &Response<()>) -> Outcome {
        let (status, headers) = (response.status(), response.headers());
        // A response without the server's seal, or recoded on the way, is no success: its bytes are not those that the
        // server sent.
        let sealed = headers.contains_key(SEAL) && !headers.contains_key(CONTENT_ENCODING);
        match AttemptVerdict::from_response(status.as_u16(), headers.contains_key(NOT_RUN)) {
            AttemptVerdict::NotRun => Outcome::Rejected,
            AttemptVerdict::Ran if status.is_success() && sealed => Outcome::Ok,
            AttemptVerdict::Ran | AttemptVerdict::MayHaveRun => Outcome::Error,
        }
    }

    fn idle_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let stated = headers.get(KEEP_ALIVE)?.to_str().ok()?;
        let seconds = stated
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        Some(Duration::from_secs(seconds.trim().parse().ok()?).mul_f64(IDLE_TIMEOUT_SHARE))
    }

    fn is_forwardable(&self, outcome: Outcome, status: StatusCode) -> bool {
        // These statuses tell a client that its request has not run. Without the server's `Not-Run` that may be false,
        // so they are not passed on.
        let claims_not_run = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        outcome == Outcome::Error && !status.is_success() && !claims_not_run
    }

    fn describe_response(&self, response: Response<()>) -> ResponseInfo {
        let (parts, ()) = response.into_parts();
        let (status, mut headers) = (parts.status, parts.headers);
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(KEEP_ALIVE);
        ResponseInfo {
            head: ResponseHead { status, headers },
            load: LoadReport::default(),
            metered: None,
            misdirected: is_misdirected(status.as_u16()),
        }
    }
}
