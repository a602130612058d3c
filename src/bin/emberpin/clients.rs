//! The client side: takes requests off connections, asks the driver, writes the one answer.

use crate::config::Config;
use crate::driver::{Answer, Call, Input};
use crate::servers::{Outgoing, MAX_BODY};
use bytes::Bytes;
use dillpass::settings::{stable_hash, Names};
use dillpass::{CustomerId, Effect, GatewayId, RequestId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

/// A deadline counts from the client's sending: so much earlier the answer must be on its way.
const MARGIN: Duration = Duration::from_millis(20);
/// With more than this share of the client sockets in use, connections close after each answer.
const KEEP_SHARE: f64 = 0.75;
/// Pause after a failed accept: out of descriptors, trying again at once would only spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const MAX_HEAD: usize = 64 * 1024;
/// Headers that concern one connection only, or that are written anew.
const HOP_BY_HOP: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// Not ready any more, but answers what still comes.
    Leaving,
    /// Takes no new connections and ends the idle ones.
    Closing,
}

/// What all client connections share.
pub struct Front {
    names: Names,
    safe: Vec<bool>,
    group_size: u32,
    inputs: mpsc::Sender<Input>,
    next: Cell<u32>,
    phase: watch::Sender<Phase>,
    sockets: usize,
    free: Arc<Semaphore>,
}

/// Tells the driver of a client that went away: dropped unless the answer came first.
struct Waiting<'a> {
    front: &'a Front,
    id: RequestId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Err(mpsc::error::TrySendError::Full(gone)) = self.front.inputs.try_send(Input::Gone(self.id)) {
            let inputs = self.front.inputs.clone();
            spawn_local(async move { _ = inputs.send(gone).await });
        }
    }
}

impl Front {
    pub fn new(config: &Config, names: Names, inputs: mpsc::Sender<Input>) -> Rc<Front> {
        Rc::new(Front {
            names,
            safe: config.settings.classes.iter().map(|class| class.effect == Effect::Safe).collect(),
            group_size: config.settings.group_size,
            inputs,
            next: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
            sockets: config.client_sockets,
            free: Arc::new(Semaphore::new(config.client_sockets)),
        })
    }

    /// Readiness goes off; everything else goes on, on connections that close after their answer.
    pub fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// No new connections; those that there are end once idle.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns once no connection is left.
    pub async fn empty(&self) {
        _ = self.free.acquire_many(self.sockets as u32).await;
    }

