//! The errors with which a store exits.

use crate::disk::DiskError;
use std::io;
use std::net::SocketAddrV4;

/// An error that prevents the store from starting, or makes it exit.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk cannot be used, or was found damaged when it was reopened.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The settings name no data folder.
    #[error("self.datadir: is missing; a store needs a disk")]
    MissingDataDir,
    /// The store's address is already in use, or is not an address of this machine.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A signal handler could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The disk thread could not be started.
    #[error("cannot start the disk's thread: {0}")]
    StartDiskWorker(#[source] io::Error),
    /// The disk thread ended unexpectedly.
    #[error("the disk's thread ended")]
    DiskWorkerEnded,
    /// The operating system supplied no random bytes.
    #[error("cannot draw a random seed: {0}")]
    Random(#[source] getrandom::Error),
}
