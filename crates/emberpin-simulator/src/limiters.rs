//! A small model of a limiter: it follows sessions as the real one does, and asks cold servers for all that it may.

use crate::cores::BEAT;
use crate::net::{ip, number, Frame};
use crate::text::Machine;
use crate::world::{Due, Process, World};
use emberpin_config::{
    effective_routes, Configuration, Item, ItemKind, Route, Service, Target, Version,
};
use emberpin_membership::candidates::{Confirmation, RegistryCandidates};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::Incarnation;
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::lease::SessionLease;
use emberpin_membership::session::{FromProxy, SyncProgress, ToProxy};
use emberpin_membership::timing;
use emberpin_routing::{Availability, Router, WarmupProfile, WarmupTolerance};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

// As the real one has.
const SESSIONS: usize = 2;
const CONNECT_TIMEOUT: u64 = millis(timing::CONNECT_TIMEOUT);
const KEEP_ALIVE_INTERVAL: u64 = millis(timing::KEEP_ALIVE_INTERVAL);
const LEASE_CHECK_INTERVAL: u64 = millis(timing::LEASE_CHECK_INTERVAL);
const PROXY_LEASE_DURATION: u64 = millis(timing::PROXY_LEASE_DURATION);
const INITIAL_BACKOFF: u64 = millis(timing::RECONNECT_BACKOFF.initial);
const MAX_BACKOFF: u64 = millis(timing::RECONNECT_BACKOFF.max);
/// How often cold servers are asked, and most requests of one limiter at once.
const LOAD: u64 = 20;
const AT_ONCE: usize = 4;
/// `warm_excess` and `warm_extra`.
const RULE: WarmupTolerance = WarmupTolerance {
    excess_factor: 1.5,
    extra_requests: 5.0,
};
/// What `warmup_per_s` of every service makes of them.
pub(crate) const BEARS: usize = 20;

fn confirmation(confirmed: bool) -> Confirmation {
    if confirmed {
        Confirmation::Confirmed
    } else {
        Confirmation::Unconfirmed
    }
}

const fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// One of its sessions, or the place for one.
#[derive(Clone, Debug)]
struct Session {
    conn: Option<u64>,
    core: Option<u8>,
    last: Option<u8>,
    /// On the limiter's clock, as all that follows.
    heard: u64,
    began: u64,
    lease: SessionLease,
    pause: u64,
    next: u64,
    pulse: u64,
    /// It has told all that there is.
    told: bool,
    /// Whether a part of the snapshot is awaited; `None` before anything was told.
    fetching: Option<bool>,
}

/// What runs on a limiter.
pub(crate) struct Proxy {
    pub router: Router,
    pub configuration: Configuration,
    pub ready: bool,
    sessions: Vec<Session>,
    places: BTreeMap<u8, SyncProgress>,
    candidates: RegistryCandidates,
    /// The highest versions that were in force in this incarnation.
    in_force: BTreeMap<String, Version>,
    /// Servers that were not to get anything any more.
    held: BTreeSet<String>,
}

/// A limiter.
pub(crate) struct Limiter {
    pub process: Process,
    pub up: Option<Proxy>,
}

impl Limiter {
    pub fn new(process: Process) -> Limiter {
        Limiter { process, up: None }
    }
}

