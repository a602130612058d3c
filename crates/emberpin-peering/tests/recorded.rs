//! Messages between peers as an earlier build encoded them: every kind of message, without and with the frame's length
//! prefix.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/recording.rs"]
mod recording;

use emberpin_peering::{
    encode_frame, FrameDecoder, Incarnation, MembershipEpoch, Message, RejectReason, VersionRange,
    FIRST_OPTIONAL_KIND, SUPPORTED_VERSIONS,
};
use recording::assert_recorded;

const INCARNATION: Incarnation = Incarnation {
    number: 1_700_000_000_123,
    nonce: 0x8c1f_30d2_7a5b_e964,
};

fn messages() -> Vec<(&'static str, Message)> {
    let hello = Message::Hello {
        versions: VersionRange {
            oldest: 1,
            newest: 1,
        },
        cluster: "norr".into(),
        sender: "n0".into(),
        recipient: "n1".into(),
        incarnation: INCARNATION,
        epoch: MembershipEpoch(300),
    };
    vec![
        ("hello", hello),
        (
            "welcome",
            Message::Welcome {
                version: 1,
                incarnation: INCARNATION,
                epoch: MembershipEpoch(300),
            },
        ),
        (
            "reject-version",
            Message::Reject(RejectReason::UnsupportedVersion(1)),
        ),
        (
            "reject-cluster",
            Message::Reject(RejectReason::WrongCluster),
        ),
        ("reject-name", Message::Reject(RejectReason::InvalidName)),
        (
            "reject-not-me",
            Message::Reject(RejectReason::WrongRecipient),
        ),
        (
            "reject-old-life",
            Message::Reject(RejectReason::StaleIncarnation(INCARNATION.number)),
        ),
        (
            "data",
            Message::Data {
                sequence: 129,
                recipient_nonce: INCARNATION.number,
                kind: 3,
                body: b"payload".to_vec(),
            },
        ),
        (
            "data-empty",
            Message::Data {
                sequence: 1,
                recipient_nonce: 0,
                kind: 1,
                body: Vec::new(),
            },
        ),
        (
            "beat",
            Message::Heartbeat {
                epoch: MembershipEpoch(300),
            },
        ),
        (
            "seen",
            Message::HeartbeatAck {
                acknowledged: 70_000,
                epoch: MembershipEpoch(300),
            },
        ),
    ]
}

fn decode(bytes: &[u8]) -> Message {
    Message::decode(bytes).expect("a message")
}

/// Decodes the message of a stream that consists of exactly one frame.
fn decode_framed(stream: &[u8]) -> Message {
    let mut decoder = FrameDecoder::new(1024);
    decoder.feed(stream);
    let frame = decoder
        .next_frame()
        .expect("within the bound")
        .expect("a whole frame");
    assert_eq!(decoder.next_frame(), Ok(None), "no second frame follows");
    decode(&frame)
}

#[test]
fn every_message_is_decoded_and_encoded_as_recorded() {
    assert_recorded("messages.txt", &messages(), Message::encode, decode);
}

#[test]
fn every_framed_message_is_decoded_and_encoded_as_recorded() {
    assert_recorded(
        "frames.txt",
        &messages(),
        |message| encode_frame(&message.encode()),
        decode_framed,
    );
}

#[test]
fn supported_versions_and_the_first_optional_kind_are_those_of_the_recording() {
    assert_eq!(
        SUPPORTED_VERSIONS,
        VersionRange {
            oldest: 1,
            newest: 1
        }
    );
    assert_eq!(FIRST_OPTIONAL_KIND, 128);
}
