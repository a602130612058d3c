//! What each side of a connection between processes says first: the version of the protocol, which system it
//! belongs to, and its incarnation. Whoever is of another version or system is refused before any message is
//! read.
//!
//! 24 bytes, numbers with the highest byte first: the magic, the version (2), two bytes of 0, the system (8; 0
//! for one that is not known), the incarnation (8). Read as the length of a frame, the magic is beyond what a
//! build without preambles takes, so that such a build ends the connection, too.

use std::num::NonZeroU64;

/// Rises whenever the bytes of any message between processes change.
pub const PROTOCOL_VERSION: u16 = 2;
/// How long a preamble is, in bytes.
pub const PREAMBLE_BYTES: usize = 24;
pub(crate) const MAGIC: [u8; 4] = *b"EmPn";

/// Why a peer is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// It says something else first, as builds before version 2 do.
    #[error("it does not begin with a preamble")]
    MissingPreamble,
    /// It speaks another version.
    #[error("it speaks version {0} of the protocol, and this build {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    /// It belongs to another system.
    #[error("it belongs to system {theirs:016x}, and this process to {ours:016x}")]
    SystemMismatch {
        /// Its system.
        theirs: NonZeroU64,
        /// This one's.
        ours: NonZeroU64,
    },
}

/// What a peer of the same version and system says first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preamble {
    /// Which system it belongs to, if it knows.
    pub system: Option<NonZeroU64>,
    /// Drawn at each start of the sender.
    pub incarnation: u64,
}

impl Preamble {
    /// As bytes.
    pub fn encode(self) -> [u8; PREAMBLE_BYTES] {
        let mut bytes = [0; PREAMBLE_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..6].copy_from_slice(&PROTOCOL_VERSION.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.system.map_or(0, NonZeroU64::get).to_be_bytes());
        bytes[16..].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes
    }

    /// From bytes.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::MissingPreamble`], [`HandshakeError::Version`].
    pub fn decode(bytes: &[u8; PREAMBLE_BYTES]) -> Result<Preamble, HandshakeError> {
        let number = |from: usize| {
            bytes[from..from + 8]
                .iter()
                .fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        if bytes[..4] != MAGIC {
            return Err(HandshakeError::MissingPreamble);
        }
        let version = u16::from_be_bytes([bytes[4], bytes[5]]);
        if version != PROTOCOL_VERSION {
            return Err(HandshakeError::VersionMismatch(version));
        }
        Ok(Preamble {
            system: NonZeroU64::new(number(8)),
            incarnation: number(16),
        })
    }
}
