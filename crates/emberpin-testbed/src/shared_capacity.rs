//! The capacity of a service, shared equally by all pending calls (processor sharing). A call that is not done within
//! the time limit fails; the capacity that it was given until then is lost.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Interval at which capacity is distributed.
const TICK: Duration = Duration::from_millis(2);
/// Share of its capacity that the service has when it starts.
const INITIAL_SHARE: f64 = 0.25;

/// The capacity of one service.
pub struct SharedCapacity {
    /// Calls a second; 0 for unlimited.
    rate: f64,
    time_limit: Duration,
    warmup: Duration,
    started: Cell<Instant>,
    pending: RefCell<Vec<Call>>,
    is_processing: Cell<bool>,
}

struct Call {
    received_at: Instant,
    remaining_work: f64,
    done: oneshot::Sender<bool>,
}

impl SharedCapacity {
    /// Creates a service with a capacity in calls a second, a time limit for pending calls, and a warm-up time in
    /// seconds.
    pub fn new(rate: f64, time_limit_s: f64, warmup_s: f64) -> Rc<SharedCapacity> {
        Rc::new(SharedCapacity {
            rate,
            time_limit: Duration::from_secs_f64(time_limit_s),
            warmup: Duration::from_secs_f64(warmup_s),
            started: Cell::new(Instant::now()),
            pending: RefCell::default(),
            is_processing: Cell::new(false),
        })
    }

    /// Starts the warm-up now.
    pub fn start_warmup(&self) {
        self.started.set(Instant::now());
    }

    /// Waits until one call is processed; returns whether that was in time.
    pub async fn process_call(self: &Rc<Self>) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let (done, outcome) = oneshot::channel();
        self.pending.borrow_mut().push(Call {
            received_at: Instant::now(),
            remaining_work: 1.0,
            done,
        });
        if !self.is_processing.replace(true) {
            spawn_local(self.clone().process_pending());
        }
        outcome.await.unwrap_or(false)
    }

    async fn process_pending(self: Rc<Self>) {
        let mut last = Instant::now();
        while !self.pending.borrow().is_empty() {
            sleep(TICK).await;
            let now = Instant::now();
            let warmup_share = match self.warmup.is_zero() {
                true => 1.0,
                false => {
                    now.duration_since(self.started.get()).as_secs_f64() / self.warmup.as_secs_f64()
                }
            };
            let rate = self.rate * (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * warmup_share.min(1.0));
            share_work(
                &mut self.pending.borrow_mut(),
                rate * (now - last).as_secs_f64(),
            );
            let mut pending = self.pending.borrow_mut();
            let (timed_out, still_pending) = pending
                .drain(..)
                .partition(|call| now - call.received_at >= self.time_limit);
            *pending = still_pending;
            let timed_out: Vec<Call> = timed_out;
            timed_out
                .into_iter()
                .for_each(|call| _ = call.done.send(false));
            last = now;
        }
        self.is_processing.set(false);
    }
}

/// Distributes work equally over the pending calls and completes those that are done.
fn share_work(pending: &mut Vec<Call>, mut work: f64) {
    while work > 1e-12 && !pending.is_empty() {
        let smallest = pending
            .iter()
            .map(|call| call.remaining_work)
            .fold(f64::INFINITY, f64::min);
        let share = smallest.min(work / pending.len() as f64);
        work -= share * pending.len() as f64;
        pending
            .iter_mut()
            .for_each(|call| call.remaining_work -= share);
        let mut unfinished = Vec::new();
        for call in pending.drain(..) {
            match call.remaining_work <= 1e-9 {
                // The caller may be gone.
                true => _ = call.done.send(true),
                false => unfinished.push(call),
            }
        }
        *pending = unfinished;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pending_calls_share_the_capacity_without_loss() {
        let (mut pending, mut ends) = (Vec::new(), Vec::new());
        for remaining_work in [1.0, 1.0, 0.25] {
            let (done, outcome) = oneshot::channel();
            pending.push(Call {
                received_at: Instant::now(),
                remaining_work,
                done,
            });
            ends.push(outcome);
        }
        share_work(&mut pending, 0.75);
        assert_eq!(ends[2].try_recv(), Ok(true));
        assert_eq!(pending.len(), 2);
        share_work(&mut pending, 1.5);
        assert!(
            pending.is_empty() && ends[0].try_recv() == Ok(true) && ends[1].try_recv() == Ok(true)
        );
    }
}
