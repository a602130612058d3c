//! Registry sessions: applies the updates that registries send, and marks this proxy as ready once it has received a
//! whole snapshot in a confirmed session.

use super::Controller;
use crate::command::SessionId;
use emberpin_config::Item;
use emberpin_membership::instance::Instance;
use emberpin_membership::session::ToProxy;

impl Controller {
    /// Applies a message of a registry.
    pub(super) fn on_registry_update(&mut self, session: SessionId, message: ToProxy) {
        match message {
            ToProxy::Snapshot {
                items,
                instances,
                next_part,
                ..
            }
            | ToProxy::SnapshotPart {
                items,
                instances,
                next_part,
            } => {
                self.apply_update(items, &instances);
                if next_part.is_none() {
                    self.session_sync.received_last_part(session);
                }
            }
            ToProxy::Changes {
                items, instances, ..
            } => {
                self.apply_update(items, &instances);
                self.session_sync.received_changes(session);
            }
            // The session handles it, and sends `Command::SessionConfirmed`.
            ToProxy::Confirmation { .. } => {}
        }
    }

    /// Records the number of proxies that share the servers, and marks this one as ready once a confirmed session has
    /// received its registry's whole state: a new process must not serve from a state older than that of a majority of
    /// the stores and registries.
    pub(super) fn on_session_confirmed(&mut self, session: SessionId, proxy_count: u32) {
        if proxy_count != self.proxy_count {
            self.proxy_count = proxy_count;
            self.services
                .values_mut()
                .for_each(|service| service.set_proxy_count(proxy_count));
        }
        self.router.set_proxy_count(self.now(), proxy_count);
        if !self.session_sync.is_synced(session) || self.configuration.is_empty() {
            return;
        }
        self.has_whole_configuration = true;
        if !self.services.is_empty() && !self.published.test_and_set_ready() {
            let items = self.configuration.len();
            log::info!("proxy is ready: session={session} configuration_items={items}");
        }
    }

    fn apply_update(&mut self, items: Vec<Item>, instances: &[Instance]) {
        let mut changed = false;
        for item in items {
            changed |= self.configuration.merge(item);
        }
        if changed {
            self.apply_configuration();
        }
        let now = self.now();
        // An instance that is absent from the update is kept, as another registry may know it. Removals are sent
        // explicitly.
        self.router.endpoints.update(now, instances);
        self.apply_endpoint_changes();
        for instance in instances
            .iter()
            .filter(|instance| !instance.warmup_left.is_zero())
        {
            self.refresh_slow_start(&instance.id);
        }
    }
}
