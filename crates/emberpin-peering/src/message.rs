//! Messages between peers, and their encoding: one byte for the kind, then the fields as `postcard` encodes them.
//!
//! A message of an unknown kind is skipped if the kind is [`FIRST_OPTIONAL_KIND`] or above; any other ends the
//! connection. Bytes after the known fields are ignored. A later build may therefore add optional kinds, and fields at
//! the end, without a new version.
//!
//! The order of fields and variants is the encoding: it must not change.

use crate::ids::{Incarnation, MembershipEpoch};
use serde::{Deserialize, Serialize};

/// Versions of the protocol that a build speaks, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// The oldest version spoken.
    pub oldest: u16,
    /// The newest version spoken.
    pub newest: u16,
}

impl VersionRange {
    /// Whether the version is spoken.
    pub const fn contains(self, version: u16) -> bool {
        self.oldest <= version && version <= self.newest
    }
}

/// Versions that this build speaks.
pub const SUPPORTED_VERSIONS: VersionRange = VersionRange {
    oldest: 1,
    newest: 1,
};

/// Messages of this kind and above are skipped by builds that do not know them.
pub const FIRST_OPTIONAL_KIND: u8 = 128;

/// Why a Hello is rejected. The texts are quoted in `docs/operators/link.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RejectReason {
    /// There is no version that both sides speak. Carries the newest one of the rejecting side.
    #[error("Version({0})")]
    UnsupportedVersion(u16),
    /// The Hello names another cluster.
    #[error("Cluster")]
    WrongCluster,
    /// The sender's name is not that of its certificate, or not that of a member.
    #[error("Name")]
    InvalidName,
    /// The Hello is addressed to another instance.
    #[error("NotMe")]
    WrongRecipient,
    /// Another incarnation of the sender with the same or a higher number is known. Carries that number.
    #[error("OldLife({0})")]
    StaleIncarnation(u64),
}

/// A message on a connection. The side that opened the connection sends `Hello`, `Data` and `Heartbeat`; the side that
/// accepted it replies with `Welcome`, `Reject` and `HeartbeatAck`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Opens the handshake; the first message on a connection.
    Hello {
        /// Versions that the sender speaks.
        versions: VersionRange,
        /// Name of the sender's cluster.
        cluster: String,
        /// Name of the sender.
        sender: String,
        /// Name of the instance that the sender intends to connect to.
        recipient: String,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Epoch of the sender's membership.
        epoch: MembershipEpoch,
    },
    /// Completes the handshake.
    Welcome {
        /// Version that is spoken on this connection.
        version: u16,
        /// Incarnation of the accepting side.
        incarnation: Incarnation,
        /// Epoch of the accepting side's membership.
        epoch: MembershipEpoch,
    },
    /// Rejects the handshake; the last message on a connection.
    Reject(RejectReason),
    /// A message of a layer above.
    Data {
        /// Number of the data on its connection, counted from 1.
        sequence: u64,
        /// Nonce of the recipient's incarnation that the data is addressed to.
        recipient_nonce: u64,
        /// Which layer the message belongs to.
        kind: u16,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// The sender is alive, and asks for a [`Message::HeartbeatAck`].
    Heartbeat {
        /// Epoch of the sender's membership.
        epoch: MembershipEpoch,
    },
    /// Replies to a heartbeat, and acknowledges the data received so far.
    HeartbeatAck {
        /// Sequence number of the last data received; all before it is acknowledged with it.
        acknowledged: u64,
        /// Epoch of the accepting side's membership.
        epoch: MembershipEpoch,
    },
}

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// An unknown kind that is optional: the message must be skipped.
    #[error("Skip({0})")]
    UnknownOptionalKind(u8),
    /// An unknown kind that is not optional.
    #[error("Kind({0})")]
    UnknownKind(u8),
    /// The fields are not valid for the kind, which the variant carries.
    #[error("Fields({0})")]
    InvalidFields(u8),
    /// The payload is empty, so that even the kind is missing.
    #[error("Empty")]
    Empty,
}

const HELLO: u8 = 1;
const WELCOME: u8 = 2;
const REJECT: u8 = 3;
const DATA: u8 = 4;
const HEARTBEAT: u8 = 5;
const HEARTBEAT_ACK: u8 = 6;

fn encode_fields(kind: u8, fields: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![kind];
    // The types of this file always encode: their lengths are known, and the buffer grows.
    bytes.extend_from_slice(&postcard::to_allocvec(fields).unwrap_or_default());
    bytes
}

fn decode_fields<'a, T: Deserialize<'a>>(kind: u8, bytes: &'a [u8]) -> Result<T, DecodeError> {
    // Bytes after the fields were added by a later build, and are ignored.
    postcard::take_from_bytes(bytes)
        .map(|(fields, _)| fields)
        .map_err(|_| DecodeError::InvalidFields(kind))
}

impl Message {
    /// The encoded message, without the frame's length prefix.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Message::Hello {
                versions,
                cluster,
                sender,
                recipient,
                incarnation,
                epoch,
            } => encode_fields(
                HELLO,
                &(versions, cluster, sender, recipient, incarnation, epoch),
            ),
            Message::Welcome {
                version,
                incarnation,
                epoch,
            } => encode_fields(WELCOME, &(version, incarnation, epoch)),
            Message::Reject(reason) => encode_fields(REJECT, reason),
            Message::Data {
                sequence,
                recipient_nonce,
                kind,
                body,
            } => encode_fields(DATA, &(sequence, recipient_nonce, kind, body)),
            Message::Heartbeat { epoch } => encode_fields(HEARTBEAT, epoch),
            Message::HeartbeatAck {
                acknowledged,
                epoch,
            } => encode_fields(HEARTBEAT_ACK, &(acknowledged, epoch)),
        }
    }

    /// Decodes a frame's payload.
    ///
    /// # Errors
    ///
    /// If the payload is empty, of an unknown kind, or its fields are not valid for the kind.
    /// [`DecodeError::UnknownOptionalKind`] does not end the connection.
    pub fn decode(payload: &[u8]) -> Result<Message, DecodeError> {
        let (kind, fields) = payload.split_first().ok_or(DecodeError::Empty)?;
        Ok(match *kind {
            HELLO => decode_hello(fields)?,
            WELCOME => {
                let (version, incarnation, epoch) = decode_fields(WELCOME, fields)?;
                Message::Welcome {
                    version,
                    incarnation,
                    epoch,
                }
            }
            REJECT => Message::Reject(decode_fields(REJECT, fields)?),
            DATA => {
                let (sequence, recipient_nonce, kind, body) = decode_fields(DATA, fields)?;
                Message::Data {
                    sequence,
                    recipient_nonce,
                    kind,
                    body,
                }
            }
            HEARTBEAT => Message::Heartbeat {
                epoch: decode_fields(HEARTBEAT, fields)?,
            },
            HEARTBEAT_ACK => {
                let (acknowledged, epoch) = decode_fields(HEARTBEAT_ACK, fields)?;
                Message::HeartbeatAck {
                    acknowledged,
                    epoch,
                }
            }
            kind if kind >= FIRST_OPTIONAL_KIND => {
                return Err(DecodeError::UnknownOptionalKind(kind))
            }
            kind => return Err(DecodeError::UnknownKind(kind)),
        })
    }
}

fn decode_hello(fields: &[u8]) -> Result<Message, DecodeError> {
    let (versions, cluster, sender, recipient, incarnation, epoch) = decode_fields(HELLO, fields)?;
    Ok(Message::Hello {
        versions,
        cluster,
        sender,
        recipient,
        incarnation,
        epoch,
    })
}
