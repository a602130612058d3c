//! Frames on a stream of bytes: a length of four bytes, most significant first, then so many bytes. A length beyond the
//! bound is an error before a byte of it is kept.

/// A frame that says it is longer than the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong {
    /// Bytes that it says it has.
    pub bytes: u32,
}

/// Takes a stream apart.
#[derive(Clone, Debug)]
pub struct Frames {
    longest: usize,
    buffer: Vec<u8>,
    used: usize,
}

const LENGTH: usize = 4;

impl Frames {
    /// Frames of at most `longest` bytes.
    pub fn new(longest: usize) -> Frames {
        Frames {
            longest,
            buffer: Vec::new(),
            used: 0,
        }
    }

    /// Takes the stream's next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.used);
        self.used = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame, without its length; `None` until it is all there.
    ///
    /// # Errors
    ///
    /// It is too long; nothing after it can be read.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, TooLong> {
        let unread = self.buffer.get(self.used..).unwrap_or_default();
        let Some(head) = unread.first_chunk::<LENGTH>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*head);
        if bytes as usize > self.longest {
            return Err(TooLong { bytes });
        }
        let end = LENGTH + bytes as usize;
        let Some(frame) = unread.get(LENGTH..end) else {
            return Ok(None);
        };
        let frame = frame.to_vec();
        self.used += end;
        Ok(Some(frame))
    }

    /// A frame's bytes, with its length.
    pub fn encode(payload: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(LENGTH + payload.len());
        bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        bytes.extend_from_slice(payload);
        bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_frame_of_four_gigabytes_is_refused_at_its_head() {
        let mut frames = Frames::new(1000);
        frames.feed(&[0xff, 0xff, 0xff, 0xff]);
        assert_eq!(frames.next_frame(), Err(TooLong { bytes: u32::MAX }));
    }

    proptest! {
        #[test]
        fn frames_come_back_however_the_stream_is_cut(
            payloads in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 0..10),
            cut in 1..20usize,
        ) {
            let stream: Vec<u8> = payloads.iter().flat_map(|payload| Frames::encode(payload)).collect();
            let (mut frames, mut read) = (Frames::new(50), Vec::new());
            for piece in stream.chunks(cut) {
                frames.feed(piece);
                while let Some(frame) = frames.next_frame().expect("short") {
                    read.push(frame);
                }
            }
            prop_assert_eq!(read, payloads);
        }
    }
}
