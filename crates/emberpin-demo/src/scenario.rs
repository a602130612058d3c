//! Runs the demonstration: starts the deployment and the stand-ins, sends traffic, injects the events and builds the
//! report.

use crate::clients::Clients;
use crate::configuration::{CHARTS_SERVICE, LEDGER_SERVICE, SERVICES};
use crate::deployment::{Bounds, Deployment, ZONES};
use crate::election::{self, Candidate, CANDIDATES};
use crate::error::DemoError;
use crate::gateway::Gateway;
use crate::http;
use crate::operator::Operator;
use crate::record::Recorder;
use crate::report::Report;
use crate::routes::ROUTES;
use crate::server::{ServerGroup, StartState};
use crate::server_pool::{ServerPool, SERVERS_PER_GROUP};
use crate::timeline::Timeline;
use hyper::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout};

/// The maximum time for a change to come into force, and for a restarted core machine to respond. After it the report
/// states that this did not happen.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a restarted core machine is checked for a response.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time-out of each of these checks.
const RECOVERY_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The index of the core machine that is killed and restarted.
const KILLED_CORE: usize = 1;
/// The zone that is evacuated.
const EVACUATED_ZONE: &str = ZONES[2];
/// The group in which a server crashes and another one starts.
const CRASH_GROUP: ServerGroup = ServerGroup {
    service: CHARTS_SERVICE,
    zone: ZONES[0],
};
/// The group in which a server shuts down gracefully.
const SHUTDOWN_GROUP: ServerGroup = ServerGroup {
    service: LEDGER_SERVICE,
    zone: ZONES[0],
};

/// The times of the events, as fractions of the time in which clients send requests.
mod schedule {
    pub const EVACUATION_BEGIN: f64 = 0.15;
    pub const GRACEFUL_SHUTDOWN: f64 = 0.3;
    pub const CONFIGURATION_CHANGE: f64 = 0.4;
    pub const CORE_KILL: f64 = 0.5;
    pub const SERVER_CRASH: f64 = 0.55;
    pub const CORE_RESTART: f64 = 0.65;
    pub const SERVER_START: f64 = 0.75;
    pub const EVACUATION_FINISH: f64 = 0.85;
}

/// The options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// The time for which clients send requests.
    pub duration: Duration,
    /// The seed of the random numbers of all stand-ins.
    pub seed: u64,
    /// The number of edges.
    pub edges: usize,
    /// Whether the folder with settings, disks and logs is kept after the run.
    pub keep_folder: bool,
}

/// Runs the demonstration to its end, or until SIGINT or SIGTERM is received.
///
/// # Errors
///
/// [`DemoError`] if the deployment cannot be started, or if the run is interrupted. Its processes have been killed by
/// then.
pub fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(DemoError::system("runtime"))?;
    runtime.block_on(async {
        // Installed before the first process starts, so that a signal cannot leave processes behind.
        let mut terminate =
            signal(SignalKind::terminate()).map_err(DemoError::system("SIGTERM"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(DemoError::system("SIGINT"))?;
        // Dropping the scenario kills all processes.
        tokio::select! {
            report = run_to_end(options) => report,
            _ = interrupt.recv() => Err(DemoError::Interrupted),
            _ = terminate.recv() => Err(DemoError::Interrupted),
        }
    })
}

async fn run_to_end(options: &DemoOptions) -> Result<Report, DemoError> {
    let mut scenario = Scenario::start(options).await?;
    let timeline = scenario.send_traffic_and_inject_events().await?;
    Ok(scenario.report(&timeline))
}

/// The gateway and all stand-ins of a run.
struct Scenario<'a> {
    options: &'a DemoOptions,
    gateway: Gateway,
    servers: ServerPool,
    operator: Operator,
    clients: Arc<Clients>,
    recorder: Recorder,
    /// When all edges were ready, on the recorder's clock.
    ready_at: Duration,
    /// When clients began to send requests.
    traffic_started_at: Instant,
}

