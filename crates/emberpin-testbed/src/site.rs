//! One run of a scenario: starts the site, sends the load and injects the faults, shuts everything down, and checks
//! the trace. A run takes at most the scenario's length, `COMPLETION_TIME` and the time of the shutdown.

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

/// The stand-ins count as late if one of their own timers fires later than this: half of the timing tolerance of the
/// invariant checker.
const LATENESS_THRESHOLD: Duration = Duration::from_millis(25);
/// Interval of the timer that measures the lateness of the stand-ins, and of polling for the state of processes.
const TICK: Duration = Duration::from_millis(5);
/// Interval at which the limiters' resource usage is measured and progress is reported.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for pending work after the end of the load: covers the longest deadline and retries.
const COMPLETION_TIME: Duration = Duration::from_secs(6);

/// The result of a run.
pub struct Outcome {
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The trace, in order of time.
    pub events: Vec<Event>,
    /// The result of the invariant check.
    pub verdict: Verdict,
    /// Resource usage by limiter.
    pub usage: Vec<Usage>,
    /// Samples of the limiters' resource usage, in order of time.
    pub samples: Vec<Sample>,
    /// Whether the run was cut short because the trace was full.
    pub cut_short: bool,
}

/// Resource usage of the limiters at one time.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// Time since the start of the run.
    pub at: Micros,
    /// Resource usage by limiter.
    pub usage: Vec<Usage>,
}

/// The progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time since the start of the run.
    pub at: Micros,
    /// Number of arrivals started so far.
    pub started_work: usize,
    /// Number of arrivals started and not finished yet.
    pub open_work: usize,
}

/// Runs a scenario with this program as the limiters, on a new runtime.
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
        run_async(scenario.clone(), program.clone(), Rc::new(progress)),
    )
}

/// A temporary folder, deleted after the run.
struct Folder(PathBuf);

impl Folder {
    fn create(run_number: u32) -> Result<Folder, SiteError> {
        let path = std::env::temp_dir().join(format!(
            "emberpin-testbed-{}-{run_number}",
            std::process::id()
        ));
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

/// A loopback address that only this run uses, derived from the process id and the number of the run in this process.
fn loopback_host(run_number: u32) -> Ipv4Addr {
    let pid = std::process::id();
    let octet = |value: u32| (1 + value % 250) as u8;
    Ipv4Addr::new(127, octet(pid / 250), octet(pid), octet(run_number))
}

/// A running site: the stand-ins and the limiters.
struct RunningSite {
    world: Rc<World>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    peers: Rc<PeerNetwork>,
    /// The links between limiters, if the program uses them.
    links: Option<PeerLinks>,
    limiters: Vec<Rc<Limiter>>,
    /// For each limiter, a lock that is held while its process is killed, restarted or shut down, so that faults at the
    /// same limiter take turns.
    process_locks: Vec<Mutex<()>>,
    clients: Rc<Clients>,
    /// An error during the run, such as a failed restart after a fault; it ends the run.
    fatal_error: RefCell<Option<SiteError>>,
    /// Whether the site is shutting down, so that nothing is started any more.
    shutting_down: Cell<bool>,
}

async fn run_async(
    scenario: Scenario,
    program: Program,
    progress: Rc<dyn Fn(Progress)>,
) -> Result<Outcome, SiteError> {
    static NEXT_RUN_NUMBER: AtomicU32 = AtomicU32::new(1);
    let run_number = NEXT_RUN_NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = Folder::create(run_number)?;
    let running = RunningSite::start(
        scenario.clone(),
        program,
        &folder,
        loopback_host(run_number),
    )
    .await?;
    let world = &running.world;

    world.recorder.restart_clock();
    running.discovery.start_warmup();
    if scenario.site.start_together {
        start_servers(&running.servers, &running.discovery, scenario.site.cold).await?;
    }
    if scenario.site.start_together {
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
        if running.fatal_error.borrow().is_some() {
            break;
        }
    }
    load.abort();
    running.shut_down().await;
    if let Some(error) = running.fatal_error.borrow_mut().take() {
        return Err(error);
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
            zones: scenario.site.zones,
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

/// Starts all servers and adds them to the endpoint lists.
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
    /// Starts all parts of the site without any load. With `start_together`, servers and limiters are only created: the
    /// caller starts them together with the load.
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
        if !site.start_together {
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
                        limiter: target,
                        point,
                        ..
                    } if *target == number => limiter.stop_at_point(point),
                    Fault::DiskFaulty {
                        limiter: target,
                        disk_fault,
                    } if *target == number => limiter.set_disk_fault(disk_fault),
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
            fatal_error: RefCell::default(),
            shutting_down: Cell::new(false),
        });
        let started_before_load = if site.start_together {
            0
        } else {
            site.limiters
        };
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

    /// Starts a limiter. Returns `false` if a fault killed it before it was ready.
    async fn start_limiter(&self, number: usize) -> Result<bool, SiteError> {
        let limiter = &self.limiters[number];
        let peers = self
            .peers
            .addresses(number)
            .map_err(SiteError::stand_in(StandIn::PeerNetwork))?;
        let site = &self.world.scenario.site;
        let initial_list = self.discovery.initial_list(number);
        let config = limiter.config(site, self.discovery.address(number), initial_list, peers);
        Ok(limiter.start(config).await?)
    }

    /// Splits both the datagram network and the links between the limiters, or heals them.
    fn set_peer_split(&self, split: Option<NetworkSplit>) {
        self.peers.set_split(split.clone());
        if let Some(links) = &self.links {
            links.set_split(split);
        }
    }

    /// Restarts a limiter after its exit; a failure ends the run.
    async fn restart(&self, number: usize) {
        if self.shutting_down.get() {
            return;
        }
        match self.start_limiter(number).await {
            Ok(true) => self.clients.mark_up(number),
            // Killed while it started; the fault that killed it restarts it.
            Ok(false) => {}
            Err(error) => *self.fatal_error.borrow_mut() = Some(error),
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

    /// Records when the stand-ins' own timers fire late: delays observed at such times may be due to the stand-ins.
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

    /// Shuts the site down: heals the zone links, shuts the limiters down gracefully, then ends clients and servers.
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
