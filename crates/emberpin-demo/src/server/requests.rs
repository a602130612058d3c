//! How a server answers requests: it runs a few at once, queues a few, and rejects the rest.

use super::heartbeat::ServerState;
use super::{Instance, SLOTS};
use crate::record::{lock, Arrival};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// How many requests wait while all slots are taken.
const QUEUE_CAPACITY: usize = 8;
/// How long a request takes, drawn evenly.
const WORK_MILLIS: Range<u32> = 4..20;
/// How many times as long it takes while the server is warming up.
const WARM_UP_SLOWDOWN: u32 = 3;

/// Counts a request as pending until it is dropped.
struct PendingRequest<'a>(&'a AtomicUsize);

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Instance {
    /// Accepts connections until the task is aborted, which closes them.
    pub(super) async fn serve(self: Arc<Instance>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            _ = stream.set_nodelay(true);
            while connections.try_join_next().is_some() {}
            let instance = self.clone();
            connections.spawn(async move {
                let service = service_fn(|request| instance.on_request(request));
                let connection = hyper::server::conn::http1::Builder::new();
                _ = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn on_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut response = match request.uri().path() {
            "/healthz" => self.health_check().await,
            _ => self.run_request(request).await,
        };
        if self.state() == ServerState::Draining {
            set_header(&mut response, "connection", "close");
        }
        Ok(response)
    }

    async fn run_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Some(attempt_id) = header(&parts.headers, "try-id") else {
            return rejection(StatusCode::BAD_REQUEST, None);
        };
        let reject = |status| rejection(status, Some(attempt_id));
        if header(&parts.headers, "want-instance").is_some_and(|wanted| wanted != self.id) {
            return reject(StatusCode::MISDIRECTED_REQUEST);
        }
        let arrived = Instant::now();
        let deadline = header(&parts.headers, "deadline").and_then(|millis| millis.parse().ok());
        let arrival = self.record_arrival(attempt_id);
        let pending_before = self.pending_requests.fetch_add(1, Ordering::Relaxed);
        let _pending = PendingRequest(&self.pending_requests);
        if pending_before >= SLOTS + QUEUE_CAPACITY {
            return reject(StatusCode::SERVICE_UNAVAILABLE);
        }
        if body.collect().await.is_err() {
            return reject(StatusCode::BAD_REQUEST);
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return reject(StatusCode::SERVICE_UNAVAILABLE);
        };
        if deadline.is_some_and(|millis| arrived.elapsed() >= Duration::from_millis(millis)) {
            return reject(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.recorder.lock().arrivals[arrival].ran = true;
        tokio::time::sleep(self.draw_work()).await;
        self.recorder.lock().arrivals[arrival].service_time = Some(arrived.elapsed());
        self.success(attempt_id)
    }

    /// Records a request that is meant for this server; returns its index.
    fn record_arrival(&self, attempt_id: &str) -> usize {
        let at = self.recorder.now();
        let mut record = self.recorder.lock();
        record.arrivals.push(Arrival {
            at,
            attempt_id: attempt_id.into(),
            zone: self.group.zone.into(),
            ran: false,
            service_time: None,
        });
        record.arrivals.len() - 1
    }

    fn draw_work(&self) -> Duration {
        let millis = lock(&self.random).rand_range(WORK_MILLIS);
        let slowdown = match self.warm_up_left() {
            Duration::ZERO => 1,
            _ => WARM_UP_SLOWDOWN,
        };
        Duration::from_millis(u64::from(millis * slowdown))
    }

    fn success(&self, attempt_id: &str) -> Response<Full<Bytes>> {
        let body = format!("{attempt_id} by {}\n", self.id);
        let mut response = Response::new(Full::from(body));
        set_header(&mut response, "try-id", attempt_id);
        set_header(&mut response, "seal", &seal(&self.id, attempt_id));
        response
    }

    /// Answers a health check once a slot is free, as a request would be.
    async fn health_check(&self) -> Response<Full<Bytes>> {
        let _slot = self.slots.acquire().await;
        let mut response = Response::new(Full::default());
        if self.state() == ServerState::Draining {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        set_header(&mut response, "instance", &self.id);
        let warm_up_left = self.warm_up_left().as_millis().to_string();
        set_header(&mut response, "cold-ms", &warm_up_left);
        response
    }
}

/// The stamp of a server on its response to an attempt, by which the client knows that the two belong together.
pub fn seal(server_id: &str, attempt_id: &str) -> String {
    format!("{server_id}.{attempt_id}")
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set_header(response: &mut Response<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// A response that says that the request has not run.
fn rejection(status: StatusCode, attempt_id: Option<&str>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    set_header(&mut response, "not-run", "1");
    if let Some(attempt_id) = attempt_id {
        set_header(&mut response, "try-id", attempt_id);
    }
    response
}
