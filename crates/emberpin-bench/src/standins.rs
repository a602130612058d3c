//! Stand-ins around the measured proxy: servers that answer at once, a discovery service without changes, and clients
//! that send requests at a fixed rate or each as soon as the last one is answered. Servers and clients run on threads
//! of this process, so that the process of the proxy between them can be measured by itself.

use emberpin_testbed::figures::{CLASSES, PLANS};
use emberpin_testbed::http::Wire;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

const HOST: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// The interval of the discovery service's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The number of customers, whose requests alternate.
const CUSTOMERS: u64 = 100;
/// The length of the cycle in which requests with and without an idempotency key alternate.
const CYCLE: u64 = 25;
/// How many requests of each cycle carry an idempotency key and a body: 36 %, the share among the users' requests.
const KEYED_PER_CYCLE: u64 = 9;
/// The size in bytes of the body of a request with a key.
const BODY_BYTES: usize = 256;

/// Runs the future that `make` returns on a new thread with its own runtime.
fn spawn_thread<F, T>(make: impl FnOnce() -> F + Send + 'static) -> JoinHandle<Result<T, String>>
where
    F: Future<Output = Result<T, String>>,
    T: Send + 'static,
{
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, make())
    })
}

/// Starts this number of servers and a discovery service, which run until this process exits. Returns the addresses of
/// the servers and of the discovery service.
///
/// # Errors
///
/// No port is free, or the thread does not start.
pub fn start(servers: usize) -> Result<(Vec<SocketAddr>, SocketAddr), String> {
    let (sender, addresses) = channel();
    spawn_thread(move || async move {
        let bind = || async {
            TcpListener::bind((HOST, 0))
                .await
                .map_err(|e| format!("no port: {e}"))
        };
        let address_of = |listener: &TcpListener| {
            listener
                .local_addr()
                .map_err(|e| format!("no address: {e}"))
        };
        let mut all = Vec::new();
        for _ in 0..servers {
            let listener = bind().await?;
            all.push(address_of(&listener)?);
            spawn_local(accept(listener, serve));
        }
        let discovery = bind().await?;
        let sent = sender.send((all, address_of(&discovery)?));
        sent.map_err(|e| format!("the addresses were not received: {e}"))?;
        accept(discovery, serve_heartbeats).await;
        Ok(())
    });
    addresses
        .recv()
        .map_err(|_| "the stand-ins did not start".into())
}

async fn accept<F: Future<Output = ()> + 'static>(listener: TcpListener, serve: fn(Wire) -> F) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve(Wire::new(stream)));
    }
}

