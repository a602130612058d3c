//! One session with one registry: the handshake, the keep-alives that renew the lease, and the updates received.

use super::shared::SharedState;
use crate::command::{Command, SessionId};
use emberpin_membership::candidates::Confirmation;
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::Nonce;
use emberpin_membership::instance::Instance;
use emberpin_membership::lease::SessionLease;
use emberpin_membership::session::{ConnectionRole, FromProxy, Revision, ToProxy};
use emberpin_membership::timing::{CONNECT_TIMEOUT, KEEP_ALIVE_INTERVAL, LEASE_CHECK_INTERVAL};
use emberpin_runtime::frames::{self, ConnectionError};
use socket2::SockRef;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// A connection ends once bytes sent to the registry have gone unacknowledged for this long. Without this limit, the
/// loss of a registry would be noticed only when the lease expires.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a session ended, or was not established.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionError {
    #[error("no connection to the registry: {0}")]
    Connect(#[source] io::Error),
    #[error("no connection to the registry within {0:?}")]
    ConnectTimeout(Duration),
    #[error(transparent)]
    Protocol(#[from] ConnectionError),
    /// The registry is cut off from a majority of the stores and registries, or is too slow.
    #[error(
        "the lease expired: the registry has not confirmed recently that its state is current"
    )]
    LeaseExpired,
    #[error("the controller ended")]
    ControllerEnded,
}

/// A session with one registry, from the connection to its end.
pub(super) struct Session<'a> {
    shared: &'a SharedState,
    id: SessionId,
    registry: Ipv4Addr,
    lease: RefCell<SessionLease>,
    /// Notified when the registry may have a further part of the snapshot.
    fetch_snapshot_part: Notify,
}

