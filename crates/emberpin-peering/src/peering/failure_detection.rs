//! Failure detection: heartbeats, timeouts of connections, and the liveness and reachability of peers.

use super::{write_message, ConnectionRole, Peering};
use crate::error::CloseReason;
use crate::event::Action;
use crate::ids::{Incarnation, MembershipEpoch};
use crate::message::Message;
use crate::peer::{Liveness, OutgoingConnection};
use crate::settings::Settings;
use crate::time::Timestamp;
use std::time::Duration;

impl Peering {
    /// Closes connections that timed out, updates the state of all peers, opens connections that are due, and sends
    /// heartbeats.
    pub(super) fn on_tick(&mut self, actions: &mut Vec<Action>) {
        self.close_matching(CloseReason::TimedOut, actions, |peering, role| {
            peering
                .deadline(role)
                .is_some_and(|deadline| deadline <= peering.now)
        });
        let heartbeat_due = self.next_heartbeat_at <= self.now;
        if heartbeat_due {
            self.next_heartbeat_at = self.now + self.settings.heartbeat_interval;
        }
        let names: Vec<String> = self.peers.keys().cloned().collect();
        for name in &names {
            self.update_liveness(name, actions);
            self.connect_if_due(name, actions);
            if heartbeat_due {
                self.send_heartbeat(name, actions);
            }
        }
        for name in &names {
            self.update_reachability(name, actions);
        }
    }

    /// When a connection times out, unless something is received before then.
    fn deadline(&self, role: &ConnectionRole) -> Option<Timestamp> {
        match role {
            ConnectionRole::AwaitingHello { deadline, .. } => Some(*deadline),
            ConnectionRole::Incoming(session) => {
                Some(session.last_received_at + self.settings.dead_after)
            }
            ConnectionRole::Outgoing { peer } => match &self.peers.get(peer)?.outgoing {
                OutgoingConnection::Handshaking { deadline } => Some(*deadline),
                OutgoingConnection::Established(session) => {
                    Some(session.last_reply_at + self.settings.dead_after)
                }
                OutgoingConnection::Idle { .. } | OutgoingConnection::Connecting => None,
            },
        }
    }

    fn update_liveness(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let since_contact = self.now.duration_since(peer.last_contact_at);
        let liveness = liveness_after(peer.state.liveness, since_contact, &self.settings);
        if liveness != peer.state.liveness {
            peer.state.liveness = liveness;
            peer.state.since = self.now;
            actions.push(Action::PeerChanged {
                peer: name.into(),
                state: peer.state,
            });
        }
    }

    fn connect_if_due(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let due =
            matches!(peer.outgoing, OutgoingConnection::Idle { retry_at } if retry_at <= self.now);
        if due && !self.superseded {
            peer.outgoing = OutgoingConnection::Connecting;
            actions.push(Action::Connect { peer: name.into() });
        }
    }

    fn send_heartbeat(&self, name: &str, actions: &mut Vec<Action>) {
        let outgoing = self.peers.get(name).map(|peer| &peer.outgoing);
        if let Some(OutgoingConnection::Established(session)) = outgoing {
            let heartbeat = Message::Heartbeat {
                epoch: self.settings.epoch,
            };
            write_message(session.connection, &heartbeat, actions);
        }
    }

    /// Records that something was received from a peer, and closes the connections with its earlier incarnations.
    /// `epoch` is `None` for a message that carries none.
    pub(super) fn record_contact(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        epoch: Option<MembershipEpoch>,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.last_contact_at = self.now;
        let before = peer.state;
        peer.state.epoch = epoch.unwrap_or(before.epoch);
        if before.liveness != Liveness::Alive || before.incarnation != Some(incarnation) {
            peer.state.liveness = Liveness::Alive;
            peer.state.incarnation = Some(incarnation);
            peer.state.since = self.now;
        }
        if before != peer.state {
            actions.push(Action::PeerChanged {
                peer: name.into(),
                state: peer.state,
            });
        }
        if before.incarnation.is_some_and(|known| known != incarnation) {
            self.close_matching(CloseReason::Replaced, actions, |peering, role| {
                role.belongs_to(name) && peering.is_with_another_incarnation(role, incarnation)
            });
        }
    }

    /// Whether an established connection is with another incarnation of its peer.
    fn is_with_another_incarnation(&self, role: &ConnectionRole, incarnation: Incarnation) -> bool {
        match role {
            ConnectionRole::Incoming(session) => session.incarnation != incarnation,
            ConnectionRole::Outgoing { peer } => {
                let outgoing = self.peers.get(peer).map(|peer| &peer.outgoing);
                matches!(outgoing, Some(OutgoingConnection::Established(session))
                    if session.recipient_nonce != incarnation.nonce)
            }
            ConnectionRole::AwaitingHello { .. } => false,
        }
    }

    /// Reports whether messages to a peer arrive, if that has changed.
    pub(super) fn update_reachability(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let reachable = match &peer.outgoing {
            OutgoingConnection::Established(session) => {
                session.last_reply_at + self.settings.suspect_after > self.now
            }
            _ => false,
        };
        if peer.state.reachable != reachable {
            peer.state.reachable = reachable;
            actions.push(Action::PeerChanged {
                peer: name.into(),
                state: peer.state,
            });
        }
    }
}

/// The liveness of a peer from which nothing was received for this long. A peer from which nothing was ever received
/// stays unknown, and only a received message makes a peer alive again.
fn liveness_after(current: Liveness, since_contact: Duration, settings: &Settings) -> Liveness {
    match current {
        Liveness::Unknown => Liveness::Unknown,
        _ if since_contact >= settings.dead_after => Liveness::Dead,
        _ if since_contact >= settings.suspect_after => Liveness::Suspected,
        current => current,
    }
}
