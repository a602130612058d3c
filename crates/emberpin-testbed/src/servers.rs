//! The stand-in servers: cores and a queue, cold starts, drains, declined requests, load reports, usage metering, and
//! deduplication of keyed work within a zone. Each server records every request that it receives in the trace, and
//! sends faulty responses while a fault asks for them.

use crate::figures::{
    Repeat, CLASSES, DEDUP_WINDOW, METER_PERIOD, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, PLANS,
};
use crate::http::{Head, ReadError, Wire};
use crate::scenario::{ResponseFault, Scenario};
use crate::schedule::Schedule;
use crate::trace::{AttemptEnd, AttemptId, EventKind, Incarnation, Micros, Recorder, RequestId};
use crate::zone_link::ZoneLink;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, JoinHandle};

/// The first port that is allocated, below the operating system's range of ephemeral ports.
const FIRST_PORT: u16 = 10_000;
/// Maximum number of attempts to listen at an address that is in use; they are one millisecond apart.
const MAX_LISTEN_ATTEMPTS: usize = 2000;
/// The pause of a trickling server between two bytes.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
/// The work of a request that is recognised as a duplicate, in core milliseconds.
const DEDUPLICATED_WORK: f64 = 1.0;
/// The usage of a period becomes known this long after the period's end.
const METER_DELAY: Micros = 300_000;

/// The state that all stand-ins of a run share.
pub struct World {
    /// The clock and the event log.
    pub recorder: Recorder,
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The schedule of customers' requests.
    pub schedule: Schedule,
    /// The loopback address that all stand-ins of this site listen on.
    pub host: Ipv4Addr,
    /// Links between limiters and zones, by limiter, then zone.
    pub links: Vec<Vec<ZoneLink>>,
    next_port: Cell<u16>,
    next_attempt: Cell<u32>,
    next_incarnation: Cell<u32>,
    /// For each zone, when its servers last ran the work of each key.
    deduplication: RefCell<Vec<HashMap<u32, Micros>>>,
    /// Keys whose work has run on any server.
    executed_keys: RefCell<HashSet<u32>>,
    meter: RefCell<Meter>,
    /// The limiter that each request was sent to. Only filled if all limiters reach a server at one address, so that
    /// the address does not tell the limiter.
    limiter_by_request: RefCell<HashMap<RequestId, usize>>,
}

/// Usage by customer in the current metering period and the ones before it.
#[derive(Default)]
struct Meter {
    /// For each customer, the last periods with any usage: period number and units.
    usage_by_customer: HashMap<u32, VecDeque<(u64, f64)>>,
    counted_requests: HashSet<RequestId>,
}

impl Meter {
    /// Counts the units of a request at its first attempt.
    fn count(&mut self, request_id: RequestId, customer: u32, units: f64, now: Micros) {
        if !self.counted_requests.insert(request_id) {
            return;
        }
        let periods = self.usage_by_customer.entry(customer).or_default();
        let period = now / METER_PERIOD;
        match periods.back_mut().filter(|(last, _)| *last == period) {
            Some((_, sum)) => *sum += units,
            None => periods.push_back((period, units)),
        }
        while periods.len() > 4 {
            periods.pop_front();
        }
    }

    /// Units used in the last period whose usage is known by now; `None` if there is no such period yet.
    fn last_known_period(&self, customer: u32, now: Micros) -> Option<f64> {
        let period = (now.checked_sub(METER_DELAY)? / METER_PERIOD).checked_sub(1)?;
        let periods = self.usage_by_customer.get(&customer)?;
        Some(
            periods
                .iter()
                .find(|(at, _)| *at == period)
                .map_or(0.0, |(_, units)| *units),
        )
    }
}

impl World {
    /// Records which limiter a client sends a request to.
    pub fn record_target(&self, request_id: RequestId, limiter: usize) {
        if self.scenario.site.one_address {
            self.limiter_by_request
                .borrow_mut()
                .insert(request_id, limiter);
        }
    }

