//! Stand-in clients. They prefer edges of their own zone, and retry only requests that are safe to retry.

use crate::deployment::{Deployment, ZONES};
use crate::edge::{ConnectionChoice, Edge, READINESS_PROBE_INTERVAL};
use crate::http::{is_success, HttpResponse, SendError};
use crate::invariants::guarantees_not_run;
use crate::record::{lock, Attempt, ClientRequest, Outcome, Recorder};
use crate::routes::{Route, RouteKind, ADDED_ROUTE, REMOVED_ROUTE};
use crate::server::seal_header_value;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until, timeout, MissedTickBehavior};

/// The maximum number of attempts for one request, including the first.
const MAX_ATTEMPTS: usize = 4;
/// The backoff before a retry, unless the response has a `retry-after` header.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);
/// A backoff is at most the remaining time divided by this.
const BACKOFF_DIVISOR: u32 = 3;
/// How often an edge is probed for its readiness during the start.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often an edge is checked for whether a change is in force.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// All clients. They share connections and a random number generator.
pub struct Clients {
    edges: Vec<Edge>,
    random: Mutex<oorandom::Rand32>,
    next_attempt: AtomicU64,
    recorder: Recorder,
}

/// How a request continues after an attempt.
enum NextStep {
    /// The request ends with this outcome.
    End(Outcome),
    /// A retry is safe; if there is none, the request ends with this outcome.
    RetryOr(Outcome),
}

/// A finished attempt.
struct FinishedAttempt {
    id: String,
    response: Result<AttemptResponse, SendError>,
}

/// The parts of a response that a client evaluates.
struct AttemptResponse {
    status: u16,
    /// Whether the `seal` header and the body are those that a server returns for this attempt.
    is_for_attempt: bool,
    retry_after: Option<Duration>,
}

impl Clients {
    /// Creates the clients of a deployment's edges.
    pub fn new(deployment: &Deployment, seed: u64, recorder: &Recorder) -> Arc<Clients> {
        let edges = deployment.edges.iter().map(|machine| {
            Edge::new(
                machine.zone,
                deployment.http_address(*machine),
                deployment.readyz_address(*machine),
            )
        });
        Arc::new(Clients {
            edges: edges.collect(),
            random: Mutex::new(oorandom::Rand32::new(seed)),
            next_attempt: AtomicU64::new(0),
            recorder: recorder.clone(),
        })
    }

    /// Waits until every edge has responded that it is ready.
    pub async fn wait_until_edges_are_ready(&self) {
        for edge in &self.edges {
            while !edge.is_ready().await {
                sleep(READINESS_POLL_INTERVAL).await;
            }
        }
    }

    /// Probes the edges for their readiness until the task is aborted.
    pub async fn probe_edges(self: Arc<Clients>) {
        loop {
            for edge in &self.edges {
                edge.probe().await;
            }
            sleep(READINESS_PROBE_INTERVAL).await;
        }
    }

