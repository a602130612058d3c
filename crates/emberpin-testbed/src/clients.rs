//! The clients and the front, a load balancer that distributes their requests over the limiters: time limits, retries,
//! honoured `Retry-After`, customers that move between their limiters, and repeated keys. A connection carries one
//! request at a time and is kept for later ones.

use crate::figures::{Repeat, TIMING_TOLERANCE};
use crate::http::{ReadError, Wire};
use crate::schedule::{Arrival, MAX_REQUESTS};
use crate::servers::World;
use crate::trace::{EventKind, Micros, RequestId, SECOND};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Maximum number of idle connections that the front keeps to one limiter.
const MAX_IDLE_CONNECTIONS: usize = 128;
/// Time-out for connecting to a limiter, after which the limiter counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits beyond its time limit and the timing tolerance, so that a late response is recorded as such.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// All clients of a run.
pub struct Clients {
    world: Rc<World>,
    fronts: Vec<FrontEntry>,
    /// Number of arrivals that are not finished.
    open_arrivals: Cell<usize>,
}

/// What the front knows of one limiter.
struct FrontEntry {
    address: SocketAddr,
    /// Idle connections, each with the last request that it carried.
    idle: RefCell<Vec<(Wire, RequestId)>>,
    /// When the limiter went down; `None` while it is up.
    down_since: Cell<Option<Instant>>,
}

/// How a request ended for its client.
enum RequestEnd {
    Served,
    Rejected {
        retry_after: Option<Micros>,
    },
    /// Failed, lost or timed out: the work may or may not have run.
    Failed,
    Unreachable,
    /// Answered with 421: the request was not processed, and another limiter has to be tried.
    Misdirected,
    Cancelled,
}

impl Clients {
    /// Creates the clients of limiters at these addresses.
    pub fn new(world: Rc<World>, limiters: &[SocketAddr]) -> Rc<Clients> {
        let front = |address: &SocketAddr| FrontEntry {
            address: *address,
            idle: RefCell::default(),
            down_since: Cell::new(None),
        };
        Rc::new(Clients {
            world,
            fronts: limiters.iter().map(front).collect(),
            open_arrivals: Cell::new(0),
        })
    }

    /// Marks a limiter as down; the front notices this after the scenario's delay.
    pub fn mark_down(&self, limiter: usize) {
        self.fronts[limiter].down_since.set(Some(Instant::now()));
    }

    /// Marks a limiter as up; the front uses it again at once.
    pub fn mark_up(&self, limiter: usize) {
        self.fronts[limiter].down_since.set(None);
    }

    /// Number of arrivals that are not finished.
    pub fn open_work(&self) -> usize {
        self.open_arrivals.get()
    }

    /// Checks all idle connections for unsolicited bytes and closes them.
    pub fn close_idle_connections(&self) {
        for (limiter, front) in self.fronts.iter().enumerate() {
            for (wire, after) in front.idle.borrow_mut().drain(..) {
                self.check_idle(limiter, &wire, after);
            }
        }
    }

    /// Whether an idle connection can carry another request; records unsolicited bytes.
    fn check_idle(&self, limiter: usize, wire: &Wire, after: RequestId) -> bool {
        let unread = wire.unread_state();
        if unread == Some(true) {
            self.world.recorder.record(EventKind::StrayBytes {
                limiter,
                after: Some(after),
            });
        }
        unread.is_none()
    }

    /// Runs one arrival to its end, with all its retries.
    pub async fn run_arrival(self: Rc<Self>, index: usize, until: Instant) {
        self.open_arrivals.set(self.open_arrivals.get() + 1);
        let schedule = &self.world.schedule;
        let arrival = &schedule.arrivals[index];
        let load = &self.world.scenario.load;
        for retry in 0..=load.retries.min(MAX_REQUESTS - 1) {
            let request_id = RequestId(index as u32 * MAX_REQUESTS + retry);
            let limiter = self.route(arrival, retry as usize);
            let wait = match self.send_request(request_id, arrival, limiter, retry).await {
                RequestEnd::Served | RequestEnd::Cancelled => break,
                RequestEnd::Rejected { retry_after } => {
                    retry_after.filter(|_| arrival.honors_retry_after)
                }
                RequestEnd::Unreachable => None,
                RequestEnd::Misdirected => Some(0),
                // After a failure, only requests that are safe to repeat are retried.
                RequestEnd::Failed if arrival.class().repeat == Repeat::Safe => None,
                RequestEnd::Failed => break,
            };
            let backoff_ms =
                load.backoff_ms * arrival.backoff_factor * f64::from(1u32 << retry.min(10));
            let wait = wait.map_or(
                Duration::from_secs_f64(backoff_ms / 1000.0),
                Duration::from_micros,
            );
            if Instant::now() + wait > until {
                break;
            }
            sleep(wait).await;
        }
        self.open_arrivals.set(self.open_arrivals.get() - 1);
    }

    /// Chooses the limiter for a request from the customer's set: the next one for each retry, skipping limiters that
    /// the front knows to be down unless all of them are.
    fn route(&self, arrival: &Arrival, retry: usize) -> usize {
        let customer = &self.world.schedule.customers[arrival.customer as usize];
        let notice = Duration::from_secs_f64(self.world.scenario.load.front_notice_s);
        let limiters = self.fronts.len();
        let nth =
            |n: usize| (customer.first + (arrival.limiter_index + n) % customer.spread) % limiters;
        let is_known_down = |limiter: usize| {
            self.fronts[limiter]
                .down_since
                .get()
                .is_some_and(|at| at.elapsed() > notice)
        };
        let order = (0..customer.spread).map(|n| nth(retry + n));
        order
            .clone()
            .find(|limiter| !is_known_down(*limiter))
            .unwrap_or_else(|| nth(retry))
    }

