//! The state of a simulated system: machines, clients, network, and scheduled events. `simulation` changes it.

pub(crate) mod core_node;
pub(crate) mod event;
pub(crate) mod network;
pub(crate) mod operator;
pub(crate) mod process;
pub(crate) mod proxy;
pub(crate) mod server;

use std::ops::Range;
use std::time::Duration;

/// The interval at which servers send heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_300);
/// The duration of a disk sync without a fault.
pub(crate) const DEFAULT_SYNC_TIME: Range<Duration> =
    Duration::from_millis(2)..Duration::from_millis(6);
