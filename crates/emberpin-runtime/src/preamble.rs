//! The preamble that each side of a connection between processes sends before any frame: the version of the protocol,
//! the system that the sender belongs to, and its incarnation. A peer of another version or system is rejected before
//! any message is read.
//!
//! 24 bytes, all numbers big-endian:
//!
//! | bytes | field |
//! | --- | --- |
//! | 0 to 3 | magic, `EmPn` |
//! | 4, 5 | version of the protocol |
//! | 6, 7 | 0 |
//! | 8 to 15 | system; 0, if the sender does not know it yet |
//! | 16 to 23 | incarnation |
//!
//! Read as the length of a frame, the magic is beyond what a build without preambles takes, so that such a build ends
//! the connection, too.

use crate::system_id::SystemId;

/// The version of the protocol between processes. It rises whenever the bytes of any message change; processes of
/// different versions reject each other.
pub const PROTOCOL_VERSION: u16 = 2;
/// How long a preamble is, in bytes.
pub const PREAMBLE_BYTES: usize = 24;
/// The first bytes of a preamble.
const MAGIC: [u8; 4] = *b"EmPn";

/// Why a peer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The peer sends something else first, as builds before version 2 do.
    #[error("it does not begin with a preamble")]
    MissingPreamble,
    /// The peer has another version of the protocol.
    #[error("it speaks version {0} of the protocol, and this build {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    /// The peer belongs to another system.
    #[error("it belongs to system {theirs}, and this process to {ours}")]
    SystemMismatch {
        /// The system of the peer.
        theirs: SystemId,
        /// The system of this process.
        ours: SystemId,
    },
}

/// The content of a preamble, of this version of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preamble {
    /// The system that the sender belongs to; `None`, if the sender does not know it yet.
    pub system: Option<SystemId>,
    /// The incarnation of the sender, another one after each start. By it, receivers tell a process that was restarted
    /// from the one that had its address before.
    pub incarnation: u64,
}

impl Preamble {
    /// The bytes of the preamble.
    pub fn encode(self) -> [u8; PREAMBLE_BYTES] {
        let mut bytes = [0; PREAMBLE_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..6].copy_from_slice(&PROTOCOL_VERSION.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.system.map_or(0, SystemId::get).to_be_bytes());
        bytes[16..].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes
    }

    /// Reads a preamble.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::MissingPreamble`], [`HandshakeError::VersionMismatch`].
    pub fn decode(bytes: &[u8; PREAMBLE_BYTES]) -> Result<Preamble, HandshakeError> {
        check_magic([bytes[0], bytes[1], bytes[2], bytes[3]])?;
        check_version([bytes[4], bytes[5]])?;
        let number_at = |offset: usize| {
            bytes[offset..offset + 8]
                .iter()
                .fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        Ok(Preamble {
            system: SystemId::new(number_at(8)),
            incarnation: number_at(16),
        })
    }
}

pub(crate) fn check_magic(bytes: [u8; 4]) -> Result<(), HandshakeError> {
    if bytes == MAGIC {
        Ok(())
    } else {
        Err(HandshakeError::MissingPreamble)
    }
}

pub(crate) fn check_version(bytes: [u8; 2]) -> Result<(), HandshakeError> {
    match u16::from_be_bytes(bytes) {
        PROTOCOL_VERSION => Ok(()),
        other => Err(HandshakeError::VersionMismatch(other)),
    }
}
