//! Stand-in servers: each life beats, serves, and drains, leaves or crashes as it is told.

use crate::http;
use crate::machines::BEAT;
use crate::record::{Arrival, Recorder};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use jzon::object;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};

/// Requests that a server works on at once, and those that wait.
const SLOTS: usize = 4;
const QUEUE: usize = 8;
/// Between these times of work, in milliseconds; so many times as much while it is cold.
const WORK: (u32, u32) = (4, 20);
const COLD_FACTOR: u32 = 3;
/// How long a server that starts during traffic stays cold.
pub const WARMUP: Duration = Duration::from_secs(1);
/// A beat is acknowledged within this time, or goes to the next one.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);
/// How long a server that leaves goes on serving after its drain.
const LITTLE_LONGER: Duration = Duration::from_millis(200);

/// One life of a server. It crashes when this goes: nothing is said, and its connections are closed.
pub struct Server {
    life: Arc<Instance>,
    task: AbortHandle,
}

struct Instance {
    id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    ctl: Vec<SocketAddr>,
    /// Where the last beat was told to send the next one.
    beat_at: Mutex<Option<SocketAddr>>,
    cold_until: Instant,
    slots: Semaphore,
    held: AtomicUsize,
    leaving: AtomicBool,
    seq: AtomicU64,
    random: Mutex<oorandom::Rand32>,
    recorder: Recorder,
}

