//! The configuration of the gateway: named items, each with a version of its own.
//!
//! No I/O, no clock, no randomness. Items merge item by item: of two versions of a name the higher one
//! stands, set or dropped. What is read from a call, what is valid as a whole and how it is written out are
//! decided here and nowhere else.
#![forbid(unsafe_code)]

pub mod checkpoint;
pub mod configuration;
pub mod digest;
pub mod history;
pub mod item;
mod json;
pub mod patch;
pub mod schema;
pub mod validate;
pub mod version;

pub use checkpoint::{Checkpoint, MAX_TOMBSTONES};
pub use configuration::Configuration;
pub use digest::Digest;
pub use history::{History, PastVersion, MAX_RETAINED_VERSIONS};
pub use item::{Item, ItemKey, ItemKind};
pub use json::MAX_JSON_DEPTH;
pub use patch::{parse_patch, Patch, MAX_PATCH_BYTES, MAX_PATCH_ITEMS};
pub use schema::{Limits, Route, RouteKind, Service, Target, MAX_NAME_BYTES};
pub use validate::{validate, validate_for_commit, PatchOutcome, Retention};
pub use version::Version;

/// Why something is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}")]
pub struct ValidationError {
    /// Where: the path in a call (`upsert.vhosts[0].locs[1].timeout`), or the item (`route r-1.timeout`).
    pub place: String,
    /// What is wrong there.
    pub what: String,
}

impl ValidationError {
    pub(crate) fn new(place: impl Into<String>, what: impl Into<String>) -> ValidationError {
        ValidationError {
            place: place.into(),
            what: what.into(),
        }
    }
}

/// The body of `GET /config/get`: all items that stand, with their content as it was sent, laid out as a
/// call's `upsert`.
pub fn export_json(configuration: &Configuration) -> String {
    let (mut services, mut limits, mut hosts) =
        (Vec::new(), String::new(), std::collections::BTreeMap::new());
    for item in configuration.live() {
        let Some(body) = &item.body else { continue };
        match item.key.kind {
            ItemKind::Service => services.push(body.as_str()),
            ItemKind::Limits => limits = format!("\"limits\":{body},"),
            ItemKind::Route => {
                let Some((host, route)) = schema::split_route(body) else {
                    continue;
                };
                hosts.entry(host).or_insert_with(Vec::new).push(route);
            }
            ItemKind::Roster | ItemKind::Evacuation | ItemKind::History | ItemKind::Checkpoint => {}
        }
    }
    let hosts: Vec<String> = hosts
        .into_iter()
        .map(|(host, routes)| format!("{{\"hostname\":{host},\"locs\":[{}]}}", routes.join(",")))
        .collect();
    format!(
        "{{\"svcs\":[{}],{limits}\"vhosts\":[{}]}}",
        services.join(","),
        hosts.join(",")
    )
}

/// The routes that a limiter follows, also where two changes that were each valid alone have merged into an
/// invalid whole.
///
/// Every copy of the same items comes to the same answer. A target whose service is unknown is left out; a
/// route whose remaining targets have no weight is not in force. Of two routes of one host and prefix, the
/// one with the higher version counts; of equal versions, the one with the smaller name. In order of host and
/// prefix.
pub fn effective_routes(configuration: &Configuration) -> Vec<Route> {
    let mut places = std::collections::BTreeMap::<(String, String), Route>::new();
    // By rising names, so that of equal versions the first one stays.
    for route in configuration.routes() {
        let mut route = route.clone();
        route
            .targets
            .retain(|target| configuration.has_service(&target.service));
        if route.targets.iter().all(|target| target.weight == 0) {
            continue;
        }
        let place = (route.hostname.clone(), route.prefix.clone());
        match places.get(&place) {
            Some(other) if other.version >= route.version => {}
            _ => drop(places.insert(place, route)),
        }
    }
    places.into_values().collect()
}
