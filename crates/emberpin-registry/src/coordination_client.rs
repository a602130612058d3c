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
/// A store that has sent nothing for this long while an operation waits is suspected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// A store that leaves one operation without a reply for this long is suspected, though it replies to others.
const MAX_REPLY_TIME: Duration = Duration::from_millis(700);
/// How long a store is suspected.
const SUSPICION_PERIOD: Duration = Duration::from_secs(3);
/// The pause before the next attempt when no store is left that is not suspected.
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
}

/// What became of one attempt.
enum Attempt {
    Replied(CoordinationReply),
    /// The store could not be reached, so it has not seen the operation.
    NotSent,
    /// The store has sent no reply.
    Silent,
}

/// Sends operations to the stores.
pub struct CoordinationClient {
    stores: Arc<StoreClient>,
    state: Arc<StoreState>,
    /// The store that led last, as far as this registry knows.
    leader: watch::Sender<Option<Ipv4Addr>>,
    /// Until when stores are suspected.
    suspects: Mutex<BTreeMap<Ipv4Addr, Instant>>,
}

impl CoordinationClient {
    /// A client that knows no leader yet.
    pub fn new(stores: Arc<StoreClient>, state: Arc<StoreState>) -> CoordinationClient {
        CoordinationClient {
            stores,
            state,
            leader: watch::Sender::new(None),
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
            let Some(target) = self.target() else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let earlier_effect = *effect;
            // Until the attempt has ended otherwise: it may be cut off by the deadline.
            *effect = PossibleEffect::Unknown;
            match self.attempt(target, operation, wait).await {
                Attempt::Replied(CoordinationReply::Done(outcome)) => {
                    *effect = earlier_effect;
                    self.set_leader(target.store);
                    return outcome;
                }
                Attempt::Replied(CoordinationReply::NotLeader {
                    leader,
                    effect: now,
                }) => {
                    *effect = earlier_effect.max(now);
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
                Attempt::Silent => self.suspect(target.store),
            }
        }
    }

    /// The leader, or the first other store that is not suspected; it takes the lead if the leader is suspected. `None`
    /// if all are.
    fn target(&self) -> Option<Target> {
        let leader = *self.leader.borrow();
        if let Some(store) = leader.filter(|leader| !self.is_suspected(*leader)) {
            let when_led = WhenLed::Redirect;
            return Some(Target { store, when_led });
        }
        let when_led = match leader {
            Some(_) => WhenLed::TakeOver,
            None => WhenLed::Redirect,
        };
        // In one order everywhere, so that all registries have the same store take the lead.
        let mut stores = self.state.other_stores();
        stores.push(self.state.local_ip());
        stores.sort_unstable();
        stores
            .into_iter()
            .find(|store| !self.is_suspected(*store))
            .map(|store| Target { store, when_led })
    }

    fn set_leader(&self, store: Ipv4Addr) {
        self.leader.send_if_modified(|leader| {
            let is_new = *leader != Some(store);
            *leader = Some(store);
            is_new
        });
    }

    fn is_suspected(&self, store: Ipv4Addr) -> bool {
        lock(&self.suspects)
            .get(&store)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// Suspects a store, and has the operations that wait for it go elsewhere.
    fn suspect(&self, store: Ipv4Addr) {
        lock(&self.suspects).insert(store, Instant::now() + SUSPICION_PERIOD);
        self.leader.send_modify(|_| {});
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
                _ => Attempt::Silent,
            },
            () = silence(&connection, wait) => Attempt::Silent,
            () = self.suspected(target.store) => Attempt::Silent,
        }
    }

    /// Returns once another operation has found the store to be silent.
    async fn suspected(&self, store: Ipv4Addr) {
        let mut changes = self.leader.subscribe();
        while changes.changed().await.is_ok() {
            if self.is_suspected(store) {
                return;
            }
        }
    }
}

/// Returns once a store counts as silent that owes a reply since now, beside the time that the operation waits.
async fn silence(connection: &StoreConnection, wait: Duration) {
    let sent_at = Instant::now() + wait;
    loop {
        let last_reply_at = connection.last_reply_at();
        let until = (sent_at.max(last_reply_at) + REPLY_TIMEOUT).min(sent_at + MAX_REPLY_TIME);
        if Instant::now() >= until {
            return;
        }
        sleep_until(until).await;
    }
}
