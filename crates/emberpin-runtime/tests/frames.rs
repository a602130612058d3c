//! Framing: messages must be read as they were written, and invalid, truncated or too long frames must end the
//! connection.

use emberpin_runtime::frames::{
    convert_for_version, encode, read, ConnectionError, MAX_FRAME_BYTES, MAX_MESSAGE_BYTES,
};
use emberpin_runtime::protocol_version::ProtocolVersion;
use googletest::prelude::*;
use std::io;

/// Reads one message from these bytes.
fn read_from(mut bytes: &[u8]) -> std::result::Result<String, ConnectionError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(read(&mut bytes))
}

/// The head of a frame whose message ends with it: the length of its part.
fn frame_head(bytes: usize) -> Vec<u8> {
    u32::try_from(bytes).expect("a length").to_be_bytes().into()
}

#[gtest]
fn a_message_is_read_as_it_was_written() {
    let frame = encode(&"message").expect("a frame");
    expect_that!(frame[..4], eq(&[0, 0, 0, 8]));
    expect_that!(read_from(&frame), ok(eq("message")));
}

#[gtest]
fn a_message_beyond_the_limit_is_neither_written_nor_read() {
    // The encoding of a string of this length begins with four bytes for its length.
    let longest = "x".repeat(MAX_MESSAGE_BYTES - 4);
    expect_that!(
        read_from(&encode(&longest).expect("a frame")),
        ok(eq(&longest))
    );
    let too_long = MAX_MESSAGE_BYTES + 1;
    expect_that!(
        encode(&format!("{longest}x")),
        err(matches_pattern!(ConnectionError::MessageTooLong(eq(
            &too_long
        ))))
    );
    expect_that!(
        read_from(&frame_head(too_long)),
        err(matches_pattern!(ConnectionError::MessageTooLong(eq(
            &too_long
        ))))
    );
}

/// The frames in these bytes: whether the message continues after each, and the length of its part.
fn frames_in(mut bytes: &[u8]) -> Vec<(bool, usize)> {
    let mut frames = Vec::new();
    while let Some((head, rest)) = bytes.split_first_chunk() {
        let head = u32::from_be_bytes(*head);
        let length = (head & 0x7fff_ffff) as usize;
        frames.push((head >> 31 == 1, length));
        bytes = &rest[length..];
    }
    frames
}

#[gtest]
fn a_long_message_is_split_into_frames_of_bounded_length() {
    // The encoding of a string of these lengths begins with three bytes for its length.
    for (text_bytes, expected) in [
        (MAX_FRAME_BYTES - 3, vec![(false, MAX_FRAME_BYTES)]),
        (
            MAX_FRAME_BYTES - 2,
            vec![(true, MAX_FRAME_BYTES), (false, 1)],
        ),
        (
            2 * MAX_FRAME_BYTES,
            vec![(true, MAX_FRAME_BYTES), (true, MAX_FRAME_BYTES), (false, 3)],
        ),
    ] {
        let text: String = ('a'..='z').cycle().take(text_bytes).collect();
        let bytes = encode(&text).expect("frames");
        expect_that!(frames_in(&bytes), eq(&expected));
        expect_that!(read_from(&bytes), ok(eq(&text)));
    }
}

#[gtest]
fn a_message_in_one_frame_of_an_earlier_build_is_read() {
    let text = "x".repeat(MAX_FRAME_BYTES);
    let message = postcard::to_allocvec(&text).expect("a message");
    let frame = [frame_head(message.len()), message].concat();
    expect_that!(read_from(&frame), ok(eq(&text)));
}

#[gtest]
fn frames_that_never_end_a_message_are_rejected() {
    let continuing = |bytes: usize| {
        let head = u32::try_from(bytes).expect("a length") | 1 << 31;
        [head.to_be_bytes().to_vec(), vec![0; bytes]].concat()
    };
    expect_that!(
        read_from(&continuing(0)),
        err(matches_pattern!(ConnectionError::EmptyFrame))
    );
    let endless = continuing(MAX_FRAME_BYTES).repeat(33);
    expect_that!(
        read_from(&endless),
        err(matches_pattern!(ConnectionError::MessageTooLong(eq(
            &(33 * MAX_FRAME_BYTES)
        ))))
    );
}

#[gtest]
fn a_truncated_frame_is_reported_as_the_end_of_the_connection() {
    let frame = encode(&"message").expect("a frame");
    for end in 0..frame.len() {
        let error = read_from(&frame[..end]).expect_err("a truncated frame");
        let ConnectionError::Io(error) = error else {
            panic!("{end} bytes: {error}");
        };
        expect_that!(
            error.kind(),
            eq(io::ErrorKind::UnexpectedEof),
            "{end} bytes"
        );
    }
}

#[gtest]
fn a_frame_of_another_type_is_malformed() {
    let frame = [frame_head(2), vec![1, 0xff]].concat();
    expect_that!(
        read_from(&frame),
        err(matches_pattern!(ConnectionError::Malformed(anything())))
    );
}

#[gtest]
fn a_message_to_a_peer_of_version_2_is_one_frame() {
    for length in [
        1,
        MAX_FRAME_BYTES - 4,
        MAX_FRAME_BYTES,
        2 * MAX_FRAME_BYTES,
        3 * MAX_FRAME_BYTES + 1,
    ] {
        let message = "y".repeat(length);
        let frames = encode(&message).expect("frames");
        expect_that!(
            *convert_for_version(&frames, ProtocolVersion::V3),
            eq(&frames[..])
        );
        let single = convert_for_version(&frames, ProtocolVersion::V2);
        let [(continues, _)] = frames_in(&single)[..] else {
            panic!("{length}: {:?}", frames_in(&single));
        };
        expect_that!(continues, eq(false));
        expect_that!(read_from(&single), ok(eq(&message)));
    }
}