impl Session<'_> {
    pub(super) fn new(shared: &SharedState, id: SessionId, registry: Ipv4Addr) -> Session<'_> {
        Session {
            shared,
            id,
            registry,
            lease: RefCell::new(SessionLease::new(shared.now())),
            fetch_snapshot_part: Notify::new(),
        }
    }

    /// Whether the state that the registry sent is recent enough to act on.
    pub(super) fn confirmation(&self, now: Timestamp) -> Confirmation {
        if self.lease.borrow().is_confirmed(now) {
            Confirmation::Confirmed
        } else {
            Confirmation::Unconfirmed
        }
    }

    /// Establishes the session and runs it until it ends; returns why.
    pub(super) async fn run(&self) -> SessionError {
        match self.establish_and_run().await {
            Err(error) => error,
        }
    }

    async fn establish_and_run(&self) -> Result<Infallible, SessionError> {
        let (port, name, zone) = {
            let settings = self.shared.settings.borrow();
            let (name, zone) = (settings.node_name.clone(), settings.zone.clone());
            (settings.registry_port(), name, zone)
        };
        let stream = connect((self.registry, port)).await?;
        let hello = self.hello(name, zone).await?;
        let resumed = self.complete_revision().is_some();
        self.command(Command::SessionStarted {
            session: self.id,
            resumed,
        })
        .await?;
        let (mut reader, mut writer) = stream.into_split();
        *self.lease.borrow_mut() = SessionLease::new(self.shared.now());
        tokio::select! {
            ended = self.serve(&mut reader, &mut writer, &hello) => ended,
            () = self.lease_expired() => Err(SessionError::LeaseExpired),
        }
    }

    /// Exchanges preambles, sends the hello, and exchanges messages until the connection ends.
    async fn serve(
        &self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
        hello: &FromProxy,
    ) -> Result<Infallible, SessionError> {
        let process = &self.shared.process;
        process.send_preamble(writer).await?;
        frames::write(writer, &ConnectionRole::Proxy).await?;
        let hello = frames::encode(hello)?;
        // A hello of one frame is encoded alike in each version, and is sent without waiting for the registry's
        // version.
        let waits_for_version = frames::is_split(&hello);
        if !waits_for_version {
            write_all(writer, &hello).await?;
        }
        let preamble = process.receive_preamble(reader).await?;
        if waits_for_version {
            let version = process.common_version(&preamble);
            write_all(writer, &frames::convert_for_version(&hello, version)).await?;
        }
        tokio::select! {
            Err(error) = self.send(writer) => Err(SessionError::Protocol(error)),
            ended = self.receive(reader) => ended,
        }
    }

    /// The first message of a session: this proxy's identity, the instances that it knows, and the revision at which it
    /// resumes.
    async fn hello(&self, name: String, zone: String) -> Result<FromProxy, SessionError> {
        let instances = self.known_instances().await?;
        Ok(FromProxy::Hello {
            incarnation: self.shared.incarnation,
            name,
            zone,
            resume_from: self.shared.progress.borrow().resume_from(self.registry),
            instances,
        })
    }

    async fn known_instances(&self) -> Result<Vec<Instance>, SessionError> {
        let (reply_to, reply) = oneshot::channel();
        self.command(Command::ListInstances(reply_to)).await?;
        reply.await.map_err(|_| SessionError::ControllerEnded)
    }

    async fn command(&self, command: Command) -> Result<(), SessionError> {
        self.shared
            .commands
            .send(command)
            .await
            .map_err(|_| SessionError::ControllerEnded)
    }

    /// The revision up to which this registry has sent everything.
    fn complete_revision(&self) -> Option<Revision> {
        let progress = self.shared.progress.borrow();
        progress.complete_revision(self.registry)
    }

    /// Sends a keep-alive in each period, and requests the next part of the snapshot whenever `fetch_snapshot_part` is
    /// notified.
    async fn send(&self, writer: &mut OwnedWriteHalf) -> Result<Infallible, ConnectionError> {
        let mut keep_alives = interval(KEEP_ALIVE_INTERVAL);
        keep_alives.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let request = tokio::select! {
                _ = keep_alives.tick() => self.keep_alive(),
                () = self.fetch_snapshot_part.notified() => match self.next_snapshot_request() {
                    Some(request) => request,
                    None => continue,
                },
            };
            frames::write(writer, &request).await?;
        }
    }

    fn keep_alive(&self) -> FromProxy {
        let nonce = self.lease.borrow_mut().begin_query(self.shared.now());
        let applied = self.complete_revision();
        FromProxy::KeepAlive { applied, nonce }
    }

    fn next_snapshot_request(&self) -> Option<FromProxy> {
        let progress = self.shared.progress.borrow();
        let after = progress.snapshot_cursor(self.registry)?;
        Some(FromProxy::FetchSnapshotPart { after })
    }

    /// Returns once the lease has expired, when the state that the registry sent is too old to act on.
    async fn lease_expired(&self) {
        while !self.lease.borrow().is_expired(self.shared.now()) {
            sleep(LEASE_CHECK_INTERVAL).await;
        }
    }

    /// Receives messages and passes them on to the controller, until the connection ends.
    async fn receive(&self, reader: &mut OwnedReadHalf) -> Result<Infallible, SessionError> {
        let mut is_first_update = true;
        loop {
            match self.read_message(reader).await? {
                ToProxy::Confirmation {
                    nonce,
                    age,
                    proxies,
                    registries,
                } => {
                    let confirmation = self.renew_lease(nonce, age, registries);
                    if confirmation == Confirmation::Confirmed {
                        let session = self.id;
                        self.command(Command::SessionConfirmed { session, proxies })
                            .await?;
                    }
                }
                update => {
                    self.on_update(&update, is_first_update);
                    is_first_update = false;
                    let (session, message) = (self.id, update);
                    self.command(Command::RegistryUpdate { session, message })
                        .await?;
                }
            }
        }
    }

    /// Records the progress that an update makes, and has the next part of the snapshot fetched.
    fn on_update(&self, update: &ToProxy, is_first: bool) {
        let mut progress = self.shared.progress.borrow_mut();
        progress.advance(self.registry, update);
        let is_snapshot = !matches!(update, ToProxy::Changes { .. });
        // After the first changes of a resumed session, a snapshot that an earlier session began may still be
        // incomplete.
        if is_snapshot || is_first {
            let now = self.shared.now();
            self.lease.borrow_mut().on_snapshot_progress(now);
            self.fetch_snapshot_part.notify_one();
        }
    }

    async fn read_message(&self, reader: &mut OwnedReadHalf) -> Result<ToProxy, ConnectionError> {
        let message = frames::read::<ToProxy>(reader).await;
        if let Err(ConnectionError::Malformed(error)) = &message {
            let registry = self.registry;
            log::warn!("registry sent an unreadable message: registry={registry} error={error}");
        }
        message
    }

    /// Handles the reply to a keep-alive. Returns whether it confirms that the state that the registry sent is recent.
    fn renew_lease(
        &self,
        nonce: Nonce,
        age: Option<Duration>,
        registries: Vec<Ipv4Addr>,
    ) -> Confirmation {
        self.lease.borrow_mut().on_answer(nonce, age);
        let confirmation = match age {
            Some(_) => self.confirmation(self.shared.now()),
            None => Confirmation::Unconfirmed,
        };
        self.shared
            .candidates
            .borrow_mut()
            .on_registries_named(registries, confirmation);
        confirmation
    }
}

async fn write_all(writer: &mut OwnedWriteHalf, bytes: &[u8]) -> Result<(), ConnectionError> {
    Ok(writer.write_all(bytes).await?)
}

async fn connect(registry: (Ipv4Addr, u16)) -> Result<TcpStream, SessionError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(registry))
        .await
        .map_err(|_| SessionError::ConnectTimeout(CONNECT_TIMEOUT))?
        .map_err(SessionError::Connect)?;
    _ = stream.set_nodelay(true);
    _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    Ok(stream)
}
