//! Operations of applications on registers: which store they are sent to, and what to make of the replies.
//!
//! One store leads; it carries out operations fastest, and any other one redirects to it. A store that leaves an
//! operation without a reply is suspected, and all operations that wait for it go to the next one, which takes the lead.
//! Operations may be carried out twice, so one whose store fell silent is sent to the next one.

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

/// An operation is answered within this time, beside the time that it asks to wait for: applications call elsewhere
/// after a second of silence.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(900);
/// A store that has sent nothing for this long while an operation waits is suspected. Doubled with each such suspicion, up to
/// [`MAX_REPLY_TIME`], and reduced by an eighth with each reply: where all stores are slow, a further one is no faster.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// A store that leaves one operation without a reply for this long is suspected, though it replies to others.
const MAX_REPLY_TIME: Duration = Duration::from_millis(700);
/// How long a store is suspected.
const SUSPICION_PERIOD: Duration = Duration::from_secs(3);
/// The pause before an attempt when all stores are suspected.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of an operation for its application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationResult {
    /// The operation is done.
    Done(Outcome),
    /// It was not carried out, and will not be.
    Unavailable,
    /// It may have been carried out, or may still be.
    Unknown,
}

/// Where an operation is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Target {
    store: Ipv4Addr,
    when_led: WhenLed,
    /// Whether this one is suspected, too: all are.
    is_suspected: bool,
}

/// What became of one attempt.
enum Attempt {
    Replied(CoordinationReply),
    /// The store could not be reached, so it has not seen the operation.
    NotSent,
    /// The store has sent no reply.
    TimedOut,
}

/// Sends operations to the stores.
pub struct CoordinationClient {
    stores: Arc<StoreClient>,
    state: Arc<StoreState>,
    /// The store that led last, as far as this registry knows.
    leader: watch::Sender<Option<Ipv4Addr>>,
    /// Between [`MIN_REPLY_TIMEOUT`] and [`MAX_REPLY_TIME`].
    reply_timeout: Mutex<Duration>,
    /// When stores were last suspected that have not replied since.
    suspects: Mutex<BTreeMap<Ipv4Addr, Instant>>,
}

impl CoordinationClient {
    /// A client that knows no leader yet.
    pub fn new(stores: Arc<StoreClient>, state: Arc<StoreState>) -> CoordinationClient {
        CoordinationClient {
            stores,
            state,
            leader: watch::Sender::new(None),
            reply_timeout: Mutex::new(MIN_REPLY_TIMEOUT),
            suspects: Mutex::default(),
        }
    }

