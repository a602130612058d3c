//! Frames between the system's own processes: the length in four bytes, big-endian, then the message in `postcard`.

use crate::preamble::HandshakeError;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The most bytes of a frame after its length; a longer one ends the connection. Bounds the memory that one connection
/// takes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// How many bytes the length of a frame takes.
const LENGTH_BYTES: usize = 4;
/// The most memory that is reserved for a frame before its bytes arrive.
const MAX_RESERVED_BYTES: usize = 64 << 10;

/// Why a connection between processes ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection failed or was closed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame of this many bytes, more than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES}")]
    FrameTooLong(usize),
    /// The peer is of another version or system.
    #[error("the peer is rejected: {0}")]
    Handshake(#[from] HandshakeError),
    /// The bytes of a frame are no message of this protocol.
    #[error("a frame is not a message of this protocol: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The bytes of one frame, length included.
///
/// # Errors
///
/// [`ConnectionError::FrameTooLong`], and [`ConnectionError::Malformed`] for what `postcard` cannot encode.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, ConnectionError> {
    let mut frame = postcard::to_extend(message, vec![0; LENGTH_BYTES])?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(ConnectionError::FrameTooLong(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Writes one message.
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
    let mut length = [0; LENGTH_BYTES];
    from.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(ConnectionError::FrameTooLong(length));
    }
    // Grows with the bytes that arrive, so that a length alone takes no memory.
    let mut bytes = Vec::with_capacity(length.min(MAX_RESERVED_BYTES));
    let received = from.take(length as u64).read_to_end(&mut bytes).await?;
    if received < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(postcard::from_bytes(&bytes)?)
}
