//! The loop around a replica: events in, actions out.

use crate::connections::{call, listen, Counts, Links, Outbox, Registry};
use crate::disk::queue::DiskQueue;
use crate::disk::worker::{DiskEvent, UsageMeasurement};
use crate::disk::{Disk, DiskError};
use crate::protocol::{DiskState, DiskStatus, StoreReply, StoreRequest, ToStore};
use crate::system_id;
use emberpin_consensus::{
    Action, Call, CallId, Event, Message, Replica, ReplicaOptions, Timestamp, WriteToken,
};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::settings::Settings;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};
use std::num::NonZeroU64;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

/// Events that wait for the loop.
const WAITING: usize = 256;
/// So many are taken at once, so that they share a sync.
const AT_ONCE: usize = 32;
/// How often followers are told how the store stands.
const STATUS: u64 = 450;
/// How often links that nobody uses are ended.
const PRUNE: u64 = 10_000;
/// Of a hundred parts of the disk, so many may be taken before changes are refused: what others have chosen
/// and what is tidied still needs room.
const FULL: u64 = 80;
/// What callers are told of a disk that a write failed on, and of one that does not answer.
const DISK_FULL: &str = "the disk is full";
const DISK_STALLED: &str = "the disk does not answer";
/// How long a store that starts for the first time waits for its first sync before it listens.
const FIRST_SYNC: Duration = Duration::from_secs(1);
/// How long a store that ends waits for its last sync; nothing was said that depends on it.
const CLOSE: Duration = Duration::from_millis(500);
/// How long a store that is told to end waits to be off the roster.
const LEAVE: u64 = 700;
/// The shortest sleep: timers are in milliseconds.
const NAP: u64 = 2;

