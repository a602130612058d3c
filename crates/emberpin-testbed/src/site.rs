//! One run: everything stood up, the load and the faults played, everything taken down, and the trace judged.
//! It is bounded whatever the scenario says: in time by its length, a run-out and an end.

use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::links::LinkNet;
use crate::needs::Needs;
use crate::peers::{PeerNet, Split};
use crate::process::{Limiter, Program, Usage};
use crate::referee::{judge, Judgement, Terms};
use crate::scenario::{Fault, Scenario, Way};
use crate::schedule::Schedule;
use crate::servers::{Server, World};
use crate::trace::{seconds, Event, Micros, Recorder, Standing, What};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, sleep_until, Instant, MissedTickBehavior};

/// The stand-ins run late if one of their own timers is late by this much: half of what the rules allow.
const LATE: Duration = Duration::from_millis(25);
const TICK: Duration = Duration::from_millis(5);
/// How often limiters are measured and progress is shown.
const SAMPLE: Duration = Duration::from_millis(500);
/// After the last arrival: the longest deadline, and retries.
const RUN_OUT: Duration = Duration::from_secs(6);
/// After its grace a drained server's process ends; so much of the drain is left to what it has.
const DRAIN_LEFT: Duration = Duration::from_millis(900);
/// A server that drains waits no longer for what it has.
const DRAIN_MOST: Duration = Duration::from_secs(4);
const SUCCESSOR: Duration = Duration::from_millis(200);

/// What a run gave.
pub struct Outcome {
    /// What was played.
    pub scenario: Scenario,
    /// All that was seen.
    pub events: Vec<Event>,
    /// What the referee says of it.
    pub judgement: Judgement,
    /// By limiter.
    pub usage: Vec<Usage>,
    /// Memory and processor time of each limiter over time.
    pub samples: Vec<Sample>,
    /// The run was cut short: it made more than can be kept.
    pub cut_short: bool,
}

/// Limiters' use at one moment.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// When.
    pub at: Micros,
    /// By limiter.
    pub usage: Vec<Usage>,
}

/// What is shown while a run goes on.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// How far it is.
    pub at: Micros,
    /// Pieces of work begun, and those not over.
    pub begun: usize,
    /// Not over yet.
    pub open: usize,
}

/// Plays a scenario with this program as the limiters, on a runtime of its own.
///
/// # Errors
///
/// What kept the site from standing up, or a limiter from starting again, in one line.
pub fn run(
    scenario: &Scenario,
    program: &Program,
    progress: impl Fn(Progress) + 'static,
) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(
        &runtime,
        play(scenario.clone(), program.clone(), Rc::new(progress)),
    )
}

/// A folder that goes with the run.
struct Folder(PathBuf);

