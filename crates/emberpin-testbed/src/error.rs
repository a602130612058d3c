//! Errors of a run. Each message is printed as one line.

use std::io;
use std::path::PathBuf;

/// An error that prevented the start of a site, or the restart of one of its parts after a fault.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// The asynchronous runtime could not be built.
    #[error("cannot build the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The folder for the files of the run could not be created.
    #[error("cannot create the folder {}: {source}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A part of the stand-ins could not be started.
    #[error("cannot set up {part}: {source}")]
    StandIn {
        /// The part that failed.
        part: StandIn,
        /// The operating system's error.
        source: io::Error,
    },
    /// The machine lacks resources that the site needs.
    #[error(transparent)]
    Resources(#[from] ResourceError),
    /// A limiter could not be started.
    #[error(transparent)]
    Limiter(#[from] LimiterError),
    /// The task that starts a limiter panicked.
    #[error("the task that starts a limiter failed: {0}")]
    StartTask(#[from] tokio::task::JoinError),
}

/// A part of the stand-ins around the limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StandIn {
    /// The port of a server.
    #[error("the port of a server")]
    ServerPort,
    /// A server, at the start or at a restart after a fault.
    #[error("server {0}")]
    Server(usize),
    /// The address that a server moves to.
    #[error("the new address of a server")]
    NewAddress,
    /// The discovery service.
    #[error("the discovery service")]
    Discovery,
    /// The network for datagrams between limiters.
    #[error("the datagram network between limiters")]
    PeerNetwork,
    /// The network for links between limiters.
    #[error("the links between limiters")]
    LinkNetwork,
    /// The operator file that configures the links of a limiter.
    #[error("the operator file for the links of a limiter")]
    LinkFile,
    /// The port of a limiter.
    #[error("the port of a limiter")]
    LimiterPort,
}

/// A resource that the machine lacks.
#[derive(Debug, thiserror::Error)]
pub enum ResourceError {
    /// The limit on file descriptors could not be read or raised.
    #[error("cannot read or raise the limit on file descriptors: {0}")]
    DescriptorLimit(#[source] nix::Error),
    /// The hard limit on file descriptors is too low.
    #[error(
        "this site needs {needed} file descriptors, and the limit is {available}: use fewer limiters or servers"
    )]
    Descriptors {
        /// Number of file descriptors that the site needs.
        needed: u64,
        /// Number of file descriptors that a process may open (the hard limit).
        available: u64,
    },
    /// Too little memory is available.
    #[error("this site needs {needed} MiB of memory, and {available} MiB are available: use fewer limiters")]
    Memory {
        /// Memory that the site needs, in MiB.
        needed: u64,
        /// Available memory, in MiB.
        available: u64,
    },
}

/// An error that prevented the start of a limiter.
#[derive(Debug, thiserror::Error)]
pub enum LimiterError {
    /// A file that the limiter reads or writes could not be created.
    #[error("limiter {number}: cannot create {file}: {source}")]
    File {
        /// The limiter's number.
        number: usize,
        /// The file.
        file: LimiterFile,
        /// The operating system's error.
        source: io::Error,
    },
    /// The limiter's program could not be started.
    #[error("limiter {number}: cannot start {}: {source}", program.display())]
    Spawn {
        /// The limiter's number.
        number: usize,
        /// The program.
        program: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The command that initialises the limiter's durable log failed.
    #[error("limiter {number}: cannot initialise its durable log: {output}")]
    LogInit {
        /// The limiter's number.
        number: usize,
        /// What the command wrote to standard error.
        output: String,
    },
    /// The limiter exited before it was ready.
    #[error("limiter {number} ended before it was ready ({status}); last line of its standard error: {last_line}")]
    Ended {
        /// The limiter's number.
        number: usize,
        /// The exit status of its process.
        status: String,
        /// The last line of its standard error.
        last_line: String,
    },
    /// The limiter was not ready in time.
    #[error("limiter {number} is not ready after {seconds} s")]
    NotReady {
        /// The limiter's number.
        number: usize,
        /// The time-out in seconds.
        seconds: u64,
    },
}

/// A file of a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimiterFile {
    /// The limiter's configuration.
    #[error("its configuration")]
    Configuration,
    /// The file that receives the limiter's standard error.
    #[error("the file for its standard error")]
    Stderr,
    /// The operator file: the TOML file that the limiter gets with `--with`.
    #[error("its operator file")]
    OperatorFile,
}

impl SiteError {
    /// Returns a function for `map_err` that reports that this part of the stand-ins could not be started.
    pub(crate) fn stand_in(part: StandIn) -> impl FnOnce(io::Error) -> SiteError {
        move |source| SiteError::StandIn { part, source }
    }
}
