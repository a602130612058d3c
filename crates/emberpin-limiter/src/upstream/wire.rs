//! The headers of one deployment between a limiter and its servers: those that requests carry, and the meaning of those
//! in responses.

use crate::messages::ResponseHead;
use emberpin_balancer::host_config::load_report_field;
use emberpin_balancer::{LoadReport, Outcome};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The header conventions of one deployment.
pub trait Wire {
    /// Adds the headers that state the time left for the request, and the incarnation of the server that it is meant for.
    fn address(&self, headers: &mut HeaderMap, left: Duration, instance: Option<&HeaderValue>);

    /// The mark by which a response to a request with these headers is recognised; `None` where responses carry no mark.
    fn mark(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Whether a response with these headers belongs to the request with this mark.
    fn belongs(&self, mark: Option<&HeaderValue>, headers: &HeaderMap) -> bool;

    /// The outcome of an attempt that received this response. [`Outcome::Ok`] means that the client may receive it as it is.
    fn judge(&self, mark: Option<&HeaderValue>, response: &Response<()>) -> Outcome;

    /// Whether a server may begin to run a request of which only a part has arrived. If so, an attempt that broke off after
    /// its first byte may have run.
    fn may_run_in_part(&self) -> bool {
        false
    }

    /// How long the server states that it keeps the idle connection open, less a safety margin; `None` if it does not state
    /// it.
    fn keeps_idle(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Reads the information in a response's head.
    fn describe(&self, outcome: Outcome, response: Response<()>) -> Described;
}

/// The information in a response's head.
pub struct Described {
    /// The head that the client receives.
    pub head: ResponseHead,
    /// The load that the server reported.
    pub load: LoadReport,
    /// The customer's metered use as a share of its rate, where the server reported it.
    pub metered: Option<f64>,
    /// Another server answered than the one that the request was meant for.
    pub misdirected: bool,
    /// The client may receive this response although it is an error, if no attempt brings a better one.
    pub stands: bool,
}

/// The headers of the limiter that is configured by `GW_CONFIG`.
pub struct PlatformWire;

impl Wire for PlatformWire {
    fn address(&self, headers: &mut HeaderMap, left: Duration, _: Option<&HeaderValue>) {
        if let Ok(value) = HeaderValue::try_from(format!("{:.3}", left.as_secs_f64())) {
            headers.insert("req-deadline", value);
        }
    }

    fn mark(&self, _: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn belongs(&self, _: Option<&HeaderValue>, _: &HeaderMap) -> bool {
        true
    }

    fn judge(&self, _: Option<&HeaderValue>, response: &Response<()>) -> Outcome {
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

    fn keeps_idle(&self, _: &HeaderMap) -> Option<Duration> {
        None
    }

    fn describe(&self, _: Outcome, response: Response<()>) -> Described {
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
        Described {
            head: ResponseHead::of_type(response.headers().get(CONTENT_TYPE).cloned()),
            load: report,
            metered: used.map(|percent| percent / 100.0),
            misdirected: false,
            stands: false,
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
