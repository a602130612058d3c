//! Servers have changed.

use super::Controller;
use crate::random::drawn;
use crate::service::Service;

impl Controller {
    /// Tells the modules what has changed about servers.
    pub(super) fn apply_changes(&mut self) {
        for change in self.router.endpoints.take_changes() {
            let now = self.now();
            let bears = self
                .router
                .slow_start_admits(&change.service, &change.id, now);
            if self.router.endpoints.is_warming_up(now, &change.id) {
                self.cold.insert(change.id.clone());
            }
            let zone = self.zone(&change.zone);
            let name = change.service.clone();
            if !self.services.contains_key(&name) {
                let mut service =
                    Service::new(self.pool.clone(), self.inputs.clone(), drawn(), self.begun);
                service.shared_by(self.limiters);
                self.services.insert(name.clone(), service);
            }
            if let Some(service) = self.services.get_mut(&name) {
                service.change(change, zone, bears);
            }
            self.follow_up(&name);
        }
    }

    /// The number of a zone, this limiter's own being 0.
    pub(super) fn zone(&mut self, name: &str) -> usize {
        if let Some(at) = self.zones.iter().position(|zone| zone == name) {
            return at;
        }
        self.zones.push(name.to_string());
        self.zones.len() - 1
    }
}
