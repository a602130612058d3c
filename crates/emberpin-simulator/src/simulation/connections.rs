//! Links and connections: partitions, delays, and the delivery of frames over connections.

use super::Simulation;
use crate::machine::{CoreId, Machine};
use crate::scenario::Links;
use crate::state::event::Event;
use crate::state::network::{ConnectionId, Direction, Frame};
use crate::state::process::ProcessIncarnation;
use emberpin_membership::ids::SessionId;
use emberpin_membership::registry;
use std::ops::Range;
use std::time::Duration;

/// How long data may be unacknowledged before its connection breaks.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The minimum delay until the other side is notified of a broken connection.
const MIN_BREAK_DELAY: Duration = Duration::from_millis(1);
/// The delay beyond [`MIN_BREAK_DELAY`] is drawn below this.
const BREAK_DELAY_SPREAD: Duration = Duration::from_millis(4);

/// Whether a machine notifies the other side when its connections break: not after a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakNotice {
    Sent,
    NotSent,
}

impl Simulation {
    // ---- links

    pub(super) fn partition(&mut self, links: &Links) {
        self.network.partition(links);
        let at = self.now + UNACKNOWLEDGED_TIMEOUT;
        for connection in self.network.partitioned_connections() {
            self.schedule(at, Event::UnacknowledgedTimeout { connection });
        }
    }

    pub(super) fn slow_down(&mut self, links: &Links, delay: &Range<Duration>) {
        self.network.slow_down(links, delay);
    }

    /// The additional delay of a message because of a slow link.
    pub(super) fn draw_extra_delay(&mut self, from: Machine, to: Machine) -> Duration {
        let Some(range) = self.network.extra_delay(from, to) else {
            return Duration::ZERO;
        };
        let delay = self.draw_time(&range);
        self.network.slow_until = self.network.slow_until.max(self.now + delay);
        delay
    }

    /// Ends the partitions and slow links of these machines; with an empty list, all of them and all message losses.
    pub(super) fn heal(&mut self, machines: &[Machine]) {
        for (one, other) in self.network.heal(machines) {
            // A partition between a proxy and a core machine does not disturb the core machines.
            match (one, other) {
                (Machine::Core(_), Machine::Proxy(_)) => self.mark_disturbed([other]),
                (Machine::Proxy(_), Machine::Core(_)) => self.mark_disturbed([one]),
                _ => self.mark_disturbed([one, other]),
            }
        }
        if machines.is_empty() {
            self.network.end_losses();
        }
        for (connection, frames) in self.network.take_blocked() {
            for (direction, frame) in frames {
                self.send_frame(connection, direction, frame);
            }
        }
    }

    // ---- connections

    /// Opens a connection. Returns `None` if the callee cannot be reached.
    pub(super) fn connect(&mut self, caller: Machine, callee: Machine) -> Option<ConnectionId> {
        if self.network.is_partitioned_either_way(caller, callee) || !self.is_running(callee) {
            return None;
        }
        Some(self.network.open(caller, callee, self.now))
    }

    pub(super) fn send_frame(&mut self, id: ConnectionId, direction: Direction, frame: Frame) {
        let delay = self.network.delay.clone();
        let delay = self.draw_time(&delay);
        let Some(connection) = self.network.connection(id) else {
            return;
        };
        let (from, to) = connection.ends(direction);
        let at = self.now + delay + self.draw_extra_delay(from, to);
        let Some(connection) = self.network.connection_mut(id) else {
            return;
        };
        let at = connection.order_arrival(direction, at);
        self.schedule(
            at,
            Event::FrameArrives {
                connection: id,
                direction,
                frame: Box::new(frame),
            },
        );
    }

