//! The handshake: a Hello by the side that opened the connection, then a Welcome or a Reject.

use super::{write_message, Connection, ConnectionRole, IncomingSession, Peering};
use crate::error::CloseReason;
use crate::event::Action;
use crate::frame::FrameDecoder;
use crate::ids::{ConnectionId, Incarnation, MembershipEpoch};
use crate::message::{Message, RejectReason, VersionRange, SUPPORTED_VERSIONS};
use crate::peer::{OutgoingConnection, OutgoingSession};
use std::time::Duration;

/// The fields of a received [`Message::Hello`].
struct Hello {
    versions: VersionRange,
    cluster: String,
    sender: String,
    recipient: String,
    incarnation: Incarnation,
    epoch: MembershipEpoch,
}

impl Peering {
    /// Starts the handshake on a connection that this instance has opened.
    pub(super) fn on_connected(
        &mut self,
        connection: ConnectionId,
        peer_name: String,
        actions: &mut Vec<Action>,
    ) {
        let connecting = self
            .peers
            .get_mut(&peer_name)
            .filter(|peer| matches!(peer.outgoing, OutgoingConnection::Connecting));
        let Some(peer) = connecting else {
            actions.push(Action::Close {
                connection,
                reason: CloseReason::NotAMember,
            });
            return;
        };
        peer.outgoing = OutgoingConnection::Handshaking {
            deadline: self.now + self.settings.handshake_timeout,
        };
        let hello = Message::Hello {
            versions: SUPPORTED_VERSIONS,
            cluster: self.settings.cluster.clone(),
            sender: self.settings.local_name.clone(),
            recipient: peer_name.clone(),
            incarnation: self.settings.incarnation,
            epoch: self.settings.epoch,
        };
        self.insert_connection(connection, ConnectionRole::Outgoing { peer: peer_name });
        write_message(connection, &hello, actions);
    }

    pub(super) fn on_connect_failed(&mut self, peer_name: &str) {
        if let Some(peer) = self.peers.get_mut(peer_name) {
            if matches!(peer.outgoing, OutgoingConnection::Connecting) {
                peer.schedule_reconnect(self.now, self.settings.reconnect_backoff);
            }
        }
    }

    /// Awaits the Hello on an accepted connection, unless too many accepted connections await one already.
    pub(super) fn on_accepted(
        &mut self,
        connection: ConnectionId,
        certificate_names: Option<Vec<String>>,
        actions: &mut Vec<Action>,
    ) {
        let pending = self
            .connections
            .values()
            .filter(|open| matches!(open.role, ConnectionRole::AwaitingHello { .. }))
            .count();
        if pending >= self.settings.max_pending_handshakes {
            actions.push(Action::Close {
                connection,
                reason: CloseReason::TooManyPendingHandshakes,
            });
            return;
        }
        let role = ConnectionRole::AwaitingHello {
            deadline: self.now + self.settings.handshake_timeout,
            certificate_names,
        };
        self.insert_connection(connection, role);
    }

    fn insert_connection(&mut self, connection: ConnectionId, role: ConnectionRole) {
        let decoder = FrameDecoder::new(self.settings.max_frame_bytes);
        self.connections
            .insert(connection, Connection { decoder, role });
    }

    /// Handles the first message on an accepted connection, which must be a Hello.
    pub(super) fn on_first_message(
        &mut self,
        connection: ConnectionId,
        certificate_names: Option<&[String]>,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Message::Hello {
            versions,
            cluster,
            sender,
            recipient,
            incarnation,
            epoch,
        } = message
        else {
            return self.close(connection, CloseReason::UnexpectedMessage, actions);
        };
        let hello = Hello {
            versions,
            cluster,
            sender,
            recipient,
            incarnation,
            epoch,
        };
        match self.check_hello(&hello, certificate_names) {
            Ok(version) => self.accept_hello(connection, version, hello, actions),
            Err(reason) => {
                write_message(connection, &Message::Reject(reason.clone()), actions);
                self.close(connection, CloseReason::Rejected(reason), actions);
            }
        }
    }

