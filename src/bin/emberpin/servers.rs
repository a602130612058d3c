//! The server side: attempts, probes, and one bounded pool of connections for each server.

use crate::config::Config;
use bytes::Bytes;
use dillpass::{Millis, Outcome, Report};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout_at, Instant};

/// Bodies hold no more than this.
pub const MAX_BODY: usize = 64 * 1024;
/// Idle connections kept to one server.
const MAX_IDLE: usize = 16;

/// A client's request as it goes on to servers.
pub struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A server's good answer.
pub struct Served {
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}

/// How an attempt or a probe ended. Its connection is closed or back in the pool by then.
pub struct Ended {
    pub outcome: Outcome,
    pub elapsed: Millis,
    pub report: Report,
    pub metered: Option<f64>,
    pub served: Option<Served>,
}

/// What all servers share: limits on time and on sockets.
pub struct Limits {
    connect_timeout: Duration,
    idle_limit: Duration,
    sockets: Arc<Semaphore>,
}

impl Limits {
    pub fn new(config: &Config) -> Rc<Limits> {
        Rc::new(Limits {
            connect_timeout: config.connect_timeout,
            idle_limit: config.idle_limit,
            sockets: Arc::new(Semaphore::new(config.server_sockets)),
        })
    }
}

/// One life of one server.
pub struct Upstream {
    pub address: SocketAddr,
    pub boot_ms: f64,
    limits: Rc<Limits>,
    /// Not drained nor gone.
    open: Cell<bool>,
    idle: RefCell<Vec<(Conn, Instant)>>,
}

/// A connection that is polled only by whoever uses it: dropping it closes it.
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<Counted>, Full<Bytes>>,
    closed: bool,
    written: Rc<Cell<usize>>,
    _socket: OwnedSemaphorePermit,
}

impl Upstream {
    pub fn new(address: SocketAddr, boot_ms: f64, limits: Rc<Limits>) -> Rc<Upstream> {
        Rc::new(Upstream { address, boot_ms, limits, open: Cell::new(true), idle: RefCell::default() })
    }

    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Nothing new goes there from now on, also of what is still connecting.
    pub fn shut(&self) {
        self.open.set(false);
        self.close_idle();
    }

    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends one attempt and waits for its end, the timeout or the cancellation; exactly one outcome.
    pub async fn attempt(
        self: Rc<Self>,
        outgoing: Rc<Outgoing>,
        timeout: Duration,
        cancelled: oneshot::Receiver<()>,
    ) -> Ended {
        let started = Instant::now();
        let mut request = Request::new(Full::new(outgoing.body.clone()));
        *request.method_mut() = outgoing.method.clone();
        *request.uri_mut() = outgoing.uri.clone();
        *request.headers_mut() = outgoing.headers.clone();
        let ended = tokio::select! {
            biased;
            _ = cancelled => (Outcome::Cancelled, None),
            ended = self.exchange(request, outgoing.body.len(), started, started + timeout) => ended,
        };
        describe(started, ended)
    }

    /// Asks whether the server lives.
    pub async fn probe(self: Rc<Self>) -> Ended {
        let started = Instant::now();
        let mut request = Request::new(Full::default());
        *request.uri_mut() = Uri::from_static("/health/live");
        request.headers_mut().insert(HOST, HeaderValue::from_static("service.internal"));
        describe(started, self.exchange(request, 0, started, started + self.limits.connect_timeout).await)
    }

