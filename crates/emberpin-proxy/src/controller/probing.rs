//! Health checks of unreachable servers: a server that accepts no connection is probed until it does, and gets no
//! requests in the meantime.

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

/// Backoff between probes of an unreachable server. The initial pause bounds how soon a server that restarts at the
/// same address gets requests again.
const PROBE_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(200),
    max: Duration::from_millis(800),
};

impl Controller {
    /// Takes an unreachable server out of service, and starts a health check of it unless one is running.
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

    /// Puts a server that accepted a probe's connection back into service.
    pub(super) fn on_server_reachable(&mut self, service_name: &str, server: ServerId) {
        if let Some(service) = self.services.get_mut(service_name) {
            service.mark_reachable(server);
        }
        self.record_sent_attempts(service_name);
    }
}

/// Probes a server until it accepts a connection, or until no request may be sent to it any more.
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
