//! The clients and the front that deals them out: patience, retries, honoured advice, firms that move between
//! their limiters, keys asked again. One request at a time on a connection; connections are kept.

use crate::figures::{Repeat, TIMING_TOLERANCE};
use crate::http::{ReadError, Wire};
use crate::schedule::{Arrival, REQUESTS_PER_ARRIVAL};
use crate::servers::World;
use crate::trace::{Micros, RequestId, EventKind, SECOND};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Idle connections that the front keeps to one limiter.
const MAX_IDLE_CONNECTIONS: usize = 128;
/// A connection to a limiter comes up within this, or the limiter counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long beyond patience and slack a client listens, so that a late answer is seen to be late.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// All clients.
pub struct Clients {
    world: Rc<World>,
    fronts: Vec<Front>,
    open: Cell<usize>,
}

/// What the front holds of one limiter.
struct Front {
    address: SocketAddr,
    idle: RefCell<Vec<(Wire, RequestId)>>,
    /// When it went down, until it is ready again.
    down: Cell<Option<Instant>>,
}

/// How a try ended for its client.
enum RequestEnd {
    Served,
    Rejected {
        retry_after: Option<Micros>,
    },
    /// Failed, lost or given up: promises nothing.
    Failed,
    Unreachable,
    /// Sent nowhere: another limiter is to be asked.
    Misdirected,
    Cancelled,
}

impl Clients {
    /// Clients of limiters at these addresses.
    pub fn new(world: Rc<World>, limiters: &[SocketAddr]) -> Rc<Clients> {
        let front = |address: &SocketAddr| Front {
            address: *address,
            idle: RefCell::default(),
            down: Cell::new(None),
        };
        Rc::new(Clients {
            world,
            fronts: limiters.iter().map(front).collect(),
            open: Cell::new(0),
        })
    }

    /// A limiter is gone, which the front notices some time later.
    pub fn down(&self, limiter: usize) {
        self.fronts[limiter].down.set(Some(Instant::now()));
    }

    /// A limiter is ready: the front takes it in.
    pub fn up(&self, limiter: usize) {
        self.fronts[limiter].down.set(None);
    }

    /// Pieces of work that are not over yet.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Looks at all idle connections for bytes that nobody asked for, and closes them.
    pub fn close(&self) {
        for (limiter, front) in self.fronts.iter().enumerate() {
            for (wire, after) in front.idle.borrow_mut().drain(..) {
                self.look(limiter, &wire, after);
            }
        }
    }

    /// Whether an idle connection can carry another request; notes bytes that should not be there.
    fn look(&self, limiter: usize, wire: &Wire, after: RequestId) -> bool {
        let unread = wire.unread();
        if unread == Some(true) {
            self.world.recorder.note(EventKind::UnsolicitedBytes {
                limiter,
                after: Some(after),
            });
        }
        unread.is_none()
    }

    /// Plays one arrival to its end, over all its tries.
    pub async fn play(self: Rc<Self>, index: usize, until: Instant) {
        self.open.set(self.open.get() + 1);
        let schedule = &self.world.schedule;
        let arrival = &schedule.arrivals[index];
        let load = &self.world.scenario.load;
        for number in 0..=load.retries.min(REQUESTS_PER_ARRIVAL - 1) {
            let of = RequestId(index as u32 * REQUESTS_PER_ARRIVAL + number);
            let limiter = self.route(arrival, number as usize);
            let wait = match self.attempt(of, arrival, limiter, number).await {
                RequestEnd::Served | RequestEnd::Cancelled => break,
                RequestEnd::Rejected { retry_after } => retry_after.filter(|_| arrival.honours),
                RequestEnd::Unreachable => None,
                RequestEnd::Misdirected => Some(0),
                // Only what is safe to repeat is asked again after a failure.
                RequestEnd::Failed if arrival.class().repeat == Repeat::Safe => None,
                RequestEnd::Failed => break,
            };
            let own = load.backoff_ms * arrival.haste * f64::from(1u32 << number.min(10));
            let wait = wait.map_or(Duration::from_secs_f64(own / 1000.0), Duration::from_micros);
            if Instant::now() + wait > until {
                break;
            }
            sleep(wait).await;
        }
        self.open.set(self.open.get() - 1);
    }

    /// The limiter of the customer's set that a try goes to: another one each time, and none that the front
    /// knows to be down, unless all are.
    fn route(&self, arrival: &Arrival, number: usize) -> usize {
        let customer = &self.world.schedule.customers[arrival.customer as usize];
        let notice = Duration::from_secs_f64(self.world.scenario.load.front_notice_s);
        let limiters = self.fronts.len();
        let nth = |n: usize| (customer.first + (arrival.through + n) % customer.spread) % limiters;
        let known_down = |limiter: usize| {
            self.fronts[limiter]
                .down
                .get()
                .is_some_and(|at| at.elapsed() > notice)
        };
        let order = (0..customer.spread).map(|n| nth(number + n));
        order
            .clone()
            .find(|limiter| !known_down(*limiter))
            .unwrap_or_else(|| nth(number))
    }

