//! Frames between the system's own processes.
//!
//! A message in `postcard` is carried by one frame or, if it is longer than [`MAX_FRAME_BYTES`], by several in a row.
//! A frame is four bytes, big-endian, and then its part of the message. The highest bit of the four bytes says whether
//! the message continues in the next frame, the others are the length of the part. Peers of version 2 of the protocol
//! read one frame for each message, however long it is.

use crate::preamble::HandshakeError;
use crate::protocol_version::ProtocolVersion;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::borrow::Cow;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The most bytes of a frame after its head, as this build writes them. A longer one is read, as earlier builds write
/// each message as one frame.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// The most bytes of a message; a longer one ends the connection. Bounds the memory that one connection takes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// How many bytes the head of a frame takes.
const HEAD_BYTES: usize = 4;
/// Set in the head of a frame whose message continues in the next one.
const CONTINUES: u32 = 1 << 31;
/// The most memory that is reserved for a message before its bytes arrive.
const MAX_RESERVED_BYTES: usize = 64 << 10;

/// Why a connection between processes ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection failed or was closed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A message of this many bytes or more, beyond [`MAX_MESSAGE_BYTES`].
    #[error("a message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")]
    MessageTooLong(usize),
    /// A frame without a part of its message that announces another one.
    #[error("an empty frame announces another one")]
    EmptyFrame,
    /// The peer is of another version or system.
    #[error("the peer is rejected: {0}")]
    Handshake(#[from] HandshakeError),
    /// The bytes of a frame are no message of this protocol.
    #[error("a frame is not a message of this protocol: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The bytes of a message's frames.
///
/// # Errors
///
/// [`ConnectionError::MessageTooLong`], and [`ConnectionError::Malformed`] for what `postcard` cannot encode.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, ConnectionError> {
    let mut frame = postcard::to_extend(message, vec![0; HEAD_BYTES])?;
    let length = frame.len() - HEAD_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(ConnectionError::MessageTooLong(length));
    }
    if length > MAX_FRAME_BYTES {
        return Ok(split(&frame[HEAD_BYTES..]));
    }
    frame[..HEAD_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// The frames of a message that is too long for one.
fn split(message: &[u8]) -> Vec<u8> {
    let frame_count = message.len().div_ceil(MAX_FRAME_BYTES);
    let mut frames = Vec::with_capacity(message.len() + frame_count * HEAD_BYTES);
    for (number, part) in message.chunks(MAX_FRAME_BYTES).enumerate() {
        let is_last = number + 1 == frame_count;
        let flag = if is_last { 0 } else { CONTINUES };
        let head = part.len() as u32 | flag;
        frames.extend_from_slice(&head.to_be_bytes());
        frames.extend_from_slice(part);
    }
    frames
}

/// The frames of one message, as [`encode`] returns them, for a peer with this version of the protocol.
pub fn for_version(frames: &[u8], version: ProtocolVersion) -> Cow<'_, [u8]> {
    if version >= ProtocolVersion::V3 || !is_split(frames) {
        return Cow::Borrowed(frames);
    }
    let message: Vec<u8> = frames
        .chunks(HEAD_BYTES + MAX_FRAME_BYTES)
        .flat_map(|frame| &frame[HEAD_BYTES..])
        .copied()
        .collect();
    let head = (message.len() as u32).to_be_bytes();
    Cow::Owned([&head[..], &message].concat())
}

/// Whether a message, as [`encode`] returns it, has more than one frame. Then its bytes differ between versions of the
/// protocol.
pub fn is_split(frames: &[u8]) -> bool {
    frames.len() > HEAD_BYTES + MAX_FRAME_BYTES
}

/// Writes one message to a peer of this build's version.
///
/// # Errors
///
/// [`ConnectionError`]; the connection cannot be used after it.
pub async fn write<T: Serialize>(
    to: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), ConnectionError> {
    Ok(to.write_all(&encode(message)?).await?)
}

/// Reads one message. Not cancel safe: part of a frame may have been read.
///
/// # Errors
///
/// [`ConnectionError`]; the connection cannot be used after it.
pub async fn read<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
) -> Result<T, ConnectionError> {
    let mut message = Vec::new();
    while read_frame(from, &mut message).await? {}
    Ok(postcard::from_bytes(&message)?)
}

/// Reads one frame, and appends its part of the message. Whether the message continues.
async fn read_frame(
    from: &mut (impl AsyncRead + Unpin),
    message: &mut Vec<u8>,
) -> Result<bool, ConnectionError> {
    let mut head = [0; HEAD_BYTES];
    from.read_exact(&mut head).await?;
    let head = u32::from_be_bytes(head);
    let (continues, length) = (head & CONTINUES != 0, (head & !CONTINUES) as usize);
    let total = message.len() + length;
    if total > MAX_MESSAGE_BYTES {
        return Err(ConnectionError::MessageTooLong(total));
    }
    if continues && length == 0 {
        return Err(ConnectionError::EmptyFrame);
    }
    // Grows with the bytes that arrive, so that a length alone takes no memory.
    message.reserve(length.min(MAX_RESERVED_BYTES));
    let received = from.take(length as u64).read_to_end(message).await?;
    if received < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(continues)
}
