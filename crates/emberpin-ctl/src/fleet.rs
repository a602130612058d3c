//! Collects the status of every registry of a fleet, the services of its configuration and the locks that are held.

use crate::client::{self, AttemptError, CallError, Request};
use crate::locks::{self, HeldLock, LocksError};
use crate::status::{InvalidStatus, Status};
use emberpin_config::{parse_patch, Configuration, ItemKind, ValidationError};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A registry counts as unreachable after this many failed status requests.
const STATUS_ATTEMPTS: usize = 2;

/// The report of one registry.
#[derive(Debug)]
pub struct RegistryReport {
    /// The registry's address.
    pub address: String,
    /// The status of the registry, or why it is unknown.
    pub status: Result<Status, StatusError>,
    /// The clock of this machine when the response was received, as time since the Unix epoch.
    pub received_at: Duration,
}

/// Why a registry reported no status.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The registry did not respond.
    #[error(transparent)]
    Attempt(#[from] AttemptError),
    /// The registry responded with an HTTP status other than 200.
    #[error("status {0}")]
    Rejected(u16),
    /// The response body is not a status.
    #[error(transparent)]
    Invalid(#[from] InvalidStatus),
}

/// Why the configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// No registry returned the configuration.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response of a registry is not a valid configuration.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
}

/// The reports of all registries of a fleet.
#[derive(Debug)]
pub struct FleetReport {
    /// One report for each registry.
    pub registries: Vec<RegistryReport>,
    /// The names of the services in the configuration.
    pub services: Result<Vec<String>, ConfigurationError>,
    /// The locks that applications hold; `None` if the deployment does not offer locks.
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

/// Requests the status of the registries at these addresses and of all registries that they name in turn, each once,
/// and afterwards the configuration and the held locks.
pub async fn collect(addresses: &[String]) -> FleetReport {
    let registries = collect_registries(addresses).await;
    let services = fetch_configuration(addresses).await.map(|configuration| {
        configuration
            .live()
            .filter(|item| item.key.kind == ItemKind::Service)
            .map(|item| item.key.name.clone())
            .collect()
    });
    let locks = match locks::fetch_held_locks(addresses).await {
        Ok(locks) => Ok(Some(locks)),
        Err(error) if error.is_unsupported() => Ok(None),
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
            .map(|address| tokio::spawn(fetch_report(address)))
            .collect();
        for request in requests {
            let Ok(report) = request.await else { continue };
            let named_ips = report
                .status
                .iter()
                .flat_map(|status| status.registries.iter().chain(&status.voters));
            next.extend(named_ips.map(|ip| address_on_same_port(ip, &report.address)));
            reports.push(report);
        }
    }
    reports
}

async fn fetch_report(address: String) -> RegistryReport {
    let mut status = fetch_status(&address).await;
    for _ in 1..STATUS_ATTEMPTS {
        if status.is_ok() {
            break;
        }
        status = fetch_status(&address).await;
    }
    RegistryReport {
        address,
        status,
        received_at: unix_time(),
    }
}

async fn fetch_status(address: &str) -> Result<Status, StatusError> {
    let response = client::send(address, &Request::get("/status")).await?;
    if response.status != 200 {
        return Err(StatusError::Rejected(response.status));
    }
    Ok(Status::parse(&response.body)?)
}

/// Reads the newest configuration as JSON text.
///
/// # Errors
///
/// [`CallError`] if no registry returns it.
pub async fn fetch_configuration_json(addresses: &[String]) -> Result<String, CallError> {
    client::call(addresses, &Request::get("/config/get")).await
}

/// Reads the newest configuration, without the tombstones of removed items.
///
/// # Errors
///
/// [`ConfigurationError`] if no registry returns it, or if it is invalid.
pub async fn fetch_configuration(
    addresses: &[String],
) -> Result<Configuration, ConfigurationError> {
    let json = fetch_configuration_json(addresses).await?;
    let patch = parse_patch(format!("{{\"upsert\":{json}}}").as_bytes())?;
    Ok(patch.items.into_iter().collect())
}

/// The address of a registry that another one names by its IP address. All registries use the same port.
fn address_on_same_port(ip: &str, known_address: &str) -> String {
    match (ip.parse::<IpAddr>(), known_address.rsplit_once(':')) {
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