impl Proxy {
    fn configure(&mut self, now: u64, in_force: bool) -> Result<(), String> {
        let routes: Vec<Route> = match in_force {
            true => effective_routes(&self.configuration),
            false => self.configuration.routes().cloned().collect(),
        };
        let mut places = BTreeSet::new();
        for route in &routes {
            let unknown = route
                .targets
                .iter()
                .find(|target| !self.configuration.has_service(&target.service));
            if let Some(Target { service, .. }) = unknown {
                return Err(format!(
                    "invalid in force: route {} names {service}, which is unknown",
                    route.name
                ));
            }
            if !places.insert((route.hostname.clone(), route.prefix.clone())) {
                return Err(format!(
                    "invalid in force: route {} has the place of another one",
                    route.name
                ));
            }
            let highest = self.in_force.entry(route.name.clone()).or_default();
            if route.version < *highest {
                return Err(format!(
                    "went back: route {} is {} after {highest}",
                    route.name, route.version
                ));
            }
            *highest = route.version;
        }
        self.router.routes.replace(routes);
        let (mut warmth, mut evacuated) = (HashMap::new(), BTreeSet::new());
        for item in self.configuration.live() {
            match item.key.kind {
                ItemKind::Service => {
                    if let Ok(service) = Service::from_item(item) {
                        warmth.insert(
                            service.name,
                            WarmupProfile {
                                duration: service.warmup,
                                requests_per_second: service.warmup_requests_per_s,
                            },
                        );
                    }
                }
                ItemKind::Evacuation => _ = evacuated.insert(item.key.name.clone()),
                ItemKind::Route
                | ItemKind::Roster
                | ItemKind::Limits
                | ItemKind::History
                | ItemKind::Checkpoint => {}
            }
        }
        self.router.endpoints.set_warmup_profiles(warmth);
        self.router
            .endpoints
            .set_evacuated_zones(Duration::from_millis(now), evacuated);
        Ok(())
    }

    fn learn(
        &mut self,
        now: u64,
        items: Vec<Item>,
        instances: &[Instance],
        in_force: bool,
    ) -> Result<(), String> {
        let mut changed = false;
        for item in items {
            changed |= self.configuration.merge(item);
        }
        if changed {
            self.configure(now, in_force)?;
        }
        self.router
            .endpoints
            .update(Duration::from_millis(now), instances);
        // As a host does, that keeps connections.
        self.router.endpoints.take_changes();
        Ok(())
    }

    /// How a server stands here, by its incarnation's id.
    pub fn work(&self, id: &str) -> Availability {
        self.router.endpoints.availability(id)
    }
}

impl World {
    pub fn start_limiter(&mut self, limiter: u8) {
        let (now, build) = (self.now, self.build);
        let Some(machine) = self
            .limiters
            .get_mut(&limiter)
            .filter(|machine| machine.up.is_none())
        else {
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
            lease: SessionLease::new(Timestamp::ZERO),
            pause: INITIAL_BACKOFF,
            next: 0,
            pulse: 0,
            told: false,
            fetching: None,
        };
        machine.up = Some(Proxy {
            router: Router::with_guards(
                Duration::ZERO,
                &name,
                RULE,
                Duration::from_millis(BEAT),
                build.router,
            ),
            configuration: Configuration::new(),
            ready: false,
            sessions: vec![session; SESSIONS],
            places: BTreeMap::new(),
            candidates: RegistryCandidates::default(),
            in_force: BTreeMap::new(),
            held: BTreeSet::new(),
        });
        let incarnation = machine.process.incarnation;
        let at = now + self.below(LEASE_CHECK_INTERVAL);
        self.at(
            at,
            Due::Look {
                limiter,
                incarnation,
            },
        );
    }

    fn proxy(&mut self, limiter: u8) -> Option<(u64, &mut Proxy)> {
        let machine = self.limiters.get_mut(&limiter)?;
        let local = machine.process.local(self.now);
        machine.up.as_mut().map(|proxy| (local, proxy))
    }

    /// Ends sessions that are silent or hear no majority, says where it stands, and begins new sessions.
    pub fn look(&mut self, limiter: u8, incarnation: u64) {
        if self.incarnation(Machine::Limiter(limiter)) != incarnation {
            return;
        }
        let leaves = self.build.proxy.leaves;
        for index in 0..SESSIONS {
            let Some((now, proxy)) = self.proxy(limiter) else {
                return;
            };
            let session = &mut proxy.sessions[index];
            let Some((conn, core)) = session.conn.zip(session.core) else {
                if now >= session.next {
                    self.begin_session(limiter, index);
                }
                continue;
            };
            let silent = now > session.heard + PROXY_LEASE_DURATION;
            if silent || (session.lease.is_expired(Timestamp::from_millis(now)) && leaves) {
                self.break_conn(conn, false);
                self.session_broken(limiter, conn);
            } else if now >= session.pulse {
                session.pulse = now + KEEP_ALIVE_INTERVAL;
                let at = proxy
                    .places
                    .get(&core)
                    .and_then(SyncProgress::synced_revision);
                let nonce = session.lease.begin_query(Timestamp::from_millis(now));
                self.send(
                    conn,
                    true,
                    Frame::From(FromProxy::KeepAlive { applied: at, nonce }),
                );
            }
        }
        let at = self.now + LEASE_CHECK_INTERVAL;
        self.at(
            at,
            Due::Look {
                limiter,
                incarnation,
            },
        );
    }

