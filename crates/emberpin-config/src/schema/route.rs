//! A route: which requests go to which services, and under what terms.

use super::{check_key, content_of, Fields};
use crate::json::decode_string;
use crate::{Item, ItemKind, Problem, ValidationError, Version};
use std::time::Duration;

/// The latency target of a route may exceed its timeout by less than this; a call in which it does not is rejected.
const MAX_LATENCY_TARGET_EXCESS: Duration = Duration::from_secs(60);

/// What the gateway may do with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests without effects: they may run more than once, so one may be sent again after any failure.
    Readonly,
    /// Requests with effects: one that may have run on a server is not sent to another.
    Mutating,
    /// As `Readonly`, with large responses.
    Pull,
}

/// A route: the requests of one host whose paths share a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name, which identifies the route whatever its host and prefix.
    pub name: String,
    /// The host of its requests, in lower case, as hosts are compared without regard to case.
    pub hostname: String,
    /// What the paths of its requests begin with. It begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// How long a request may be in flight or wait for a server, all attempts together; never zero.
    pub timeout: Duration,
    /// The latency target: an answer within it has its full value.
    pub latency_target: Duration,
    /// The priority of its requests; 0 is the highest. Checked and kept, but no decision depends on it.
    pub priority: u32,
    /// The services that share its requests, one of them at least with a weight above 0.
    pub targets: Vec<Target>,
    /// How many servers one request may be sent to at most, the first one included.
    pub max_attempts: u32,
    /// The version of the route.
    pub version: Version,
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the service.
    pub service: String,
    /// The share of the route's requests that the service gets: the weight divided by the sum of all targets'
    /// weights. A target of weight 0 gets none.
    pub weight: u32,
}

impl Route {
    /// Reads a route from its item.
    ///
    /// # Errors
    ///
    /// [`ValidationError`], if the item is of another kind, a tombstone or invalid.
    pub fn from_item(item: &Item) -> Result<Route, ValidationError> {
        let (path, body) = content_of(item, ItemKind::Route)?;
        let (hostname, raw) = split_route_body(body)
            .ok_or_else(|| ValidationError::new(&*path, Problem::NotARoute))?;
        let route = Route::parse(&path, hostname, &path, raw)?;
        check_key(item, &path, &route.name, route.version)?;
        Ok(route)
    }

    /// Reads a route from the raw values of its host and of itself, which errors name by these paths.
    pub(crate) fn parse(
        host_path: &str,
        raw_hostname: &str,
        path: &str,
        raw: &str,
    ) -> Result<Route, ValidationError> {
        let hostname = parse_hostname(host_path, raw_hostname)?;
        let fields = Fields::parse(path, raw)?;
        let (name, version) = (fields.name()?, fields.version()?);
        let prefix = fields.string("pfx")?;
        if !(prefix.starts_with('/') && prefix.ends_with('/')) {
            return Err(fields.error("pfx", Problem::PrefixWithoutSlashes));
        }
        let kind = parse_kind(&fields)?;
        let (timeout, latency_target) = parse_times(&fields)?;
        let targets = parse_targets(&fields)?;
        let (priority, max_attempts) = (fields.u32("prio")?, fields.u32("tries")?);
        Ok(Route {
            name,
            hostname,
            prefix,
            kind,
            timeout,
            latency_target,
            priority,
            targets,
            max_attempts,
            version,
        })
    }
}

fn parse_kind(fields: &Fields) -> Result<RouteKind, ValidationError> {
    match fields.string("type")?.as_str() {
        "readonly" => Ok(RouteKind::Readonly),
        "mutating" => Ok(RouteKind::Mutating),
        "pull" => Ok(RouteKind::Pull),
        _ => Err(fields.error("type", Problem::UnknownRouteKind)),
    }
}

/// The timeout and the latency target.
fn parse_times(fields: &Fields) -> Result<(Duration, Duration), ValidationError> {
    let timeout = fields.duration("timeout")?;
    let latency_target = fields.duration("target_time")?;
    if timeout.is_zero() {
        return Err(fields.error("timeout", Problem::ZeroTimeout));
    }
    if latency_target.saturating_sub(timeout) >= MAX_LATENCY_TARGET_EXCESS {
        return Err(fields.error("target_time", Problem::LatencyTargetBeyondTimeout));
    }
    Ok((timeout, latency_target))
}

/// The targets: of one service in `svc`, which gets all requests, or of several in `dist`.
fn parse_targets(fields: &Fields) -> Result<Vec<Target>, ValidationError> {
    match (fields.get("svc"), fields.get("dist")) {
        (Some(_), None) => match fields.string("svc")? {
            service if service.is_empty() => Err(fields.error("svc", Problem::Empty)),
            service => Ok(vec![Target { service, weight: 1 }]),
        },
        (None, Some(_)) => parse_distribution(fields),
        _ => Err(fields.error("svc", Problem::NoSingleDestination)),
    }
}

fn parse_distribution(fields: &Fields) -> Result<Vec<Target>, ValidationError> {
    let mut targets = Vec::new();
    for (index, raw) in fields.list("dist")?.into_iter().enumerate() {
        let target = Fields::parse(&format!("{}[{index}]", fields.path_of("dist")), raw)?;
        targets.push(Target {
            service: target.string("svc")?,
            weight: target.u32("wt")?,
        });
    }
    if targets.iter().all(|target| target.weight == 0) {
        return Err(fields.error("dist", Problem::NoWeight));
    }
    Ok(targets)
}

/// The raw values of the host and of the route in the body of a route's item.
pub(crate) fn split_route_body(body: &str) -> Option<(&str, &str)> {
    let rest = body.strip_prefix("{\"hostname\":")?.strip_suffix('}')?;
    // The host is a string, in which quotes are escaped; so the first such text is where the route begins.
    let (hostname, route) = rest.split_once(",\"loc\":")?;
    decode_string(hostname).map(|_| (hostname, route))
}

/// The body of a route's item, from the raw values of its host and of itself.
pub(crate) fn join_route_body(raw_hostname: &str, raw: &str) -> String {
    format!("{{\"hostname\":{raw_hostname},\"loc\":{raw}}}")
}

/// A host that is not empty, in lower case.
pub(crate) fn parse_hostname(path: &str, raw: &str) -> Result<String, ValidationError> {
    let path = format!("{path}.hostname");
    match decode_string(raw) {
        None => Err(ValidationError::new(path, Problem::NotAString)),
        Some(host) if host.trim().is_empty() => Err(ValidationError::new(path, Problem::Empty)),
        Some(host) => Ok(host.to_ascii_lowercase()),
    }
}
