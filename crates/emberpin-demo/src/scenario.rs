//! One run: sets the deployment up, lets things happen, and has the books judged.

use crate::clients::{Clients, ROUTES};
use crate::http;
use crate::machines::{Bounds, DemoError, Deployment, Machine, Process, Role, ZONES};
use crate::operator::{Operator, SERVICES};
use crate::record::Recorder;
use crate::report::{millis, Report};
use crate::servers::Server;
use hyper::Method;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until, timeout};

/// Servers of each service in each zone.
const SERVERS: usize = 2;
/// Far longer than it takes to stand up; only a failure waits for it.
const STANDS: Duration = Duration::from_secs(30);
/// What must be in force or back by then is asked for no longer.
const SETTLES: Duration = Duration::from_secs(10);
/// How often it is looked whether processes still run, and whether a machine is back.
const LOOKS: Duration = Duration::from_millis(20);
/// The core machine that is killed, the zone that is evacuated, the one where a server crashes and leaves.
const KILLED: usize = 1;
const EVACUATED: &str = ZONES[2];
const CRASHES: &str = ZONES[0];
/// The bounds, where a run is long enough for them, and else these parts of it.
const DRAIN: (f64, f64) = (2.5, 0.25);
const EVAC: (f64, f64) = (5.0, 0.5);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// How long clients send.
    pub seconds: f64,
    /// What the stand-ins draw from.
    pub seed: u64,
    /// How many edges.
    pub edges: usize,
    /// The folder stays.
    pub keep: bool,
}

/// Plays it.
///
/// # Errors
///
/// [`DemoError`].
pub fn run(plan: &DemoOptions) -> Result<Report, DemoError> {
    let system = |what| move |e| DemoError::System(what, e);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.map_err(system("runtime"))?.block_on(async {
        // Before the first process is there.
        let mut term = signal(SignalKind::terminate()).map_err(system("SIGTERM"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(system("SIGINT"))?;
        // All processes end as the run is dropped.
        tokio::select! {
            played = run_until_end(plan) => played,
            _ = interrupt.recv() => Err(DemoError::Interrupted),
            _ = term.recv() => Err(DemoError::Interrupted),
        }
    })
}

/// The processes of the gateway.
struct GatewayProcesses<'a> {
    deployment: &'a Deployment,
    folder: &'a Path,
    bounds: Bounds,
    core: Vec<Vec<Process>>,
    edges: Vec<Process>,
}

impl GatewayProcesses<'_> {
    fn start(&self, role: Role, place: Machine, bootstrap: bool) -> Result<Process, DemoError> {
        Process::start(
            self.deployment,
            role,
            place,
            self.folder,
            bootstrap,
            self.bounds,
        )
    }

    fn start_core(&self, place: Machine, bootstrap: bool) -> Result<Vec<Process>, DemoError> {
        [Role::Store, Role::Registry]
            .into_iter()
            .map(|role| self.start(role, place, bootstrap))
            .collect()
    }

    /// Those that have ended by themselves.
    fn ended(&mut self) -> Vec<String> {
        self.core
            .iter_mut()
            .flatten()
            .chain(&mut self.edges)
            .filter_map(Process::ended)
            .collect()
    }

    /// Waits for something without which nothing can be played.
    async fn stands<T>(
        &mut self,
        what: &str,
        waited: impl Future<Output = T>,
    ) -> Result<T, DemoError> {
        let mut looks = interval(LOOKS);
        let waited = timeout(STANDS, waited);
        tokio::pin!(waited);
        loop {
            tokio::select! {
                done = &mut waited => return done.map_err(|_| DemoError::Late(what.into(), STANDS)),
                _ = looks.tick() => if let Some(ended) = self.ended().pop() {
                    return Err(DemoError::ProcessExited(ended));
                },
            }
        }
    }
}

