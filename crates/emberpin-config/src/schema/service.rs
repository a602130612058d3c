//! Services: the configuration that all servers of one service share.

use super::{body_of_kind, check_key, Fields};
use crate::{Item, ItemKind, Problem, ValidationError, Version};
use std::time::Duration;

/// A service. Its servers are not part of the configuration; they register with the registries.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name, by which routes and servers refer to the service.
    pub name: String,
    /// The path of a server's health check; it begins with a slash. Validated and stored, but no decision depends on
    /// it.
    pub health_path: String,
    /// The maximum number of connections that one server accepts from all proxies together. Validated and stored, but
    /// no decision depends on it.
    pub max_connections: u32,
    /// How long a server that starts during traffic is in slow start. Zero by default: no slow start.
    pub warmup: Duration,
    /// The rate that a server can process in slow start, in requests per second. Infinite by default.
    pub warmup_requests_per_s: f64,
    /// The version of the service.
    pub version: Version,
}

impl Service {
    /// Reads a service from its item.
    ///
    /// # Errors
    ///
    /// [`ValidationError`] if the item is of another kind, a tombstone or invalid.
    pub fn from_item(item: &Item) -> Result<Service, ValidationError> {
        let (path, body) = body_of_kind(item, ItemKind::Service)?;
        let service = Service::parse(&path, body)?;
        check_key(item, &path, &service.name, service.version)?;
        Ok(service)
    }

    pub(crate) fn parse(path: &str, raw: &str) -> Result<Service, ValidationError> {
        let fields = Fields::parse(path, raw)?;
        let (name, version) = (fields.name()?, fields.version()?);
        let health_path = fields.string("hcheck")?;
        if !health_path.starts_with('/') {
            return Err(fields.error("hcheck", Problem::NotAPath));
        }
        let warmup = match fields.get("warmup") {
            Some(_) => fields.duration("warmup")?,
            None => Duration::ZERO,
        };
        let warmup_requests_per_s = match fields.get("warmup_per_s") {
            Some(_) => fields.rate("warmup_per_s")?,
            None => f64::INFINITY,
        };
        let max_connections = fields.u32("maxconn")?;
        Ok(Service {
            name,
            health_path,
            max_connections,
            warmup,
            warmup_requests_per_s,
            version,
        })
    }
}
