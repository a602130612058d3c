//! Sessions with two registries at a time: while one stands, this limiter is a member, and hears what changes.

use crate::command::Command;
use crate::random::drawn;
use emberpin_membership::candidates::{Confirmation, RegistryCandidates};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::Incarnation;
use emberpin_membership::lease::SessionLease;
use emberpin_membership::session::{
    ConnectionRole, FromLimiter, Revision, SnapshotCursor, SyncProgress, ToLimiter,
};
use emberpin_membership::timing::{
    CONNECT_TIMEOUT, KEEP_ALIVE_INTERVAL, LEASE_CHECK_INTERVAL, PROXY_LEASE_DURATION,
    RECONNECT_BACKOFF,
};
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::settings::Settings;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

/// Two, so that one of them may be in a minority of the core, or die, and news still comes in time.
const SESSIONS: usize = 2;
/// What is written and not taken for so long ends the connection.
const UNTAKEN: Duration = Duration::from_millis(1_500);

/// What the sessions share.
pub struct Sessions {
    settings: RefCell<Settings>,
    commands: mpsc::Sender<Command>,
    incarnation: u64,
    process: ProcessIdentity,
    /// When they were started.
    begun: Instant,
    candidates: RefCell<RegistryCandidates>,
    /// Up to where each registry's log was followed.
    places: RefCell<BTreeMap<Ipv4Addr, SyncProgress>>,
    random: RefCell<oorandom::Rand32>,
    /// The settings are to be read again before the next try.
    stale: Cell<bool>,
}

/// Starts them; they go on for the instance of the process.
pub fn start(settings: Settings, commands: mpsc::Sender<Command>) -> Rc<Sessions> {
    let incarnation = drawn();
    let sessions = Rc::new(Sessions {
        settings: RefCell::new(settings),
        commands,
        incarnation,
        process: ProcessIdentity::new(incarnation),
        begun: Instant::now(),
        candidates: RefCell::default(),
        places: RefCell::default(),
        random: RefCell::new(oorandom::Rand32::new(drawn())),
        stale: Cell::new(false),
    });
    for number in 0..SESSIONS {
        spawn_local(sessions.clone().keep(number));
    }
    sessions
}

impl Sessions {
    /// The settings file may have changed.
    pub fn reread(&self) {
        self.stale.set(true);
    }

    /// Keeps one session, with one registry after the other.
    async fn keep(self: Rc<Self>, number: usize) {
        let (shortest, longest) = (RECONNECT_BACKOFF.initial, RECONNECT_BACKOFF.max);
        let mut pause = shortest;
        let mut last = None;
        loop {
            let Some(registry) = self.choose(number, last) else {
                sleep(shortest).await;
                self.stale.set(true);
                continue;
            };
            last = Some(registry);
            let begun = self.now();
            let lease = RefCell::new(SessionLease::new(begun));
            let ended = self.session(number, registry, &lease).await;
            let now = self.now();
            let confirmation = confirmation(lease.borrow().is_confirmed(now));
            self.candidates
                .borrow_mut()
                .on_session_ended(now, number, confirmation);
            if self
                .commands
                .send(Command::Lost { session: number })
                .await
                .is_err()
            {
                return;
            }
            log::info!("session {number} with {registry} ended: {ended}");
            if now > begun + 2 * PROXY_LEASE_DURATION {
                pause = shortest;
            }
            // The file may have changed without a signal: whoever has no session reads it.
            self.stale.set(true);
            let part = self.random.borrow_mut().rand_float();
            sleep(pause.mul_f32(0.5 + part)).await;
            pause = (pause * 2).min(longest);
        }
    }

