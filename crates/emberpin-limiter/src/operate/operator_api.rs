//! The operators' door: one more address, for the people on call alone, with a thread and a runtime of its own, so
//! that its answers do not wait for requests.
//!
//! It decides nothing. Figures are read where they are counted; calls about servers go to the driver, and a call that
//! the driver does not confirm in time is a no, never a late yes.

use crate::operate::figures::Figures;
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

/// Callers at a time: each holds a descriptor that is set aside for it. When all places are taken, the caller that
/// has been silent for longest gives way to the next one.
pub const PLACES: usize = 32;
/// A caller has this long for its whole call and its answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// The driver has this long to confirm a call: answers are due within a second.
const CONFIRM: Duration = Duration::from_millis(800);
/// Pause after a failed accept: out of descriptors, trying again at once would only spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const MAX_HEAD: usize = 8 * 1024;
const MAX_ID: usize = 128;
/// Calls that wait for the driver.
const ORDERS: usize = 64;

const READINESS: &str = "/ops/readiness";
const STATS: &str = "/ops/stats";
const DOWN: &str = "/ops/servers/down/";
const UP: &str = "/ops/servers/up/";

/// A call about a server, by the name that the list has for it.
pub struct Order {
    pub server: String,
    /// Out of service, or back.
    pub out: bool,
    /// Nobody waits for it any more if this is closed: it must not be carried out then.
    pub done: oneshot::Sender<Result<(), Unknown>>,
}

/// No server of this name was ever listed.
#[derive(Debug)]
pub struct Unknown;

/// What the door shows and where it takes calls.
struct Door {
    ready: Arc<AtomicBool>,
    figures: Arc<Figures>,
    orders: mpsc::Sender<Order>,
}

/// Opens the door; the calls come out of what is returned, for as long as the process lives. `ready` says whether this
/// process takes clients.
///
/// # Errors
///
/// One line that says why the address or the thread could not be had.
pub fn open(
    address: SocketAddr,
    ready: Arc<AtomicBool>,
    figures: Arc<Figures>,
) -> Result<mpsc::Receiver<Order>, String> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    let listener = bound.map_err(|e| format!("ops: cannot listen on {address}: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("ops: no runtime: {e}"))?;
    let (orders, received) = mpsc::channel(ORDERS);
    let serving = move || {
        let door = Rc::new(Door {
            ready,
            figures,
            orders,
        });
        LocalSet::new().block_on(&runtime, accept(door, listener));
    };
    let thread = std::thread::Builder::new().name("ops".into());
    thread
        .spawn(serving)
        .map_err(|e| format!("ops: no thread: {e}"))?;
    Ok(received)
}

/// Callers that have not sent their whole call yet, the longest waiting first.
type Silent = Rc<RefCell<VecDeque<(u64, Rc<Notify>)>>>;

async fn accept(door: Rc<Door>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(problem) => return eprintln!("ops: the door stays shut: {problem}"),
    };
    let places = Arc::new(Semaphore::new(PLACES));
    let silent = Silent::default();
    for number in 0.. {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        };
        if places.available_permits() == 0 {
            if let Some((_, end)) = silent.borrow_mut().pop_front() {
                end.notify_one();
            }
        }
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let end = Rc::new(Notify::new());
        silent.borrow_mut().push_back((number, end.clone()));
        let (door, silent) = (door.clone(), silent.clone());
        spawn_local(async move {
            tokio::select! {
                _ = timeout(PATIENCE, call(door, stream, number, &silent)) => {}
                () = end.notified() => {}
            }
            silent.borrow_mut().retain(|(other, _)| *other != number);
            drop(place);
        });
    }
}

/// One call on one connection.
async fn call(door: Rc<Door>, stream: TcpStream, number: u64, silent: &Silent) {
    _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        silent.borrow_mut().retain(|(other, _)| *other != number);
        let door = door.clone();
        async move { Ok::<_, Infallible>(door.answer(&request).await) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    _ = connection.await;
}

impl Door {
    async fn answer<B>(&self, request: &Request<B>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let (reading, writing) = (Method::GET, Method::PUT);
        let wanted = match path {
            READINESS | STATS => &reading,
            _ if path.starts_with(DOWN) || path.starts_with(UP) => &writing,
            _ => return say(StatusCode::NOT_FOUND, "no such call"),
        };
        if request.method() != wanted {
            let mut response = say(
                StatusCode::METHOD_NOT_ALLOWED,
                &format!("expected {wanted}"),
            );
            if let Ok(value) = HeaderValue::from_str(wanted.as_str()) {
                response.headers_mut().insert(ALLOW, value);
            }
            return response;
        }
        match path {
            READINESS if self.ready.load(Ordering::Acquire) => say(StatusCode::OK, "takes clients"),
            READINESS => say(StatusCode::SERVICE_UNAVAILABLE, "takes no clients"),
            STATS => match self.figures.text() {
                Ok(text) => say(StatusCode::OK, text.trim_end()),
                Err(problem) => say(StatusCode::INTERNAL_SERVER_ERROR, &problem),
            },
            _ => match path.strip_prefix(DOWN) {
                Some(server) => self.order(server, true).await,
                None => {
                    self.order(path.strip_prefix(UP).unwrap_or_default(), false)
                        .await
                }
            },
        }
    }

    async fn order(&self, server: &str, out: bool) -> Response<Full<Bytes>> {
        let sound = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
        if server.is_empty() || server.len() > MAX_ID || !server.bytes().all(sound) {
            let what = "expected the id of a server: letters, digits and -_.: alone, 128 at most";
            return say(StatusCode::BAD_REQUEST, what);
        }
        let (done, answered) = oneshot::channel();
        let order = Order {
            server: server.into(),
            out,
            done,
        };
        // Waiting for room in the line is part of the time that the driver has.
        let confirmed = timeout(CONFIRM, async {
            self.orders.send(order).await.ok()?;
            answered.await.ok()
        });
        match confirmed.await {
            Ok(Some(Ok(()))) if out => say(StatusCode::OK, &format!("{server} gets nothing more")),
            Ok(Some(Ok(()))) => say(StatusCode::OK, &format!("{server} may serve again")),
            Ok(Some(Err(Unknown))) => say(
                StatusCode::NOT_FOUND,
                &format!("no server {server} was ever listed"),
            ),
            Ok(None) => say(
                StatusCode::SERVICE_UNAVAILABLE,
                "nobody takes calls any more; nothing was done",
            ),
            Err(_) => say(
                StatusCode::SERVICE_UNAVAILABLE,
                "not confirmed in time; nothing was done, call again",
            ),
        }
    }
}

fn say(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
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