    fn begin_session(&mut self, limiter: u8, index: usize) {
        let seeds: Vec<u8> = self.told_seeds();
        let draw = self.rand.rand_u64();
        let Some(machine) = self.limiters.get_mut(&limiter) else {
            return;
        };
        let (zone, incarnation) = (machine.process.zone.clone(), machine.process.incarnation);
        let now = machine.process.local(self.now);
        let Some(proxy) = machine.up.as_mut() else {
            return;
        };
        let last = proxy.sessions[index].last.map(ip);
        let seeds = seeds.into_iter().map(ip);
        let Some(core) = proxy
            .candidates
            .choose(Timestamp::from_millis(now), index, seeds, last, draw)
            .map(number)
        else {
            proxy.sessions[index].next = now + MAX_BACKOFF;
            return;
        };
        let hello = FromProxy::Hello {
            incarnation: Incarnation(u64::from(limiter) << 32 | incarnation),
            name: format!("limiter-{limiter}"),
            zone,
            resume_from: proxy.places.get(&core).map(|known| known.revision),
            instances: proxy
                .router
                .endpoints
                .known_instances(Duration::from_millis(now)),
        };
        let conn = self.connect(Machine::Limiter(limiter), Machine::Core(core));
        let Some((now, proxy)) = self.proxy(limiter) else {
            return;
        };
        let session = &mut proxy.sessions[index];
        session.last = Some(core);
        let Some(conn) = conn else {
            proxy.candidates.on_session_ended(
                Timestamp::from_millis(now),
                index,
                Confirmation::Unconfirmed,
            );
            session.next = now + CONNECT_TIMEOUT + session.pause;
            session.pause = (session.pause * 2).min(MAX_BACKOFF);
            return;
        };
        (session.conn, session.core) = (Some(conn), Some(core));
        (session.heard, session.began, session.told, session.fetching) = (now, now, false, None);
        (session.lease, session.pulse) = (SessionLease::new(Timestamp::from_millis(now)), now);
        self.send(conn, true, Frame::From(hello));
    }

    pub fn session_broken(&mut self, limiter: u8, conn: u64) {
        let part = 50 + self.below(100);
        let Some((now, proxy)) = self.proxy(limiter) else {
            return;
        };
        let Some(index) = proxy
            .sessions
            .iter()
            .position(|session| session.conn == Some(conn))
        else {
            return;
        };
        let session = &mut proxy.sessions[index];
        let now_at = Timestamp::from_millis(now);
        let confirmation = confirmation(session.lease.is_confirmed(now_at));
        proxy
            .candidates
            .on_session_ended(now_at, index, confirmation);
        (session.conn, session.core, session.told) = (None, None, false);
        if now > session.began + 2 * PROXY_LEASE_DURATION {
            session.pause = INITIAL_BACKOFF;
        }
        session.next = now + session.pause * part / 100;
        session.pause = (session.pause * 2).min(MAX_BACKOFF);
    }

