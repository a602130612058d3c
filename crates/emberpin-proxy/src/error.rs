//! Errors that prevent the proxy from starting, or end it without a request to shut down.

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
    /// The proxy could not listen on one of its addresses; another process may be using it.
    #[error("could not listen on {address}: {error}")]
    Listen {
        /// The address, as stated in the settings.
        address: SocketAddr,
        /// The error that the operating system reported.
        #[source]
        error: io::Error,
    },
    /// The metrics of the limiter's library could not be registered.
    #[error("could not register metrics: {0}")]
    Metrics(String),
    /// A task that must run for the lifetime of the process has ended.
    #[error("the {0} task ended unexpectedly")]
    TaskEnded(&'static str),
}