    async fn send_request(
        &self,
        request_id: RequestId,
        arrival: &Arrival,
        limiter: usize,
        retry: u32,
    ) -> RequestEnd {
        let world = &self.world;
        // A request that was sent on a reused connection before may have been read, so that it may have run.
        let unreached = |sent_before: bool| {
            world.recorder.record(EventKind::LimiterUnreachable {
                request: request_id,
                limiter,
            });
            if sent_before {
                RequestEnd::Failed
            } else {
                RequestEnd::Unreachable
            }
        };
        let text = self.request_bytes(request_id, arrival);
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
            world.record_target(request_id, limiter);
            world.recorder.record(EventKind::RequestSent {
                request: request_id,
                first_request: RequestId(request_id.0 - request_id.0 % MAX_REQUESTS),
                limiter,
                class: arrival.class,
                plan: customer.plan,
                customer: arrival.customer,
                units: arrival.class().units,
                key: arrival.key,
                time_limit: arrival.time_limit,
                reused,
            });
            let sent_at = Instant::now();
            let stops_waiting = sent_at
                + Duration::from_micros(arrival.time_limit + TIMING_TOLERANCE)
                + LATE_RESPONSE_GRACE;
            let cancels_at = arrival
                .cancels_after
                .filter(|_| retry == 0)
                .map(|after| sent_at + Duration::from_micros(after));
            let read = tokio::select! {
                biased;
                read = wire.read(true) => read,
                () = sleep_until(cancels_at.unwrap_or(stops_waiting)) => {
                    let cancelled = cancels_at.is_some();
                    world.recorder.record(if cancelled { EventKind::RequestCancelled { request: request_id } } else { EventKind::RequestTimedOut { request: request_id } });
                    return if cancelled { RequestEnd::Cancelled } else { RequestEnd::Failed };
                }
            };
            let (head, body) = match read {
                Ok(message) => message,
                Err(error) => {
                    world.recorder.record(EventKind::ConnectionLost {
                        request: request_id,
                        partial_response: error != ReadError::Closed,
                    });
                    // The limiter may have closed the idle connection while the request was on its way, so that the
                    // request is sent once more.
                    if error == ReadError::Closed && reused && !fresh {
                        (fresh, sent) = (true, true);
                        continue;
                    }
                    return RequestEnd::Failed;
                }
            };
            let is_replay = head.header("idempotency-replayed").is_some();
            let is_for_this_request = || match world.schedule.request_of_body(&body) {
                // A response marked as a replay was made for another request with the same key.
                Some(other) if is_replay => {
                    world.schedule.arrival(other).map(|a| a.key) == Some(arrival.key)
                }
                other => other == Some(request_id),
            };
            let retry_after = head
                .header("retry-after")
                .and_then(|text| text.parse::<f64>().ok());
            let retry_after =
                retry_after.map(|wait| (wait.clamp(0.0, 60.0) * SECOND as f64) as Micros);
            let valid = head.status != 200 || is_for_this_request();
            world.recorder.record(EventKind::Responded {
                request: request_id,
                status: head.status,
                valid,
                retry_after,
            });
            if !head.closes() {
                let mut idle = self.fronts[limiter].idle.borrow_mut();
                if idle.len() < MAX_IDLE_CONNECTIONS {
                    idle.push((wire, request_id));
                }
            }
            return match head.status {
                200 => RequestEnd::Served,
                429 | 503 => RequestEnd::Rejected { retry_after },
                // Misdirected (RFC 9110, section 15.5.20): another limiter of the set is tried at once.
                421 => RequestEnd::Misdirected,
                _ => RequestEnd::Failed,
            };
        }
    }

    /// Returns a connection and whether it was kept from an earlier request; `fresh` asks for a new one.
    async fn connect(&self, limiter: usize, fresh: bool) -> Option<(Wire, bool)> {
        let front = &self.fronts[limiter];
        while let Some((wire, after)) = front.idle.borrow_mut().pop().filter(|_| !fresh) {
            if self.check_idle(limiter, &wire, after) {
                return Some((wire, true));
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(front.address))
            .await
            .ok()?
            .ok()?;
        Some((Wire::new(stream), false))
    }

    fn request_bytes(&self, request_id: RequestId, arrival: &Arrival) -> Vec<u8> {
        let schedule = &self.world.schedule;
        let customer = &schedule.customers[arrival.customer as usize];
        let class = arrival.class();
        let headers = format!(
            "Host: service.internal\r\nReq-Id: {}\r\nReq-Kind: {}\r\nX-Tier: {}\r\nCookie: account={:016x}\r\n\
             Req-Deadline: {:.3}\r\nX-Call-Terms: units={},spread={},first={}\r\n",
            schedule.id(request_id),
            class.name,
            crate::figures::PLANS[customer.plan].name,
            customer.account,
            arrival.time_limit as f64 / SECOND as f64,
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
        // The body depends on the key alone, so that it is the same for each repeat.
        text.extend(key.bytes().cycle().take(body));
        text
    }
}
