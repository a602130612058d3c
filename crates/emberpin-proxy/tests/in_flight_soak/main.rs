//! Requests in flight against changes of their routes and servers: drawn clients, servers and changes with SIGHUP among
//! them, and in every other seed SIGTERM in the middle. Clients upload bodies of all forms and give some up; servers
//! respond before, during and after the body, in all forms, turn requests away, say so several times, fail and reset.
//!
//! Instances of servers drain, come back and are replaced at the same address; zones are evacuated. Routes move, are split,
//! removed and added, and change kind.
//!
//! By default, one seed runs. `EMBERPIN_SOAK_SEEDS=FIRST-LAST` selects other seeds.
#![allow(missing_docs, reason = "a test has no public interface")]

mod changes;
#[path = "../common/mod.rs"]
mod common;
mod history;
mod responses;
mod servers;
#[path = "../../../emberpin-demo/tests/soak_seeds/mod.rs"]
mod soak_seeds;
mod sockets;
mod uploads;

use changes::Changes;
use common::{default_items, instance, Proxy, DEFAULT_BOUNDS};
use emberpin_membership::instance::Instance;
use googletest::prelude::*;
use history::History;
use oorandom::Rand32;
use servers::Server;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const CLIENTS: usize = 8;
const SERVICES: [&str; 2] = ["s", "t"];
const SERVERS_OF_SERVICE: usize = 2;
/// Requests of each client, unless the proxy ends before.
const REQUESTS_PER_CLIENT: usize = 16;
/// In a seed with SIGTERM, this many requests of all clients come before it.
const REQUESTS_BEFORE_TERM: usize = CLIENTS * REQUESTS_PER_CLIENT / 2;
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// How long a server may still work on a request whose response the client has.
const SETTLING: Duration = Duration::from_millis(300);

/// The servers of a seed. The sockets of those that refuse connections keep their ports from being used by others.
pub struct Servers {
    instances: Vec<Instance>,
    /// Where each server that accepts connections reads its instance's id.
    ids: Vec<Option<Arc<Mutex<String>>>>,
    /// Number of instances that another one has replaced.
    replaced: usize,
    /// The server that was the last one to drain.
    draining: Option<usize>,
    _refusing: Vec<TcpSocket>,
}

/// Starts the servers, and one more of each service that refuses connections.
async fn start_servers(random: &mut Rand32, history: &Arc<Mutex<History>>) -> Servers {
    let mut started = Servers {
        instances: Vec::new(),
        ids: Vec::new(),
        replaced: 0,
        draining: None,
        _refusing: Vec::new(),
    };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    for service in SERVICES {
        let named = |name: &str, address: SocketAddr| Instance {
            service: service.into(),
            ..instance(&format!("i-{service}-{name}"), address)
        };
        for number in 0..SERVERS_OF_SERVICE {
            let listener = TcpListener::bind(any_port).await.expect("bound");
            let instance = named(&number.to_string(), listener.local_addr().expect("bound"));
            let server = Server {
                instance_id: Arc::new(Mutex::new(instance.id.clone())),
                history: history.clone(),
            };
            started.ids.push(Some(server.instance_id.clone()));
            started.instances.push(instance);
            let seed = u64::from(random.rand_u32());
            tokio::spawn(server.serve(listener, seed));
        }
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(any_port).expect("bound");
        let address = socket.local_addr().expect("bound");
        started.instances.push(named("refusing", address));
        started.ids.push(None);
        started._refusing.push(socket);
    }
    started
}

/// Returns once this many requests have been begun.
async fn wait_for_requests(history: &Mutex<History>, count: usize) {
    while history.lock().expect("no panic").begun() < count {
        sleep(POLL_PERIOD).await;
    }
}

/// Returns once all of these tasks have ended.
async fn until_finished(tasks: &[JoinHandle<()>]) {
    while !tasks.iter().all(JoinHandle::is_finished) {
        sleep(POLL_PERIOD).await;
    }
}

/// Runs one seed, and returns its history.
async fn run_seed(seed: u64) -> Arc<Mutex<History>> {
    let mut random = Rand32::new(seed);
    let history = Arc::new(Mutex::new(History::default()));
    let mut servers = start_servers(&mut random, &history).await;
    let (proxy, mut session) =
        Proxy::start_ready(DEFAULT_BOUNDS, default_items(), servers.instances.clone()).await;
    let mut client_random = Rand32::new(u64::from(random.rand_u32()));
    let mut changes = Changes::new(
        &proxy,
        &mut session,
        &mut random,
        &mut servers,
        history.clone(),
    );
    changes.send_all().await;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let seed = u64::from(client_random.rand_u32());
            let running = uploads::run_client(
                proxy.http,
                client,
                seed,
                REQUESTS_PER_CLIENT,
                history.clone(),
            );
            tokio::spawn(running)
        })
        .collect();
    let terminating = seed.is_multiple_of(2);
    tokio::select! {
        () = changes.run() => {}
        () = wait_for_requests(&history, REQUESTS_BEFORE_TERM), if terminating => proxy.terminate(),
        () = until_finished(&clients), if !terminating => {}
    }
    for client in clients {
        client.await.expect("no panic");
    }
    sleep(SETTLING).await;
    history
}

/// Guards what a request in flight keeps of its route, and what becomes of a streamed body (review/4 to 8).
#[tokio::test]
async fn requests_in_flight_keep_their_promises_while_their_routes_change() -> googletest::Result<()>
{
    for seed in soak_seeds::seeds() {
        let history = run_seed(seed).await;
        let history = history.lock().expect("no panic");
        let (begun, served) = (history.begun(), history.served());
        println!(
            "seed {seed}: {served} of {begun} served; {}",
            history.summary()
        );
        verify_that!(history.violations(), is_empty())
            .with_failure_message(|| format!("seed {seed}"))?;
        // A proxy may reject any number of requests while its machine is busy; one that serves none proves nothing.
        verify_that!(served, ge(CLIENTS)).with_failure_message(|| format!("seed {seed}"))?;
    }
    Ok(())
}