    /// The newest version that both sides speak, or why the Hello is rejected.
    fn check_hello(
        &self,
        hello: &Hello,
        certificate_names: Option<&[String]>,
    ) -> Result<u16, RejectReason> {
        let version = hello.versions.newest.min(SUPPORTED_VERSIONS.newest);
        if version < hello.versions.oldest.max(SUPPORTED_VERSIONS.oldest) {
            return Err(RejectReason::UnsupportedVersion(SUPPORTED_VERSIONS.newest));
        }
        if hello.cluster != self.settings.cluster {
            return Err(RejectReason::WrongCluster);
        }
        if certificate_names.is_some_and(|names| !names.contains(&hello.sender)) {
            return Err(RejectReason::InvalidName);
        }
        if hello.recipient != self.settings.local_name {
            return Err(RejectReason::WrongRecipient);
        }
        let peer = self
            .peers
            .get(&hello.sender)
            .ok_or(RejectReason::InvalidName)?;
        match peer.state.incarnation {
            Some(known) if known.number > hello.incarnation.number => {
                Err(RejectReason::StaleIncarnation(known.number))
            }
            // Two runs with the same number: the first one stays, and the other has to choose a higher number.
            Some(known)
                if known.number == hello.incarnation.number && known != hello.incarnation =>
            {
                Err(RejectReason::StaleIncarnation(known.number))
            }
            _ => Ok(version),
        }
    }

    fn accept_hello(
        &mut self,
        connection: ConnectionId,
        version: u16,
        hello: Hello,
        actions: &mut Vec<Action>,
    ) {
        let replaced = self
            .peers
            .get_mut(&hello.sender)
            .and_then(|peer| peer.incoming.replace(connection));
        if let Some(replaced) = replaced {
            self.close(replaced, CloseReason::Replaced, actions);
        }
        if let Some(open) = self.connections.get_mut(&connection) {
            open.role = ConnectionRole::Incoming(IncomingSession {
                peer: hello.sender.clone(),
                incarnation: hello.incarnation,
                last_sequence: 0,
                last_received_at: self.now,
            });
        }
        let welcome = Message::Welcome {
            version,
            incarnation: self.settings.incarnation,
            epoch: self.settings.epoch,
        };
        write_message(connection, &welcome, actions);
        self.record_contact(&hello.sender, hello.incarnation, Some(hello.epoch), actions);
    }

    /// Establishes a connection that this instance has opened.
    pub(super) fn on_welcome(
        &mut self,
        connection: ConnectionId,
        peer_name: &str,
        version: u16,
        incarnation: Incarnation,
        epoch: MembershipEpoch,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(peer_name) else {
            return;
        };
        let stale = peer
            .state
            .incarnation
            .is_some_and(|known| known.number > incarnation.number);
        if stale || !SUPPORTED_VERSIONS.contains(version) {
            return self.close(connection, CloseReason::UnexpectedMessage, actions);
        }
        peer.outgoing = OutgoingConnection::Established(OutgoingSession::new(
            connection,
            incarnation.nonce,
            self.now,
        ));
        peer.reconnect_delay = Duration::ZERO;
        peer.accepted_this_incarnation = true;
        peer.state.closed_by_peer = false;
        self.record_contact(peer_name, incarnation, Some(epoch), actions);
        self.update_reachability(peer_name, actions);
    }

    pub(super) fn on_reject(
        &mut self,
        connection: ConnectionId,
        peer_name: &str,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        if let RejectReason::StaleIncarnation(number) = reason {
            let accepted_before = self
                .peers
                .get(peer_name)
                .is_some_and(|peer| peer.accepted_this_incarnation);
            self.on_stale_incarnation(number, accepted_before, actions);
        }
        self.close(connection, CloseReason::RejectedByPeer(reason), actions);
    }

    /// Handles a rejection by a peer that knows another incarnation of this instance, with this number. If the peer has
    /// accepted this incarnation before, the other one is its successor, and this one is superseded. If not, the clock
    /// was set back before the start, or two runs got the same number: this incarnation continues with a higher number.
    fn on_stale_incarnation(
        &mut self,
        number: u64,
        accepted_before: bool,
        actions: &mut Vec<Action>,
    ) {
        if !accepted_before {
            let own = &mut self.settings.incarnation.number;
            *own = (*own).max(number + 1);
        } else if !self.superseded {
            self.superseded = true;
            actions.push(Action::Superseded { by: number });
        }
    }
}
