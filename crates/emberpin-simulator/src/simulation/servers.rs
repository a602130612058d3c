//! Servers: their calls to registries (heartbeats and leaves), and the replies.

use super::operators::{CALL_TIMEOUT, CLIENT_DELAY, INITIAL_BACKOFF};
use super::Simulation;
use crate::machine::{CoreId, Machine};
use crate::scenario::ServerCommand;
use crate::state::event::{Effect, Event};
use crate::state::server::{Server, ServerCall};
use crate::state::HEARTBEAT_INTERVAL;
use crate::violation::Violation;
use emberpin_membership::clock::to_wire_precision;
use emberpin_membership::ids::CallId;
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::registry::{self, ServerReply};
use emberpin_membership::timing::bounds::APPLY;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The number of requests that a server processes concurrently.
const SLOT_COUNT: u32 = 2;
/// The attempt number of a late heartbeat, whose reply is ignored.
const NO_ATTEMPT: u64 = u64::MAX;

impl Simulation {
    pub(super) fn command_server(&mut self, name: &str, command: &ServerCommand) {
        match command {
            ServerCommand::Start {
                service,
                zone,
                port,
                warmup,
            } => self.start_server(name, service, zone, *port, *warmup),
            ServerCommand::Drain => {
                self.change_server(name, |server| server.is_draining |= server.is_up);
                self.send_server_call(name);
            }
            ServerCommand::Leave => {
                self.change_server(name, |server| server.is_leaving |= server.is_up);
                self.send_server_call(name);
            }
            ServerCommand::Crash => self.change_server(name, |server| server.is_up = false),
            ServerCommand::WarmUp(duration) => {
                let until = self.now + *duration;
                self.change_server(name, |server| server.warmup_until = until);
                self.begin_slow_start_load();
            }
            ServerCommand::LateHeartbeat {
                draining,
                seq,
                core,
            } => self.send_late_heartbeat(name, *draining, *seq, *core),
        }
    }

    fn change_server(&mut self, name: &str, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.servers.get_mut(name) {
            change(server);
        }
    }

    fn start_server(&mut self, name: &str, service: &str, zone: &str, port: u16, warmup: Duration) {
        let before = self.servers.get(name);
        let incarnation = before.map_or(1, |server| server.incarnation + 1);
        let now = self.now;
        let server = Server::new(name, incarnation, service, zone, port, now + warmup);
        self.servers.insert(name.into(), server);
        self.schedule_heartbeat(now, name, incarnation);
        if !warmup.is_zero() {
            self.begin_slow_start_load();
        }
    }

    fn schedule_heartbeat(&mut self, at: Duration, name: &str, incarnation: u32) {
        self.schedule(
            at,
            Event::ServerHeartbeat {
                server: name.into(),
                incarnation,
            },
        );
    }

    /// The server, if it is still this incarnation and still sends calls.
    fn calling_server(&mut self, name: &str, incarnation: u32) -> Option<&mut Server> {
        self.servers
            .get_mut(name)
            .filter(|server| server.incarnation == incarnation && server.is_up && !server.has_left)
    }

    pub(super) fn on_heartbeat_due(&mut self, name: &str, incarnation: u32) {
        if self.calling_server(name, incarnation).is_none() {
            return;
        }
        let at = self.now + HEARTBEAT_INTERVAL;
        self.schedule_heartbeat(at, name, incarnation);
        self.send_server_call(name);
    }

    /// Retries a server's call at a randomly chosen registry.
    fn retry_server_call(&mut self, name: &str) {
        let drawn_core = self.draw_core();
        self.change_server(name, |server| {
            if server.is_up && !server.has_left {
                server.heartbeat_target = None;
            }
        });
        self.send_server_call_to(name, drawn_core);
    }

    /// Sends a server's heartbeat or its leave.
    fn send_server_call(&mut self, name: &str) {
        let drawn_core = self.draw_core();
        self.send_server_call_to(name, drawn_core);
    }