    /// Creates the shared state before anything starts.
    pub fn new(
        recorder: Recorder,
        scenario: Scenario,
        schedule: Schedule,
        host: Ipv4Addr,
    ) -> Rc<World> {
        let site = &scenario.site;
        let row = || (0..site.zones).map(|_| ZoneLink::default()).collect();
        let links = (0..site.limiters).map(|_| row()).collect();
        let deduplication = RefCell::new(vec![HashMap::new(); site.zones]);
        Rc::new(World {
            recorder,
            host,
            links,
            next_port: Cell::new(FIRST_PORT),
            next_attempt: Cell::new(0),
            next_incarnation: Cell::new(0),
            deduplication,
            executed_keys: RefCell::default(),
            meter: RefCell::default(),
            limiter_by_request: RefCell::default(),
            scenario,
            schedule,
        })
    }

    /// Allocates an address that is free for TCP and UDP. Each address is given out once, so that its owner can
    /// listen there again after a restart.
    ///
    /// # Errors
    ///
    /// No port is left.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        loop {
            let port = self.next_port.get();
            self.next_port.set(
                port.checked_add(1)
                    .ok_or(std::io::ErrorKind::AddrNotAvailable)?,
            );
            let address = SocketAddr::from((self.host, port));
            if std::net::TcpListener::bind(address).is_ok()
                && std::net::UdpSocket::bind(address).is_ok()
            {
                return Ok(address);
            }
        }
    }

    /// The zone of a server.
    pub fn zone(&self, server: usize) -> usize {
        server % self.scenario.site.zones
    }

    fn take_number(counter: &Cell<u32>) -> u32 {
        counter.replace(counter.get() + 1)
    }
}

/// One server, with the state that outlives its process.
pub struct Server {
    world: Rc<World>,
    /// The server's number, from 0.
    pub number: usize,
    /// The addresses that limiters connect to, by limiter.
    pub addresses: RefCell<Vec<SocketAddr>>,
    /// The last part of the server's id in the endpoint list; a successor gets the next number.
    pub generation: Cell<u32>,
    running: RefCell<Option<Rc<Process>>>,
}

/// One incarnation of a server's process.
pub struct Process {
    world: Rc<World>,
    server: usize,
    /// The incarnation's number.
    pub incarnation: Incarnation,
    /// Start time in Unix milliseconds; 0 for a server that starts warm, as if it had started long ago.
    pub boot_ms: f64,
    started_at: Micros,
    warm_after: Micros,
    speed: f64,
    crashed: watch::Sender<bool>,
    /// The tasks that own the listeners.
    accept_tasks: RefCell<Vec<JoinHandle<()>>>,
    /// The oldest generation of addresses that is still open; a move to new addresses starts a generation. Listeners
    /// and idle connections of earlier generations close.
    address_generation: watch::Sender<u32>,
    refusing: watch::Sender<bool>,
    stalled: watch::Sender<bool>,
    /// The active response fault and the share of responses that it affects.
    response_fault: RefCell<Option<(ResponseFault, f64)>>,
    cores: Semaphore,
    waiting: Cell<usize>,
    connections: Cell<usize>,
    /// Moving average of the service time, in milliseconds.
    mean_service_ms: Cell<f64>,
    /// The last load report and its time.
    report: RefCell<(Micros, String)>,
    /// Requests received within the last [`OVERLOAD_WINDOW`]: time, and work in core milliseconds.
    recent_work: RefCell<VecDeque<(Micros, f64)>>,
}

/// The outcome of processing a request.
enum Reply {
    Declined,
    Served(String),
}

impl Server {
    /// Creates a server with addresses of its own that is not running yet.
    ///
    /// # Errors
    ///
    /// No free port.
    pub fn new(world: Rc<World>, number: usize) -> std::io::Result<Rc<Server>> {
        let server = Server {
            world,
            number,
            addresses: RefCell::default(),
            generation: Cell::new(0),
            running: RefCell::default(),
        };
        server.allocate_addresses()?;
        Ok(Rc::new(server))
    }

