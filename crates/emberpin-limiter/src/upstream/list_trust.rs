//! Decides which endpoint lists are accepted where the operator has set `[start]`, and when the limiter is ready: hosts
//! [`ListGuard`] and [`Readiness`] with a clock, a random source and a disk. A list that would remove many servers is
//! doubted: it is rejected or only merged, and the full list is fetched again.

use crate::operate::config::Config;
use crate::upstream::endpoint_list::Target;
use crate::upstream::list_snapshot::ListSnapshot;
use emberpin_startup::list_guard::{GuardConfig, ListGuard, ListScope, ListSummary, Verdict};
use emberpin_startup::readiness::Readiness;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// The guard of the endpoint list, the snapshot and the readiness of one limiter.
pub struct ListTrust {
    started_at: Instant,
    guard: RefCell<ListGuard>,
    readiness: RefCell<Readiness>,
    /// When the limiter becomes ready even if it knows no servers.
    ready_deadline: Instant,
    is_ready: watch::Sender<bool>,
    snapshot: Option<ListSnapshot>,
    random: RefCell<oorandom::Rand64>,
    refetch: Rc<Notify>,
    /// Whether another fetch of the full list is scheduled.
    refetch_scheduled: Cell<bool>,
}

impl ListTrust {
    /// Starts with no list doubted; `None` where `[start]` is off.
    pub fn start(
        config: &Config,
        snapshot: Option<ListSnapshot>,
        refetch: Rc<Notify>,
    ) -> Option<Rc<ListTrust>> {
        let start = config.start.as_ref()?;
        let started_at = Instant::now();
        Some(Rc::new(ListTrust {
            started_at,
            guard: RefCell::new(ListGuard::new(GuardConfig {
                min_retained_share: start.keep_share,
                max_doubt: start.max_doubt,
            })),
            readiness: RefCell::new(Readiness::new(start.ready_within)),
            ready_deadline: started_at + start.ready_within,
            is_ready: watch::Sender::new(false),
            snapshot,
            random: RefCell::new(oorandom::Rand64::new(u128::from(config.seed) ^ 0x6265)),
            refetch,
            refetch_scheduled: Cell::new(false),
        }))
    }

    /// Returns once clients may be accepted.
    pub async fn ready(&self) {
        let mut ready = self.is_ready.subscribe();
        tokio::select! {
            _ = ready.wait_for(|ready| *ready) => {}
            () = sleep_until(self.ready_deadline) => {
                self.readiness.borrow_mut().update(self.started_at.elapsed(), 0);
            }
        }
    }

    /// Decides whether a received list is accepted. If it is doubted, schedules another fetch of the full list.
    pub fn evaluate(
        self: &Rc<Self>,
        current: ListSummary,
        received: ListSummary,
        scope: ListScope,
    ) -> Verdict {
        let verdict =
            self.guard
                .borrow_mut()
                .evaluate(self.started_at.elapsed(), current, received, scope);
        if matches!(verdict, Verdict::Merge | Verdict::Reject) {
            eprintln!(
                "emberpin: doubtful endpoint list at revision {} with {} servers, keeping revision {} with {}; send SIGHUP \
                 to accept it",
                received.revision, received.servers, current.revision, current.servers
            );
        }
        let draw = self.random.borrow_mut().rand_float();
        let delay = self.guard.borrow().refetch_delay(draw);
        if let (Some(delay), false) = (delay, self.refetch_scheduled.replace(delay.is_some())) {
            let list_trust = self.clone();
            spawn_local(async move {
                sleep(delay).await;
                list_trust.refetch_scheduled.set(false);
                list_trust.refetch.notify_one();
            });
        }
        verdict
    }

    /// Records that a full list is accepted without evaluation, because a limiter accepted it after a doubt.
    pub fn on_confirmed_list(&self) {
        self.guard.borrow_mut().on_full_list_accepted();
    }

    /// Whether a list was doubted and no full list has been accepted since.
    pub fn is_doubting(&self) -> bool {
        self.guard.borrow().is_doubting()
    }

    /// Updates the readiness with the number of servers that requests may be sent to.
    pub fn update_readiness(&self, servers: usize) {
        let ready = self
            .readiness
            .borrow_mut()
            .update(self.started_at.elapsed(), servers);
        self.is_ready
            .send_if_modified(|was_ready| !std::mem::replace(was_ready, ready) && ready);
    }

    /// Saves a list that was received since the start. The list that an incarnation starts with is not saved: with
    /// the time of the start, its snapshot would look newer than the list is.
    pub fn save(&self, revision: u64, targets: impl FnOnce() -> Vec<Target>) {
        if let Some(snapshot) = &self.snapshot {
            let targets = targets();
            if !targets.is_empty() {
                snapshot.save(revision, &targets);
            }
        }
    }

    /// Carries out an operator's override: if a list is doubted, the full list is fetched again and accepted whatever
    /// it contains.
    pub fn override_doubt(&self) {
        if self.guard.borrow_mut().override_doubt() {
            eprintln!("emberpin: the next full endpoint list will be accepted");
            self.refetch.notify_one();
        }
    }
}
