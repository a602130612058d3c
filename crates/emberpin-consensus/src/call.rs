//! Calls of clients.

use emberpin_config::Version;
use serde::{Deserialize, Serialize};

/// Identifies a call until it is replied to; chosen by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What a client asks of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Change the items in this body, a patch as `emberpin-config` reads it.
    Patch(Vec<u8>),
    /// Read the whole configuration.
    Get,
    /// Begin or end the evacuation of a zone.
    Evacuate {
        /// The zone's name.
        zone: String,
        /// Whether the evacuation begins or ends.
        change: EvacuationChange,
        /// The version of the zone's evacuation that the caller was told while it waited for an answer;
        /// [`Version::NEVER_SET`] if the zone had none. The call is rejected once another version is chosen, so that a
        /// call which its caller has given up changes nothing after a later one was acknowledged.
        precondition: Version,
    },
}

/// Whether an evacuation begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationChange {
    /// The zone is to be left.
    Begin,
    /// The zone may be used again.
    End,
}
