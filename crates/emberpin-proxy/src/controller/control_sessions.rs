//! Control sessions: what registries send, and when it makes this proxy ready.

use super::Controller;
use crate::command::SessionId;
use emberpin_config::Item;
use emberpin_membership::instance::Instance;
use emberpin_membership::session::ToProxy;
use std::collections::BTreeSet;

/// Which sessions have received everything that their registry knows.
#[derive(Default)]
pub(super) struct SessionSync {
    /// Sessions that have received a whole snapshot, or all changes since one.
    synced: BTreeSet<SessionId>,
    /// Sessions that resumed at the revision of an earlier one and have received nothing yet. Their first changes lead
    /// up to the registry's present state.
    resuming: BTreeSet<SessionId>,
}

impl SessionSync {
    pub(super) fn started(&mut self, session: SessionId, resumed: bool) {
        self.ended(session);
        if resumed {
            self.resuming.insert(session);
        }
    }

    pub(super) fn ended(&mut self, session: SessionId) {
        self.synced.remove(&session);
        self.resuming.remove(&session);
    }

    fn received_last_part(&mut self, session: SessionId) {
        self.synced.insert(session);
    }

    fn received_changes(&mut self, session: SessionId) {
        if self.resuming.remove(&session) {
            self.synced.insert(session);
        }
    }

    fn is_synced(&self, session: SessionId) -> bool {
        self.synced.contains(&session)
    }
}

impl Controller {
    /// Applies what a registry has sent.
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

    /// Takes the number of proxies that share the servers, and declares this one ready once a confirmed session has
    /// received everything: a new process must not serve what is older than what a majority of the core holds.
    pub(super) fn on_session_confirmed(&mut self, session: SessionId, proxy_count: u32) {
        if proxy_count != self.proxy_count {
            self.proxy_count = proxy_count;
            self.services
                .values_mut()
                .for_each(|service| service.set_proxy_count(proxy_count));
        }
        self.router.set_proxy_count(self.now(), proxy_count);
        let has_configuration = !self.configuration.is_empty() && !self.services.is_empty();
        if self.session_sync.is_synced(session) && has_configuration && !self.published.set_ready()
        {
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
        // An instance that a registry does not name is kept: another registry may know it. Removals are sent by name.
        self.router.endpoints.update(now, instances);
        self.apply_endpoint_changes();
        for instance in instances.iter().filter(|instance| instance.cold_ms > 0) {
            self.refresh_slow_start(&instance.id);
        }
    }
}
