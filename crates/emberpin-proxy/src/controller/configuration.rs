//! The configuration has changed.

use super::limits::client_limits;
use super::Controller;
use emberpin_config::{effective_routes, ItemKind, Limits, Service as Listed};
use emberpin_routing::{Route, WarmupProfile};
use std::collections::{BTreeSet, HashMap};

impl Controller {
    /// The configuration has changed.
    pub(super) fn configure(&mut self) {
        let routes: Vec<Route> = effective_routes(&self.configuration);
        self.router.routes.replace(routes);
        self.follow_routes();
        let mut warmth = HashMap::new();
        let mut evacuated = BTreeSet::new();
        for item in self.configuration.live() {
            match item.key.kind {
                ItemKind::Service => {
                    if let Ok(listed) = Listed::from_item(item) {
                        warmth.insert(
                            listed.name,
                            WarmupProfile {
                                duration: listed.warmup,
                                requests_per_second: listed.warmup_requests_per_s,
                            },
                        );
                    }
                }
                ItemKind::Evacuation => _ = evacuated.insert(item.key.name.clone()),
                ItemKind::Limits => {
                    if let Ok(limits) = Limits::from_item(item) {
                        self.view.body_max.set(limits.max_body_bytes);
                        self.view.head_max.set(limits.max_header_bytes);
                        self.reception.limit(client_limits(&limits));
                    }
                }
                ItemKind::Route | ItemKind::Roster | ItemKind::History | ItemKind::Checkpoint => {}
            }
        }
        self.free_unused(&warmth);
        self.router.endpoints.set_warmup_profiles(warmth);
        let returned = self.evacuated.iter().any(|zone| !evacuated.contains(zone));
        self.evacuated.clone_from(&evacuated);
        self.router
            .endpoints
            .set_evacuated_zones(self.now(), evacuated);
        self.apply_changes();
        if !returned {
            return;
        }
        let now = self.now();
        // A zone that has come back is cold.
        let instances: Vec<String> = self
            .router
            .endpoints
            .known_instances(now)
            .into_iter()
            .map(|instance| instance.id)
            .collect();
        for id in instances {
            if self.router.endpoints.is_warming_up(now, &id) {
                self.look_at(&id);
            }
        }
    }

    /// Frees what was kept for routes and services that there are no more.
    pub(super) fn free_unused(&mut self, listed: &HashMap<String, WarmupProfile>) {
        let mut routes: HashMap<&str, Vec<&Route>> = HashMap::new();
        for route in self.router.routes.iter() {
            for (target, _) in &route.targets {
                routes.entry(target).or_default().push(route);
            }
        }
        for going in self.requests.values() {
            routes.entry(&going.service).or_default().push(&going.route);
        }
        self.services.retain(|name, service| {
            listed.contains_key(name) || !service.is_empty() || routes.contains_key(name.as_str())
        });
        for (name, service) in &mut self.services {
            service.keep_classes(routes.get(name.as_str()).into_iter().flatten().copied());
        }
    }
}
