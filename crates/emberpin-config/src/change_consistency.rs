//! Checks whether a change leaves the configuration valid. It examines only the items that the change affects, so a
//! change does not cost a copy or a parse of all other items.

use crate::consistency::{check_item, route_collision, route_key, unknown_service};
use crate::{Configuration, Item, ItemKey, ItemKind, Route, Target, ValidationError};
use std::collections::{BTreeMap, BTreeSet};

/// The first problem that the `newer` items cause or leave in place, if any: invalid items come first, then
/// unknown services, then colliding routes. The items must be newer than those of the configuration.
///
/// Problems among other items are not reported: they existed before, except for routes to a service that the change
/// removes.
pub(crate) fn new_inconsistency(
    current: &Configuration,
    newer: &[Item],
) -> Option<ValidationError> {
    let change = Change::new(current, newer);
    change
        .invalid_item()
        .or_else(|| change.route_to_unknown_service())
        .or_else(|| change.colliding_route())
}

/// Changed items as an overlay over a configuration, which is not copied.
struct Change<'a> {
    current: &'a Configuration,
    items: BTreeMap<&'a ItemKey, &'a Item>,
    /// The changed routes that are not removed and are valid by themselves, by name.
    routes: BTreeMap<&'a str, Route>,
}

impl<'a> Change<'a> {
    fn new(current: &'a Configuration, newer: &'a [Item]) -> Change<'a> {
        let mut items = BTreeMap::<&ItemKey, &Item>::new();
        for item in newer {
            let latest = items.entry(&item.key).or_insert(item);
            if item.version > latest.version {
                *latest = item;
            }
        }
        let routes = items
            .values()
            .filter(|item| item.key.kind == ItemKind::Route && !item.is_tombstone())
            .filter_map(|item| Some((item.key.name.as_str(), Route::from_item(item).ok()?)))
            .collect();
        Change {
            current,
            items,
            routes,
        }
    }

    fn invalid_item(&self) -> Option<ValidationError> {
        self.items
            .values()
            .filter(|item| !item.is_tombstone())
            .find_map(|item| check_item(item).err())
    }

    /// The error of a changed route to a service that does not exist, or of an unchanged one to a service that the
    /// change removes. If there are several, that of the route with the smallest name.
    fn route_to_unknown_service(&self) -> Option<ValidationError> {
        let removed = self.removed_services();
        let unchanged = self
            .current
            .routes()
            .filter_map(|route| Some((route, find_target(route, |name| removed.contains(name))?)))
            .filter(|(route, _)| !self.changes(route));
        let changed = self
            .routes
            .values()
            .filter_map(|route| Some((route, find_target(route, |name| !self.has_service(name))?)));
        let (route, service) = unchanged
            .chain(changed)
            .min_by(|(one, _), (other, _)| one.name.cmp(&other.name))?;
        Some(unknown_service(route, service))
    }

    /// The services that the change removes.
    fn removed_services(&self) -> BTreeSet<&str> {
        self.items
            .iter()
            .filter(|(key, item)| key.kind == ItemKind::Service && item.is_tombstone())
            .map(|(key, _)| key.name.as_str())
            .filter(|name| self.current.has_service(name))
            .collect()
    }

    fn has_service(&self, name: &str) -> bool {
        let key = ItemKey {
            kind: ItemKind::Service,
            name: name.to_owned(),
        };
        match self.items.get(&key) {
            Some(item) => !item.is_tombstone(),
            None => self.current.has_service(name),
        }
    }

    /// Whether the change sets or removes a route.
    fn changes(&self, route: &Route) -> bool {
        self.items.contains_key(&route_key(route))
    }

    /// The error of two routes with the same host and prefix, at least one of which the change sets.
    fn colliding_route(&self) -> Option<ValidationError> {
        if self.routes.is_empty() {
            return None;
        }
        let mut by_host_and_prefix = BTreeMap::<(&str, &str), Vec<&Route>>::new();
        for route in self.routes.values() {
            by_host_and_prefix
                .entry((&route.hostname, &route.prefix))
                .or_default()
                .push(route);
        }
        for route in self.current.routes() {
            let host_and_prefix = (route.hostname.as_str(), route.prefix.as_str());
            if let Some(routes) = by_host_and_prefix.get_mut(&host_and_prefix) {
                if !self.changes(route) {
                    routes.push(route);
                }
            }
        }
        by_host_and_prefix.into_values().find_map(|mut routes| {
            routes.sort_by(|one, other| one.name.cmp(&other.name));
            route_collision(&routes)
        })
    }
}

/// The first target service of a route that satisfies the predicate.
fn find_target(route: &Route, predicate: impl Fn(&str) -> bool) -> Option<&str> {
    let mut services = route
        .targets
        .iter()
        .map(|Target { service, .. }| service.as_str());
    services.find(|service| predicate(service))
}
