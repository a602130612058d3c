//! The consistency checks of the configuration as a whole.

use crate::{
    Configuration, Item, ItemKey, ItemKind, Limits, Problem, Route, Service, ValidationError,
};
use std::collections::BTreeMap;

impl Configuration {
    /// Checks that the configuration is valid as a whole: every item is valid, no route refers to an unknown service,
    /// and no two routes have the same host and prefix.
    ///
    /// # Errors
    ///
    /// The first problem: invalid items come first, then unknown services, then colliding routes.
    pub fn check(&self) -> Result<(), ValidationError> {
        self.live()
            .try_for_each(|item| self.check_known_item(item))?;
        self.check_targets()?;
        self.check_collisions()
    }

    /// Checks an item of this configuration like [`check_item`], without parsing a route again.
    fn check_known_item(&self, item: &Item) -> Result<(), ValidationError> {
        match self.parsed_route(item) {
            Some(parsed) => parsed.as_ref().map(drop).map_err(ValidationError::clone),
            None => check_item(item),
        }
    }

    fn check_targets(&self) -> Result<(), ValidationError> {
        for route in self.routes() {
            let mut services = route.targets.iter().map(|target| &target.service);
            if let Some(service) = services.find(|service| !self.has_service(service)) {
                return Err(unknown_service(route, service));
            }
        }
        Ok(())
    }

    fn check_collisions(&self) -> Result<(), ValidationError> {
        let mut by_host_and_prefix = BTreeMap::<(&str, &str), Vec<&Route>>::new();
        for route in self.routes() {
            by_host_and_prefix
                .entry((&route.hostname, &route.prefix))
                .or_default()
                .push(route);
        }
        by_host_and_prefix
            .into_values()
            .find_map(|routes| route_collision(&routes))
            .map_or(Ok(()), Err)
    }
}

/// Checks that an item is valid by itself.
pub(crate) fn check_item(item: &Item) -> Result<(), ValidationError> {
    match item.key.kind {
        ItemKind::Service => Service::from_item(item).map(drop),
        ItemKind::Limits => Limits::from_item(item).map(drop),
        ItemKind::Route => Route::from_item(item).map(drop),
        ItemKind::Roster
        | ItemKind::Evacuation
        | ItemKind::History
        | ItemKind::Checkpoint
        | ItemKind::Register => Ok(()),
    }
}

/// The error of a route that refers to a service that does not exist.
pub(crate) fn unknown_service(route: &Route, service: &str) -> ValidationError {
    let problem = Problem::UnknownService {
        service: service.to_owned(),
    };
    ValidationError::new(route_key(route).to_string(), problem)
}

/// The error of several routes that share one host and prefix; `None` if there is at most one. `routes` are sorted by
/// name.
pub(crate) fn route_collision(routes: &[&Route]) -> Option<ValidationError> {
    let [first, second, ..] = routes else {
        return None;
    };
    let problem = Problem::RouteCollision {
        host: second.hostname.clone(),
        prefix: second.prefix.clone(),
        other: first.name.clone(),
    };
    Some(ValidationError::new(route_key(second).to_string(), problem))
}

pub(crate) fn route_key(route: &Route) -> ItemKey {
    ItemKey {
        kind: ItemKind::Route,
        name: route.name.clone(),
    }
}
