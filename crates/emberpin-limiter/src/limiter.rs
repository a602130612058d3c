//! Composes one limiter, in the order in which a request meets its parts:
//!
//! ```text
//! client ─ clients + connections ─ admission ─ [idempotency] ─ driver + emberpin-balancer ─ upstream ─ server
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
use crate::front::inherited_socket;
use crate::front::reception::Reception;
use crate::front::socket_budget::{SocketBudget, SocketCounts};
use crate::messages::Input;
use crate::operate::clock::Clock;
use crate::operate::config::Config;
use crate::operate::figures::Figures;
use crate::operate::operator::Operator;
use crate::operate::operator_api;
use crate::stages::idempotency::Idempotency;
use crate::upstream::discovery::Discovery;
use crate::upstream::driver::{Callers, Driver, Parts};
use crate::upstream::list_calls::ListCalls;
use crate::upstream::list_snapshot::ListSnapshot;
use crate::upstream::list_trust::ListTrust;
use crate::upstream::peer_lists::{spoken_to, PeerLists};
use crate::upstream::server::Pool;
use crate::upstream::wire::PlatformWire;
use emberpin_upgrade::process::Process;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

/// Most inputs queued for the driver; whoever has more waits, or drops what may be lost.
const MAX_QUEUED_INPUTS: usize = 1024;
/// The length of the operating system's queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: u32 = 512;

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

