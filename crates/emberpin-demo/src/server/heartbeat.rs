//! The messages of a server to the registries: heartbeats, and the leave announcement at the end.

use super::{Instance, SLOTS};
use crate::http::{self, HttpResponse};
use crate::record::lock;
use hyper::Method;
use jzon::object;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// The interval between heartbeats. The gateway's settings have the same value.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The next registry is called if one does not acknowledge within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that a heartbeat reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerState {
    /// The server accepts new requests.
    Up,
    /// The server still serves requests but should receive no new ones, because it is about to leave.
    Draining,
}

impl ServerState {
    /// The name of the state on the wire.
    fn name(self) -> &'static str {
        match self {
            ServerState::Up => "up",
            ServerState::Draining => "drain",
        }
    }
}

impl Instance {
    /// Sends heartbeats until the server announces its leave or the task is aborted.
    pub(super) async fn send_heartbeats(self: Arc<Instance>) {
        while !self.is_leaving.load(Ordering::Relaxed) {
            self.send_heartbeat().await;
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends a heartbeat; returns whether a registry acknowledged it.
    pub(super) async fn send_heartbeat(&self) -> bool {
        let seq = self.heartbeat_seq.fetch_add(1, Ordering::Relaxed) + 1;
        let group = self.group;
        let body = object! {
            addr: self.address.to_string(),
            sysinfo: { svc: group.service, ver: "v1", az: group.zone, slots: SLOTS },
            stat: {
                state: self.state().name(),
                seq: seq,
                warm_left: format!("{}ms", self.warm_up_left().as_millis()),
            },
        };
        let path = format!("/instances/{}/heartbeat", self.id);
        self.call_registries(&path, body.dump()).await
    }

    /// Announces that the server leaves; returns whether a registry acknowledged it.
    pub(super) async fn send_leave(&self) -> bool {
        let path = format!("/instances/{}/leave", self.id);
        self.call_registries(&path, String::new()).await
    }

    /// Calls the assigned registry first, then all registries in turn until one acknowledges. Returns whether one did.
    async fn call_registries(&self, path: &str, body: String) -> bool {
        let assigned = lock(&self.assigned_registry).take();
        // Each server begins at a registry that depends on its port.
        let first = usize::from(self.address.port());
        let count = self.registries.len();
        let all_in_turn = (0..count).map(|turn| self.registries[(first + turn) % count]);
        for registry in assigned.into_iter().chain(all_in_turn) {
            let body = body.clone();
            let response = http::call(registry, Method::POST, path, body, CALL_TIMEOUT).await;
            if let Some(response) = response.filter(HttpResponse::is_success) {
                *lock(&self.assigned_registry) = assigned_registry(&response);
                return true;
            }
        }
        false
    }
}

/// The registry that an acknowledgement names for the next heartbeat.
fn assigned_registry(response: &HttpResponse) -> Option<SocketAddr> {
    let body = jzon::parse(response.text()?).ok()?;
    body["hb_addr"].as_str()?.parse().ok()
}
