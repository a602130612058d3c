//! The encoding of the messages between the two processes of a limiter, over a byte stream.
//!
//! ```text
//! hello   "EMBERPIN" | version u16                 from the successor, once
//! frame   length u32 | crc32 of body | body (postcard)
//! ```
//!
//! Integers are little-endian. The predecessor answers the hello with [`Message::State`] or [`Message::Refused`]; after
//! a state both sides send updates. The predecessor closes the connection on a hello of another version.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The version of the protocol; incremented with every change of the messages.
pub const VERSION: u16 = 1;
/// The length of a hello in bytes.
pub const HELLO_LEN: usize = 10;
/// The length in bytes of a frame's header: the body's length and checksum.
pub const HEADER_LEN: usize = 8;
/// The longest body in bytes, which bounds what a receiver allocates.
pub const MAX_BODY_LEN: usize = 16 << 20;
const MAGIC: [u8; 8] = *b"EMBERPIN";

/// A message between the two processes; `U` is the host's type of updates. The order of variants is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<U> {
    /// The predecessor's state, in the host's encoding.
    State(Vec<u8>),
    /// The predecessor rejects the request, as another upgrade is in progress.
    Refused,
    /// A change that must be known to both processes at once.
    Update(U),
}

/// Why a message cannot be encoded, or received bytes cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A hello that does not begin with the magic bytes of this program.
    #[error("the other process is not one of this program")]
    UnknownProgram,
    /// A hello of another version.
    #[error("the other process speaks version {0}; this one speaks only version {VERSION}")]
    UnsupportedVersion(u16),
    /// A body longer than [`MAX_BODY_LEN`].
    #[error("a message has {0} bytes; at most {MAX_BODY_LEN} are allowed")]
    TooLong(usize),
    /// A body whose length or checksum differs from that in its header.
    #[error("a message is truncated or corrupt")]
    Corrupt,
    /// A body that is not a message of this version, or a message that cannot be encoded.
    #[error("a message cannot be encoded or decoded: {0}")]
    Codec(#[from] postcard::Error),
}

/// The first bytes that a successor sends.
pub fn encode_hello() -> [u8; HELLO_LEN] {
    let mut bytes = [0; HELLO_LEN];
    bytes[..MAGIC.len()].copy_from_slice(&MAGIC);
    bytes[MAGIC.len()..].copy_from_slice(&VERSION.to_le_bytes());
    bytes
}

/// Checks that a hello comes from a process of this program with the same protocol version.
///
/// # Errors
///
/// [`FrameError::UnknownProgram`] or [`FrameError::UnsupportedVersion`].
pub fn check_hello(hello: &[u8; HELLO_LEN]) -> Result<(), FrameError> {
    let (magic, version) = hello.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(FrameError::UnknownProgram);
    }
    match u16::from_le_bytes([version[0], version[1]]) {
        VERSION => Ok(()),
        other => Err(FrameError::UnsupportedVersion(other)),
    }
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// [`FrameError::TooLong`] if the host's state is too large, [`FrameError::Codec`] if its update cannot be encoded.
pub fn encode<U: Serialize>(message: &Message<U>) -> Result<Vec<u8>, FrameError> {
    let body = postcard::to_allocvec(message)?;
    if body.len() > MAX_BODY_LEN {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_LEN + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// The length in bytes of the body that follows this header.
///
/// # Errors
///
/// [`FrameError::TooLong`], before anything is allocated for the body.
pub fn body_len(header: &[u8; HEADER_LEN]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    if length > MAX_BODY_LEN {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// Decodes the message of a frame.
///
/// # Errors
///
/// [`FrameError`], if the body does not match the header or is not a message.
pub fn decode<U: DeserializeOwned>(
    header: &[u8; HEADER_LEN],
    body: &[u8],
) -> Result<Message<U>, FrameError> {
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if body_len(header)? != body.len() || checksum != crc32fast::hash(body) {
        return Err(FrameError::Corrupt);
    }
    Ok(postcard::from_bytes(body)?)
}
