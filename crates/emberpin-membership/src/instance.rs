//! One instance of a server, as it is told from registry to registry and to the proxies.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a server says of itself, or what became of it. Later states stand over earlier ones, whatever comes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Takes work.
    Up,
    /// Finishes what it has; gets nothing new.
    Drain,
    /// Has left, or was not heard for too long.
    Gone,
}

/// One start of a server until its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id, drawn anew at each start.
    pub id: String,
    /// Whose server it is.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How it stands.
    pub status: Status,
    /// Rises with each of its beats.
    pub seq: u64,
    /// For how much longer it is cold, in milliseconds, when this is told.
    pub cold_ms: u32,
}
