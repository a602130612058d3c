//! Whether a change leaves the configuration valid. Only what the change touches is looked at, so that a change does not
//! cost a copy, or a parse, of all other items.

use crate::consistency::{check_item, route_collision, route_key, unknown_service};
use crate::{Configuration, Item, ItemKey, ItemKind, Route, Target, ValidationError};
use std::collections::{BTreeMap, BTreeSet};

/// Why the configuration is invalid with these items, which are newer than what is known, if they are among the causes:
/// invalid items first, then unknown services, then colliding routes.
///
/// What the items leave alone was inconsistent before, except where they remove a service.
pub(crate) fn new_inconsistency(newest: &Configuration, newer: &[Item]) -> Option<ValidationError> {
    let change = Change::new(newest, newer);
    change
        .invalid_item()
        .or_else(|| change.route_to_unknown_service())
        .or_else(|| change.colliding_route())
}

/// Items on top of a configuration that is not copied.
struct Change<'a> {
    newest: &'a Configuration,
    items: BTreeMap<&'a ItemKey, &'a Item>,
    /// The changed routes that are live and valid by themselves, by name.
    routes: BTreeMap<&'a str, Route>,
}

impl<'a> Change<'a> {
    fn new(newest: &'a Configuration, newer: &'a [Item]) -> Change<'a> {
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
            newest,
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

    /// A changed route to a service that does not exist, or an unchanged one to a service that the change removes.
    fn route_to_unknown_service(&self) -> Option<ValidationError> {
        let removed = self.removed_services();
        let unchanged = self
            .newest
            .routes()
            .filter_map(|route| Some((route, first_target(route, |name| removed.contains(name))?)))
            .filter(|(route, _)| !self.changes(route));
        let changed = self.routes.values().filter_map(|route| {
            Some((route, first_target(route, |name| !self.has_service(name))?))
        });
        let (route, service) = unchanged
            .chain(changed)
            .min_by(|(one, _), (other, _)| one.name.cmp(&other.name))?;
        Some(unknown_service(route, service))
    }

    /// The services that exist now, and do not with the change.
    fn removed_services(&self) -> BTreeSet<&str> {
        self.items
            .iter()
            .filter(|(key, item)| key.kind == ItemKind::Service && item.is_tombstone())
            .map(|(key, _)| key.name.as_str())
            .filter(|name| self.newest.has_service(name))
            .collect()
    }

    fn has_service(&self, name: &str) -> bool {
        let key = ItemKey {
            kind: ItemKind::Service,
            name: name.to_owned(),
        };
        match self.items.get(&key) {
            Some(item) => !item.is_tombstone(),
            None => self.newest.has_service(name),
        }
    }

    /// Whether the change sets or removes a route.
    fn changes(&self, route: &Route) -> bool {
        self.items.contains_key(&route_key(route))
    }

    /// Two routes of one host and prefix, of which the change sets at least one.
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
        for route in self.newest.routes() {
            let place = (route.hostname.as_str(), route.prefix.as_str());
            if let Some(routes) = by_host_and_prefix.get_mut(&place) {
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

/// The first service of a route for which this holds.
fn first_target(route: &Route, is_wanted: impl Fn(&str) -> bool) -> Option<&str> {
    let mut services = route
        .targets
        .iter()
        .map(|Target { service, .. }| service.as_str());
    services.find(|service| is_wanted(service))
}