    pub(super) fn on_frame(&mut self, id: ConnectionId, direction: Direction, frame: Frame) {
        let Some(connection) = self.network.connection(id) else {
            return;
        };
        let (from, to) = connection.ends(direction);
        let is_blocked = self.network.is_partitioned(from, to) || connection.is_blocked(direction);
        if is_blocked {
            if let Some(connection) = self.network.connection_mut(id) {
                connection.blocked.push((direction, frame));
            }
            return;
        }
        self.deliver(id, from, to, frame);
    }

    fn deliver(&mut self, id: ConnectionId, from: Machine, to: Machine, frame: Frame) {
        match (from, to, frame) {
            (Machine::Core(from), Machine::Core(to), Frame::RegistryMessage(message)) => {
                if let Some(running) = self.running_core(to) {
                    running.incoming.insert(from, id);
                }
                let peer = from.address();
                self.handle_registry_event(to, registry::Event::PeerMessage { peer, message });
            }
            (Machine::Core(from), Machine::Core(to), Frame::RegistryAck(ack)) => {
                let peer = from.address();
                self.handle_registry_event(to, registry::Event::PeerAcknowledged { peer, ack });
            }
            (Machine::Proxy(_), Machine::Core(to), Frame::FromProxy(message)) => {
                if let Some(running) = self.running_core(to) {
                    running.sessions.insert(id);
                }
                let session = SessionId(id.0);
                self.handle_registry_event(to, registry::Event::ProxyMessage { session, message });
            }
            (Machine::Core(from), Machine::Proxy(to), Frame::ToProxy(message)) => {
                self.on_session_message(to, id, from, message);
            }
            _ => {}
        }
    }

    pub(super) fn on_unacknowledged_timeout(&mut self, id: ConnectionId) {
        let Some(connection) = self.network.connection(id) else {
            return;
        };
        if self
            .network
            .is_partitioned_either_way(connection.caller, connection.callee)
        {
            self.break_connection(id, BreakNotice::Sent);
        }
    }

    /// Breaks a connection. Each side detects it: soon if the other side can notify it, otherwise by a timeout.
    pub(super) fn break_connection(&mut self, id: ConnectionId, notice: BreakNotice) {
        let Some(connection) = self.network.close(id) else {
            return;
        };
        let (caller, callee) = (connection.caller, connection.callee);
        for (machine, other) in [(caller, callee), (callee, caller)] {
            let is_notified =
                notice == BreakNotice::Sent && !self.network.is_partitioned(other, machine);
            let delay = if is_notified {
                MIN_BREAK_DELAY + self.draw_time_below(BREAK_DELAY_SPREAD)
            } else {
                UNACKNOWLEDGED_TIMEOUT
            };
            let (at, incarnation) = (self.now + delay, self.incarnation(machine));
            self.schedule(
                at,
                Event::ConnectionBroken {
                    connection: id,
                    machine,
                    incarnation,
                    other,
                },
            );
        }
    }

    pub(super) fn break_connections_of(&mut self, machine: Machine, notice: BreakNotice) {
        for connection in self.network.connections_of(machine) {
            self.break_connection(connection, notice);
        }
    }

    pub(super) fn on_connection_broken(
        &mut self,
        id: ConnectionId,
        machine: Machine,
        incarnation: ProcessIncarnation,
        other: Machine,
    ) {
        if self.incarnation(machine) != incarnation || !self.is_running(machine) {
            return;
        }
        match (machine, other) {
            (Machine::Core(core), Machine::Core(peer)) => {
                self.on_peer_connection_broken(core, peer, id);
            }
            (Machine::Core(core), Machine::Proxy(_)) => self.on_session_connection_broken(core, id),
            (Machine::Proxy(proxy), _) => self.on_session_broken(proxy, id),
        }
    }

    fn on_session_connection_broken(&mut self, core: CoreId, id: ConnectionId) {
        let Some(running) = self.running_core(core) else {
            return;
        };
        if running.sessions.remove(&id) {
            let session = SessionId(id.0);
            self.handle_registry_event(core, registry::Event::SessionClosed { session });
        }
    }
}