    /// Accepts connections until told to close.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut phase = self.phase.subscribe();
        loop {
            // Guards the limit on descriptors: with none free, new connections wait in the backlog.
            let Ok(socket) = self.free.clone().acquire_owned().await else { return };
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(stream, socket))),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        // Closed with its backlog empty: whatever the machine had accepted was taken off above.
        drop(listener);
        std::future::pending().await
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, _socket: OwnedSemaphorePermit) {
        _ = stream.set_nodelay(true);
        let mut phase = self.phase.subscribe();
        let service = service_fn(|request| {
            let front = self.clone();
            async move { Ok::<_, Infallible>(front.respond(request).await) }
        });
        let connection =
            http1::Builder::new().max_buf_size(MAX_HEAD).serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        _ = connection.await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") => match *self.phase.borrow() {
                Phase::Serving => plain(StatusCode::OK),
                _ => plain(StatusCode::SERVICE_UNAVAILABLE),
            },
            (_, "/health/ready") => plain(StatusCode::METHOD_NOT_ALLOWED),
            (_, "/api") => self.serve(request).await.unwrap_or_else(plain),
            _ => plain(StatusCode::NOT_FOUND),
        };
        let crowded = self.free.available_permits() as f64 <= self.sockets as f64 * (1.0 - KEEP_SHARE);
        if crowded || *self.phase.borrow() != Phase::Serving {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// One request of a client: checked, taken in whole, and answered.
    async fn serve(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, StatusCode> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let class = text(&headers, "req-kind").and_then(|name| self.names.class(name));
        let plan = text(&headers, "x-tier").and_then(|name| self.names.plan(name));
        let account = text(&headers, "cookie").and_then(account);
        let patience = text(&headers, "req-deadline").and_then(seconds);
        let terms = text(&headers, "x-call-terms").and_then(|terms| self.terms(terms));
        let id = text(&headers, "req-id").filter(|id| !id.is_empty());
        let (
            Some(class),
            Some(plan),
            Some(customer),
            Some(patience),
            Some((units, set_size, set_first)),
            Some(_),
        ) = (class, plan, account, patience, terms, id)
        else {
            return Err(StatusCode::BAD_REQUEST);
        };
        let safe = self.safe[class.0];
        if parts.method != if safe { Method::GET } else { Method::POST } {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        if !safe && !headers.contains_key("idempotency-key") {
            return Err(StatusCode::BAD_REQUEST);
        }
        let expires = arrived + patience.saturating_sub(MARGIN).max(patience / 2);
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let whole = timeout_at(expires, Limited::new(body, MAX_BODY).collect()).await;
            let whole = whole.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
            whole
                .map_err(|e| match e.is::<http_body_util::LengthLimitError>() {
                    true => StatusCode::PAYLOAD_TOO_LARGE,
                    false => StatusCode::BAD_REQUEST,
                })?
                .to_bytes()
        };
        HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(name)));
        let id = RequestId(self.next.replace(self.next.get().wrapping_add(1)));
        let (answer, answered) = oneshot::channel();
        let call = Call {
            id,
            class,
            plan,
            customer,
            units,
            set_size,
            set_first,
            expires,
            outgoing: Rc::new(Outgoing { method: parts.method, uri: parts.uri, headers, body }),
            answer,
        };
        let mut waiting = Waiting { front: self, id, answered: false };
        let answer = match self.inputs.send(Input::Call(call)).await {
            Ok(()) => answered.await.unwrap_or(Answer::Failed),
            Err(_) => Answer::Failed,
        };
        waiting.answered = true;
        Ok(match answer {
            Answer::Served(served) => {
                let mut response = Response::new(Full::new(served.body));
                if let Some(kind) = served.content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, kind);
                }
                response
            }
            Answer::Refused { retry_after } => {
                let mut response = plain(StatusCode::TOO_MANY_REQUESTS);
                let seconds = format!("{:.3}", retry_after / 1000.0);
                if let (Ok(value), true) = (HeaderValue::try_from(seconds), retry_after > 0.0) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
                response
            }
            Answer::Failed => plain(StatusCode::BAD_GATEWAY),
        })
    }

    /// Units, and size and first of the customer's set.
    fn terms(&self, terms: &str) -> Option<(f64, u32, GatewayId)> {
        let value = |wanted: &str| {
            let mut pairs = terms.split(',').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| name.trim() == wanted).map(|(_, value)| value.trim())
        };
        let units: f64 = value("units")?.parse().ok()?;
        let spread: u32 = value("spread")?.parse().ok()?;
        let first: u32 = value("first")?.parse().ok()?;
        let sound = units.is_finite() && units > 0.0 && (1..=self.group_size).contains(&spread);
        (sound && first < self.group_size).then_some((units, spread, GatewayId(first)))
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// The customer: its hash is the same at every limiter, and fits the 32 bits that gossip carries.
fn account(cookies: &str) -> Option<CustomerId> {
    let pairs = cookies.split(';').filter_map(|cookie| cookie.trim().split_once('='));
    let value = pairs.filter(|(name, _)| *name == "account").map(|(_, value)| value).next()?;
    let hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    hex.then(|| CustomerId(stable_hash(&value.to_ascii_lowercase())))
}

fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok().filter(|seconds| *seconds > 0.0 && *seconds < 3600.0)?;
    Duration::try_from_secs_f64(seconds).ok()
}
