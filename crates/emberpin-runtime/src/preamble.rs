//! The preamble that each side of a connection between processes sends before its first frame: the versions of the
//! protocol that the sender speaks, the system that it belongs to, and its incarnation. A peer that has no protocol
//! version in common or belongs to another system is rejected before any message is read.
//!
//! A preamble has 24 bytes, with all numbers big-endian:
//!
//! | bytes | field |
//! | --- | --- |
//! | 0 to 3 | magic, `EmPn` |
//! | 4, 5 | oldest version of the protocol that the sender speaks |
//! | 6, 7 | newest version of the protocol that the sender speaks; 0 if it is the same as the oldest |
//! | 8 to 15 | system; 0 if the sender does not know it yet |
//! | 16 to 23 | incarnation |
//!
//! A build without preambles reads the magic as the length of a frame. That length exceeds its limit, so such a build
//! closes the connection. Builds that speak only version 2 accept a peer whose oldest version is 2, and ignore bytes 6
//! and 7.

use crate::protocol_version::{ProtocolVersion, VersionRange};
use crate::system_id::SystemId;

/// The length of a preamble, in bytes.
pub const PREAMBLE_BYTES: usize = 24;
/// The first bytes of a preamble.
const MAGIC: [u8; 4] = *b"EmPn";

/// Why a peer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The peer's first bytes are not a preamble, as with builds before version 2.
    #[error("peer does not begin with a preamble")]
    MissingPreamble,
    /// The peer speaks only versions of the protocol that are newer than those of this process.
    #[error("peer requires protocol version {theirs} or newer, this process speaks {ours}")]
    VersionsTooNew {
        /// The oldest version that the peer speaks.
        theirs: ProtocolVersion,
        /// The versions that this process speaks.
        ours: VersionRange,
    },
    /// The peer speaks only versions of the protocol that are older than those of this process.
    #[error("peer speaks protocol version {theirs} or older, this process speaks {ours}")]
    VersionsTooOld {
        /// The newest version that the peer speaks.
        theirs: ProtocolVersion,
        /// The versions that this process speaks.
        ours: VersionRange,
    },
    /// The peer belongs to another system.
    #[error("peer belongs to system {theirs}, this process to {ours}")]
    SystemMismatch {
        /// The system of the peer.
        theirs: SystemId,
        /// The system of this process.
        ours: SystemId,
    },
}

/// The content of a preamble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preamble {
    /// The versions of the protocol that the sender speaks.
    pub versions: VersionRange,
    /// The system that the sender belongs to; `None` if the sender does not know it yet.
    pub system: Option<SystemId>,
    /// The incarnation of the sender, which differs between starts. Receivers use it to distinguish a restarted process
    /// from the one that had the same address before.
    pub incarnation: u64,
}

impl Preamble {
    /// Encodes the preamble.
    pub fn encode(self) -> [u8; PREAMBLE_BYTES] {
        let mut bytes = [0; PREAMBLE_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        let VersionRange { oldest, newest } = self.versions;
        let newest_field = if newest == oldest { 0 } else { newest.0 };
        bytes[4..6].copy_from_slice(&oldest.0.to_be_bytes());
        bytes[6..8].copy_from_slice(&newest_field.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.system.map_or(0, SystemId::get).to_be_bytes());
        bytes[16..].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes
    }

    /// Decodes a preamble, without a check of its versions or system.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::MissingPreamble`] if the bytes do not begin with the magic.
    pub fn decode(bytes: &[u8; PREAMBLE_BYTES]) -> Result<Preamble, HandshakeError> {
        check_magic([bytes[0], bytes[1], bytes[2], bytes[3]])?;
        let number_at = |offset: usize| {
            bytes[offset..offset + 8]
                .iter()
                .fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        Ok(Preamble {
            versions: decode_versions([bytes[4], bytes[5], bytes[6], bytes[7]]),
            system: SystemId::new(number_at(8)),
            incarnation: number_at(16),
        })
    }
}

/// Checks the first four bytes of a preamble.
pub(crate) fn check_magic(bytes: [u8; 4]) -> Result<(), HandshakeError> {
    if bytes == MAGIC {
        Ok(())
    } else {
        Err(HandshakeError::MissingPreamble)
    }
}

/// Decodes bytes 4 to 7 of a preamble.
fn decode_versions(bytes: [u8; 4]) -> VersionRange {
    let oldest = ProtocolVersion(u16::from_be_bytes([bytes[0], bytes[1]]));
    let newest = ProtocolVersion(u16::from_be_bytes([bytes[2], bytes[3]]));
    VersionRange {
        oldest,
        newest: newest.max(oldest),
    }
}

/// Checks that the oldest version of a peer (bytes 4 and 5) is not newer than all of `ours`. If it is, the format of
/// the rest of its preamble may be unknown to this build.
pub(crate) fn check_oldest_version(
    bytes: [u8; 2],
    ours: VersionRange,
) -> Result<(), HandshakeError> {
    let theirs = ProtocolVersion(u16::from_be_bytes(bytes));
    if theirs > ours.newest {
        return Err(HandshakeError::VersionsTooNew { theirs, ours });
    }
    Ok(())
}

/// Checks that a peer whose oldest version passed [`check_oldest_version`] has a version in common with `ours`.
pub(crate) fn check_newest_version(
    theirs: VersionRange,
    ours: VersionRange,
) -> Result<(), HandshakeError> {
    match ours.newest_common(theirs) {
        Some(_) => Ok(()),
        None => Err(HandshakeError::VersionsTooOld {
            theirs: theirs.newest,
            ours,
        }),
    }
}