async fn serve(mut wire: Wire) {
    while let Ok((head, _)) = wire.read(false).await {
        let id = head.header("req-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nSrv-Load: mean_ms=20.0,depth=0\r\nX-RateLimit-Used: \
             12.5\r\n\r\n{id}",
            id.len()
        );
        if wire.stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Answers a subscription to the discovery service with heartbeats only.
async fn serve_heartbeats(mut wire: Wire) {
    if wire.read(false).await.is_err() {
        return;
    }
    let mut chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    while wire.stream.write_all(&chunk).await.is_ok() {
        chunk = b"1\r\n\n\r\n".to_vec();
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// The results of the clients' requests.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// The number of requests answered 200 with the body that belongs to the request.
    pub served: u64,
    /// The number of all other requests.
    pub not_served: u64,
    /// The time from the last byte sent to the last byte received of each served request, sorted, in microseconds.
    pub times: Vec<f64>,
    /// The duration of the whole run.
    pub seconds: f64,
}

struct Client {
    address: SocketAddr,
    idle: RefCell<Vec<Wire>>,
    next_request: Cell<u64>,
    in_flight: Cell<usize>,
    completed: Notify,
    result: RefCell<LoadResult>,
}

/// Sends requests at a constant rate for this time, whether or not earlier requests have been answered (open loop).
///
/// # Errors
///
/// The clients' thread has failed.
pub fn load_at_rate(address: SocketAddr, rate: f64, time: Duration) -> Result<LoadResult, String> {
    let clients = spawn_thread(move || async move {
        let client = Client::new(address);
        let started_at = Instant::now();
        for number in 0..(rate * time.as_secs_f64()) as u64 {
            sleep_until(started_at + Duration::from_secs_f64(number as f64 / rate)).await;
            let client = client.clone();
            client.in_flight.set(client.in_flight.get() + 1);
            spawn_local(async move {
                client.send_request().await;
                client.in_flight.set(client.in_flight.get() - 1);
                client.completed.notify_one();
            });
        }
        while client.in_flight.get() > 0 {
            client.completed.notified().await;
        }
        Ok(client.finish(started_at))
    });
    clients
        .join()
        .map_err(|_| "the clients' thread has failed")?
}

/// Sends requests on this number of connections for this time, on each as soon as the last one is answered (closed
/// loop).
///
/// # Errors
///
/// The clients' thread has failed.
pub fn load_closed_loop(
    address: SocketAddr,
    connections: usize,
    time: Duration,
) -> Result<LoadResult, String> {
    let clients = spawn_thread(move || async move {
        let client = Client::new(address);
        let started_at = Instant::now();
        let request_loops = (0..connections).map(|_| {
            let client = client.clone();
            spawn_local(async move {
                while started_at.elapsed() < time {
                    client.send_request().await;
                }
            })
        });
        for request_loop in request_loops.collect::<Vec<_>>() {
            request_loop
                .await
                .map_err(|e| format!("a client has failed: {e}"))?;
        }
        Ok(client.finish(started_at))
    });
    clients
        .join()
        .map_err(|_| "the clients' thread has failed")?
}

impl Client {
    fn new(address: SocketAddr) -> Rc<Client> {
        Rc::new(Client {
            address,
            idle: RefCell::default(),
            next_request: Cell::new(0),
            in_flight: Cell::new(0),
            completed: Notify::new(),
            result: RefCell::default(),
        })
    }

    /// The results of all requests since `started_at`.
    fn finish(&self, started_at: Instant) -> LoadResult {
        let mut result = self.result.take();
        result.times.sort_by(f64::total_cmp);
        result.seconds = started_at.elapsed().as_secs_f64();
        result
    }

    /// Sends one request, and records its result.
    async fn send_request(&self) {
        let number = self.next_request.replace(self.next_request.get() + 1);
        let answered = self.exchange(number).await;
        let mut result = self.result.borrow_mut();
        match answered {
            Some(time) => {
                result.served += 1;
                result.times.push(time.as_secs_f64() * 1e6);
            }
            None => result.not_served += 1,
        }
    }

    /// Sends a request on an idle or new connection. Returns the response time, or `None` if it was not served.
    async fn exchange(&self, number: u64) -> Option<Duration> {
        let reused = self.idle.borrow_mut().pop();
        let mut wire = match reused {
            Some(wire) => wire,
            None => Wire::new(TcpStream::connect(self.address).await.ok()?),
        };
        let id = format!("{number:016x}");
        wire.stream.write_all(&request(number, &id)).await.ok()?;
        let sent_at = Instant::now();
        let (head, body) = wire.read(true).await.ok()?;
        let time = sent_at.elapsed();
        self.idle.borrow_mut().push(wire);
        (head.status == 200 && body == id.as_bytes()).then_some(time)
    }
}

/// The bytes of request `number` as the users' clients send it: the head, and the body if it has one.
pub fn request(number: u64, id: &str) -> Vec<u8> {
    let keyed = number % CYCLE < KEYED_PER_CYCLE;
    let class = &CLASSES[usize::from(keyed)];
    let (account, plan) = (number % CUSTOMERS, &PLANS[(number % 3) as usize]);
    let headers = format!(
        "Host: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {}\r\nX-Tier: {}\r\nCookie: account={account:016x}\r\n\
         Req-Deadline: 2.000\r\nX-Call-Terms: units={},spread=1,first=0\r\n",
        class.name, plan.name, class.units
    );
    if !keyed {
        return format!("GET /api HTTP/1.1\r\n{headers}\r\n").into_bytes();
    }
    let mut text = format!(
        "POST /api HTTP/1.1\r\n{headers}Idempotency-Key: {number:032x}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    text.resize(text.len() + BODY_BYTES, b'b');
    text
}
