//! A small model of a limiter: it follows sessions as the real one does, and asks cold servers for all that it may.

use crate::cores::BEAT;
use crate::net::{number, Frame};
use crate::text::Spot;
use crate::world::{Due, Process, World};
use emberpin_chart::{routes_in_force, Chart, Item, Kind, Route, Service};
use emberpin_fairway::{ColdRule, Fairway, Warmth, Work};
use emberpin_watch::life::{Life, Standing};
use emberpin_watch::session::{FromLimiter, Place, ToLimiter};
use std::collections::{BTreeMap, BTreeSet, HashMap};

// As in the real one's sessions.
const SESSIONS: usize = 2;
const CONNECT: u64 = 500;
const PULSE: u64 = 500;
const SILENCE: u64 = 1_300;
const UNSETTLED: u64 = 1_000;
const PAUSE: (u64, u64) = (100, 800);
/// How often it looks after them.
const LOOK: u64 = 50;
/// How often cold servers are asked, and most requests of one limiter at once.
const LOAD: u64 = 20;
const AT_ONCE: usize = 4;
/// `warm_excess` and `warm_extra`.
const RULE: ColdRule = ColdRule { excess: 1.5, extra: 5.0 };
/// What `warmup_per_s` of every service makes of them.
pub(crate) const BEARS: usize = 20;

/// One of its sessions, or the place for one.
#[derive(Clone, Debug)]
struct Session {
    conn: Option<u64>,
    core: Option<u8>,
    last: Option<u8>,
    /// On the limiter's clock, as all that follows.
    heard: u64,
    began: u64,
    unsettled: Option<u64>,
    pause: u64,
    next: u64,
    pulse: u64,
    /// It has told all that there is.
    told: bool,
}

/// What runs on a limiter.
pub(crate) struct Pilot {
    pub fairway: Fairway,
    pub chart: Chart,
    pub ready: bool,
    sessions: Vec<Session>,
    places: BTreeMap<u8, Place>,
    registries: BTreeSet<u8>,
    /// The highest versions that were in force in this life.
    in_force: BTreeMap<String, u64>,
    /// Servers that were not to get anything any more.
    held: BTreeSet<String>,
}

/// A limiter.
pub(crate) struct Limiter {
    pub process: Process,
    pub up: Option<Pilot>,
}

impl Limiter {
    pub fn new(process: Process) -> Limiter {
        Limiter { process, up: None }
    }
}

impl Pilot {
    fn configure(&mut self, now: u64, in_force: bool) -> Result<(), String> {
        let routes: Vec<Route> = match in_force {
            true => routes_in_force(&self.chart),
            false => self.chart.routes().cloned().collect(),
        };
        let mut places = BTreeSet::new();
        for route in &routes {
            let unknown = route.targets.iter().find(|(service, _)| !self.chart.knows(service));
            if let Some((service, _)) = unknown {
                return Err(format!(
                    "invalid in force: route {} names {service}, which is unknown",
                    route.name
                ));
            }
            if !places.insert((route.hostname.clone(), route.prefix.clone())) {
                return Err(format!("invalid in force: route {} has the place of another one", route.name));
            }
            let highest = self.in_force.entry(route.name.clone()).or_default();
            if route.ver < *highest {
                return Err(format!("went back: route {} is {} after {highest}", route.name, route.ver));
            }
            *highest = route.ver;
        }
        self.fairway.matcher.replace(routes);
        let (mut warmth, mut evacuated) = (HashMap::new(), BTreeSet::new());
        for item in self.chart.live() {
            match item.key.kind {
                Kind::Service => {
                    if let Ok(service) = Service::from_item(item) {
                        let warmup_ms = service.warmup.as_secs_f64() * 1000.0;
                        warmth.insert(service.name, Warmth { warmup_ms, per_s: service.warmup_per_s });
                    }
                }
                Kind::Evacuation => _ = evacuated.insert(item.key.name.clone()),
                Kind::Route | Kind::Roster | Kind::Limits => {}
            }
        }
        self.fairway.fleet.warmth(warmth);
        self.fairway.fleet.evacuated(now as f64, evacuated);
        Ok(())
    }

    fn learn(&mut self, now: u64, items: Vec<Item>, lives: &[Life], in_force: bool) -> Result<(), String> {
        let mut changed = false;
        for item in items {
            changed |= self.chart.merge(item);
        }
        if changed {
            self.configure(now, in_force)?;
        }
        self.fairway.fleet.tell(now as f64, lives);
        // As a host does, that keeps connections.
        self.fairway.fleet.changes();
        Ok(())
    }

