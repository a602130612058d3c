//! Messages between the system's own processes: a length of four bytes, the highest first, then `postcard`.

use crate::preamble::HandshakeError;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// A frame holds no more bytes than this; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a connection between processes ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection itself.
    #[error("the connection: {0}")]
    Io(#[from] io::Error),
    /// A length beyond [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes, of at most {MAX_FRAME_BYTES}")]
    FrameTooLong(usize),
    /// The peer is of another version or system.
    #[error("a peer that is refused: {0}")]
    Handshake(#[from] HandshakeError),
    /// Bytes that are no message of this protocol.
    #[error("a frame that is no message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The bytes of one frame.
///
/// # Errors
///
/// [`ConnectionError::FrameTooLong`], and what cannot be written as `postcard`.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, ConnectionError> {
    let mut bytes = postcard::to_extend(message, vec![0; 4])?;
    let length = bytes.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(ConnectionError::FrameTooLong(length));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Writes one message.
///
/// # Errors
///
/// [`ConnectionError`]: the connection is of no use after it.
pub async fn write<T: Serialize>(
    to: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), ConnectionError> {
    Ok(to.write_all(&encode(message)?).await?)
}

/// Reads one message.
///
/// # Errors
///
/// [`ConnectionError`]: the connection is of no use after it.
pub async fn read<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
) -> Result<T, ConnectionError> {
    let mut length = [0; 4];
    from.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(ConnectionError::FrameTooLong(length));
    }
    // Grown by what has come, so that a length alone takes no memory.
    let mut bytes = Vec::with_capacity(length.min(64 << 10));
    let come = from.take(length as u64).read_to_end(&mut bytes).await?;
    if come < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(postcard::from_bytes(&bytes)?)
}
