//! Exports the configuration for operators.

use crate::schema::split_route_body;
use crate::{Configuration, ItemKind};
use std::collections::BTreeMap;

/// The response body of `GET /config/get`: the live services, limits and routes, each with its content as it was sent,
/// in the format of a patch's `upsert`.
pub fn export_json(configuration: &Configuration) -> String {
    let mut services = Vec::new();
    let mut limits = String::new();
    let mut routes_by_host = BTreeMap::<&str, Vec<&str>>::new();
    for item in configuration.live() {
        let Some(body) = &item.body else { continue };
        match item.key.kind {
            ItemKind::Service => services.push(body.as_str()),
            ItemKind::Limits => limits = format!("\"limits\":{body},"),
            ItemKind::Route => {
                if let Some((host, route)) = split_route_body(body) {
                    routes_by_host.entry(host).or_default().push(route);
                }
            }
            ItemKind::Roster
            | ItemKind::Evacuation
            | ItemKind::History
            | ItemKind::Checkpoint
            | ItemKind::Register => {}
        }
    }
    let hosts: Vec<String> = routes_by_host
        .into_iter()
        .map(|(host, routes)| format!("{{\"hostname\":{host},\"locs\":[{}]}}", routes.join(",")))
        .collect();
    format!(
        "{{\"svcs\":[{}],{limits}\"vhosts\":[{}]}}",
        services.join(","),
        hosts.join(",")
    )
}
