//! The sessions of proxies: how a proxy is brought up to date when its session opens, receives changes, and renews its
//! lease; and how proxies are counted.

use super::snapshot::SnapshotPart;
use super::{Action, Registry};
use crate::change_log::Change;
use crate::clock::Timestamp;
use crate::ids::{Nonce, SessionId};
use crate::instance::{Instance, Status};
use crate::peers::ProxyIdentity;
use crate::session::{FromProxy, Revision, SnapshotCursor, ToProxy};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// How long a proxy is still counted after its last session has ended, as it may go on routing requests meanwhile.
const PROXY_RETENTION: Duration = Duration::from_millis(30_000);

/// A proxy's session with this registry.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) proxy: ProxyIdentity,
    /// The revision up to which every change is in force at the proxy, as it last reported.
    pub(super) applied: Option<Revision>,
    /// When the last message of the proxy arrived.
    pub(super) last_message_at: Timestamp,
}

impl Registry {
    pub(super) fn on_proxy_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: FromProxy,
        actions: &mut Vec<Action>,
    ) {
        match message {
            FromProxy::Hello {
                incarnation,
                name,
                zone,
                resume_from,
                instances,
            } => {
                let proxy = ProxyIdentity {
                    incarnation,
                    name,
                    zone,
                };
                self.on_session_opened(now, session, proxy, resume_from, instances, actions);
            }
            FromProxy::KeepAlive { applied, nonce } => {
                self.on_keep_alive(now, session, applied, nonce, actions);
            }
            FromProxy::FetchSnapshotPart { after } => {
                self.on_fetch_snapshot_part(now, session, &after, actions);
            }
        }
    }

    fn on_session_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        proxy: ProxyIdentity,
        resume_from: Option<Revision>,
        instances: Vec<Instance>,
        actions: &mut Vec<Action>,
    ) {
        let instances = if self.guards.repair_from_proxies {
            instances
        } else {
            Vec::new()
        };
        let outdated = self.repair_from_proxy(now, instances, actions);
        self.send_initial_state(now, session, resume_from, outdated, actions);
        self.proxies_seen.insert(proxy.name.clone(), now);
        self.sessions.insert(
            session,
            Session {
                proxy,
                applied: None,
                last_message_at: now,
            },
        );
        self.sessions_changed = true;
    }

    fn on_keep_alive(
        &mut self,
        now: Timestamp,
        session: SessionId,
        applied: Option<Revision>,
        nonce: Nonce,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            actions.push(Action::CloseSession { session });
            return;
        };
        known.last_message_at = now;
        known.applied = applied;
        let message = self.confirmation(now, nonce);
        actions.push(Action::SendToProxies {
            sessions: vec![session],
            message,
        });
    }

    /// The answer to a keep-alive with this nonce.
    fn confirmation(&self, now: Timestamp, nonce: Nonce) -> ToProxy {
        let age = self.confirmed_age(now);
        // A registry that can confirm nothing names every peer: the proxy may know no other registry.
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| age.is_none() || peer.is_in_contact(now))
            .map(|(address, _)| *address);
        let registries: Vec<Ipv4Addr> = peers.chain([self.config.address]).collect();
        let proxies = u32::try_from(self.proxies_seen.len()).unwrap_or(u32::MAX);
        ToProxy::Confirmation {
            nonce,
            age,
            proxies,
            registries,
        }
    }

    fn on_fetch_snapshot_part(
        &mut self,
        now: Timestamp,
        session: SessionId,
        after: &SnapshotCursor,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            actions.push(Action::CloseSession { session });
            return;
        };
        known.last_message_at = now;
        let SnapshotPart {
            items,
            instances,
            next_part,
        } = self.snapshot_part(now, Some(after));
        let message = ToProxy::SnapshotPart {
            items,
            instances,
            next_part,
        };
        actions.push(Action::SendToProxies {
            sessions: vec![session],
            message,
        });
    }

    pub(super) fn on_session_closed(&mut self, session: SessionId) {
        self.sessions_changed |= self.sessions.remove(&session).is_some();
    }

    /// Brings a proxy from the revision `resume_from` to that of the change log: by the changes since then, or by a
    /// snapshot if the log does not reach back that far. Either message also corrects the proxy's status of the
    /// `outdated` instances.
    fn send_initial_state(
        &mut self,
        now: Timestamp,
        session: SessionId,
        resume_from: Option<Revision>,
        outdated: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        let no_changes_if_unchecked = (!self.guards.revision_check).then(BTreeSet::new);
        let changes = resume_from
            .and_then(|revision| self.change_log.since(revision).or(no_changes_if_unchecked));
        let message = match changes {
            Some(mut changes) => {
                changes.extend(outdated.into_iter().map(Change::Instance));
                self.changes_message(now, changes)
            }
            None => self.snapshot_message(now, &outdated),
        };
        actions.push(Action::SendToProxies {
            sessions: vec![session],
            message,
        });
    }

    /// The first part of a snapshot, with those of the `outdated` instances that are removed: a snapshot lists no other
    /// removed instances.
    fn snapshot_message(&self, now: Timestamp, outdated: &[String]) -> ToProxy {
        let SnapshotPart {
            items,
            mut instances,
            next_part,
        } = self.snapshot_part(now, None);
        let removed = outdated
            .iter()
            .map(|id| self.instances.instance(now, id))
            .filter(|instance| instance.status == Status::Removed);
        instances.extend(removed);
        ToProxy::Snapshot {
            revision: self.change_log.revision(),
            items,
            instances,
            complete: self.is_complete(now),
            next_part,
        }
    }

    /// The message with the current state of the changed entries, which brings a proxy to the revision of the change
    /// log.
    fn changes_message(&self, now: Timestamp, changes: BTreeSet<Change>) -> ToProxy {
        let (mut items, mut instances) = (Vec::new(), Vec::new());
        for change in changes {
            match change {
                Change::Item(key) => items.extend(self.items.get(&key).cloned()),
                Change::Instance(id) => instances.push(self.instances.instance(now, &id)),
            }
        }
        ToProxy::Changes {
            revision: self.change_log.revision(),
            items,
            instances,
        }
    }

    /// Sends the changes that have not been sent yet to all sessions, in one message.
    pub(super) fn send_unsent_changes(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let changes = self.change_log.take_unsent();
        if self.sessions.is_empty() {
            return;
        }
        let message = self.changes_message(now, changes);
        actions.push(Action::SendToProxies {
            sessions: self.sessions.keys().copied().collect(),
            message,
        });
    }

    /// The proxies that have a session with this registry.
    pub(super) fn own_proxies(&self) -> Vec<ProxyIdentity> {
        self.sessions
            .values()
            .map(|session| session.proxy.clone())
            .collect()
    }

    /// Records all proxies that have a session with this registry or with a peer in contact. A count that is too high
    /// does no harm; with one that is too low, the proxies would exceed the limits that they share.
    pub(super) fn count_proxies(&mut self, now: Timestamp) {
        let peers = self.peers.values().filter(|peer| peer.is_in_contact(now));
        let peer_proxies = peers
            .flat_map(|peer| &peer.proxies)
            .map(|proxy| &proxy.name);
        let own = self.sessions.values().map(|session| &session.proxy.name);
        for name in peer_proxies.chain(own) {
            match self.proxies_seen.get_mut(name) {
                Some(seen_at) => *seen_at = now,
                None => _ = self.proxies_seen.insert(name.clone(), now),
            }
        }
        self.proxies_seen
            .retain(|_, seen_at| now.duration_since(*seen_at) < PROXY_RETENTION);
    }
}
