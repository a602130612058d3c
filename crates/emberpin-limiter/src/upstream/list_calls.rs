//! When this limiter calls the discovery service. A call requests the endpoint list and begins a watch of it. Hosts a
//! [`CallSchedule`] with a clock, a random source and the messages of peers.

use crate::operate::config::Config;
use emberpin_balancer::{gossip, GatewayId};
use emberpin_startup::call_schedule::{CallOutcome, CallSchedule, GroupPosition, PeerStart};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Incarnations of limiters that started within this time of each other, in milliseconds, count as one common start.
const COMMON_START_MS: f64 = 2_000.0;

/// When this incarnation of the limiter calls the discovery service.
pub struct ListCalls {
    schedule: RefCell<CallSchedule>,
    random: RefCell<oorandom::Rand64>,
    started_at: Instant,
    /// When this incarnation started, in milliseconds of the clock that all limiters share.
    started_at_ms: f64,
    /// Whether the first call was made, or is not to be delayed.
    first_call_made: Cell<bool>,
    /// Notified after each message of a peer that came before the first call.
    peer_observed: Notify,
}

impl ListCalls {
    /// `now` is the time in milliseconds of the clock that all limiters share. If `resumed`, which means that another
    /// process handed over its state, the first call is made at once.
    pub fn new(config: &Config, now: f64, resumed: bool) -> Rc<ListCalls> {
        let mut random = oorandom::Rand64::new(u128::from(config.seed));
        let position = GroupPosition {
            number: config.settings.gateway_id.0,
            size: config.settings.group_size,
        };
        // Without `[start]`, changes to the list must be applied in time, so a limiter that already knows servers, and
        // whose list may be outdated, calls at once.
        let may_wait = config.start.is_some() || config.initial_list.targets.is_empty();
        let calls_per_s = config
            .start
            .as_ref()
            .and_then(|start| start.list_calls_per_s);
        let schedule = match may_wait {
            true => CallSchedule::staggered(position, calls_per_s, random.rand_float()),
            false => CallSchedule::immediate(position),
        };
        Rc::new(ListCalls {
            schedule: RefCell::new(schedule),
            random: RefCell::new(random),
            started_at: Instant::now(),
            started_at_ms: now,
            first_call_made: Cell::new(resumed),
            peer_observed: Notify::new(),
        })
    }

    /// Waits until the first call is due.
    pub async fn wait_for_first_call(&self) {
        while !self.first_call_made.get() {
            let due = self.started_at + self.schedule.borrow().first_call_at();
            tokio::select! {
                () = sleep_until(due) => self.first_call_made.set(true),
                () = self.peer_observed.notified() => {}
            }
        }
    }

    /// The delay of this limiter's first call, counted from the start or from when too few other limiters watch the
    /// discovery service.
    pub fn first_call_delay(&self) -> Duration {
        self.schedule.borrow().first_call_at()
    }

    /// Records that the first call is made now.
    pub fn mark_called(&self) {
        self.first_call_made.set(true);
    }

    /// Returns once a peer's message has come before the first call, and may have changed `first_call_delay`.
    pub async fn peer_observed(&self) {
        self.peer_observed.notified().await;
    }

    /// Handles a peer's message, which shows that the peer runs, and since when.
    pub fn on_peer_message(&self, from: GatewayId, bytes: &[u8]) {
        if self.first_call_made.get() {
            return;
        }
        let Some(message) = gossip::decode(bytes) else {
            return;
        };
        let peer_started_at_ms =
            gossip::full_incarnation(message.incarnation, self.started_at_ms) as f64;
        let start = match peer_started_at_ms + COMMON_START_MS >= self.started_at_ms {
            true => PeerStart::Together,
            false => PeerStart::Earlier,
        };
        self.schedule.borrow_mut().on_peer_message(from.0, start);
        self.peer_observed.notify_one();
    }

    /// The delay before the next call, after one that ended with this outcome.
    pub fn next_delay(&self, outcome: CallOutcome) -> Duration {
        let draw = self.random.borrow_mut().rand_float();
        self.schedule.borrow_mut().next_delay(outcome, draw)
    }

    /// Resets the backoff, since another discovery service is used from now on.
    pub fn on_service_changed(&self) {
        self.schedule.borrow_mut().on_service_changed();
    }
}
