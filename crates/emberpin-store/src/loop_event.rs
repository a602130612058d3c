//! What wakes the event loop: signals, events of the disk, inputs of connections, and timers.

use crate::disk::worker::DiskEvent;
use crate::input::Input;
use crate::signals::{Signal, Signals};
use std::time::Duration;
use tokio::sync::mpsc;

/// Where events come from.
pub struct EventSources {
    pub signals: Signals,
    pub disk_events: mpsc::Receiver<DiskEvent>,
    pub inputs: mpsc::Receiver<Input>,
}

/// An event of the event loop.
pub enum LoopEvent {
    /// The process received a signal.
    Signal(Signal),
    /// `None` if the disk's thread ended by itself.
    Disk(Option<DiskEvent>),
    /// `None` if the listener ended.
    Input(Option<Input>),
    /// Something is due.
    Timer,
}

impl EventSources {
    /// Waits for an event, at most for a time. Signals and the disk come before inputs.
    pub async fn next(&mut self, sleep: Duration) -> LoopEvent {
        tokio::select! {
            biased;
            signal = self.signals.next() => LoopEvent::Signal(signal),
            event = self.disk_events.recv() => LoopEvent::Disk(event),
            input = self.inputs.recv() => LoopEvent::Input(input),
            () = tokio::time::sleep(sleep) => LoopEvent::Timer,
        }
    }
}
