//! Which lists hold where the operator has set `[start]`, and when the limiter is ready: the decisions of
//! `emberpin_startup` with a clock, a random source and a disk.

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

/// The doubts, the snapshot and the readiness of one limiter.
pub struct ListTrust {
    began: Instant,
    trust: RefCell<ListGuard>,
    ready: RefCell<Readiness>,
    /// When it is ready whatever is known.
    limit: Instant,
    is_ready: watch::Sender<bool>,
    kept: Option<ListSnapshot>,
    random: RefCell<oorandom::Rand64>,
    refetch: Rc<Notify>,
    /// The whole list will be asked for again.
    asks_again: Cell<bool>,
}

impl ListTrust {
    /// Nothing is doubted yet; `None` where `[start]` is off.
    pub fn start(
        config: &Config,
        kept: Option<ListSnapshot>,
        refetch: Rc<Notify>,
    ) -> Option<Rc<ListTrust>> {
        let start = config.start.as_ref()?;
        let began = Instant::now();
        Some(Rc::new(ListTrust {
            began,
            trust: RefCell::new(ListGuard::new(GuardConfig {
                min_retained_share: start.keep_share,
                max_doubt: start.keep,
            })),
            ready: RefCell::new(Readiness::new(start.ready_within)),
            limit: began + start.ready_within,
            is_ready: watch::Sender::new(false),
            kept,
            random: RefCell::new(oorandom::Rand64::new(u128::from(config.seed) ^ 0x6265)),
            refetch,
            asks_again: Cell::new(false),
        }))
    }

    /// Returns once clients may come.
    pub async fn ready(&self) {
        let mut ready = self.is_ready.subscribe();
        tokio::select! {
            _ = ready.wait_for(|ready| *ready) => {}
            () = sleep_until(self.limit) => {
                self.ready.borrow_mut().update(self.began.elapsed(), 0);
            }
        }
    }

    /// What becomes of what was told; one that is doubted is asked for again.
    pub fn judge(
        self: &Rc<Self>,
        held: ListSummary,
        told: ListSummary,
        scope: ListScope,
    ) -> Verdict {
        let verdict = self
            .trust
            .borrow_mut()
            .evaluate(self.began.elapsed(), held, told, scope);
        if matches!(verdict, Verdict::Merge | Verdict::Reject) {
            eprintln!(
                "emberpin: a list of version {} with {} servers is doubted, version {} with {} is held; SIGHUP has it \
                 believed",
                told.revision, told.servers, held.revision, held.servers
            );
        }
        let draw = self.random.borrow_mut().rand_float();
        let again = self.trust.borrow().refetch_delay(draw);
        if let (Some(pause), false) = (again, self.asks_again.replace(again.is_some())) {
            let believed = self.clone();
            spawn_local(async move {
                sleep(pause).await;
                believed.asks_again.set(false);
                believed.refetch.notify_one();
            });
        }
        verdict
    }

    /// A peer doubted this whole list and believes it now.
    pub fn take(&self) {
        self.trust.borrow_mut().on_full_list_accepted();
    }

    /// Whether what was told last is doubted.
    pub fn doubts(&self) -> bool {
        self.trust.borrow().is_doubting()
    }

    /// So many servers of the list may be sent to.
    pub fn see(&self, servers: usize) {
        let ready = self
            .ready
            .borrow_mut()
            .update(self.began.elapsed(), servers);
        self.is_ready
            .send_if_modified(|was| !std::mem::replace(was, ready) && ready);
    }

    /// The list service has told this. What a life was given at its start is not kept: it would seem as young as the
    /// life.
    pub fn keep(&self, rev: u64, targets: impl FnOnce() -> Vec<Target>) {
        if let Some(kept) = &self.kept {
            let targets = targets();
            if !targets.is_empty() {
                kept.keep(rev, &targets);
            }
        }
    }

    /// The operator's word: what the list service tells holds.
    pub fn believe(&self) {
        if self.trust.borrow_mut().override_doubt() {
            eprintln!("emberpin: the next whole list is believed");
            self.refetch.notify_one();
        }
    }
}
