//! What each side of a connection between processes says first: the version of the protocol, which system it
//! belongs to, and its incarnation. Whoever is of another version or system is refused before any message is
//! read.
//!
//! 24 bytes, numbers with the highest byte first: the magic, the version (2), two bytes of 0, the system (8; 0
//! for one that is not known), the incarnation (8). Read as the length of a frame, the magic is beyond what a
//! build without preambles takes, so that such a build ends the connection, too.

use crate::frames::Broken;
use std::num::NonZeroU64;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Rises whenever the bytes of any message between processes change.
pub const PROTOCOL_VERSION: u16 = 2;
/// How long a preamble is, in bytes.
pub const LENGTH: usize = 24;
const MAGIC: [u8; 4] = *b"EmPn";
/// Refusals are logged no more often than this.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// Why a peer is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It says something else first, as builds before version 2 do.
    #[error("it does not begin with a preamble")]
    NoPreamble,
    /// It speaks another version.
    #[error("it speaks version {0} of the protocol, and this build {PROTOCOL_VERSION}")]
    Version(u16),
    /// It belongs to another system.
    #[error("it belongs to system {theirs:016x}, and this process to {ours:016x}")]
    System {
        /// Its system.
        theirs: NonZeroU64,
        /// This one's.
        ours: NonZeroU64,
    },
}

/// What a peer of the same version and system says first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preamble {
    /// Which system it belongs to, if it knows.
    pub system: Option<NonZeroU64>,
    /// Drawn at each start of the sender.
    pub incarnation: u64,
}

impl Preamble {
    /// As bytes.
    pub fn encode(self) -> [u8; LENGTH] {
        let mut bytes = [0; LENGTH];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..6].copy_from_slice(&PROTOCOL_VERSION.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.system.map_or(0, NonZeroU64::get).to_be_bytes());
        bytes[16..].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes
    }

    /// From bytes.
    ///
    /// # Errors
    ///
    /// [`Refused::NoPreamble`], [`Refused::Version`].
    pub fn decode(bytes: &[u8; LENGTH]) -> Result<Preamble, Refused> {
        let number = |from: usize| {
            bytes[from..from + 8]
                .iter()
                .fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        if bytes[..4] != MAGIC {
            return Err(Refused::NoPreamble);
        }
        let version = u16::from_be_bytes([bytes[4], bytes[5]]);
        if version != PROTOCOL_VERSION {
            return Err(Refused::Version(version));
        }
        Ok(Preamble {
            system: NonZeroU64::new(number(8)),
            incarnation: number(16),
        })
    }
}

/// What this process says of itself, and whom it refused.
#[derive(Debug, Default)]
pub struct ProcessIdentity {
    system: AtomicU64,
    incarnation: u64,
    refused: AtomicU64,
    logged: Mutex<Option<Instant>>,
}

impl ProcessIdentity {
    /// A process with this incarnation, of a system that it doesn't know yet.
    pub fn new(incarnation: u64) -> ProcessIdentity {
        ProcessIdentity {
            incarnation,
            ..ProcessIdentity::default()
        }
    }

    /// The system, if it is known.
    pub fn system(&self) -> Option<NonZeroU64> {
        NonZeroU64::new(self.system.load(Ordering::Relaxed))
    }

    /// Takes the system, unless it is known already; whether it was taken.
    pub fn learn(&self, system: NonZeroU64) -> bool {
        self.system
            .compare_exchange(0, system.get(), Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// How many peers were refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a refusal, and logs it if none was logged for a while; whether it was logged.
    pub fn note_refused(&self, refused: Refused) -> bool {
        let count = self.refused.fetch_add(1, Ordering::Relaxed) + 1;
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        let due = logged.is_none_or(|at| at.elapsed() >= LOG_PAUSE);
        if due {
            *logged = Some(Instant::now());
            log::warn!("a peer was refused: {refused}; {count} so far");
        }
        due
    }

    /// What it says first.
    pub fn preamble(&self) -> Preamble {
        Preamble {
            system: self.system(),
            incarnation: self.incarnation,
        }
    }

    /// Says it.
    ///
    /// # Errors
    ///
    /// [`Broken::Connection`].
    pub async fn send(&self, to: &mut (impl AsyncWrite + Unpin)) -> Result<(), Broken> {
        Ok(to.write_all(&self.preamble().encode()).await?)
    }

    /// Hears what the peer says first. One of a system that is not known here, or that does not know its own,
    /// is let in.
    ///
    /// # Errors
    ///
    /// [`Broken::Refused`], which is counted, and [`Broken::Connection`].
    pub async fn receive(&self, from: &mut (impl AsyncRead + Unpin)) -> Result<Preamble, Broken> {
        let preamble = self.read(from).await?;
        let known = preamble.and_then(|preamble| self.same_system(preamble));
        Ok(known.inspect_err(|refused| _ = self.note_refused(*refused))?)
    }

    /// No further than it can be told who it is: another version's may be shorter.
    async fn read(
        &self,
        from: &mut (impl AsyncRead + Unpin),
    ) -> Result<Result<Preamble, Refused>, Broken> {
        let mut bytes = [0; LENGTH];
        let (magic, rest) = bytes.split_at_mut(MAGIC.len());
        from.read_exact(magic).await?;
        if *magic != MAGIC {
            return Ok(Err(Refused::NoPreamble));
        }
        let (version, rest) = rest.split_at_mut(2);
        from.read_exact(version).await?;
        let version = u16::from_be_bytes([version[0], version[1]]);
        if version != PROTOCOL_VERSION {
            return Ok(Err(Refused::Version(version)));
        }
        from.read_exact(rest).await?;
        Ok(Preamble::decode(&bytes))
    }

    /// Says it, and hears what the peer says first.
    ///
    /// # Errors
    ///
    /// As [`ProcessIdentity::receive`].
    pub async fn greet(
        &self,
        from: &mut (impl AsyncRead + Unpin),
        to: &mut (impl AsyncWrite + Unpin),
    ) -> Result<Preamble, Broken> {
        self.send(to).await?;
        self.receive(from).await
    }

    fn same_system(&self, preamble: Preamble) -> Result<Preamble, Refused> {
        match (preamble.system, self.system()) {
            (Some(theirs), Some(ours)) if theirs != ours => Err(Refused::System { theirs, ours }),
            _ => Ok(preamble),
        }
    }
}
