//! The messages about endpoint lists between limiters. Encoded with postcard, so the order of variants and fields is
//! the wire format.

use serde::{Deserialize, Serialize};

/// Orders the lists of one discovery service: by epoch, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListVersion {
    /// How many doubted lists have been accepted after all, as far as the sender knows. A list of a higher epoch
    /// supersedes the current one even if its revision is older.
    pub epoch: u32,
    /// The discovery service's own revision.
    pub revision: u64,
}

/// Identifies one run of a member's process. Each restart has a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A watcher's report that its watch of the discovery service works.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherHeartbeat {
    /// The watcher's member number.
    pub watcher: u32,
    /// The incarnation of the watcher's process. Heartbeats of an earlier incarnation are ignored.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of an incarnation from 1. A heartbeat whose number is not higher than
    /// the last one received is a duplicate.
    pub sequence: u64,
    /// The list that the watcher has.
    pub version: ListVersion,
}

/// A message from one limiter to a neighbour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// A watcher's heartbeat, forwarded once by every limiter whose own list is at least as new.
    Heartbeat(WatcherHeartbeat),
    /// Asks the receiver for its list.
    Request {
        /// The oldest version that the sender can use.
        version: ListVersion,
    },
    /// A full list, in answer to a request.
    List {
        /// The version of the list in `entries`; a receiver drops a list that is not newer than its own.
        version: ListVersion,
        /// The servers, in the host's encoding.
        entries: Vec<u8>,
    },
}
