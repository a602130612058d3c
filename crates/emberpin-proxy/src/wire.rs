//! How requests and answers are worded between the gateway and its servers.

use emberpin_balancer::{Outcome, Report};
use emberpin_limiter::host::{strip, Described, Head, Wire};
use emberpin_routing::attempt::is_misdirected;
use emberpin_routing::AttemptVerdict;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Names a client's try; servers echo it.
pub const TRY_ID: HeaderName = HeaderName::from_static("try-id");
/// For how many milliseconds whoever sends it will wait.
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline");
/// The only instance of a server that may run the request.
pub const WANT_INSTANCE: HeaderName = HeaderName::from_static("want-instance");
/// The server has not run the request, and never will.
pub const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// The server's stamp on its answer.
pub const SEAL: HeaderName = HeaderName::from_static("seal");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Idle connections go at this part of the time that the server states, so that none is used just as it closes it.
const IDLE_PART: f64 = 0.7;

/// The gateway's words.
pub struct SystemWire;

impl Wire for SystemWire {
    fn address(&self, headers: &mut HeaderMap, left: Duration, instance: Option<&HeaderValue>) {
        headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
        match instance {
            Some(instance) => headers.insert(WANT_INSTANCE, instance.clone()),
            None => headers.remove(WANT_INSTANCE),
        };
    }

    fn mark(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(TRY_ID).cloned()
    }

    /// Guards against answers of earlier requests that come late: what names another try is not this one's, nor is a
    /// success that names none. A request without an id gets no answer that names one.
    fn belongs(&self, mark: Option<&HeaderValue>, headers: &HeaderMap) -> bool {
        match (mark, headers.get(TRY_ID)) {
            (Some(mark), Some(told)) => mark == told,
            (Some(_), None) => !headers.contains_key(SEAL),
            (None, told) => told.is_none(),
        }
    }

    /// Nobody says that servers wait for the end of a body.
    fn may_run_in_part(&self) -> bool {
        true
    }

    fn judge(&self, _: Option<&HeaderValue>, response: &Response<()>) -> Outcome {
        let (status, headers) = (response.status(), response.headers());
        // What is not the server's own bytes, or lacks its stamp, is no success.
        let sealed = headers.contains_key(SEAL) && !headers.contains_key(CONTENT_ENCODING);
        match AttemptVerdict::from_response(status.as_u16(), headers.contains_key(NOT_RUN)) {
            AttemptVerdict::NotRun => Outcome::Full,
            AttemptVerdict::Ran if status.is_success() && sealed => Outcome::Ok,
            AttemptVerdict::Ran | AttemptVerdict::MayHaveRun => Outcome::Error,
        }
    }

    fn keeps_idle(&self, headers: &HeaderMap) -> Option<Duration> {
        let stated = headers.get(KEEP_ALIVE)?.to_str().ok()?;
        let seconds = stated
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        Some(Duration::from_secs(seconds.trim().parse().ok()?).mul_f64(IDLE_PART))
    }

    fn describe(&self, outcome: Outcome, response: Response<()>) -> Described {
        let (parts, ()) = response.into_parts();
        let (status, mut headers) = (parts.status, parts.headers);
        strip(&mut headers);
        headers.remove(KEEP_ALIVE);
        // A status that promises that nothing has run is passed on only with the server's word for it.
        let promises = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        Described {
            head: Head { status, headers },
            report: Report::default(),
            metered: None,
            misdirected: is_misdirected(status.as_u16()),
            stands: outcome == Outcome::Error && !status.is_success() && !promises,
        }
    }
}