    pub fn limiter_hears(&mut self, limiter: u8, conn: u64, core: u8, told: ToProxy) {
        let build = self.build.proxy;
        let Some((now, proxy)) = self.proxy(limiter) else {
            return;
        };
        let Some(index) = proxy
            .sessions
            .iter()
            .position(|session| session.conn == Some(conn))
        else {
            return;
        };
        proxy.sessions[index].heard = now;
        let begins = proxy.sessions[index].fetching.is_none();
        let mut followed = proxy.places.remove(&core);
        SyncProgress::advance(&mut followed, &told);
        let rest = followed
            .as_ref()
            .and_then(|known| known.next_part.clone())
            .filter(|_| build.parts);
        proxy.places.extend(followed.map(|known| (core, known)));
        let is_part = matches!(
            told,
            ToProxy::Snapshot { .. } | ToProxy::SnapshotPart { .. }
        );
        let goes_on = begins && matches!(told, ToProxy::Changes { .. });
        if is_part || goes_on {
            proxy.sessions[index]
                .lease
                .on_snapshot_progress(Timestamp::from_millis(now));
            // Changes go on from what this registry told in an earlier session.
            proxy.sessions[index].told |= rest.is_none() && (is_part || build.resumes);
            proxy.sessions[index].fetching = Some(rest.is_some());
        }
        let learned = match told {
            ToProxy::Snapshot {
                items, instances, ..
            }
            | ToProxy::SnapshotPart {
                items, instances, ..
            }
            | ToProxy::Changes {
                items, instances, ..
            } => proxy.learn(now, items, &instances, build.in_force),
            ToProxy::Confirmation {
                nonce,
                age,
                proxies: limiters,
                registries,
            } => {
                let session = &mut proxy.sessions[index];
                session.lease.on_answer(nonce, age);
                let confirmed =
                    age.is_some() && session.lease.is_confirmed(Timestamp::from_millis(now));
                if confirmed || build.hints {
                    let confirmation = confirmation(confirmed);
                    proxy
                        .candidates
                        .on_registries_named(registries, confirmation);
                }
                if confirmed || !build.settled {
                    proxy
                        .router
                        .set_limiter_count(Duration::from_millis(now), limiters);
                    if session.told && !proxy.configuration.is_empty() {
                        proxy.ready = true;
                    }
                }
                Ok(())
            }
        };
        if let Err(wrong) = learned {
            return self.fail(format!("limiter-{limiter}: {wrong}"));
        }
        if let Some(after) = rest.filter(|_| is_part || goes_on) {
            self.send(
                conn,
                true,
                Frame::From(FromProxy::FetchSnapshotPart { after }),
            );
        }
        self.look_at_servers(limiter);
    }

    /// A server that said that it drains, and was heard, gets nothing again in this limiter's incarnation.
    fn look_at_servers(&mut self, limiter: u8) {
        let said: Vec<String> = self
            .servers
            .values()
            .filter(|server| server.drains)
            .map(|server| server.id.clone())
            .collect();
        let Some((_, proxy)) = self.proxy(limiter) else {
            return;
        };
        for id in said {
            // One that is not known here was not told of yet, or was not heard for long.
            match proxy
                .router
                .endpoints
                .instance(&id)
                .map(|instance| instance.status)
            {
                Some(Status::Up) if proxy.held.contains(&id) => {
                    let what = format!(
                        "limiter-{limiter}: went back: {id} is usable again after its drain"
                    );
                    return self.fail(what);
                }
                Some(Status::Draining) => _ = proxy.held.insert(id),
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
            for machine in self
                .limiters
                .values_mut()
                .filter(|machine| !machine.process.frozen)
            {
                let local = Duration::from_millis(machine.process.local(now));
                let Some(proxy) = machine.up.as_mut() else {
                    continue;
                };
                for _ in 0..AT_ONCE {
                    let usable = proxy.work(id) == Availability::Available;
                    if !usable || !proxy.router.slow_start_admits(service, id, local) {
                        break;
                    }
                    proxy.router.record_send(local, id);
                    sent += 1;
                }
            }
            let Some(server) = self.servers.get_mut(name) else {
                continue;
            };
            server.sent.extend((0..sent).map(|_| now));
            while server.sent.front().is_some_and(|at| at + 1_000 <= now) {
                server.sent.pop_front();
            }
            let within = server.sent.len();
            self.ledger.cold_sent += sent;
            if within > BEARS {
                return self.fail(format!(
                    "cold server: {id} got {within} requests in a second, and bears {BEARS}"
                ));
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
