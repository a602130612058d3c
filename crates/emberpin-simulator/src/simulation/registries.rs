//! Registries: their events, their actions, and their connections to each other.

use super::connections::BreakNotice;
use super::core_nodes::LOCAL_DELAY;
use super::stores::store_timestamp;
use super::Simulation;
use crate::machine::{CoreId, Machine};
use crate::state::event::Event;
use crate::state::network::{ConnectionId, Direction, Frame};
use crate::state::process::ProcessIncarnation;
use crate::state::proxy::timestamp;
use emberpin_config::Item;
use emberpin_membership::ids::{Nonce, SessionId};
use emberpin_membership::peers::RegistryMessage;
use emberpin_membership::registry::{self, Action};
use std::net::Ipv4Addr;
use std::time::Duration;

/// How often a store reports its voters to the registry on its machine.
const VOTERS_REPORT_INTERVAL: Duration = Duration::from_millis(450);
/// The minimum time between two attempts to connect to another registry; a random time below the same value is added.
const DIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The time from the loss of a connection to the next attempt to connect.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

impl Simulation {
    // ---- from the store on the same machine

    pub(super) fn on_items_chosen(
        &mut self,
        core: CoreId,
        incarnation: ProcessIncarnation,
        items: Vec<Item>,
    ) {
        if self.running_incarnation(core, incarnation).is_some() {
            self.handle_registry_event(core, registry::Event::Items(items));
        }
    }

    pub(super) fn on_voters_report(&mut self, core: CoreId, incarnation: ProcessIncarnation) {
        let now = self.now;
        let node = self.cores.get(&core);
        let Some(node) = node.filter(|node| node.process.incarnation == incarnation) else {
            return;
        };
        let Some(running) = &node.running else { return };
        let voters = running.store.voters();
        let next = node.process.local_time(now) + VOTERS_REPORT_INTERVAL;
        let at = node.process.time_of_local(now, next);
        self.schedule(at, Event::VotersReport { core, incarnation });
        self.handle_registry_event(core, registry::Event::VotersChanged(voters));
    }

    pub(super) fn on_store_age(
        &mut self,
        core: CoreId,
        incarnation: ProcessIncarnation,
        nonce: Nonce,
        age: Option<Duration>,
    ) {
        if self.running_incarnation(core, incarnation).is_some() {
            self.handle_registry_event(core, registry::Event::StoreConfirmed { nonce, age });
        }
    }

    // ---- events and actions

    pub(super) fn on_registry_timer(&mut self, core: CoreId, incarnation: ProcessIncarnation) {
        let now = self.now;
        let running = self.running_incarnation(core, incarnation);
        let Some(running) = running.filter(|running| running.registry_timer_at <= now) else {
            return;
        };
        running.registry_timer_at = Duration::ZERO;
        self.handle_registry_event(core, registry::Event::Tick);
    }

    pub(super) fn handle_registry_event(&mut self, core: CoreId, event: registry::Event) {
        let now = self.now;
        let Some(node) = self.cores.get_mut(&core) else {
            return;
        };
        let (local, incarnation) = (node.process.local_time(now), node.process.incarnation);
        let Some(running) = node.running.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        running
            .registry
            .handle(timestamp(local), event, &mut actions);
        for action in actions {
            self.apply_registry_action(core, incarnation, action);
        }
        self.schedule_registry_timer(core, incarnation);
    }

    fn schedule_registry_timer(&mut self, core: CoreId, incarnation: ProcessIncarnation) {
        let now = self.now;
        let Some(node) = self.cores.get_mut(&core) else {
            return;
        };
        let Some(running) = node.running.as_mut() else {
            return;
        };
        let local = Duration::from_millis(running.registry.next_deadline().as_millis());
        let at = node.process.time_of_local(now, local);
        if running.registry_timer_at <= now || at < running.registry_timer_at {
            running.registry_timer_at = at;
            self.schedule(at, Event::RegistryTimer { core, incarnation });
        }
    }

