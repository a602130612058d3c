//! Errors of a store's disk.

use super::watermark::WriteNumber;
use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

/// A failed operation on the disk, or contents that this store must not use.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// A file or folder could not be accessed.
    #[error("{path}: cannot {operation}: {source}")]
    File {
        /// The operation that failed.
        operation: FileOperation,
        /// The file or folder.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The `fjall` keyspace reported an error.
    #[error("{path}: cannot {operation}: {source}")]
    Keyspace {
        /// The operation that failed.
        operation: KeyspaceOperation,
        /// The folder of the keyspace.
        path: PathBuf,
        /// The error from `fjall`.
        source: fjall::Error,
    },
    /// The folder is readable, but this store must not use it.
    #[error("{path}: {mismatch}")]
    Mismatch {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The mismatch.
        mismatch: FolderMismatch,
    },
    /// A record cannot be decoded, because of a bug in this build or a fault of the disk.
    #[error("{path}: cannot decode the record {record:?}: {source}; treat the disk as wiped")]
    Undecodable {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The key of the record.
        record: &'static str,
        /// The error from the decoder.
        source: postcard::Error,
    },
    /// The watermark has a length other than the one this build writes.
    #[error("{path}: the record of the last write has {length} bytes; treat the disk as wiped")]
    WatermarkLength {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The length found, in bytes.
        length: usize,
    },
    /// A value could not be encoded. The write was not attempted.
    #[error("{path}: cannot encode the record {record:?}: {source}")]
    Unencodable {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The key of the record.
        record: &'static str,
        /// The error from the encoder.
        source: postcard::Error,
    },
    /// Synced data is missing from the disk.
    #[error("{path}: holds less than was synced to it: {loss}; treat the disk as wiped")]
    DataLoss {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The evidence of the loss.
        loss: DataLoss,
    },
    /// `fjall` reported success, but the write is not in its journal.
    #[error("{path}: a write did not reach the journal; make room if the disk is full")]
    WriteNotInJournal {
        /// The folder of the keyspace.
        path: PathBuf,
    },
}

impl DiskError {
    /// Whether the error is permanent: the contents are wrong, so that neither free disk space nor a retry helps.
    pub fn is_damage(&self) -> bool {
        match self {
            DiskError::Mismatch { .. }
            | DiskError::Undecodable { .. }
            | DiskError::WatermarkLength { .. }
            | DiskError::Unencodable { .. }
            | DiskError::DataLoss { .. } => true,
            DiskError::File { .. } | DiskError::WriteNotInJournal { .. } => false,
            DiskError::Keyspace { source, .. } => !matches!(
                source,
                fjall::Error::Io(_)
                    | fjall::Error::Poisoned
                    | fjall::Error::Storage(fjall::LsmError::Io(_))
            ),
        }
    }
}

/// An operation on a file or folder of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Create the data folder.
    CreateFolder,
    /// Check whether a folder exists.
    Probe,
    /// Open the sync record.
    OpenSyncRecord,
    /// Write and sync the sync record.
    WriteSyncRecord,
    /// Read the newest journal.
    ReadJournal,
    /// Truncate the journal at an incomplete or damaged batch.
    TruncateJournal,
    /// Remove a keyspace whose creation was interrupted.
    RemoveIncomplete,
    /// Rename a new keyspace to its final name.
    RenameNew,
    /// Sync the data folder.
    SyncFolder,
}

impl FileOperation {
    /// Returns a function for `map_err` that converts an error of this operation on `path` into a [`DiskError`].
    pub(super) fn failed_at(self, path: &Path) -> impl FnOnce(io::Error) -> DiskError + '_ {
        move |source| DiskError::File {
            operation: self,
            path: path.into(),
            source,
        }
    }
}

impl fmt::Display for FileOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FileOperation::CreateFolder => "create the folder",
            FileOperation::Probe => "check whether it exists",
            FileOperation::OpenSyncRecord => "open the sync record",
            FileOperation::WriteSyncRecord => "write the sync record",
            FileOperation::ReadJournal => "read the journal",
            FileOperation::TruncateJournal => "truncate the journal",
            FileOperation::RemoveIncomplete => "remove an incomplete keyspace",
            FileOperation::RenameNew => "rename the new keyspace",
            FileOperation::SyncFolder => "sync the folder",
        })
    }
}

/// An operation of the `fjall` keyspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyspaceOperation {
    /// Create a new keyspace.
    Create,
    /// Open an existing keyspace.
    Open,
    /// Read a record.
    Read,
    /// Write a batch.
    Write,
    /// Sync all batches.
    Sync,
}

impl KeyspaceOperation {
    /// Returns a function for `map_err` that converts an error of this operation on `path` into a [`DiskError`].
    pub(super) fn failed_at(self, path: &Path) -> impl FnOnce(fjall::Error) -> DiskError + '_ {
        move |source| DiskError::Keyspace {
            operation: self,
            path: path.into(),
            source,
        }
    }
}

impl fmt::Display for KeyspaceOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            KeyspaceOperation::Create => "create the keyspace",
            KeyspaceOperation::Open => "open the keyspace",
            KeyspaceOperation::Read => "read from the keyspace",
            KeyspaceOperation::Write => "write to the keyspace",
            KeyspaceOperation::Sync => "sync the keyspace",
        })
    }
}

/// Why this store must not use a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FolderMismatch {
    /// The keyspace was written by another program.
    #[error("is not the folder of a store")]
    NotAStore,
    /// The keyspace has a format that this build does not know.
    #[error("has a format that this build does not know; start the build that wrote it")]
    UnknownFormat,
    /// The keyspace was written by the store of another machine.
    #[error("belongs to another machine than {own_ip}; give the store an empty folder")]
    OtherMachine {
        /// The address of this store.
        own_ip: Ipv4Addr,
    },
}

/// The evidence that the disk lost data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DataLoss {
    /// The last write present is older than the last synced one.
    #[error("{synced} writes were synced, {found} are present")]
    Writes {
        /// Number of the last write that was synced.
        synced: WriteNumber,
        /// Number of the last write that is present.
        found: WriteNumber,
    },
    /// Writes are present, but the sync record is not.
    #[error("{found} writes are present, and the record of what was synced is not")]
    SyncRecord {
        /// Number of the last write that is present.
        found: WriteNumber,
    },
    /// The items do not match the watermark of the last write.
    #[error(
        "{written_count} items were written, {found_count} are present, or have other versions"
    )]
    Items {
        /// Number of items after the last write.
        written_count: u64,
        /// Number of items that are present.
        found_count: u64,
    },
}
