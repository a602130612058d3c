//! The event loop around a replica: it passes events to the replica, and carries out the actions that come back.
//!
//! What is decided, and when, is up to [`Replica`]. The host has the clock, the sockets and the disk.

use crate::disk::queue::DiskQueue;
use crate::disk::worker::{DiskEvent, UsageMeasurement};
use crate::disk::{Disk, DiskError};
use crate::disk_monitor::{rejection_reason, DiskMonitor, DISK_FULL_REASON, DISK_STALLED_REASON};
use crate::input::{ConnectionId, Input};
use crate::listener::listen;
use crate::peer_links::PeerLinks;
use crate::protocol::{DiskState, StoreReply, StoreRequest, ToStore};
use crate::registry_sessions::RegistrySessions;
use crate::signals::{Signal, Signals};
use crate::system_id::{self, SystemRecord};
use emberpin_consensus::{
    Action, Call, EvacuationChange, Event, Message, Replica, ReplicaOptions, Timestamp,
};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::settings::Settings;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};
use std::num::NonZeroU64;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Inputs that may wait for the event loop. Connections wait for room.
const INPUT_QUEUE_LENGTH: usize = 256;
/// Most inputs that are handled before their actions are carried out, so that they share a sync.
const MAX_EVENTS_PER_SYNC: usize = 32;
/// Longest time between two statuses to subscribers.
const STATUS_INTERVAL: Duration = Duration::from_millis(450);
/// Links to other stores that are unused for this long are closed.
const LINK_IDLE_INTERVAL: Duration = Duration::from_secs(10);
/// Longest wait for the first sync before the store listens.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the last sync at the end. No message depends on it: each was sent after its own sync.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait to be taken off the roster after SIGTERM.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(700);
/// Shortest sleep of the event loop: the timers have a resolution of a millisecond.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// Why the store could not start, or had to end.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk cannot be used, or was found damaged when it was reopened.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The settings name no data folder.
    #[error("self.datadir: is missing; a store needs a disk")]
    MissingDataDir,
    /// The store's address is taken or not one of this machine.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// What the operating system reported.
        source: io::Error,
    },
    /// A signal handler could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The disk's thread could not be started.
    #[error("cannot start the disk's thread: {0}")]
    StartDiskWorker(#[source] io::Error),
    /// The disk's thread ended by itself.
    #[error("the disk's thread ended")]
    DiskWorkerEnded,
    /// The operating system has no random bytes.
    #[error("cannot draw a random seed: {0}")]
    Random(#[source] getrandom::Error),
}

/// Runs a store until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`StoreError`]: the store could not start, or its disk was found damaged.
pub async fn run(settings: &Settings) -> Result<(), StoreError> {
    let signals = Signals::install().map_err(StoreError::Signals)?;
    let data_dir = settings
        .data_dir
        .clone()
        .ok_or(StoreError::MissingDataDir)?;
    let (disk, kept) = Disk::open(&data_dir, settings.ip)?;
    let listener = bind(SocketAddrV4::new(settings.ip, settings.store_port())).await?;
    let seed = draw_seed()?;
    let identity = Arc::new(ProcessIdentity::new(seed));
    let options = replica_options(settings, seed);
    let seeds = options.seeds.clone();
    let mut actions = Vec::new();
    let replica = Replica::new(Timestamp::ZERO, options, kept, &mut actions);
    let system = SystemRecord::load(data_dir.clone(), identity.clone());
    let measurement = match settings.disk_mib {
        0 => UsageMeasurement::Off,
        _ => UsageMeasurement::Periodic,
    };
    let (disk, mut disk_events) = DiskQueue::start(disk, data_dir, settings.ip, measurement)
        .map_err(StoreError::StartDiskWorker)?;
    let mut host = Host::new(
        settings,
        replica,
        DiskMonitor::new(disk, settings.disk_mib << 20),
        PeerLinks::new(settings.store_port(), identity.clone(), seeds),
        identity.clone(),
        system,
    );
    host.apply_actions(actions);
    host.wait_for_first_sync(&mut disk_events).await?;
    let (inputs, queued_inputs) = mpsc::channel(INPUT_QUEUE_LENGTH);
    tokio::spawn(listen(listener, identity, inputs));
    let mut sources = EventSources {
        signals,
        disk_events,
        inputs: queued_inputs,
    };
    host.run_event_loop(&mut sources).await?;
    host.close_disk(&mut sources.disk_events).await;
    Ok(())
}

async fn bind(address: SocketAddrV4) -> Result<TcpListener, StoreError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StoreError::Listen { address, source })
}