async fn run_until_end(plan: &DemoOptions) -> Result<Report, DemoError> {
    let deployment = Deployment::find(plan.edges)?;
    let folder = tempfile::Builder::new()
        .prefix("emberpin-demo-")
        .disable_cleanup(plan.keep)
        .tempdir();
    // Dropped after the processes that have their disks in it.
    let folder = folder.map_err(|e| DemoError::System("a temporary folder", e))?;
    let part = |(most, part): (f64, f64)| Duration::from_secs_f64(most.min(plan.seconds * part));
    let bounds = Bounds {
        drain: part(DRAIN),
        evac: part(EVAC),
    };
    let recorder = Recorder::default();
    let (mut core, mut edges) = (Vec::new(), Vec::new());
    let mut fleet = GatewayProcesses {
        deployment: &deployment,
        folder: folder.path(),
        bounds,
        core: vec![],
        edges: vec![],
    };
    for place in &deployment.core {
        core.push(fleet.start_core(*place, true)?);
    }
    for place in &deployment.edges {
        edges.push(fleet.start(Role::Proxy, *place, true)?);
    }
    (fleet.core, fleet.edges) = (core, edges);

    let ctl = deployment.ctl();
    let server = |service, zone, number: usize, is_cold| {
        let id = format!("{service}-{zone}-{number}");
        let seed = plan
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(id.bytes().map(u64::from).sum());
        let (ctl, recorder) = (&ctl, &recorder);
        async move {
            let started = Server::start((service, zone), id, is_cold, ctl, seed, recorder).await;
            started.map_err(|e| DemoError::System("a stand-in server", e))
        }
    };
    let mut servers = Vec::new();
    for (service, zone) in SERVICES
        .into_iter()
        .flat_map(|service| ZONES.map(|zone| (service, zone)))
    {
        for number in 0..SERVERS {
            servers.push(((service, zone), server(service, zone, number, false).await?));
        }
    }
    let operator = Operator::new(ctl.clone(), recorder.clone());
    let clients = Clients::new(&deployment, plan.seed, &recorder);
    fleet
        .stands("no configuration was taken", operator.begin())
        .await?;
    fleet
        .stands("not every edge was ready", clients.all_ready())
        .await?;
    let stood = recorder.now();

    let began = Instant::now();
    let at = |part: f64| sleep_until((began + Duration::from_secs_f64(plan.seconds * part)).into());
    let mut happened = vec![format!(
        "up: every edge was ready {:.1} s after the start",
        stood.as_secs_f64()
    )];
    let mut background = JoinSet::new();
    background.spawn(clients.clone().probe());
    let mut traffic = JoinSet::new();
    for route in &ROUTES {
        let until = began + Duration::from_secs_f64(plan.seconds);
        traffic.spawn(clients.clone().send(route, until));
    }

    at(0.15).await;
    let evacuated = operator.evacuate(EVACUATED, bounds.evac).await;

    at(0.3).await;
    let leaves = take(&mut servers, (SERVICES[1], CRASHES));
    let leaving = tokio::spawn(async move {
        match leaves {
            Some(server) => server.leave(bounds.drain).await,
            None => false,
        }
    });

    at(0.4).await;
    let in_force = tokio::spawn(timeout(SETTLES, clients.clone().in_force()));
    let changed = operator.change().await;

    at(0.5).await;
    let killed = recorder.now();
    fleet.core[KILLED].clear();

    at(0.55).await;
    let crashed = recorder.now();
    drop(take(&mut servers, (SERVICES[0], CRASHES)));

    at(0.65).await;
    let back = recorder.now();
    fleet.core[KILLED] = fleet.start_core(deployment.core[KILLED], false)?;
    let answers = tokio::spawn(timeout(SETTLES, answers(ctl[KILLED], recorder.clone())));

    at(0.75).await;
    let restarted = server(SERVICES[0], CRASHES, SERVERS, true).await?;
    servers.push(((SERVICES[0], CRASHES), restarted));

    at(0.85).await;
    let taken_back = operator.take_back(EVACUATED).await;

    while traffic.join_next().await.is_some() {}
    let in_force = in_force.await.ok().and_then(Result::ok);
    let answered = answers.await.ok().and_then(Result::ok);
    let left = leaving.await.unwrap_or(false);
    operator.read_back().await;
    let ended = fleet.ended();
    let mut record = recorder.lock();
    record.exited_processes = ended;

    let span = |from: Duration, to: Duration| millis(to.saturating_sub(from));
    let on = |time: Duration| format!("{:.1} s", time.saturating_sub(stood).as_secs_f64());
    happened.push(match (changed, in_force) {
        (Some(changed), Some(in_force)) => {
            format!(
                "change: in force at every edge {} after its acknowledgement",
                span(changed, in_force)
            )
        }
        (None, _) => "change: not acknowledged".into(),
        (_, None) => format!("change: not in force at every edge within {SETTLES:?}"),
    });
    if let Some(evacuated) = evacuated {
        let watched = taken_back.saturating_sub(evacuated + bounds.evac);
        happened.push(format!(
            "evacuation: {EVACUATED} from {} to {}, nothing may reach it after {:.1} s: watched for {:.1} s",
            on(evacuated),
            on(taken_back),
            bounds.evac.as_secs_f64(),
            watched.as_secs_f64(),
        ));
    }
    let answered = answered.map_or("did not answer again".into(), |at| {
        format!("answered {} later", span(back, at))
    });
    let ip = deployment.core[KILLED].ip;
    happened.push(format!(
        "core: {ip} killed at {}, started at {}, {answered}",
        on(killed),
        on(back)
    ));
    let left = if left {
        "drained and left"
    } else {
        "left, not acknowledged"
    };
    happened.push(format!(
        "servers: one crashed at {}, one {left}",
        on(crashed)
    ));
    if plan.keep {
        happened.push(format!("folder: {}", folder.path().display()));
    }
    let played = format!(
        "emberpin-demo: {} core machines, {} edges, {} servers in {} zones, {} s, seed {}",
        deployment.core.len(),
        plan.edges,
        SERVICES.len() * ZONES.len() * SERVERS,
        ZONES.len(),
        plan.seconds,
        plan.seed
    );
    Ok(Report::of(played, happened, &record))
}

/// Takes one of these servers out.
fn take(
    servers: &mut Vec<((&'static str, &'static str), Server)>,
    of: (&'static str, &'static str),
) -> Option<Server> {
    let at = servers.iter().position(|(place, _)| *place == of)?;
    Some(servers.remove(at).1)
}

/// When a machine reads the configuration out again.
async fn answers(ctl: SocketAddr, recorder: Recorder) -> Duration {
    loop {
        let answer = http::call(
            ctl,
            Method::GET,
            "/config/get",
            String::new(),
            Duration::from_secs(1),
        )
        .await;
        if answer.is_some_and(|answer| answer.status == 200) {
            return recorder.now();
        }
        sleep(LOOKS).await;
    }
}