/// What comes in.
pub enum Input {
    /// From another store.
    Message {
        /// Who.
        from: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// From a registry.
    StoreRequest {
        /// Which connection.
        connection: u64,
        /// What.
        ask: StoreRequest,
        /// Where it is told.
        outbox: Outbox,
    },
    /// A connection ended.
    Closed {
        /// Which.
        connection: u64,
    },
}

/// Why a store ends.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    /// Its disk.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// Its place on the network.
    #[error("{0}: {1}")]
    Listen(SocketAddrV4, io::Error),
    /// Something that the system refused.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The settings name no disk.
    #[error("self.datadir: is missing")]
    NoDisk,
    /// The thread that owns the disk is gone.
    #[error("the disk's thread ended")]
    DiskThread,
    /// No random bytes.
    #[error("no random bytes: {0}")]
    Random(#[from] getrandom::Error),
}

/// Runs a store until it is told to end.
///
/// # Errors
///
/// [`Ended`], at the start or when the disk fails.
pub async fn run(settings: &Settings) -> Result<(), Ended> {
    let (mut term, mut int) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    );
    // Nothing in the settings changes for a store while it runs.
    let mut hup = signal(SignalKind::hangup())?;
    let folder = settings.data_dir.clone().ok_or(Ended::NoDisk)?;
    let (disk, kept) = Disk::open(&folder, settings.ip)?;
    let place = SocketAddrV4::new(settings.ip, settings.store_port());
    let listener = TcpListener::bind(place)
        .await
        .map_err(|error| Ended::Listen(place, error))?;
    let mut seed = [0; 8];
    getrandom::fill(&mut seed)?;
    let seeds = settings.seeds.iter().filter_map(|seed| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    let seeds: Vec<Ipv4Addr> = seeds.collect();
    let options = ReplicaOptions {
        address: settings.ip,
        seeds: seeds.clone(),
        bootstrap: settings.bootstrap,
        tolerated_failures: settings.tolerated_node_losses,
        random_seed: u64::from_be_bytes(seed),
    };
    let identity = Arc::new(ProcessIdentity::new(u64::from_be_bytes(seed)));
    let mut actions = Vec::new();
    let replica = Replica::new(Timestamp::ZERO, options, kept, &mut actions);
    let system = system_id::load(&folder);
    if let Some(system) = system {
        identity.learn_system(system);
    }
    let measurement = if settings.disk_mib > 0 {
        UsageMeasurement::Periodic
    } else {
        UsageMeasurement::Off
    };
    let (disk, mut disk_events) = DiskQueue::start(disk, folder.clone(), settings.ip, measurement)?;
    let mut host = Host {
        began: Instant::now(),
        settings,
        replica,
        disk,
        links: Links::new(settings.store_port(), identity.clone(), seeds),
        identity: identity.clone(),
        registries: BTreeMap::new(),
        calls: BTreeMap::new(),
        next_call: 0,
        status: Status::default(),
        questions: Vec::new(),
        status_at: 0,
        prune_at: PRUNE,
        ends_at: None,
        folder,
        system,
        disk_failed: false,
        overflowed: false,
    };
    host.act(actions);
    host.wait_for_first_sync(&mut disk_events).await?;
    let (inputs, mut waiting) = mpsc::channel(WAITING);
    tokio::spawn(listen(listener, identity, inputs, Arc::<Counts>::default()));
    loop {
        tokio::select! {
            biased;
            _ = term.recv() => {
                // StoreReply twice, it ends at once.
                if host.ends_at.is_some() {
                    break;
                }
                host.ends_at = Some(host.now() + LEAVE);
                let mut actions = Vec::new();
                host.replica.handle(host.timestamp(), Event::Leave, &mut actions);
                host.act(actions);
            }
            _ = int.recv() => break,
            _ = hup.recv() => {}
            event = disk_events.recv() => match event {
                Some(event) => host.take_disk_event(event)?,
                None => return Err(Ended::DiskThread),
            },
            input = waiting.recv() => {
                let Some(input) = input else { break };
                let mut actions = Vec::new();
                host.take(input, &mut actions);
                for _ in 1..AT_ONCE {
                    let Ok(input) = waiting.try_recv() else { break };
                    host.take(input, &mut actions);
                }
                host.act(actions);
            }
            () = tokio::time::sleep(host.pause()) => {
                let mut actions = Vec::new();
                host.replica.handle(host.timestamp(), Event::Tick, &mut actions);
                host.act(actions);
            }
        }
        if host
            .ends_at
            .is_some_and(|at| host.replica.has_left() || host.now() >= at)
        {
            break;
        }
        host.stand();
    }
    host.close(&mut disk_events).await;
    Ok(())
}

/// How the store stands, as followers are told.
#[derive(Clone, Debug, Default, PartialEq)]
struct Status {
    settled: bool,
    voters: Vec<Ipv4Addr>,
    disk: DiskState,
}

struct Host<'a> {
    began: Instant,
    settings: &'a Settings,
    replica: Replica,
    disk: DiskQueue,
    links: Links,
    identity: Arc<ProcessIdentity>,
    registries: BTreeMap<u64, Registry>,
    /// Which connection a call came on, and its number there.
    calls: BTreeMap<u64, (u64, u64)>,
    next_call: u64,
    status: Status,
    /// Answers that go out once all items that were known before have been told.
    questions: Vec<(u64, u64, Option<u64>)>,
    status_at: u64,
    prune_at: u64,
    /// When it ends, once it is told to.
    ends_at: Option<u64>,
    folder: PathBuf,
    /// The system, as it is kept in the folder.
    system: Option<NonZeroU64>,
    /// A write failed, and the disk was not opened again yet.
    disk_failed: bool,
    /// More was to be written than may wait, and the replica was told that the disk failed.
    overflowed: bool,
}

