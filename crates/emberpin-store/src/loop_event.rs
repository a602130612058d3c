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
    /// `None` if there are no registers.
    pub register_disk_events: Option<mpsc::Receiver<DiskEvent>>,
    pub inputs: mpsc::Receiver<Input>,
}

/// An event of the event loop.
pub enum LoopEvent {
    /// The process received a signal.
    Signal(Signal),
    /// `None` if the disk's thread ended by itself.
    Disk(Option<DiskEvent>),
    /// An event of the disk of the registers; `None` if its thread ended by itself.
    RegisterDisk(Option<DiskEvent>),
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
            event = next_event(&mut self.register_disk_events) => LoopEvent::RegisterDisk(event),
            input = self.inputs.recv() => LoopEvent::Input(input),
            () = tokio::time::sleep(sleep) => LoopEvent::Timer,
        }
    }
}

/// The next event of a disk; never, if there is no such disk.
async fn next_event(events: &mut Option<mpsc::Receiver<DiskEvent>>) -> Option<DiskEvent> {
    match events {
        Some(events) => events.recv().await,
        None => std::future::pending().await,
    }
}
