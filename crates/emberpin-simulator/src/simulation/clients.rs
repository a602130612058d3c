//! Dispatches the events of the clients: operators and servers.

use super::Simulation;
use crate::state::event::Event;

impl Simulation {
    pub(super) fn on_client_event(&mut self, event: Event) {
        match event {
            Event::OperatorCall {
                attempt,
                core,
                evacuation_version,
            } => self.on_operator_call(attempt, core, evacuation_version),
            Event::OperatorRedirect {
                attempt,
                core,
                evacuation_version,
            } => self.on_operator_redirect(attempt, core, evacuation_version),
            Event::OperatorResponse {
                attempt,
                status,
                body,
            } => self.on_operator_response(attempt, status, &body),
            Event::OperatorRetry { attempt } => self.attempt_operator_call(attempt),
            Event::ServerHeartbeat {
                server,
                incarnation,
            } => self.on_heartbeat_due(&server, incarnation),
            Event::ServerCall { core, call } => self.on_server_call(core, call),
            Event::ServerResponse { call, reply } => self.on_server_response(&call, reply),
            Event::ServerTimeout {
                server,
                incarnation,
                attempt,
            } => self.on_server_timeout(&server, incarnation, attempt),
            _ => {}
        }
    }
}
