//! Applies configuration changes: routes, warm-up profiles, evacuated zones and client limits.

use super::limits::client_limits;
use super::Controller;
use emberpin_config::{effective_routes, Item, ItemKind, Limits, Service as ServiceItem};
use emberpin_routing::{Route, WarmupProfile};
use std::collections::{BTreeSet, HashMap, HashSet};

impl Controller {
    /// Applies the merged configuration. Routes are replaced first, as the updates of requests in flight and the
    /// freeing of traffic classes depend on the new ones.
    pub(super) fn apply_configuration(&mut self) {
        let routes: Vec<Route> = effective_routes(&self.configuration);
        self.retain_split_draws(&routes);
        self.router.routes.replace(routes);
        self.update_in_flight_routes();
        let mut warmup_profiles = HashMap::new();
        let mut evacuated_zones = BTreeSet::new();
        for item in self.configuration.live() {
            match item.key.kind {
                ItemKind::Service => warmup_profiles.extend(warmup_profile(item)),
                ItemKind::Evacuation => _ = evacuated_zones.insert(item.key.name.clone()),
                ItemKind::Limits => {
                    if let Ok(limits) = Limits::from_item(item) {
                        self.apply_limits(&limits);
                    }
                }
                ItemKind::Route
                | ItemKind::Roster
                | ItemKind::History
                | ItemKind::Checkpoint
                | ItemKind::Register => {}
            }
        }
        self.free_unused(&warmup_profiles);
        self.router.endpoints.set_warmup_profiles(warmup_profiles);
        self.apply_evacuations(evacuated_zones);
    }

    /// Drops the draw sequences of routes that are no longer in force.
    fn retain_split_draws(&mut self, routes: &[Route]) {
        let names: BTreeSet<&str> = routes.iter().map(|route| route.name.as_str()).collect();
        self.split_draws
            .retain(|name, _| names.contains(name.as_str()));
    }

    fn apply_limits(&self, limits: &Limits) {
        self.published
            .set_size_limits(limits.max_header_bytes, limits.max_body_bytes);
        self.client_listener.set_limits(client_limits(limits));
    }

    fn apply_evacuations(&mut self, zones: BTreeSet<String>) {
        let any_evacuation_ended = self
            .evacuated_zones
            .iter()
            .any(|zone| !zones.contains(zone));
        self.evacuated_zones.clone_from(&zones);
        self.router.endpoints.set_evacuated_zones(self.now(), zones);
        self.apply_endpoint_changes();
        if any_evacuation_ended {
            self.refresh_after_evacuation();
        }
    }

    /// Frees services that neither the configuration nor a request in flight refers to, and traffic classes that no
    /// route in force uses and no request in flight holds. Otherwise, every change of a route's time limits would leave
    /// an unused class behind.
    fn free_unused(&mut self, listed_services: &HashMap<String, WarmupProfile>) {
        let mut routes: HashMap<&str, Vec<&Route>> = HashMap::new();
        for route in self.router.routes.iter() {
            for target in &route.targets {
                routes.entry(&target.service).or_default().push(route);
            }
        }
        let in_flight = self.in_flight.values();
        let awaited: HashSet<&str> = in_flight.map(|request| request.service.as_str()).collect();
        self.services.retain(|name, service| {
            listed_services.contains_key(name)
                || !service.is_empty()
                || routes.contains_key(name.as_str())
                || awaited.contains(name.as_str())
        });
        for (name, service) in &mut self.services {
            service.retain_classes(routes.get(name.as_str()).into_iter().flatten().copied());
        }
    }
}

/// A service's name, with the duration of its servers' warm-up after their start and the request rate meanwhile. `None`
/// if the item is not a valid service.
fn warmup_profile(item: &Item) -> Option<(String, WarmupProfile)> {
    let service = ServiceItem::from_item(item).ok()?;
    let profile = WarmupProfile {
        duration: service.warmup,
        requests_per_second: service.warmup_requests_per_s,
    };
    Some((service.name, profile))
}
