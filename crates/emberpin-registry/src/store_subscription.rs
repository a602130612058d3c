//! The subscription to a store's items and status.
//!
//! The store on this machine is preferred; while it is unreachable, another voter's store is the fallback. Items are
//! merged by their versions, so two subscriptions at the same time do no harm.

use crate::backoff::ReconnectDelay;
use crate::commands::CommandSender;
use crate::connection::{read_message, receive_preamble};
use crate::store_state::StoreState;
use crate::tcp;
use emberpin_membership::ids::Nonce;
use emberpin_membership::registry::Event;
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_store::protocol::{FreshnessNonce, StoreReply, StoreRequest, ToStore};
use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, BufReader};
use tokio::time::{sleep, Instant};

/// The idle time-out, after which a subscription counts as broken: a store sends its status at least twice a second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The interval between checks whether the fallback is needed: half of [`crate::store_state::LOCAL_STORE_TIMEOUT`].
const FALLBACK_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why a subscription ended.
#[derive(Debug, thiserror::Error)]
enum SubscriptionError {
    /// The connection failed or timed out.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The subscription was to a fallback store, which is no longer needed.
    #[error("the local store responds again")]
    LocalStoreReturned,
}

/// Subscribes to stores, and passes their items, voters and confirmations to the event loop.
pub struct StoreSubscription {
    identity: Arc<ProcessIdentity>,
    /// The port at which all stores accept registries.
    port: u16,
    state: Arc<StoreState>,
    commands: CommandSender,
}

impl StoreSubscription {
    /// Creates a subscription, which [`StoreSubscription::start`] starts.
    pub fn new(
        identity: Arc<ProcessIdentity>,
        port: u16,
        state: Arc<StoreState>,
        commands: CommandSender,
    ) -> StoreSubscription {
        StoreSubscription {
            identity,
            port,
            state,
            commands,
        }
    }

    /// Starts the tasks that subscribe to stores for as long as the process runs.
    pub fn start(self) {
        let subscription = Arc::new(self);
        tokio::spawn(subscription.clone().run_local_subscription());
        tokio::spawn(subscription.run_fallback_subscription());
    }

    /// Subscribes to the store on this machine, again and again.
    async fn run_local_subscription(self: Arc<StoreSubscription>) {
        let mut delay = ReconnectDelay::default();
        loop {
            let attempted_at = Instant::now();
            let store = self.state.local_ip();
            let error = self.subscribe(store).await;
            log::debug!("subscription to the local store ended: store={store} error={error}");
            sleep(delay.next(attempted_at.elapsed())).await;
        }
    }

    /// While the store on this machine is unreachable, subscribes to the other stores in turn.
    async fn run_fallback_subscription(self: Arc<StoreSubscription>) {
        let mut attempts = 0;
        loop {
            sleep(FALLBACK_CHECK_INTERVAL).await;
            if !self.state.local_store_timed_out() {
                continue;
            }
            let others = self.state.other_stores();
            let Some(store) = others.get(attempts % others.len().max(1)).copied() else {
                continue;
            };
            attempts += 1;
            let error = self.subscribe(store).await;
            log::debug!("subscription to a fallback store ended: store={store} error={error}");
        }
    }

    /// Subscribes to one store until the connection breaks or times out, or the store is a fallback that is no longer
    /// needed. Returns the reason.
    async fn subscribe(&self, store: Ipv4Addr) -> SubscriptionError {
        match self.run_subscription(store).await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    /// As [`StoreSubscription::subscribe`]; never returns `Ok`.
    async fn run_subscription(&self, store: Ipv4Addr) -> Result<Infallible, SubscriptionError> {
        let stream = tcp::connect(store, self.port)
            .await
            .map_err(ConnectionError::from)?;
        let (reader, mut writer) = stream.into_split();
        self.identity.send_preamble(&mut writer).await?;
        frames::write(&mut writer, &ToStore::Request(StoreRequest::Subscribe)).await?;
        let mut reader = BufReader::new(reader);
        let preamble = receive_preamble(&self.identity, &mut reader, IDLE_TIMEOUT).await?;
        if let Some(system) = preamble.system.filter(|_| store == self.state.local_ip()) {
            self.identity.set_system_if_unknown(system);
        }
        tokio::select! {
            result = self.send_confirmation_requests(&mut writer) => Ok(result?),
            result = self.receive_replies(store, reader) => result,
        }
    }

    /// Sends each newest request for a freshness confirmation, beginning with the current one.
    async fn send_confirmation_requests(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> Result<Infallible, ConnectionError> {
        let mut requests = self.state.confirmation_requests();
        loop {
            let Nonce(nonce) = *requests.borrow_and_update();
            let confirm = ToStore::Request(StoreRequest::ConfirmFreshness {
                nonce: FreshnessNonce(nonce),
            });
            frames::write(writer, &confirm).await?;
            // `self.state` owns the sender, so waiting for a change never fails.
            _ = requests.changed().await;
        }
    }

    /// Passes the store's replies to the event loop.
    async fn receive_replies(
        &self,
        store: Ipv4Addr,
        mut reader: impl AsyncRead + Unpin,
    ) -> Result<Infallible, SubscriptionError> {
        let is_local = store == self.state.local_ip();
        loop {
            let reply: StoreReply = read_message(&mut reader, IDLE_TIMEOUT).await?;
            if is_local {
                self.state.record_local_frame();
            }
            let Some(event) = self.reply_to_event(reply, is_local) else {
                continue;
            };
            self.commands.send_event(event).await;
            if !is_local && !self.state.local_store_timed_out() {
                return Err(SubscriptionError::LocalStoreReturned);
            }
        }
    }

    /// Records the voters and the local disk status that a reply reports. Returns the event for the state machine, if
    /// the reply causes one.
    fn reply_to_event(&self, reply: StoreReply, is_local: bool) -> Option<Event> {
        match reply {
            StoreReply::Items { items } => Some(Event::Items(items)),
            StoreReply::Status { voters, disk, .. } => {
                if is_local {
                    self.state.record_local_disk(disk);
                }
                self.state.record_voters(&voters);
                Some(Event::VotersChanged(voters))
            }
            StoreReply::FreshnessConfirmed { nonce, age_ms } => Some(Event::StoreConfirmed {
                nonce: Nonce(nonce.0),
                age: age_ms.map(Duration::from_millis),
            }),
            // Calls use separate connections.
            StoreReply::Response { .. } | StoreReply::Coordinated { .. } => None,
        }
    }
}
