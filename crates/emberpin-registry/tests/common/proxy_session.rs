//! A stand-in for a proxy: one session with a registry.

use super::{connect, REGISTRY_PORT, TEST_TIMEOUT};
use emberpin_config::Item;
use emberpin_membership::ids::{Incarnation, Nonce};
use emberpin_membership::instance::Instance;
use emberpin_membership::session::{ConnectionRole, FromProxy, SnapshotCursor, ToProxy};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::{interval, timeout};

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(300);
/// The interval between the reads of a slow reader.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(100);
/// The number of bytes in each read of a slow reader.
const SLOW_READ_BYTES: usize = 64 << 10;

/// A session that sends keep-alives until its connection closes.
pub struct ProxySession {
    reader: OwnedReadHalf,
    /// Cursors for the keep-alive task, which requests the snapshot part after each of them.
    cursors: UnboundedSender<SnapshotCursor>,
    keep_alives: JoinHandle<()>,
}

impl ProxySession {
    pub async fn open(ip: Ipv4Addr) -> ProxySession {
        let (mut reader, mut writer) = connect(ip, REGISTRY_PORT).await.into_split();
        let proxy = ProcessIdentity::new(1);
        proxy.send_preamble(&mut writer).await.expect("sent");
        proxy.receive_preamble(&mut reader).await.expect("received");
        frames::write(&mut writer, &ConnectionRole::Proxy)
            .await
            .expect("sent");
        let hello = FromProxy::Hello {
            incarnation: Incarnation(1),
            name: "edge-1".into(),
            zone: "north".into(),
            resume_from: None,
            instances: vec![],
        };
        frames::write(&mut writer, &hello).await.expect("sent");
        let (cursors, requested_cursors) = unbounded_channel();
        ProxySession {
            reader,
            cursors,
            keep_alives: tokio::spawn(send_keep_alives(writer, requested_cursors)),
        }
    }

    /// Receives the parts of a snapshot and the changes after it until there are `count` items. Returns the number of
    /// parts.
    pub async fn fetch_items(&mut self, count: usize) -> usize {
        let (mut parts, mut keys, cursors) = (0, BTreeSet::new(), self.cursors.clone());
        self.wait_for(|message| {
            let (items, next_part) = match message {
                ToProxy::Snapshot {
                    items, next_part, ..
                }
                | ToProxy::SnapshotPart {
                    items, next_part, ..
                } => {
                    parts += 1;
                    (items, next_part.clone())
                }
                ToProxy::Changes { items, .. } => (items, None),
                ToProxy::Confirmation { .. } => return None,
            };
            keys.extend(items.iter().map(|item| item.key.clone()));
            if let Some(after) = next_part {
                _ = cursors.send(after);
            }
            (keys.len() == count).then_some(())
        })
        .await;
        parts
    }

    /// Reads slowly until the connection closes.
    pub async fn read_slowly(mut self) {
        let mut read_due = interval(SLOW_READ_INTERVAL);
        let mut bytes = vec![0; SLOW_READ_BYTES];
        while self.reader.read_exact(&mut bytes).await.is_ok() {
            read_due.tick().await;
        }
        self.keep_alives.abort();
    }

    /// Reads messages until `find` returns `Some` for one, and returns its value.
    pub async fn wait_for<T>(&mut self, mut find: impl FnMut(&ToProxy) -> Option<T>) -> T {
        let reading = async {
            loop {
                let message: ToProxy = frames::read(&mut self.reader).await.expect("a message");
                if let Some(found) = find(&message) {
                    return found;
                }
            }
        };
        timeout(TEST_TIMEOUT, reading).await.expect("in time")
    }

    /// Reads one message of any kind.
    pub async fn wait_for_message(&mut self) {
        self.wait_for(|_| Some(())).await;
    }

    /// Reads messages until the registry confirms that its data are recent.
    pub async fn wait_until_confirmed(&mut self) {
        let confirmed = |message: &ToProxy| {
            matches!(message, ToProxy::Confirmation { age: Some(_), .. }).then_some(())
        };
        self.wait_for(confirmed).await;
    }
}

/// The first item of a snapshot or of changes; `None` for other messages, or if there is no item.
pub fn first_item(message: &ToProxy) -> Option<Item> {
    match message {
        ToProxy::Snapshot { items, .. } | ToProxy::Changes { items, .. } => items.first().cloned(),
        ToProxy::SnapshotPart { .. } | ToProxy::Confirmation { .. } => None,
    }
}

/// The first instance of changes; `None` for other messages, or if there is no instance.
pub fn first_changed_instance(message: &ToProxy) -> Option<Instance> {
    match message {
        ToProxy::Changes { instances, .. } => instances.first().cloned(),
        _ => None,
    }
}

/// Sends keep-alives, and requests for snapshot parts, until the connection closes.
async fn send_keep_alives(
    mut writer: OwnedWriteHalf,
    mut cursors: UnboundedReceiver<SnapshotCursor>,
) {
    let mut keep_alive_due = interval(KEEP_ALIVE_INTERVAL);
    for nonce in 1.. {
        let message = tokio::select! {
            Some(after) = cursors.recv() => FromProxy::FetchSnapshotPart { after },
            _ = keep_alive_due.tick() => FromProxy::KeepAlive { applied: None, nonce: Nonce(nonce) },
        };
        if frames::write(&mut writer, &message).await.is_err() {
            return;
        }
    }
}
