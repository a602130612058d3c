//! Clients: they come through the edge of their zone, and keep the promises of the protocol.

use crate::http::{self, Connection, HttpResponse, SendError};
use crate::invariants::guarantees_not_run;
use crate::machines::{Deployment, ZONES};
use crate::operator::{CHANGED, HOSTS};
use crate::record::{Attempt, ClientRequest, Outcome, Recorder};
use crate::servers::seal;
use http_body_util::Full;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until, timeout, MissedTickBehavior};

/// A request is tried so often at most.
const TRIES: u32 = 4;
/// Where nothing is said, the next try comes after so long.
const PAUSE: Duration = Duration::from_millis(20);
/// The platform asks edges for readiness, and goes by two misses.
const PROBES: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;
/// How often an edge is asked whether a change is in force.
const LOOKS: Duration = Duration::from_millis(5);

/// What clients ask for.
pub struct Route {
    /// As in the configuration.
    pub name: &'static str,
    host: &'static str,
    prefix: &'static str,
    is_mutating: bool,
    deadline: Duration,
    /// Requests a second.
    per_s: f64,
}

/// The routes that clients use all the time.
pub static ROUTES: [Route; 2] = [
    Route {
        name: "look-up",
        host: HOSTS[0],
        prefix: "/charts/",
        is_mutating: false,
        deadline: Duration::from_millis(1500),
        per_s: 60.0,
    },
    Route {
        name: "commit",
        host: HOSTS[1],
        prefix: "/entries/",
        is_mutating: true,
        deadline: Duration::from_millis(2000),
        per_s: 30.0,
    },
];

/// Those by which an edge is asked whether the change is in force: one must be there, the other must not.
static LOOKED_AT: [Route; 2] = [looked_at(CHANGED[0]), looked_at(CHANGED[1])];

const fn looked_at(prefix: &'static str) -> Route {
    let deadline = Duration::from_secs(1);
    Route {
        name: "",
        host: HOSTS[0],
        prefix,
        is_mutating: false,
        deadline,
        per_s: 0.0,
    }
}

struct Edge {
    http: SocketAddr,
    readyz: SocketAddr,
    zone: &'static str,
    missed: AtomicU32,
    idle: Mutex<Vec<Connection>>,
}