    /// How a server stands here, by its life's id.
    pub fn work(&self, id: &str) -> Work {
        self.fairway.fleet.work(id)
    }
}

impl World {
    pub fn start_limiter(&mut self, limiter: u8) {
        let (now, build) = (self.now, self.build);
        let Some(machine) = self.limiters.get_mut(&limiter).filter(|machine| machine.up.is_none()) else {
            return;
        };
        machine.process.begins(now);
        let name = format!("limiter-{limiter}");
        let session = Session {
            conn: None,
            core: None,
            last: None,
            heard: 0,
            began: 0,
            unsettled: None,
            pause: PAUSE.0,
            next: 0,
            pulse: 0,
            told: false,
        };
        machine.up = Some(Pilot {
            fairway: Fairway::with_guards(0.0, &name, RULE, BEAT as f64, build.fairway),
            chart: Chart::new(),
            ready: false,
            sessions: vec![session; SESSIONS],
            places: BTreeMap::new(),
            registries: BTreeSet::new(),
            in_force: BTreeMap::new(),
            held: BTreeSet::new(),
        });
        let life = machine.process.life;
        let at = now + self.below(LOOK);
        self.at(at, Due::Look { limiter, life });
    }

    fn pilot(&mut self, limiter: u8) -> Option<(u64, &mut Pilot)> {
        let machine = self.limiters.get_mut(&limiter)?;
        let local = machine.process.local(self.now);
        machine.up.as_mut().map(|pilot| (local, pilot))
    }

    /// Ends sessions that are silent or hear no majority, says where it stands, and begins new sessions.
    pub fn look(&mut self, limiter: u8, life: u64) {
        if self.life(Spot::Limiter(limiter)) != life {
            return;
        }
        let leaves = self.build.pilot.leaves;
        for index in 0..SESSIONS {
            let Some((now, pilot)) = self.pilot(limiter) else { return };
            let session = &mut pilot.sessions[index];
            let Some((conn, core)) = session.conn.zip(session.core) else {
                if now >= session.next {
                    self.begin_session(limiter, index);
                }
                continue;
            };
            let silent = now >= session.heard + SILENCE;
            let unsettled = session.unsettled.is_some_and(|since| now >= since + UNSETTLED);
            if silent || (unsettled && leaves) {
                self.break_conn(conn, false);
                self.session_broken(limiter, conn);
            } else if now >= session.pulse {
                session.pulse = now + PULSE;
                if let Some(at) = pilot.places.get(&core).copied() {
                    self.send(conn, true, Frame::From(FromLimiter::Pulse { at }));
                }
            }
        }
        let at = self.now + LOOK;
        self.at(at, Due::Look { limiter, life });
    }

    fn begin_session(&mut self, limiter: u8, index: usize) {
        let seeds: Vec<u8> = self.listed().into_iter().take(3).collect();
        let draw = self.rand.rand_u64();
        let Some(machine) = self.limiters.get_mut(&limiter) else { return };
        let (zone, life) = (machine.process.zone.clone(), machine.process.life);
        let now = machine.process.local(self.now);
        let Some(pilot) = machine.up.as_mut() else { return };
        let mut known: BTreeSet<u8> = seeds.into_iter().chain(pilot.registries.iter().copied()).collect();
        pilot.sessions.iter().filter_map(|session| session.core).for_each(|core| _ = known.remove(&core));
        if known.len() > 1 {
            pilot.sessions[index].last.map(|last| known.remove(&last));
        }
        let Some(core) = known.iter().nth(draw as usize % known.len().max(1)).copied() else {
            pilot.sessions[index].next = now + PAUSE.1;
            return;
        };
        let hello = FromLimiter::Hello {
            life: u64::from(limiter) << 32 | life,
            name: format!("limiter-{limiter}"),
            zone,
            from: pilot.places.get(&core).copied(),
            lives: pilot.fairway.fleet.lives(now as f64),
        };
        let conn = self.connect(Spot::Limiter(limiter), Spot::Core(core));
        let Some((now, pilot)) = self.pilot(limiter) else { return };
        let session = &mut pilot.sessions[index];
        session.last = Some(core);
        let Some(conn) = conn else {
            session.next = now + CONNECT + session.pause;
            session.pause = (session.pause * 2).min(PAUSE.1);
            return;
        };
        (session.conn, session.core) = (Some(conn), Some(core));
        (session.heard, session.began, session.unsettled, session.told) = (now, now, None, false);
        session.pulse = now + PULSE;
        self.send(conn, true, Frame::From(hello));
    }

