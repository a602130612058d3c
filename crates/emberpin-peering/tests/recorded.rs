//! Frames between limiters as an earlier build wrote them: every kind of message, bare and with a frame's length.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/recording.rs"]
mod recording;

use emberpin_peering::{Frames, Incarnation, Message, Rejection};
use recording::assert_recorded;

const LIFE: Incarnation = Incarnation {
    number: 1_700_000_000_123,
    nonce: 0x8c1f_30d2_7a5b_e964,
};

fn messages() -> Vec<(&'static str, Message)> {
    let hello = Message::Hello {
        versions: (1, 1),
        cluster: "norr".into(),
        from: "n0".into(),
        to: "n1".into(),
        life: LIFE,
        epoch: 300,
    };
    vec![
        ("hello", hello),
        (
            "welcome",
            Message::Welcome {
                version: 1,
                life: LIFE,
                epoch: 300,
            },
        ),
        ("reject-version", Message::Reject(Rejection::Version(1))),
        ("reject-cluster", Message::Reject(Rejection::Cluster)),
        ("reject-name", Message::Reject(Rejection::Name)),
        ("reject-not-me", Message::Reject(Rejection::NotMe)),
        (
            "reject-old-life",
            Message::Reject(Rejection::OldLife(LIFE.number)),
        ),
        (
            "data",
            Message::Data {
                seq: 129,
                to: LIFE.number,
                kind: 3,
                body: b"payload".to_vec(),
            },
        ),
        (
            "data-empty",
            Message::Data {
                seq: 1,
                to: 0,
                kind: 1,
                body: Vec::new(),
            },
        ),
        ("beat", Message::Beat { epoch: 300 }),
        (
            "seen",
            Message::Seen {
                through: 70_000,
                epoch: 300,
            },
        ),
    ]
}

fn decode(bytes: &[u8]) -> Message {
    Message::decode(bytes).expect("a message")
}

/// The one message of a stream that holds one frame and nothing else.
fn decode_framed(stream: &[u8]) -> Message {
    let mut frames = Frames::new(1024);
    frames.feed(stream);
    let frame = frames.next_frame().expect("short enough").expect("whole");
    assert_eq!(frames.next_frame(), Ok(None), "nothing follows");
    decode(&frame)
}

#[test]
fn every_message_is_read_and_written_as_it_was_recorded() {
    assert_recorded("messages.txt", &messages(), Message::encode, decode);
}

#[test]
fn every_message_in_a_frame_is_read_and_written_as_it_was_recorded() {
    assert_recorded(
        "frames.txt",
        &messages(),
        |message| Frames::encode(&message.encode()),
        decode_framed,
    );
}

#[test]
fn versions_and_the_kinds_that_may_be_skipped_are_those_of_the_recording() {
    assert_eq!(emberpin_peering::VERSIONS, (1, 1));
    assert_eq!(emberpin_peering::OPTIONAL, 128);
}
