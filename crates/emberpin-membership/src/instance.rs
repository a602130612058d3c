//! One instance of a server, as registries replicate it to each other and to the proxies.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The status of an instance. It only advances: a later status wins over an earlier one, in whatever order reports
/// of them arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Accepts new requests.
    Up,
    /// Shuts down gracefully: finishes its requests in flight and gets no new ones.
    Draining,
    /// Has shut down, or was evicted because its heartbeats stopped.
    Removed,
}

/// One incarnation of a server, from its start to its end.
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
    /// The status that the server reported, or that its registry has concluded.
    pub status: Status,
    /// The sequence number of the last heartbeat. It rises with each, so an older heartbeat that arrives late is
    /// recognized.
    pub seq: u64,
    /// For how much longer the server is warming up (slow start), counted from the time of sending; whole milliseconds
    /// on the wire. Zero once it has warmed up.
    #[serde(with = "crate::clock::millis_u32_encoding")]
    pub warmup_left: Duration,
}
