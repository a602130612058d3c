//! The parsed forms of items, and what is invalid about one item alone.

use crate::json::{decode, elements, members};
use crate::{Item, ItemKey, ItemKind, ValidationError, Version};
use std::time::Duration;

/// A `target_time` may exceed the `timeout` of its route by less than this.
const MAX_LATENCY_TARGET_EXCESS: Duration = Duration::from_secs(60);

/// The longest name of a service or route, in bytes. Stores keep items by their names, and the keys of their
/// disks are bounded, too.
pub const MAX_NAME_BYTES: usize = 4 << 10;

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Readonly,
    /// They run at most once per try.
    Mutating,
    /// Large answers; as `Readonly`.
    Pull,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it belongs to, in lower case, as hosts are the same in either.
    pub hostname: String,
    /// What its paths begin with; it begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest time for which a request is held.
    pub timeout: Duration,
    /// The time within which an answer earns its full worth.
    pub latency_target: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// The services it goes to, each with a weight; one service alone has weight 1.
    pub targets: Vec<Target>,
    /// The most servers that one try may be sent to.
    pub max_attempts: u32,
    /// Its version.
    pub version: Version,
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the service.
    pub service: String,
    /// The share of the route's requests that the service gets, as weight divided by the sum of the weights of
    /// all targets. A target of weight 0 gets none.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its health answers.
    pub health_path: String,
    /// The most connections that one of its servers accepts from all callers together.
    pub max_connections: u32,
    /// How long a server stays cold after a start during traffic; none if not stated.
    pub warmup: Duration,
    /// How many requests a second a cold server bears; without a bound if not stated.
    pub warmup_requests_per_s: f64,
    /// Its version.
    pub version: Version,
}

/// The bounds on what clients may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest head.
    pub max_header_bytes: u64,
    /// The longest body.
    pub max_body_bytes: u64,
    /// The longest time for a head to arrive.
    pub header_read_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Their version.
    pub version: Version,
}

impl Route {
    /// Reads it from an item.
    pub fn from_item(item: &Item) -> Result<Route, ValidationError> {
        let (place, body) = whole(item, ItemKind::Route)?;
        let (hostname, loc) =
            split_route(body).ok_or_else(|| ValidationError::new(&*place, "is not a route"))?;
        let route = Route::read(&place, hostname, &place, loc)?;
        agrees(item, &place, &route.name, route.version)?;
        Ok(route)
    }

    /// From the texts of its host and of itself, found at these places.
    pub(crate) fn read(
        host: &str,
        hostname: &str,
        place: &str,
        loc: &str,
    ) -> Result<Route, ValidationError> {
        let hostname = read_hostname(host, hostname)?;
        let fields = Fields::read(place, loc)?;
        let (name, version) = (fields.name()?, fields.version()?);
        let prefix = fields.text("pfx")?;
        if !(prefix.starts_with('/') && prefix.ends_with('/')) {
            return Err(fields.wrong("pfx", "begins and ends with a slash in every route"));
        }
        let kind = match fields.text("type")?.as_str() {
            "readonly" => RouteKind::Readonly,
            "mutating" => RouteKind::Mutating,
            "pull" => RouteKind::Pull,
            _ => return Err(fields.wrong("type", "is none of readonly, mutating, pull")),
        };
        let (timeout, target_time) = (fields.time("timeout")?, fields.time("target_time")?);
        if timeout.is_zero() {
            return Err(fields.wrong("timeout", "is 0"));
        }
        if target_time.saturating_sub(timeout) >= MAX_LATENCY_TARGET_EXCESS {
            return Err(fields.wrong("target_time", "exceeds the timeout by a minute or more"));
        }
        let targets = fields.targets()?;
        let (prio, tries) = (fields.small("prio")?, fields.small("tries")?);
        Ok(Route {
            name,
            hostname,
            prefix,
            kind,
            timeout,
            latency_target: target_time,
            priority: prio,
            targets,
            max_attempts: tries,
            version,
        })
    }
}

impl Service {
    /// Reads it from an item.
    pub fn from_item(item: &Item) -> Result<Service, ValidationError> {
        let (place, body) = whole(item, ItemKind::Service)?;
        let service = Service::read(&place, body)?;
        agrees(item, &place, &service.name, service.version)?;
        Ok(service)
    }

