//! Routes: which requests go to which services, with what time-outs and how many attempts.

use super::{body_of_kind, check_key, Fields};
use crate::json::decode_string;
use crate::{Item, ItemKind, Problem, ValidationError, Version};
use std::time::Duration;

/// A patch is rejected if the latency target of a route exceeds the route's timeout by this or more.
const MAX_LATENCY_TARGET_EXCESS: Duration = Duration::from_secs(60);

/// How the gateway may treat the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests without effects: a request may run more than once, so it may be retried after any failure.
    Readonly,
    /// Requests with effects: a request that may have run on one server is not sent to another.
    Mutating,
    /// Like `Readonly`, with large responses.
    Pull,
}

/// A route: the requests of one host whose paths share a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name, which identifies the route even when its host or prefix changes.
    pub name: String,
    /// The host of its requests, in lower case, as hosts are compared case-insensitively.
    pub hostname: String,
    /// The prefix of the paths of its requests. It begins and ends with a slash.
    pub prefix: String,
    /// How its requests may be treated.
    pub kind: RouteKind,
    /// The maximum time of a request, in flight or waiting for a server, over all attempts; never zero.
    pub timeout: Duration,
    /// The latency target: a response within it has its full value.
    pub latency_target: Duration,
    /// The priority of its requests; 0 is the highest. Validated and stored, but no decision depends on it.
    pub priority: u32,
    /// The services that share its requests. At least one has a weight above 0.
    pub targets: Vec<Target>,
    /// The maximum number of servers that one request is sent to, including the first one.
    pub max_attempts: u32,
    /// The version of the route.
    pub version: Version,
}

/// A service that receives requests of a route, and its share of them.
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
    /// [`ValidationError`] if the item is of another kind, a tombstone or invalid.
    pub fn from_item(item: &Item) -> Result<Route, ValidationError> {
        let (path, body) = body_of_kind(item, ItemKind::Route)?;
        let (hostname, raw) = split_route_body(body)
            .ok_or_else(|| ValidationError::new(&*path, Problem::NotARoute))?;
        let route = Route::parse(&path, hostname, &path, raw)?;
        check_key(item, &path, &route.name, route.version)?;
        Ok(route)
    }

    /// Parses a route from its raw JSON and that of its host name. `host_path` and `path` are the paths of the host and
    /// of the route in error messages.
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

/// Parses the timeout and the latency target, in this order.
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

/// Parses the targets: either one service in `svc`, which gets all requests, or several in `dist`.
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

/// Splits the body of a route's item into the raw JSON of its host name and of the route. The inverse of
/// [`join_route_body`].
pub(crate) fn split_route_body(body: &str) -> Option<(&str, &str)> {
    let rest = body.strip_prefix("{\"hostname\":")?.strip_suffix('}')?;
    // Quotes within the host's string are escaped, so the first match is the end of the host.
    let (hostname, route) = rest.split_once(",\"loc\":")?;
    decode_string(hostname).map(|_| (hostname, route))
}

/// The body of a route's item, from the raw JSON of its host name and of the route.
pub(crate) fn join_route_body(raw_hostname: &str, raw: &str) -> String {
    format!("{{\"hostname\":{raw_hostname},\"loc\":{raw}}}")
}

/// Parses a host name, which must not be empty, and converts it to lower case.
pub(crate) fn parse_hostname(path: &str, raw: &str) -> Result<String, ValidationError> {
    let path = format!("{path}.hostname");
    match decode_string(raw) {
        None => Err(ValidationError::new(path, Problem::NotAString)),
        Some(host) if host.trim().is_empty() => Err(ValidationError::new(path, Problem::Empty)),
        Some(host) => Ok(host.to_ascii_lowercase()),
    }
}
