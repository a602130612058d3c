//! One run: everything stood up, the load and the faults played, everything taken down, and the trace judged.
//! It is bounded whatever the scenario says: in time by its length, a run-out and an end.

mod fault_injection;

use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::error::{SiteError, StandIn};
use crate::invariants::{check_trace, CheckOptions, Verdict};
use crate::peer_links::PeerLinks;
use crate::peers::{NetworkSplit, PeerNetwork};
use crate::process::{Limiter, Program, Usage};
use crate::resources::ResourceNeeds;
use crate::scenario::{Fault, Scenario};
use crate::schedule::Schedule;
use crate::servers::{Server, World};
use crate::trace::{Event, EventKind, Micros, Recorder};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};

/// The stand-ins run late if one of their own timers is late by this much: half of what the rules allow.
const LATENESS_THRESHOLD: Duration = Duration::from_millis(25);
const TICK: Duration = Duration::from_millis(5);
/// How often limiters are measured and progress is shown.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// After the last arrival: the longest deadline, and retries.
const COMPLETION_TIME: Duration = Duration::from_secs(6);

/// What a run gave.
pub struct Outcome {
    /// What was played.
    pub scenario: Scenario,
    /// All that was seen.
    pub events: Vec<Event>,
    /// What the referee says of it.
    pub verdict: Verdict,
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
    pub started_work: usize,
    /// Not over yet.
    pub open_work: usize,
}

/// Plays a scenario with this program as the limiters, on a runtime of its own.
///
/// # Errors
///
/// [`SiteError`], if the site did not start, or a server or limiter did not start again after a fault.
pub fn run(
    scenario: &Scenario,
    program: &Program,
    progress: impl Fn(Progress) + 'static,
) -> Result<Outcome, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(SiteError::Runtime)?;
    LocalSet::new().block_on(
        &runtime,
        play(scenario.clone(), program.clone(), Rc::new(progress)),
    )
}

/// A folder that goes with the run.
struct Folder(PathBuf);