    pub(crate) fn read(place: &str, raw: &str) -> Result<Service, ValidationError> {
        let fields = Fields::read(place, raw)?;
        let (name, version) = (fields.name()?, fields.version()?);
        let health_path = fields.text("hcheck")?;
        if !health_path.starts_with('/') {
            return Err(fields.wrong("hcheck", "is not a path"));
        }
        let warmup = fields
            .stated("warmup")
            .map_or(Ok(Duration::ZERO), |_| fields.time("warmup"))?;
        let warmup_per_s = fields
            .stated("warmup_per_s")
            .map_or(Ok(f64::INFINITY), |_| fields.rate("warmup_per_s"))?;
        let max_connections = fields.small("maxconn")?;
        Ok(Service {
            name,
            health_path,
            max_connections,
            warmup,
            warmup_requests_per_s: warmup_per_s,
            version,
        })
    }
}

impl Limits {
    /// Reads them from an item.
    pub fn from_item(item: &Item) -> Result<Limits, ValidationError> {
        let (place, body) = whole(item, ItemKind::Limits)?;
        let limits = Limits::read(&place, body)?;
        agrees(item, &place, "", limits.version)?;
        Ok(limits)
    }

    pub(crate) fn read(place: &str, raw: &str) -> Result<Limits, ValidationError> {
        let fields = Fields::read(place, raw)?;
        Ok(Limits {
            max_header_bytes: fields.count("hdr_max_bytes")?,
            max_body_bytes: fields.count("body_max_bytes")?,
            header_read_timeout: fields.time("hdr_read")?,
            idle_timeout: fields.time("idle")?,
            version: fields.version()?,
        })
    }
}

/// A time: a number and its unit, `1500ms` or `2.5s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    // Digits only: no sign, no `inf`, no exponent.
    let plain = number.starts_with(|first: char| first.is_ascii_digit())
        && number
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds = number.parse::<f64>().ok().filter(|_| plain)? * unit;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The texts of the host and of the route in a route's body.
pub(crate) fn split_route(body: &str) -> Option<(&str, &str)> {
    let rest = body.strip_prefix("{\"hostname\":")?.strip_suffix('}')?;
    // The host is a text, which holds no bare quote; so the first such mark is where the route begins.
    let (hostname, loc) = rest.split_once(",\"loc\":")?;
    decode(hostname).map(|_| (hostname, loc))
}

/// The body of a route's item.
pub(crate) fn join_route(hostname: &str, loc: &str) -> String {
    format!("{{\"hostname\":{hostname},\"loc\":{loc}}}")
}

pub(crate) fn read_hostname(place: &str, raw: &str) -> Result<String, ValidationError> {
    let place = format!("{place}.hostname");
    match decode(raw) {
        None => Err(ValidationError::new(place, "is not a text")),
        Some(host) if host.trim().is_empty() => Err(ValidationError::new(place, "is empty")),
        Some(host) => Ok(host.to_ascii_lowercase()),
    }
}

/// What an item is called where it has no place in a call.
pub(crate) fn called(key: &ItemKey) -> String {
    match key.kind {
        ItemKind::Roster => "roster".into(),
        ItemKind::History => format!("history {}", key.name),
        ItemKind::Checkpoint => "checkpoint".into(),
        ItemKind::Evacuation => format!("evacuation {}", key.name),
        ItemKind::Limits => "limits".into(),
        ItemKind::Service => format!("service {}", key.name),
        ItemKind::Route => format!("route {}", key.name),
    }
}

fn whole(item: &Item, kind: ItemKind) -> Result<(String, &str), ValidationError> {
    let place = called(&item.key);
    match &item.body {
        _ if item.key.kind != kind => Err(ValidationError::new(place, "is of another kind")),
        None => Err(ValidationError::new(place, "is dropped")),
        Some(body) => Ok((place, body)),
    }
}

/// The body names the name and version under which it is kept; items also come from other processes.
fn agrees(item: &Item, place: &str, name: &str, version: Version) -> Result<(), ValidationError> {
    match item.key.name == name && item.version == version {
        true => Ok(()),
        false => Err(ValidationError::new(
            place,
            "is kept under another name or version than its own",
        )),
    }
}

