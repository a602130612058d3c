//! A stand-in for a store, which reports fixed items, voters and disk status, and answers every call at once.

use super::STORE_PORT;
use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::protocol_version::{ProtocolVersion, VersionRange};
use emberpin_store::protocol::{DiskState, DiskStatus, StoreReply, StoreRequest, ToStore};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::interval;

/// The interval at which the stand-in reports its status; a store does so at least twice a second.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);

pub fn item(kind: ItemKind, name: &str, version: u64, body: Option<&str>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version: Version(version),
        body: body.map(str::to_string),
    }
}

/// A stand-in for a store, with the state that it reports.
#[derive(Clone)]
pub struct FakeStore {
    voters: Vec<Ipv4Addr>,
    items: Vec<Item>,
    /// The age in its freshness confirmations. With `None` it confirms nothing, and responds to no call.
    confirmed_age_ms: Option<u64>,
    /// The disk status that it reports. With a full disk it rejects every call.
    disk: DiskStatus,
    /// The versions of the protocol that it speaks.
    versions: VersionRange,
}

impl FakeStore {
    /// Creates a store without items that is in contact with a majority of these voters.
    pub fn new(voters: &[Ipv4Addr]) -> FakeStore {
        FakeStore {
            voters: voters.to_vec(),
            items: Vec::new(),
            confirmed_age_ms: Some(0),
            disk: DiskStatus::default(),
            versions: VersionRange::SUPPORTED,
        }
    }

    /// Limits the protocol versions that the store speaks to `newest` and older ones.
    pub fn with_newest_version(mut self, newest: ProtocolVersion) -> FakeStore {
        self.versions = VersionRange::supported_up_to(newest).expect("a version of this build");
        self
    }

    pub fn with_items(mut self, items: Vec<Item>) -> FakeStore {
        self.items = items;
        self
    }

    pub fn with_disk(mut self, disk: DiskStatus) -> FakeStore {
        self.disk = disk;
        self
    }

    /// Partitions the store from the other stores: it confirms nothing, and never responds to calls.
    pub fn partitioned(mut self) -> FakeStore {
        self.confirmed_age_ms = None;
        self
    }

    /// Serves registries on this machine until the test ends.
    pub fn serve(self, ip: Ipv4Addr) {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("set");
        socket.bind((ip, STORE_PORT).into()).expect("bound");
        let listener = socket.listen(16).expect("listens");
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepts");
                tokio::spawn(self.clone().serve_connection(stream));
            }
        });
    }

    async fn serve_connection(self, mut stream: TcpStream) {
        let store = ProcessIdentity::new(2).with_versions(self.versions);
        if store.receive_preamble(&mut stream).await.is_err()
            || store.send_preamble(&mut stream).await.is_err()
        {
            return;
        }
        while let Ok(ToStore::Request(request)) = frames::read(&mut stream).await {
            let (id, body) = match request {
                StoreRequest::Patch { id, body } => (id, format!("patch of {} bytes", body.len())),
                StoreRequest::Get { id } => (id, "{\"svcs\":[]}".to_string()),
                StoreRequest::Evacuate { id, zone, begin } => (id, format!("{zone} {begin}")),
                StoreRequest::ChangeEvacuation {
                    id,
                    zone,
                    change,
                    precondition,
                } => (id, format!("{zone} {change:?} {precondition}")),
                StoreRequest::Subscribe => return self.serve_subscription(stream).await,
                StoreRequest::ConfirmFreshness { .. } | StoreRequest::Coordinate { .. } => continue,
            };
            if self.confirmed_age_ms.is_none() {
                continue;
            }
            let is_full = self.disk.state == DiskState::Full;
            let status = if is_full { 503 } else { 200 };
            let response = StoreReply::Response { id, status, body };
            if frames::write(&mut stream, &response).await.is_err() {
                return;
            }
        }
    }

    /// Sends all items, then its status at each interval, and a freshness confirmation for each request.
    async fn serve_subscription(self, stream: TcpStream) {
        let (mut reader, mut writer) = stream.into_split();
        let items = self.items;
        _ = frames::write(&mut writer, &StoreReply::Items { items }).await;
        let (nonces, mut requested_nonces) = unbounded_channel();
        let reads = tokio::spawn(async move {
            while let Ok(ToStore::Request(StoreRequest::ConfirmFreshness { nonce })) =
                frames::read(&mut reader).await
            {
                _ = nonces.send(nonce);
            }
        });
        let age_ms = self.confirmed_age_ms;
        let mut status_due = interval(STATUS_INTERVAL);
        loop {
            let reply = tokio::select! {
                Some(nonce) = requested_nonces.recv() => StoreReply::FreshnessConfirmed { nonce, age_ms },
                _ = status_due.tick() => StoreReply::Status {
                    up_to_date: age_ms.is_some(),
                    voters: self.voters.clone(),
                    disk: self.disk,
                    rejected_peers: 0,
                },
            };
            if frames::write(&mut writer, &reply).await.is_err() {
                return reads.abort();
            }
        }
    }
}
