//! Why the proxy could not start, or ended before it was asked to.

use std::io;
use std::net::SocketAddr;

/// Failure of the proxy as a whole. Failures of single requests or sessions are handled where they occur.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// A setting that every proxy needs is absent from the settings file.
    #[error("setting {0} is missing from the settings file")]
    MissingSetting(&'static str),
    /// The asynchronous runtime could not be built.
    #[error("could not build the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("could not install a signal handler: {0}")]
    Signal(#[source] io::Error),
    /// The proxy could not listen on one of its addresses; another process may hold it.
    #[error("could not listen on {address}: {error}")]
    Listen {
        /// Where, as the settings say.
        address: SocketAddr,
        /// What the operating system reported.
        #[source]
        error: io::Error,
    },
    /// The metrics of the limiter's library could not be registered.
    #[error("could not register metrics: {0}")]
    Metrics(String),
    /// A task that runs for as long as the process has ended.
    #[error("the {0} task ended unexpectedly")]
    TaskEnded(&'static str),
}
