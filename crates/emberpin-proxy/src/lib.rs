//! The gateway's proxy: forwards clients' requests to the servers of their services.
//!
//! It takes no decision of its own: which service a request is for is decided by `emberpin-routing`, which of its
//! servers gets it, whether it is retried and what is shed by `emberpin-balancer`, of which each service has one module.
//! Sockets are those of the limiter's library (`emberpin_limiter::host`), with the gateway's headers.
//!
//! ```text
//! client ─ reception ─ frontend ─ controller (routes, endpoints, retry budget; one service each) ─ pool ─ server
//!                                     │
//!                                 registry sessions ─ two registries
//! ```
//!
//! Everything runs on one thread. This file composes the parts; each module has one job.
#![forbid(unsafe_code)]

mod command;
mod controller;
mod error;
mod frontend;
mod listener;
pub mod program;
mod published_state;
mod random_seed;
mod registry_sessions;
pub mod service;
pub mod wire;

use controller::Controller;
use emberpin_limiter::host::{ClientLimits, Figures, Phase, Pool, PoolLimits, Reception, Room};
use emberpin_runtime::settings::Settings;
use frontend::{ClientFrontend, ReadinessHandler};
use listener::listen;
use published_state::PublishedState;
use registry_sessions::RegistrySessions;
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout_at, Instant};
use wire::GatewayWire;

pub use error::ProxyError;

/// Commands that may wait for the controller; a sender of more waits itself.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// File descriptors set aside for what is neither a client's nor a server's connection: listeners, registry sessions,
/// the runtime's own, and files.
const RESERVED_DESCRIPTORS: usize = 240;
/// Fewest descriptors for connections, however low the limit.
const MIN_CONNECTIONS: usize = 40;
/// Fraction of the remaining descriptors for clients' connections; servers' connections get the rest.
const CLIENT_CONNECTION_SHARE: f64 = 0.55;
/// Connections to the readiness endpoint.
const MAX_READINESS_CONNECTIONS: usize = 32;
/// Fraction of the grace period during which a draining proxy still accepts connections: the platform polls readiness
/// every second and stops directing connections here after two failures.
const DRAIN_ACCEPT_SHARE: f64 = 0.42;
/// Fraction of the grace period after which the process ends, whatever is still open.
const DRAIN_END_SHARE: f64 = 0.95;
/// MiB of the memory limit for each body that may be streamed at a time in each direction.
const MIB_PER_STREAM_SLOT: usize = 4;

/// Limits of the connection pool towards servers, but for the number of sockets.
mod pool_limits {
    use super::Duration;

    pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
    pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
    pub const MAX_IDLE_PER_SERVER: usize = 16;
    /// A server that acknowledges nothing for this long counts as lost.
    pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(400);
    /// Bytes of a response that are buffered before any of it is passed on. A response that breaks off within them can be
    /// retried; longer ones are streamed, as buffering them would take the time of a slow link twice.
    pub const BUFFERED_RESPONSE_BYTES: usize = 16 << 10;
}

/// Runs the proxy on this thread until it is terminated.
///
/// # Errors
///
/// [`ProxyError`], if it cannot start or one of its tasks ends.
pub fn serve(settings: Settings) -> Result<(), ProxyError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProxyError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(settings))
}

async fn run(settings: Settings) -> Result<(), ProxyError> {
    let mut signals = Signals::install()?;
    let grace = settings.bounds.shutdown_grace;
    let proxy = Proxy::start(settings)?;
    let Proxy {
        published,
        reception,
        sessions,
        controller,
        accepting,
    } = proxy;
    tokio::select! {
        _ = signals.terminate.recv() => {}
        () = reload_on_hangup(&mut signals.hangup, &sessions) => {}
        _ = controller => return Err(ProxyError::TaskEnded("controller")),
        _ = accepting => return Err(ProxyError::TaskEnded("reception")),
    }
    log::info!("graceful shutdown begins: grace={grace:?}");
    drain(&published, &reception, grace).await;
    Ok(())
}

/// The signals that the proxy handles, caught from before it listens.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> Result<Signals, ProxyError> {
        let catch = |kind| signal(kind).map_err(ProxyError::Signal);
        Ok(Signals {
            terminate: catch(SignalKind::terminate())?,
            hangup: catch(SignalKind::hangup())?,
        })
    }
}

