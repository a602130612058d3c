//! One limiter, put together in the order in which a request meets its parts:
//!
//! ```text
//! client ─ clients + connections ─ admission ─ [idempotency] ─ driver + emberpin-balancer ─ servers ─ server
//!                                                                 │
//!                                                  discovery, peers, timers
//! ```
//!
//! All inputs reach the driver through one bounded channel, on one thread. A stage in brackets is composed here, at
//! the start, if the operator switches it on.

use crate::between::handover::{self, Upgrade};
use crate::between::link::Link;
use crate::between::peers::Peers;
use crate::front::clients::{take_over, Front};
use crate::front::passed;
use crate::front::room::{Held, Room};
use crate::operate::clock::Clock;
use crate::operate::config::Config;
use crate::operate::door;
use crate::operate::figures::Figures;
use crate::operate::operator::Operator;
use crate::stages::idempotency::Idempotency;
use crate::upstream::asking::Asking;
use crate::upstream::believed::Believed;
use crate::upstream::discovery::Discovery;
use crate::upstream::driver::{Callers, Driver, Parts};
use crate::upstream::fed::{spoken_to, Fed};
use crate::upstream::kept::Kept;
use crate::upstream::server::Pool;
use crate::upstream::wire::PlatformWire;
use emberpin_upgrade::process::Process;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

/// Most inputs that wait for the driver; whoever has more waits, or drops what may be lost.
const INPUTS: usize = 1024;
const BACKLOG: u32 = 512;

/// Runs one limiter on this thread until it is told to end.
///
/// # Errors
///
/// One line that says why it could not start or go on.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

