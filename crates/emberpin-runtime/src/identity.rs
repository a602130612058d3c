//! The identity of a process, and the handshake in which both ends of a connection exchange their identities as
//! preambles.

use crate::frames::ConnectionError;
use crate::preamble::{
    check_magic, check_newest_version, check_oldest_version, HandshakeError, Preamble,
    PREAMBLE_BYTES,
};
use crate::protocol_version::{ProtocolVersion, VersionRange};
use crate::system_id::SystemId;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The shortest time between two log lines about rejected peers; all rejections are counted. Keeps a peer that
/// reconnects again and again from filling the log.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The system, incarnation and protocol versions of this process, and the number of peers that it rejected because of
/// their preambles.
#[derive(Debug, Default)]
pub struct ProcessIdentity {
    /// The id of the system; 0 until it is known.
    system: AtomicU64,
    incarnation_number: u64,
    versions: VersionRange,
    rejected_count: AtomicU64,
    /// When a rejected peer was last logged.
    last_logged_at: Mutex<Option<Instant>>,
}

impl ProcessIdentity {
    /// Creates the identity of a process with this incarnation, whose system is not known yet, and which speaks all
    /// protocol versions of this build.
    pub fn new(incarnation: u64) -> ProcessIdentity {
        ProcessIdentity {
            incarnation_number: incarnation,
            ..ProcessIdentity::default()
        }
    }

    /// Returns the same identity, restricted to these versions of the protocol.
    pub fn with_versions(self, versions: VersionRange) -> ProcessIdentity {
        ProcessIdentity { versions, ..self }
    }

    /// The newest protocol version in common with an accepted peer, which both use.
    pub fn common_version(&self, peer: &Preamble) -> ProtocolVersion {
        self.versions
            .newest_common(peer.versions)
            .unwrap_or(self.versions.oldest)
    }

    /// The system that the process belongs to; `None` until it is known.
    pub fn system(&self) -> Option<SystemId> {
        SystemId::new(self.system.load(Ordering::Relaxed))
    }

    /// Sets the system unless it is already known. Returns whether it was set.
    pub fn set_system_if_unknown(&self, system: SystemId) -> bool {
        self.system
            .compare_exchange(0, system.get(), Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// The number of peers rejected since the start of the process.
    pub fn rejected_peers(&self) -> u64 {
        self.rejected_count.load(Ordering::Relaxed)
    }

    /// Counts a rejected peer, and logs it unless another one was logged within the last ten seconds. Returns whether
    /// it was logged.
    pub fn record_rejection(&self, error: HandshakeError) -> bool {
        let count = self.rejected_count.fetch_add(1, Ordering::Relaxed) + 1;
        let mut last_logged_at = self
            .last_logged_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_due = last_logged_at.is_none_or(|at| at.elapsed() >= REJECTION_LOG_INTERVAL);
        if is_due {
            *last_logged_at = Some(Instant::now());
            log::warn!("rejected a peer: error={error} count={count}");
        }
        is_due
    }

    /// The preamble of this process.
    pub fn preamble(&self) -> Preamble {
        Preamble {
            versions: self.versions,
            system: self.system(),
            incarnation: self.incarnation_number,
        }
    }

    /// Sends the preamble of this process.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Io`] if a write fails.
    pub async fn send_preamble(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> Result<(), ConnectionError> {
        Ok(writer.write_all(&self.preamble().encode()).await?)
    }

    /// Receives the preamble of the peer, and checks that both processes have a protocol version in common and belong
    /// to the same system. The system is not checked while either process does not know its own.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Handshake`] if the peer is rejected, which is also counted, or [`ConnectionError::Io`] if a
    /// read fails.
    pub async fn receive_preamble(
        &self,
        reader: &mut (impl AsyncRead + Unpin),
    ) -> Result<Preamble, ConnectionError> {
        let received = read_preamble(reader, self.versions).await?;
        let accepted = received.and_then(|preamble| self.check_system(preamble));
        Ok(accepted.inspect_err(|error| _ = self.record_rejection(*error))?)
    }

    /// Sends the preamble of this process, and receives the preamble of the peer.
    ///
    /// # Errors
    ///
    /// Those of [`ProcessIdentity::send_preamble`] and [`ProcessIdentity::receive_preamble`].
    pub async fn handshake(
        &self,
        reader: &mut (impl AsyncRead + Unpin),
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> Result<Preamble, ConnectionError> {
        self.send_preamble(writer).await?;
        self.receive_preamble(reader).await
    }

    fn check_system(&self, preamble: Preamble) -> Result<Preamble, HandshakeError> {
        match (preamble.system, self.system()) {
            (Some(theirs), Some(ours)) if theirs != ours => {
                Err(HandshakeError::SystemMismatch { theirs, ours })
            }
            _ => Ok(preamble),
        }
    }
}

/// Reads a preamble, but no more bytes than are needed to reject it: the preamble of a newer version may be shorter.
/// The outer error is a failed read, the inner one a rejected preamble.
async fn read_preamble(
    reader: &mut (impl AsyncRead + Unpin),
    ours: VersionRange,
) -> Result<Result<Preamble, HandshakeError>, ConnectionError> {
    let mut bytes = [0; PREAMBLE_BYTES];
    reader.read_exact(&mut bytes[..4]).await?;
    if let Err(error) = check_magic([bytes[0], bytes[1], bytes[2], bytes[3]]) {
        return Ok(Err(error));
    }
    reader.read_exact(&mut bytes[4..6]).await?;
    if let Err(error) = check_oldest_version([bytes[4], bytes[5]], ours) {
        return Ok(Err(error));
    }
    reader.read_exact(&mut bytes[6..]).await?;
    let preamble = Preamble::decode(&bytes);
    Ok(preamble.and_then(|preamble| {
        check_newest_version(preamble.versions, ours)?;
        Ok(preamble)
    }))
}