fn draw_seed() -> Result<u64, StoreError> {
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(StoreError::Random)?;
    Ok(u64::from_be_bytes(seed))
}

fn replica_options(settings: &Settings, seed: u64) -> ReplicaOptions {
    let seeds = settings.seeds.iter().filter_map(|seed| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    ReplicaOptions {
        address: settings.ip,
        seeds: seeds.collect(),
        bootstrap: settings.bootstrap,
        tolerated_failures: settings.tolerated_node_losses,
        random_seed: seed,
    }
}

/// Where events come from.
struct EventSources {
    signals: Signals,
    disk_events: mpsc::Receiver<DiskEvent>,
    inputs: mpsc::Receiver<Input>,
}

/// What wakes the event loop.
enum LoopEvent {
    Signal(Signal),
    /// `None` if the disk's thread ended by itself.
    Disk(Option<DiskEvent>),
    /// `None` if the listener ended.
    Input(Option<Input>),
    /// Something is due.
    Timer,
}

impl EventSources {
    /// Waits for an event, at most for a time. Signals and the disk come before inputs.
    async fn next(&mut self, sleep: Duration) -> LoopEvent {
        tokio::select! {
            biased;
            signal = self.signals.next() => LoopEvent::Signal(signal),
            event = self.disk_events.recv() => LoopEvent::Disk(event),
            input = self.inputs.recv() => LoopEvent::Input(input),
            () = tokio::time::sleep(sleep) => LoopEvent::Timer,
        }
    }
}

/// Health of the store, as subscribers know it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Health {
    up_to_date: bool,
    voters: Vec<Ipv4Addr>,
    disk: DiskState,
}

/// The replica with everything around it.
struct Host<'a> {
    settings: &'a Settings,
    /// The origin of the replica's clock.
    started_at: Instant,
    replica: Replica,
    disk: DiskMonitor,
    peers: PeerLinks,
    registries: RegistrySessions,
    identity: Arc<ProcessIdentity>,
    system: SystemRecord,
    /// What subscribers were told last.
    health: Health,
    next_status_at: Instant,
    next_link_check_at: Instant,
    /// When the store ends even if it is still on the roster; `None` before SIGTERM.
    leave_deadline: Option<Instant>,
}

