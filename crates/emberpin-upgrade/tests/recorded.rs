//! Tests that messages between the two processes of a limiter, as recorded from an earlier build, are decoded and
//! encoded to the same bytes. The update is a string here; the limiter's own updates are recorded in the limiter's
//! tests.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_upgrade::frame::{
    body_len, check_hello, decode, encode, encode_hello, Message, HEADER_LEN, HELLO_LEN,
};
use recording::{assert_recorded, recorded_bytes};

fn messages() -> Vec<(&'static str, Message<String>)> {
    vec![
        (
            "state",
            Message::State(b"what the older process knows".to_vec()),
        ),
        ("state-empty", Message::State(Vec::new())),
        ("refused", Message::Refused),
        ("shared", Message::Update("spent".into())),
    ]
}

fn decode_frame(frame: &[u8]) -> Message<String> {
    let (header, body) = frame.split_first_chunk::<HEADER_LEN>().expect("a header");
    assert_eq!(body_len(header), Ok(body.len()));
    decode(header, body).expect("a message")
}

#[test]
fn every_recorded_message_is_decoded_and_encoded_as_it_was() {
    assert_recorded(
        "notes.txt",
        &messages(),
        |message| encode(message).expect("short enough"),
        decode_frame,
    );
}

#[test]
fn the_recorded_hello_is_accepted_and_encoded_as_it_was() {
    let recorded = recorded_bytes("hello", || encode_hello().to_vec());
    let recorded: [u8; HELLO_LEN] = recorded.try_into().expect("a hello's length");
    assert_eq!(check_hello(&recorded), Ok(()));
    assert_eq!(encode_hello(), recorded);
}
