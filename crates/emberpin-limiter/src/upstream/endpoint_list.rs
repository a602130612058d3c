//! The endpoint list in the format of the discovery service: the full list, or changes to it.

use emberpin_balancer::host_config::{stable_hash, NameIndex, ServerEntry, UnknownZone};
use emberpin_balancer::{Server, ServerId, ServerStatus};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An endpoint list, or changes to one.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The revision of the list, with any changes applied.
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(rename = "all")]
    /// Whether this is the full list; otherwise it contains only changed entries.
    pub full: bool,
    pub targets: Vec<Entry>,
    /// Which discovery service it comes from: 0 for the first one that this process used, 1 for the next, and so on.
    /// Revisions of different services cannot be compared.
    #[serde(skip)]
    pub service_generation: u32,
    /// Who sent it.
    #[serde(skip)]
    pub source: ListSource,
}

/// Who sent an endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListSource {
    /// The discovery service.
    #[default]
    Service,
    /// Another limiter, which accepted it in this epoch; `confirmed` if a limiter first doubted the list and then
    /// accepted it.
    Peer { epoch: u32, confirmed: bool },
}

/// One entry. An entry that cannot be parsed must not invalidate the others of its list.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Entry {
    Target(Target),
    Garbled(IgnoredAny),
}

/// A server's entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: Option<SocketAddr>,
    #[serde(rename = "az")]
    pub zone: String,
    pub model: Option<String>,
    pub pod_group: Option<u32>,
    pub state: State,
    pub capacity_hint: Option<f64>,
    #[serde(default)]
    pub boot_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Ready,
    Draining,
    Gone,
    /// A state that this program does not know: the server gets no new requests.
    #[serde(other)]
    Unknown,
}

/// The id of the server of this name, which is the same at every limiter.
pub fn server_id(name: &str) -> ServerId {
    ServerId(stable_hash(name) as u32)
}

impl Target {
    /// The server's id, which is the same at every limiter.
    pub fn id(&self) -> ServerId {
        server_id(&self.uid)
    }

    /// The entry in the form that the decision module takes.
    ///
    /// # Errors
    ///
    /// [`UnknownZone`] if the settings have no such zone.
    pub fn server(&self, names: &NameIndex) -> Result<Server, UnknownZone> {
        names.server(ServerEntry {
            id: self.id(),
            zone: &self.zone,
            kind: self.model.as_deref(),
            cell: self.pod_group,
            capacity: self
                .capacity_hint
                .filter(|capacity| capacity.is_finite() && *capacity > 0.0),
            started_at: Some(self.boot_ms).filter(|at| *at != 0.0),
            status: match self.state {
                State::Ready => ServerStatus::InService,
                State::Draining | State::Unknown => ServerStatus::Draining,
                State::Gone => ServerStatus::Removed,
            },
        })
    }
}