    /// What decides between "never ran" and "may have run": an attempt never ran if no connection came
    /// up, or if it broke before the last byte was written. The head goes out before the body, so less
    /// than the body's length, or nothing, is surely not all; any doubt counts as written.
    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        body: usize,
        started: Instant,
        deadline: Instant,
    ) -> (Outcome, Option<(Response<()>, Bytes)>) {
        let connecting = timeout_at(deadline.min(started + self.limits.connect_timeout), self.connect());
        let conn = match connecting.await {
            Ok(Ok(conn)) => conn,
            Ok(Err(Refused::NoSocket)) => return (Outcome::Moot, None),
            Ok(Err(Refused::Failed)) | Err(_) => return (Outcome::ConnectFailed, None),
        };
        // Guards the drain rule: the server may have begun to drain while the connection came up. From
        // here to the first byte nothing else gets a turn.
        if !self.is_open() {
            return (Outcome::Moot, None);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if let Ok(value) = HeaderValue::try_from(format!("{:.3}", left.as_secs_f64())) {
            request.headers_mut().insert("req-deadline", value);
        }
        let written = conn.written.clone();
        let before = written.get();
        let result = timeout_at(deadline, conn.converse(request)).await;
        let out = written.get() - before;
        let never_ran = out == 0 || out < body;
        match result {
            Ok(Ok((response, answer, conn))) => {
                if let Some(conn) = conn {
                    self.keep(conn);
                }
                (judge(&response), Some((response, answer)))
            }
            _ if never_ran => (Outcome::ConnectFailed, None),
            Ok(Err(_)) => (Outcome::Reset, None),
            Err(_) => (Outcome::Timeout, None),
        }
    }

    async fn connect(&self) -> Result<Conn, Refused> {
        if let Some(conn) = self.idle_conn().await {
            return Ok(conn);
        }
        // Guards the limit on descriptors: never more connections than were set aside.
        let socket = self.limits.sockets.clone().try_acquire_owned().map_err(|_| Refused::NoSocket)?;
        let stream = TcpStream::connect(self.address).await.map_err(|_| Refused::Failed)?;
        _ = stream.set_nodelay(true);
        let written = Rc::new(Cell::new(0));
        let io = TokioIo::new(Counted { stream, written: written.clone() });
        let (sender, connection) = http1::handshake(io).await.map_err(|_| Refused::Failed)?;
        Ok(Conn { sender, connection, closed: false, written, _socket: socket })
    }

    /// A pooled connection that is young enough and that the server has not closed: a request written
    /// to one that it has closed would count as one that may have run.
    async fn idle_conn(&self) -> Option<Conn> {
        self.retire();
        loop {
            let (mut conn, _) = self.idle.borrow_mut().pop()?;
            conn.drive(std::future::ready(())).await;
            if !conn.closed && conn.sender.is_ready() {
                return Some(conn);
            }
        }
    }

    fn keep(&self, conn: Conn) {
        self.retire();
        let mut idle = self.idle.borrow_mut();
        if self.is_open() && idle.len() < MAX_IDLE {
            idle.push((conn, Instant::now()));
        }
    }

    /// Drops what stood idle for nearly as long as servers allow.
    fn retire(&self) {
        let limit = self.limits.idle_limit;
        self.idle.borrow_mut().retain(|(_, since)| since.elapsed() < limit);
    }
}

enum Refused {
    NoSocket,
    Failed,
}

impl Conn {
    /// Polls the connection along with what waits for it.
    async fn drive<F: Future>(&mut self, what: F) -> F::Output {
        let mut what = pin!(what);
        poll_fn(|context| {
            self.closed = self.closed || Pin::new(&mut self.connection).poll(context).is_ready();
            what.as_mut().poll(context)
        })
        .await
    }

    /// One request and its whole answer; the connection comes back if it can carry another.
    async fn converse(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<()>, Bytes, Option<Conn>), ()> {
        let answering = self.sender.send_request(request);
        let response: Response<Incoming> = self.drive(answering).await.map_err(drop)?;
        let (parts, body) = response.into_parts();
        let body = self.drive(Limited::new(body, MAX_BODY).collect()).await.map_err(drop)?.to_bytes();
        // One more turn, in which a connection that ends with this answer says so.
        self.drive(std::future::ready(())).await;
        let reusable = !self.closed && !self.sender.is_closed();
        Ok((Response::from_parts(parts, ()), body, reusable.then_some(self)))
    }
}

fn judge(response: &Response<()>) -> Outcome {
    let declined = response.headers().get("srv-declined").is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn describe(started: Instant, (outcome, answer): (Outcome, Option<(Response<()>, Bytes)>)) -> Ended {
    let elapsed = started.elapsed().as_secs_f64() * 1000.0;
    let Some((response, body)) = answer else {
        return Ended { outcome, elapsed, report: Report::default(), metered: None, served: None };
    };
    let text = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let used = text("x-ratelimit-used").and_then(number);
    let report = text("srv-load").map(report).unwrap_or_default();
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let served = (outcome == Outcome::Ok).then_some(Served { content_type, body });
    Ended { outcome, elapsed, report, metered: used.map(|percent| percent / 100.0), served }
}

fn number(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

/// `name=value` pairs; what is garbled or unknown is passed over.
fn report(text: &str) -> Report {
    let mut report = Report::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = number(value);
        match name.trim() {
            "latency_ms" => report.service = value,
            "queue" => report.queue = value,
            "inflight" => report.held = value,
            "util" => report.busy = value,
            _ => {}
        }
    }
    report
}

/// A stream that counts the bytes that its socket took.
struct Counted {
    stream: TcpStream,
    written: Rc<Cell<usize>>,
}

impl Counted {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.set(self.written.get() + bytes);
        }
        result
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, into)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, from);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        from: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, from);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