    /// The registry for a session.
    fn choose(&self, number: usize, last: Option<Ipv4Addr>) -> Option<Ipv4Addr> {
        if self.stale.replace(false) {
            match Settings::from_env() {
                Ok(settings) => *self.settings.borrow_mut() = settings,
                Err(problem) => log::warn!("settings not read again: {problem}"),
            }
        }
        let settings = self.settings.borrow();
        let seeds = settings.seeds.iter().filter_map(|seed| match seed.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        });
        let draw = u64::from(self.random.borrow_mut().rand_u32());
        self.candidates
            .borrow_mut()
            .choose(self.now(), number, seeds, last, draw)
    }

    /// The time since the start.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.begun.elapsed()
    }

    /// One session, until it ends.
    async fn session(
        &self,
        number: usize,
        registry: Ipv4Addr,
        lease: &RefCell<SessionLease>,
    ) -> Ended {
        let (port, name, zone) = {
            let settings = self.settings.borrow();
            (
                settings.registry_port(),
                settings.node_name.clone(),
                settings.zone.clone(),
            )
        };
        let connecting = TcpStream::connect((registry, port));
        let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(problem)) => return Ended::NoConnection(problem.to_string()),
            Err(_) => return Ended::NoConnection("none in time".into()),
        };
        _ = stream.set_nodelay(true);
        _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNTAKEN));
        let (instances, known) = oneshot::channel();
        if self
            .commands
            .send(Command::Instances(instances))
            .await
            .is_err()
        {
            return Ended::NoController;
        }
        let Ok(instances) = known.await else {
            return Ended::NoController;
        };
        let from = self
            .places
            .borrow()
            .get(&registry)
            .map(|known| known.revision);
        let resumed = self.whole(registry).is_some();
        let begun = Command::Begun {
            session: number,
            resumed,
        };
        if self.commands.send(begun).await.is_err() {
            return Ended::NoController;
        }
        let hello = FromLimiter::Hello {
            incarnation: Incarnation(self.incarnation),
            name,
            zone,
            resume_from: from,
            instances,
        };
        let (mut reads, mut writes) = stream.into_split();
        let wanted = Notify::new();
        *lease.borrow_mut() = SessionLease::new(self.now());
        let said = async {
            self.process.send_preamble(&mut writes).await?;
            frames::write(&mut writes, &ConnectionRole::Limiter).await?;
            frames::write(&mut writes, &hello).await?;
            self.ask(&mut writes, registry, lease, &wanted).await
        };
        tokio::select! {
            Err(problem) = said => Ended::Broken(problem),
            ended = self.hear(number, registry, &mut reads, lease, &wanted) => ended,
            () = self.runs_out(lease) => Ended::Unconfirmed,
        }
    }

    /// Asks how old what the registry tells is, again and again, and for parts of its snapshot.
    async fn ask(
        &self,
        writes: &mut OwnedWriteHalf,
        registry: Ipv4Addr,
        lease: &RefCell<SessionLease>,
        wanted: &Notify,
    ) -> Result<Infallible, ConnectionError> {
        let mut questions = interval(KEEP_ALIVE_INTERVAL);
        questions.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let said = tokio::select! {
                _ = questions.tick() => {
                    let nonce = lease.borrow_mut().begin_query(self.now());
                    FromLimiter::KeepAlive { applied: self.whole(registry), nonce }
                }
                () = wanted.notified() => match self.rest(registry) {
                    Some(after) => FromLimiter::FetchSnapshotPart { after },
                    None => continue,
                },
            };
            frames::write(writes, &said).await?;
        }
    }

    /// Up to where a registry has told everything.
    fn whole(&self, registry: Ipv4Addr) -> Option<Revision> {
        self.places
            .borrow()
            .get(&registry)
            .and_then(SyncProgress::synced_revision)
    }

    /// Where its snapshot goes on.
    fn rest(&self, registry: Ipv4Addr) -> Option<SnapshotCursor> {
        self.places
            .borrow()
            .get(&registry)
            .and_then(|known| known.next_part.clone())
    }

    /// Notes up to where a registry was followed.
    fn advance(&self, registry: Ipv4Addr, told: &ToLimiter) {
        let mut places = self.places.borrow_mut();
        let mut known = places.remove(&registry);
        SyncProgress::advance(&mut known, told);
        places.extend(known.map(|known| (registry, known)));
    }

    /// Returns when what the registry told is too old to go by.
    async fn runs_out(&self, lease: &RefCell<SessionLease>) {
        while !lease.borrow().is_expired(self.now()) {
            sleep(LEASE_CHECK_INTERVAL).await;
        }
    }

    async fn hear(
        &self,
        number: usize,
        registry: Ipv4Addr,
        reads: &mut OwnedReadHalf,
        lease: &RefCell<SessionLease>,
        wanted: &Notify,
    ) -> Ended {
        if let Err(problem) = self.process.receive_preamble(reads).await {
            return Ended::Broken(problem);
        }
        let mut begins = true;
        loop {
            let message = match frames::read::<ToLimiter>(reads).await {
                Ok(message) => message,
                Err(problem) => {
                    if let ConnectionError::Malformed(problem) = &problem {
                        log::warn!("{registry} sent what is no message: {problem}");
                    }
                    return Ended::Broken(problem);
                }
            };
            let command = match message {
                ToLimiter::Snapshot { .. }
                | ToLimiter::SnapshotPart { .. }
                | ToLimiter::Changes { .. } => {
                    self.advance(registry, &message);
                    let is_part = !matches!(message, ToLimiter::Changes { .. });
                    let first = std::mem::take(&mut begins);
                    if is_part || first {
                        lease.borrow_mut().on_snapshot_progress(self.now());
                        wanted.notify_one();
                    }
                    Command::News {
                        session: number,
                        message,
                    }
                }
                ToLimiter::Confirmation {
                    nonce,
                    age,
                    limiters,
                    registries,
                } => {
                    let now = self.now();
                    lease.borrow_mut().on_answer(nonce, age);
                    let confirmed = age.is_some() && lease.borrow().is_confirmed(now);
                    self.candidates
                        .borrow_mut()
                        .on_registries_named(registries, confirmation(confirmed));
                    if !confirmed {
                        continue;
                    }
                    Command::Confirmed {
                        session: number,
                        limiters,
                    }
                }
            };
            if self.commands.send(command).await.is_err() {
                return Ended::NoController;
            }
        }
    }
}

fn confirmation(confirmed: bool) -> Confirmation {
    if confirmed {
        Confirmation::Confirmed
    } else {
        Confirmation::Unconfirmed
    }
}

/// Why a session is over.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("no connection: {0}")]
    NoConnection(String),
    #[error("{0}")]
    Broken(ConnectionError),
    #[error("what it tells is not confirmed")]
    Unconfirmed,
    #[error("the controller ended")]
    NoController,
}
