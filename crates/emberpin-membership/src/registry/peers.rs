//! The other registries: connections to them, contact with them by heartbeats, and requests for their instances when
//! digests differ.

use super::replication::RecordSource;
use super::{Action, Registry};
use crate::clock::Timestamp;
use crate::ids::{Digest, Nonce};
use crate::lease::Lease;
use crate::peers::{record_batches, ProxyIdentity, RegistryMessage};
use crate::timing::{PEER_HEARTBEAT_INTERVAL, REGISTRY_LEASE_DURATION};
use std::collections::btree_map::Entry;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The maximum number of peers in addition to the voters' registries. They run on machines that are about to join.
const MAX_NON_VOTING_PEERS: usize = 16;
/// A peer that does not belong to a voter is dropped after this time without contact.
const NON_VOTING_PEER_TIMEOUT: Duration = Duration::from_millis(60_000);

/// The state that this registry keeps about another one.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// The zone of its machine; empty until its hello has arrived.
    pub(super) zone: String,
    /// Whether its state was confirmed by a majority when it last reported.
    pub(super) is_confirmed: bool,
    /// The lease on its state: the peer was running at the time [`Lease::confirmed_at`], and all that it had to report
    /// until then has been received.
    pub(super) lease: Lease,
    /// When it became known. A non-voting peer that never answers is dropped some time after that.
    known_since: Timestamp,
    /// Whether the connection to it is open.
    pub(super) is_connected: bool,
    /// When the instances that it owns were last requested because the digests differed.
    owned_requested_at: Timestamp,
    /// The proxies that have a session with it.
    pub(super) proxies: Vec<ProxyIdentity>,
}

impl Peer {
    fn new(now: Timestamp) -> Peer {
        Peer {
            known_since: now,
            ..Peer::default()
        }
    }

    /// Whether it has reported all its state no longer than [`REGISTRY_LEASE_DURATION`] ago.
    pub(super) fn is_in_contact(&self, now: Timestamp) -> bool {
        self.lease.is_valid(now, REGISTRY_LEASE_DURATION)
    }
}