impl Host<'_> {
    fn new<'a>(
        settings: &'a Settings,
        replica: Replica,
        disk: DiskMonitor,
        peers: PeerLinks,
        identity: Arc<ProcessIdentity>,
        system: SystemRecord,
    ) -> Host<'a> {
        let started_at = Instant::now();
        Host {
            settings,
            started_at,
            replica,
            disk,
            peers,
            registries: RegistrySessions::default(),
            identity,
            system,
            health: Health::default(),
            next_status_at: started_at,
            next_link_check_at: started_at + LINK_IDLE_INTERVAL,
            leave_deadline: None,
        }
    }

    /// The time of the replica's clock.
    fn replica_now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    async fn run_event_loop(&mut self, sources: &mut EventSources) -> Result<(), StoreError> {
        loop {
            let event = sources.next(self.time_until_due()).await;
            if self.handle_event(event, &mut sources.inputs)?.is_break() || self.has_left() {
                return Ok(());
            }
            self.publish_status();
        }
    }

    /// How long the event loop may sleep.
    fn time_until_due(&self) -> Duration {
        let replica_due = Duration::from_millis(self.replica.next_tick_at().as_millis());
        let replica = replica_due.saturating_sub(self.started_at.elapsed());
        let now = Instant::now();
        let status = self.next_status_at.saturating_duration_since(now);
        let leave = self
            .leave_deadline
            .map_or(Duration::MAX, |at| at.saturating_duration_since(now));
        replica.min(status).min(leave).max(MIN_SLEEP)
    }

    /// Whether the store was told to end and has nothing left to wait for.
    fn has_left(&self) -> bool {
        self.leave_deadline
            .is_some_and(|at| self.replica.has_left() || Instant::now() >= at)
    }

    fn handle_event(
        &mut self,
        event: LoopEvent,
        inputs: &mut mpsc::Receiver<Input>,
    ) -> Result<ControlFlow<()>, StoreError> {
        match event {
            LoopEvent::Signal(Signal::Terminate) => return Ok(self.on_terminate()),
            LoopEvent::Signal(Signal::Interrupt) | LoopEvent::Input(None) => {
                return Ok(ControlFlow::Break(()));
            }
            // No setting of a store changes while it runs.
            LoopEvent::Signal(Signal::Hangup) => {}
            LoopEvent::Disk(Some(event)) => self.handle_disk_event(event)?,
            LoopEvent::Disk(None) => return Err(StoreError::DiskWorkerEnded),
            LoopEvent::Input(Some(first)) => self.handle_inputs(first, inputs),
            LoopEvent::Timer => self.handle_in_replica(Event::Tick),
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Asks to be taken off the roster. A second SIGTERM ends the store at once.
    fn on_terminate(&mut self) -> ControlFlow<()> {
        if self.leave_deadline.is_some() {
            return ControlFlow::Break(());
        }
        self.leave_deadline = Some(Instant::now() + LEAVE_TIMEOUT);
        self.handle_in_replica(Event::Leave);
        ControlFlow::Continue(())
    }

    /// Handles an input and those that wait behind it, and then carries out the actions of all.
    fn handle_inputs(&mut self, first: Input, inputs: &mut mpsc::Receiver<Input>) {
        let mut actions = Vec::new();
        self.handle_input(first, &mut actions);
        for _ in 1..MAX_EVENTS_PER_SYNC {
            let Ok(input) = inputs.try_recv() else { break };
            self.handle_input(input, &mut actions);
        }
        self.apply_actions(actions);
    }

    fn handle_input(&mut self, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::PeerMessage { from, message } => {
                let event = Event::Message { from, message };
                self.replica.handle(self.replica_now(), event, actions);
            }
            Input::Request {
                connection,
                peer,
                request,
                replies,
            } => {
                self.registries.open(connection, peer, replies);
                self.handle_request(connection, request, actions);
            }
            Input::Closed { connection } => self.registries.close(connection),
        }
    }

    fn handle_request(
        &mut self,
        connection: ConnectionId,
        request: StoreRequest,
        actions: &mut Vec<Action>,
    ) {
        let (request_id, call) = match request {
            StoreRequest::Patch { id, body } => (id, Call::Patch(body)),
            StoreRequest::Get { id } => (id, Call::Get),
            StoreRequest::Evacuate { id, zone, begin } => {
                let change = match begin {
                    true => EvacuationChange::Begin,
                    false => EvacuationChange::End,
                };
                (id, Call::Evacuate { zone, change })
            }
            StoreRequest::Subscribe => return self.subscribe(connection),
            StoreRequest::ConfirmFreshness { nonce } => {
                let age = self.replica.confirmed_age(self.replica_now());
                return self.registries.defer_confirmation(connection, nonce, age);
            }
        };
        if let Some((status, reason)) = self.rejection(&call) {
            return self
                .registries
                .respond(connection, request_id, status, reason);
        }
        let call_id = self.registries.add_call(connection, request_id);
        self.replica
            .handle(self.replica_now(), Event::Call { call_id, call }, actions);
    }

    /// Sends the whole configuration and the status, and all changes from now on.
    fn subscribe(&mut self, connection: ConnectionId) {
        let items = self.replica.state().follower_items().cloned().collect();
        self.registries.subscribe(connection);
        self.registries
            .send(connection, &StoreReply::Items { items });
        let status = self.status_reply();
        self.registries.send(connection, &status);
    }

    /// The status and reason with which a call is rejected before the replica sees it.
    fn rejection(&mut self, call: &Call) -> Option<(u16, String)> {
        match call {
            Call::Evacuate { zone, .. } if !self.settings.zone_regions.contains_key(zone) => {
                return Some((404, format!("zone {zone:?}: is not known")));
            }
            Call::Get => return None,
            Call::Patch(_) | Call::Evacuate { .. } => {}
        }
        rejection_reason(self.disk_state()).map(|reason| (503, reason.into()))
    }

    /// Passes an event to the replica and carries out its actions.
    fn handle_in_replica(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.replica_now(), event, &mut actions);
        self.apply_actions(actions);
    }

    /// Sends messages and answers, and submits all writes as one batch.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        let (mut writes, mut sync_token) = (Vec::new(), None);
        for action in actions {
            match action {
                Action::Persist { token, write } => {
                    sync_token = write.sync.then_some(token).or(sync_token);
                    writes.push(write);
                }
                Action::Send { to, message } => self.send_to_peer(to, message),
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => {
                    self.registries.complete_call(call_id, status, body);
                }
                Action::Learned { items } => self.registries.publish(&StoreReply::Items { items }),
            }
        }
        if !writes.is_empty() && self.disk.submit(writes, sync_token).is_err() {
            self.handle_in_replica(Event::DiskFailed {
                reason: DISK_STALLED_REASON.into(),
            });
        }
    }

    fn send_to_peer(&mut self, peer: Ipv4Addr, message: Message) {
        let frame = frames::encode(&ToStore::Consensus {
            from: self.settings.ip,
            message,
        });
        match frame {
            Ok(frame) => self.peers.send(peer, Arc::new(frame)),
            Err(error) => {
                log::warn!("message to another store cannot be encoded: peer={peer} error={error}");
            }
        }
    }

    fn handle_disk_event(&mut self, event: DiskEvent) -> Result<(), DiskError> {
        match event {
            DiskEvent::Synced { token } => self.handle_in_replica(Event::Persisted { token }),
            DiskEvent::Failed(error) => {
                log::error!(
                    "disk failed, votes and changes are rejected until it is restored: error={error}"
                );
                self.disk.on_failed();
                self.handle_in_replica(Event::DiskFailed {
                    reason: DISK_FULL_REASON.into(),
                });
            }
            DiskEvent::Reopened => {
                self.disk.on_reopened();
                self.handle_in_replica(Event::DiskRestored);
            }
            DiskEvent::Damaged(error) => return Err(error),
            DiskEvent::Closed => {}
        }
        Ok(())
    }

    /// Waits until what a first start writes is synced, so that nobody hears of this store before that. A disk that
    /// stalls is not waited for.
    async fn wait_for_first_sync(
        &mut self,
        disk_events: &mut mpsc::Receiver<DiskEvent>,
    ) -> Result<(), DiskError> {
        while !self.disk.queue.is_idle() {
            match tokio::time::timeout(FIRST_SYNC_TIMEOUT, disk_events.recv()).await {
                Ok(Some(event)) => self.handle_disk_event(event)?,
                _ => break,
            }
        }
        Ok(())
    }

    /// Waits for the last sync, up to [`CLOSE_TIMEOUT`].
    async fn close_disk(&self, disk_events: &mut mpsc::Receiver<DiskEvent>) {
        if self.disk.queue.close().is_err() {
            return;
        }
        let closed =
            async { while !matches!(disk_events.recv().await, Some(DiskEvent::Closed) | None) {} };
        if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
            log::warn!("store ended before its last sync: timeout={CLOSE_TIMEOUT:?}");
        }
    }

    /// Sends what is due after the actions of an event: confirmations, and the status if it changed or is due.
    fn publish_status(&mut self) {
        if self.disk.take_drained_overflow() {
            self.handle_in_replica(Event::DiskRestored);
        }
        self.registries.send_confirmations();
        self.update_system();
        let health = self.current_health();
        let now = Instant::now();
        if now >= self.next_status_at || health != self.health {
            self.next_status_at = now + STATUS_INTERVAL;
            self.replace_health(health);
            let status = self.status_reply();
            self.registries.publish(&status);
        }
        if now >= self.next_link_check_at {
            self.next_link_check_at = now + LINK_IDLE_INTERVAL;
            self.peers.close_idle();
        }
    }

    fn current_health(&mut self) -> Health {
        Health {
            up_to_date: self.replica.is_up_to_date(self.replica_now()),
            voters: self.replica.voters(),
            disk: self.disk_state(),
        }
    }

    fn replace_health(&mut self, health: Health) {
        if health.disk != self.health.disk {
            log::warn!(
                "disk state changed: state={:?} previous={:?}",
                health.disk.as_str(),
                self.health.disk.as_str()
            );
        }
        self.health = health;
    }

    fn disk_state(&mut self) -> DiskState {
        let replica_rejects = self.replica.disk_unavailable_reason().is_some();
        self.disk.state(replica_rejects)
    }

    fn status_reply(&self) -> StoreReply {
        let Health {
            up_to_date,
            voters,
            disk,
        } = self.health.clone();
        StoreReply::Status {
            up_to_date,
            voters,
            disk: self.disk.status(disk),
            rejected_peers: self.identity.rejected_peers(),
        }
    }

    /// Records the system that this store belongs to, once it is known.
    fn update_system(&mut self) {
        let (replica, up_to_date) = (&self.replica, self.health.up_to_date);
        self.system.update(|| {
            if !up_to_date {
                return None;
            }
            founded_system(replica)
        });
    }
}

/// The system that the voters founded, if theirs is the first roster.
fn founded_system(replica: &Replica) -> Option<NonZeroU64> {
    let roster = replica.state().roster()?;
    system_id::founded_by(roster.version, &replica.voters())
}
