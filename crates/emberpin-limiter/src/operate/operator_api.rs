//! The operators' HTTP interface: it has its own address, thread and runtime, so that its responses do not wait for
//! clients' requests.
//!
//! Metrics are read directly. Commands about servers go to the driver; a command that the driver does not confirm in
//! time fails, and the driver must not execute it later.

use crate::operate::figures::LimiterMetrics;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Maximum number of connections; a descriptor is reserved for each. When all are in use, the connection that has
/// waited longest without a complete request is closed for the next one.
pub const MAX_CONNECTIONS: usize = 32;
/// Maximum duration of a connection, from accepting it to the end of the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// The driver must confirm a command within this time, as responses are due within a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a failed accept: without free descriptors, an immediate retry would only spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum length of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a server's id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum number of commands queued for the driver.
const MAX_QUEUED_COMMANDS: usize = 64;

const READINESS: &str = "/ops/readiness";
const STATS: &str = "/ops/stats";
const DOWN: &str = "/ops/servers/down/";
const UP: &str = "/ops/servers/up/";

/// A command to take a server out of service or put it back.
pub struct ServerCommand {
    /// The server's name in the endpoint list.
    pub server: String,
    /// Whether the server is to be out of service.
    pub out_of_service: bool,
    /// Receives the confirmation. If it is closed, the operator's request has timed out or was dropped, and the
    /// command must not be executed.
    pub reply_to: oneshot::Sender<Result<(), UnknownServer>>,
}

/// No server of this name was ever listed.
#[derive(Debug)]
pub struct UnknownServer;

/// The state that the interface reads, and the channel to the driver.
struct OperatorApi {
    ready: Arc<AtomicBool>,
    metrics: Arc<LimiterMetrics>,
    commands: mpsc::Sender<ServerCommand>,
}

/// Opens the interface and returns the receiver of its commands, which stays open until the process exits. `ready` says
/// whether this process is ready for clients.
///
/// # Errors
///
/// One line that says why the address could not be bound, or the thread or its runtime not started.
pub fn open(
    address: SocketAddr,
    ready: Arc<AtomicBool>,
    metrics: Arc<LimiterMetrics>,
) -> Result<mpsc::Receiver<ServerCommand>, String> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    let listener = bound.map_err(|e| format!("ops: cannot listen on {address}: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("ops: cannot start the async runtime: {e}"))?;
    let (commands, received) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let serving = move || {
        let api = Rc::new(OperatorApi {
            ready,
            metrics,
            commands,
        });
        LocalSet::new().block_on(&runtime, accept(api, listener));
    };
    let thread = std::thread::Builder::new().name("ops".into());
    thread
        .spawn(serving)
        .map_err(|e| format!("ops: cannot start a thread: {e}"))?;
    Ok(received)
}

/// Connections without a complete request, the longest waiting first: their numbers, and how to close them.
type WaitingConnections = Rc<RefCell<VecDeque<(u64, Rc<Notify>)>>>;

async fn accept(api: Rc<OperatorApi>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(problem) => return eprintln!("ops: cannot accept connections: {problem}"),
    };
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let waiting = WaitingConnections::default();
    for number in 0.. {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        };
        if slots.available_permits() == 0 {
            if let Some((_, close)) = waiting.borrow_mut().pop_front() {
                close.notify_one();
            }
        }
        let Ok(permit) = slots.clone().acquire_owned().await else {
            return;
        };
        let close = Rc::new(Notify::new());
        waiting.borrow_mut().push_back((number, close.clone()));
        let (api, waiting) = (api.clone(), waiting.clone());
        spawn_local(async move {
            tokio::select! {
                _ = timeout(CONNECTION_TIMEOUT, serve_connection(api, stream, number, &waiting)) => {}
                () = close.notified() => {}
            }
            waiting.borrow_mut().retain(|(other, _)| *other != number);
            drop(permit);
        });
    }
}

/// Serves the only request of a connection.
async fn serve_connection(
    api: Rc<OperatorApi>,
    stream: TcpStream,
    number: u64,
    waiting: &WaitingConnections,
) {
    _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        waiting.borrow_mut().retain(|(other, _)| *other != number);
        let api = api.clone();
        async move { Ok::<_, Infallible>(api.respond(&request).await) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    _ = connection.await;
}

impl OperatorApi {
    async fn respond<B>(&self, request: &Request<B>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let (get, put) = (Method::GET, Method::PUT);
        let expected = match path {
            READINESS | STATS => &get,
            _ if path.starts_with(DOWN) || path.starts_with(UP) => &put,
            _ => return text_response(StatusCode::NOT_FOUND, "no such call"),
        };
        if request.method() != expected {
            let mut response = text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                &format!("expected {expected}"),
            );
            if let Ok(value) = HeaderValue::from_str(expected.as_str()) {
                response.headers_mut().insert(ALLOW, value);
            }
            return response;
        }
        match path {
            READINESS if self.ready.load(Ordering::Acquire) => {
                text_response(StatusCode::OK, "takes clients")
            }
            READINESS => text_response(StatusCode::SERVICE_UNAVAILABLE, "takes no clients"),
            STATS => match self.metrics.text() {
                Ok(text) => text_response(StatusCode::OK, text.trim_end()),
                Err(problem) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &problem),
            },
            _ => match path.strip_prefix(DOWN) {
                Some(server) => self.command(server, true).await,
                None => {
                    self.command(path.strip_prefix(UP).unwrap_or_default(), false)
                        .await
                }
            },
        }
    }

    async fn command(&self, server: &str, out_of_service: bool) -> Response<Full<Bytes>> {
        let is_valid = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
        if server.is_empty() || server.len() > MAX_ID_BYTES || !server.bytes().all(is_valid) {
            let problem =
                "expected the id of a server: letters, digits and -_.: alone, 128 at most";
            return text_response(StatusCode::BAD_REQUEST, problem);
        }
        let (reply_to, reply) = oneshot::channel();
        let command = ServerCommand {
            server: server.into(),
            out_of_service,
            reply_to,
        };
        // The time limit includes the wait for space in the queue.
        let confirmation = timeout(CONFIRMATION_TIMEOUT, async {
            self.commands.send(command).await.ok()?;
            reply.await.ok()
        });
        match confirmation.await {
            Ok(Some(Ok(()))) if out_of_service => {
                text_response(StatusCode::OK, &format!("{server} gets nothing more"))
            }
            Ok(Some(Ok(()))) => text_response(StatusCode::OK, &format!("{server} may serve again")),
            Ok(Some(Err(UnknownServer))) => text_response(
                StatusCode::NOT_FOUND,
                &format!("no server {server} was ever listed"),
            ),
            Ok(None) => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "nobody takes calls any more; nothing was done",
            ),
            Err(_) => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "not confirmed in time; nothing was done, call again",
            ),
        }
    }
}

fn text_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
