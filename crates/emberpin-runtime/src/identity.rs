//! The identity of a process, and the handshake in which both ends of a connection exchange their preambles.

use crate::frames::ConnectionError;
use crate::preamble::{HandshakeError, Preamble, MAGIC, PREAMBLE_BYTES, PROTOCOL_VERSION};
use std::num::NonZeroU64;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Refusals are logged no more often than this.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);

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
    pub fn learn_system(&self, system: NonZeroU64) -> bool {
        self.system
            .compare_exchange(0, system.get(), Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// How many peers were refused.
    pub fn rejected_peers(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a refusal, and logs it if none was logged for a while; whether it was logged.
    pub fn record_rejection(&self, refused: HandshakeError) -> bool {
        let count = self.refused.fetch_add(1, Ordering::Relaxed) + 1;
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        let due = logged.is_none_or(|at| at.elapsed() >= REJECTION_LOG_INTERVAL);
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
    /// [`ConnectionError::Io`].
    pub async fn send_preamble(
        &self,
        to: &mut (impl AsyncWrite + Unpin),
    ) -> Result<(), ConnectionError> {
        Ok(to.write_all(&self.preamble().encode()).await?)
    }

    /// Hears what the peer says first. One of a system that is not known here, or that does not know its own,
    /// is let in.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Handshake`], which is counted, and [`ConnectionError::Io`].
    pub async fn receive_preamble(
        &self,
        from: &mut (impl AsyncRead + Unpin),
    ) -> Result<Preamble, ConnectionError> {
        let preamble = self.read(from).await?;
        let known = preamble.and_then(|preamble| self.same_system(preamble));
        Ok(known.inspect_err(|refused| _ = self.record_rejection(*refused))?)
    }

    /// No further than it can be told who it is: another version's may be shorter.
    async fn read(
        &self,
        from: &mut (impl AsyncRead + Unpin),
    ) -> Result<Result<Preamble, HandshakeError>, ConnectionError> {
        let mut bytes = [0; PREAMBLE_BYTES];
        let (magic, rest) = bytes.split_at_mut(MAGIC.len());
        from.read_exact(magic).await?;
        if *magic != MAGIC {
            return Ok(Err(HandshakeError::MissingPreamble));
        }
        let (version, rest) = rest.split_at_mut(2);
        from.read_exact(version).await?;
        let version = u16::from_be_bytes([version[0], version[1]]);
        if version != PROTOCOL_VERSION {
            return Ok(Err(HandshakeError::VersionMismatch(version)));
        }
        from.read_exact(rest).await?;
        Ok(Preamble::decode(&bytes))
    }

    /// Says it, and hears what the peer says first.
    ///
    /// # Errors
    ///
    /// As [`ProcessIdentity::receive_preamble`].
    pub async fn handshake(
        &self,
        from: &mut (impl AsyncRead + Unpin),
        to: &mut (impl AsyncWrite + Unpin),
    ) -> Result<Preamble, ConnectionError> {
        self.send_preamble(to).await?;
        self.receive_preamble(from).await
    }

    fn same_system(&self, preamble: Preamble) -> Result<Preamble, HandshakeError> {
        match (preamble.system, self.system()) {
            (Some(theirs), Some(ours)) if theirs != ours => {
                Err(HandshakeError::SystemMismatch { theirs, ours })
            }
            _ => Ok(preamble),
        }
    }
}