    async fn attempt(&self, of: RequestId, arrival: &Arrival, limiter: usize, number: u32) -> RequestEnd {
        let world = &self.world;
        // One that was sent before on a kept connection may have been read: it is not known never to have run.
        let unreached = |sent_before: bool| {
            world.recorder.note(EventKind::LimiterUnreachable { what: of, limiter });
            if sent_before {
                RequestEnd::Failed
            } else {
                RequestEnd::Unreachable
            }
        };
        let text = self.request(of, arrival);
        let (mut fresh, mut sent) = (false, false);
        loop {
            let Some((mut wire, reused)) = self.connect(limiter, fresh).await else {
                return unreached(sent);
            };
            if wire.stream.write_all(&text).await.is_err() {
                if reused {
                    fresh = true;
                    continue;
                }
                return unreached(sent);
            }
            let customer = &world.schedule.customers[arrival.customer as usize];
            world.asks(of, limiter);
            world.recorder.note(EventKind::RequestSent {
                what: of,
                first: RequestId(of.0 - of.0 % REQUESTS_PER_ARRIVAL),
                limiter,
                class: arrival.class,
                plan: customer.plan,
                customer: arrival.customer,
                units: arrival.class().units,
                key: arrival.key,
                patience: arrival.patience,
                reused,
            });
            let asked = Instant::now();
            let gives_up = asked + Duration::from_micros(arrival.patience + TIMING_TOLERANCE) + LATE_RESPONSE_GRACE;
            let leaves = arrival
                .leaves
                .filter(|_| number == 0)
                .map(|after| asked + Duration::from_micros(after));
            let read = tokio::select! {
                biased;
                read = wire.read(true) => read,
                () = sleep_until(leaves.unwrap_or(gives_up)) => {
                    let left = leaves.is_some();
                    world.recorder.note(if left { EventKind::RequestCancelled { what: of } } else { EventKind::RequestTimedOut { what: of } });
                    return if left { RequestEnd::Cancelled } else { RequestEnd::Failed };
                }
            };
            let (head, body) = match read {
                Ok(message) => message,
                Err(how) => {
                    world.recorder.note(EventKind::ConnectionLost {
                        what: of,
                        begun: how != ReadError::Closed,
                    });
                    // The limiter may have closed an idle connection as the request came: sent once more.
                    if how == ReadError::Closed && reused && !fresh {
                        (fresh, sent) = (true, true);
                        continue;
                    }
                    return RequestEnd::Failed;
                }
            };
            let replayed = head.header("idempotency-replayed").is_some();
            let made_for_it = || match world.schedule.made_for(&body) {
                // A marked replay is the answer to another try under the same key.
                Some(other) if replayed => {
                    world.schedule.arrival(other).map(|a| a.key) == Some(arrival.key)
                }
                other => other == Some(of),
            };
            let retry_after = head
                .header("retry-after")
                .and_then(|text| text.parse::<f64>().ok());
            let retry_after =
                retry_after.map(|wait| (wait.clamp(0.0, 60.0) * SECOND as f64) as Micros);
            let sound = head.status != 200 || made_for_it();
            world.recorder.note(EventKind::ResponseReceived {
                what: of,
                status: head.status,
                sound,
                retry_after,
            });
            if !head.closes() {
                let mut idle = self.fronts[limiter].idle.borrow_mut();
                if idle.len() < MAX_IDLE_CONNECTIONS {
                    idle.push((wire, of));
                }
            }
            return match head.status {
                200 => RequestEnd::Served,
                429 | 503 => RequestEnd::Rejected { retry_after },
                // Misdirected (RFC 9110, section 15.5.20): another limiter of the set may take it, at once.
                421 => RequestEnd::Misdirected,
                _ => RequestEnd::Failed,
            };
        }
    }

    /// A connection that was kept, or a new one; says which.
    async fn connect(&self, limiter: usize, fresh: bool) -> Option<(Wire, bool)> {
        let front = &self.fronts[limiter];
        while let Some((wire, after)) = front.idle.borrow_mut().pop().filter(|_| !fresh) {
            if self.look(limiter, &wire, after) {
                return Some((wire, true));
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(front.address))
            .await
            .ok()?
            .ok()?;
        Some((Wire::new(stream), false))
    }

    fn request(&self, of: RequestId, arrival: &Arrival) -> Vec<u8> {
        let schedule = &self.world.schedule;
        let customer = &schedule.customers[arrival.customer as usize];
        let class = arrival.class();
        let headers = format!(
            "Host: service.internal\r\nReq-Id: {}\r\nReq-Kind: {}\r\nX-Tier: {}\r\nCookie: account={:016x}\r\n\
             Req-Deadline: {:.3}\r\nX-Call-Terms: units={},spread={},first={}\r\n",
            schedule.id(of),
            class.name,
            crate::figures::PLANS[customer.plan].name,
            customer.account,
            arrival.patience as f64 / SECOND as f64,
            class.units,
            customer.spread,
            customer.first,
        );
        if class.repeat == Repeat::Safe {
            return format!("GET /api HTTP/1.1\r\n{headers}\r\n").into_bytes();
        }
        let body = self.world.scenario.load.body;
        let key = schedule.key(arrival.key);
        let mut text = format!(
            "POST /api HTTP/1.1\r\n{headers}Idempotency-Key: {key}\r\nContent-Length: {body}\r\n\r\n"
        )
        .into_bytes();
        // A body of the key's own, the same with each repeat.
        text.extend(key.bytes().cycle().take(body));
        text
    }
}
