//! The power of a service that calls share: each that waits gets the same part of it, and one that has waited too
//! long fails and has cost as much as one that was answered (processor sharing).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How finely the power is dealt out.
const TICK: Duration = Duration::from_millis(2);
/// The part of its power that the service has when it starts.
const INITIAL_SHARE: f64 = 0.25;

/// One service.
pub struct SharedCapacity {
    /// Calls a second; 0 for as many as come.
    rate: f64,
    patience: Duration,
    warm: Duration,
    began: Cell<Instant>,
    waiting: RefCell<Vec<Call>>,
    dealing: Cell<bool>,
}

struct Call {
    since: Instant,
    left: f64,
    done: oneshot::Sender<bool>,
}

impl SharedCapacity {
    /// A service of so many calls a second, that fails what waits for longer and is at full power after so long.
    pub fn new(rate: f64, patience_s: f64, warm_s: f64) -> Rc<SharedCapacity> {
        Rc::new(SharedCapacity {
            rate,
            patience: Duration::from_secs_f64(patience_s),
            warm: Duration::from_secs_f64(warm_s),
            began: Cell::new(Instant::now()),
            waiting: RefCell::default(),
            dealing: Cell::new(false),
        })
    }

    /// The service starts now.
    pub fn begin(&self) {
        self.began.set(Instant::now());
    }

    /// Waits for one call's work; whether it was done in time.
    pub async fn answer(self: &Rc<Self>) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let (done, outcome) = oneshot::channel();
        self.waiting.borrow_mut().push(Call {
            since: Instant::now(),
            left: 1.0,
            done,
        });
        if !self.dealing.replace(true) {
            spawn_local(self.clone().deal());
        }
        outcome.await.unwrap_or(false)
    }

    async fn deal(self: Rc<Self>) {
        let mut last = Instant::now();
        while !self.waiting.borrow().is_empty() {
            sleep(TICK).await;
            let now = Instant::now();
            let part = match self.warm.is_zero() {
                true => 1.0,
                false => {
                    now.duration_since(self.began.get()).as_secs_f64() / self.warm.as_secs_f64()
                }
            };
            let rate = self.rate * (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * part.min(1.0));
            deal(
                &mut self.waiting.borrow_mut(),
                rate * (now - last).as_secs_f64(),
            );
            let mut waiting = self.waiting.borrow_mut();
            let (late, kept) = waiting
                .drain(..)
                .partition(|call| now - call.since >= self.patience);
            *waiting = kept;
            let late: Vec<Call> = late;
            late.into_iter().for_each(|call| _ = call.done.send(false));
            last = now;
        }
        self.dealing.set(false);
    }
}

/// Deals work out evenly, and tells those whose call is done.
fn deal(waiting: &mut Vec<Call>, mut work: f64) {
    while work > 1e-12 && !waiting.is_empty() {
        let least = waiting
            .iter()
            .map(|call| call.left)
            .fold(f64::INFINITY, f64::min);
        let each = least.min(work / waiting.len() as f64);
        work -= each * waiting.len() as f64;
        waiting.iter_mut().for_each(|call| call.left -= each);
        let mut left = Vec::new();
        for call in waiting.drain(..) {
            match call.left <= 1e-9 {
                // Whoever asked may be gone.
                true => _ = call.done.send(true),
                false => left.push(call),
            }
        }
        *waiting = left;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_that_wait_share_the_power_and_none_of_it_is_lost() {
        let (mut waiting, mut ends) = (Vec::new(), Vec::new());
        for left in [1.0, 1.0, 0.25] {
            let (done, outcome) = oneshot::channel();
            waiting.push(Call {
                since: Instant::now(),
                left,
                done,
            });
            ends.push(outcome);
        }
        deal(&mut waiting, 0.75);
        assert_eq!(ends[2].try_recv(), Ok(true));
        assert_eq!(waiting.len(), 2);
        deal(&mut waiting, 1.5);
        assert!(
            waiting.is_empty() && ends[0].try_recv() == Ok(true) && ends[1].try_recv() == Ok(true)
        );
    }
}
