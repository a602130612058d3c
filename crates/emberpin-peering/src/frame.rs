//! Length-prefixed frames: the payload's length as four bytes in network byte order, then the payload.

/// Bytes of the length prefix.
const PREFIX_BYTES: usize = 4;

/// A frame announces a payload that exceeds the decoder's bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a frame of {length} bytes exceeds the bound")]
pub struct FrameTooLong {
    /// Announced length of the payload.
    pub length: u32,
}

/// Splits a stream of bytes into frames.
#[derive(Clone, Debug)]
pub struct FrameDecoder {
    max_frame_bytes: usize,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that belong to frames already returned.
    consumed: usize,
}

impl FrameDecoder {
    /// A decoder of frames with at most `max_frame_bytes` of payload.
    pub fn new(max_frame_bytes: usize) -> FrameDecoder {
        FrameDecoder {
            max_frame_bytes,
            buffer: Vec::new(),
            consumed: 0,
        }
    }

    /// Appends the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The payload of the next frame; `None` until all of it has been fed.
    ///
    /// # Errors
    ///
    /// If the announced length exceeds the bound. The rest of the stream cannot be decoded then.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, FrameTooLong> {
        let unread = self.buffer.get(self.consumed..).unwrap_or_default();
        let Some(prefix) = unread.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix);
        if length as usize > self.max_frame_bytes {
            return Err(FrameTooLong { length });
        }
        let end = PREFIX_BYTES + length as usize;
        let Some(payload) = unread.get(PREFIX_BYTES..end) else {
            return Ok(None);
        };
        let payload = payload.to_vec();
        self.consumed += end;
        Ok(Some(payload))
    }
}

/// Encodes a payload as a frame.
pub fn encode_frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(PREFIX_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}
