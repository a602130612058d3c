//! The status of every registry of a fleet, and the services of its configuration.

use crate::client::{self, AttemptError, CallError, Request};
use crate::locks::{self, HeldLock, LocksError};
use crate::status::{InvalidStatus, Status};
use emberpin_config::{parse_patch, Configuration, ItemKind, ValidationError};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How many attempts a registry gets to report its status before it counts as unreachable.
const STATUS_ATTEMPTS: usize = 2;

/// What one registry reported.
#[derive(Debug)]
pub struct RegistryReport {
    /// The registry's address.
    pub address: String,
    /// Its status, or why there is none.
    pub status: Result<Status, StatusError>,
    /// This machine's clock when the response came, as time since the Unix epoch.
    pub received_at: Duration,
}

/// Why a registry reported no status.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// It did not respond.
    #[error(transparent)]
    Attempt(#[from] AttemptError),
    /// It responded with another HTTP status than 200.
    #[error("status {0}")]
    Rejected(u16),
    /// It responded with something else.
    #[error(transparent)]
    Invalid(#[from] InvalidStatus),
}

/// Why the configuration is not known.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// No registry handed it out.
    #[error(transparent)]
    Call(#[from] CallError),
    /// What a registry handed out is not a configuration.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
}

/// What all registries of a fleet reported.
#[derive(Debug)]
pub struct FleetReport {
    /// One report for each registry.
    pub registries: Vec<RegistryReport>,
    /// The names of the services in the configuration.
    pub services: Result<Vec<String>, ConfigurationError>,
    /// The locks that applications hold; `None` in a deployment without them.
    pub locks: Result<Option<Vec<HeldLock>>, LocksError>,
}

impl FleetReport {
    /// The registries that reported their status.
    pub fn reachable(&self) -> impl Iterator<Item = (&RegistryReport, &Status)> {
        self.registries
            .iter()
            .filter_map(|report| Some((report, report.status.as_ref().ok()?)))
    }
}

/// Requests the status of the registries at these addresses, and of those that they name in turn, each once; then the
/// configuration, and which locks are held.
pub async fn collect(addresses: &[String]) -> FleetReport {
    let registries = collect_registries(addresses).await;
    let services = configuration(addresses).await.map(|configuration| {
        configuration
            .live()
            .filter(|item| item.key.kind == ItemKind::Service)
            .map(|item| item.key.name.clone())
            .collect()
    });
    let locks = match locks::held_locks(addresses).await {
        Ok(locks) => Ok(Some(locks)),
        Err(error) if error.is_switched_off() => Ok(None),
        Err(error) => Err(error),
    };
    FleetReport {
        registries,
        services,
        locks,
    }
}

async fn collect_registries(addresses: &[String]) -> Vec<RegistryReport> {
    let (mut requested, mut reports) = (BTreeSet::new(), Vec::new());
    let mut next: Vec<String> = addresses.to_vec();
    while !next.is_empty() {
        next.retain(|address| requested.insert(address.clone()));
        let requests: Vec<_> = next
            .drain(..)
            .map(|address| tokio::spawn(request_status(address)))
            .collect();
        for request in requests {
            let Ok(report) = request.await else { continue };
            let named = report
                .status
                .iter()
                .flat_map(|status| status.registries.iter().chain(&status.voters));
            next.extend(named.map(|ip| address_beside(ip, &report.address)));
            reports.push(report);
        }
    }
    reports
}

async fn request_status(address: String) -> RegistryReport {
    let mut status = status_of(&address).await;
    for _ in 1..STATUS_ATTEMPTS {
        if status.is_ok() {
            break;
        }
        status = status_of(&address).await;
    }
    RegistryReport {
        address,
        status,
        received_at: unix_time(),
    }
}

async fn status_of(address: &str) -> Result<Status, StatusError> {
    let response = client::send(address, &Request::get("/status")).await?;
    if response.status != 200 {
        return Err(StatusError::Rejected(response.status));
    }
    Ok(Status::parse(&response.body)?)
}

/// The newest configuration, as JSON text.
///
/// # Errors
///
/// [`CallError`] if no registry hands it out.
pub async fn configuration_json(addresses: &[String]) -> Result<String, CallError> {
    client::call(addresses, &Request::get("/config/get")).await
}

/// The newest configuration. Tombstones of dropped items are not in it.
///
/// # Errors
///
/// [`ConfigurationError`] if no registry hands it out, or it cannot be read.
pub async fn configuration(addresses: &[String]) -> Result<Configuration, ConfigurationError> {
    let json = configuration_json(addresses).await?;
    let patch = parse_patch(format!("{{\"upsert\":{json}}}").as_bytes())?;
    Ok(patch.items.into_iter().collect())
}

/// The address of a registry that another one names by its IP address: all of them use the same port.
fn address_beside(ip: &str, other: &str) -> String {
    match (ip.parse::<IpAddr>(), other.rsplit_once(':')) {
        (Ok(IpAddr::V6(ip)), Some((_, port))) => format!("[{ip}]:{port}"),
        (Ok(ip), Some((_, port))) => format!("{ip}:{port}"),
        _ => ip.to_owned(),
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