    /// Listens at new addresses as well; the old ones stay open until [`Process::close_old_addresses`].
    ///
    /// # Errors
    ///
    /// No free port.
    pub async fn move_to_new_addresses(&self) -> std::io::Result<()> {
        self.allocate_addresses()?;
        match self.process() {
            Some(process) => {
                let address_generation = process.address_generation.borrow().wrapping_add(1);
                self.listen(&process, address_generation).await
            }
            None => Ok(()),
        }
    }

    async fn listen(&self, process: &Rc<Process>, address_generation: u32) -> std::io::Result<()> {
        let mut addresses = self.addresses.borrow().clone();
        addresses.dedup();
        for (limiter, address) in addresses.into_iter().enumerate() {
            let listener = listen(address).await?;
            let accepting = spawn_local(process.clone().accept(
                limiter,
                address,
                address_generation,
                listener,
            ));
            process.accept_tasks.borrow_mut().push(accepting);
        }
        Ok(())
    }

    fn allocate_addresses(&self) -> std::io::Result<()> {
        let site = &self.world.scenario.site;
        let addresses: std::io::Result<Vec<_>> = match site.one_address {
            true => self.world.address().map(|one| vec![one; site.limiters]),
            false => (0..site.limiters).map(|_| self.world.address()).collect(),
        };
        *self.addresses.borrow_mut() = addresses?;
        Ok(())
    }

    /// The server's id in the endpoint list.
    pub fn uid(&self) -> String {
        format!("s-{:03}-{}", self.number, self.generation.get())
    }

    /// The running incarnation, if any.
    pub fn process(&self) -> Option<Rc<Process>> {
        self.running.borrow().clone()
    }

    /// Starts the server's process, cold or already warm.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on.
    pub async fn start(&self, cold: bool) -> std::io::Result<()> {
        let world = &self.world;
        let site = &world.scenario.site;
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let process = Rc::new(Process {
            world: world.clone(),
            server: self.number,
            incarnation: Incarnation(World::take_number(&world.next_incarnation)),
            boot_ms: if cold {
                unix.as_secs_f64() * 1000.0
            } else {
                0.0
            },
            started_at: world.recorder.now(),
            warm_after: if cold {
                (site.warm_s * 1e6) as Micros
            } else {
                0
            },
            speed: world.schedule.speeds[self.number],
            crashed: watch::Sender::new(false),
            accept_tasks: RefCell::default(),
            address_generation: watch::Sender::new(0),
            refusing: watch::Sender::new(false),
            stalled: watch::Sender::new(false),
            response_fault: RefCell::default(),
            cores: Semaphore::new(site.cores),
            waiting: Cell::new(0),
            connections: Cell::new(0),
            mean_service_ms: Cell::new(CLASSES[0].work),
            report: RefCell::default(),
            recent_work: RefCell::default(),
        });
        world.recorder.record(EventKind::ServerStarted {
            incarnation: process.incarnation,
            server: self.number,
            capacity: process.speed * site.cores as f64,
            initial_capacity_share: site.initial_capacity_share,
            warm_after: process.warm_after,
        });
        self.listen(&process, 0).await?;
        *self.running.borrow_mut() = Some(process);
        Ok(())
    }

    /// Kills the process: connections are reset and new ones refused. Returns when the addresses are free.
    pub async fn kill(&self) {
        let Some(process) = self.running.borrow_mut().take() else {
            return;
        };
        process.crash();
        let accept_tasks = process.accept_tasks.take();
        for task in accept_tasks {
            // The task ends on the crash signal; its result carries no information.
            _ = task.await;
        }
    }
}

/// Listens at an address of this run, and retries while the address is in use: a child process that is being spawned
/// holds copies of this process's listeners until its `exec`, including listeners that are closed here meanwhile.
async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    for _ in 0..MAX_LISTEN_ATTEMPTS {
        match bind() {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            result => return result,
        }
    }
    bind()
}

impl Process {
    /// Stalls the server or resumes it.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }

    /// Refuses new connections or accepts them again.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.send_replace(refusing);
    }

    /// Stops listening at the addresses before the current ones.
    pub fn close_old_addresses(&self) {
        self.address_generation
            .send_modify(|generation| *generation = generation.wrapping_add(1));
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.get() == 0 && self.cores.available_permits() == self.world.scenario.site.cores
    }

    /// Makes a share of the responses faulty; `None` ends the fault.
    pub fn set_response_fault(&self, fault: Option<(ResponseFault, f64)>) {
        *self.response_fault.borrow_mut() = fault;
    }

    fn crash(&self) {
        if !self.crashed.send_replace(true) {
            self.world.recorder.record(EventKind::ServerStopped {
                incarnation: self.incarnation,
            });
        }
    }

    /// The share of its capacity that the server has now.
    fn capacity_share(&self, now: Micros) -> f64 {
        if self.warm_after == 0 {
            return 1.0;
        }
        let part = now.saturating_sub(self.started_at) as f64 / self.warm_after as f64;
        let initial = self.world.scenario.site.initial_capacity_share;
        initial + (1.0 - initial) * part.min(1.0)
    }

    async fn accept(
        self: Rc<Self>,
        limiter: usize,
        address: SocketAddr,
        address_generation: u32,
        listener: TcpListener,
    ) {
        let (mut crashed, mut refusing) = (self.crashed.subscribe(), self.refusing.subscribe());
        let mut address_generations = self.address_generation.subscribe();
        let mut listener = Some(listener);
        loop {
            let accepting = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                _ = crashed.wait_for(|crashed| *crashed) => return,
                _ = address_generations.wait_for(|now| *now > address_generation) => return,
                changed = refusing.changed() => {
                    let refuses = changed.is_err() || *refusing.borrow_and_update();
                    listener = if refuses { None } else { listen(address).await.ok() };
                }
                accepted = accepting => if let Ok((stream, _)) = accepted {
                    spawn_local(self.clone().serve_connection(limiter, address_generation, Wire::new(stream)));
                },
            }
        }
    }

    async fn serve_connection(
        self: Rc<Self>,
        limiter: usize,
        address_generation: u32,
        mut wire: Wire,
    ) {
        self.connections.set(self.connections.get() + 1);
        self.world.recorder.record(EventKind::ServerConnected {
            incarnation: self.incarnation,
            limiter,
        });
        let mut crashed = self.crashed.subscribe();
        // The attempt in flight on this connection, if any.
        let in_flight = Cell::new(None);
        let ended = tokio::select! {
            biased;
            _ = crashed.wait_for(|crashed| *crashed) => None,
            ended = self.serve_requests(limiter, address_generation, &mut wire, &in_flight) => Some(ended),
        };
        self.connections.set(self.connections.get() - 1);
        if let Some(attempt) = in_flight.get() {
            let end = match ended {
                Some(ConnectionEnd::ClosedByPeer) => AttemptEnd::Withdrawn,
                Some(ConnectionEnd::ClosedByServer | ConnectionEnd::Reset) | None => {
                    AttemptEnd::Broken
                }
            };
            self.world
                .recorder
                .record(EventKind::AttemptEnded { attempt, end });
        }
        if !matches!(
            ended,
            Some(ConnectionEnd::ClosedByPeer | ConnectionEnd::ClosedByServer)
        ) {
            wire.reset();
        }
    }

    /// Serves requests one after the other until either side ends the connection.
    async fn serve_requests(
        &self,
        limiter: usize,
        address_generation: u32,
        wire: &mut Wire,
        in_flight: &Cell<Option<AttemptId>>,
    ) -> ConnectionEnd {
        let world = &self.world;
        let link = &world.links[limiter][world.zone(self.server)];
        let idle = Duration::from_secs_f64(world.scenario.site.idle_s);
        let mut address_generations = self.address_generation.subscribe();
        loop {
            tokio::select! {
                biased;
                has_bytes = wire.wait_for_bytes() => if !has_bytes {
                    return ConnectionEnd::ClosedByPeer;
                },
                _ = address_generations.wait_for(|now| *now > address_generation) => return ConnectionEnd::ClosedByServer,
                () = tokio::time::sleep(idle) => return ConnectionEnd::ClosedByServer,
            }
            let began = world.recorder.now();
            let (head, body) = match wire.read(false).await {
                Ok(message) => message,
                Err(ReadError::Closed | ReadError::Truncated) => {
                    return ConnectionEnd::ClosedByPeer
                }
                Err(ReadError::Malformed) => return ConnectionEnd::ClosedByServer,
            };
            if let Some(answer) = self.probe_response(&head) {
                tokio::select! {
                    () = wire.wait_until_closed() => return ConnectionEnd::ClosedByPeer,
                    () = async { self.wait_while_stalled().await; link.carry_request().await; link.carry_response().await } => {}
                }
                if wire.stream.write_all(answer.as_bytes()).await.is_err() {
                    return ConnectionEnd::ClosedByPeer;
                }
                continue;
            }
            let attempt = AttemptId(World::take_number(&world.next_attempt));
            let request_id = head
                .header("req-id")
                .and_then(|id| world.schedule.parse_id(id));
            // If all limiters reach the server at one address, the limiter is the one that the client sent the request
            // to.
            let target = request_id.filter(|_| world.scenario.site.one_address);
            let target = target
                .and_then(|request_id| world.limiter_by_request.borrow().get(&request_id).copied());
            let limiter = target.unwrap_or(limiter);
            world.recorder.record_at(
                began,
                EventKind::AttemptStarted {
                    attempt,
                    incarnation: self.incarnation,
                    limiter,
                },
            );
            in_flight.set(Some(attempt));
            // The link carries the request to the server; a limiter that closes the connection meanwhile cancels it.
            let arrives = async {
                link.carry_request().await;
                self.wait_while_stalled().await;
            };
            tokio::select! {
                biased;
                () = wire.wait_until_closed() => return ConnectionEnd::ClosedByPeer,
                () = arrives => {}
            }
            let work = request_id
                .and_then(|request_id| world.schedule.arrival(request_id))
                .map_or(0.0, |arrival| arrival.work);
            world.recorder.record(EventKind::AttemptReceived {
                attempt,
                request: request_id,
                work,
            });
            let Some(request_id) = request_id else {
                _ = wire
                    .stream
                    .write_all(b"HTTP/1.1 400 Unknown\r\nContent-Length: 0\r\n\r\n")
                    .await;
                world.recorder.record(EventKind::AttemptEnded {
                    attempt,
                    end: AttemptEnd::Errored,
                });
                in_flight.set(None);
                continue;
            };
            if let Some(arrival) = world.schedule.arrival(request_id) {
                let (customer, units) = (arrival.customer, arrival.class().units);
                world
                    .meter
                    .borrow_mut()
                    .count(request_id, customer, units, world.recorder.now());
            }
            if self.overloads(work) {
                self.crash();
                return ConnectionEnd::Reset;
            }
            let reply = tokio::select! {
                biased;
                () = wire.wait_until_closed() => return ConnectionEnd::ClosedByPeer,
                reply = async {
                    let reply = self.process_request(attempt, request_id, work, &head, &body).await;
                    self.wait_while_stalled().await;
                    link.carry_response().await;
                    reply
                } => reply,
            };
            if let Some(ended) = self
                .write_reply(wire, attempt, request_id, reply, in_flight)
                .await
            {
                return ended;
            }
        }
    }

    async fn wait_while_stalled(&self) {
        let mut stalled = self.stalled.subscribe();
        _ = stalled.wait_for(|stalled| !stalled).await;
    }

    fn probe_response(&self, head: &Head) -> Option<String> {
        let body = match (head.method.as_str(), head.path.as_str()) {
            ("GET", "/health/live") => String::new(),
            ("GET", "/stats") => self.load_report(),
            _ => return None,
        };
        Some(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    /// Records the work and returns whether the server is overloaded while cold: whether the work received within
    /// [`OVERLOAD_WINDOW`], apart from its heaviest request, exceeds [`OVERLOAD_MULTIPLE`] times what the server can
    /// do in that time. An overloaded server crashes and stays down.
    fn overloads(&self, work: f64) -> bool {
        let now = self.world.recorder.now();
        if now > self.started_at + self.warm_after {
            return false;
        }
        let mut recent_work = self.recent_work.borrow_mut();
        recent_work.push_back((now, work));
        while recent_work
            .front()
            .is_some_and(|(at, _)| at + OVERLOAD_WINDOW < now)
        {
            recent_work.pop_front();
        }
        let sum: f64 = recent_work.iter().map(|(_, work)| work).sum();
        let heaviest_request = recent_work
            .iter()
            .map(|(_, work)| *work)
            .fold(0.0, f64::max);
        let capacity = self.speed * self.world.scenario.site.cores as f64;
        sum > OVERLOAD_MULTIPLE * capacity * self.capacity_share(now) * OVERLOAD_WINDOW as f64
            / 1000.0
            + heaviest_request
    }

    /// Processes a request: waits for a core, deduplicates within the zone, and sleeps for the duration of the work.
    async fn process_request(
        &self,
        attempt: AttemptId,
        request_id: RequestId,
        work: f64,
        head: &Head,
        body: &[u8],
    ) -> Reply {
        let world = &self.world;
        let Some(arrival) = world.schedule.arrival(request_id) else {
            return Reply::Declined;
        };
        let site = &world.scenario.site;
        let declines_all = self
            .response_fault
            .borrow()
            .is_some_and(|(kind, _)| kind == ResponseFault::Decline);
        if declines_all
            || self.connections.get() > site.connections
            || self.waiting.get() > site.queue
        {
            return Reply::Declined;
        }
        let waiting = QueueSlot::enter(&self.waiting);
        let permit = self.cores.acquire().await;
        drop(waiting);
        if permit.is_err() {
            return Reply::Declined;
        }
        let now = world.recorder.now();
        let keyed = arrival.class().repeat == Repeat::Keyed;
        let mut deduplicated = false;
        if keyed {
            let mut deduplication = world.deduplication.borrow_mut();
            let zone = &mut deduplication[world.zone(self.server)];
            deduplicated = zone
                .get(&arrival.key)
                .is_some_and(|at| now <= at + DEDUP_WINDOW);
            if !deduplicated {
                zone.insert(arrival.key, now);
            }
        }
        // Requests of a safe class have no effect that could be repeated.
        let effect = arrival.class().repeat != Repeat::Safe && !deduplicated;
        let repeated_effect = effect && !world.executed_keys.borrow_mut().insert(arrival.key);
        world.recorder.record(EventKind::AttemptDequeued {
            attempt,
            repeated_effect,
            deduplicated,
        });
        let work = if deduplicated {
            DEDUPLICATED_WORK
        } else {
            work
        };
        let time = work / (self.speed * self.capacity_share(now));
        tokio::time::sleep(Duration::from_secs_f64(time / 1000.0)).await;
        self.mean_service_ms
            .set(self.mean_service_ms.get() * 0.9 + time * 0.1);
        let id = head.header("req-id").unwrap_or_default();
        Reply::Served(format!(
            "{id} life {} took {} bytes",
            self.incarnation.0,
            body.len()
        ))
    }

    /// Writes the response, which a fault may falsify; returns how the connection ended, if it did.
    async fn write_reply(
        &self,
        wire: &mut Wire,
        attempt: AttemptId,
        request_id: RequestId,
        reply: Reply,
        in_flight: &Cell<Option<AttemptId>>,
    ) -> Option<ConnectionEnd> {
        let world = &self.world;
        let (end, text) = match reply {
            Reply::Declined => {
                let head = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n";
                (
                    AttemptEnd::Declined,
                    format!("{head}Srv-Load: {}\r\n\r\n", self.load_report()),
                )
            }
            Reply::Served(body) => {
                let headers = format!(
                    "Srv-Load: {}\r\n{}",
                    self.load_report(),
                    self.usage_header(request_id)
                );
                let roll = uniform(world.scenario.seed, attempt);
                let fault = *self.response_fault.borrow();
                match fault
                    .filter(|(_, share)| roll < *share)
                    .map(|(kind, _)| kind)
                {
                    Some(kind) if kind != ResponseFault::Error => {
                        return Some(write_faulty_response(kind, wire, &headers, &body).await);
                    }
                    None if roll >= world.scenario.site.error_rate => {
                        let length = body.len();
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
                        );
                        (AttemptEnd::Served, text)
                    }
                    _ => {
                        let text =
                            format!("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n{headers}\r\n");
                        (AttemptEnd::Errored, text)
                    }
                }
            }
        };
        if wire.stream.write_all(text.as_bytes()).await.is_err() {
            return Some(ConnectionEnd::ClosedByPeer);
        }
        world
            .recorder
            .record(EventKind::AttemptEnded { attempt, end });
        in_flight.set(None);
        None
    }

    /// The load report, refreshed at the interval of the scenario.
    fn load_report(&self) -> String {
        let now = self.world.recorder.now();
        let mut report = self.report.borrow_mut();
        let every = (self.world.scenario.site.report_ms * 1000.0) as Micros;
        if report.1.is_empty() || now >= report.0 + every {
            let text = format!(
                "mean_ms={:.1},depth={}",
                self.mean_service_ms.get(),
                self.waiting.get()
            );
            *report = (now, text);
        }
        report.1.clone()
    }

    /// The header with the customer's usage of its quota in percent; empty while no period is known.
    fn usage_header(&self, request_id: RequestId) -> String {
        let world = &self.world;
        let Some(arrival) = world.schedule.arrival(request_id) else {
            return String::new();
        };
        let now = world.recorder.now();
        let Some(units) = world
            .meter
            .borrow()
            .last_known_period(arrival.customer, now)
        else {
            return String::new();
        };
        let plan = &PLANS[world.schedule.customers[arrival.customer as usize].plan];
        format!("X-RateLimit-Used: {:.1}\r\n", 100.0 * units / plan.rate)
    }
}