    pub fn session_broken(&mut self, limiter: u8, conn: u64) {
        let part = 50 + self.below(100);
        let Some((now, pilot)) = self.pilot(limiter) else { return };
        let Some(session) = pilot.sessions.iter_mut().find(|session| session.conn == Some(conn)) else {
            return;
        };
        (session.conn, session.core, session.told) = (None, None, false);
        if now > session.began + 2 * SILENCE {
            session.pause = PAUSE.0;
        }
        session.next = now + session.pause * part / 100;
        session.pause = (session.pause * 2).min(PAUSE.1);
    }

    pub fn limiter_hears(&mut self, limiter: u8, conn: u64, core: u8, told: ToLimiter) {
        let build = self.build.pilot;
        let Some((now, pilot)) = self.pilot(limiter) else { return };
        let Some(index) = pilot.sessions.iter().position(|session| session.conn == Some(conn)) else {
            return;
        };
        pilot.sessions[index].heard = now;
        let learned = match told {
            ToLimiter::Snapshot { at, items, lives, .. } => {
                pilot.places.insert(core, at);
                pilot.sessions[index].told = true;
                pilot.learn(now, items, &lives, build.in_force)
            }
            ToLimiter::Changes { at, items, lives } => {
                pilot.places.insert(core, at);
                // They go on from what this registry told in an earlier session.
                pilot.sessions[index].told |= build.resumes;
                pilot.learn(now, items, &lives, build.in_force)
            }
            ToLimiter::Pulse { settled, limiters, registries } => {
                let session = &mut pilot.sessions[index];
                if settled || !build.settled {
                    pilot.registries = registries.into_iter().map(number).collect();
                    session.unsettled = None;
                    pilot.fairway.told(now as f64, limiters);
                    if session.told && !pilot.chart.is_empty() {
                        pilot.ready = true;
                    }
                } else {
                    session.unsettled.get_or_insert(now);
                }
                Ok(())
            }
        };
        if let Err(wrong) = learned {
            return self.fail(format!("limiter-{limiter}: {wrong}"));
        }
        self.look_at_servers(limiter);
    }

    /// A server that said that it drains, and was heard, gets nothing again in this limiter's life.
    fn look_at_servers(&mut self, limiter: u8) {
        let said: Vec<String> =
            self.servers.values().filter(|server| server.drains).map(|server| server.id.clone()).collect();
        let Some((_, pilot)) = self.pilot(limiter) else { return };
        for id in said {
            // One that is not known here was not told of yet, or was not heard for long.
            match pilot.fairway.fleet.life(&id).map(|life| life.standing) {
                Some(Standing::Up) if pilot.held.contains(&id) => {
                    let what = format!("limiter-{limiter}: went back: {id} is usable again after its drain");
                    return self.fail(what);
                }
                Some(Standing::Drain) => _ = pilot.held.insert(id),
                _ => {}
            }
        }
    }

    /// Each limiter sends to cold servers whatever it may.
    pub fn load(&mut self) {
        let now = self.now;
        let cold: Vec<(String, String, String)> = self
            .servers
            .iter()
            .filter(|(_, server)| server.up && now < server.cold_until)
            .map(|(name, server)| (name.clone(), server.id.clone(), server.service.clone()))
            .collect();
        for (name, id, service) in &cold {
            let mut sent = 0;
            for machine in self.limiters.values_mut().filter(|machine| !machine.process.frozen) {
                let local = machine.process.local(now) as f64;
                let Some(pilot) = machine.up.as_mut() else { continue };
                for _ in 0..AT_ONCE {
                    let usable = pilot.work(id) == Work::Usable;
                    if !usable || !pilot.fairway.bears(service, id, local) {
                        break;
                    }
                    pilot.fairway.sent(local, id);
                    sent += 1;
                }
            }
            let Some(server) = self.servers.get_mut(name) else { continue };
            server.sent.extend((0..sent).map(|_| now));
            while server.sent.front().is_some_and(|at| at + 1_000 <= now) {
                server.sent.pop_front();
            }
            let within = server.sent.len();
            self.ledger.cold_sent += sent;
            if within > BEARS {
                return self
                    .fail(format!("cold server: {id} got {within} requests in a second, and bears {BEARS}"));
            }
        }
        self.loaded = !cold.is_empty();
        if self.loaded {
            self.at(now + LOAD, Due::Load);
        }
    }

    /// Lets limiters ask cold servers from now on.
    pub fn load_from_now(&mut self) {
        if !self.loaded {
            self.loaded = true;
            self.at(self.now, Due::Load);
        }
    }
}
