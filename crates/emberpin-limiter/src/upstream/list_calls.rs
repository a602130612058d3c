//! When this limiter calls the list service: the decisions of `emberpin_startup::call_schedule` with a clock, a random
//! source and the messages of peers.

use crate::operate::config::Config;
use emberpin_balancer::{gossip, GatewayId};
use emberpin_startup::call_schedule::{CallOutcome, CallSchedule, GroupPosition, PeerStart};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Incarnations that began within this time of each other, in milliseconds, are one common start.
const TOGETHER: f64 = 2_000.0;

/// When this incarnation of the limiter calls the list service.
pub struct ListCalls {
    calls: RefCell<CallSchedule>,
    random: RefCell<oorandom::Rand64>,
    began: Instant,
    /// When this incarnation began, in milliseconds of the clock that all limiters share.
    life: f64,
    asked: Cell<bool>,
    heard: Notify,
}

impl ListCalls {
    /// Starts at `now` milliseconds of the clock that all limiters share. With `goes_on`, which means that another process
    /// handed over its state, the first call is made at once.
    pub fn new(config: &Config, now: f64, goes_on: bool) -> Rc<ListCalls> {
        let mut random = oorandom::Rand64::new(u128::from(config.seed));
        let place = GroupPosition {
            number: config.settings.gateway_id.0,
            size: config.settings.group_size,
        };
        // On the platform a change binds from when it would have been told: one that knows servers asks at once.
        let may_wait = config.start.is_some() || config.known.targets.is_empty();
        let power = config
            .start
            .as_ref()
            .and_then(|start| start.list_calls_per_s);
        let calls = match may_wait {
            true => CallSchedule::staggered(place, power, random.rand_float()),
            false => CallSchedule::immediate(place),
        };
        Rc::new(ListCalls {
            calls: RefCell::new(calls),
            random: RefCell::new(random),
            began: Instant::now(),
            life: now,
            asked: Cell::new(goes_on),
            heard: Notify::new(),
        })
    }

    /// Waits until the first call is due.
    pub async fn first(&self) {
        while !self.asked.get() {
            let due = self.began + self.calls.borrow().first_call_at();
            tokio::select! {
                () = sleep_until(due) => self.asked.set(true),
                () = self.heard.notified() => {}
            }
        }
    }

    /// The slot of this limiter, since the start or since it lacks what it would be told.
    pub fn slot(&self) -> Duration {
        self.calls.borrow().first_call_at()
    }

    /// Records that the first call is made now.
    pub fn ask(&self) {
        self.asked.set(true);
    }

    /// Returns when a peer was heard of before the first call.
    pub async fn heard_more(&self) {
        self.heard.notified().await;
    }

    /// Takes a peer's message, which shows that the peer runs and since when.
    pub fn heard(&self, from: GatewayId, bytes: &[u8]) {
        if self.asked.get() {
            return;
        }
        let Some(message) = gossip::read(bytes) else {
            return;
        };
        let life = gossip::full_incarnation(message.incarnation, self.life) as f64;
        let start = match life + TOGETHER >= self.life {
            true => PeerStart::Together,
            false => PeerStart::Earlier,
        };
        self.calls.borrow_mut().on_peer_message(from.0, start);
        self.heard.notify_one();
    }

    /// The delay before the next call, after one that ended with this outcome.
    pub fn pause(&self, ended: CallOutcome) -> Duration {
        let draw = self.random.borrow_mut().rand_float();
        self.calls.borrow_mut().next_delay(ended, draw)
    }

    /// Another list service is used from now on.
    pub fn moved(&self) {
        self.calls.borrow_mut().on_service_changed();
    }
}