/// All clients.
pub struct Clients {
    edges: Vec<Edge>,
    random: Mutex<oorandom::Rand32>,
    next: AtomicU64,
    recorder: Recorder,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Clients {
    /// Clients of these edges.
    pub fn new(deployment: &Deployment, seed: u64, recorder: &Recorder) -> Arc<Clients> {
        let addresses = deployment.http().into_iter().zip(deployment.readyz());
        let edges = addresses
            .zip(&deployment.edges)
            .map(|((http, readyz), place)| Edge {
                http,
                readyz,
                zone: place.zone,
                missed: AtomicU32::new(0),
                idle: Mutex::default(),
            });
        Arc::new(Clients {
            edges: edges.collect(),
            random: Mutex::new(oorandom::Rand32::new(seed)),
            next: AtomicU64::new(0),
            recorder: recorder.clone(),
        })
    }

    /// Until every edge has said that it is ready.
    pub async fn all_ready(&self) {
        for edge in &self.edges {
            while !edge.is_ready().await {
                sleep(PAUSE).await;
            }
        }
    }

    /// Asks edges for their readiness, for as long as it is not aborted.
    pub async fn probe(self: Arc<Clients>) {
        loop {
            for edge in &self.edges {
                match edge.is_ready().await {
                    true => edge.missed.store(0, Ordering::Relaxed),
                    false => _ = edge.missed.fetch_add(1, Ordering::Relaxed),
                }
            }
            sleep(PROBES).await;
        }
    }

    /// Sends requests on a route at its pace until then, and waits for the last.
    pub async fn send(self: Arc<Clients>, route: &'static Route, until: Instant) {
        let mut requests = JoinSet::new();
        let mut beat = interval(Duration::from_secs_f64(1.0 / route.per_s));
        beat.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let end = sleep_until(until.into());
        tokio::pin!(end);
        loop {
            tokio::select! {
                biased;
                () = &mut end => break,
                _ = beat.tick() => { requests.spawn(self.clone().request(route)); }
            }
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    async fn request(self: Arc<Clients>, route: &'static Route) {
        let began = Instant::now();
        let zone = ZONES[self.draw(ZONES.len())];
        let mut tried = Vec::new();
        let (outcome, attempt_id) = loop {
            let left = route.deadline.saturating_sub(began.elapsed());
            let edge = self.choose(zone, &tried);
            tried.push(edge);
            let (attempt_id, answer) = self.attempt(edge, tried.len() > 1, route, left).await;
            let again = match &answer {
                Ok(AttemptResponse {
                    status: 200..=299,
                    is_own,
                    ..
                }) => {
                    break (
                        if *is_own {
                            Outcome::Served
                        } else {
                            Outcome::Failed
                        },
                        attempt_id,
                    );
                }
                Ok(AttemptResponse {
                    status: 400 | 401 | 404 | 413 | 431,
                    ..
                }) => break (Outcome::Failed, attempt_id),
                Ok(AttemptResponse { status, .. }) => {
                    guarantees_not_run(*status) || !route.is_mutating
                }
                Err(SendError::NotSent) => true,
                Err(SendError::Broken) => !route.is_mutating,
            };
            let left = route.deadline.saturating_sub(began.elapsed());
            if !again || left.is_zero() || tried.len() >= TRIES as usize {
                let refused = matches!(&answer, Ok(AttemptResponse { status, .. }) if guarantees_not_run(*status));
                break (
                    if refused {
                        Outcome::Refused
                    } else {
                        Outcome::Failed
                    },
                    attempt_id,
                );
            }
            let pause = answer
                .ok()
                .and_then(|tried| tried.retry_after)
                .unwrap_or(PAUSE);
            sleep(pause.min(left / 3)).await;
        };
        let latency = began.elapsed();
        let outcome = if latency > route.deadline {
            Outcome::Failed
        } else {
            outcome
        };
        let asked = ClientRequest {
            route: route.name,
            outcome,
            latency,
            attempt_id,
            is_first_attempt: tried.len() == 1,
        };
        self.recorder.lock().requests.push(asked);
    }

    /// An edge of the zone that is ready, or of another; another than those that were tried, if there is.
    fn choose(&self, zone: &str, tried: &[usize]) -> usize {
        let all: Vec<usize> = (0..self.edges.len()).collect();
        let part = |of: &[usize], keep: &dyn Fn(&Edge) -> bool| -> Vec<usize> {
            let kept: Vec<usize> = of
                .iter()
                .copied()
                .filter(|edge| keep(&self.edges[*edge]))
                .collect();
            if kept.is_empty() {
                of.to_vec()
            } else {
                kept
            }
        };
        let ready = part(&all, &|edge| edge.missed.load(Ordering::Relaxed) < MISSES);
        let fresh: Vec<usize> = ready
            .iter()
            .copied()
            .filter(|edge| !tried.contains(edge))
            .collect();
        let near = part(if fresh.is_empty() { &ready } else { &fresh }, &|edge| {
            edge.zone == zone
        });
        near[self.draw(near.len())]
    }

    fn draw(&self, count: usize) -> usize {
        locked(&self.random).rand_range(0..count as u32) as usize
    }

    /// One try, under an id of its own.
    async fn attempt(
        &self,
        edge: usize,
        anew: bool,
        route: &Route,
        left: Duration,
    ) -> (String, Result<AttemptResponse, SendError>) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("try-{number:08}");
        let noted = {
            let mut record = self.recorder.lock();
            let sent = Attempt {
                id: id.clone(),
                is_mutating: route.is_mutating,
                status: None,
                has_foreign_response: false,
            };
            record.attempts.push(sent);
            record.attempts.len() - 1
        };
        let exchange = self.exchange(&self.edges[edge], anew, route, &id, left);
        let answer = timeout(left, exchange)
            .await
            .unwrap_or(Err(SendError::Broken));
        let tried = answer.map(|answer| AttemptResponse::of(&answer, &id));
        if let Ok(tried) = &tried {
            let mut record = self.recorder.lock();
            record.attempts[noted].status = Some(tried.status);
            record.attempts[noted].has_foreign_response =
                (200..300).contains(&tried.status) && !tried.is_own;
        }
        (id, tried)
    }

    async fn exchange(
        &self,
        edge: &Edge,
        anew: bool,
        route: &Route,
        id: &str,
        left: Duration,
    ) -> Result<HttpResponse, SendError> {
        let (method, body) = if route.is_mutating {
            (Method::POST, "entry")
        } else {
            (Method::GET, "")
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{id}", route.prefix))
            .header("host", route.host)
            .header("try-id", id)
            .header("deadline", left.as_millis().to_string())
            .body(Full::from(body))
            .map_err(|_| SendError::NotSent)?;
        let kept = if anew { None } else { edge.kept() };
        let mut sender = match kept {
            Some(sender) => sender,
            None => http::connect(edge.http).await?,
        };
        let answer = http::send(&mut sender, request).await?;
        if answer
            .headers
            .get("connection")
            .is_none_or(|value| value != "close")
        {
            locked(&edge.idle).push(sender);
        }
        Ok(answer)
    }

    /// Asks every edge until the change is in force there; returns when it was at the last.
    pub async fn in_force(self: Arc<Clients>) -> Duration {
        for edge in 0..self.edges.len() {
            loop {
                let mut seen = [0; 2];
                for (seen, route) in seen.iter_mut().zip(&LOOKED_AT) {
                    let (_, tried) = self.attempt(edge, false, route, route.deadline).await;
                    *seen = tried.map_or(0, |tried| tried.status);
                }
                if seen == [200, 404] {
                    break;
                }
                sleep(LOOKS).await;
            }
        }
        self.recorder.now()
    }
}

impl Edge {
    async fn is_ready(&self) -> bool {
        let answer = http::call(self.readyz, Method::GET, "/readyz", String::new(), PROBES).await;
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// A connection that is open and idle.
    fn kept(&self) -> Option<Connection> {
        let mut idle = locked(&self.idle);
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }
}

/// An answer, as a client looks at it.
struct AttemptResponse {
    status: u16,
    /// Its seal and its body are those of the server for this very try.
    is_own: bool,
    retry_after: Option<Duration>,
}

impl AttemptResponse {
    fn of(answer: &HttpResponse, id: &str) -> AttemptResponse {
        let text = |name| {
            answer
                .headers
                .get(name)
                .and_then(|value: &hyper::header::HeaderValue| value.to_str().ok())
        };
        let body = std::str::from_utf8(&answer.body).ok();
        let server = body.and_then(|body| {
            body.strip_prefix(id)?
                .strip_prefix(" by ")?
                .strip_suffix('\n')
        });
        let seconds = text("retry-after").and_then(|seconds| seconds.parse().ok());
        AttemptResponse {
            status: answer.status,
            is_own: server.is_some_and(|server| text("seal") == Some(seal(server, id).as_str())),
            retry_after: seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        }
    }
}
