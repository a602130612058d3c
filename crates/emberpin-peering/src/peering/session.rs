//! Established connections: data, flow control by acknowledgements, and heartbeats.

use super::{write_message, ConnectionRole, Peering};
use crate::error::{CloseReason, SendError};
use crate::event::Action;
use crate::frame::encode_frame;
use crate::ids::{ConnectionId, MembershipEpoch};
use crate::message::Message;
use crate::peer::OutgoingConnection;

impl Peering {
    /// Sends a message of a layer above, or reports why it is not sent.
    pub(super) fn on_send(
        &mut self,
        peer: String,
        kind: u16,
        body: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        let action = match self.send(&peer, kind, body) {
            Ok(write) => write,
            Err(error) => Action::SendFailed { peer, kind, error },
        };
        actions.push(action);
    }

    /// Returns the write that sends the message, and counts it against the send window.
    fn send(&mut self, peer_name: &str, kind: u16, body: Vec<u8>) -> Result<Action, SendError> {
        let peer = self
            .peers
            .get_mut(peer_name)
            .ok_or(SendError::UnknownPeer)?;
        let OutgoingConnection::Established(session) = &mut peer.outgoing else {
            return Err(SendError::NotConnected);
        };
        let message = Message::Data {
            sequence: session.last_sequence + 1,
            recipient_nonce: session.recipient_nonce,
            kind,
            body,
        };
        let payload = message.encode();
        if payload.len() > self.settings.max_frame_bytes {
            return Err(SendError::MessageTooLong);
        }
        if session.unacknowledged_bytes + payload.len() > self.settings.max_unacknowledged_bytes {
            return Err(SendError::WindowFull);
        }
        session.record_sent(payload.len());
        Ok(Action::Write {
            connection: session.connection,
            bytes: encode_frame(&payload),
        })
    }

    /// Handles a message on an accepted connection whose handshake is complete.
    pub(super) fn on_session_message(
        &mut self,
        connection: ConnectionId,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Data {
                sequence,
                recipient_nonce,
                kind,
                body,
            } => self.on_data(connection, sequence, recipient_nonce, kind, body, actions),
            Message::Heartbeat { epoch } => self.on_heartbeat(connection, epoch, actions),
            _ => self.close(connection, CloseReason::UnexpectedMessage, actions),
        }
    }

    fn on_data(
        &mut self,
        connection: ConnectionId,
        sequence: u64,
        recipient_nonce: u64,
        kind: u16,
        body: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        let Some(ConnectionRole::Incoming(session)) = self
            .connections
            .get_mut(&connection)
            .map(|open| &mut open.role)
        else {
            return;
        };
        let expected = session.last_sequence + 1;
        if sequence != expected {
            let reason = CloseReason::SequenceMismatch {
                received: sequence,
                expected,
            };
            return self.close(connection, reason, actions);
        }
        if recipient_nonce != self.settings.incarnation.nonce {
            return self.close(connection, CloseReason::WrongIncarnation, actions);
        }
        session.last_sequence = sequence;
        session.last_received_at = self.now;
        let peer = session.peer.clone();
        let incarnation = session.incarnation;
        self.record_contact(&peer, incarnation, None, actions);
        actions.push(Action::Deliver {
            peer,
            incarnation,
            kind,
            body,
        });
    }

    fn on_heartbeat(
        &mut self,
        connection: ConnectionId,
        epoch: MembershipEpoch,
        actions: &mut Vec<Action>,
    ) {
        let Some(ConnectionRole::Incoming(session)) = self
            .connections
            .get_mut(&connection)
            .map(|open| &mut open.role)
        else {
            return;
        };
        session.last_received_at = self.now;
        let peer = session.peer.clone();
        let incarnation = session.incarnation;
        let ack = Message::HeartbeatAck {
            acknowledged: session.last_sequence,
            epoch: self.settings.epoch,
        };
        self.record_contact(&peer, incarnation, Some(epoch), actions);
        write_message(connection, &ack, actions);
    }

    pub(super) fn on_heartbeat_ack(
        &mut self,
        peer_name: &str,
        acknowledged: u64,
        epoch: MembershipEpoch,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(peer_name) else {
            return;
        };
        if let OutgoingConnection::Established(session) = &mut peer.outgoing {
            session.last_reply_at = self.now;
            session.acknowledge(acknowledged);
        }
        if let Some(incarnation) = peer.state.incarnation {
            self.record_contact(peer_name, incarnation, Some(epoch), actions);
        }
        self.update_reachability(peer_name, actions);
    }
}
