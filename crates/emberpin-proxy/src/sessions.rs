//! Sessions with two registries at a time: while one stands, this limiter is a member, and hears what changes.

use crate::controller::{drawn, Command};
use emberpin_membership::session::{First, FromLimiter, Revision, ToLimiter};
use emberpin_runtime::frames::{self, Broken};
use emberpin_runtime::preamble::ProcessIdentity;
use emberpin_runtime::settings::Settings;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Two, so that one of them may be in a minority of the core, or die, and news still comes in time.
const SESSIONS: usize = 2;
const CONNECT: Duration = Duration::from_millis(500);
const PULSE: Duration = Duration::from_millis(500);
/// A registry that says nothing for so long is left.
const SILENCE: Duration = Duration::from_millis(1_300);
/// And one that says that it hears no majority, once it has for so long.
const UNSETTLED: Duration = Duration::from_millis(1_000);
/// What is written and not taken for so long ends the connection.
const UNTAKEN: Duration = Duration::from_millis(1_500);
/// Pauses between tries grow from the first to the second.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// What the sessions share.
pub struct Sessions {
    settings: RefCell<Settings>,
    commands: mpsc::Sender<Command>,
    incarnation: u64,
    process: ProcessIdentity,
    /// Registries that were told of, beside those of the settings.
    registries: RefCell<BTreeSet<Ipv4Addr>>,
    /// Those that a session is with, by session.
    with: RefCell<BTreeMap<usize, Ipv4Addr>>,
    /// Up to where each registry's log was followed.
    places: RefCell<BTreeMap<Ipv4Addr, Revision>>,
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
        registries: RefCell::default(),
        with: RefCell::default(),
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
        let mut pause = PAUSE.0;
        let mut last = None;
        loop {
            let Some(registry) = self.choose(last) else {
                sleep(PAUSE.0).await;
                self.stale.set(true);
                continue;
            };
            last = Some(registry);
            self.with.borrow_mut().insert(number, registry);
            let begun = Instant::now();
            let ended = self.session(number, registry).await;
            self.with.borrow_mut().remove(&number);
            if self.commands.send(Command::Lost { session: number }).await.is_err() {
                return;
            }
            log::info!("session {number} with {registry} ended: {ended}");
            if begun.elapsed() > SILENCE * 2 {
                pause = PAUSE.0;
            }
            // The file may have changed without a signal: whoever has no session reads it.
            self.stale.set(true);
            let part = self.random.borrow_mut().rand_float();
            sleep(pause.mul_f32(0.5 + part)).await;
            pause = (pause * 2).min(PAUSE.1);
        }
    }

    /// A registry without a session, drawn; not the last one if there is another.
    fn choose(&self, last: Option<Ipv4Addr>) -> Option<Ipv4Addr> {
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
        let mut known: BTreeSet<Ipv4Addr> = seeds.chain(self.registries.borrow().iter().copied()).collect();
        self.with.borrow().values().for_each(|taken| _ = known.remove(taken));
        if known.len() > 1 {
            last.map(|last| known.remove(&last));
        }
        let count = known.len() as u32;
        if count == 0 {
            return None;
        }
        let at = self.random.borrow_mut().rand_range(0..count) as usize;
        known.into_iter().nth(at)
    }

    /// One session, until it ends; says why it did.
    async fn session(self: &Rc<Self>, number: usize, registry: Ipv4Addr) -> String {
        let (port, name, zone) = {
            let settings = self.settings.borrow();
            (settings.registry_port(), settings.nodename.clone(), settings.zone.clone())
        };
        let stream = match timeout(CONNECT, TcpStream::connect((registry, port))).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(problem)) => return problem.to_string(),
            Err(_) => return "no connection in time".into(),
        };
        _ = stream.set_nodelay(true);
        _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNTAKEN));
        let (instances, known) = oneshot::channel();
        if self.commands.send(Command::Instances(instances)).await.is_err() {
            return "the controller ended".into();
        }
        let Ok(instances) = known.await else { return "the controller ended".into() };
        let from = self.places.borrow().get(&registry).copied();
        let begun = Command::Begun { session: number, resumed: from.is_some() };
        if self.commands.send(begun).await.is_err() {
            return "the controller ended".into();
        }
        let hello = FromLimiter::Hello { incarnation: self.incarnation, name, zone, from, instances };
        let (mut reads, mut writes) = stream.into_split();
        let at = Rc::new(Cell::new(from));
        let greeted = async {
            self.process.send(&mut writes).await?;
            frames::write(&mut writes, &First::Limiter).await?;
            frames::write(&mut writes, &hello).await
        };
        if let Err(problem) = greeted.await {
            return problem.to_string();
        }
        let place = at.clone();
        let pulses = async move {
            loop {
                sleep(PULSE).await;
                if let Some(at) = place.get() {
                    if let Err(problem) = frames::write(&mut writes, &FromLimiter::Pulse { at }).await {
                        return problem.to_string();
                    }
                }
            }
        };
        tokio::select! {
            problem = pulses => problem,
            problem = self.hear(number, registry, &mut reads, &at) => problem,
        }
    }

    async fn hear(
        &self,
        number: usize,
        registry: Ipv4Addr,
        reads: &mut tokio::net::tcp::OwnedReadHalf,
        at: &Cell<Option<Revision>>,
    ) -> String {
        let greeted = timeout(SILENCE, self.process.receive(reads)).await;
        match greeted {
            Ok(Ok(_)) => {}
            Ok(Err(problem)) => return problem.to_string(),
            Err(_) => return "silent for too long".into(),
        }
        let mut unsettled = None;
        loop {
            let message = match timeout(SILENCE, frames::read::<ToLimiter>(reads)).await {
                Ok(Ok(message)) => message,
                Ok(Err(Broken::Unreadable(problem))) => {
                    log::warn!("{registry} sent what is no message: {problem}");
                    return problem.to_string();
                }
                Ok(Err(problem)) => return problem.to_string(),
                Err(_) => return "silent for too long".into(),
            };
            match &message {
                ToLimiter::Snapshot { at: place, .. } | ToLimiter::Changes { at: place, .. } => {
                    at.set(Some(*place));
                    self.places.borrow_mut().insert(registry, *place);
                }
                ToLimiter::Pulse { settled, registries, .. } => {
                    if *settled {
                        // Whoever hears a majority knows who there is; the others may know of machines long gone.
                        *self.registries.borrow_mut() = registries.iter().copied().collect();
                        unsettled = None;
                    } else if unsettled.get_or_insert_with(Instant::now).elapsed() > UNSETTLED {
                        return "it hears no majority".into();
                    }
                }
            }
            if self.commands.send(Command::News { session: number, message }).await.is_err() {
                return "the controller ended".into();
            }
        }
    }
}
