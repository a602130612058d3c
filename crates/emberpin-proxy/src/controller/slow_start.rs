//! Slow start: servers that are warming up get requests at a bounded rate, of which this proxy has a share.

use super::Controller;
use crate::service::Endpoint;

impl Controller {
    /// Checks all warming instances again: their shares are per second, so the passing of time alone may admit a
    /// request.
    pub(super) fn refresh_warming_instances(&mut self) {
        for id in self.warming_instances.clone() {
            self.refresh_slow_start(&id);
        }
    }

    /// Checks all instances that are warming up now, including those that were warm before: the servers of a zone have
    /// to warm up again when its evacuation ends.
    pub(super) fn refresh_after_evacuation(&mut self) {
        let now = self.now();
        let instances: Vec<String> = self
            .router
            .endpoints
            .known_instances(now)
            .into_iter()
            .map(|instance| instance.id)
            .collect();
        for id in instances {
            if self.router.endpoints.is_warming_up(now, &id) {
                self.refresh_slow_start(&id);
            }
        }
    }

    /// Checks whether this proxy may send a request to an instance that is or was warming up, and notifies the
    /// service's decision module if that has changed.
    pub(super) fn refresh_slow_start(&mut self, id: &str) {
        let now = self.now();
        if self.router.endpoints.is_warming_up(now, id) {
            self.warming_instances.insert(id.to_string());
        } else {
            self.warming_instances.remove(id);
        }
        let Some(instance) = self.router.endpoints.instance(id) else {
            return;
        };
        let name = instance.service.clone();
        let admitted = self.router.slow_start_admits(&name, id, now);
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        let Some(known) = service.endpoint(id) else {
            return;
        };
        if known.admitted != admitted {
            let endpoint = Endpoint {
                admitted,
                ..known.clone()
            };
            service.update_endpoint(endpoint);
        }
    }
}
