//! Tests the decoding of valid, damaged and foreign frames and hellos.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_upgrade::frame::{self, FrameError, Message, HEADER_LEN};
use proptest::prelude::*;

fn decode(bytes: &[u8]) -> Result<Message<u32>, FrameError> {
    let Some((header, body)) = bytes.split_first_chunk() else {
        return Err(FrameError::Corrupt);
    };
    frame::decode(header, body)
}

#[test]
fn a_hello_of_another_version_or_program_is_rejected() {
    let mut hello = frame::encode_hello();
    assert_eq!(frame::check_hello(&hello), Ok(()));
    hello[8] += 1;
    assert_eq!(
        frame::check_hello(&hello),
        Err(FrameError::UnsupportedVersion(frame::VERSION + 1))
    );
    hello[0] = b'X';
    assert_eq!(frame::check_hello(&hello), Err(FrameError::UnknownProgram));
}

#[test]
fn a_header_of_a_body_that_is_too_long_is_rejected() {
    assert_eq!(
        frame::body_len(&[0xff; HEADER_LEN]),
        Err(FrameError::TooLong(u32::MAX as usize))
    );
}

proptest! {
    #[test]
    fn a_frame_is_decoded_as_it_was_encoded_and_rejected_when_altered_or_truncated(
        state in proptest::collection::vec(any::<u8>(), 0..200),
        position in any::<prop::sample::Index>(),
        bit in 0u8..8,
        length in any::<prop::sample::Index>(),
    ) {
        let message: Message<u32> = Message::State(state);
        let frame = frame::encode(&message).expect("short enough");
        prop_assert_eq!(decode(&frame), Ok(message));
        let mut altered = frame.clone();
        altered[position.index(frame.len())] ^= 1 << bit;
        prop_assert!(decode(&altered).is_err());
        prop_assert!(decode(&frame[..length.index(frame.len())]).is_err());
    }

    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        _ = decode(&bytes);
    }
}
