//! How requests and answers are worded between a limiter and its servers: the host of connections is given it.

use crate::messages::ResponseHead;
use emberpin_balancer::host_config::load_report_field;
use emberpin_balancer::{LoadReport, Outcome};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The words of one deployment.
pub trait Wire {
    /// Tells a server how long is left, and which life of it is meant.
    fn address(&self, headers: &mut HeaderMap, left: Duration, instance: Option<&HeaderValue>);

    /// What an answer must carry to be that of a request with these headers, where answers carry anything.
    fn mark(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Whether an answer with these headers is that of the request with this mark.
    fn belongs(&self, mark: Option<&HeaderValue>, headers: &HeaderMap) -> bool;

    /// How an attempt ended that got this answer. A good answer is one that its client may have as it is.
    fn judge(&self, mark: Option<&HeaderValue>, response: &Response<()>) -> Outcome;

    /// Whether a server may begin to run a request of which only a part has come: an attempt that broke off after its
    /// first byte is then no longer one that never ran.
    fn may_run_in_part(&self) -> bool {
        false
    }

    /// For how long the server keeps the connection idle, less a part for safety, if it says.
    fn keeps_idle(&self, headers: &HeaderMap) -> Option<Duration>;

    /// What an answer says, beside its body.
    fn describe(&self, outcome: Outcome, response: Response<()>) -> Described;
}

/// What an answer says, beside its body.
pub struct Described {
    /// How it begins for its client.
    pub head: ResponseHead,
    /// What the server said of its load.
    pub load: LoadReport,
    /// The customer's metered use as a share of its rate.
    pub metered: Option<f64>,
    /// Another server answered than the one that was meant.
    pub misdirected: bool,
    /// It is the client's even though it is no good answer, if no attempt brings a better one.
    pub stands: bool,
}

/// The words of the limiter that `GW_CONFIG` starts.
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
        // What cannot be read is passed over.
        let used = all("x-ratelimit-used").find_map(number);
        let mut report = LoadReport::default();
        for (name, value) in all("srv-load")
            .flat_map(|text| text.split(','))
            .filter_map(|pair| pair.split_once('='))
        {
            // Of two readable values the first counts.
            if let Some(field) =
                load_report_field(&mut report, name.trim()).filter(|field| field.is_none())
            {
                *field = number(value);
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

fn number(text: &str) -> Option<f64> {
    text.trim()
        .parse()
        .ok()
        .filter(|value: &f64| value.is_finite() && *value >= 0.0)
}
