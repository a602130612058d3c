//! The program: reads the command line and the settings file, creates the parts of the registry, and runs them on one
//! thread.

use crate::commands;
use crate::connection::UnreadableFrames;
use crate::coordination_client::CoordinationClient;
use crate::host::{Host, HostIdentity};
use crate::http_api::{CallHandler, HttpServer};
use crate::inbound::InboundServer;
use crate::metrics::RegistryMetrics;
use crate::shutdown_log::ShutdownLog;
use crate::store_client::StoreClient;
use crate::store_state::StoreState;
use crate::store_subscription::StoreSubscription;
use crate::tcp::{self, ListenError};
use emberpin_membership::deployment_bounds::DeploymentBounds;
use emberpin_membership::ids::Incarnation;
use emberpin_membership::registry::{RegistryConfig, SNAPSHOT_PART_BYTES};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::logs;
use emberpin_runtime::metrics::{
    self as metrics_server, MetricSet, MetricsEndpoint, METRICS_OPTION, METRICS_OPTION_HELP,
    METRICS_OPTION_HINT,
};
use emberpin_runtime::settings::{FieldProblem, Settings, SettingsError};
use std::ffi::OsString;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// How long the process waits after SIGTERM before it exits, so that responses in flight can be written.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(250);
/// The exit status if the process could not start.
const EXIT_NOT_STARTED: u8 = 2;

/// Why the process could not start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error("cannot handle the signal {name}: {source}")]
    Signal {
        name: &'static str,
        source: io::Error,
    },
    #[error("cannot draw a random number: {0}")]
    Random(#[source] getrandom::Error),
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Runs the program with these command line arguments, which exclude the program's name.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag(
        "",
        "check",
        "check the settings file, print the bounds that control may exceed, and exit",
    );
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("", METRICS_OPTION, METRICS_OPTION_HELP, METRICS_OPTION_HINT);
    let matches = match options.parse(arguments) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return fail(&format!("{}: no such argument", matches.free[0])),
        Err(error) => return fail(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("emberpin-registry: the registry of the gateway")
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("emberpin-registry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let metrics = match matches.opt_get::<MetricsEndpoint>(METRICS_OPTION) {
        Ok(metrics) => metrics,
        Err(error) => return fail(&error.to_string()),
    };
    let (settings, ctl) = match read_settings() {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    let exceeded = deployment_bounds(&settings).exceeded();
    if matches.opt_present("check") {
        for bound in exceeded {
            println!("{bound}");
        }
        return ExitCode::SUCCESS;
    }
    logs::init(log::LevelFilter::Info);
    for bound in exceeded {
        log::warn!("bound is below the sum of delays: {bound}");
    }
    match run(&settings, ctl, metrics) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("emberpin-registry: {reason}");
    ExitCode::from(EXIT_NOT_STARTED)
}

/// Reads the settings file. Returns the settings and the address of the HTTP API, which is optional in the file but
/// required by a registry.
fn read_settings() -> Result<(Settings, SocketAddr), SettingsError> {
    let settings = Settings::from_env()?;
    let missing = || SettingsError::Field {
        file: std::env::var(emberpin_runtime::settings::SETTINGS_FILE_VARIABLE).unwrap_or_default(),
        field: "network.listen.ctl".into(),
        problem: FieldProblem::Missing,
    };
    let ctl = settings.control_address.ok_or_else(missing)?;
    Ok((settings, ctl))
}

fn deployment_bounds(settings: &Settings) -> DeploymentBounds {
    let bounds = &settings.bounds;
    DeploymentBounds {
        ack: bounds.ack_deadline,
        apply: bounds.propagation_deadline,
        drain: bounds.drain_deadline,
        evac: bounds.evacuation_deadline,
        contact: bounds.contact_period,
    }
}

/// Runs the registry on the current thread until SIGTERM.
fn run(
    settings: &Settings,
    ctl: SocketAddr,
    metrics: Option<MetricsEndpoint>,
) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    runtime.block_on(serve(settings, ctl, metrics))
}

