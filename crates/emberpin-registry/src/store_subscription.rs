//! The subscription to a store's items and status.
//!
//! The store on this machine is preferred; while it is unreachable, another voter's store is the fallback. Items merge by
//! their versions, so it does no harm if both are subscribed to for a moment.

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

/// A subscription without a frame for longer is broken: a store sends its status at least twice a second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often it is checked whether the fallback is needed: twice within
/// [`crate::store_state::LOCAL_STORE_TIMEOUT`].
const FALLBACK_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why a subscription ended.
#[derive(Debug, thiserror::Error)]
enum SubscriptionError {
    /// The connection failed or timed out.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// A fallback is no longer needed.
    #[error("the local store responds again")]
    LocalStoreReturned,
}

/// Subscribes to stores, and passes what they send to the event loop.
pub struct StoreSubscription {
    identity: Arc<ProcessIdentity>,
    /// The port of all stores.
    port: u16,
    state: Arc<StoreState>,
    commands: CommandSender,
}

impl StoreSubscription {
    /// A subscription that is not started yet.
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

    /// Subscribes for as long as the process runs.
    pub fn start(self) {
        let subscription = Arc::new(self);
        tokio::spawn(subscription.clone().run_local_subscription());
        tokio::spawn(subscription.run_fallback_subscription());
    }

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
        let mut turn = 0;
        loop {
            sleep(FALLBACK_CHECK_INTERVAL).await;
            if !self.state.local_store_timed_out() {
                continue;
            }
            let others = self.state.other_stores();
            let Some(store) = others.get(turn % others.len().max(1)).copied() else {
                continue;
            };
            turn += 1;
            let error = self.subscribe(store).await;
            log::debug!("subscription to a fallback store ended: store={store} error={error}");
        }
    }

    /// Subscribes to one store until the connection breaks, times out, or is a fallback that is no longer needed.
    async fn subscribe(&self, store: Ipv4Addr) -> SubscriptionError {
        match self.run_subscription(store).await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

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
            self.identity.learn_system(system);
        }
        tokio::select! {
            ended = self.send_confirmation_requests(&mut writer) => Ok(ended?),
            ended = self.receive_replies(store, reader) => ended,
        }
    }

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
            // Its sender is part of `self.state`, so the wait never fails.
            _ = requests.changed().await;
        }
    }

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
            let Some(event) = self.event_of_reply(reply, is_local) else {
                continue;
            };
            self.commands.send_event(event).await;
            if !is_local && !self.state.local_store_timed_out() {
                return Err(SubscriptionError::LocalStoreReturned);
            }
        }
    }

    /// Records what the reply says of the stores; the event that the state machine handles, if there is one.
    fn event_of_reply(&self, reply: StoreReply, is_local: bool) -> Option<Event> {
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
            // Calls have connections of their own.
            StoreReply::Response { .. } | StoreReply::Coordinated { .. } => None,
        }
    }
}