/// How a connection ended.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    ClosedByPeer,
    ClosedByServer,
    Reset,
}

async fn write_faulty_response(
    fault: ResponseFault,
    wire: &mut Wire,
    headers: &str,
    body: &str,
) -> ConnectionEnd {
    let length = body.len();
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    let half = &whole[..whole.len() - length / 2];
    match fault {
        ResponseFault::Reset => ConnectionEnd::Reset,
        ResponseFault::Half => {
            _ = wire.stream.write_all(half.as_bytes()).await;
            ConnectionEnd::ClosedByServer
        }
        ResponseFault::Garbled => {
            _ = wire
                .stream
                .write_all(b"HTTP/one.one two hundred\r\n\x00\xff\r\n\r\n")
                .await;
            ConnectionEnd::ClosedByServer
        }
        ResponseFault::Stall => {
            _ = wire.stream.write_all(half.as_bytes()).await;
            wire.wait_until_closed().await;
            ConnectionEnd::ClosedByPeer
        }
        ResponseFault::Trickle => {
            for byte in whole.as_bytes() {
                let written = wire.stream.write_all(std::slice::from_ref(byte)).await;
                let pause = tokio::time::timeout(TRICKLE_INTERVAL, wire.wait_until_closed()).await;
                if written.is_err() || pause.is_ok() {
                    return ConnectionEnd::ClosedByPeer;
                }
            }
            ConnectionEnd::ClosedByServer
        }
        ResponseFault::Mute | ResponseFault::Error | ResponseFault::Decline => {
            wire.wait_until_closed().await;
            ConnectionEnd::ClosedByPeer
        }
    }
}

/// A slot in the queue, released when dropped.
struct QueueSlot<'a>(&'a Cell<usize>);

impl QueueSlot<'_> {
    fn enter(count: &Cell<usize>) -> QueueSlot<'_> {
        count.set(count.get() + 1);
        QueueSlot(count)
    }
}

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A number from 0 to 1 that depends on the seed and the attempt alone (`SplitMix64`, Steele et al. 2014).
fn uniform(seed: u64, attempt: AttemptId) -> f64 {
    let mut z = seed.wrapping_add(u64::from(attempt.0).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
