//! Continuous requests of a client to the edge, and the server that handles them.

use emberpin_demo::edge::{ConnectionChoice, Edge};
use emberpin_demo::record::Recorder;
use emberpin_demo::server::{Server, ServerGroup, StartState};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::Request;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::time::{interval, timeout};

/// The server's group: the service of all routes, in the zone of the edge.
pub const GROUP: ServerGroup = ServerGroup {
    service: "chartroom",
    zone: "north-quay",
};
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// A request fails without a response within this time. Longer than the time-out of every route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a route is requested until it is in force.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of requests that ended with each status. Requests without a response count under [`NO_RESPONSE`].
type Statuses = BTreeMap<u16, u64>;

/// The status that stands for a missing response.
pub const NO_RESPONSE: u16 = 0;

/// A client that sends one request after the other until this is dropped, and the server.
pub struct Traffic {
    /// The runtime for requests that the test itself sends.
    runtime: Runtime,
    edge: Edge,
    statuses: Arc<Mutex<Statuses>>,
    is_stopped: Arc<AtomicBool>,
    client: Option<JoinHandle<()>>,
}

impl Traffic {
    /// Starts the server and the requests to this route, and waits until the route is in force.
    pub fn start(http: SocketAddr, registries: &[SocketAddr], route: &str) -> Traffic {
        let statuses = Arc::<Mutex<Statuses>>::default();
        let is_stopped = Arc::<AtomicBool>::default();
        let client = Client {
            edge: Edge::new(GROUP.zone, http, http),
            registries: registries.to_vec(),
            route: route.to_owned(),
            statuses: statuses.clone(),
            is_stopped: is_stopped.clone(),
        };
        let traffic = Traffic {
            runtime: new_runtime(),
            edge: Edge::new(GROUP.zone, http, http),
            statuses,
            is_stopped,
            client: Some(std::thread::spawn(|| new_runtime().block_on(client.run()))),
        };
        traffic.wait_for_route(route);
        traffic.take_statuses();
        traffic
    }

    /// Waits until a request to this route is served; returns how long that took.
    pub fn wait_for_route(&self, route: &str) -> Duration {
        let started_at = Instant::now();
        while self.runtime.block_on(request(&self.edge, route)) != 200 {
            assert!(
                started_at.elapsed() < super::ANSWER_TIMEOUT,
                "route {route} does not come into force"
            );
            sleep(ROUTE_POLL_INTERVAL);
        }
        started_at.elapsed()
    }

    /// Returns the statuses of the requests that ended since the last call.
    pub fn take_statuses(&self) -> Statuses {
        std::mem::take(&mut *self.statuses.lock().expect("counts"))
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(client) = self.client.take() {
            _ = client.join();
        }
    }
}

/// The client and the server, which run on a thread of their own.
struct Client {
    edge: Edge,
    registries: Vec<SocketAddr>,
    route: String,
    statuses: Arc<Mutex<Statuses>>,
    is_stopped: Arc<AtomicBool>,
}

impl Client {
    async fn run(self) {
        let id = "north-1".to_owned();
        let recorder = Recorder::default();
        let _server = Server::start(GROUP, id, StartState::Warm, &self.registries, 1, &recorder)
            .await
            .expect("a server");
        let mut ticks = interval(REQUEST_INTERVAL);
        while !self.is_stopped.load(Ordering::Relaxed) {
            ticks.tick().await;
            let status = request(&self.edge, &self.route).await;
            let mut statuses = self.statuses.lock().expect("counts");
            *statuses.entry(status).or_default() += 1;
        }
    }
}

pub fn new_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// The number of the next request.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

/// Sends one request to a route; returns its status or [`NO_RESPONSE`].
async fn request(edge: &Edge, route: &str) -> u16 {
    let request = Request::builder()
        .uri("/p/x")
        .header(HOST, format!("{route}.example"))
        .header(
            "try-id",
            format!("t-{}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed)),
        )
        .header("deadline", RESPONSE_TIMEOUT.as_millis().to_string())
        .body(Full::<Bytes>::default())
        .expect("a request");
    let response = edge.send(request, ConnectionChoice::Reuse);
    match timeout(RESPONSE_TIMEOUT, response).await {
        Ok(Ok(response)) => response.status,
        _ => NO_RESPONSE,
    }
}