    /// Sends requests at the route's rate until `end`, and waits for all of them to finish.
    pub async fn send_requests(self: Arc<Clients>, route: &'static Route, end: Instant) {
        let mut requests = JoinSet::new();
        let mut ticks = interval(Duration::from_secs_f64(1.0 / route.requests_per_second));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let end = sleep_until(end.into());
        tokio::pin!(end);
        loop {
            tokio::select! {
                biased;
                () = &mut end => break,
                _ = ticks.tick() => { requests.spawn(self.clone().request(route)); }
            }
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    /// Waits until the configuration change is in force at every edge; returns that time.
    pub async fn wait_until_change_is_in_force(self: Arc<Clients>) -> Duration {
        for edge in 0..self.edges.len() {
            while !self.is_change_in_force(edge).await {
                sleep(CHANGE_POLL_INTERVAL).await;
            }
        }
        self.recorder.now()
    }

    async fn is_change_in_force(&self, edge: usize) -> bool {
        let added = self.probe_route(edge, &ADDED_ROUTE).await;
        let removed = self.probe_route(edge, &REMOVED_ROUTE).await;
        (added, removed) == (Some(200), Some(404))
    }

    async fn probe_route(&self, edge: usize, route: &Route) -> Option<u16> {
        let choice = ConnectionChoice::Reuse;
        let attempt = self.attempt(edge, choice, route, route.deadline).await;
        attempt.response.ok().map(|response| response.status)
    }

    /// Sends one request with its retries, and records its outcome.
    async fn request(self: Arc<Clients>, route: &'static Route) {
        let started_at = Instant::now();
        let zone = ZONES[self.random_index(ZONES.len())];
        let mut attempted_edges = Vec::new();
        let (outcome, attempt_id) = loop {
            let edge = self.choose_edge(zone, &attempted_edges);
            let choice = match attempted_edges.is_empty() {
                true => ConnectionChoice::Reuse,
                false => ConnectionChoice::New,
            };
            attempted_edges.push(edge);
            let remaining = route.deadline.saturating_sub(started_at.elapsed());
            let attempt = self.attempt(edge, choice, route, remaining).await;
            let outcome = match next_step(&attempt.response, route.kind) {
                NextStep::End(outcome) => break (outcome, attempt.id),
                NextStep::RetryOr(outcome) => outcome,
            };
            let remaining = route.deadline.saturating_sub(started_at.elapsed());
            if remaining.is_zero() || attempted_edges.len() >= MAX_ATTEMPTS {
                break (outcome, attempt.id);
            }
            let retry_after = attempt
                .response
                .ok()
                .and_then(|response| response.retry_after);
            let backoff = retry_after.unwrap_or(RETRY_BACKOFF);
            sleep(backoff.min(remaining / BACKOFF_DIVISOR)).await;
        };
        let latency = started_at.elapsed();
        let is_late = latency > route.deadline;
        self.recorder.lock().requests.push(ClientRequest {
            route: route.name,
            outcome: if is_late { Outcome::Failed } else { outcome },
            latency,
            attempt_id,
            has_single_attempt: attempted_edges.len() == 1,
        });
    }

    /// Draws an edge that is in use, was not tried yet for this request, and is in the client's zone. The conditions
    /// apply in this order, and one that no remaining edge meets is ignored.
    fn choose_edge(&self, zone: &str, attempted: &[usize]) -> usize {
        let all = (0..self.edges.len()).collect();
        let in_use = filter_or_all(all, |edge| self.edges[edge].is_in_use());
        let unattempted = filter_or_all(in_use, |edge| !attempted.contains(&edge));
        let in_zone = filter_or_all(unattempted, |edge| self.edges[edge].zone == zone);
        in_zone[self.random_index(in_zone.len())]
    }

    fn random_index(&self, len: usize) -> usize {
        lock(&self.random).rand_range(0..len as u32) as usize
    }

    /// Sends a request once, with a unique attempt id, and records the attempt.
    async fn attempt(
        &self,
        edge: usize,
        choice: ConnectionChoice,
        route: &Route,
        remaining: Duration,
    ) -> FinishedAttempt {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let id = format!("try-{number:08}");
        let index = self.record_attempt(&id, route.kind);
        let exchange = async {
            let request = build_request(route, &id, remaining).ok_or(SendError::NotSent)?;
            self.edges[edge].send(request, choice).await
        };
        let response = timeout(remaining, exchange).await;
        let response = response
            .unwrap_or(Err(SendError::Broken))
            .map(|response| AttemptResponse::from_http(&response, &id));
        if let Ok(response) = &response {
            let attempt = &mut self.recorder.lock().attempts[index];
            attempt.status = Some(response.status);
            attempt.has_foreign_response = is_success(response.status) && !response.is_for_attempt;
        }
        FinishedAttempt { id, response }
    }

    /// Records an attempt before it is sent; returns its index in the record.
    fn record_attempt(&self, id: &str, kind: RouteKind) -> usize {
        let mut record = self.recorder.lock();
        record.attempts.push(Attempt {
            id: id.into(),
            is_mutating: kind == RouteKind::Mutating,
            status: None,
            has_foreign_response: false,
        });
        record.attempts.len() - 1
    }
}

/// Keeps the edges that meet a condition, or all edges if none meets it.
fn filter_or_all(edges: Vec<usize>, condition: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = edges
        .iter()
        .copied()
        .filter(|edge| condition(*edge))
        .collect();
    if kept.is_empty() {
        edges
    } else {
        kept
    }
}

fn build_request(route: &Route, id: &str, remaining: Duration) -> Option<Request<Full<Bytes>>> {
    let (method, body) = match route.kind {
        RouteKind::Mutating => (Method::POST, "entry"),
        RouteKind::Readonly => (Method::GET, ""),
    };
    Request::builder()
        .method(method)
        .uri(format!("{}{id}", route.prefix))
        .header("host", route.host)
        .header("try-id", id)
        .header("deadline", remaining.as_millis().to_string())
        .body(Full::from(body))
        .ok()
}

/// Decides whether a request ends with this attempt. A request that may have run is retried only on a readonly route.
fn next_step(response: &Result<AttemptResponse, SendError>, kind: RouteKind) -> NextStep {
    let retry_if_readonly = match kind {
        RouteKind::Readonly => NextStep::RetryOr(Outcome::Failed),
        RouteKind::Mutating => NextStep::End(Outcome::Failed),
    };
    match response {
        Ok(response) => match response.status {
            200..=299 if response.is_for_attempt => NextStep::End(Outcome::Served),
            // A success that belongs to another attempt, or a request that a retry cannot make valid.
            200..=299 | 400 | 401 | 404 | 413 | 431 => NextStep::End(Outcome::Failed),
            status if guarantees_not_run(status) => NextStep::RetryOr(Outcome::Rejected),
            _ => retry_if_readonly,
        },
        Err(SendError::NotSent) => NextStep::RetryOr(Outcome::Failed),
        Err(SendError::Broken) => retry_if_readonly,
    }
}

impl AttemptResponse {
    fn from_http(response: &HttpResponse, attempt_id: &str) -> AttemptResponse {
        let server = response.text().and_then(|body| {
            body.strip_prefix(attempt_id)?
                .strip_prefix(" by ")?
                .strip_suffix('\n')
        });
        let has_seal_of =
            |server| response.header("seal") == Some(&seal_header_value(server, attempt_id));
        let retry_after = response.header("retry-after");
        let seconds = retry_after.and_then(|seconds| seconds.parse().ok());
        AttemptResponse {
            status: response.status,
            is_for_attempt: server.is_some_and(has_seal_of),
            retry_after: seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        }
    }
}
