//! The newest items, and what is wrong with them as a whole.

use crate::schema::called;
use crate::{
    Checkpoint, History, Item, ItemKey, ItemKind, Limits, Route, Service, Target, ValidationError,
    Version,
};
use std::collections::{BTreeMap, BTreeSet};

/// The newest version of every item, dropped ones included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    items: BTreeMap<ItemKey, Item>,
    /// The live routes as parsed, so that a change doesn't cost a parse of all others.
    routes: BTreeMap<String, Result<Route, ValidationError>>,
    /// The tombstones that may be removed, by version.
    dropped: BTreeSet<(Version, ItemKey)>,
    checkpoint: Checkpoint,
}

/// Something wrong with the whole.
pub(crate) struct Inconsistency {
    /// The items that have it; each of them could end it.
    pub(crate) of: Vec<ItemKey>,
    /// A service that is named and is not there.
    pub(crate) unknown: Option<String>,
    pub(crate) wrong: ValidationError,
}

impl Configuration {
    /// Nothing yet.
    pub fn new() -> Configuration {
        Configuration::default()
    }

    /// Takes an item if its version is higher than the known one and the [`Checkpoint`] admits it; whether it
    /// is. In whatever order and however often items are merged, the same stand at the end.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_and_prune(item).0
    }

    /// As [`Configuration::merge`]; also returns the items that a new checkpoint removes.
    pub fn merge_and_prune(&mut self, item: Item) -> (bool, Vec<Item>) {
        if self
            .get(&item.key)
            .is_some_and(|known| known.version >= item.version)
            || !self.admits(&item)
        {
            return (false, Vec::new());
        }
        let checkpoint =
            (item.key.kind == ItemKind::Checkpoint).then(|| Checkpoint::from_item(&item));
        self.replace(item);
        match checkpoint {
            Some(checkpoint) => {
                self.checkpoint = checkpoint;
                (true, self.remove_inadmissible())
            }
            None => (true, Vec::new()),
        }
    }

    fn replace(&mut self, item: Item) {
        if let Some(known) = self.items.get(&item.key) {
            self.dropped.remove(&(known.version, item.key.clone()));
        }
        if item.key.kind == ItemKind::Route {
            match item.body {
                Some(_) => drop(
                    self.routes
                        .insert(item.key.name.clone(), Route::from_item(&item)),
                ),
                None => drop(self.routes.remove(&item.key.name)),
            }
        }
        // An evacuation that came back to life would stop a zone; those are few and stay.
        if item.body.is_none() && item.key.is_removable() {
            self.dropped.insert((item.version, item.key.clone()));
        }
        self.items.insert(item.key.clone(), item);
    }

    fn remove_inadmissible(&mut self) -> Vec<Item> {
        let inadmissible = self.items.values().filter(|item| !self.admits(item));
        let removed: Vec<Item> = inadmissible.cloned().collect();
        for item in &removed {
            self.items.remove(&item.key);
            self.dropped.remove(&(item.version, item.key.clone()));
            if item.key.kind == ItemKind::Route {
                self.routes.remove(&item.key.name);
            }
        }
        removed
    }

    /// Whether the checkpoint leaves room for this version of a name: an older one belongs to a name whose
    /// tombstone was removed.
    pub fn admits(&self, item: &Item) -> bool {
        if self.checkpoint.floor().is_none() {
            return true;
        }
        match item.key.kind {
            ItemKind::Route | ItemKind::Service => self.checkpoint.admits(&item.key, item.version),
            ItemKind::History => History::from_item(item).is_none_or(|history| {
                self.checkpoint
                    .admits(history.subject(), history.newest_version())
            }),
            ItemKind::Roster | ItemKind::Evacuation | ItemKind::Limits | ItemKind::Checkpoint => {
                true
            }
        }
    }

    /// A copy of all that decides whether the whole is valid; histories are the larger part of many changes.
    pub(crate) fn without_histories(&self) -> Configuration {
        let items = self
            .items
            .iter()
            .filter(|(key, _)| key.kind != ItemKind::History);
        Configuration {
            items: items
                .map(|(key, item)| (key.clone(), item.clone()))
                .collect(),
            routes: self.routes.clone(),
            dropped: self.dropped.clone(),
            checkpoint: self.checkpoint.clone(),
        }
    }

    /// Which tombstones were removed.
    pub fn checkpoint(&self) -> &Checkpoint {
        &self.checkpoint
    }

    /// How many tombstones there are that may be removed.
    pub fn tombstone_count(&self) -> usize {
        self.dropped.len()
    }

    /// The tombstones that may be removed, with their versions, from the lowest version on.
    pub(crate) fn tombstones(&self) -> &BTreeSet<(Version, ItemKey)> {
        &self.dropped
    }

    /// The newest version of a name, also if that is a tombstone.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items, tombstones included, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Item> + '_ {
        self.items.values()
    }

    /// The items that are not dropped.
    pub fn live(&self) -> impl Iterator<Item = &Item> + '_ {
        self.iter().filter(|item| item.body.is_some())
    }

    /// How many items there are, tombstones included.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether a service of this name is there and not dropped.
    pub fn has_service(&self, service: &str) -> bool {
        let key = ItemKey {
            kind: ItemKind::Service,
            name: service.to_owned(),
        };
        self.items.get(&key).is_some_and(|item| item.body.is_some())
    }

    /// The live routes that can be read, in the order of their names, whatever is wrong with the whole; those
    /// to follow are [`effective_routes`](crate::effective_routes).
    pub fn routes(&self) -> impl Iterator<Item = &Route> + '_ {
        self.routes.values().filter_map(|route| route.as_ref().ok())
    }

    /// Whether the whole is valid: every item is, no route names an unknown service, no two routes share a
    /// place.
    pub fn check(&self) -> Result<(), ValidationError> {
        self.inconsistencies()
            .into_iter()
            .next()
            .map_or(Ok(()), |fault| Err(fault.wrong))
    }

    pub(crate) fn inconsistencies(&self) -> Vec<Inconsistency> {
        let mut inconsistencies = Vec::new();
        for item in self.live() {
            let read = match item.key.kind {
                ItemKind::Service => Service::from_item(item).map(drop),
                ItemKind::Limits => Limits::from_item(item).map(drop),
                ItemKind::Route => self
                    .routes
                    .get(&item.key.name)
                    .cloned()
                    .unwrap_or_else(|| Route::from_item(item))
                    .map(drop),
                ItemKind::Roster
                | ItemKind::Evacuation
                | ItemKind::History
                | ItemKind::Checkpoint => Ok(()),
            };
            if let Err(wrong) = read {
                inconsistencies.push(Inconsistency {
                    of: vec![item.key.clone()],
                    unknown: None,
                    wrong,
                });
            }
        }
        let mut places = BTreeMap::<(&str, &str), Vec<&Route>>::new();
        for route in self.routes() {
            let key = ItemKey {
                kind: ItemKind::Route,
                name: route.name.clone(),
            };
            for Target { service, .. } in route
                .targets
                .iter()
                .filter(|target| !self.has_service(&target.service))
            {
                let wrong = ValidationError::new(
                    called(&key),
                    format!("names the service {service}, which is unknown"),
                );
                inconsistencies.push(Inconsistency {
                    of: vec![key.clone()],
                    unknown: Some(service.clone()),
                    wrong,
                });
            }
            places
                .entry((&route.hostname, &route.prefix))
                .or_default()
                .push(route);
        }
        for ((host, prefix), routes) in places.into_iter().filter(|(_, routes)| routes.len() > 1) {
            let of = routes
                .iter()
                .map(|route| ItemKey {
                    kind: ItemKind::Route,
                    name: route.name.clone(),
                })
                .collect();
            let what = format!(
                "has the host {host} and the prefix {prefix} of route {}",
                routes[0].name
            );
            let wrong = ValidationError::new(format!("route {}", routes[1].name), what);
            inconsistencies.push(Inconsistency {
                of,
                unknown: None,
                wrong,
            });
        }
        inconsistencies
    }
}

impl FromIterator<Item> for Configuration {
    fn from_iter<T: IntoIterator<Item = Item>>(items: T) -> Configuration {
        let mut configuration = Configuration::new();
        for item in items {
            configuration.merge(item);
        }
        configuration
    }
}