/// Serves until SIGTERM, then leaves without losing what was taken.
///
/// # Errors
///
/// One line that says what could not be had: a signal, a socket, a part that ended before its time.
async fn run(mut config: Config) -> Result<(), String> {
    let caught = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut terminated, hung_up) = (
        caught(SignalKind::terminate())?,
        caught(SignalKind::hangup())?,
    );
    let (inputs, received) = mpsc::channel(INPUTS);

    let passed = passed::listener(config.listen)?;
    let shared = passed.is_some();
    let listener = match passed {
        Some(listener) => {
            TcpListener::from_std(listener).map_err(|e| format!("the inherited socket: {e}"))?
        }
        None => listen(config.listen)?,
    };
    let figures = Figures::new(&config.names.class_names())?;
    let ready = Arc::new(AtomicBool::new(false));
    // Kept here, so that without a door nobody seems to have closed it.
    let (_no_door, no_orders) = mpsc::channel(1);
    let orders = match config.ops {
        Some(at) => door::open(at, ready.clone(), figures.clone())?,
        None => no_orders,
    };
    let (supersede, mut superseded) = mpsc::unbounded_channel();
    // Kept here, so that without a link nobody seems to have said it.
    let link = match &config.link {
        Some((settings, number)) if config.idempotency.is_some() || config.tells_lists() => Some(
            Link::start(settings, *number, &config, &spoken_to(&config, *number))?,
        ),
        _ => None,
    };
    let idempotency = match &config.idempotency {
        Some(settings) => Some(Idempotency::start(
            settings,
            &config,
            link.clone(),
            supersede.clone(),
        )?),
        None => None,
    };
    // All that may fail is done: now the process before this one, if it is there, gives what it knows.
    let mut process = Process::default();
    let meeting = if shared {
        handover::meeting_point()
    } else {
        None
    };
    let (given, older) = handover::take(&mut process, meeting.as_deref())
        .await?
        .unzip();
    let clock = given
        .as_ref()
        .map_or_else(Clock::start, |given| Clock::go_on(given.clock));
    let peers = config
        .peer_listen
        .map(|at| Peers::start(at, &config, inputs.clone()));
    if let (Some(peers), false) = (&peers, shared) {
        peers.open_now()?;
    }
    let (prompts, pairings) = mpsc::channel(INPUTS);
    // Until the older process has told what it holds, half of all is taken to be its.
    let half = Held {
        clients: config.client_sockets / 2,
        servers: config.server_sockets / 2,
    };
    let room = Rc::new(Room::new(older.as_ref().map(|_| half)));
    let upgrade = Upgrade::start(
        process,
        meeting,
        older,
        peers.clone(),
        prompts,
        room.clone(),
    );
    let kept = Kept::start(&config)?;
    if let (Some(kept), Some(start), None) = (&kept, &config.start, &given) {
        let left = kept.read(start.disk, start.snapshot_age).await;
        if let Some(left) = left.filter(|left| left.rev > config.known.rev) {
            config.known = left;
        }
    }
    let rev = given.as_ref().map_or(config.known.rev, |given| given.rev);
    let asking = Asking::new(&config, clock.now(), given.is_some());
    let fed = Fed::start(&config, link.as_ref(), supersede.clone(), inputs.clone());
    let discovery = Discovery::start(
        config.discovery,
        rev,
        (asking.clone(), fed.clone()),
        inputs.clone(),
    );
    let refetch = discovery.refetch();
    let believed = Believed::start(&config, kept, refetch.clone());
    spawn_local(reload(
        hung_up,
        discovery,
        believed.clone(),
        figures.clone(),
    ));
    let (longest, leaving) = (config.longest_deadline(), config.connections.leaving);
    if let Some(takeover) = idempotency.as_ref().and_then(|stage| stage.takeover()) {
        takeover.run_with(take_over(inputs.clone()));
    }
    let front = Front::new(
        &config,
        idempotency,
        inputs.clone(),
        figures.clone(),
        room.clone(),
    );
    let reception = front.reception.clone();
    let accepting = spawn_local(reception.clone().accept(front, listener, shared));
    let pool = Pool::new(
        config.pool_limits(),
        Rc::new(PlatformWire),
        figures.clone(),
        room,
    );
    spawn_local(pool.clone().share());
    let callers = Callers { orders, pairings };
    let driver = Driver::new(
        config,
        Parts {
            clock,
            inputs,
            peers,
            asking,
            believed: believed.clone(),
            fed,
            refetch,
            figures,
            pool,
        },
        given,
    );
    let driver = spawn_local(driver.run(received, callers));
    let opening = async {
        if let Some(believed) = believed {
            believed.ready().await;
        }
        reception.open();
        ready.store(true, Ordering::Release);
        std::future::pending::<()>().await;
    };

    tokio::select! {
        () = opening => {}
        _ = terminated.recv() => {}
        _ = superseded.recv() => return Err("another life of this instance has its name".into()),
        ended = driver => return Err(format!("the driver ended: {ended:?}")),
        ended = accepting => return Err(format!("no more clients: {ended:?}")),
    }
    ready.store(false, Ordering::Release);
    upgrade.terminate().await;
    reception.leave();
    tokio::time::sleep(leaving).await;
    reception.close();
    // What was taken is answered within the longest deadline: a client that has sent half a request must
    // not keep the process for ever.
    _ = tokio::time::timeout(longest, reception.empty()).await;
    Ok(())
}

/// The clients' socket, where it is this process's own.
fn listen(at: SocketAddr) -> Result<TcpListener, String> {
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
    listening.map_err(|e| format!("cannot listen on {at}: {e}"))
}

/// Reads the configuration again at each SIGHUP, for as long as the process lives: while it leaves, too. Of
/// a changed file only the address of discovery is taken over; one that can't be read changes nothing.
async fn reload(
    mut hung_up: Signal,
    discovery: Discovery,
    believed: Option<Rc<Believed>>,
    figures: Arc<Figures>,
) {
    // What operators set holds for the process's life.
    let operator = Operator::default();
    while hung_up.recv().await.is_some() {
        match Config::from_env(&operator) {
            Ok(config) => {
                eprintln!(
                    "emberpin: configuration read again, discovery at {}",
                    config.discovery
                );
                discovery.move_to(config.discovery);
                if let Some(believed) = &believed {
                    believed.believe();
                }
                figures.config_applied.inc();
            }
            Err(problem) => {
                eprintln!(
                    "emberpin: configuration not changed: {}",
                    problem.replace('\n', " ")
                );
                figures.config_rejected.inc();
            }
        }
    }
}
