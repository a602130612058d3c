//! One instance of a server, as registries replicate it to each other and to the proxies.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The status of an instance. It only advances in the order of the variants: when reports merge, the furthest status
/// wins, in whatever order they arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Accepts new requests.
    Up,
    /// Shuts down gracefully: finishes its requests in flight and must get no new ones.
    Draining,
    /// Has exited, or was evicted because its heartbeats stopped.
    Removed,
}

/// One incarnation of a server, from its start to its exit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifies the instance; the server draws a new id at each start.
    pub id: String,
    /// The service that the server belongs to.
    pub service: String,
    /// The address at which the server accepts requests.
    pub address: SocketAddr,
    /// The zone of the server's machine.
    pub zone: String,
    /// The number of requests that the server processes at a time.
    pub slots: u32,
    /// The status that the server reported, or [`Status::Removed`] if a registry has evicted the instance.
    pub status: Status,
    /// The sequence number of the last heartbeat. It increases with each heartbeat, so an older heartbeat that arrives
    /// late is recognized.
    pub seq: u64,
    /// The time for which the server will still be warming up (slow start), counted from the sending of the message;
    /// whole milliseconds on the wire. Zero once it has warmed up.
    #[serde(with = "crate::clock::millis_u32_encoding")]
    pub warmup_left: Duration,
}
