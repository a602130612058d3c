//! What members say to each other: one byte for the kind of message, then its fields by `postcard`.
//!
//! A message of a kind that this version does not know is skipped if the kind is [`OPTIONAL`] or above; any other ends
//! the connection. A later version may add optional kinds, and nothing else, without another number.

use serde::{Deserialize, Serialize};

/// The oldest and the newest version that this build speaks.
pub const VERSIONS: (u16, u16) = (1, 1);
/// Kinds from here on may be skipped.
pub const OPTIONAL: u8 = 128;

/// One life of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Rises with each start.
    pub number: u64,
    /// Drawn at the start, so that two that have the same number are told apart.
    pub nonce: u64,
}

/// Why a connection is not taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Rejection {
    /// No version is spoken by both; the newest of the rejecting side.
    Version(u16),
    /// Another site's.
    Cluster,
    /// It says it is somebody that it cannot be, or is not known here.
    Name,
    /// It is meant for somebody else.
    NotMe,
    /// A later life of it is known; that one's number.
    OldLife(u64),
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The first of whoever opened the connection.
    Hello {
        /// Versions spoken, oldest and newest.
        versions: (u16, u16),
        /// The site.
        cluster: String,
        /// Who opened it.
        from: String,
        /// For whom it is meant.
        to: String,
        /// The opener's life.
        life: Incarnation,
        /// The epoch of members that the opener goes by.
        epoch: u64,
    },
    /// The answer to it.
    Welcome {
        /// The version spoken from now on.
        version: u16,
        /// The answerer's life.
        life: Incarnation,
        /// The epoch that it goes by.
        epoch: u64,
    },
    /// The answer to it, and the last message.
    Reject(Rejection),
    /// Something carried for others.
    Data {
        /// 1, 2, 3 and so on in each connection.
        seq: u64,
        /// The life of the receiver that it is meant for.
        to: u64,
        /// Whose it is.
        kind: u16,
        /// What it says.
        body: Vec<u8>,
    },
    /// The opener is alive, and asks for a [`Message::Seen`].
    Beat {
        /// The epoch that it goes by now.
        epoch: u64,
    },
    /// The answerer is alive, and has taken so much.
    Seen {
        /// The last number of data that it has taken.
        through: u64,
        /// The epoch that it goes by now.
        epoch: u64,
    },
}

/// Why a frame is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Of a kind that is not known, and may be skipped.
    Skip(u8),
    /// Of a kind that is not known, and may not.
    Kind(u8),
    /// Its fields are not such a message's.
    Fields(u8),
    /// Nothing stands in it.
    Empty,
}

const HELLO: u8 = 1;
const WELCOME: u8 = 2;
const REJECT: u8 = 3;
const DATA: u8 = 4;
const BEAT: u8 = 5;
const SEEN: u8 = 6;

fn fields(kind: u8, fields: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![kind];
    // Types of this file always encode: they are held in memory and have no maps.
    bytes.extend_from_slice(&postcard::to_allocvec(fields).unwrap_or_default());
    bytes
}

fn read<'a, T: Deserialize<'a>>(kind: u8, bytes: &'a [u8]) -> Result<T, Unreadable> {
    // What follows the fields is a later version's, and skipped.
    postcard::take_from_bytes(bytes)
        .map(|(fields, _)| fields)
        .map_err(|_| Unreadable::Fields(kind))
}

