//! Cold servers.

use super::Controller;

impl Controller {
    pub(super) fn look_at_cold(&mut self) {
        for id in self.cold.clone() {
            self.look_at(&id);
        }
    }

    /// Whether a server may get something from here, if it is or was cold.
    pub(super) fn look_at(&mut self, id: &str) {
        let now = self.now();
        if self.router.endpoints.is_warming_up(now, id) {
            self.cold.insert(id.to_string());
        } else {
            self.cold.remove(id);
        }
        let Some(instance) = self.router.endpoints.instance(id) else {
            return;
        };
        let name = instance.service.clone();
        let bears = self.router.slow_start_admits(&name, id, now);
        let known = self
            .services
            .get(&name)
            .and_then(|service| service.told(id));
        let Some(change) = known
            .filter(|(_, bore)| *bore != bears)
            .map(|(change, _)| change.clone())
        else {
            return;
        };
        let zone = self.zone(&change.zone);
        if let Some(service) = self.services.get_mut(&name) {
            service.change(change, zone, bears);
        }
    }
}
