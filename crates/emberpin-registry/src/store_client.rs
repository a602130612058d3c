//! The client of the stores: forwards the calls of operators, with failover from one store to the next, and provides
//! connections for the operations of applications.

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

/// A store that rejects a call within this time has not begun to carry it out, and the call is sent to the next store.
/// A store that is cut off from the others takes longer. Its rejection is returned, as the other stores are no easier
/// to reach from this machine.
const IMMEDIATE_REJECTION: Duration = Duration::from_millis(150);
/// The status of a response to a call that may be repeated: 503, Service Unavailable.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A store's response to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreResponse {
    /// The HTTP status.
    pub status: u16,
    /// The HTTP body.
    pub body: String,
}

/// Sends requests to the stores.
pub struct StoreClient {
    identity: Arc<ProcessIdentity>,
    /// The port at which all stores accept registries.
    port: u16,
    state: Arc<StoreState>,
    connections: Mutex<HashMap<Ipv4Addr, StoreConnection>>,
    next_request_id: AtomicU64,
}

impl StoreClient {
    /// Creates a client of the stores at this port. Connections are opened when they are needed.
    pub fn new(identity: Arc<ProcessIdentity>, port: u16, state: Arc<StoreState>) -> StoreClient {
        StoreClient {
            identity,
            port,
            state,
            connections: Mutex::default(),
            next_request_id: AtomicU64::new(0),
        }
    }

    /// The last reported disk status of the store on this machine.
    pub fn local_disk(&self) -> Option<DiskStatus> {
        self.state.local_disk()
    }

    /// Sends a call to the stores in turn until one responds with anything but an immediate rejection. Returns `None`
    /// if no store responds within `time_limit`, and the last rejection if all that responded rejected the call.
    /// `build_request` receives the id of the request, a new one for each attempt.
    ///
    /// Calls are idempotent, so the next store is called even if the connection broke after the call was sent on it.
    pub async fn call(
        &self,
        time_limit: Duration,
        build_request: impl Fn(RequestId) -> StoreRequest,
    ) -> Option<StoreResponse> {
        timeout(time_limit, self.call_in_turn(build_request))
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

    /// All known stores: the one on this machine first, or last while it cannot serve calls.
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
            log::debug!(
                "call requires a newer protocol version than the store speaks: store={store}"
            );
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

    /// Encodes a request as frames; `None` if it is too long.
    pub fn encode(request: StoreRequest) -> Option<Bytes> {
        let frame = frames::encode(&ToStore::Request(request)).ok()?;
        Some(frame.into())
    }

    /// Returns an id that no other request of this client has.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the open connection to a store, or opens one; `None` if the store cannot be reached in time.
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
