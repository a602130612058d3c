//! The frames between the two processes of a limiter, over a byte stream.
//!
//! ```text
//! hello   "EMBERPIN" | version u16          from the one that asks, alone
//! frame   length u32 | crc32 of body | body (postcard)
//! ```
//!
//! Integers are little-endian. The first frame back is [`Note::Given`] or [`Note::Refused`]; after that both sides tell
//! what they spend. A process of another version is answered by the end of the connection.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of what is exchanged; rises with every change of it.
pub const VERSION: u16 = 1;
/// Bytes of a hello.
pub const HELLO: usize = 10;
/// Bytes before a body.
pub const HEAD: usize = 8;
/// Most bytes of a body.
pub const LONGEST: usize = 16 << 20;
const MAGIC: [u8; 8] = *b"EMBERPIN";

/// What one process tells the other; `S` is what one tells as it spends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note<S> {
    /// What the older process knows, in the host's own form.
    Given(Vec<u8>),
    /// Another upgrade is under way.
    Refused,
    /// Something that both must know of at once.
    Shared(S),
}

/// Why bytes are none of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Not a process of this program, or a torn frame.
    Foreign,
    /// Another version of it.
    Version(u16),
    /// More than is ever sent.
    TooLong(usize),
}

impl fmt::Display for Broken {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Foreign => write!(to, "what came is no message of this program, or is damaged"),
            Broken::Version(found) => {
                write!(to, "version {found}; this one speaks {VERSION} alone")
            }
            Broken::TooLong(found) => write!(to, "{found} bytes; at most {LONGEST} are taken"),
        }
    }
}

/// The first bytes of whoever asks.
pub fn hello() -> [u8; HELLO] {
    let mut bytes = [0; HELLO];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..].copy_from_slice(&VERSION.to_le_bytes());
    bytes
}

/// Whether they are those of a process that this one understands.
///
/// # Errors
///
/// What they are instead.
pub fn read_hello(bytes: &[u8; HELLO]) -> Result<(), Broken> {
    let (magic, version) = bytes.split_at(8);
    if magic != MAGIC {
        return Err(Broken::Foreign);
    }
    match u16::from_le_bytes([version[0], version[1]]) {
        VERSION => Ok(()),
        other => Err(Broken::Version(other)),
    }
}

/// A whole frame.
///
/// # Errors
///
/// When it would be longer than any may be.
pub fn write<S: Serialize>(note: &Note<S>) -> Result<Vec<u8>, Broken> {
    let body = postcard::to_allocvec(note).map_err(|_| Broken::Foreign)?;
    if body.len() > LONGEST {
        return Err(Broken::TooLong(body.len()));
    }
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// How many bytes follow this head.
///
/// # Errors
///
/// When they are more than are taken.
pub fn body_of(head: &[u8; HEAD]) -> Result<usize, Broken> {
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length > LONGEST {
        return Err(Broken::TooLong(length));
    }
    Ok(length)
}

/// What a head and its body say.
///
/// # Errors
///
/// When they do not go together.
pub fn read<S: DeserializeOwned>(head: &[u8; HEAD], body: &[u8]) -> Result<Note<S>, Broken> {
    let crc = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if body_of(head)? != body.len() || crc != crc32fast::hash(body) {
        return Err(Broken::Foreign);
    }
    postcard::from_bytes(body).map_err(|_| Broken::Foreign)
}