impl Host<'_> {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// The time as the replica reads it.
    fn timestamp(&self) -> Timestamp {
        Timestamp::from_millis(self.now())
    }

    fn pause(&self) -> Duration {
        let at = self
            .replica
            .next_tick_at()
            .as_millis()
            .min(self.status_at)
            .min(self.ends_at.unwrap_or(u64::MAX));
        Duration::from_millis(at.saturating_sub(self.now()).max(NAP))
    }

    fn take(&mut self, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Message { from, message } => {
                self.replica
                    .handle(self.timestamp(), Event::Message { from, message }, actions);
            }
            Input::Closed { connection } => {
                self.registries.remove(&connection);
                self.calls.retain(|_, (from, _)| *from != connection);
            }
            Input::StoreRequest {
                connection,
                ask,
                outbox,
            } => self.ask(connection, ask, outbox, actions),
        }
    }

    fn ask(
        &mut self,
        connection: u64,
        ask: StoreRequest,
        outbox: Outbox,
        actions: &mut Vec<Action>,
    ) {
        self.registries.entry(connection).or_insert(Registry {
            outbox,
            follows: false,
        });
        if let StoreRequest::ConfirmFreshness { nonce: question } = ask {
            let age = self.replica.confirmed_age(self.timestamp());
            return self.questions.push((
                connection,
                question,
                age.map(|age| age.as_millis() as u64),
            ));
        }
        let Some((id, call)) = call(ask) else {
            let items = self.replica.state().follower_items().cloned().collect();
            if let Some(registry) = self.registries.get_mut(&connection) {
                registry.follows = true;
            }
            self.tell(connection, &StoreReply::Items { items });
            let status = self.status_reply();
            return self.tell(connection, &status);
        };
        if let Call::Evacuate { zone, .. } = &call {
            if !self.settings.zone_regions.contains_key(zone) {
                let body = format!("zone {zone:?}: is not known");
                return self.tell(
                    connection,
                    &StoreReply::Response {
                        id,
                        status: 404,
                        body,
                    },
                );
            }
        }
        if let (Some(reason), false) = (self.refusal(), matches!(call, Call::Get)) {
            let body = reason.into();
            return self.tell(
                connection,
                &StoreReply::Response {
                    id,
                    status: 503,
                    body,
                },
            );
        }
        self.next_call += 1;
        self.calls.insert(self.next_call, (connection, id));
        self.replica.handle(
            self.timestamp(),
            Event::Call {
                call_id: CallId(self.next_call),
                call,
            },
            actions,
        );
    }

    /// One that doesn't read what it is told is let go: it comes again, and is told everything.
    fn tell(&mut self, connection: u64, told: &StoreReply) {
        if self
            .registries
            .get(&connection)
            .is_some_and(|registry| !registry.tell(told))
        {
            self.registries.remove(&connection);
        }
    }

    fn tell_followers(&mut self, told: &StoreReply) {
        self.registries
            .retain(|_, registry| !registry.follows || registry.tell(told));
    }

    /// Does what is to be done, and submits what is to be written.
    fn act(&mut self, actions: Vec<Action>) {
        let (mut writes, mut sync) = (Vec::new(), None);
        for action in actions {
            match action {
                Action::Persist { token, write } => {
                    sync = write.sync.then_some(token.0).or(sync);
                    writes.push(write);
                }
                Action::Send { to, message } => {
                    let frame = frames::encode(&ToStore::Consensus {
                        from: self.settings.ip,
                        message,
                    });
                    match frame {
                        Ok(frame) => self.links.send(to, Arc::new(frame)),
                        Err(error) => log::warn!("nothing sent to {to}: {error}"),
                    }
                }
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => {
                    if let Some((connection, id)) = self.calls.remove(&call_id.0) {
                        self.tell(connection, &StoreReply::Response { id, status, body });
                    }
                }
                Action::Learned { items } => self.tell_followers(&StoreReply::Items { items }),
            }
        }
        if !writes.is_empty() && self.disk.submit(Instant::now(), writes, sync).is_err() {
            self.overflowed = true;
            self.handle(Event::DiskFailed {
                reason: DISK_STALLED.into(),
            });
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.timestamp(), event, &mut actions);
        self.act(actions);
    }

    fn take_disk_event(&mut self, event: DiskEvent) -> Result<(), DiskError> {
        match event {
            DiskEvent::Synced { token } => self.handle(Event::Persisted {
                token: WriteToken(token),
            }),
            DiskEvent::Failed(failed) => {
                log::error!(
                    "changes and votes are refused until the disk takes writes again: {failed}"
                );
                self.disk.on_disk_failed();
                self.disk_failed = true;
                self.overflowed = false;
                self.handle(Event::DiskFailed {
                    reason: DISK_FULL.into(),
                });
            }
            DiskEvent::Reopened => {
                self.disk_failed = false;
                self.handle(Event::DiskRestored);
            }
            DiskEvent::Damaged(damaged) => return Err(damaged),
            DiskEvent::Closed => {}
        }
        Ok(())
    }

    /// Has what a first start writes synced before anybody can hear of this store; a stall is not waited for.
    async fn wait_for_first_sync(
        &mut self,
        events: &mut mpsc::Receiver<DiskEvent>,
    ) -> Result<(), DiskError> {
        while !self.disk.is_idle() {
            match tokio::time::timeout(FIRST_SYNC, events.recv()).await {
                Ok(Some(event)) => self.take_disk_event(event)?,
                _ => break,
            }
        }
        Ok(())
    }

    /// Has the replica take part again once all that waited for the disk is done.
    fn recover_from_overflow(&mut self) {
        if self.overflowed && self.disk.is_idle() {
            self.overflowed = false;
            self.handle(Event::DiskRestored);
        }
    }

    /// Waits a little for the last sync.
    async fn close(&self, events: &mut mpsc::Receiver<DiskEvent>) {
        if self.disk.close().is_err() {
            return;
        }
        let closed =
            async { while !matches!(events.recv().await, Some(DiskEvent::Closed) | None) {} };
        if tokio::time::timeout(CLOSE, closed).await.is_err() {
            log::warn!("ended before the disk was done");
        }
    }

    /// Finds out which system this is, and keeps it.
    fn tend_system(&mut self) {
        if self.system.is_some() {
            return;
        }
        if self.identity.system().is_none() && self.status.settled {
            let version = self
                .replica
                .state()
                .roster()
                .map_or(emberpin_config::Version(0), |roster| roster.version);
            if let Some(system) = system_id::founded_by(version, &self.replica.voters()) {
                self.identity.learn_system(system);
            }
        }
        self.system = self.identity.system();
        if let Some(system) = self.system {
            let folder = self.folder.clone();
            tokio::task::spawn_blocking(move || {
                if let Err(error) = system_id::save(&folder, system) {
                    log::warn!("the system's number is not kept: {error}");
                }
            });
        }
    }

    fn disk_state(&mut self) -> DiskState {
        if self.overflowed || self.disk.is_stalled(Instant::now()) {
            DiskState::Stalled
        } else if self.disk_failed || self.replica.disk_unavailable_reason().is_some() {
            DiskState::Full
        } else if self.is_nearly_full() {
            DiskState::NearlyFull
        } else {
            DiskState::Writable
        }
    }

    fn is_nearly_full(&self) -> bool {
        let most = (self.settings.disk_mib << 20) / 100 * FULL;
        most > 0 && self.disk.used_bytes() >= most
    }

    /// Why a change is not even given to the replica.
    fn refusal(&mut self) -> Option<&'static str> {
        match self.disk_state() {
            DiskState::Writable => None,
            DiskState::NearlyFull => Some("the disk is nearly full"),
            DiskState::Full => Some(DISK_FULL),
            DiskState::Stalled => Some(DISK_STALLED),
        }
    }

    fn status_reply(&self) -> StoreReply {
        let Status {
            settled,
            voters,
            disk,
        } = self.status.clone();
        let size = self.settings.disk_mib << 20;
        let disk = DiskStatus {
            state: disk,
            used_bytes: self.disk.used_bytes(),
            limit_bytes: size,
        };
        StoreReply::Status {
            caught_up: settled,
            voters,
            disk,
            rejected_peers: self.identity.rejected_peers(),
        }
    }

    /// Tells followers how the store stands, when it is due and when it changes.
    fn stand(&mut self) {
        let now = self.now();
        self.recover_from_overflow();
        for (connection, question, age) in std::mem::take(&mut self.questions) {
            self.tell(
                connection,
                &StoreReply::FreshnessConfirmed {
                    nonce: question,
                    age_ms: age,
                },
            );
        }
        self.tend_system();
        let (settled, voters) = (
            self.replica.is_up_to_date(self.timestamp()),
            self.replica.voters(),
        );
        let status = Status {
            settled,
            voters,
            disk: self.disk_state(),
        };
        if now >= self.status_at || status != self.status {
            self.status_at = now + STATUS;
            if status.disk != self.status.disk {
                log::warn!(
                    "the disk is {}, and was {}",
                    status.disk.as_str(),
                    self.status.disk.as_str()
                );
            }
            self.status = status;
            let status = self.status_reply();
            self.tell_followers(&status);
        }
        if now >= self.prune_at {
            self.prune_at = now + PRUNE;
            self.links.prune();
        }
    }
}