/// Counts a request for as long as the server has it.
struct Held<'a>(&'a AtomicUsize);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    /// Starts a life; it is cold if there is traffic already.
    ///
    /// # Errors
    ///
    /// As the system says.
    pub async fn start(
        (service, zone): (&'static str, &'static str),
        id: String,
        is_cold: bool,
        ctl: &[SocketAddr],
        seed: u64,
        recorder: &Recorder,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let life = Arc::new(Instance {
            id,
            service,
            zone,
            address: listener.local_addr()?,
            ctl: ctl.to_vec(),
            beat_at: Mutex::default(),
            cold_until: Instant::now() + if is_cold { WARMUP } else { Duration::ZERO },
            slots: Semaphore::new(SLOTS),
            held: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            random: Mutex::new(oorandom::Rand32::new(seed)),
            recorder: recorder.clone(),
        });
        let lives = life.clone();
        let task =
            tokio::spawn(async move { tokio::join!(lives.clone().serve(listener), lives.beats()) });
        Ok(Server {
            life,
            task: task.abort_handle(),
        })
    }

    /// Says that it drains, goes on for the time that it must, says that it leaves, and ends. Returns whether both
    /// were acknowledged.
    pub async fn leave(self, drain: Duration) -> bool {
        self.life.leaving.store(true, Ordering::Relaxed);
        let drains = self.life.beat().await;
        tokio::time::sleep(drain + LITTLE_LONGER).await;
        let path = format!("/instances/{}/leave", self.life.id);
        let left = self.life.tell(&path, String::new()).await.is_some();
        drains && left
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Instance {
    fn cold_left(&self) -> Duration {
        self.cold_until.saturating_duration_since(Instant::now())
    }

    // ---- Beats ----

    async fn beats(self: Arc<Instance>) {
        loop {
            self.beat().await;
            tokio::time::sleep(BEAT).await;
        }
    }

    async fn beat(&self) -> bool {
        let state = if self.leaving.load(Ordering::Relaxed) {
            "drain"
        } else {
            "up"
        };
        let body = object! {
            addr: self.address.to_string(),
            sysinfo: { svc: self.service, ver: "v1", az: self.zone, slots: SLOTS },
            stat: {
                state: state,
                seq: self.seq.fetch_add(1, Ordering::Relaxed) + 1,
                warm_left: format!("{}ms", self.cold_left().as_millis()),
            },
        };
        let path = format!("/instances/{}/heartbeat", self.id);
        self.tell(&path, body.dump()).await.is_some()
    }

    /// Calls the address that it was told, then one control address after the other until one acknowledges.
    async fn tell(&self, path: &str, body: String) -> Option<()> {
        let told = locked(&self.beat_at).take();
        // Instances of different servers begin at different addresses.
        let first = usize::from(self.address.port());
        let others = (0..self.ctl.len()).map(|turn| self.ctl[(first + turn) % self.ctl.len()]);
        for to in told.into_iter().chain(others) {
            let answer = http::call(to, Method::POST, path, body.clone(), ACKNOWLEDGED).await;
            if let Some(answer) = answer.filter(|answer| (200..300).contains(&answer.status)) {
                let body = std::str::from_utf8(&answer.body)
                    .ok()
                    .and_then(|body| jzon::parse(body).ok());
                let named = body.and_then(|body| body["hb_addr"].as_str()?.parse().ok());
                *locked(&self.beat_at) = named;
                return Some(());
            }
        }
        None
    }

    // ---- Requests ----

    async fn serve(self: Arc<Instance>, listener: TcpListener) {
        // Connections go with the life.
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            _ = stream.set_nodelay(true);
            while connections.try_join_next().is_some() {}
            let life = self.clone();
            connections.spawn(async move {
                let service = service_fn(|request| life.answer(request));
                let connection = hyper::server::conn::http1::Builder::new();
                _ = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut answer = self.work(request).await;
        if self.leaving.load(Ordering::Relaxed) {
            head(&mut answer, "connection", "close");
        }
        Ok(answer)
    }

    async fn work(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        if parts.uri.path() == "/healthz" {
            return self.health().await;
        }
        let Some(attempt_id) = text(&parts.headers, "try-id") else {
            return not_run(400, "");
        };
        if text(&parts.headers, "want-instance").is_some_and(|wanted| wanted != self.id) {
            return not_run(421, &attempt_id);
        }
        let begun = Instant::now();
        let deadline = text(&parts.headers, "deadline").and_then(|millis| millis.parse().ok());
        let arrival = self.arrived(&attempt_id);
        if self.held.fetch_add(1, Ordering::Relaxed) >= SLOTS + QUEUE {
            drop(Held(&self.held));
            return not_run(503, &attempt_id);
        }
        let _held = Held(&self.held);
        if body.collect().await.is_err() {
            return not_run(400, &attempt_id);
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return not_run(503, &attempt_id);
        };
        if deadline.is_some_and(|millis| begun.elapsed() >= Duration::from_millis(millis)) {
            return not_run(503, &attempt_id);
        }
        self.recorder.lock().arrivals[arrival].ran = true;
        let work = locked(&self.random).rand_range(WORK.0..WORK.1);
        let factor = if self.cold_left() > Duration::ZERO {
            COLD_FACTOR
        } else {
            1
        };
        tokio::time::sleep(Duration::from_millis(u64::from(work * factor))).await;
        self.recorder.lock().arrivals[arrival].service_time = Some(begun.elapsed());
        let mut answer = Response::new(Full::from(format!("{attempt_id} by {}\n", self.id)));
        head(&mut answer, "try-id", &attempt_id);
        head(&mut answer, "seal", &seal(&self.id, &attempt_id));
        answer
    }

    fn arrived(&self, attempt_id: &str) -> usize {
        let arrival = Arrival {
            at: self.recorder.now(),
            attempt_id: attempt_id.into(),
            zone: self.zone.into(),
            ran: false,
            service_time: None,
        };
        let mut record = self.recorder.lock();
        record.arrivals.push(arrival);
        record.arrivals.len() - 1
    }

    async fn health(&self) -> Response<Full<Bytes>> {
        let _slot = self.slots.acquire().await;
        let mut answer = Response::new(Full::default());
        if self.leaving.load(Ordering::Relaxed) {
            *answer.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        }
        head(&mut answer, "instance", &self.id);
        head(
            &mut answer,
            "cold-ms",
            &self.cold_left().as_millis().to_string(),
        );
        answer
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A server's stamp on its answer to a try.
pub fn seal(id: &str, attempt_id: &str) -> String {
    format!("{id}.{attempt_id}")
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}

fn head(answer: &mut Response<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
}

fn not_run(status: u16, attempt_id: &str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    head(&mut answer, "not-run", "1");
    if !attempt_id.is_empty() {
        head(&mut answer, "try-id", attempt_id);
    }
    answer
}
