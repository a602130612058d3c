//! Why a run of a site failed. The texts are printed as one line.

use std::io;
use std::path::PathBuf;

/// Why a site did not start, or did not come back after a fault.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// The runtime of the run could not be built.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The folder of the run's files could not be made.
    #[error("cannot make {}: {source}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// A part of the stand-ins could not be started.
    #[error("{part}: {source}")]
    StandIn {
        /// Which part.
        part: StandIn,
        /// What the operating system said.
        source: io::Error,
    },
    /// The machine lacks what the site needs.
    #[error(transparent)]
    Resources(#[from] ResourceError),
    /// A limiter could not be started.
    #[error(transparent)]
    Limiter(#[from] LimiterError),
    /// The task that starts a limiter panicked.
    #[error("a limiter's start: {0}")]
    StartTask(#[from] tokio::task::JoinError),
}

/// A part of the stand-ins around the limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StandIn {
    /// The port of a server.
    #[error("a server's port")]
    ServerPort,
    /// A server, at the start or again after a fault.
    #[error("server {0}")]
    Server(usize),
    /// The address that a server moves to.
    #[error("a server's new address")]
    NewAddress,
    /// The discovery service.
    #[error("discovery")]
    Discovery,
    /// The network for datagrams between limiters.
    #[error("the peers' network")]
    PeerNetwork,
    /// The network for links between limiters.
    #[error("the links between limiters")]
    LinkNetwork,
    /// The operator file that gives a limiter its link.
    #[error("a limiter's link")]
    LinkFile,
    /// The port of a limiter.
    #[error("a limiter's port")]
    LimiterPort,
}

/// What the machine lacks.
#[derive(Debug, thiserror::Error)]
pub enum ResourceError {
    /// The limit on descriptors could not be read or raised.
    #[error("the limit on descriptors: {0}")]
    DescriptorLimit(#[source] nix::Error),
    /// The machine allows too few descriptors.
    #[error(
        "this site needs {needed} descriptors, and this machine gives {available}: take fewer limiters or servers"
    )]
    Descriptors {
        /// How many the site needs.
        needed: u64,
        /// How many one process may have.
        available: u64,
    },
    /// Too little memory is available.
    #[error("this site needs {needed} MiB of memory, and {available} are available: take fewer limiters")]
    Memory {
        /// How many MiB the site needs.
        needed: u64,
        /// How many MiB are available.
        available: u64,
    },
}

/// Why a limiter did not start.
#[derive(Debug, thiserror::Error)]
pub enum LimiterError {
    /// A file that it is to read or write could not be made.
    #[error("limiter {number}: {file}: {source}")]
    File {
        /// The limiter's number.
        number: usize,
        /// Which file.
        file: LimiterFile,
        /// What the operating system said.
        source: io::Error,
    },
    /// Its program could not be started.
    #[error("limiter {number}: cannot start {}: {source}", program.display())]
    Spawn {
        /// The limiter's number.
        number: usize,
        /// The program.
        program: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// The command that begins its log failed.
    #[error("limiter {number}: its log is not begun: {output}")]
    LogInit {
        /// The limiter's number.
        number: usize,
        /// What the command wrote to standard error.
        output: String,
    },
    /// It ended before it was ready.
    #[error("limiter {number} ended before it was ready ({status}); it said: {last_line}")]
    Ended {
        /// The limiter's number.
        number: usize,
        /// How its process ended.
        status: String,
        /// The last line of its log.
        last_line: String,
    },
    /// It was not ready in time.
    #[error("limiter {number} is not ready after {seconds} s")]
    NotReady {
        /// The limiter's number.
        number: usize,
        /// How long it was waited for.
        seconds: u64,
    },
}

/// A file of a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimiterFile {
    /// Its configuration.
    #[error("its configuration")]
    Configuration,
    /// What it writes to standard error.
    #[error("its log")]
    Log,
    /// The file of an operator.
    #[error("its operator file")]
    Operator,
}

impl SiteError {
    /// For `map_err`: a part of the stand-ins could not be started.
    pub(crate) fn stand_in(part: StandIn) -> impl FnOnce(io::Error) -> SiteError {
        move |source| SiteError::StandIn { part, source }
    }
}
