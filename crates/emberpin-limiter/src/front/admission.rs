//! Checks that a request is well formed, by its head alone and before any state is allocated for it.

use crate::operate::config::Config;
use emberpin_balancer::host_config::{stable_hash, NameIndex};
use emberpin_balancer::{ClassId, CustomerId, GatewayId, Idempotency, PlanId};
use hyper::body::Body;
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Request, StatusCode, Version};
use std::time::Duration;

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const X_TIER: HeaderName = HeaderName::from_static("x-tier");
const X_CALL_TERMS: HeaderName = HeaderName::from_static("x-call-terms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum length of a request body, in bytes; longer than any known legitimate one. It may be that large because a
/// streamed body needs no memory in proportion to its length.
pub const MAX_BODY_BYTES: u64 = 256 << 20;
/// Valid account numbers are below this number.
const ACCOUNT_LIMIT: u64 = 1 << 33;

/// The properties of a well-formed request, in the decision module's terms.
pub struct RequestProperties {
    pub id: String,
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub units: f64,
    /// Number of limiters that share the customer's quota.
    pub set_size: u32,
    /// The first of these limiters.
    pub set_first: GatewayId,
    /// How long the client waits for the answer, at most the deadline of its class.
    pub time_limit: Duration,
}

/// The checks, with the settings that they need.
pub struct Admission {
    names: NameIndex,
    /// For each class, whether its requests are safe to repeat, and its deadline.
    classes: Vec<(bool, Duration)>,
    group_size: u32,
    max_units: f64,
}

impl Admission {
    pub fn new(config: &Config) -> Admission {
        let millis = |ms: f64| Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default();
        let classes = config.settings.classes.iter();
        Admission {
            names: config.names.clone(),
            classes: classes
                .map(|class| {
                    (
                        class.idempotency == Idempotency::Safe,
                        millis(class.deadline),
                    )
                })
                .collect(),
            group_size: config.settings.group_size,
            max_units: config.max_units,
        }
    }

    /// Returns the properties of the request, or the status that rejects it.
    pub fn check<B: Body>(&self, request: &Request<B>) -> Result<RequestProperties, StatusCode> {
        let headers = request.headers();
        if request.body().size_hint().lower() > MAX_BODY_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let admitted = self.parse(request).ok_or(StatusCode::BAD_REQUEST)?;
        let (safe, _) = self.classes[admitted.class.0];
        if request.method() != if safe { Method::GET } else { Method::POST } {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        // Servers do not read the body of a safe request: they would parse its bytes as the next request.
        let valid = if safe {
            request.body().is_end_stream()
        } else {
            idempotency_key(headers).is_some()
        };
        valid.then_some(admitted).ok_or(StatusCode::BAD_REQUEST)
    }

    fn parse<B>(&self, request: &Request<B>) -> Option<RequestProperties> {
        let headers = request.headers();
        let host_headers = headers.get_all(header::HOST).iter().count();
        let origin_form = request.uri().authority().is_none();
        if !origin_form
            || host_headers > 1
            || (host_headers == 0 && request.version() == Version::HTTP_11)
        {
            return None;
        }
        let id = only_value(headers, &REQ_ID).filter(|id| {
            id.len() <= MAX_ID_BYTES
                && id
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        })?;
        let class = self.names.class(only_value(headers, &REQ_KIND)?)?;
        let plan = self.names.plan(only_value(headers, &X_TIER)?)?;
        let customer = customer_id(only_value(headers, &header::COOKIE)?)?;
        let time_limit =
            parse_seconds(only_value(headers, &REQ_DEADLINE)?)?.min(self.classes[class.0].1);
        let (units, set_size, set_first) =
            self.parse_call_terms(only_value(headers, &X_CALL_TERMS)?)?;
        Some(RequestProperties {
            id: id.into(),
            class,
            plan,
            customer,
            units,
            set_size,
            set_first,
            time_limit,
        })
    }

    /// Returns the units that the request costs, and the size and first member of the set of limiters that share the
    /// customer's quota. Units have an upper bound, as the units of every request count towards the customer's demand
    /// and are reported to peers, whether it is admitted or not.
    fn parse_call_terms(&self, terms: &str) -> Option<(f64, u32, GatewayId)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for (name, value) in terms.split(',').filter_map(|pair| pair.split_once('=')) {
            let term = match name.trim() {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            // A term that is given twice is rejected, as another reader might use the other value.
            if term.replace(value.trim()).is_some() {
                return None;
            }
        }
        let number = |text: &str| {
            text.bytes()
                .all(|b| b.is_ascii_digit())
                .then(|| text.parse::<u32>().ok())?
        };
        let units: f64 = units?.parse().ok()?;
        let (spread, first) = (number(spread?)?, number(first?)?);
        let valid =
            units > 0.0 && units <= self.max_units && (1..=self.group_size).contains(&spread);
        (valid && first < self.group_size).then_some((units, spread, GatewayId(first)))
    }
}

/// The raw value of `Idempotency-Key`, if the header occurs exactly once.
pub fn idempotency_key(headers: &HeaderMap) -> Option<&str> {
    only_value(headers, &IDEMPOTENCY_KEY)
}

fn only_item<T>(mut values: impl Iterator<Item = T>) -> Option<T> {
    values.next().filter(|_| values.next().is_none())
}

/// The value of a header that must occur exactly once: of two values, a server might use the other one.
fn only_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let value = only_item(headers.get_all(name).iter())?
        .to_str()
        .ok()?
        .trim();
    Some(value).filter(|value| !value.is_empty())
}

/// Parses the account cookie into the customer id. The id is a hash that is the same at every limiter, and fits the 32
/// bits that gossip carries.
fn customer_id(cookies: &str) -> Option<CustomerId> {
    let pairs = cookies
        .split(';')
        .filter_map(|cookie| cookie.trim().split_once('='));
    let value = only_item(
        pairs
            .filter(|(name, _)| *name == "account")
            .map(|(_, value)| value),
    )?;
    let hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    let valid = hex && u64::from_str_radix(value, 16).is_ok_and(|account| account < ACCOUNT_LIMIT);
    valid.then(|| CustomerId(stable_hash(&value.to_ascii_lowercase())))
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text
        .parse()
        .ok()
        .filter(|seconds| *seconds > 0.0 && *seconds < 3600.0)?;
    Duration::try_from_secs_f64(seconds).ok()
}