/// The fields of one object, and where it stands.
pub(crate) struct Fields<'a> {
    place: String,
    members: Vec<(String, &'a str)>,
}

impl<'a> Fields<'a> {
    pub(crate) fn read(place: &str, raw: &'a str) -> Result<Fields<'a>, ValidationError> {
        let members =
            members(raw).ok_or_else(|| ValidationError::new(place, "is not an object"))?;
        Ok(Fields {
            place: place.to_owned(),
            members,
        })
    }

    /// All of them, in their order.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&str, &'a str)> + '_ {
        self.members.iter().map(|(name, raw)| (name.as_str(), *raw))
    }

    pub(crate) fn wrong(&self, field: &str, what: &str) -> ValidationError {
        ValidationError::new(self.at(field), what)
    }

    pub(crate) fn at(&self, field: &str) -> String {
        match self.place.as_str() {
            "" => field.to_owned(),
            place => format!("{place}.{field}"),
        }
    }

    pub(crate) fn stated(&self, field: &str) -> Option<&'a str> {
        self.members
            .iter()
            .find(|(name, _)| name == field)
            .map(|(_, raw)| *raw)
    }

    pub(crate) fn raw(&self, field: &str) -> Result<&'a str, ValidationError> {
        self.stated(field)
            .ok_or_else(|| self.wrong(field, "is missing"))
    }

    pub(crate) fn list(&self, field: &str) -> Result<Vec<&'a str>, ValidationError> {
        elements(self.raw(field)?).ok_or_else(|| self.wrong(field, "is not a list"))
    }

    fn text(&self, field: &str) -> Result<String, ValidationError> {
        decode(self.raw(field)?).ok_or_else(|| self.wrong(field, "is not a text"))
    }

    pub(crate) fn name(&self) -> Result<String, ValidationError> {
        match self.text("name")? {
            name if name.is_empty() => Err(self.wrong("name", "is empty")),
            name if name.len() > MAX_NAME_BYTES => {
                Err(self.wrong("name", &format!("is longer than {MAX_NAME_BYTES} bytes")))
            }
            name => Ok(name),
        }
    }

    pub(crate) fn version(&self) -> Result<Version, ValidationError> {
        self.count("ver").map(Version)
    }

    /// A whole number; a version that is rounded would be another version.
    fn count(&self, field: &str) -> Result<u64, ValidationError> {
        self.raw(field)?
            .parse()
            .map_err(|_| self.wrong(field, "is not a whole number from 0 to 2^64 - 1"))
    }

    fn small(&self, field: &str) -> Result<u32, ValidationError> {
        self.raw(field)?
            .parse()
            .map_err(|_| self.wrong(field, "is not a whole number from 0 to 2^32 - 1"))
    }

    fn rate(&self, field: &str) -> Result<f64, ValidationError> {
        let number = self.raw(field)?.parse::<f64>().ok();
        number
            .filter(|rate| rate.is_finite() && *rate >= 0.0)
            .ok_or_else(|| self.wrong(field, "is not a number from 0 up"))
    }

    fn time(&self, field: &str) -> Result<Duration, ValidationError> {
        parse_duration(&self.text(field)?)
            .ok_or_else(|| self.wrong(field, "is not a time such as 1500ms or 2.5s"))
    }

    fn targets(&self) -> Result<Vec<Target>, ValidationError> {
        match (self.stated("svc"), self.stated("dist")) {
            (Some(_), None) => match self.text("svc")? {
                service if service.is_empty() => Err(self.wrong("svc", "is empty")),
                service => Ok(vec![Target { service, weight: 1 }]),
            },
            (None, Some(_)) => {
                let mut targets = Vec::new();
                for (at, raw) in self.list("dist")?.into_iter().enumerate() {
                    let share = Fields::read(&format!("{}[{at}]", self.at("dist")), raw)?;
                    targets.push(Target {
                        service: share.text("svc")?,
                        weight: share.small("wt")?,
                    });
                }
                match targets.iter().all(|target| target.weight == 0) {
                    true => Err(self.wrong("dist", "has no service with a weight")),
                    false => Ok(targets),
                }
            }
            _ => Err(self.wrong("svc", "a route carries either svc or dist")),
        }
    }
}