/// The running parts of the proxy.
struct Proxy {
    published: Rc<PublishedState>,
    reception: Rc<Reception>,
    sessions: Rc<RegistrySessions>,
    controller: JoinHandle<()>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Composes the parts. Sockets listen first, so that nothing runs if an address is taken; the controller exists
    /// before the frontend and the sessions, which send it commands.
    fn start(settings: Settings) -> Result<Proxy, ProxyError> {
        let http = settings
            .http_address
            .ok_or(ProxyError::MissingSetting("network.listen.http"))?;
        let readyz = settings
            .readiness_address
            .ok_or(ProxyError::MissingSetting("network.listen.readyz"))?;
        let (http, readyz) = (listen(http)?, listen(readyz)?);
        let budget = ConnectionBudget::of(settings.max_open_files);
        let figures = Figures::new(&["all".to_string()]).map_err(ProxyError::Metrics)?;
        let room = Rc::new(Room::new(None));
        let pool = start_pool(budget.servers, &figures, &room);
        let (commands, queued_commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let reception = Reception::new(
            Phase::Serving,
            budget.clients,
            ClientLimits::default(),
            room.clone(),
        );
        let controller = Controller::new(&settings, pool, reception.clone(), &commands);
        let published = controller.published_state();
        let stream_slots = settings.memory_mib as usize / MIB_PER_STREAM_SLOT;
        let frontend =
            ClientFrontend::new(published.clone(), commands.clone(), figures, stream_slots);
        let accepting = spawn_local(reception.clone().accept(frontend, http, false));
        serve_readiness(published.clone(), readyz, room);
        let sessions = RegistrySessions::start(settings, commands);
        let controller = spawn_local(controller.run(queued_commands));
        Ok(Proxy {
            published,
            reception,
            sessions,
            controller,
            accepting,
        })
    }
}

/// How many connections there may be on each side.
struct ConnectionBudget {
    clients: usize,
    servers: usize,
}

impl ConnectionBudget {
    fn of(max_descriptors: usize) -> ConnectionBudget {
        let all = max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        let clients = (all as f64 * CLIENT_CONNECTION_SHARE) as usize;
        ConnectionBudget {
            clients,
            servers: all - clients,
        }
    }
}

fn start_pool(max_sockets: usize, figures: &Arc<Figures>, room: &Rc<Room>) -> Rc<Pool> {
    let limits = PoolLimits {
        connect: pool_limits::CONNECT_TIMEOUT,
        idle: pool_limits::IDLE_TIMEOUT,
        most_idle: pool_limits::MAX_IDLE_PER_SERVER,
        sockets: max_sockets,
        unacknowledged: Some(pool_limits::UNACKNOWLEDGED_TIMEOUT),
        hold: pool_limits::BUFFERED_RESPONSE_BYTES,
    };
    let pool = Pool::new(limits, Rc::new(GatewayWire), figures.clone(), room.clone());
    spawn_local(pool.clone().retire());
    pool
}

fn serve_readiness(
    published: Rc<PublishedState>,
    listener: tokio::net::TcpListener,
    room: Rc<Room>,
) {
    let reception = Reception::new(
        Phase::Serving,
        MAX_READINESS_CONNECTIONS,
        ClientLimits::default(),
        room,
    );
    let handler = Rc::new(ReadinessHandler(published));
    spawn_local(reception.accept(handler, listener, false));
}

/// Has the settings file read again upon each SIGHUP. The next registry session uses the new seeds; no other setting is
/// applied while the process runs.
async fn reload_on_hangup(hangup: &mut Signal, sessions: &RegistrySessions) {
    while hangup.recv().await.is_some() {
        sessions.reload_settings();
    }
    pending::<()>().await;
}

/// Drains: withdraws readiness, keeps accepting connections while the platform may still direct some here, then closes
/// the listener and waits for the open connections until the grace period is nearly over.
async fn drain(published: &PublishedState, reception: &Reception, grace: Duration) {
    let started = Instant::now();
    published.start_draining();
    reception.leave();
    sleep(grace.mul_f64(DRAIN_ACCEPT_SHARE)).await;
    reception.close();
    _ = timeout_at(started + grace.mul_f64(DRAIN_END_SHARE), reception.empty()).await;
}
