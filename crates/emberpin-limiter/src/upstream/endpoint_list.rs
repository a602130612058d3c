//! The list of servers as discovery words it: whole, or the changes to it.

use emberpin_balancer::host_config::{stable_hash, IndexNames, ServerEntry, UnknownZone};
use emberpin_balancer::{Server, ServerId, ServerStatus};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list of servers, or the changes to it.
#[derive(Debug, Default, Deserialize)]
pub struct Listing {
    pub rev: u64,
    #[serde(rename = "all")]
    pub whole: bool,
    pub targets: Vec<Entry>,
    /// Which list service it is from: they are counted from the start.
    #[serde(skip)]
    pub place: u32,
    /// Whose word it is.
    #[serde(skip)]
    pub teller: Teller,
}

/// Who told a list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Teller {
    #[default]
    Service,
    /// Another limiter, under this word of belief; `sure` if it doubted the list and believes it now.
    Peer { word: u32, sure: bool },
}

/// An entry that cannot be read must not take the others of its line with it.
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
    /// A state that this program does not know gets nothing new.
    #[serde(other)]
    Unknown,
}

/// The id of the server of this name, the same at every limiter.
pub fn server_id(name: &str) -> ServerId {
    ServerId(stable_hash(name) as u32)
}

impl Target {
    /// The same at every limiter.
    pub fn id(&self) -> ServerId {
        server_id(&self.uid)
    }

    /// The entry in the decision module's terms; the error names what the settings do not.
    pub fn server(&self, names: &IndexNames) -> Result<Server, UnknownZone> {
        names.server(ServerEntry {
            id: self.id(),
            zone: &self.zone,
            kind: self.model.as_deref(),
            cell: self.pod_group,
            capacity: self
                .capacity_hint
                .filter(|size| size.is_finite() && *size > 0.0),
            started_at: Some(self.boot_ms).filter(|at| *at != 0.0),
            status: match self.state {
                State::Ready => ServerStatus::InService,
                State::Draining | State::Unknown => ServerStatus::Draining,
                State::Gone => ServerStatus::Removed,
            },
        })
    }
}
