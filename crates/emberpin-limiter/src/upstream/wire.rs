//! The HTTP headers between a limiter and its servers, which differ between deployments: which headers are added to
//! requests, and how the headers of responses are interpreted.

use crate::messages::ResponseHead;
use emberpin_balancer::host_config::load_report_field;
use emberpin_balancer::{LoadReport, Outcome};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The header conventions of a deployment.
pub trait Wire {
    /// Sets the headers that state the time left for the request and, if the deployment has a header for it, the server
    /// incarnation that the request is meant for (`instance`).
    fn set_request_headers(
        &self,
        headers: &mut HeaderMap,
        left: Duration,
        instance: Option<&HeaderValue>,
    );

    /// The id by which a response to a request with these headers is recognised; `None` where responses carry no
    /// request id.
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Whether a response with these headers belongs to the request with this id, and not to an earlier one on the same
    /// connection.
    fn response_belongs(&self, request_id: Option<&HeaderValue>, headers: &HeaderMap) -> bool;

    /// Whether a connection that has carried a request with this id may carry another one. It must not where a late
    /// second response to the earlier request could be taken for the response to the later one.
    fn is_reusable_after(&self, _request_id: Option<&HeaderValue>) -> bool {
        true
    }

    /// The outcome of an attempt that received this response. [`Outcome::Ok`] means that the response is a success,
    /// which the client may receive.
    fn outcome(&self, request_id: Option<&HeaderValue>, response: &Response<()>) -> Outcome;

    /// Whether a client may receive a response with this outcome and status although it is an error, if no attempt brings
    /// a better one.
    fn is_forwardable(&self, _outcome: Outcome, _status: StatusCode) -> bool {
        false
    }

    /// Whether a server may begin to run a request of which only a part has arrived. If so, an attempt that broke off
    /// after its first byte may have run.
    fn may_run_in_part(&self) -> bool {
        false
    }

    /// How long the server states that it keeps the idle connection open, less a safety margin; `None` if it does not
    /// state it.
    fn idle_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Extracts the information in the head of a response.
    fn describe_response(&self, response: Response<()>) -> ResponseInfo;
}

/// The information in a response's head.
pub struct ResponseInfo {
    /// The head that the client receives.
    pub head: ResponseHead,
    /// The load that the server reported.
    pub load: LoadReport,
    /// The customer's metered use as a share of its rate, where the server reported it.
    pub metered: Option<f64>,
    /// Whether the server states that the request was not meant for it.
    pub misdirected: bool,
}

/// The header conventions of this package's program, whose platform file is named by `GW_CONFIG`. The proxy, which runs
/// the same upstream code, has its own.
pub struct PlatformWire;

impl Wire for PlatformWire {
    fn set_request_headers(
        &self,
        headers: &mut HeaderMap,
        left: Duration,
        _: Option<&HeaderValue>,
    ) {
        if let Ok(value) = HeaderValue::try_from(format!("{:.3}", left.as_secs_f64())) {
            headers.insert("req-deadline", value);
        }
    }

    fn request_id(&self, _: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn response_belongs(&self, _: Option<&HeaderValue>, _: &HeaderMap) -> bool {
        true
    }

    fn outcome(&self, _: Option<&HeaderValue>, response: &Response<()>) -> Outcome {
        let declined = response
            .headers()
            .get("srv-declined")
            .is_some_and(|value| value == "1");
        match response.status() {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        }
    }

    fn idle_timeout(&self, _: &HeaderMap) -> Option<Duration> {
        None
    }

    fn describe_response(&self, response: Response<()>) -> ResponseInfo {
        let all = |name: &str| {
            response
                .headers()
                .get_all(name)
                .iter()
                .filter_map(|value| value.to_str().ok())
        };
        // Values that cannot be parsed are skipped.
        let used = all("x-ratelimit-used").find_map(parse_number);
        let mut report = LoadReport::default();
        for (name, value) in all("srv-load")
            .flat_map(|text| text.split(','))
            .filter_map(|pair| pair.split_once('='))
        {
            // Of two valid values of a field, the first counts.
            if let Some(field) =
                load_report_field(&mut report, name.trim()).filter(|field| field.is_none())
            {
                *field = parse_number(value);
            }
        }
        ResponseInfo {
            head: ResponseHead::of_type(response.headers().get(CONTENT_TYPE).cloned()),
            load: report,
            metered: used.map(|percent| percent / 100.0),
            misdirected: false,
        }
    }
}

/// Parses a finite number that is not negative.
fn parse_number(text: &str) -> Option<f64> {
    text.trim()
        .parse()
        .ok()
        .filter(|value: &f64| value.is_finite() && *value >= 0.0)
}