/// Serves until SIGTERM, then drains: what was accepted is answered.
///
/// # Errors
///
/// One line that says what could not be had: a signal, a socket, a part that ended before its time.
async fn run(mut config: Config) -> Result<(), String> {
    let mut terminated = catch(SignalKind::terminate())?;
    let hung_up = catch(SignalKind::hangup())?;
    let (inputs, received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (listener, inherited) = bind(config.listen)?;
    let figures = Figures::new(&config.names.class_names())?;
    let ready = Arc::new(AtomicBool::new(false));
    // The sender is kept, so that without a door its channel does not seem closed.
    let (_no_door, no_orders) = mpsc::channel(1);
    let orders = match config.ops {
        Some(at) => operator_api::open(at, ready.clone(), figures.clone())?,
        None => no_orders,
    };
    // The sender is kept, so that without a link its channel does not seem closed.
    let (supersede, mut superseded) = mpsc::unbounded_channel();
    let link = start_link(&config)?;
    let idempotency = match &config.idempotency {
        Some(settings) => Some(Idempotency::start(
            settings,
            &config,
            link.clone(),
            supersede.clone(),
        )?),
        None => None,
    };
    // What may fail is done, so the previous process, if there is one, can hand over its state now.
    let mut process = Process::default();
    let meeting = inherited.then(handover::meeting_point).flatten();
    let (given, older) = handover::take(&mut process, meeting.as_deref())
        .await?
        .unzip();
    let clock = given
        .as_ref()
        .map_or_else(Clock::start, |given| Clock::go_on(given.clock));
    let peers = start_peers(&config, &inputs, inherited)?;
    let (prompts, pairings) = mpsc::channel(MAX_QUEUED_INPUTS);
    let socket_budget = Rc::new(SocketBudget::new(
        older.as_ref().map(|_| half_of_sockets(&config)),
    ));
    let upgrade = Upgrade::start(
        process,
        meeting,
        older,
        peers.clone(),
        prompts,
        socket_budget.clone(),
    );
    let snapshot = ListSnapshot::start(&config)?;
    if given.is_none() {
        read_snapshot(&mut config, snapshot.as_ref()).await;
    }
    let rev = given.as_ref().map_or(config.known.rev, |given| given.rev);
    let list_calls = ListCalls::new(&config, clock.now(), given.is_some());
    let peer_lists = PeerLists::start(&config, link.as_ref(), supersede.clone(), inputs.clone());
    let discovery = Discovery::start(
        config.discovery,
        rev,
        (list_calls.clone(), peer_lists.clone()),
        inputs.clone(),
    );
    let refetch = discovery.refetch();
    let list_trust = ListTrust::start(&config, snapshot, refetch.clone());
    spawn_local(reload(
        hung_up,
        discovery,
        list_trust.clone(),
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
        socket_budget.clone(),
    );
    let reception = front.reception.clone();
    let accepting = spawn_local(reception.clone().accept(front, listener, inherited));
    let pool = Pool::new(
        config.pool_limits(),
        Rc::new(PlatformWire),
        figures.clone(),
        socket_budget,
    );
    spawn_local(pool.clone().track_sibling());
    let callers = Callers { orders, pairings };
    let parts = Parts {
        clock,
        inputs,
        peers,
        list_calls,
        list_trust: list_trust.clone(),
        peer_lists,
        refetch,
        figures,
        pool,
    };
    let driver = spawn_local(Driver::new(config, parts, given).run(received, callers));

    tokio::select! {
        () = become_ready(list_trust, &reception, &ready) => {}
        _ = terminated.recv() => {}
        _ = superseded.recv() => return Err("another life of this instance has its name".into()),
        ended = driver => return Err(format!("the driver ended: {ended:?}")),
        ended = accepting => return Err(format!("no more clients: {ended:?}")),
    }
    ready.store(false, Ordering::Release);
    upgrade.terminate().await;
    drain(&reception, leaving, longest).await;
    Ok(())
}

fn catch(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|e| format!("no signals: {e}"))
}

/// The clients' socket, and whether it was inherited from whoever started this process.
fn bind(at: SocketAddr) -> Result<(TcpListener, bool), String> {
    match inherited_socket::listener(at)? {
        Some(inherited) => {
            let listener = TcpListener::from_std(inherited)
                .map_err(|e| format!("the inherited socket: {e}"))?;
            Ok((listener, true))
        }
        None => Ok((listen(at)?, false)),
    }
}

/// The link to other limiters, if a subsystem that is on needs one.
fn start_link(config: &Config) -> Result<Option<Rc<Link>>, String> {
    match &config.link {
        Some((settings, number)) if config.idempotency.is_some() || config.tells_lists() => {
            let spoken_to = spoken_to(config, *number);
            Link::start(settings, *number, config, &spoken_to).map(Some)
        }
        _ => Ok(None),
    }
}

/// The other limiters' messages. Where the clients' socket is inherited, a previous process may still listen for them.
fn start_peers(
    config: &Config,
    inputs: &mpsc::Sender<Input>,
    inherited: bool,
) -> Result<Option<Rc<Peers>>, String> {
    let peers = config
        .peer_listen
        .map(|at| Peers::start(at, config, inputs.clone()));
    if let (Some(peers), false) = (&peers, inherited) {
        peers.open_now()?;
    }
    Ok(peers)
}

/// What a previous process is taken to hold until it has said how much that is.
fn half_of_sockets(config: &Config) -> SocketCounts {
    SocketCounts {
        clients: config.client_sockets / 2,
        servers: config.server_sockets / 2,
    }
}

/// Starts from the snapshot of the list of servers, if it is newer than what the configuration knows.
async fn read_snapshot(config: &mut Config, snapshot: Option<&ListSnapshot>) {
    let (Some(snapshot), Some(start)) = (snapshot, &config.start) else {
        return;
    };
    let newest = snapshot.read(start.disk, start.snapshot_age).await;
    if let Some(list) = newest.filter(|list| list.rev > config.known.rev) {
        config.known = list;
    }
}

/// Accepts clients once enough is known of the servers, and never returns.
async fn become_ready(
    list_trust: Option<Rc<ListTrust>>,
    reception: &Reception,
    ready: &AtomicBool,
) {
    if let Some(list_trust) = list_trust {
        list_trust.ready().await;
    }
    reception.open();
    ready.store(true, Ordering::Release);
    std::future::pending::<()>().await;
}

/// Drains: for `leaving`, requests are still accepted, so that load balancers can notice that readiness is off; then what
/// was accepted is answered. `longest` bounds that, as a client that has sent half a request must not keep the process
/// for ever.
async fn drain(reception: &Reception, leaving: Duration, longest: Duration) {
    reception.leave();
    tokio::time::sleep(leaving).await;
    reception.close();
    _ = tokio::time::timeout(longest, reception.empty()).await;
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
        socket.listen(ACCEPT_BACKLOG)
    });
    listening.map_err(|e| format!("cannot listen on {at}: {e}"))
}

/// Reads the configuration again at each SIGHUP, for as long as the process lives: while it leaves, too. Of
/// a changed file only the address of discovery is taken over; one that can't be read changes nothing.
async fn reload(
    mut hung_up: Signal,
    discovery: Discovery,
    list_trust: Option<Rc<ListTrust>>,
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
                if let Some(list_trust) = &list_trust {
                    list_trust.believe();
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
