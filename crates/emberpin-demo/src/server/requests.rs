//! Request handling of a server: it runs a limited number of requests concurrently, queues a limited number, and
//! rejects the rest.

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

/// The maximum number of requests that wait while all slots are occupied.
const QUEUE_CAPACITY: usize = 8;
/// The range of service times in milliseconds, from which each request's is drawn uniformly.
const SERVICE_TIME_MILLIS: Range<u32> = 4..20;
/// The factor by which the service time is longer while the server is warming up.
const WARM_UP_SLOWDOWN: u32 = 3;

/// A guard that counts a request as pending until it is dropped.
struct PendingRequest<'a>(&'a AtomicUsize);

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Instance {
    /// Accepts and serves connections until the task is aborted, which closes all connections.
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
                let service = service_fn(|request| instance.handle_request(request));
                let connection = hyper::server::conn::http1::Builder::new();
                _ = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut response = match request.uri().path() {
            "/healthz" => self.respond_to_health_check().await,
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
        let arrived_at = Instant::now();
        let deadline = header(&parts.headers, "deadline").and_then(|millis| millis.parse().ok());
        let arrival_index = self.record_arrival(attempt_id);
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
        if deadline.is_some_and(|millis| arrived_at.elapsed() >= Duration::from_millis(millis)) {
            return reject(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.recorder.lock().arrivals[arrival_index].ran = true;
        tokio::time::sleep(self.draw_service_time()).await;
        self.recorder.lock().arrivals[arrival_index].service_time = Some(arrived_at.elapsed());
        self.success_response(attempt_id)
    }

    /// Records a request that is addressed to this server; returns its index in the record.
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

    fn draw_service_time(&self) -> Duration {
        let millis = lock(&self.random).rand_range(SERVICE_TIME_MILLIS);
        let slowdown = match self.warm_up_left() {
            Duration::ZERO => 1,
            _ => WARM_UP_SLOWDOWN,
        };
        Duration::from_millis(u64::from(millis * slowdown))
    }

    fn success_response(&self, attempt_id: &str) -> Response<Full<Bytes>> {
        let body = format!("{attempt_id} by {}\n", self.id);
        let mut response = Response::new(Full::from(body));
        set_header(&mut response, "try-id", attempt_id);
        set_header(
            &mut response,
            "seal",
            &seal_header_value(&self.id, attempt_id),
        );
        response
    }

    /// Responds to a health check once a slot is free, like to any other request.
    async fn respond_to_health_check(&self) -> Response<Full<Bytes>> {
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

/// The value of the `seal` header with which a server marks its response to an attempt, so that the client can verify
/// that the response belongs to the attempt.
pub fn seal_header_value(server_id: &str, attempt_id: &str) -> String {
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

/// Builds a response whose `not-run` header states that the request has not run.
fn rejection(status: StatusCode, attempt_id: Option<&str>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    set_header(&mut response, "not-run", "1");
    if let Some(attempt_id) = attempt_id {
        set_header(&mut response, "try-id", attempt_id);
    }
    response
}
