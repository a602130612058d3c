//! The state machine: the connections between this instance and its peers.
//!
//! Each instance opens one connection to each peer, and sends on that connection only; the accepting side only replies,
//! with acknowledgements. Two instances that connect to each other at the same time need no tie-break, and a one-way
//! partition shows at both ends: one receives no heartbeats, the other no acknowledgements.

mod failure_detection;
mod handshake;
mod session;

use crate::error::CloseReason;
use crate::event::{Action, Event};
use crate::frame::{encode_frame, FrameDecoder};
use crate::ids::{ConnectionId, Incarnation, MembershipEpoch};
use crate::message::{DecodeError, Message};
use crate::peer::{Liveness, OutgoingConnection, Peer, PeerState};
use crate::settings::Settings;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// An open connection.
#[derive(Clone, Debug)]
struct Connection {
    decoder: FrameDecoder,
    role: ConnectionRole,
}

/// Who opened a connection, and how far its handshake is.
#[derive(Clone, Debug)]
enum ConnectionRole {
    /// This instance opened it; its state is in [`Peer::outgoing`].
    Outgoing { peer: String },
    /// It was accepted, and its Hello is awaited.
    AwaitingHello {
        deadline: Timestamp,
        certificate_names: Option<Vec<String>>,
    },
    /// It was accepted from a peer whose handshake is complete.
    Incoming(IncomingSession),
}

impl ConnectionRole {
    /// Whether the connection leads to this peer, or was accepted from it.
    fn belongs_to(&self, name: &str) -> bool {
        match self {
            ConnectionRole::Outgoing { peer } => peer == name,
            ConnectionRole::Incoming(session) => session.peer == name,
            ConnectionRole::AwaitingHello { .. } => false,
        }
    }
}

/// The receiving side of a connection that a peer opened.
#[derive(Clone, Debug)]
struct IncomingSession {
    peer: String,
    /// Incarnation of the peer in its Hello.
    incarnation: Incarnation,
    /// Sequence number of the last data received; zero before the first.
    last_sequence: u64,
    /// When something was last received on this connection.
    last_received_at: Timestamp,
}

/// The connections of one instance with its peers.
#[derive(Clone, Debug)]
pub struct Peering {
    settings: Settings,
    /// The latest time passed in. If the host's clock steps back, it stays unchanged.
    now: Timestamp,
    peers: BTreeMap<String, Peer>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_heartbeat_at: Timestamp,
    /// A later incarnation of this instance is known; no connections are opened any more.
    superseded: bool,
}

impl Peering {
    /// Starts without connections; the first [`Event::Tick`] starts connecting to all peers.
    pub fn new(settings: Settings, now: Timestamp) -> Peering {
        let peers = settings
            .peers
            .iter()
            .map(|name| (name.clone(), Peer::new(now)))
            .collect();
        Peering {
            settings,
            now,
            peers,
            connections: BTreeMap::new(),
            next_heartbeat_at: now,
            superseded: false,
        }
    }

    /// This instance's incarnation, as it presents it in handshakes.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// Epoch of this instance's membership.
    pub fn epoch(&self) -> MembershipEpoch {
        self.settings.epoch
    }

    /// All peers by name, with their states.
    pub fn peers(&self) -> impl Iterator<Item = (&str, &PeerState)> {
        self.peers
            .iter()
            .map(|(name, peer)| (name.as_str(), &peer.state))
    }

