//! The timers of a decision module.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use tokio::time::Instant;

/// Instants at fixed steps from an origin. Engines whose timers fire on the same grid wake together, which saves
/// wake-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerGrid {
    /// The first instant of the grid.
    pub origin: Instant,
    /// The time between two instants of the grid.
    pub step: Duration,
}

impl TimerGrid {
    /// The first instant of the grid that is not before `due`.
    pub(super) fn round_up(self, due: Instant) -> Instant {
        let since_origin = due.saturating_duration_since(self.origin).as_nanos();
        let past_step = since_origin % self.step.as_nanos().max(1);
        match past_step {
            0 => due,
            past_step => {
                due + self
                    .step
                    .saturating_sub(Duration::from_nanos(past_step as u64))
            }
        }
    }
}

/// Timers in the order in which they fire: by time, and by token where times are equal.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl Timers {
    pub(super) fn push(&mut self, due: Instant, token: u64) {
        self.heap.push(Reverse((due, token)));
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes the earliest timer if it is due, and returns its token.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<u64> {
        let Reverse((due, token)) = *self.heap.peek()?;
        if due > now {
            return None;
        }
        self.heap.pop();
        Some(token)
    }
}
