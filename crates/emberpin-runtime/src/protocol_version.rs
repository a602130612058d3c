//! Versions of the protocol between processes, and the choice of the version that two processes use with each other.
//!
//! A build speaks its own version and at least the version of the build before it, so that machines can be upgraded one
//! after the other. Two processes use the newest version that both speak.

use std::fmt;

/// A version of the protocol between processes. It is increased whenever the encoding of any message changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProtocolVersion(pub u16);

impl ProtocolVersion {
    /// Each message is sent as one frame, a subscription begins with one message that has all items, and changes of an
    /// evacuation have no precondition.
    pub const V2: ProtocolVersion = ProtocolVersion(2);
    /// Long messages are split into several frames, items are sent in batches, and changes of an evacuation name the
    /// version of the evacuation that they change.
    pub const V3: ProtocolVersion = ProtocolVersion(3);
    /// Stores keep registers (locks, counters and cells) for applications.
    pub const V4: ProtocolVersion = ProtocolVersion(4);
}

impl fmt::Display for ProtocolVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The versions that a process speaks, from the oldest to the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRange {
    /// The oldest version.
    pub oldest: ProtocolVersion,
    /// The newest version, which is not older than `oldest`.
    pub newest: ProtocolVersion,
}

impl VersionRange {
    /// The versions that this build speaks.
    pub const SUPPORTED: VersionRange = VersionRange {
        oldest: ProtocolVersion::V2,
        newest: ProtocolVersion::V4,
    };

    /// The versions that this build speaks, up to `newest`; `None` if this build does not speak `newest`.
    pub fn supported_up_to(newest: ProtocolVersion) -> Option<VersionRange> {
        let VersionRange {
            oldest,
            newest: newest_supported,
        } = VersionRange::SUPPORTED;
        (oldest..=newest_supported)
            .contains(&newest)
            .then_some(VersionRange { oldest, newest })
    }

    /// The newest version in both ranges; `None` if they have none in common.
    pub fn newest_common(self, other: VersionRange) -> Option<ProtocolVersion> {
        let oldest = self.oldest.max(other.oldest);
        let newest = self.newest.min(other.newest);
        (oldest <= newest).then_some(newest)
    }
}

impl Default for VersionRange {
    fn default() -> VersionRange {
        VersionRange::SUPPORTED
    }
}

impl fmt::Display for VersionRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} to {}", self.oldest, self.newest)
    }
}
