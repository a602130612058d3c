//! The texts of errors, which are part of log lines that operators look up.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_peering::{CloseReason, DecodeError, FrameTooLong, RejectReason, SendError};

#[test]
fn close_reasons_have_the_texts_quoted_in_the_operators_documentation() {
    let texts = [
        (
            CloseReason::Rejected(RejectReason::WrongCluster),
            "Rejected(Cluster)",
        ),
        (
            CloseReason::Rejected(RejectReason::InvalidName),
            "Rejected(Name)",
        ),
        (
            CloseReason::Rejected(RejectReason::WrongRecipient),
            "Rejected(NotMe)",
        ),
        (
            CloseReason::RejectedByPeer(RejectReason::UnsupportedVersion(1)),
            "RejectedByPeer(Version(1))",
        ),
        (
            CloseReason::RejectedByPeer(RejectReason::StaleIncarnation(300)),
            "RejectedByPeer(OldLife(300))",
        ),
        (
            CloseReason::FrameTooLong(FrameTooLong { length: 5 }),
            "TooLong(5)",
        ),
        (
            CloseReason::InvalidMessage(DecodeError::InvalidFields(1)),
            "Unreadable(Fields(1))",
        ),
        (
            CloseReason::InvalidMessage(DecodeError::UnknownKind(7)),
            "Unreadable(Kind(7))",
        ),
        (
            CloseReason::InvalidMessage(DecodeError::Empty),
            "Unreadable(Empty)",
        ),
        (CloseReason::UnexpectedMessage, "OutOfPlace"),
        (
            CloseReason::SequenceMismatch {
                received: 1,
                expected: 2,
            },
            "Replayed { seq: 1, expected: 2 }",
        ),
        (CloseReason::WrongIncarnation, "OtherLife"),
        (CloseReason::Replaced, "Replaced"),
        (CloseReason::TimedOut, "Silent"),
        (CloseReason::TooManyPendingHandshakes, "TooMany"),
        (CloseReason::NotAMember, "NoMember"),
    ];
    for (reason, text) in texts {
        assert_eq!(reason.to_string(), text);
    }
}

#[test]
fn send_errors_have_the_texts_of_the_log_lines() {
    let texts = [
        (SendError::UnknownPeer, "NoMember"),
        (SendError::NotConnected, "NotConnected"),
        (SendError::WindowFull, "Full"),
        (SendError::MessageTooLong, "TooLong"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
