//! The encoding of messages, byte by byte, and the decoding of later versions and of arbitrary bytes.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_peering::{
    DecodeError, Incarnation, MembershipEpoch, Message, RejectReason, VersionRange,
};
use proptest::prelude::*;

const INCARNATION: Incarnation = Incarnation {
    number: 300,
    nonce: 7,
};
const EPOCH: MembershipEpoch = MembershipEpoch(2);

/// Each message with its encoding in version 1, which must not change.
fn golden_messages() -> Vec<(Message, &'static str)> {
    vec![
        (
            Message::Hello {
                versions: VersionRange {
                    oldest: 1,
                    newest: 1,
                },
                cluster: "norr".into(),
                sender: "n0".into(),
                recipient: "n1".into(),
                incarnation: INCARNATION,
                epoch: EPOCH,
            },
            "010101046e6f7272026e30026e31ac020702",
        ),
        (
            Message::Welcome {
                version: 1,
                incarnation: INCARNATION,
                epoch: EPOCH,
            },
            "0201ac020702",
        ),
        (
            Message::Reject(RejectReason::UnsupportedVersion(1)),
            "030001",
        ),
        (Message::Reject(RejectReason::WrongCluster), "0301"),
        (Message::Reject(RejectReason::InvalidName), "0302"),
        (Message::Reject(RejectReason::WrongRecipient), "0303"),
        (
            Message::Reject(RejectReason::StaleIncarnation(300)),
            "0304ac02",
        ),
        (
            Message::Data {
                sequence: 1,
                recipient_nonce: 7,
                kind: 3,
                body: vec![0xab, 0xcd],
            },
            "0401070302abcd",
        ),
        (Message::Heartbeat { epoch: EPOCH }, "0502"),
        (
            Message::HeartbeatAck {
                acknowledged: 300,
                epoch: EPOCH,
            },
            "06ac0202",
        ),
    ]
}

#[test]
fn every_message_has_its_encoding_of_version_1() {
    for (message, expected) in golden_messages() {
        let encoded: String = message
            .encode()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        assert_eq!(encoded, expected, "{message:?}");
        assert_eq!(Message::decode(&message.encode()), Ok(message));
    }
}

#[test]
fn optional_kinds_and_extra_fields_of_later_versions_are_skipped() {
    assert_eq!(
        Message::decode(&[200, 1, 2, 3]),
        Err(DecodeError::UnknownOptionalKind(200))
    );
    assert_eq!(Message::decode(&[7]), Err(DecodeError::UnknownKind(7)));
    assert_eq!(Message::decode(&[]), Err(DecodeError::Empty));
    let heartbeat_with_extra_field = [5, 2, 99, 98];
    assert_eq!(
        Message::decode(&heartbeat_with_extra_field),
        Ok(Message::Heartbeat { epoch: EPOCH })
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_to_a_message_or_an_error(
        bytes in proptest::collection::vec(any::<u8>(), 0..60),
    ) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode()), Ok(message));
        }
    }
}
