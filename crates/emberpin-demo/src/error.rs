//! The error type of the demonstration.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why a demonstration could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// No range of ports that was probed is free on all machines.
    #[error(
        "no {ports} ports in a row are free on every machine's address; the last try: {last_error}"
    )]
    NoFreePorts {
        /// The number of consecutive ports that each machine needs.
        ports: u16,
        /// Why the last range that was probed is not free.
        #[source]
        last_error: io::Error,
    },
    /// A file or folder could not be written.
    #[error("{path}: {source}")]
    File {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process could not be started.
    #[error("{process}: cannot start: {source}")]
    ProcessStart {
        /// The role of the process and the address of its machine.
        process: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another operation of the system failed.
    #[error("{operation}: {source}")]
    System {
        /// The operation or resource that was requested.
        operation: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A condition of the start was not met in time.
    #[error("{condition} within {timeout:?}")]
    StartTimeout {
        /// The unmet condition as a clause, for example "not every edge was ready".
        condition: &'static str,
        /// The time-out.
        timeout: Duration,
    },
    /// A process of the gateway exited during the start. The text has its status and last log line.
    #[error("{0}")]
    ProcessExited(String),
    /// SIGINT or SIGTERM was received.
    #[error("interrupted")]
    Interrupted,
}

impl DemoError {
    /// Returns a function for `map_err` that adds the name of the failed operation.
    pub fn system(operation: &'static str) -> impl Fn(io::Error) -> DemoError {
        move |source| DemoError::System { operation, source }
    }
}
