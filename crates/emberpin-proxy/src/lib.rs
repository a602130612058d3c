//! The gateway's proxy: forwards clients' requests to the servers of their services.
//!
//! It makes no decision of its own. `emberpin-routing` decides which service a request is for. `emberpin-balancer`
//! decides which of the service's servers gets it, whether it is retried and when load is shed; each service has an
//! instance of it, called its decision module. Sockets are handled by the limiter's library (`emberpin_limiter::host`),
//! with the gateway's headers.
//!
//! ```text
//! client ─ client listener ─ frontend ─ controller (routes, endpoints, retry budget, services) ─ pool ─ server
//!                                     │
//!                                 registry sessions ─ two registries
//! ```
//!
//! Everything runs on one thread. This file composes the parts of the proxy, each of which is a module.
#![forbid(unsafe_code)]

mod command;
mod connection_pool;
mod controller;
mod error;
mod frontend;
mod listener;
mod metrics;
pub mod program;
mod published_state;
mod random_seed;
mod registry_sessions;
pub mod service;
mod shutdown;
pub mod wire;

use connection_pool::{start_pool, ConnectionBudget};
use controller::Controller;
use emberpin_limiter::host::{ClientLimits, ClientListener, LimiterMetrics, Phase, SocketBudget};
use emberpin_runtime::metrics::{self as metrics_server, MetricSet, MetricsEndpoint};
use emberpin_runtime::settings::Settings;
use frontend::{ClientFrontend, ReadinessHandler};
use listener::listen;
use metrics::ProxyMetrics;
use published_state::PublishedState;
use registry_sessions::RegistrySessions;
use shutdown::{drain, reload_on_hangup, Signals};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

pub use error::ProxyError;

/// Capacity of the controller's command queue; senders wait while it is full.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// Maximum number of connections to the readiness endpoint.
const MAX_READINESS_CONNECTIONS: usize = 32;
/// MiB of the memory limit per stream slot. Each slot allows one body in each direction to be streamed at a time.
const MIB_PER_STREAM_SLOT: usize = 4;

/// Runs the proxy on this thread until it is terminated, and serves metrics if there is an endpoint for them.
///
/// # Errors
///
/// [`ProxyError`], if it cannot start or one of its tasks ends.
pub fn serve(settings: Settings, metrics: Option<MetricsEndpoint>) -> Result<(), ProxyError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProxyError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(settings, metrics))
}

async fn run(settings: Settings, metrics: Option<MetricsEndpoint>) -> Result<(), ProxyError> {
    let mut signals = Signals::install()?;
    let grace = settings.bounds.shutdown_grace;
    let proxy = Proxy::start(settings, metrics)?;
    let Proxy {
        published,
        client_listener,
        sessions,
        controller_task,
        accept_task,
    } = proxy;
    tokio::select! {
        _ = signals.terminate.recv() => {}
        () = reload_on_hangup(&mut signals.hangup, &sessions) => {}
        _ = controller_task => return Err(ProxyError::TaskEnded("controller")),
        _ = accept_task => return Err(ProxyError::TaskEnded("reception")),
    }
    log::info!("graceful shutdown begins: grace={grace:?}");
    drain(&published, &client_listener, grace).await;
    Ok(())
}

/// The running parts of the proxy.
struct Proxy {
    published: Rc<PublishedState>,
    client_listener: Rc<ClientListener>,
    sessions: Rc<RegistrySessions>,
    controller_task: JoinHandle<()>,
    accept_task: JoinHandle<()>,
}

impl Proxy {
    /// Composes the parts. Sockets listen first, so that nothing is started if an address is in use; the controller
    /// exists before the frontend and the sessions, which send it commands.
    fn start(settings: Settings, endpoint: Option<MetricsEndpoint>) -> Result<Proxy, ProxyError> {
        let http_address = settings
            .http_address
            .ok_or(ProxyError::MissingSetting("network.listen.http"))?;
        let readiness_address = settings
            .readiness_address
            .ok_or(ProxyError::MissingSetting("network.listen.readyz"))?;
        let (http_listener, readiness_listener) =
            (listen(http_address)?, listen(readiness_address)?);
        let budget = ConnectionBudget::from_descriptor_limit(settings.max_open_files);
        let limiter_metrics =
            LimiterMetrics::new(&["all".to_string()]).map_err(ProxyError::Metrics)?;
        let socket_budget = Rc::new(SocketBudget::new(None));
        let pool = start_pool(budget.servers, &limiter_metrics, &socket_budget);
        let (commands, queued_commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let client_listener = ClientListener::new(
            Phase::Serving,
            budget.clients,
            ClientLimits::default(),
            socket_budget.clone(),
        );
        let set = MetricSet::new("emberpin_proxy");
        let metrics = Rc::new(ProxyMetrics::new(&set));
        let mut controller = Controller::new(
            &settings,
            pool,
            client_listener.clone(),
            &commands,
            metrics.clone(),
        );
        if let Some(endpoint) = endpoint {
            controller.enable_gauge_updates();
            tokio::spawn(metrics_server::serve(settings.ip, endpoint, set));
        }
        let published = controller.published_state();
        let stream_slots = settings.memory_mib as usize / MIB_PER_STREAM_SLOT;
        let frontend = ClientFrontend::new(
            published.clone(),
            commands.clone(),
            limiter_metrics,
            metrics,
            stream_slots,
        );
        let accept_task = spawn_local(client_listener.clone().accept(
            frontend,
            http_listener,
            false,
        ));
        serve_readiness(published.clone(), readiness_listener, socket_budget);
        let sessions = RegistrySessions::start(settings, commands);
        let controller_task = spawn_local(controller.run(queued_commands));
        Ok(Proxy {
            published,
            client_listener,
            sessions,
            controller_task,
            accept_task,
        })
    }
}

fn serve_readiness(
    published: Rc<PublishedState>,
    listener: TcpListener,
    socket_budget: Rc<SocketBudget>,
) {
    let client_listener = ClientListener::new(
        Phase::Serving,
        MAX_READINESS_CONNECTIONS,
        ClientLimits::default(),
        socket_budget,
    );
    let handler = Rc::new(ReadinessHandler(published));
    spawn_local(client_listener.accept(handler, listener, false));
}
