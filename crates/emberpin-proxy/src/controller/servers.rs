//! Notifies the services' decision modules of changes of server instances.

use super::Controller;
use crate::random_seed::random_seed;
use crate::service::{Endpoint, Service};
use emberpin_balancer::ServerId;

impl Controller {
    /// Notifies the decision modules of all changes of server instances since the last call.
    pub(super) fn apply_endpoint_changes(&mut self) {
        for change in self.router.endpoints.take_changes() {
            let now = self.now();
            let admitted = self
                .router
                .slow_start_admits(&change.service, &change.id, now);
            if self.router.endpoints.is_warming_up(now, &change.id) {
                self.warming_instances.insert(change.id.clone());
            }
            let zone = self.zones.index_of(&change.zone);
            let name = change.service.clone();
            if !self.services.contains_key(&name) {
                let service = self.new_service();
                self.services.insert(name.clone(), service);
            }
            if let Some(service) = self.services.get_mut(&name) {
                service.update_endpoint(Endpoint {
                    change,
                    zone,
                    admitted,
                });
            }
            self.record_sent_attempts(&name);
        }
    }

    fn new_service(&self) -> Service {
        let mut service = Service::new(
            self.pool.clone(),
            self.inputs.clone(),
            random_seed(),
            self.started_at,
        );
        service.set_proxy_count(self.proxy_count);
        service
    }

    /// Handles a response with status 421: another process has the instance's address. The instance gets no requests
    /// until a registry sends a later heartbeat of it.
    pub(super) fn on_request_misdirected(&mut self, service: &str, server: ServerId) {
        let instance = self
            .services
            .get(service)
            .and_then(|service| service.instance_id(server));
        if let Some(instance) = instance {
            self.router.endpoints.mark_misdirected(instance);
        }
        self.apply_endpoint_changes();
    }
}
