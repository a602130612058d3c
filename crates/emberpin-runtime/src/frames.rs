//! The frames in which the system's own processes exchange messages.
//!
//! A message is encoded with `postcard`. It is carried by one frame or, if it is longer than [`MAX_FRAME_BYTES`], split
//! into several consecutive ones. A frame is a head of four bytes, big-endian, followed by its part of the message. The
//! highest bit of the head says whether the message continues in the next frame; the other bits are the length of the
//! part in bytes. Peers that speak version 2 of the protocol read one frame for each message, however long it is.

use crate::preamble::HandshakeError;
use crate::protocol_version::ProtocolVersion;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::borrow::Cow;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The maximum length in bytes, without the head, of the frames that this build writes. Longer frames are still read,
/// as earlier builds write each message as one frame.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// The maximum length of a message in bytes; a longer one ends the connection. This bounds the memory that one
/// connection uses.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The length of a frame's head, in bytes.
const HEAD_BYTES: usize = 4;
/// The bit of the head that is set if the message continues in the next frame.
const CONTINUATION_FLAG: u32 = 1 << 31;
/// The maximum number of bytes that are reserved at once for a message before its bytes are received.
const MAX_RESERVED_BYTES: usize = 64 << 10;

/// Why a connection between processes ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection failed or was closed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A message is longer than [`MAX_MESSAGE_BYTES`]: it has at least this many bytes.
    #[error("a message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")]
    MessageTooLong(usize),
    /// A frame has an empty part although its message continues in the next frame.
    #[error("an empty frame has the continuation flag")]
    EmptyFrame,
    /// The peer has no protocol version in common with this process, or belongs to another system.
    #[error("the peer is rejected: {0}")]
    Handshake(#[from] HandshakeError),
    /// The received bytes are not a message of the expected type.
    #[error("a frame is not a message of this protocol: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message as one or more consecutive frames.
///
/// # Errors
///
/// [`ConnectionError::MessageTooLong`], or [`ConnectionError::Malformed`] if `postcard` cannot encode the message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, ConnectionError> {
    let mut frame = postcard::to_extend(message, vec![0; HEAD_BYTES])?;
    let length = frame.len() - HEAD_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(ConnectionError::MessageTooLong(length));
    }
    if length > MAX_FRAME_BYTES {
        return Ok(split_into_frames(&frame[HEAD_BYTES..]));
    }
    frame[..HEAD_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Splits an encoded message that is too long for one frame into several.
fn split_into_frames(message: &[u8]) -> Vec<u8> {
    let frame_count = message.len().div_ceil(MAX_FRAME_BYTES);
    let mut frames = Vec::with_capacity(message.len() + frame_count * HEAD_BYTES);
    for (index, part) in message.chunks(MAX_FRAME_BYTES).enumerate() {
        let is_last = index + 1 == frame_count;
        let flag = if is_last { 0 } else { CONTINUATION_FLAG };
        let head = part.len() as u32 | flag;
        frames.extend_from_slice(&head.to_be_bytes());
        frames.extend_from_slice(part);
    }
    frames
}

/// Converts the frames of one message, as [`encode`] returns them, for a peer that speaks `version` of the protocol:
/// for version 2, several frames are joined into one.
pub fn convert_for_version(frames: &[u8], version: ProtocolVersion) -> Cow<'_, [u8]> {
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

/// Whether an encoded message, as [`encode`] returns it, has more than one frame. If so, its bytes differ between
/// versions of the protocol.
pub fn is_split(frames: &[u8]) -> bool {
    frames.len() > HEAD_BYTES + MAX_FRAME_BYTES
}

/// Writes one message as [`encode`] returns it, without a conversion for older versions of the protocol.
///
/// # Errors
///
/// [`ConnectionError`]; the connection cannot be used after it.
pub async fn write<T: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), ConnectionError> {
    Ok(writer.write_all(&encode(message)?).await?)
}

/// Reads one message. Not cancellation safe: if the future is dropped, part of a frame may have been read.
///
/// # Errors
///
/// [`ConnectionError`]; the connection cannot be used after it.
pub async fn read<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<T, ConnectionError> {
    let mut message = Vec::new();
    while read_frame(reader, &mut message).await? {}
    Ok(postcard::from_bytes(&message)?)
}

/// Reads one frame, and appends its part to the message. Returns whether the message continues in the next frame.
async fn read_frame(
    reader: &mut (impl AsyncRead + Unpin),
    message: &mut Vec<u8>,
) -> Result<bool, ConnectionError> {
    let mut head = [0; HEAD_BYTES];
    reader.read_exact(&mut head).await?;
    let head = u32::from_be_bytes(head);
    let (continues, length) = (
        head & CONTINUATION_FLAG != 0,
        (head & !CONTINUATION_FLAG) as usize,
    );
    let total = message.len() + length;
    if total > MAX_MESSAGE_BYTES {
        return Err(ConnectionError::MessageTooLong(total));
    }
    if continues && length == 0 {
        return Err(ConnectionError::EmptyFrame);
    }
    // The buffer then grows with the bytes that are received, so that a length alone allocates little memory.
    message.reserve(length.min(MAX_RESERVED_BYTES));
    let received = reader.take(length as u64).read_to_end(message).await?;
    if received < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(continues)
}