impl Folder {
    fn make(number: u32) -> Result<Folder, SiteError> {
        let path =
            std::env::temp_dir().join(format!("emberpin-testbed-{}-{number}", std::process::id()));
        match std::fs::create_dir_all(&path) {
            Ok(()) => Ok(Folder(path)),
            Err(source) => Err(SiteError::Folder { path, source }),
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that no other run on this machine uses.
fn loopback_host(number: u32) -> Ipv4Addr {
    let pid = std::process::id();
    let part = |value: u32| (1 + value % 250) as u8;
    Ipv4Addr::new(127, part(pid / 250), part(pid), part(number))
}

/// Everything that stands.
struct RunningSite {
    world: Rc<World>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    peers: Rc<PeerNetwork>,
    /// The links between limiters, where the program has them.
    links: Option<PeerLinks>,
    limiters: Vec<Rc<Limiter>>,
    /// One fault at a time does something to a limiter's process.
    process_locks: Vec<Mutex<()>>,
    clients: Rc<Clients>,
    /// What a fault left that could not be started again; it ends the run.
    problem: RefCell<Option<SiteError>>,
    /// Nothing is started any more.
    shutting_down: Cell<bool>,
}

async fn play(
    scenario: Scenario,
    program: Program,
    progress: Rc<dyn Fn(Progress)>,
) -> Result<Outcome, SiteError> {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = Folder::make(number)?;
    let running =
        RunningSite::start(scenario.clone(), program, &folder, loopback_host(number)).await?;
    let world = &running.world;

    world.recorder.restart_clock();
    running.discovery.start_warmup();
    if scenario.site.together {
        start_servers(&running.servers, &running.discovery, scenario.site.cold).await?;
    }
    if scenario.site.together {
        for number in 0..scenario.site.limiters {
            running.clients.mark_down(number);
            let running = running.clone();
            spawn_local(async move {
                let _lock = running.process_locks[number].lock().await;
                running.restart(number).await;
            });
        }
    }
    let started = Instant::from_std(world.recorder.started());
    let end = started + Duration::from_micros(scenario.length);
    let deadline = end + COMPLETION_TIME;
    spawn_local(running.clone().record_lateness());
    for timed in scenario
        .faults
        .iter()
        .filter(|timed| timed.at < scenario.length)
        .cloned()
    {
        let running = running.clone();
        spawn_local(async move {
            sleep_until(started + Duration::from_micros(timed.at)).await;
            running.inject(timed.fault).await;
        });
    }
    let started_work = Rc::new(Cell::new(0));
    let load = spawn_local(
        running
            .clone()
            .send_load(started, deadline, started_work.clone()),
    );

    let mut samples = Vec::new();
    let mut ticks = interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut cut_short = false;
    loop {
        ticks.tick().await;
        let at = world.recorder.now();
        let usage = running
            .limiters
            .iter()
            .map(|limiter| limiter.measure())
            .collect();
        samples.push(Sample { at, usage });
        progress(Progress {
            at,
            started_work: started_work.get(),
            open_work: running.clients.open_work(),
        });
        cut_short = cut_short || world.recorder.is_full();
        let finished = load.is_finished() && running.clients.open_work() == 0;
        if (Instant::now() >= end && finished) || Instant::now() >= deadline || cut_short {
            break;
        }
        if running.problem.borrow().is_some() {
            break;
        }
    }
    load.abort();
    running.shut_down().await;
    if let Some(problem) = running.problem.borrow_mut().take() {
        return Err(problem);
    }
    let usage = running
        .limiters
        .iter()
        .map(|limiter| limiter.measure())
        .collect();
    let events = world.recorder.take_events();
    let verdict = check_trace(
        &events,
        CheckOptions {
            zones: scenario.site.halls,
            check_repeated_effects_per_key: scenario.check_repeated_effects_per_key,
        },
    );
    Ok(Outcome {
        scenario,
        events,
        verdict,
        usage,
        samples,
        cut_short,
    })
}

/// Starts all servers, and lists them.
async fn start_servers(
    servers: &[Rc<Server>],
    discovery: &Discovery,
    cold: bool,
) -> Result<(), SiteError> {
    for server in servers {
        server
            .start(cold)
            .await
            .map_err(SiteError::stand_in(StandIn::Server(server.number)))?;
        discovery.preload(server);
    }
    Ok(())
}

impl RunningSite {
    /// Stands everything up; nothing is asked yet.
    async fn start(
        scenario: Scenario,
        program: Program,
        folder: &Folder,
        host: Ipv4Addr,
    ) -> Result<Rc<RunningSite>, SiteError> {
        ResourceNeeds::for_site(&scenario.site, program.links).check()?;
        let schedule = Schedule::draw(&scenario);
        let (site, seed) = (scenario.site.clone(), scenario.seed);
        let recorder = Recorder::start();
        let world = World::new(recorder.clone(), scenario, schedule, host);
        let mut servers = Vec::new();
        for number in 0..site.servers {
            let server = Server::new(world.clone(), number)
                .map_err(SiteError::stand_in(StandIn::ServerPort))?;
            servers.push(server);
        }
        let discovery = Discovery::start(world.clone())
            .await
            .map_err(SiteError::stand_in(StandIn::Discovery))?;
        if !site.together {
            start_servers(&servers, &discovery, site.cold).await?;
        }
        let peers = PeerNetwork::start(&world)
            .await
            .map_err(SiteError::stand_in(StandIn::PeerNetwork))?;
        let links = match program.links {
            true => Some(
                PeerLinks::start(&world, site.limiters)
                    .await
                    .map_err(SiteError::stand_in(StandIn::LinkNetwork))?,
            ),
            false => None,
        };
        let mut limiters = Vec::new();
        for number in 0..site.limiters {
            let mut program = program.clone();
            if let Some(links) = &links {
                let file = links
                    .write_operator_file(&folder.0, number, seed)
                    .map_err(SiteError::stand_in(StandIn::LinkFile))?;
                program
                    .arguments
                    .extend(["--with".into(), file.into_os_string()]);
            }
            let address = world
                .address()
                .map_err(SiteError::stand_in(StandIn::LimiterPort))?;
            let recorder = recorder.clone();
            let limiter = Limiter::new(number, address, recorder, program, &folder.0, seed);
            for fault in &world.scenario.faults {
                match &fault.fault {
                    Fault::LimiterStopsAtPoint {
                        limiter: of, point, ..
                    } if *of == number => limiter.stop_at_point(point),
                    Fault::DiskFaulty {
                        limiter: of,
                        disk_fault,
                    } if *of == number => limiter.set_disk_fault(disk_fault),
                    _ => {}
                }
            }
            limiters.push(limiter);
        }
        let addresses: Vec<_> = limiters.iter().map(|limiter| limiter.address).collect();
        let clients = Clients::new(world.clone(), &addresses);
        let running = Rc::new(RunningSite {
            world,
            servers,
            discovery,
            peers,
            links,
            process_locks: limiters.iter().map(|_| Mutex::new(())).collect(),
            limiters,
            clients,
            problem: RefCell::default(),
            shutting_down: Cell::new(false),
        });
        let started_before_load = if site.together { 0 } else { site.limiters };
        let starting: Vec<_> = (0..started_before_load)
            .map(|number| {
                let running = running.clone();
                spawn_local(async move { running.start_limiter(number).await })
            })
            .collect();
        for started in starting {
            started.await??;
        }
        Ok(running)
    }

    async fn start_limiter(&self, number: usize) -> Result<bool, SiteError> {
        let limiter = &self.limiters[number];
        let peers = self
            .peers
            .addresses(number)
            .map_err(SiteError::stand_in(StandIn::PeerNetwork))?;
        let site = &self.world.scenario.site;
        let known = self.discovery.initial_list(number);
        let config = limiter.config(site, self.discovery.address(number), known, peers);
        Ok(limiter.start(config).await?)
    }

    /// Splits the limiters' datagrams and links.
    fn set_peer_split(&self, split: Option<NetworkSplit>) {
        self.peers.set_split(split.clone());
        if let Some(links) = &self.links {
            links.set_split(split);
        }
    }

    /// Starts a limiter again after its end; a failure ends the run.
    async fn restart(&self, number: usize) {
        if self.shutting_down.get() {
            return;
        }
        match self.start_limiter(number).await {
            Ok(true) => self.clients.mark_up(number),
            // Whoever killed it starts it again.
            Ok(false) => {}
            Err(problem) => *self.problem.borrow_mut() = Some(problem),
        }
    }

    async fn send_load(
        self: Rc<Self>,
        started: Instant,
        deadline: Instant,
        started_work: Rc<Cell<usize>>,
    ) {
        for (index, arrival) in self.world.schedule.arrivals.iter().enumerate() {
            let due = started + Duration::from_micros(arrival.at);
            sleep_until(due).await;
            started_work.set(index + 1);
            spawn_local(self.clients.clone().run_arrival(index, deadline));
        }
    }

    /// Notes whenever the stand-ins' own timers fire late: what they see then may be their own doing.
    async fn record_lateness(self: Rc<Self>) {
        loop {
            let due = Instant::now() + TICK;
            sleep_until(due).await;
            let delay = due.elapsed();
            if delay > LATENESS_THRESHOLD {
                self.world.recorder.record(EventKind::StandInsLate {
                    delay: delay.as_micros() as Micros,
                });
            }
        }
    }

    /// Takes everything down: clients first, then limiters as a planned end has it.
    async fn shut_down(self: &Rc<Self>) {
        self.shutting_down.set(true);
        for limiter in 0..self.limiters.len() {
            self.world.links[limiter]
                .iter()
                .for_each(|link| link.set_cut(None));
        }
        let shutdowns: Vec<_> = (0..self.limiters.len())
            .map(|number| {
                let running = self.clone();
                spawn_local(async move {
                    let _lock = running.process_locks[number].lock().await;
                    running.limiters[number].measure();
                    running.limiters[number].shut_down().await;
                })
            })
            .collect();
        for shutdown in shutdowns {
            _ = shutdown.await;
        }
        self.clients.close_idle_connections();
        for server in &self.servers {
            server.kill().await;
        }
    }

    fn record_fault(&self, name: String) {
        self.world.recorder.record(EventKind::Fault { name });
    }
}