    fn apply_registry_action(
        &mut self,
        core: CoreId,
        incarnation: ProcessIncarnation,
        action: Action,
    ) {
        if !self.is_running(Machine::Core(core)) {
            return;
        }
        match action {
            Action::Reply { call, reply } => self.send_server_response(call, reply),
            Action::WriteShutdowns {
                write,
                mode,
                records,
            } => self.write_shutdowns(core, write, mode, records),
            Action::ConnectPeer { peer } => self.connect_peer(core, incarnation, peer),
            Action::DisconnectPeer { peer } => self.disconnect_peer(core, peer),
            Action::SendToPeers { peers, message } => self.send_to_peers(core, &peers, &message),
            Action::AcknowledgePeer { peer, ack } => {
                let incoming = self.running_core(core).map(|running| &running.incoming);
                let connection = incoming.and_then(|all| all.get(&CoreId::from_address(peer)));
                if let Some(connection) = connection.copied() {
                    self.send_frame(connection, Direction::ToCaller, Frame::RegistryAck(ack));
                }
            }
            Action::SendToProxies { sessions, message } => {
                for SessionId(session) in sessions {
                    let frame = Frame::ToProxy(message.clone());
                    self.send_frame(ConnectionId(session), Direction::ToCaller, frame);
                }
            }
            Action::QueryStore { nonce } => self.query_store(core, incarnation, nonce),
            Action::CloseSession {
                session: SessionId(session),
            } => {
                let connection = ConnectionId(session);
                if let Some(running) = self.running_core(core) {
                    running.sessions.remove(&connection);
                }
                self.break_connection(connection, BreakNotice::Sent);
            }
        }
    }

    /// Queries a store for the age of its state. The reply arrives after the chosen items that are already in flight.
    fn query_store(&mut self, core: CoreId, incarnation: ProcessIncarnation, nonce: Nonce) {
        let now = self.now;
        let Some(node) = self.cores.get(&core) else {
            return;
        };
        let Some(running) = &node.running else { return };
        let local = node.process.local_time(now);
        let event = Event::StoreAge {
            core,
            incarnation,
            nonce,
            age: running.store.confirmed_age(store_timestamp(local)),
        };
        self.schedule(now + LOCAL_DELAY, event);
    }

    // ---- connections to other registries

    fn send_to_peers(&mut self, core: CoreId, peers: &[Ipv4Addr], message: &RegistryMessage) {
        let Some(running) = self.running_core(core) else {
            return;
        };
        let connection_to = |peer: &Ipv4Addr| {
            let peer = CoreId::from_address(*peer);
            running.outgoing.get(&peer).copied().flatten()
        };
        let connections: Vec<ConnectionId> = peers.iter().filter_map(connection_to).collect();
        for connection in connections {
            let frame = Frame::RegistryMessage(message.clone());
            self.send_frame(connection, Direction::ToCallee, frame);
        }
    }

    fn connect_peer(&mut self, core: CoreId, incarnation: ProcessIncarnation, peer: Ipv4Addr) {
        let peer = CoreId::from_address(peer);
        if let Some(running) = self.running_core(core) {
            running.outgoing.insert(peer, None);
        }
        let now = self.now;
        self.schedule_dial(now, core, incarnation, peer);
    }

    fn disconnect_peer(&mut self, core: CoreId, peer: Ipv4Addr) {
        let peer = CoreId::from_address(peer);
        let Some(running) = self.running_core(core) else {
            return;
        };
        running.incoming.remove(&peer);
        if let Some(Some(connection)) = running.outgoing.remove(&peer) {
            self.break_connection(connection, BreakNotice::Sent);
        }
    }

    fn schedule_dial(
        &mut self,
        at: Duration,
        core: CoreId,
        incarnation: ProcessIncarnation,
        peer: CoreId,
    ) {
        self.schedule(
            at,
            Event::PeerDial {
                core,
                incarnation,
                peer,
            },
        );
    }

    pub(super) fn dial_peer(
        &mut self,
        core: CoreId,
        incarnation: ProcessIncarnation,
        peer: CoreId,
    ) {
        let is_wanted = self
            .running_incarnation(core, incarnation)
            .is_some_and(|running| running.outgoing.get(&peer) == Some(&None));
        if !is_wanted {
            return;
        }
        let Some(connection) = self.connect(Machine::Core(core), Machine::Core(peer)) else {
            let at = self.now + DIAL_BACKOFF + self.draw_time_below(DIAL_BACKOFF);
            self.schedule_dial(at, core, incarnation, peer);
            return;
        };
        if let Some(running) = self.running_incarnation(core, incarnation) {
            running.outgoing.insert(peer, Some(connection));
        }
        let peer = peer.address();
        self.handle_registry_event(core, registry::Event::PeerConnected { peer });
    }

    pub(super) fn on_peer_connection_broken(
        &mut self,
        core: CoreId,
        peer: CoreId,
        connection: ConnectionId,
    ) {
        let incarnation = self.incarnation(Machine::Core(core));
        let Some(running) = self.running_incarnation(core, incarnation) else {
            return;
        };
        if running.incoming.get(&peer) == Some(&connection) {
            running.incoming.remove(&peer);
        }
        if running.outgoing.get(&peer) != Some(&Some(connection)) {
            return;
        }
        running.outgoing.insert(peer, None);
        let address = peer.address();
        self.handle_registry_event(core, registry::Event::PeerDisconnected { peer: address });
        let at = self.now + REDIAL_DELAY;
        self.schedule_dial(at, core, incarnation, peer);
    }
}
