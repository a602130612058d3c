//! Which messages a connection carries, and which bytes end it.

use emberpin_runtime::frames::{encode, read, ConnectionError, MAX_FRAME_BYTES};
use googletest::prelude::*;
use std::io;

/// What is read from these bytes as one message.
fn read_from(mut bytes: &[u8]) -> std::result::Result<String, ConnectionError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(read(&mut bytes))
}

/// The length of a frame, as it precedes the frame.
fn length(bytes: usize) -> Vec<u8> {
    u32::try_from(bytes).expect("a length").to_be_bytes().into()
}

#[gtest]
fn a_message_is_read_as_it_was_written() {
    let frame = encode(&"message").expect("a frame");
    expect_that!(frame[..4], eq(&[0, 0, 0, 8]));
    expect_that!(read_from(&frame), ok(eq("message")));
}

#[gtest]
fn a_frame_beyond_the_limit_is_neither_written_nor_read() {
    // A string takes four bytes for its own length here.
    let longest = "x".repeat(MAX_FRAME_BYTES - 4);
    expect_that!(
        read_from(&encode(&longest).expect("a frame")),
        ok(eq(&longest))
    );
    let too_long = MAX_FRAME_BYTES + 1;
    expect_that!(
        encode(&format!("{longest}x")),
        err(matches_pattern!(ConnectionError::FrameTooLong(eq(
            &too_long
        ))))
    );
    expect_that!(
        read_from(&length(too_long)),
        err(matches_pattern!(ConnectionError::FrameTooLong(eq(
            &too_long
        ))))
    );
}

#[gtest]
fn a_truncated_frame_is_an_end_of_the_connection() {
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
    let frame = [length(2), vec![1, 0xff]].concat();
    expect_that!(
        read_from(&frame),
        err(matches_pattern!(ConnectionError::Malformed(anything())))
    );
}
