//! Calls of clients.

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
    },
}

/// Whether an evacuation begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone is to be left.
    Begin,
    /// The zone may be used again.
    End,
}