/// The injected events of a run. Those with a task handle may still be in progress.
struct InjectedEvents {
    evacuation_acknowledged_at: Option<Duration>,
    graceful_shutdown: JoinHandle<bool>,
    change_acknowledged_at: Option<Duration>,
    change_in_force: JoinHandle<Result<Duration, Elapsed>>,
    core_killed_at: Duration,
    server_crashed_at: Duration,
    core_restarted_at: Duration,
    core_recovery: JoinHandle<Result<Duration, Elapsed>>,
    evacuation_finished_at: Duration,
}

impl<'a> Scenario<'a> {
    /// Starts the gateway and the stand-ins, and waits until all edges are ready.
    async fn start(options: &'a DemoOptions) -> Result<Scenario<'a>, DemoError> {
        let deployment = Deployment::with_free_ports(options.edges)?;
        let folder = temporary_folder(options)?;
        let registries = deployment.ctl_addresses();
        let recorder = Recorder::default();
        let clients = Clients::new(&deployment, options.seed, &recorder);
        let bounds = Bounds::for_run(options.duration);
        let mut gateway = Gateway::start(deployment, folder, bounds)?;
        let servers = ServerPool::start(registries.clone(), options.seed, recorder.clone()).await?;
        let operator = Operator::new(registries, recorder.clone());
        gateway
            .wait_for(
                "no configuration was taken",
                operator.send_first_configuration(),
            )
            .await?;
        gateway
            .wait_for(
                "not every edge was ready",
                clients.wait_until_edges_are_ready(),
            )
            .await?;
        Ok(Scenario {
            options,
            gateway,
            servers,
            operator,
            clients,
            ready_at: recorder.now(),
            recorder,
            traffic_started_at: Instant::now(),
        })
    }

    /// Sends traffic for the whole run and injects the events meanwhile. Reads the configuration back at the end.
    async fn send_traffic_and_inject_events(&mut self) -> Result<Timeline, DemoError> {
        let mut probes = JoinSet::new();
        probes.spawn(self.clients.clone().probe_edges());
        let mut traffic = JoinSet::new();
        let end = self.traffic_started_at + self.options.duration;
        for route in &ROUTES {
            traffic.spawn(self.clients.clone().send_requests(route, end));
        }
        for index in 0..CANDIDATES.len() {
            traffic.spawn(self.candidate(index).run(end));
        }
        let events = self.inject_events().await?;
        while traffic.join_next().await.is_some() {}
        let timeline = self.finish_events(events).await;
        self.operator.read_back().await;
        self.recorder.lock().exited_processes = self.gateway.exited_processes();
        Ok(timeline)
    }

    /// Creates a candidate of the election. It calls the registry of the same index first, so that the second candidate
    /// calls the core machine that is killed.
    fn candidate(&self, index: usize) -> Candidate {
        let registries = self.gateway.deployment().ctl_addresses();
        Candidate::new(index, registries, self.options.seed, self.recorder.clone())
    }

    /// Injects the events at their times.
    async fn inject_events(&mut self) -> Result<InjectedEvents, DemoError> {
        self.sleep_until(schedule::EVACUATION_BEGIN).await;
        let bound = self.gateway.bounds().evacuation;
        let evacuation_acknowledged_at =
            self.operator.begin_evacuation(EVACUATED_ZONE, bound).await;

        self.sleep_until(schedule::GRACEFUL_SHUTDOWN).await;
        let graceful_shutdown = self.begin_graceful_shutdown();

        self.sleep_until(schedule::CONFIGURATION_CHANGE).await;
        let in_force = self.clients.clone().wait_until_change_is_in_force();
        let change_in_force = tokio::spawn(timeout(CONVERGENCE_TIMEOUT, in_force));
        let change_acknowledged_at = self.operator.change_configuration().await;

        self.sleep_until(schedule::CORE_KILL).await;
        let core_killed_at = self.recorder.now();
        self.gateway.kill_core(KILLED_CORE);

        self.sleep_until(schedule::SERVER_CRASH).await;
        let server_crashed_at = self.recorder.now();
        drop(self.servers.remove(CRASH_GROUP));

        self.sleep_until(schedule::CORE_RESTART).await;
        let core_restarted_at = self.recorder.now();
        self.gateway.restart_core(KILLED_CORE)?;
        let registry = self.gateway.deployment().ctl_addresses()[KILLED_CORE];
        let recovery = wait_until_configuration_is_returned(registry, self.recorder.clone());
        let core_recovery = tokio::spawn(timeout(CONVERGENCE_TIMEOUT, recovery));

        self.sleep_until(schedule::SERVER_START).await;
        self.servers
            .start_server(CRASH_GROUP, SERVERS_PER_GROUP, StartState::WarmingUp)
            .await?;

        self.sleep_until(schedule::EVACUATION_FINISH).await;
        let evacuation_finished_at = self.operator.finish_evacuation(EVACUATED_ZONE).await;

        Ok(InjectedEvents {
            evacuation_acknowledged_at,
            graceful_shutdown,
            change_acknowledged_at,
            change_in_force,
            core_killed_at,
            server_crashed_at,
            core_restarted_at,
            core_recovery,
            evacuation_finished_at,
        })
    }

    /// Waits for the events that are still in progress.
    async fn finish_events(&self, events: InjectedEvents) -> Timeline {
        let change_in_force = events.change_in_force.await;
        let core_recovery = events.core_recovery.await;
        let graceful_shutdown = events.graceful_shutdown.await;
        Timeline {
            ready_at: self.ready_at,
            change_acknowledged_at: events.change_acknowledged_at,
            change_in_force_at: change_in_force.ok().and_then(Result::ok),
            change_timeout: CONVERGENCE_TIMEOUT,
            evacuated_zone: EVACUATED_ZONE,
            evacuation_acknowledged_at: events.evacuation_acknowledged_at,
            evacuation_finished_at: events.evacuation_finished_at,
            bounds: self.gateway.bounds(),
            killed_core: self.gateway.deployment().core[KILLED_CORE].ip,
            core_killed_at: events.core_killed_at,
            core_restarted_at: events.core_restarted_at,
            core_recovered_at: core_recovery.ok().and_then(Result::ok),
            server_crashed_at: events.server_crashed_at,
            graceful_shutdown_acknowledged: graceful_shutdown.unwrap_or(false),
        }
    }

    /// Shuts a server down gracefully in the background. The task returns whether the registries acknowledged both the
    /// drain and the leave announcement.
    fn begin_graceful_shutdown(&mut self) -> JoinHandle<bool> {
        let server = self.servers.remove(SHUTDOWN_GROUP);
        let drain_bound = self.gateway.bounds().drain;
        tokio::spawn(async move {
            match server {
                Some(server) => server.shut_down(drain_bound).await,
                None => false,
            }
        })
    }

    /// Sleeps until this fraction of the run has passed.
    async fn sleep_until(&self, fraction: f64) {
        let time = self.traffic_started_at + self.options.duration.mul_f64(fraction);
        sleep_until(time.into()).await;
    }

    fn report(&self, timeline: &Timeline) -> Report {
        let mut events = timeline.lines();
        events.push(election::summary(&self.recorder.lock().leader_terms));
        if self.options.keep_folder {
            events.push(format!("folder: {}", self.gateway.folder().display()));
        }
        Report::from_record(self.title(), events, &self.recorder.lock())
    }

    fn title(&self) -> String {
        format!(
            "emberpin-demo: {} core machines, {} edges, {} servers in {} zones, {} s, seed {}",
            self.gateway.deployment().core.len(),
            self.options.edges,
            SERVICES.len() * ZONES.len() * SERVERS_PER_GROUP,
            ZONES.len(),
            self.options.duration.as_secs_f64(),
            self.options.seed
        )
    }
}

fn temporary_folder(options: &DemoOptions) -> Result<TempDir, DemoError> {
    tempfile::Builder::new()
        .prefix("emberpin-demo-")
        .disable_cleanup(options.keep_folder)
        .tempdir()
        .map_err(DemoError::system("a temporary folder"))
}

/// Waits until a registry returns the configuration; the result is that time on the recorder's clock.
async fn wait_until_configuration_is_returned(
    registry: SocketAddr,
    recorder: Recorder,
) -> Duration {
    loop {
        let (path, body) = ("/config/get", String::new());
        let response = http::call(registry, Method::GET, path, body, RECOVERY_CALL_TIMEOUT).await;
        if response.is_some_and(|response| response.status == 200) {
            return recorder.now();
        }
        sleep(RECOVERY_POLL_INTERVAL).await;
    }
}