    /// Like [`Simulation::send_server_call`]; a server without a heartbeat target sends to `drawn_core`.
    fn send_server_call_to(&mut self, name: &str, drawn_core: CoreId) {
        let now = self.now;
        let server = self.servers.get_mut(name);
        let Some(server) = server.filter(|server| server.is_up && !server.has_left) else {
            return;
        };
        let core = server.heartbeat_target.unwrap_or(drawn_core);
        server.last_seq += 1;
        server.last_attempt += 1;
        let call = ServerCall {
            server: name.into(),
            incarnation: server.incarnation,
            attempt: server.last_attempt,
            is_leaving: server.is_leaving,
            is_draining: server.is_draining,
            seq: server.last_seq,
        };
        let timeout = Event::ServerTimeout {
            server: name.into(),
            incarnation: call.incarnation,
            attempt: call.attempt,
        };
        if self.is_running(Machine::Core(core)) {
            self.schedule(now + CLIENT_DELAY, Event::ServerCall { core, call });
            self.schedule(now + CALL_TIMEOUT, timeout);
        } else {
            self.schedule(now + INITIAL_BACKOFF, timeout);
        }
    }

    /// Delivers a late heartbeat, which has an old sequence number.
    fn send_late_heartbeat(&mut self, name: &str, is_draining: bool, seq: u64, core: CoreId) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let call = ServerCall {
            server: name.into(),
            incarnation: server.incarnation,
            attempt: NO_ATTEMPT,
            is_leaving: false,
            is_draining,
            seq,
        };
        self.on_server_call(core, call);
    }

    pub(super) fn on_server_call(&mut self, core: CoreId, call: ServerCall) {
        let server = self.servers.get(&call.server);
        let Some(server) = server.filter(|server| server.incarnation == call.incarnation) else {
            return;
        };
        let call_id = CallId(self.operators.next_call_id());
        let event = if call.is_leaving {
            registry::Event::Leave {
                call: call_id,
                instance_id: server.instance_id.clone(),
            }
        } else {
            registry::Event::Heartbeat {
                call: call_id,
                instance: reported_instance(self.now, server, &call),
            }
        };
        self.pending_server_calls.insert(call_id.0, call);
        self.handle_registry_event(core, event);
    }

    /// Sends a registry's reply to the server.
    pub(super) fn send_server_response(&mut self, call_id: CallId, reply: ServerReply) {
        if let Some(call) = self.pending_server_calls.remove(&call_id.0) {
            let at = self.now + CLIENT_DELAY;
            self.schedule(at, Event::ServerResponse { call, reply });
        }
    }

    pub(super) fn on_server_response(&mut self, call: &ServerCall, reply: ServerReply) {
        let server = self.calling_server(&call.server, call.incarnation);
        let Some(server) = server.filter(|server| server.last_attempt == call.attempt) else {
            return;
        };
        server.last_attempt += 1;
        match reply {
            ServerReply::Acknowledged { heartbeat_target } => {
                self.on_server_acknowledged(call, heartbeat_target);
            }
            ServerReply::NotAcknowledged => {
                server.heartbeat_target = None;
                self.retry_server_call(&call.server);
            }
        }
    }

    fn on_server_acknowledged(&mut self, call: &ServerCall, target: Ipv4Addr) {
        let core = CoreId::from_address(target);
        self.change_server(&call.server, |server| {
            server.heartbeat_target = Some(core);
            server.has_left |= server.is_leaving;
        });
        if call.is_draining {
            let at = self.now + APPLY;
            self.schedule_effect_check(at, Effect::Drained(call.server.clone()));
        }
        if core.address() != target || !self.cores.contains_key(&core) {
            self.fail(Violation::UnknownHeartbeatTarget {
                server: call.server.clone(),
                target,
            });
        }
    }

    pub(super) fn on_server_timeout(&mut self, name: &str, incarnation: u32, attempt: u64) {
        let server = self.calling_server(name, incarnation);
        if server.is_some_and(|server| server.last_attempt == attempt) {
            self.retry_server_call(name);
        }
    }
}

/// The instance as a heartbeat of its server reports it.
fn reported_instance(now: Duration, server: &Server, call: &ServerCall) -> Instance {
    let remaining_warmup = server.warmup_until.saturating_sub(now);
    Instance {
        id: server.instance_id.clone(),
        service: server.service.clone(),
        address: server.address(),
        zone: server.zone.clone(),
        slots: SLOT_COUNT,
        status: if call.is_draining {
            Status::Draining
        } else {
            Status::Up
        },
        seq: call.seq,
        warmup_left: to_wire_precision(remaining_warmup),
    }
}