impl Registry {
    /// Connects to the registries of the voters, and drops other peers that have been without contact for
    /// `NON_VOTING_PEER_TIMEOUT`.
    pub(super) fn update_peers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let registries = self.voting_registries();
        for address in &registries {
            if *address == self.config.address {
                continue;
            }
            if let Entry::Vacant(vacant) = self.peers.entry(*address) {
                vacant.insert(Peer::new(now));
                actions.push(Action::ConnectPeer { peer: *address });
            }
        }
        self.peers.retain(|address, peer| {
            let confirmed_at = peer.lease.confirmed_at().unwrap_or(Timestamp::ZERO);
            let last_contact = confirmed_at.max(peer.known_since);
            let is_kept = registries.contains(address)
                || now.duration_since(last_contact) < NON_VOTING_PEER_TIMEOUT;
            if !is_kept {
                actions.push(Action::DisconnectPeer { peer: *address });
            }
            is_kept
        });
    }

    /// Sends the whole table over a new connection, then the shutdowns that wait for acknowledgements, then a
    /// heartbeat.
    pub(super) fn on_peer_connected(
        &mut self,
        now: Timestamp,
        address: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.is_connected = true;
        let (confirmed, proxies) = (self.is_confirmed(now), self.own_proxies());
        let records = self.instances.records_for_new_peer(now);
        for instances in record_batches(records) {
            let hello = RegistryMessage::Hello {
                zone: self.config.zone.clone(),
                confirmed,
                instances,
                proxies: proxies.clone(),
            };
            actions.push(Action::SendToPeers {
                peers: vec![address],
                message: hello,
            });
        }
        self.resend_pending_shutdowns(now, address, actions);
        self.send_heartbeat(now, address, actions);
    }

    pub(super) fn on_peer_disconnected(&mut self, address: Ipv4Addr) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.is_connected = false;
        for pending in &mut self.pending_shutdowns {
            pending.on_peer_disconnected(address);
        }
    }

    pub(super) fn on_peer_message(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        message: RegistryMessage,
        actions: &mut Vec<Action>,
    ) {
        if from == self.config.address || !self.admit_peer(now, from, actions) {
            return;
        }
        match message {
            RegistryMessage::Hello {
                zone,
                confirmed,
                instances,
                proxies,
            } => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.zone = zone;
                    peer.is_confirmed = confirmed;
                }
                self.on_proxy_sessions(now, from, proxies);
                self.merge_records(now, from, instances, RecordSource::Table, actions);
            }
            RegistryMessage::Changed { ack_id, instances } => {
                self.on_changed(now, from, ack_id, instances, actions);
            }
            RegistryMessage::Heartbeat {
                confirmed,
                nonce,
                digest,
            } => self.on_peer_heartbeat(now, from, confirmed, nonce, digest, actions),
            RegistryMessage::HeartbeatAck { nonce } => self.on_heartbeat_ack(now, from, nonce),
            RegistryMessage::FetchOwned => self.on_fetch_owned(now, from, actions),
            RegistryMessage::OwnedInstances { instances } => {
                self.on_owned_instances(now, from, instances, actions);
            }
            RegistryMessage::ProxySessions { proxies } => {
                self.on_proxy_sessions(now, from, proxies);
            }
        }
    }

    /// Adds the sender of a message as a peer unless there are too many. Returns whether it is a peer now.
    fn admit_peer(&mut self, now: Timestamp, from: Ipv4Addr, actions: &mut Vec<Action>) -> bool {
        if self.peers.contains_key(&from) {
            return true;
        }
        if self.peers.len() >= self.voting_registries().len() + MAX_NON_VOTING_PEERS {
            return false;
        }
        self.peers.insert(from, Peer::new(now));
        actions.push(Action::ConnectPeer { peer: from });
        true
    }

    /// Answers a heartbeat, and requests the instances that the sender owns if its digest differs.
    fn on_peer_heartbeat(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        confirmed: bool,
        nonce: Nonce,
        digest: Digest,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.is_confirmed = confirmed;
        actions.push(Action::SendToPeers {
            peers: vec![from],
            message: RegistryMessage::HeartbeatAck { nonce },
        });
        // At most one request per heartbeat interval, as the answer to the previous one may be in flight.
        let can_request = now.duration_since(peer.owned_requested_at) >= PEER_HEARTBEAT_INTERVAL;
        if self.instances.digest(from) != digest && can_request {
            peer.owned_requested_at = now;
            actions.push(Action::SendToPeers {
                peers: vec![from],
                message: RegistryMessage::FetchOwned,
            });
        }
    }

    fn on_heartbeat_ack(&mut self, now: Timestamp, from: Ipv4Addr, nonce: Nonce) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if self.guards.lease_from_query {
            peer.lease.on_answer(nonce, Some(Duration::ZERO));
        } else {
            peer.lease.on_answer_from_arrival(now, Some(Duration::ZERO));
        }
    }

    fn on_proxy_sessions(&mut self, now: Timestamp, from: Ipv4Addr, proxies: Vec<ProxyIdentity>) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.proxies = proxies;
        }
        self.count_proxies(now);
    }

    /// Sends a heartbeat to one peer. It is also the query whose answer renews the lease on the peer.
    pub(super) fn send_heartbeat(
        &mut self,
        now: Timestamp,
        address: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let confirmed = self.is_confirmed(now);
        let digest = self.instances.digest(self.config.address);
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let message = RegistryMessage::Heartbeat {
            confirmed,
            nonce: peer.lease.begin_query(now),
            digest,
        };
        actions.push(Action::SendToPeers {
            peers: vec![address],
            message,
        });
    }

    /// The peers to which the connection is open.
    pub(super) fn connected_peers(&self) -> Vec<Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_connected)
            .map(|(address, _)| *address)
            .collect()
    }
}
