//! The client for the operations of applications on registers (locks, counters and cells): it chooses the store that an
//! operation is sent to, and interprets the replies.
//!
//! One store is the leader; it carries out operations fastest, and all other stores redirect to it. A store that does
//! not reply to an operation in time is suspected, and all operations that wait for its reply are sent to the next
//! store, which takes over as leader. Carrying out an operation twice is permitted, so it is sent again even if the
//! first store may have carried it out.

use crate::store_client::StoreClient;
use crate::store_connection::StoreConnection;
use crate::store_state::{lock, StoreState};
use emberpin_consensus::{CoordinationReply, PossibleEffect, WhenLed};
use emberpin_coordination::{Operation, Outcome};
use emberpin_store::protocol::{StoreReply, StoreRequest};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// The time-out of an operation, in addition to the time that a watch asks to wait: applications call another registry
/// after a second without a response.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(900);
/// The initial and lowest reply time-out: a store that has sent no reply for this long while an operation waits is
/// suspected. Each such suspicion doubles the time-out, up to [`MAX_REPLY_TIMEOUT`], and each reply reduces it by an
/// eighth: if all stores are slow, the next store is no faster.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// A store that does not reply to an operation for this long is suspected, even if it replies to others.
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a store remains suspected unless it replies.
const SUSPICION_PERIOD: Duration = Duration::from_secs(3);
/// The delay before an attempt while all stores are suspected.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of an operation, as reported to the application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationResult {
    /// The operation was carried out, with this outcome.
    Done(Outcome),
    /// The operation had no effect and never will, or it only reads.
    Unavailable,
    /// The operation may have been carried out, or may be carried out later.
    Unknown,
}

/// The store that an attempt is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Target {
    store: Ipv4Addr,
    /// What the store does if another store leads.
    when_led: WhenLed,
    /// Whether the store is suspected, which it is only if all stores are.
    is_suspected: bool,
}

/// The result of one attempt.
enum AttemptResult {
    Replied(CoordinationReply),
    /// The operation was not sent: the store could not be reached, speaks too old a version of the protocol, or the
    /// request could not be encoded.
    NotSent,
    /// The store did not reply in time, or the connection broke before its reply.
    TimedOut,
}

/// Sends the operations of applications to the stores.
pub struct CoordinationClient {
    store_client: Arc<StoreClient>,
    state: Arc<StoreState>,
    /// The last known leader. Its subscribers are also notified whenever a store is suspected.
    leader: watch::Sender<Option<Ipv4Addr>>,
    /// The current reply time-out, between [`MIN_REPLY_TIMEOUT`] and [`MAX_REPLY_TIMEOUT`].
    reply_timeout: Mutex<Duration>,
    /// The stores that have not replied since they were suspected, and when that was last.
    suspects: Mutex<BTreeMap<Ipv4Addr, Instant>>,
}

impl CoordinationClient {
    /// Creates a client that knows no leader yet.
    pub fn new(store_client: Arc<StoreClient>, state: Arc<StoreState>) -> CoordinationClient {
        CoordinationClient {
            store_client,
            state,
            leader: watch::Sender::new(None),
            reply_timeout: Mutex::new(MIN_REPLY_TIMEOUT),
            suspects: Mutex::default(),
        }
    }

