//! The gateway's proxy: hosts the decisions of `emberpin-balancer`, one module for each service, between clients and servers.
//!
//! It takes no decision of its own: where a request may go is `emberpin-routing`'s, which of those servers gets it, whether
//! again and what is refused is `emberpin-balancer`'s. Sockets are those of the limiter's library, with the gateway's wire.
//!
//! ```text
//! client ─ reception ─ desk ─ controller (routes, servers, budget; one engine with its module a service) ─ pool ─ server
//!                               │
//!                            sessions with two registries
//! ```
#![forbid(unsafe_code)]

mod command;
mod controller;
pub mod program;
mod published_state;
mod random;
mod replies;
mod requests;
pub mod service;
mod sessions;
pub mod wire;

use controller::Controller;
use emberpin_limiter::host::{ClientLimits, Figures, Phase, Pool, PoolLimits, Reception, Room};
use emberpin_runtime::settings::Settings;
use requests::{Front, Readiness};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use wire::SystemWire;

/// Why the proxy could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    /// The settings lack something.
    #[error("settings: {0} is missing")]
    Missing(&'static str),
    /// A socket or a signal that could not be had.
    #[error("{0}: {1}")]
    Refused(String, std::io::Error),
    /// The library's figures.
    #[error("{0}")]
    Figures(String),
    /// A part that ended before its time.
    #[error("{0} ended")]
    Part(&'static str),
}

/// Most commands that wait for the controller; whoever has more waits.
const COMMANDS: usize = 1024;
const BACKLOG: u32 = 512;
/// Descriptors that are nobody's connections: listeners, sessions, the runtime's own, and those for files.
const OTHER_SOCKETS: usize = 240;
/// The part of the others that clients get; servers get the rest.
const CLIENT_SHARE: f64 = 0.55;
/// The part of the grace after SIGTERM for which new connections are still taken: the platform asks for readiness every
/// second and goes by two misses.
const LEAVING_PART: f64 = 0.42;
/// And the part after which the process ends whatever is still open.
const GRACE_PART: f64 = 0.95;
/// Bytes of an answer that are held whole; one that breaks off before its end may become another attempt. Longer ones
/// are passed on while they come: held, they would come through a narrow link twice, one behind the other.
const HOLD: usize = 16 << 10;

/// Runs the proxy on this thread until it is told to end.
///
/// # Errors
///
/// [`Ended`].
pub fn serve(settings: Settings) -> Result<(), Ended> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| Ended::Refused("runtime".into(), e))?;
    LocalSet::new().block_on(&runtime, run(settings))
}

async fn run(settings: Settings) -> Result<(), Ended> {
    let http = settings
        .http_address
        .ok_or(Ended::Missing("network.listen.http"))?;
    let readyz = settings
        .readiness_address
        .ok_or(Ended::Missing("network.listen.readyz"))?;
    let caught = |kind| signal(kind).map_err(|e| Ended::Refused("signals".into(), e));
    let (mut terminated, mut hung_up) = (
        caught(SignalKind::terminate())?,
        caught(SignalKind::hangup())?,
    );
    let (clients, probes) = (listen(http)?, listen(readyz)?);

    let sockets = settings
        .max_open_files
        .saturating_sub(OTHER_SOCKETS)
        .max(40);
    let client_sockets = (sockets as f64 * CLIENT_SHARE) as usize;
    let figures = Figures::new(&["all".to_string()]).map_err(Ended::Figures)?;
    let room = Rc::new(Room::new(None));
    let limits = PoolLimits {
        connect: Duration::from_millis(150),
        idle: Duration::from_secs(5),
        most_idle: 16,
        sockets: sockets - client_sockets,
        unacknowledged: Some(Duration::from_millis(400)),
        hold: HOLD,
    };
    let pool = Pool::new(limits, Rc::new(SystemWire), figures.clone(), room.clone());
    spawn_local(pool.clone().retire());
    let (commands, received) = mpsc::channel(COMMANDS);
    let reception = Reception::new(
        Phase::Serving,
        client_sockets,
        ClientLimits::default(),
        room.clone(),
    );
    let controller = Controller::new(&settings, pool, reception.clone(), &commands);
    let view = controller.view();
    let (grace, passing) = (
        settings.bounds.shutdown_grace,
        settings.memory_mib as usize / 4,
    );
    let front = Front::new(view.clone(), commands.clone(), figures, passing);
    let accepting = spawn_local(reception.clone().accept(front, clients, false));
    let door = Reception::new(Phase::Serving, 32, ClientLimits::default(), room);
    spawn_local(door.accept(Rc::new(Readiness(view.clone())), probes, false));
    let sessions = sessions::start(settings, commands);
    let controller = spawn_local(controller.run(received));
    let rereads = async {
        loop {
            if hung_up.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            // Whoever looks for a registry next reads the file again; nothing else of it changes while it runs.
            sessions.reread();
        }
    };
    tokio::select! {
        _ = terminated.recv() => {}
        () = rereads => {}
        _ = controller => return Err(Ended::Part("the controller")),
        _ = accepting => return Err(Ended::Part("the reception")),
    }
    log::info!("leaves");
    let leaves = tokio::time::Instant::now();
    view.leave();
    reception.leave();
    tokio::time::sleep(grace.mul_f64(LEAVING_PART)).await;
    reception.close();
    _ = tokio::time::timeout_at(leaves + grace.mul_f64(GRACE_PART), reception.empty()).await;
    Ok(())
}

fn listen(at: SocketAddr) -> Result<TcpListener, Ended> {
    // A killed predecessor leaves connections in TIME_WAIT: rebinding must not wait for them.
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let listening = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    });
    listening.map_err(|e| Ended::Refused(format!("listening on {at}"), e))
}
