//! The acknowledgement of drains and exits of servers. A drain or exit is acknowledged only once a majority of the
//! registries has it on disk, so that it remains known whichever machine fails afterwards, and if all processes are
//! killed at once.

use super::{Action, Registry, ServerReply};
use crate::clock::Timestamp;
use crate::ids::{AckId, CallId, WriteNumber};
use crate::instance::Status;
use crate::peers::{Ack, RegistryMessage};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// How long the reply to a shutdown waits for the acknowledgements of all connected registries, each of which notifies
/// its proxies. After that, a majority suffices.
const ALL_PEERS_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the reply to a shutdown waits for a majority. Shorter than the second after which the server tries another
/// registry.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(600);

/// A server's drain or exit that waits for the acknowledgements of the peers.
#[derive(Clone, Debug)]
pub(super) struct PendingShutdown {
    call: CallId,
    instance_id: String,
    /// The status that the server had reported when the call arrived.
    status: Status,
    ack_id: AckId,
    /// The write to this registry's own disk that contains the shutdown.
    own_write: WriteNumber,
    waiting_since: Timestamp,
    /// The connected peers that have not acknowledged it yet.
    awaited: BTreeSet<Ipv4Addr>,
    acknowledged_by: BTreeSet<Ipv4Addr>,
}

impl PendingShutdown {
    /// When the shutdown must be checked again if no acknowledgement comes first.
    pub(super) fn deadline(&self, now: Timestamp) -> Timestamp {
        if now.duration_since(self.waiting_since) < ALL_PEERS_TIMEOUT {
            self.waiting_since + ALL_PEERS_TIMEOUT
        } else {
            self.waiting_since + MAJORITY_TIMEOUT
        }
    }

    pub(super) fn on_peer_disconnected(&mut self, peer: Ipv4Addr) {
        self.awaited.remove(&peer);
    }

    fn on_acknowledged(&mut self, peer: Ipv4Addr) {
        self.awaited.remove(&peer);
        self.acknowledged_by.insert(peer);
    }
}

impl Registry {
    /// Sends a drain or exit to all connected peers. The reply to the server waits for their acknowledgements.
    pub(super) fn await_majority(
        &mut self,
        now: Timestamp,
        call: CallId,
        instance_id: String,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.instances.get(&instance_id) else {
            return;
        };
        let (record, status) = (entry.record(now), entry.reported_status());
        self.last_ack_id = self.last_ack_id.wrapping_add(1);
        let ack_id = AckId(self.last_ack_id);
        let peers = self.connected_peers();
        let awaited = peers.iter().copied().collect();
        if !peers.is_empty() {
            actions.push(Action::SendToPeers {
                peers,
                message: RegistryMessage::Changed {
                    ack_id: Some(ack_id),
                    instances: vec![record],
                },
            });
        }
        self.pending_shutdowns.push(PendingShutdown {
            call,
            instance_id,
            status,
            ack_id,
            own_write: self.shutdown_log.covering_write(),
            waiting_since: now,
            awaited,
            acknowledged_by: BTreeSet::new(),
        });
    }

    /// Sends the pending shutdowns to a peer that has just connected.
    pub(super) fn resend_pending_shutdowns(
        &mut self,
        now: Timestamp,
        peer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        for pending in &mut self.pending_shutdowns {
            let Some(entry) = self.instances.get(&pending.instance_id) else {
                continue;
            };
            actions.push(Action::SendToPeers {
                peers: vec![peer],
                message: RegistryMessage::Changed {
                    ack_id: Some(pending.ack_id),
                    instances: vec![entry.record(now)],
                },
            });
            pending.awaited.insert(peer);
        }
    }

    pub(super) fn on_peer_acknowledged(&mut self, peer: Ipv4Addr, ack: Ack) {
        for pending in &mut self.pending_shutdowns {
            if pending.ack_id == ack.ack_id {
                pending.on_acknowledged(peer);
            }
        }
    }

    /// Replies to the servers whose shutdown has been acknowledged by a majority, or has timed out.
    pub(super) fn check_pending_shutdowns(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for pending in std::mem::take(&mut self.pending_shutdowns) {
            let waited = now.duration_since(pending.waiting_since);
            if self.is_acknowledged(&pending, waited) {
                self.acknowledge_shutdown(now, &pending, actions);
            } else if waited >= MAJORITY_TIMEOUT {
                actions.push(Action::Reply {
                    call: pending.call,
                    reply: ServerReply::NotAcknowledged,
                });
            } else {
                self.pending_shutdowns.push(pending);
            }
        }
    }

    /// Whether a majority has the shutdown on disk, and either this registry and all connected peers have or
    /// `ALL_PEERS_TIMEOUT` has passed.
    fn is_acknowledged(&self, pending: &PendingShutdown, waited: Duration) -> bool {
        if !self.guards.majority_acknowledgement {
            return true;
        }
        let is_on_own_disk =
            self.shutdown_log.is_synced(pending.own_write) || !self.guards.durable_shutdowns;
        let has_majority = self.is_majority(|registry| {
            if *registry == self.config.address {
                is_on_own_disk
            } else {
                pending.acknowledged_by.contains(registry)
            }
        });
        let has_all = is_on_own_disk && pending.awaited.is_empty();
        has_majority && (has_all || waited >= ALL_PEERS_TIMEOUT)
    }

    fn acknowledge_shutdown(
        &mut self,
        now: Timestamp,
        pending: &PendingShutdown,
        actions: &mut Vec<Action>,
    ) {
        let id = &pending.instance_id;
        self.instances.mark_replicated(id, pending.status);
        let zone = self.instances.instance(now, id).zone;
        let reply = ServerReply::Acknowledged {
            heartbeat_target: self.heartbeat_target(now, id, &zone),
        };
        actions.push(Action::Reply {
            call: pending.call,
            reply,
        });
    }
}
