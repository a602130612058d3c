//! Events that wake the event loop: signals, disk events, inputs from connections, and timers.

use crate::disk::worker::DiskEvent;
use crate::input::Input;
use crate::signals::{Signal, Signals};
use std::time::Duration;
use tokio::sync::mpsc;

/// The channels and signal handlers from which the event loop receives its events.
pub struct EventSources {
    pub signals: Signals,
    pub disk_events: mpsc::Receiver<DiskEvent>,
    /// `None` if this deployment has no registers.
    pub register_disk_events: Option<mpsc::Receiver<DiskEvent>>,
    pub inputs: mpsc::Receiver<Input>,
}

/// An event of the event loop.
pub enum LoopEvent {
    /// The process received a signal.
    Signal(Signal),
    /// An event of the configuration's disk; `None` if the disk thread ended unexpectedly.
    Disk(Option<DiskEvent>),
    /// An event of the registers' disk; `None` if its thread ended unexpectedly.
    RegisterDisk(Option<DiskEvent>),
    /// An input from a connection; `None` if the listener ended.
    Input(Option<Input>),
    /// A timer has expired.
    Timer,
}

impl EventSources {
    /// Waits for an event, and returns [`LoopEvent::Timer`] if none arrives within `sleep`. Signals and disk events take
    /// precedence over inputs.
    pub async fn next(&mut self, sleep: Duration) -> LoopEvent {
        tokio::select! {
            biased;
            signal = self.signals.next() => LoopEvent::Signal(signal),
            event = self.disk_events.recv() => LoopEvent::Disk(event),
            event = next_disk_event(&mut self.register_disk_events) => LoopEvent::RegisterDisk(event),
            input = self.inputs.recv() => LoopEvent::Input(input),
            () = tokio::time::sleep(sleep) => LoopEvent::Timer,
        }
    }
}

/// Waits for the next event of a disk. Never returns if there is no such disk.
async fn next_disk_event(events: &mut Option<mpsc::Receiver<DiskEvent>>) -> Option<DiskEvent> {
    match events {
        Some(events) => events.recv().await,
        None => std::future::pending().await,
    }
}
