//! A stand-in for a registry.

use super::wait::within_limit;
use emberpin_config::Item;
use emberpin_membership::ids::{Incarnation, Nonce};
use emberpin_membership::instance::Instance;
use emberpin_membership::session::{ConnectionRole, FromProxy, Revision, SnapshotCursor, ToProxy};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::interval;

/// How often the registry sends its current revision, and a confirmation.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(250);
const REGISTRY_INCARNATION: Incarnation = Incarnation(1);

/// The reply to a keep-alive by a registry that is in contact with a majority. The session fills in the nonce.
pub fn confirmed(ip: Ipv4Addr, proxies: u32) -> ToProxy {
    confirmation(ip, Some(Duration::ZERO), proxies)
}

/// The reply to a keep-alive by a registry that is in contact with only a minority.
pub fn unconfirmed(ip: Ipv4Addr, proxies: u32) -> ToProxy {
    confirmation(ip, None, proxies)
}

fn confirmation(ip: Ipv4Addr, age: Option<Duration>, proxies: u32) -> ToProxy {
    ToProxy::Confirmation {
        nonce: Nonce(0),
        age,
        proxies,
        registries: vec![ip],
    }
}

/// A session whose messages are all read and written by the test.
pub struct RawSession {
    pub stream: TcpStream,
    /// The revision at which the proxy wants to resume.
    pub resume_from: Option<Revision>,
}

impl RawSession {
    pub async fn accept(listener: &TcpListener) -> RawSession {
        let (mut stream, _) = within_limit("a session", listener.accept())
            .await
            .expect("accepted");
        let (mut reader, mut writer) = stream.split();
        ProcessIdentity::new(1)
            .handshake(&mut reader, &mut writer)
            .await
            .expect("handshake");
        let role: ConnectionRole = frames::read(&mut stream).await.expect("a role");
        assert_eq!(role, ConnectionRole::Proxy);
        match frames::read(&mut stream).await.expect("a hello") {
            FromProxy::Hello { resume_from, .. } => RawSession {
                stream,
                resume_from,
            },
            other => panic!("no hello: {other:?}"),
        }
    }

    pub async fn send(&mut self, message: ToProxy) {
        frames::write(&mut self.stream, &message)
            .await
            .expect("sent");
    }

    async fn receive(&mut self) -> FromProxy {
        within_limit("a message", frames::read(&mut self.stream))
            .await
            .expect("a message")
    }

    /// The proxy's next keep-alive: the revision that it has applied, and the nonce.
    pub async fn next_keep_alive(&mut self) -> (Option<Revision>, Nonce) {
        match self.receive().await {
            FromProxy::KeepAlive { applied, nonce } => (applied, nonce),
            other => panic!("no keep-alive: {other:?}"),
        }
    }

    /// Replies to the proxy's next keep-alive with [`confirmed`] or [`unconfirmed`].
    pub async fn reply_to_keep_alive(&mut self, mut reply: ToProxy) {
        let (_, requested) = self.next_keep_alive().await;
        if let ToProxy::Confirmation { nonce, .. } = &mut reply {
            *nonce = requested;
        }
        self.send(reply).await;
    }

    /// The cursor of the proxy's next request for a part of the snapshot. Until all parts have arrived, its keep-alives
    /// must not state an applied revision.
    pub async fn next_snapshot_request(&mut self) -> SnapshotCursor {
        loop {
            match self.receive().await {
                FromProxy::FetchSnapshotPart { after } => return after,
                FromProxy::KeepAlive { applied, .. } => {
                    assert_eq!(applied, None, "the snapshot is not complete");
                }
                other @ FromProxy::Hello { .. } => panic!("a second hello: {other:?}"),
            }
        }
    }
}

/// A session that reads keep-alives and repeats the current revision in the background.
pub struct RegistrySession {
    ip: Ipv4Addr,
    revision: u64,
    messages: mpsc::UnboundedSender<ToProxy>,
    /// The number of the revision that the proxy has applied.
    applied: watch::Receiver<u64>,
}

impl RegistrySession {
    pub async fn accept(ip: Ipv4Addr, listener: &TcpListener) -> RegistrySession {
        let RawSession { stream, .. } = RawSession::accept(listener).await;
        let (mut reader, mut writer) = stream.into_split();
        let (messages, mut queued) = mpsc::unbounded_channel();
        let (applied_sender, applied) = watch::channel(0);
        let (nonce_sender, latest_nonce) = watch::channel(Nonce(0));
        tokio::spawn(async move {
            let mut keep_alives = interval(KEEP_ALIVE_PERIOD);
            let mut current = Revision {
                incarnation: REGISTRY_INCARNATION,
                number: 0,
            };
            loop {
                // The proxy would end a session in which nothing is received, so the current revision is repeated.
                let mut message = tokio::select! {
                    message = queued.recv() => match message {
                        Some(message) => message,
                        None => return,
                    },
                    _ = keep_alives.tick() => ToProxy::Changes {
                        revision: current,
                        items: vec![],
                        instances: vec![],
                    },
                };
                if let ToProxy::Snapshot { revision, .. } | ToProxy::Changes { revision, .. } =
                    &message
                {
                    current = *revision;
                }
                if let ToProxy::Confirmation { nonce, .. } = &mut message {
                    *nonce = *latest_nonce.borrow();
                }
                if frames::write(&mut writer, &message).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Ok(FromProxy::KeepAlive { applied, nonce }) = frames::read(&mut reader).await
            {
                nonce_sender.send_replace(nonce);
                if let Some(applied) = applied {
                    applied_sender.send_replace(applied.number);
                }
            }
        });
        RegistrySession {
            ip,
            revision: 0,
            messages,
            applied,
        }
    }

    pub fn send(&self, message: ToProxy) {
        _ = self.messages.send(message);
    }

    fn next_revision(&mut self) -> Revision {
        self.revision += 1;
        Revision {
            incarnation: REGISTRY_INCARNATION,
            number: self.revision,
        }
    }

    /// Sends a whole snapshot; returns once the proxy has applied it.
    pub async fn send_snapshot(&mut self, items: Vec<Item>, instances: Vec<Instance>) {
        let revision = self.next_revision();
        self.send(ToProxy::Snapshot {
            revision,
            items,
            instances,
            complete: true,
            next_part: None,
        });
        self.wait_applied().await;
    }

    /// Sends changes, and does not wait until they are in force.
    pub fn queue_changes(&mut self, items: Vec<Item>, instances: Vec<Instance>) {
        let revision = self.next_revision();
        self.send(ToProxy::Changes {
            revision,
            items,
            instances,
        });
    }

    /// Sends changes; returns once the proxy has applied them, so that they are in force for subsequent requests.
    pub async fn send_changes(&mut self, items: Vec<Item>, instances: Vec<Instance>) {
        self.queue_changes(items, instances);
        self.wait_applied().await;
    }

    /// Returns once the proxy has applied all changes sent so far.
    pub async fn wait_applied(&mut self) {
        let sent = self.revision;
        let applying = self.applied.wait_for(|applied| *applied >= sent);
        within_limit("the changes applied", applying)
            .await
            .expect("the session is established");
    }

    /// Sends confirmations periodically from now on, with this number of proxies.
    pub fn keep_confirming(&self, proxies: u32) {
        let (ip, messages) = (self.ip, self.messages.clone());
        tokio::spawn(async move {
            let mut period = interval(KEEP_ALIVE_PERIOD);
            loop {
                period.tick().await;
                if messages.send(confirmed(ip, proxies)).is_err() {
                    return;
                }
            }
        });
    }
}
