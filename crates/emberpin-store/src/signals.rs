//! The signals that a store handles.

use std::io;
use tokio::signal::unix::{signal, Signal as SignalStream, SignalKind};

/// A signal that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: leave the roster, and exit.
    Terminate,
    /// SIGINT: exit at once.
    Interrupt,
    /// SIGHUP: ignored, as no setting of a store changes while it runs.
    Hangup,
}

/// Handlers for the signals, which replace the kernel's default of terminating the process.
pub struct Signals {
    terminate: SignalStream,
    interrupt: SignalStream,
    hangup: SignalStream,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The operating system rejected one of the handlers.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal. Cancel-safe: no signal is lost.
    pub async fn next(&mut self) -> Signal {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Signal::Terminate,
            _ = self.interrupt.recv() => Signal::Interrupt,
            _ = self.hangup.recv() => Signal::Hangup,
        }
    }
}
