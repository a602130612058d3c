//! Why a demonstration could not be run to its end.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why a demonstration could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// No range of ports is free on all machines.
    #[error(
        "no {ports} ports in a row are free on every machine's address; the last try: {last_error}"
    )]
    NoFreePorts {
        /// How many consecutive ports each machine needs.
        ports: u16,
        /// Why the last range that was probed could not be taken.
        #[source]
        last_error: io::Error,
    },
    /// A file or folder that could not be written.
    #[error("{path}: {source}")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A process that could not be started.
    #[error("{process}: cannot start: {source}")]
    ProcessStart {
        /// The role of the process and the address of its machine.
        process: String,
        /// What the system said.
        source: io::Error,
    },
    /// Something else that the system refused.
    #[error("{operation}: {source}")]
    System {
        /// What was wanted of the system.
        operation: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A condition of the start that was not reached in time.
    #[error("{condition} within {timeout:?}")]
    StartTimeout {
        /// What is still so, as a clause: "not every edge was ready".
        condition: &'static str,
        /// How long it was waited for.
        timeout: Duration,
    },
    /// A process of the gateway that ended during the start, with its status and last log line.
    #[error("{0}")]
    ProcessExited(String),
    /// SIGINT or SIGTERM came.
    #[error("interrupted")]
    Interrupted,
}

impl DemoError {
    /// For `map_err`: names the operation that the system refused.
    pub fn system(operation: &'static str) -> impl Fn(io::Error) -> DemoError {
        move |source| DemoError::System { operation, source }
    }
}