    /// Handles an event, and appends the actions that it causes.
    pub fn handle_event(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Connected { connection, peer } => self.on_connected(connection, peer, actions),
            Event::ConnectFailed { peer } => self.on_connect_failed(&peer),
            Event::Accepted {
                connection,
                certificate_names,
            } => self.on_accepted(connection, certificate_names, actions),
            Event::Received { connection, bytes } => self.on_received(connection, &bytes, actions),
            Event::Closed { connection } => self.on_closed(connection, actions),
            Event::Send { peer, kind, body } => self.on_send(peer, kind, body, actions),
            Event::MembershipChanged { epoch, peers } => {
                self.on_membership_changed(epoch, peers, actions);
            }
            Event::Tick => self.on_tick(actions),
        }
    }

    fn on_received(&mut self, connection: ConnectionId, bytes: &[u8], actions: &mut Vec<Action>) {
        // Bytes of a connection that this side has closed are dropped.
        let Some(open) = self.connections.get_mut(&connection) else {
            return;
        };
        open.decoder.feed(bytes);
        // A message may close its own connection.
        while let Some(open) = self.connections.get_mut(&connection) {
            let message = match open.decoder.next_frame() {
                Ok(None) => return,
                Ok(Some(payload)) => Message::decode(&payload),
                Err(error) => {
                    return self.close(connection, CloseReason::FrameTooLong(error), actions)
                }
            };
            match message {
                Ok(message) => self.on_message(connection, message, actions),
                Err(DecodeError::UnknownOptionalKind(_)) => {}
                Err(error) => {
                    return self.close(connection, CloseReason::InvalidMessage(error), actions)
                }
            }
        }
    }

    fn on_message(
        &mut self,
        connection: ConnectionId,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.connections.get(&connection) else {
            return;
        };
        match &open.role {
            ConnectionRole::Outgoing { peer } => {
                let peer = peer.clone();
                self.on_reply(connection, &peer, message, actions);
            }
            ConnectionRole::AwaitingHello {
                certificate_names, ..
            } => {
                let certificate_names = certificate_names.clone();
                self.on_first_message(connection, certificate_names.as_deref(), message, actions);
            }
            ConnectionRole::Incoming(_) => {
                self.on_session_message(connection, message, actions);
            }
        }
    }

    /// Handles a message on a connection that this instance opened.
    fn on_reply(
        &mut self,
        connection: ConnectionId,
        peer_name: &str,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get(peer_name) else {
            return self.close(connection, CloseReason::NotAMember, actions);
        };
        match (&peer.outgoing, message) {
            (
                OutgoingConnection::Handshaking { .. },
                Message::Welcome {
                    version,
                    incarnation,
                    epoch,
                },
            ) => self.on_welcome(connection, peer_name, version, incarnation, epoch, actions),
            (OutgoingConnection::Handshaking { .. }, Message::Reject(reason)) => {
                self.on_reject(connection, peer_name, reason, actions);
            }
            (
                OutgoingConnection::Established(_),
                Message::HeartbeatAck {
                    acknowledged,
                    epoch,
                },
            ) => self.on_heartbeat_ack(peer_name, acknowledged, epoch, actions),
            _ => self.close(connection, CloseReason::UnexpectedMessage, actions),
        }
    }

    fn on_membership_changed(
        &mut self,
        epoch: MembershipEpoch,
        peers: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        if epoch <= self.settings.epoch {
            return;
        }
        self.settings.epoch = epoch;
        let removed: Vec<String> = self
            .peers
            .keys()
            .filter(|name| !peers.contains(name))
            .cloned()
            .collect();
        for name in removed {
            self.close_matching(CloseReason::NotAMember, actions, |_, role| {
                role.belongs_to(&name)
            });
            self.peers.remove(&name);
        }
        for name in peers
            .iter()
            .filter(|name| **name != self.settings.local_name)
        {
            self.peers
                .entry(name.clone())
                .or_insert_with(|| Peer::new(self.now));
        }
        self.settings.peers = peers;
        // Heartbeats carry the new epoch to the peers at once.
        self.next_heartbeat_at = self.now;
        self.on_tick(actions);
    }

    /// Handles the end of a connection that this side did not close.
    fn on_closed(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        if let Some(ConnectionRole::Outgoing { peer }) =
            self.connections.get(&connection).map(|open| &open.role)
        {
            if let Some(peer) = self.peers.get_mut(peer) {
                let healthy = peer.state.reachable && peer.state.liveness == Liveness::Alive;
                let established = matches!(peer.outgoing, OutgoingConnection::Established(_));
                peer.state.closed_by_peer = healthy && established;
            }
        }
        self.remove_connection(connection, actions);
    }

    /// Closes a connection, and removes it.
    fn close(&mut self, connection: ConnectionId, reason: CloseReason, actions: &mut Vec<Action>) {
        actions.push(Action::Close { connection, reason });
        self.remove_connection(connection, actions);
    }

    /// Closes all connections that the predicate holds for.
    fn close_matching(
        &mut self,
        reason: CloseReason,
        actions: &mut Vec<Action>,
        predicate: impl Fn(&Peering, &ConnectionRole) -> bool,
    ) {
        let matching: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, open)| predicate(self, &open.role))
            .map(|(id, _)| *id)
            .collect();
        for connection in matching {
            self.close(connection, reason.clone(), actions);
        }
    }

    fn remove_connection(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        let Some(open) = self.connections.remove(&connection) else {
            return;
        };
        match open.role {
            ConnectionRole::AwaitingHello { .. } => {}
            ConnectionRole::Incoming(session) => {
                if let Some(peer) = self.peers.get_mut(&session.peer) {
                    // A newer connection may have replaced it already.
                    if peer.incoming == Some(connection) {
                        peer.incoming = None;
                    }
                }
            }
            ConnectionRole::Outgoing { peer: name } => {
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.schedule_reconnect(self.now, self.settings.reconnect_backoff);
                }
                self.update_reachability(&name, actions);
            }
        }
    }
}

/// Writes a message in a frame of its own.
fn write_message(connection: ConnectionId, message: &Message, actions: &mut Vec<Action>) {
    actions.push(Action::Write {
        connection,
        bytes: encode_frame(&message.encode()),
    });
}
