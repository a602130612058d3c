//! One session with one registry: the handshake, keep-alives with the lease that they renew, and the updates received.

use super::{confirmation, RegistrySessions};
use crate::command::{Command, SessionId};
use emberpin_membership::ids::Nonce;
use emberpin_membership::instance::Instance;
use emberpin_membership::lease::SessionLease;
use emberpin_membership::session::{ConnectionRole, FromProxy, ToProxy};
use emberpin_membership::timing::{CONNECT_TIMEOUT, KEEP_ALIVE_INTERVAL, LEASE_CHECK_INTERVAL};
use emberpin_runtime::frames::{self, ConnectionError};
use socket2::SockRef;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// A connection ends once bytes sent to the registry have gone unacknowledged for this long. Without it, a registry that
/// vanished would be noticed only when the lease expires.
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
    /// The registry is in a minority of the core, or too slow.
    #[error(
        "the lease expired: the registry has not confirmed recently that its state is current"
    )]
    LeaseExpired,
    #[error("the controller ended")]
    ControllerEnded,
}

impl RegistrySessions {
    /// Establishes a session and runs it until it ends; returns why.
    pub(super) async fn session(
        &self,
        session: SessionId,
        registry: Ipv4Addr,
        lease: &RefCell<SessionLease>,
    ) -> SessionError {
        match self.establish_and_run(session, registry, lease).await {
            Err(error) => error,
        }
    }

    async fn establish_and_run(
        &self,
        session: SessionId,
        registry: Ipv4Addr,
        lease: &RefCell<SessionLease>,
    ) -> Result<Infallible, SessionError> {
        let (port, name, zone) = {
            let settings = self.settings.borrow();
            let (name, zone) = (settings.node_name.clone(), settings.zone.clone());
            (settings.registry_port(), name, zone)
        };
        let stream = connect((registry, port)).await?;
        let hello = self.hello(registry, name, zone).await?;
        let resumed = self.progress.borrow().complete_revision(registry).is_some();
        self.command(Command::SessionStarted { session, resumed })
            .await?;
        let (mut reader, mut writer) = stream.into_split();
        let next_part_wanted = Notify::new();
        *lease.borrow_mut() = SessionLease::new(self.now());
        let sending = async {
            self.process.send_preamble(&mut writer).await?;
            frames::write(&mut writer, &ConnectionRole::Proxy).await?;
            frames::write(&mut writer, &hello).await?;
            self.send_requests(&mut writer, registry, lease, &next_part_wanted)
                .await
        };
        tokio::select! {
            Err(error) = sending => Err(SessionError::Protocol(error)),
            ended = self.receive(session, registry, &mut reader, lease, &next_part_wanted) => ended,
            () = self.lease_expired(lease) => Err(SessionError::LeaseExpired),
        }
    }

    /// The first message of a session: who this proxy is, what it knows, and where it resumes.
    async fn hello(
        &self,
        registry: Ipv4Addr,
        name: String,
        zone: String,
    ) -> Result<FromProxy, SessionError> {
        let instances = self.known_instances().await?;
        Ok(FromProxy::Hello {
            incarnation: self.incarnation,
            name,
            zone,
            resume_from: self.progress.borrow().resume_from(registry),
            instances,
        })
    }

    async fn known_instances(&self) -> Result<Vec<Instance>, SessionError> {
        let (reply_to, reply) = oneshot::channel();
        self.command(Command::ListInstances(reply_to)).await?;
        reply.await.map_err(|_| SessionError::ControllerEnded)
    }

    async fn command(&self, command: Command) -> Result<(), SessionError> {
        self.commands
            .send(command)
            .await
            .map_err(|_| SessionError::ControllerEnded)
    }

    /// Sends a keep-alive in each period, and asks for the next part of the snapshot whenever `next_part_wanted` is notified.
    async fn send_requests(
        &self,
        writer: &mut OwnedWriteHalf,
        registry: Ipv4Addr,
        lease: &RefCell<SessionLease>,
        next_part_wanted: &Notify,
    ) -> Result<Infallible, ConnectionError> {
        let mut keep_alives = interval(KEEP_ALIVE_INTERVAL);
        keep_alives.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let request = tokio::select! {
                _ = keep_alives.tick() => {
                    let nonce = lease.borrow_mut().begin_query(self.now());
                    let applied = self.progress.borrow().complete_revision(registry);
                    FromProxy::KeepAlive { applied, nonce }
                }
                () = next_part_wanted.notified() => {
                    let cursor = self.progress.borrow().snapshot_cursor(registry);
                    match cursor {
                        Some(after) => FromProxy::FetchSnapshotPart { after },
                        None => continue,
                    }
                }
            };
            frames::write(writer, &request).await?;
        }
    }

    /// Returns once what the registry sent is too old to act on.
    async fn lease_expired(&self, lease: &RefCell<SessionLease>) {
        while !lease.borrow().is_expired(self.now()) {
            sleep(LEASE_CHECK_INTERVAL).await;
        }
    }

    /// Receives messages and passes them on to the controller, until the connection ends.
    async fn receive(
        &self,
        session: SessionId,
        registry: Ipv4Addr,
        reader: &mut OwnedReadHalf,
        lease: &RefCell<SessionLease>,
        next_part_wanted: &Notify,
    ) -> Result<Infallible, SessionError> {
        self.process.receive_preamble(reader).await?;
        let mut first_update = true;
        loop {
            let message = self.read_message(registry, reader).await?;
            if let ToProxy::Confirmation {
                nonce,
                age,
                proxies,
                registries,
            } = message
            {
                if self.renew_lease(lease, nonce, age, registries) {
                    self.command(Command::SessionConfirmed { session, proxies })
                        .await?;
                }
                continue;
            }
            self.progress.borrow_mut().advance(registry, &message);
            let is_snapshot = !matches!(message, ToProxy::Changes { .. });
            // The first changes of a resumed session may leave a snapshot that an earlier session did not finish.
            if is_snapshot || std::mem::take(&mut first_update) {
                lease.borrow_mut().on_snapshot_progress(self.now());
                next_part_wanted.notify_one();
            }
            first_update = false;
            self.command(Command::RegistryUpdate { session, message })
                .await?;
        }
    }

    async fn read_message(
        &self,
        registry: Ipv4Addr,
        reader: &mut OwnedReadHalf,
    ) -> Result<ToProxy, ConnectionError> {
        let message = frames::read::<ToProxy>(reader).await;
        if let Err(ConnectionError::Malformed(error)) = &message {
            log::warn!("registry sent an unreadable message: registry={registry} error={error}");
        }
        message
    }

    /// Takes the answer to a keep-alive. Returns whether it confirms that what the registry sent is recent.
    fn renew_lease(
        &self,
        lease: &RefCell<SessionLease>,
        nonce: Nonce,
        age: Option<Duration>,
        registries: Vec<Ipv4Addr>,
    ) -> bool {
        lease.borrow_mut().on_answer(nonce, age);
        let confirmed = age.is_some() && lease.borrow().is_confirmed(self.now());
        self.candidates
            .borrow_mut()
            .on_registries_named(registries, confirmation(confirmed));
        confirmed
    }
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