    /// Has an operation carried out.
    pub async fn call(&self, operation: Operation) -> OperationResult {
        let wait = match &operation {
            Operation::WatchGroup { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let deadline = Instant::now() + OPERATION_TIMEOUT + wait;
        let mut effect = PossibleEffect::None;
        let attempts = self.attempt_until_done(&operation, wait, &mut effect);
        match timeout_at(deadline, attempts).await {
            // An earlier attempt may still find room.
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

    /// Sends the operation to one store after the other. `effect` says at any time whether one of them may have carried
    /// it out.
    async fn attempt_until_done(
        &self,
        operation: &Operation,
        wait: Duration,
        effect: &mut PossibleEffect,
    ) -> Outcome {
        loop {
            let target = self.target();
            if target.is_suspected {
                sleep(RETRY_DELAY).await;
            }
            let earlier_effect = *effect;
            // Until the attempt has ended otherwise: it may be cut off by the deadline.
            *effect = PossibleEffect::Unknown;
            match self.attempt(target, operation, wait).await {
                Attempt::Replied(CoordinationReply::Done(outcome)) => {
                    *effect = earlier_effect;
                    self.trust(target.store);
                    self.shorten_reply_timeout();
                    self.set_leader(target.store);
                    return outcome;
                }
                Attempt::Replied(CoordinationReply::NotLeader {
                    leader,
                    effect: now,
                }) => {
                    *effect = earlier_effect.max(now);
                    self.trust(target.store);
                    self.set_leader(leader);
                }
                Attempt::Replied(CoordinationReply::Undecided { effect: now }) => {
                    *effect = earlier_effect.max(now);
                    self.suspect(target.store);
                }
                Attempt::NotSent => {
                    *effect = earlier_effect;
                    self.suspect(target.store);
                }
                Attempt::TimedOut => self.suspect(target.store),
            }
        }
    }

    /// The leader, or the first other store that is not suspected; it takes the lead if the leader is suspected. If all
    /// are suspected, the one that has been for longest: what ails all of them may be over, so none is given up.
    fn target(&self) -> Target {
        let leader = *self.leader.borrow();
        let (suspects, now) = (lock(&self.suspects), Instant::now());
        let suspected_at = |store: &Ipv4Addr| {
            let suspected_at = suspects.get(store).copied();
            suspected_at.filter(|at| now < *at + SUSPICION_PERIOD)
        };
        // In one order everywhere, so that all registries have the same store take the lead.
        let mut stores = self.state.other_stores();
        stores.push(self.state.local_ip());
        stores.sort_unstable();
        let first = stores
            .iter()
            .copied()
            .find(|store| suspected_at(store).is_none());
        let suspected_longest = stores.iter().copied().min_by_key(suspected_at);
        let (store, when_led, is_suspected) = match (leader, first) {
            (Some(leader), _) if suspected_at(&leader).is_none() => {
                (leader, WhenLed::Redirect, false)
            }
            (Some(_), Some(first)) => (first, WhenLed::TakeOver, false),
            (None, Some(first)) => (first, WhenLed::Redirect, false),
            (_, None) => {
                let store = suspected_longest.unwrap_or(self.state.local_ip());
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

    /// Suspects a store, and has the operations that wait for it go elsewhere.
    fn suspect(&self, store: Ipv4Addr) {
        lock(&self.suspects).insert(store, Instant::now());
        self.leader.send_modify(|_| {});
    }

    /// A store that replies is not suspected any more.
    fn trust(&self, store: Ipv4Addr) {
        lock(&self.suspects).remove(&store);
    }

    async fn attempt(&self, target: Target, operation: &Operation, wait: Duration) -> Attempt {
        let connection = self.stores.connection(target.store);
        let Some(connection) = connection.await else {
            return Attempt::NotSent;
        };
        let id = self.stores.next_request_id();
        let request = StoreRequest::Coordinate {
            id,
            operation: operation.clone(),
            when_led: target.when_led,
        };
        if connection.version < request.oldest_version() {
            return Attempt::NotSent;
        }
        let Some(frame) = StoreClient::encode(request) else {
            return Attempt::NotSent;
        };
        tokio::select! {
            biased;
            reply = connection.request(id, frame) => match reply {
                Some(StoreReply::Coordinated { reply, .. }) => Attempt::Replied(reply),
                _ => Attempt::TimedOut,
            },
            () = self.reply_overdue(&connection, wait) => {
                self.lengthen_reply_timeout();
                Attempt::TimedOut
            }
            () = self.suspected(target.store, Instant::now()) => Attempt::TimedOut,
        }
    }

    /// Returns once another operation has found the store to be silent after this moment.
    async fn suspected(&self, store: Ipv4Addr, after: Instant) {
        let mut changes = self.leader.subscribe();
        while changes.changed().await.is_ok() {
            let suspected_at = lock(&self.suspects).get(&store).copied();
            if suspected_at.is_some_and(|at| at > after) {
                return;
            }
        }
    }

    /// Returns once the reply to an operation that is sent now is overdue, beside the time that the operation waits.
    async fn reply_overdue(&self, connection: &StoreConnection, wait: Duration) {
        let timeout = *lock(&self.reply_timeout);
        let sent_at = Instant::now() + wait;
        loop {
            let last_reply_at = connection.last_reply_at();
            let until = (sent_at.max(last_reply_at) + timeout).min(sent_at + MAX_REPLY_TIME);
            if Instant::now() >= until {
                return;
            }
            sleep_until(until).await;
        }
    }

    fn lengthen_reply_timeout(&self) {
        let mut timeout = lock(&self.reply_timeout);
        *timeout = (*timeout * 2).min(MAX_REPLY_TIME);
    }

    fn shorten_reply_timeout(&self) {
        let mut timeout = lock(&self.reply_timeout);
        *timeout = (*timeout - *timeout / 8).max(MIN_REPLY_TIMEOUT);
    }
}