    /// Sends an operation to one store after the other until one has carried it out or its deadline has passed.
    pub async fn call(&self, operation: Operation) -> OperationResult {
        let wait = match &operation {
            Operation::WatchGroup { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let deadline = Instant::now() + OPERATION_TIMEOUT + wait;
        let mut effect = PossibleEffect::None;
        let attempts = self.attempt_until_done(&operation, wait, &mut effect);
        match timeout_at(deadline, attempts).await {
            // An earlier attempt, whose effect is unknown, may still be carried out if there is space by then.
            Ok(Outcome::OutOfSpace) if effect == PossibleEffect::Unknown => {
                OperationResult::Unknown
            }
            Ok(outcome) => OperationResult::Done(outcome),
            Err(_) if effect == PossibleEffect::None || operation.is_read() => {
                OperationResult::Unavailable
            }
            Err(_) => OperationResult::Unknown,
        }
    }

    /// Sends the operation to one store after the other until one has carried it out. `effect` always states whether a
    /// store may have carried out the operation or may do so later, also if the caller cancels the attempts.
    async fn attempt_until_done(
        &self,
        operation: &Operation,
        wait: Duration,
        effect: &mut PossibleEffect,
    ) -> Outcome {
        loop {
            let target = self.choose_target();
            if target.is_suspected {
                sleep(RETRY_DELAY).await;
            }
            let earlier_effect = *effect;
            // Assumed while the attempt runs, as the deadline may cancel it after the operation was sent.
            *effect = PossibleEffect::Unknown;
            match self.attempt(target, operation, wait).await {
                AttemptResult::Replied(CoordinationReply::Done(outcome)) => {
                    *effect = earlier_effect;
                    self.clear_suspicion(target.store);
                    self.shorten_reply_timeout();
                    self.set_leader(target.store);
                    return outcome;
                }
                AttemptResult::Replied(CoordinationReply::NotLeader {
                    leader,
                    effect: attempt_effect,
                }) => {
                    *effect = earlier_effect.max(attempt_effect);
                    self.clear_suspicion(target.store);
                    self.set_leader(leader);
                }
                AttemptResult::Replied(CoordinationReply::Undecided {
                    effect: attempt_effect,
                }) => {
                    *effect = earlier_effect.max(attempt_effect);
                    self.suspect(target.store);
                }
                AttemptResult::NotSent => {
                    *effect = earlier_effect;
                    self.suspect(target.store);
                }
                AttemptResult::TimedOut => self.suspect(target.store),
            }
        }
    }

    /// Chooses the store for the next attempt: the leader, or, if it is suspected, the first store that is not, which
    /// is to take over as leader. While no leader is known, the first store that is not suspected, which redirects if
    /// another one leads. If all stores are suspected, the one whose last suspicion is the oldest: a fault that
    /// affects all stores may have ended, so none is excluded.
    fn choose_target(&self) -> Target {
        let leader = *self.leader.borrow();
        let (suspects, now) = (lock(&self.suspects), Instant::now());
        let suspected_at = |store: &Ipv4Addr| {
            let suspected_at = suspects.get(store).copied();
            suspected_at.filter(|at| now < *at + SUSPICION_PERIOD)
        };
        // Sorted, so that all registries choose the same store as the next leader.
        let mut stores = self.state.other_stores();
        stores.push(self.state.local_ip());
        stores.sort_unstable();
        let first_unsuspected = stores
            .iter()
            .copied()
            .find(|store| suspected_at(store).is_none());
        let suspected_earliest = stores.iter().copied().min_by_key(suspected_at);
        let (store, when_led, is_suspected) = match (leader, first_unsuspected) {
            (Some(leader), _) if suspected_at(&leader).is_none() => {
                (leader, WhenLed::Redirect, false)
            }
            (Some(_), Some(first_unsuspected)) => (first_unsuspected, WhenLed::TakeOver, false),
            (None, Some(first_unsuspected)) => (first_unsuspected, WhenLed::Redirect, false),
            (_, None) => {
                let store = suspected_earliest.unwrap_or(self.state.local_ip());
                (store, WhenLed::Redirect, true)
            }
        };
        Target {
            store,
            when_led,
            is_suspected,
        }
    }

    fn set_leader(&self, store: Ipv4Addr) {
        self.leader.send_if_modified(|leader| {
            let is_new = *leader != Some(store);
            *leader = Some(store);
            is_new
        });
    }

    /// Marks a store as suspected, and wakes the operations that wait for its reply, which then try another store.
    fn suspect(&self, store: Ipv4Addr) {
        lock(&self.suspects).insert(store, Instant::now());
        self.leader.send_modify(|_| {});
    }

    /// Removes the suspicion of a store that has replied.
    fn clear_suspicion(&self, store: Ipv4Addr) {
        lock(&self.suspects).remove(&store);
    }

    /// Sends the operation to one store, and waits for its reply.
    async fn attempt(
        &self,
        target: Target,
        operation: &Operation,
        wait: Duration,
    ) -> AttemptResult {
        let connection = self.store_client.connection(target.store);
        let Some(connection) = connection.await else {
            return AttemptResult::NotSent;
        };
        let id = self.store_client.next_request_id();
        let request = StoreRequest::Coordinate {
            id,
            operation: operation.clone(),
            when_led: target.when_led,
        };
        if connection.version < request.oldest_version() {
            return AttemptResult::NotSent;
        }
        let Some(frame) = StoreClient::encode(request) else {
            return AttemptResult::NotSent;
        };
        tokio::select! {
            biased;
            reply = connection.request(id, frame) => match reply {
                Some(StoreReply::Coordinated { reply, .. }) => AttemptResult::Replied(reply),
                _ => AttemptResult::TimedOut,
            },
            () = self.wait_until_reply_overdue(&connection, wait) => {
                self.lengthen_reply_timeout();
                AttemptResult::TimedOut
            }
            () = self.wait_until_suspected(target.store, Instant::now()) => AttemptResult::TimedOut,
        }
    }

    /// Returns once the store is suspected, because of another operation, at a later time than `after`.
    async fn wait_until_suspected(&self, store: Ipv4Addr, after: Instant) {
        let mut changes = self.leader.subscribe();
        while changes.changed().await.is_ok() {
            let suspected_at = lock(&self.suspects).get(&store).copied();
            if suspected_at.is_some_and(|at| at > after) {
                return;
            }
        }
    }

    /// Returns once the reply to an operation that is sent now is overdue. `wait` is the time that the operation itself
    /// asks the store to wait; it is not counted.
    async fn wait_until_reply_overdue(&self, connection: &StoreConnection, wait: Duration) {
        let timeout = *lock(&self.reply_timeout);
        let waits_until = Instant::now() + wait;
        loop {
            let last_reply_at = connection.last_reply_at();
            let overdue_at =
                (waits_until.max(last_reply_at) + timeout).min(waits_until + MAX_REPLY_TIMEOUT);
            if Instant::now() >= overdue_at {
                return;
            }
            sleep_until(overdue_at).await;
        }
    }

    fn lengthen_reply_timeout(&self) {
        let mut timeout = lock(&self.reply_timeout);
        *timeout = (*timeout * 2).min(MAX_REPLY_TIMEOUT);
    }

    fn shorten_reply_timeout(&self) {
        let mut timeout = lock(&self.reply_timeout);
        *timeout = (*timeout - *timeout / 8).max(MIN_REPLY_TIMEOUT);
    }
}