async fn serve(
    settings: &Settings,
    ctl: SocketAddr,
    metrics: Option<MetricsEndpoint>,
) -> Result<(), StartError> {
    let mut terminate = listen_for_signal("SIGTERM", SignalKind::terminate())?;
    // Handled so that SIGHUP does not end the process. Settings are read only at the start.
    let _hangup = listen_for_signal("SIGHUP", SignalKind::hangup())?;
    let incarnation = draw_incarnation()?;
    let registry_address = SocketAddr::from((settings.ip, settings.registry_port()));
    let http_listener = tcp::listen(ctl, "ctl")?;
    let registry_listener = tcp::listen(registry_address, "registry")?;

    let (http_server, inbound_server) = start(settings, incarnation, ctl.port(), metrics)?;
    let inbound_task = tokio::spawn(inbound_server.serve(registry_listener));
    let http_task = tokio::spawn(http_server.clone().serve(http_listener));
    terminate.recv().await;
    http_task.abort();
    inbound_task.abort();
    http_server.shut_down();
    tokio::time::sleep(SHUTDOWN_GRACE).await;
    Ok(())
}

/// Creates and connects the parts of the registry. Starts those that need no listener: the event loop, the subscription
/// to stores and the metrics endpoint.
fn start(
    settings: &Settings,
    incarnation: u64,
    ctl_port: u16,
    metrics_endpoint: Option<MetricsEndpoint>,
) -> Result<(Arc<HttpServer>, Arc<InboundServer>), StartError> {
    let process =
        Arc::new(ProcessIdentity::new(incarnation).with_versions(settings.protocol_versions));
    let unreadable_frames = Arc::new(UnreadableFrames::default());
    let stores = Arc::new(StoreState::new(settings.ip, seed_ips(settings)));
    let identity = HostIdentity {
        node_name: settings.node_name.clone(),
        registry_port: settings.registry_port(),
        process: process.clone(),
        unreadable_frames: unreadable_frames.clone(),
    };
    let metric_set = MetricSet::new("emberpin_registry");
    let metrics = Arc::new(RegistryMetrics::new(&metric_set));
    let (commands, queue) = commands::queue();
    let shutdown_log =
        ShutdownLog::start(settings.data_dir.as_deref(), settings.ip, commands.clone())
            .map_err(StartError::Thread)?;
    let mut host = Host::new(
        identity,
        registry_config(settings, incarnation),
        stores.clone(),
        shutdown_log,
        commands.clone(),
        queue,
    );
    let store_port = settings.store_port();
    let store_client = Arc::new(StoreClient::new(
        process.clone(),
        store_port,
        stores.clone(),
    ));
    let coordination = settings
        .has_coordination
        .then(|| CoordinationClient::new(store_client.clone(), stores.clone()));
    StoreSubscription::new(process.clone(), store_port, stores, commands.clone()).start();
    if let Some(endpoint) = metrics_endpoint {
        host.update_gauges(metrics.clone());
        tokio::spawn(metrics_server::serve(settings.ip, endpoint, metric_set));
    }
    tokio::spawn(host.run());
    let call_handler = CallHandler::new(commands.clone(), store_client, coordination, ctl_port);
    let http_server = Arc::new(HttpServer::new(call_handler, metrics));
    let inbound_server = Arc::new(InboundServer::new(process, commands, unreadable_frames));
    Ok((http_server, inbound_server))
}

fn registry_config(settings: &Settings, incarnation: u64) -> RegistryConfig {
    let heartbeat_ms = u64::try_from(settings.heartbeat_interval.as_millis()).unwrap_or(u64::MAX);
    RegistryConfig {
        address: settings.ip,
        zone: settings.zone.clone(),
        incarnation: Incarnation(incarnation),
        heartbeat_interval: Duration::from_millis(heartbeat_ms.max(1)),
        seeds: seed_ips(settings),
        snapshot_part_bytes: SNAPSHOT_PART_BYTES,
    }
}

/// The IPv4 addresses of the seeds. Their ports, those of the HTTP API, are not used here.
fn seed_ips(settings: &Settings) -> Vec<Ipv4Addr> {
    let ipv4_address = |seed: &SocketAddr| match seed {
        SocketAddr::V4(seed) => Some(*seed.ip()),
        SocketAddr::V6(_) => None,
    };
    settings.seeds.iter().filter_map(ipv4_address).collect()
}

fn listen_for_signal(name: &'static str, kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(|source| StartError::Signal { name, source })
}

/// Draws the random incarnation number of this process.
fn draw_incarnation() -> Result<u64, StartError> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(StartError::Random)?;
    Ok(u64::from_be_bytes(bytes))
}
