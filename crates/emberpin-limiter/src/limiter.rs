//! Composes one limiter from its parts, in the order in which a request passes through them:
//!
//! ```text
//! client ─ clients + connections ─ admission ─ [idempotency] ─ driver + emberpin-balancer ─ upstream ─ server
//!                                                                 │
//!                                                  discovery, peers, timers
//! ```
//!
//! All inputs reach the driver through one bounded channel, on one thread. The stage in brackets is optional: it is
//! added at the start if an operator file enables it.

use crate::between::handover::{self, Upgrade};
use crate::between::link::Link;
use crate::between::peers::Peers;
use crate::front::clients::{takeover_runner, ClientFrontend};
use crate::front::inherited_socket;
use crate::front::reception::ClientListener;
use crate::front::socket_budget::{SocketBudget, SocketCounts};
use crate::messages::Input;
use crate::operate::clock::Clock;
use crate::operate::config::Config;
use crate::operate::figures::LimiterMetrics;
use crate::operate::operator::OperatorSettings;
use crate::operate::operator_api;
use crate::stages::idempotency::Idempotency;
use crate::upstream::discovery::Discovery;
use crate::upstream::driver::{Driver, Parts, PriorityChannels};
use crate::upstream::list_calls::ListCalls;
use crate::upstream::list_snapshot::ListSnapshot;
use crate::upstream::list_trust::ListTrust;
use crate::upstream::peer_lists::{link_members, PeerLists};
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

/// Maximum number of inputs queued for the driver. A sender that finds the queue full waits, or drops the input if it
/// is one that may be lost.
const MAX_QUEUED_INPUTS: usize = 1024;
/// The length of the operating system's queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: u32 = 512;

/// Runs one limiter on this thread until it is terminated.
///
/// # Errors
///
/// One line that says why the limiter could not start or had to stop.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start the async runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

/// Serves until SIGTERM, then drains: every accepted request is answered.
///
/// # Errors
///
/// One line that names the failure: a signal handler or socket that could not be set up, or a part that ended
/// unexpectedly.
async fn run(mut config: Config) -> Result<(), String> {
    let mut terminated = signal_stream(SignalKind::terminate())?;
    let hung_up = signal_stream(SignalKind::hangup())?;
    let (inputs, received_inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (listener, inherited) = bind(config.listen)?;
    let metrics = LimiterMetrics::new(&config.names.class_names())?;
    let ready = Arc::new(AtomicBool::new(false));
    // The sender is kept alive because without an operator API the driver would otherwise see a closed channel.
    let (_unused_sender, no_commands) = mpsc::channel(1);
    let commands = match config.ops {
        Some(at) => operator_api::open(at, ready.clone(), metrics.clone())?,
        None => no_commands,
    };
    // `superseded_tx` is kept alive here because without a link the channel would otherwise be closed.
    let (superseded_tx, mut superseded) = mpsc::unbounded_channel();
    let link = start_link(&config)?;
    let idempotency = match &config.idempotency {
        Some(settings) => Some(Idempotency::start(
            settings,
            &config,
            link.clone(),
            superseded_tx.clone(),
        )?),
        None => None,
    };
    // Every step that can fail because of the settings has succeeded, so the previous process, if there is one, can
    // hand over its state now.
    let mut process = Process::default();
    let handover_path = inherited.then(handover::handover_socket_path).flatten();
    let (handed_over, predecessor) =
        handover::request_state(&mut process, handover_path.as_deref())
            .await?
            .unzip();
    let clock = handed_over
        .as_ref()
        .map_or_else(Clock::start, |state| Clock::resume(state.clock));
    let peers = start_peers(&config, &inputs, inherited)?;
    let (sibling_event_tx, sibling_events) = mpsc::channel(MAX_QUEUED_INPUTS);
    let socket_budget = Rc::new(SocketBudget::new(
        predecessor
            .as_ref()
            .map(|_| assumed_sibling_sockets(&config)),
    ));
    let upgrade = Upgrade::start(
        process,
        handover_path,
        predecessor,
        peers.clone(),
        sibling_event_tx,
        socket_budget.clone(),
    );
    let snapshot = ListSnapshot::start(&config)?;
    if handed_over.is_none() {
        read_snapshot(&mut config, snapshot.as_ref()).await;
    }
    let revision = handed_over
        .as_ref()
        .map_or(config.initial_list.revision, |state| state.revision);
    let list_calls = ListCalls::new(&config, clock.now(), handed_over.is_some());
    let peer_lists = PeerLists::start(
        &config,
        link.as_ref(),
        superseded_tx.clone(),
        inputs.clone(),
    );
    let discovery = Discovery::start(
        config.discovery,
        revision,
        (list_calls.clone(), peer_lists.clone()),
        inputs.clone(),
    );
    let refetch = discovery.refetch();
    let list_trust = ListTrust::start(&config, snapshot, refetch.clone());
    spawn_local(reload(
        hung_up,
        discovery,
        list_trust.clone(),
        metrics.clone(),
    ));
    let (max_drain_time, drain_grace) = (config.longest_deadline(), config.connections.drain_grace);
    if let Some(takeover) = idempotency.as_ref().and_then(|stage| stage.takeover()) {
        takeover.set_runner(takeover_runner(inputs.clone()));
    }
    let frontend = ClientFrontend::new(
        &config,
        idempotency,
        inputs.clone(),
        metrics.clone(),
        socket_budget.clone(),
    );
    let client_listener = frontend.client_listener.clone();
    let accepting = spawn_local(
        client_listener
            .clone()
            .accept(frontend, listener, inherited),
    );
    let pool = Pool::new(
        config.pool_limits(),
        Rc::new(PlatformWire),
        metrics.clone(),
        socket_budget,
    );
    spawn_local(pool.clone().track_sibling());
    let channels = PriorityChannels {
        commands,
        sibling_events,
    };
    let parts = Parts {
        clock,
        inputs,
        peers,
        list_calls,
        list_trust: list_trust.clone(),
        peer_lists,
        refetch,
        metrics,
        pool,
    };
    let driver =
        spawn_local(Driver::new(config, parts, handed_over).run(received_inputs, channels));

    tokio::select! {
        () = become_ready(list_trust, &client_listener, &ready) => {}
        _ = terminated.recv() => {}
        _ = superseded.recv() => return Err("another incarnation of this instance uses its name".into()),
        ended = driver => return Err(format!("the driver ended: {ended:?}")),
        ended = accepting => return Err(format!("the client listener ended: {ended:?}")),
    }
    ready.store(false, Ordering::Release);
    upgrade.terminate().await;
    drain(&client_listener, drain_grace, max_drain_time).await;
    Ok(())
}

fn signal_stream(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|e| format!("cannot install a signal handler: {e}"))
}