impl Message {
    /// Its bytes, without a frame's length.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Message::Hello {
                versions,
                cluster,
                from,
                to,
                life,
                epoch,
            } => fields(HELLO, &(versions, cluster, from, to, life, epoch)),
            Message::Welcome {
                version,
                life,
                epoch,
            } => fields(WELCOME, &(version, life, epoch)),
            Message::Reject(why) => fields(REJECT, why),
            Message::Data {
                seq,
                to,
                kind,
                body,
            } => fields(DATA, &(seq, to, kind, body)),
            Message::Beat { epoch } => fields(BEAT, epoch),
            Message::Seen { through, epoch } => fields(SEEN, &(through, epoch)),
        }
    }

    /// Reads one.
    ///
    /// # Errors
    ///
    /// Why it is none, and whether it may be skipped.
    pub fn decode(bytes: &[u8]) -> Result<Message, Unreadable> {
        let (kind, rest) = bytes.split_first().ok_or(Unreadable::Empty)?;
        Ok(match *kind {
            HELLO => {
                let (versions, cluster, from, to, life, epoch) = read(HELLO, rest)?;
                Message::Hello {
                    versions,
                    cluster,
                    from,
                    to,
                    life,
                    epoch,
                }
            }
            WELCOME => {
                let (version, life, epoch) = read(WELCOME, rest)?;
                Message::Welcome {
                    version,
                    life,
                    epoch,
                }
            }
            REJECT => Message::Reject(read(REJECT, rest)?),
            DATA => {
                let (seq, to, kind, body) = read(DATA, rest)?;
                Message::Data {
                    seq,
                    to,
                    kind,
                    body,
                }
            }
            BEAT => Message::Beat {
                epoch: read(BEAT, rest)?,
            },
            SEEN => {
                let (through, epoch) = read(SEEN, rest)?;
                Message::Seen { through, epoch }
            }
            kind if kind >= OPTIONAL => return Err(Unreadable::Skip(kind)),
            kind => return Err(Unreadable::Kind(kind)),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Every message with its bytes, as version 1 has them for ever.
    fn golden() -> Vec<(Message, &'static str)> {
        let life = Incarnation {
            number: 300,
            nonce: 7,
        };
        let hello = Message::Hello {
            versions: (1, 1),
            cluster: "norr".into(),
            from: "n0".into(),
            to: "n1".into(),
            life,
            epoch: 2,
        };
        vec![
            (hello, "010101046e6f7272026e30026e31ac020702"),
            (
                Message::Welcome {
                    version: 1,
                    life,
                    epoch: 2,
                },
                "0201ac020702",
            ),
            (Message::Reject(Rejection::Version(1)), "030001"),
            (Message::Reject(Rejection::Cluster), "0301"),
            (Message::Reject(Rejection::Name), "0302"),
            (Message::Reject(Rejection::NotMe), "0303"),
            (Message::Reject(Rejection::OldLife(300)), "0304ac02"),
            (
                Message::Data {
                    seq: 1,
                    to: 7,
                    kind: 3,
                    body: vec![0xab, 0xcd],
                },
                "0401070302abcd",
            ),
            (Message::Beat { epoch: 2 }, "0502"),
            (
                Message::Seen {
                    through: 300,
                    epoch: 2,
                },
                "06ac0202",
            ),
        ]
    }

    #[test]
    fn every_message_has_the_bytes_that_it_always_had() {
        for (message, bytes) in golden() {
            let encoded: String = message
                .encode()
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            assert_eq!(encoded, bytes, "{message:?}");
            assert_eq!(Message::decode(&message.encode()), Ok(message));
        }
    }

    #[test]
    fn what_a_later_version_adds_is_skipped_where_it_may_be() {
        assert_eq!(Message::decode(&[200, 1, 2, 3]), Err(Unreadable::Skip(200)));
        assert_eq!(Message::decode(&[7]), Err(Unreadable::Kind(7)));
        assert_eq!(Message::decode(&[]), Err(Unreadable::Empty));
        // A field at the end.
        assert_eq!(
            Message::decode(&[5, 2, 99, 98]),
            Ok(Message::Beat { epoch: 2 })
        );
    }

    proptest! {
        #[test]
        fn any_bytes_are_a_message_or_are_none(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
            if let Ok(message) = Message::decode(&bytes) {
                prop_assert_eq!(Message::decode(&message.encode()), Ok(message));
            }
        }
    }
}