impl Folder {
    fn make(number: u32) -> Result<Folder, String> {
        let path =
            std::env::temp_dir().join(format!("emberpin-testbed-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)
            .map_err(|e| format!("cannot make {}: {e}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that no other run on this machine uses.
fn own_host(number: u32) -> Ipv4Addr {
    let pid = std::process::id();
    let part = |value: u32| (1 + value % 250) as u8;
    Ipv4Addr::new(127, part(pid / 250), part(pid), part(number))
}

/// Everything that stands.
struct Stage {
    world: Rc<World>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    peers: Rc<PeerNet>,
    /// The links between limiters, where the program has them.
    links: Option<LinkNet>,
    limiters: Vec<Rc<Limiter>>,
    /// One fault at a time does something to a limiter's process.
    busy: Vec<Mutex<()>>,
    clients: Rc<Clients>,
    problem: RefCell<Option<String>>,
    /// Nothing is started any more.
    over: Cell<bool>,
}

async fn play(
    scenario: Scenario,
    program: Program,
    progress: Rc<dyn Fn(Progress)>,
) -> Result<Outcome, String> {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = Folder::make(number)?;
    let stage = Stage::set(scenario.clone(), program, &folder, own_host(number)).await?;
    let world = &stage.world;

    world.recorder.begin();
    stage.discovery.begin();
    if scenario.site.together {
        stand_up(&stage.servers, &stage.discovery, scenario.site.cold).await?;
    }
    if scenario.site.together {
        for number in 0..scenario.site.limiters {
            stage.clients.down(number);
            let stage = stage.clone();
            spawn_local(async move {
                let _busy = stage.busy[number].lock().await;
                stage.restart(number).await;
            });
        }
    }
    let began = Instant::from_std(world.recorder.began());
    let end = began + Duration::from_micros(scenario.length);
    let until = end + RUN_OUT;
    spawn_local(stage.clone().watch_lateness());
    for timed in scenario
        .faults
        .iter()
        .filter(|timed| timed.at < scenario.length)
        .cloned()
    {
        let stage = stage.clone();
        spawn_local(async move {
            sleep_until(began + Duration::from_micros(timed.at)).await;
            stage.bring_about(timed.fault).await;
        });
    }
    let begun = Rc::new(Cell::new(0));
    let load = spawn_local(stage.clone().load(began, until, begun.clone()));

    let mut samples = Vec::new();
    let mut ticks = interval(SAMPLE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut cut_short = false;
    loop {
        ticks.tick().await;
        let at = world.recorder.now();
        let usage = stage
            .limiters
            .iter()
            .map(|limiter| limiter.measure())
            .collect();
        samples.push(Sample { at, usage });
        progress(Progress {
            at,
            begun: begun.get(),
            open: stage.clients.open(),
        });
        cut_short = cut_short || world.recorder.is_full();
        let played = load.is_finished() && stage.clients.open() == 0;
        if (Instant::now() >= end && played) || Instant::now() >= until || cut_short {
            break;
        }
        if stage.problem.borrow().is_some() {
            break;
        }
    }
    load.abort();
    stage.end().await;
    if let Some(problem) = stage.problem.borrow_mut().take() {
        return Err(problem);
    }
    let usage = stage
        .limiters
        .iter()
        .map(|limiter| limiter.measure())
        .collect();
    let events = world.recorder.take();
    let judgement = judge(
        &events,
        Terms {
            halls: scenario.site.halls,
            keys_once: scenario.keys_once,
        },
    );
    Ok(Outcome {
        scenario,
        events,
        judgement,
        usage,
        samples,
        cut_short,
    })
}

/// Starts all servers, and lists them.
async fn stand_up(servers: &[Rc<Server>], discovery: &Discovery, cold: bool) -> Result<(), String> {
    for server in servers {
        server
            .start(cold)
            .await
            .map_err(|e| format!("server {}: {e}", server.number))?;
        discovery.list(server);
    }
    Ok(())
}

impl Stage {
    /// Stands everything up; nothing is asked yet.
    async fn set(
        scenario: Scenario,
        program: Program,
        folder: &Folder,
        host: Ipv4Addr,
    ) -> Result<Rc<Stage>, String> {
        let text = |what: &str| {
            let what = what.to_string();
            move |e: std::io::Error| format!("{what}: {e}")
        };
        Needs::of(&scenario.site, program.links).check()?;
        let schedule = Schedule::draw(&scenario);
        let (site, seed) = (scenario.site.clone(), scenario.seed);
        let recorder = Recorder::start();
        let world = World::new(recorder.clone(), scenario, schedule, host);
        let mut servers = Vec::new();
        for number in 0..site.servers {
            let server = Server::new(world.clone(), number).map_err(text("a server's port"))?;
            servers.push(server);
        }
        let discovery = Discovery::start(world.clone())
            .await
            .map_err(text("discovery"))?;
        if !site.together {
            stand_up(&servers, &discovery, site.cold).await?;
        }
        let peers = PeerNet::start(&world)
            .await
            .map_err(text("the peers' network"))?;
        let links = match program.links {
            true => Some(
                LinkNet::start(&world, site.limiters)
                    .await
                    .map_err(text("the links between limiters"))?,
            ),
            false => None,
        };
        let mut limiters = Vec::new();
        for number in 0..site.limiters {
            let mut program = program.clone();
            if let Some(links) = &links {
                let file = links
                    .write(&folder.0, number, seed)
                    .map_err(text("a limiter's link"))?;
                program
                    .arguments
                    .extend(["--with".into(), file.into_os_string()]);
            }
            let address = world.address().map_err(text("a limiter's port"))?;
            let recorder = recorder.clone();
            let limiter = Limiter::new(number, address, recorder, program, &folder.0, seed);
            for fault in &world.scenario.faults {
                match &fault.fault {
                    Fault::LimiterStops {
                        limiter: of, point, ..
                    } if *of == number => limiter.stop_at(point),
                    Fault::DiskLies { limiter: of, lie } if *of == number => limiter.lie(lie),
                    _ => {}
                }
            }
            limiters.push(limiter);
        }
        let addresses: Vec<_> = limiters.iter().map(|limiter| limiter.address).collect();
        let clients = Clients::new(world.clone(), &addresses);
        let stage = Rc::new(Stage {
            world,
            servers,
            discovery,
            peers,
            links,
            busy: limiters.iter().map(|_| Mutex::new(())).collect(),
            limiters,
            clients,
            problem: RefCell::default(),
            over: Cell::new(false),
        });
        let at_first = if site.together { 0 } else { site.limiters };
        let starting: Vec<_> = (0..at_first)
            .map(|number| {
                let stage = stage.clone();
                spawn_local(async move { stage.start_limiter(number).await })
            })
            .collect();
        for started in starting {
            started
                .await
                .map_err(|e| format!("a limiter's start: {e}"))??;
        }
        Ok(stage)
    }

    async fn start_limiter(&self, number: usize) -> Result<bool, String> {
        let limiter = &self.limiters[number];
        let peers = self
            .peers
            .addresses(number)
            .map_err(|e| format!("the peers' network: {e}"))?;
        let site = &self.world.scenario.site;
        let known = self.discovery.known(number);
        limiter
            .start(limiter.config(site, self.discovery.address(number), known, peers))
            .await
    }

    /// Splits the limiters' datagrams and links.
    fn split(&self, split: Option<Split>) {
        self.peers.split(split.clone());
        if let Some(links) = &self.links {
            links.split(split);
        }
    }

    /// Starts a limiter again after its end; a failure ends the run.
    async fn restart(&self, number: usize) {
        if self.over.get() {
            return;
        }
        match self.start_limiter(number).await {
            Ok(true) => self.clients.up(number),
            // Whoever killed it starts it again.
            Ok(false) => {}
            Err(problem) => *self.problem.borrow_mut() = Some(problem),
        }
    }

    async fn load(self: Rc<Self>, began: Instant, until: Instant, begun: Rc<Cell<usize>>) {
        for (index, arrival) in self.world.schedule.arrivals.iter().enumerate() {
            let due = began + Duration::from_micros(arrival.at);
            sleep_until(due).await;
            begun.set(index + 1);
            spawn_local(self.clients.clone().play(index, until));
        }
    }

    /// Notes whenever the stand-ins' own timers fire late: what they see then may be their own doing.
    async fn watch_lateness(self: Rc<Self>) {
        loop {
            let due = Instant::now() + TICK;
            sleep_until(due).await;
            let by = due.elapsed();
            if by > LATE {
                self.world.recorder.note(What::Late {
                    by: by.as_micros() as Micros,
                });
            }
        }
    }

    /// Takes everything down: clients first, then limiters as a planned end has it.
    async fn end(self: &Rc<Self>) {
        self.over.set(true);
        for limiter in 0..self.limiters.len() {
            self.world.links[limiter]
                .iter()
                .for_each(|link| link.set_cut(None));
        }
        let leaving: Vec<_> = (0..self.limiters.len())
            .map(|number| {
                let stage = self.clone();
                spawn_local(async move {
                    let _busy = stage.busy[number].lock().await;
                    stage.limiters[number].measure();
                    stage.limiters[number].leave().await;
                })
            })
            .collect();
        for left in leaving {
            _ = left.await;
        }
        self.clients.close();
        for server in &self.servers {
            server.kill().await;
        }
    }

    fn note(&self, name: String) {
        self.world.recorder.note(What::Fault { name });
    }

    /// Brings a fault about, and ends it.
    async fn bring_about(self: Rc<Self>, fault: Fault) {
        self.note(describe(&fault));
        let span = |length: &Micros| Duration::from_micros(*length);
        match &fault {
            Fault::LimiterKilled { limiter, back } => {
                let _busy = self.busy[*limiter].lock().await;
                self.clients.down(*limiter);
                self.limiters[*limiter].kill().await;
                sleep(span(back)).await;
                self.restart(*limiter).await;
            }
            Fault::LimiterRestarted { limiter } => {
                let _busy = self.busy[*limiter].lock().await;
                self.clients.down(*limiter);
                self.limiters[*limiter].measure();
                self.limiters[*limiter].leave().await;
                self.restart(*limiter).await;
            }
            Fault::ServerKilled { server, back } => {
                let server = &self.servers[*server];
                let Some(process) = server.process() else {
                    return;
                };
                server.kill().await;
                self.discovery
                    .withdraw(server, process.life, process.boot_ms);
                sleep(span(back)).await;
                self.start_server(server).await;
            }
            Fault::ServerReplaced { server } => self.replace(&self.servers[*server]).await,
            Fault::ServerDrained { server, length } => {
                let server = &self.servers[*server];
                self.discovery.announce(server, Standing::Draining);
                sleep(span(length)).await;
                self.discovery.announce(server, Standing::Ready);
            }
            Fault::ServerStalled { server, length } => {
                let Some(process) = self.servers[*server].process() else {
                    return;
                };
                process.stall(true);
                sleep(span(length)).await;
                process.stall(false);
            }
            Fault::ServerSpoils {
                server,
                how,
                share,
                length,
            } => {
                let Some(process) = self.servers[*server].process() else {
                    return;
                };
                process.spoil(Some((*how, *share)));
                sleep(span(length)).await;
                process.spoil(None);
            }
            Fault::ServerRefuses { server, length } => {
                let Some(process) = self.servers[*server].process() else {
                    return;
                };
                process.refuse(true);
                sleep(span(length)).await;
                process.refuse(false);
            }
            Fault::ServerMoved { server } => {
                let server = &self.servers[*server];
                let Some(process) = server.process() else {
                    return;
                };
                if let Err(e) = server.move_away().await {
                    *self.problem.borrow_mut() = Some(format!("a server's new address: {e}"));
                    return;
                }
                self.discovery.announce(server, Standing::Ready);
                sleep(self.notice() + Duration::from_secs(1)).await;
                process.leave_old_addresses();
            }
            Fault::HallLost { hall, back } => {
                let world = &self.world;
                let cut = |way| {
                    world
                        .links
                        .iter()
                        .for_each(|links| links[*hall].set_cut(way));
                };
                let lost: Vec<_> = self
                    .servers
                    .iter()
                    .filter(|server| world.hall(server.number) == *hall)
                    .collect();
                cut(Some(Way::Both));
                for server in &lost {
                    if let Some(process) = server.process() {
                        self.discovery
                            .withdraw(server, process.life, process.boot_ms);
                    }
                }
                sleep(span(back)).await;
                for server in &lost {
                    server.kill().await;
                }
                cut(None);
                for server in &lost {
                    self.start_server(server).await;
                }
            }
            Fault::LinkCut {
                limiter,
                hall,
                way,
                length,
            } => {
                let link = &self.world.links[*limiter][*hall];
                link.set_cut(Some(*way));
                sleep(span(length)).await;
                link.set_cut(None);
            }
            Fault::LinkSlow {
                limiter,
                hall,
                delay,
                length,
            } => {
                let link = &self.world.links[*limiter][*hall];
                link.set_delay(*delay);
                sleep(span(length)).await;
                link.set_delay(0);
            }
            Fault::PeersSplit { group, way, length } => {
                self.split(Some(Split {
                    group: group.clone(),
                    way: *way,
                }));
                sleep(span(length)).await;
                self.split(None);
            }
            Fault::PeersPoor {
                loss,
                delay,
                length,
            } => {
                self.peers.make_poor(*loss, span(delay));
                sleep(span(length)).await;
                self.peers.make_poor(0.0, Duration::ZERO);
            }
            Fault::DiscoverySilent { length } => {
                self.discovery.set_silent(true);
                sleep(span(length)).await;
                self.discovery.set_silent(false);
            }
            Fault::DiscoveryDead { length } => {
                self.discovery.set_dead(true);
                sleep(span(length)).await;
                self.discovery.set_dead(false);
            }
            Fault::DiscoveryTells { how, group, length } => {
                self.discovery.set_untrue(Some((*how, group.clone())));
                sleep(span(length)).await;
                self.discovery.set_untrue(None);
            }
            Fault::LimiterPaused { limiter, length } => {
                let limiter = &self.limiters[*limiter];
                limiter.pause(true);
                sleep(TICK).await;
                if !limiter.is_paused() {
                    self.note(format!("limiter {} does not stand still", limiter.number));
                }
                sleep(span(length)).await;
                limiter.pause(false);
            }
            Fault::DiskLies { limiter, lie } => {
                while !self.limiters[*limiter].lie_said().exists() {
                    if self.over.get() {
                        return;
                    }
                    sleep(TICK).await;
                }
                return self.note(format!("the disk of limiter {limiter} lies: {lie}"));
            }
            Fault::LimiterStops {
                limiter: number,
                point,
                length,
                back,
            } => {
                let limiter = &self.limiters[*number];
                while !limiter.is_paused() {
                    if self.over.get() {
                        return;
                    }
                    sleep(TICK).await;
                }
                self.note(format!("limiter {number} stands still at {point}"));
                sleep(span(length)).await;
                match back {
                    Some(back) => self.clone().kill(*number, span(back)).await,
                    None => limiter.pause(false),
                }
            }
            Fault::LimiterHungUp { limiter } => self.limiters[*limiter].hang_up(),
            Fault::CallersKilled { count, back } => {
                let mut calls = self.discovery.calls();
                let mut killing = Vec::new();
                while let (true, Some(number)) = (killing.len() < *count, calls.recv().await) {
                    killing.push(spawn_local(self.clone().kill_at_once(number, span(back))));
                }
                for killed in killing {
                    _ = killed.await;
                }
            }
            Fault::LimitersKilled { count, back } => {
                let killing: Vec<_> = (0..*count)
                    .map(|number| spawn_local(self.clone().kill(number, span(back))))
                    .collect();
                for killed in killing {
                    _ = killed.await;
                }
            }
            // Drawn into the schedule already; here they only last.
            Fault::FirmHammers { length, .. } | Fault::Rush { length, .. } => {
                sleep(span(length)).await;
            }
            Fault::FirmsHop { .. } => return,
        }
        self.note(format!("over: {}", describe(&fault)));
    }

    /// kill -9 to a limiter, which starts again after a while.
    async fn kill(self: Rc<Self>, number: usize, back: Duration) {
        let _busy = self.busy[number].lock().await;
        self.clients.down(number);
        self.limiters[number].kill().await;
        sleep(back).await;
        self.restart(number).await;
    }

    /// The same, while it may still be starting.
    async fn kill_at_once(self: Rc<Self>, number: usize, back: Duration) {
        self.clients.down(number);
        self.limiters[number].kill().await;
        self.kill(number, back).await;
    }

    /// A server is up again, cold, under whatever id it has now.
    async fn start_server(&self, server: &Rc<Server>) {
        if self.over.get() || server.process().is_some() {
            return;
        }
        match server.start(true).await {
            Ok(()) => self.discovery.announce(server, Standing::Ready),
            Err(e) => {
                *self.problem.borrow_mut() = Some(format!("server {} again: {e}", server.number));
            }
        }
    }

    /// All limiters have been told of a change after this.
    fn notice(&self) -> Duration {
        Duration::from_secs_f64(self.world.scenario.site.notice_ms[1] / 1000.0)
    }

    /// Drains a server, ends its process once that is done, and starts a successor at the same addresses.
    async fn replace(&self, server: &Rc<Server>) {
        let Some(process) = server.process() else {
            return;
        };
        self.discovery.announce(server, Standing::Draining);
        sleep(self.notice() + DRAIN_LEFT).await;
        let latest = Instant::now() + DRAIN_MOST;
        while !process.is_idle() && Instant::now() < latest {
            sleep(TICK).await;
        }
        server.kill().await;
        self.discovery
            .withdraw(server, process.life, process.boot_ms);
        server.generation.set(server.generation.get() + 1);
        sleep(SUCCESSOR).await;
        self.start_server(server).await;
    }
}

/// A fault in words.
pub fn describe(fault: &Fault) -> String {
    match fault {
        Fault::LimiterKilled { limiter, back } => {
            format!(
                "limiter {limiter} killed, back after {:.1} s",
                seconds(*back)
            )
        }
        Fault::LimiterRestarted { limiter } => format!("limiter {limiter} restarted"),
        Fault::ServerKilled { server, back } => {
            format!(
                "server {server} killed, back cold after {:.1} s",
                seconds(*back)
            )
        }
        Fault::ServerReplaced { server } => format!("server {server} replaced"),
        Fault::ServerDrained { server, .. } => format!("server {server} drained"),
        Fault::ServerStalled { server, .. } => format!("server {server} stands still"),
        Fault::ServerSpoils {
            server, how, share, ..
        } => {
            format!(
                "server {server} spoils {:.0} % of its answers: {how:?}",
                share * 100.0
            )
        }
        Fault::ServerRefuses { server, .. } => format!("server {server} refuses connections"),
        Fault::ServerMoved { server } => format!("server {server} moved to another address"),
        Fault::HallLost { hall, .. } => format!("hall {hall} lost"),
        Fault::LinkCut {
            limiter, hall, way, ..
        } => {
            format!("link of limiter {limiter} to hall {hall} cut: {way:?}")
        }
        Fault::LinkSlow {
            limiter,
            hall,
            delay,
            ..
        } => {
            format!(
                "link of limiter {limiter} to hall {hall} slower by {:.0} ms",
                seconds(*delay) * 1000.0
            )
        }
        Fault::PeersSplit { group, way, .. } => {
            format!("limiters {group:?} split from the rest: {way:?}")
        }
        Fault::PeersPoor { loss, .. } => {
            format!("{:.0} % of the peers' messages lost", loss * 100.0)
        }
        Fault::DiscoverySilent { .. } => "discovery silent".into(),
        Fault::DiscoveryDead { .. } => "the list service dead".into(),
        Fault::DiscoveryTells { how, .. } => {
            format!("the list service tells an untrue list: {how:?}")
        }
        Fault::LimiterPaused { limiter, length } => {
            format!("limiter {limiter} paused for {:.1} s", seconds(*length))
        }
        Fault::DiskLies { limiter, lie } => {
            format!("the disk of limiter {limiter} is to lie: {lie}")
        }
        Fault::LimiterStops { limiter, point, .. } => {
            format!("limiter {limiter} is to stop at {point}")
        }
        Fault::LimiterHungUp { limiter } => format!("limiter {limiter} hung up"),
        Fault::CallersKilled { count, back } => {
            format!(
                "the next {count} callers of the list service killed as they call, back after {:.1} s",
                seconds(*back)
            )
        }
        Fault::LimitersKilled { count, back } => {
            format!(
                "{count} limiters killed, back after {:.1} s",
                seconds(*back)
            )
        }
        Fault::FirmsHop { share } => format!("{:.0} % of the firms move", share * 100.0),
        Fault::FirmHammers { plan, times, .. } => {
            format!(
                "a firm of plan {} asks {times} times its quota",
                crate::figures::PLANS[*plan].name
            )
        }
        Fault::Rush { times, .. } => format!("{times} times the load"),
    }
}
