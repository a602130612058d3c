//! Formats the output of `members`: every registry with the sessions of its proxies and the servers that it knows.

use crate::fleet::FleetReport;
use crate::status::{Instance, ProxySession, Status};

/// Formats the members of a fleet, one line each.
pub fn render(fleet: &FleetReport) -> String {
    let mut lines = Vec::new();
    for report in &fleet.registries {
        match &report.status {
            Ok(status) => {
                lines.push(registry_line(&report.address, status));
                lines.extend(status.proxy_sessions.iter().map(proxy_session_line));
                lines.extend(status.instances.iter().map(instance_line));
            }
            Err(error) => lines.push(format!("registry {}: {error}", report.address)),
        }
    }
    lines.join("\n")
}

fn registry_line(address: &str, status: &Status) -> String {
    let settled = if status.settled {
        "settled"
    } else {
        "not settled"
    };
    format!(
        "registry {address} {}: {settled}, {} items, voters {}",
        status.name,
        status.items,
        status.voters.join(" ")
    )
}

fn proxy_session_line(session: &ProxySession) -> String {
    let ProxySession {
        name,
        zone,
        changes_behind,
    } = session;
    format!("  limiter {name} in {zone}: {changes_behind} behind")
}

fn instance_line(instance: &Instance) -> String {
    let Instance {
        id,
        service,
        address,
        zone,
        status,
        warmup_left,
        last_heartbeat_age,
    } = instance;
    format!(
        "  server {id} of {service} at {address} in {zone}: {status}, cold for {} ms, heard {} ms ago",
        warmup_left.as_millis(),
        last_heartbeat_age.as_millis()
    )
}