/// Returns the clients' listening socket, and whether it was inherited from the process that started this one.
fn bind(address: SocketAddr) -> Result<(TcpListener, bool), String> {
    match inherited_socket::listener(address)? {
        Some(inherited) => {
            let listener = TcpListener::from_std(inherited)
                .map_err(|e| format!("cannot use the inherited socket: {e}"))?;
            Ok((listener, true))
        }
        None => Ok((listen(address)?, false)),
    }
}

/// Starts the link to the other limiters, if an enabled subsystem needs it.
fn start_link(config: &Config) -> Result<Option<Rc<Link>>, String> {
    match &config.link {
        Some((settings, number)) if config.idempotency.is_some() || config.shares_lists() => {
            let link_peers = link_members(config, *number);
            Link::start(settings, *number, config, &link_peers).map(Some)
        }
        _ => Ok(None),
    }
}

/// Starts receiving the other limiters' datagrams. Where the clients' socket is inherited, a previous process may still
/// listen for them, so the port is opened later.
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

/// The socket counts that a previous process is assumed to have until it reports the real ones.
fn assumed_sibling_sockets(config: &Config) -> SocketCounts {
    SocketCounts {
        clients: config.client_sockets / 2,
        servers: config.server_sockets / 2,
    }
}

/// Starts from the snapshot of the endpoint list, if it is newer than the list in the configuration.
async fn read_snapshot(config: &mut Config, snapshot: Option<&ListSnapshot>) {
    let (Some(snapshot), Some(start)) = (snapshot, &config.start) else {
        return;
    };
    let newest = snapshot.read(start.disk, start.snapshot_age).await;
    if let Some(list) = newest.filter(|list| list.revision > config.initial_list.revision) {
        config.initial_list = list;
    }
}

/// Marks this process as ready once the endpoint list can be trusted, then stays pending: it never returns.
async fn become_ready(
    list_trust: Option<Rc<ListTrust>>,
    client_listener: &ClientListener,
    ready: &AtomicBool,
) {
    if let Some(list_trust) = list_trust {
        list_trust.ready().await;
    }
    client_listener.open();
    ready.store(true, Ordering::Release);
    std::future::pending::<()>().await;
}

/// Drains: for `grace`, requests are still accepted, so that load balancers can notice that readiness is off; then the
/// accepted requests are answered. `max_time` bounds that, as a client that has sent half a request must not keep the
/// process running for ever.
async fn drain(client_listener: &ClientListener, grace: Duration, max_time: Duration) {
    client_listener.begin_draining();
    tokio::time::sleep(grace).await;
    client_listener.begin_closing();
    _ = tokio::time::timeout(max_time, client_listener.all_closed()).await;
}

/// Opens the clients' listening socket, where it was not inherited.
fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    // A killed predecessor leaves connections in TIME_WAIT: rebinding must not wait for them.
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let listening = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    });
    listening.map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Reloads the configuration at each SIGHUP, for as long as the process runs, also while it drains. Of a changed file
/// only the address of discovery is applied; a file that cannot be read changes nothing.
async fn reload(
    mut hung_up: Signal,
    discovery: Discovery,
    list_trust: Option<Rc<ListTrust>>,
    metrics: Arc<LimiterMetrics>,
) {
    // Settings of operator files hold until the process exits, so they are not read again.
    let operator = OperatorSettings::default();
    while hung_up.recv().await.is_some() {
        match Config::from_env(&operator) {
            Ok(config) => {
                eprintln!(
                    "emberpin: configuration read again, discovery at {}",
                    config.discovery
                );
                discovery.switch_to(config.discovery);
                if let Some(list_trust) = &list_trust {
                    list_trust.override_doubt();
                }
                metrics.config_applied.inc();
            }
            Err(problem) => {
                eprintln!(
                    "emberpin: configuration not changed: {}",
                    problem.replace('\n', " ")
                );
                metrics.config_rejected.inc();
            }
        }
    }
}
