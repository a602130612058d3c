//! What is invalid about the configuration as a whole.

use crate::{
    Configuration, ItemKey, ItemKind, Limits, Problem, Route, Service, Target, ValidationError,
};
use std::collections::BTreeMap;

/// One reason for which the configuration as a whole is invalid.
pub(crate) struct Inconsistency {
    /// The items that share it; a change of any one of them could end it.
    pub(crate) items: Vec<ItemKey>,
    /// The service that a route names and that does not exist.
    pub(crate) unknown_service: Option<String>,
    /// The error for the caller.
    pub(crate) error: ValidationError,
}

impl Configuration {
    /// Checks that the configuration is valid as a whole: every item is, no route names an unknown service, and no
    /// two routes have the same host and prefix.
    ///
    /// # Errors
    ///
    /// The first problem that was found.
    pub fn check(&self) -> Result<(), ValidationError> {
        self.inconsistencies()
            .into_iter()
            .next()
            .map_or(Ok(()), |inconsistency| Err(inconsistency.error))
    }

    /// All reasons for which the configuration is invalid: invalid items, unknown services, colliding routes, in this
    /// order.
    pub(crate) fn inconsistencies(&self) -> Vec<Inconsistency> {
        let mut found = self.invalid_items();
        found.extend(self.unknown_services());
        found.extend(self.route_collisions());
        found
    }

    fn invalid_items(&self) -> Vec<Inconsistency> {
        let mut found = Vec::new();
        for item in self.live() {
            let parsed = match item.key.kind {
                ItemKind::Service => Service::from_item(item).map(drop),
                ItemKind::Limits => Limits::from_item(item).map(drop),
                ItemKind::Route => self.parsed_route(item).map(drop),
                ItemKind::Roster
                | ItemKind::Evacuation
                | ItemKind::History
                | ItemKind::Checkpoint => Ok(()),
            };
            if let Err(error) = parsed {
                found.push(Inconsistency {
                    items: vec![item.key.clone()],
                    unknown_service: None,
                    error,
                });
            }
        }
        found
    }

    fn unknown_services(&self) -> Vec<Inconsistency> {
        let mut found = Vec::new();
        for route in self.routes() {
            let key = route_key(route);
            for Target { service, .. } in &route.targets {
                if self.has_service(service) {
                    continue;
                }
                let problem = Problem::UnknownService {
                    service: service.clone(),
                };
                found.push(Inconsistency {
                    items: vec![key.clone()],
                    unknown_service: Some(service.clone()),
                    error: ValidationError::new(key.to_string(), problem),
                });
            }
        }
        found
    }

    fn route_collisions(&self) -> Vec<Inconsistency> {
        let mut by_host_and_prefix = BTreeMap::<(&str, &str), Vec<&Route>>::new();
        for route in self.routes() {
            by_host_and_prefix
                .entry((&route.hostname, &route.prefix))
                .or_default()
                .push(route);
        }
        let mut found = Vec::new();
        for ((host, prefix), routes) in by_host_and_prefix {
            let [first, second, ..] = routes[..] else {
                continue;
            };
            let problem = Problem::RouteCollision {
                host: host.to_owned(),
                prefix: prefix.to_owned(),
                other: first.name.clone(),
            };
            found.push(Inconsistency {
                items: routes.iter().copied().map(route_key).collect(),
                unknown_service: None,
                error: ValidationError::new(route_key(second).to_string(), problem),
            });
        }
        found
    }
}

fn route_key(route: &Route) -> ItemKey {
    ItemKey {
        kind: ItemKind::Route,
        name: route.name.clone(),
    }
}
