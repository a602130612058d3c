//! What registries tell.

use super::Controller;
use emberpin_config::Item;
use emberpin_membership::instance::Instance;
use emberpin_membership::session::ToLimiter;

impl Controller {
    pub(super) fn hear(&mut self, session: usize, message: ToLimiter) {
        match message {
            ToLimiter::Snapshot {
                items,
                instances,
                next_part,
                ..
            }
            | ToLimiter::SnapshotPart {
                items,
                instances,
                next_part,
            } => {
                self.learn(items, &instances);
                if next_part.is_none() {
                    self.told.insert(session);
                }
            }
            ToLimiter::Changes {
                items, instances, ..
            } => {
                self.learn(items, &instances);
                // Where a session goes on from a place up to which this registry had told everything, it knows all now.
                if self.resumed.remove(&session) {
                    self.told.insert(session);
                }
            }
            // Is the session's own concern, which says what of it is confirmed.
            ToLimiter::Confirmation { .. } => {}
        }
    }

    /// What a session has told is as young as it is to be.
    pub(super) fn confirmed(&mut self, session: usize, limiters: u32) {
        if limiters != self.limiters {
            self.limiters = limiters;
            self.services
                .values_mut()
                .for_each(|service| service.shared_by(limiters));
        }
        self.router.set_limiter_count(self.now(), limiters);
        // Guards a new instance against serving what is older than a majority's word.
        let knows = !self.configuration.is_empty() && !self.services.is_empty();
        if self.told.contains(&session) && knows && !self.view.ready.replace(true) {
            log::info!("ready, with {} items", self.configuration.len());
        }
    }

    pub(super) fn learn(&mut self, items: Vec<Item>, instances: &[Instance]) {
        let mut changed = false;
        for item in items {
            changed |= self.configuration.merge(item);
        }
        if changed {
            self.configure();
        }
        let now = self.now();
        // What a registry does not name is kept: it may be behind another one. Who is gone is told by name.
        self.router.endpoints.update(now, instances);
        self.apply_changes();
        for instance in instances.iter().filter(|instance| instance.cold_ms > 0) {
            self.look_at(&instance.id);
        }
    }
}
