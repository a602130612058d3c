//! Health checks of unreachable servers: a server that takes no connection is probed until it does, and gets no
//! requests meanwhile.

use super::Controller;
use crate::command::Command;
use emberpin_balancer::ServerId;
use emberpin_limiter::host::Upstream;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Exponential backoff between the probes of one server.
struct Backoff {
    initial: Duration,
    max: Duration,
}

/// Backoff between probes of an unreachable server. Its initial pause bounds how soon a server that was restarted on the
/// spot gets requests again.
const PROBE_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(200),
    max: Duration::from_millis(800),
};

impl Controller {
    /// Takes a server that gave no sign of life out of service, and starts to probe it unless that is under way.
    pub(super) fn on_server_unreachable(&mut self, service: &str, server: ServerId) {
        let upstream = self
            .services
            .get_mut(service)
            .and_then(|service| service.mark_unreachable(server));
        if let Some(upstream) = upstream {
            let commands = self.commands.clone();
            spawn_local(probe_until_reachable(
                upstream,
                service.to_string(),
                server,
                commands,
            ));
        }
    }

    /// Puts a server back into service that accepted a probe's connection.
    pub(super) fn on_server_reachable(&mut self, service_name: &str, server: ServerId) {
        if let Some(service) = self.services.get_mut(service_name) {
            service.mark_reachable(server);
        }
        self.record_sent_attempts(service_name);
    }
}

/// Probes a server until it accepts a connection, or until nothing may go there any more.
async fn probe_until_reachable(
    upstream: Rc<Upstream>,
    service: String,
    server: ServerId,
    commands: mpsc::WeakSender<Command>,
) {
    let mut pause = PROBE_BACKOFF.initial;
    loop {
        sleep(pause).await;
        if !upstream.is_open() {
            return;
        }
        if upstream.accepts_connections().await {
            break;
        }
        pause = (pause * 2).min(PROBE_BACKOFF.max);
    }
    if let Some(commands) = commands.upgrade() {
        _ = commands
            .send(Command::ServerReachable { service, server })
            .await;
    }
}
