//! Calls to the stores, with failover from one store to the next.

use crate::store_connection::StoreConnection;
use crate::store_state::{lock, StoreState};
use bytes::Bytes;
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_store::protocol::{DiskStatus, RequestId, StoreReply, StoreRequest, ToStore};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// A store that rejects a call within this time has begun nothing for it, and the next store is called. One that was
/// partitioned takes longer: from here the others are as far away.
const IMMEDIATE_REJECTION: Duration = Duration::from_millis(150);
/// The status of a call that may be sent again: 503, Service Unavailable.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A store's response to a call of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreResponse {
    /// An HTTP status.
    pub status: u16,
    /// The HTTP body.
    pub body: String,
}

/// Passes calls to the stores.
pub struct StoreClient {
    identity: Arc<ProcessIdentity>,
    /// The port of all stores.
    port: u16,
    state: Arc<StoreState>,
    connections: Mutex<HashMap<Ipv4Addr, StoreConnection>>,
    next_request_id: AtomicU64,
}

impl StoreClient {
    /// A client of the stores at this port; connections are opened when they are needed.
    pub fn new(identity: Arc<ProcessIdentity>, port: u16, state: Arc<StoreState>) -> StoreClient {
        StoreClient {
            identity,
            port,
            state,
            connections: Mutex::default(),
            next_request_id: AtomicU64::new(0),
        }
    }

    /// The disk of the store on this machine, as last reported.
    pub fn local_disk(&self) -> Option<DiskStatus> {
        self.state.local_disk()
    }

    /// Calls the stores in turn until one responds; `None` if none does in time. `build_request` is given the id of
    /// the request, which differs from attempt to attempt.
    ///
    /// Calls are idempotent, so the next store is called even if a connection broke after the call was sent on it.
    pub async fn call(
        &self,
        within: Duration,
        build_request: impl Fn(RequestId) -> StoreRequest,
    ) -> Option<StoreResponse> {
        timeout(within, self.call_in_turn(build_request))
            .await
            .ok()
            .flatten()
    }

    async fn call_in_turn(
        &self,
        build_request: impl Fn(RequestId) -> StoreRequest,
    ) -> Option<StoreResponse> {
        let mut rejection = None;
        for store in self.stores_in_order() {
            let id = self.next_request_id();
            let called_at = Instant::now();
            let Some(response) = self.call_store(store, id, build_request(id)).await else {
                continue;
            };
            if response.status != SERVICE_UNAVAILABLE || called_at.elapsed() > IMMEDIATE_REJECTION {
                return Some(response);
            }
            rejection = Some(response);
        }
        rejection
    }

    /// The store on this machine first, or last among several while it could not serve the call.
    fn stores_in_order(&self) -> Vec<Ipv4Addr> {
        let local = std::iter::once(self.state.local_ip());
        let mut stores: Vec<Ipv4Addr> = local.chain(self.state.other_stores()).collect();
        if self.state.local_store_is_unusable() && stores.len() > 1 {
            stores.rotate_left(1);
        }
        stores
    }

    async fn call_store(
        &self,
        store: Ipv4Addr,
        id: RequestId,
        request: StoreRequest,
    ) -> Option<StoreResponse> {
        let connection = self.connection(store).await?;
        if connection.version < request.oldest_version() {
            log::debug!("call needs a store of a newer build: store={store}");
            return None;
        }
        match connection
            .request(id, StoreClient::encode(request)?)
            .await?
        {
            StoreReply::Response { status, body, .. } => Some(StoreResponse { status, body }),
            _ => None,
        }
    }

    /// The frames of a request; `None` if it is too long.
    pub fn encode(request: StoreRequest) -> Option<Bytes> {
        let frame = frames::encode(&ToStore::Request(request)).ok()?;
        Some(frame.into())
    }

    /// An id that no other request has.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }

    /// The open connection to a store, or a new one.
    pub async fn connection(&self, store: Ipv4Addr) -> Option<StoreConnection> {
        let open = lock(&self.connections)
            .get(&store)
            .filter(|connection| !connection.is_closed())
            .cloned();
        if open.is_some() {
            return open;
        }
        let connection = StoreConnection::open(store, self.port, self.identity.clone()).await?;
        lock(&self.connections).insert(store, connection.clone());
        Some(connection)
    }
}
