//! Which requests are well formed: checked on the head alone, before anything is kept for one.

use crate::operate::config::Config;
use emberpin_balancer::host_config::{stable_hash, IndexNames};
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
const MAX_ID: usize = 128;
/// Longer bodies than any that are told of; what is passed on in pieces needs no memory for its length.
pub const LONGEST_BODY: u64 = 256 << 20;
/// Accounts are below this number.
const ACCOUNTS: u64 = 1 << 33;

/// What a request asks for, in the module's terms.
pub struct Admitted {
    pub id: String,
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub units: f64,
    pub set_size: u32,
    pub set_first: GatewayId,
    /// How long the client waits, and no longer than the class allows.
    pub patience: Duration,
}

/// The checks and what they need of the settings.
pub struct Admission {
    names: IndexNames,
    /// Whether each class is safe, and its deadline.
    classes: Vec<(bool, Duration)>,
    group_size: u32,
    most_units: f64,
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
            most_units: config.most_units,
        }
    }

    /// The request as the module sees it, or the status that refuses it.
    pub fn check<B: Body>(&self, request: &Request<B>) -> Result<Admitted, StatusCode> {
        let headers = request.headers();
        if request.body().size_hint().lower() > LONGEST_BODY {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let admitted = self.read(request).ok_or(StatusCode::BAD_REQUEST)?;
        let (safe, _) = self.classes[admitted.class.0];
        if request.method() != if safe { Method::GET } else { Method::POST } {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        // Servers take no body on a safe request: it would be read as the next one.
        let framed = if safe {
            request.body().is_end_stream()
        } else {
            key(headers).is_some()
        };
        framed.then_some(admitted).ok_or(StatusCode::BAD_REQUEST)
    }

    fn read<B>(&self, request: &Request<B>) -> Option<Admitted> {
        let headers = request.headers();
        let hosts = headers.get_all(header::HOST).iter().count();
        let own = request.uri().authority().is_none();
        if !own || hosts > 1 || (hosts == 0 && request.version() == Version::HTTP_11) {
            return None;
        }
        let id = sole(headers, &REQ_ID).filter(|id| {
            id.len() <= MAX_ID
                && id
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        })?;
        let class = self.names.class(sole(headers, &REQ_KIND)?)?;
        let plan = self.names.plan(sole(headers, &X_TIER)?)?;
        let customer = account(sole(headers, &header::COOKIE)?)?;
        let patience = seconds(sole(headers, &REQ_DEADLINE)?)?.min(self.classes[class.0].1);
        let (units, set_size, set_first) = self.terms(sole(headers, &X_CALL_TERMS)?)?;
        Some(Admitted {
            id: id.into(),
            class,
            plan,
            customer,
            units,
            set_size,
            set_first,
            patience,
        })
    }

    /// Units, and size and first of the customer's set. Units have an upper bound: what is asked for goes
    /// into a customer's demand and to peers, whether it is let in or not.
    fn terms(&self, terms: &str) -> Option<(f64, u32, GatewayId)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for (name, value) in terms.split(',').filter_map(|pair| pair.split_once('=')) {
            let term = match name.trim() {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            // Of two values another reader might take the other.
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
        let sound =
            units > 0.0 && units <= self.most_units && (1..=self.group_size).contains(&spread);
        (sound && first < self.group_size).then_some((units, spread, GatewayId(first)))
    }
}

/// The `Idempotency-Key` as it came, if it stands exactly once.
pub fn key(headers: &HeaderMap) -> Option<&str> {
    sole(headers, &IDEMPOTENCY_KEY)
}

fn single<T>(mut values: impl Iterator<Item = T>) -> Option<T> {
    values.next().filter(|_| values.next().is_none())
}

/// The text of a header that must stand exactly once: of two, a server might take the other.
fn sole<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let value = single(headers.get_all(name).iter())?.to_str().ok()?.trim();
    Some(value).filter(|value| !value.is_empty())
}

/// The customer: its hash is the same at every limiter, and fits the 32 bits that gossip carries.
fn account(cookies: &str) -> Option<CustomerId> {
    let pairs = cookies
        .split(';')
        .filter_map(|cookie| cookie.trim().split_once('='));
    let value = single(
        pairs
            .filter(|(name, _)| *name == "account")
            .map(|(_, value)| value),
    )?;
    let hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    let known = hex && u64::from_str_radix(value, 16).is_ok_and(|account| account < ACCOUNTS);
    known.then(|| CustomerId(stable_hash(&value.to_ascii_lowercase())))
}

fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text
        .parse()
        .ok()
        .filter(|seconds| *seconds > 0.0 && *seconds < 3600.0)?;
    Duration::try_from_secs_f64(seconds).ok()
}
