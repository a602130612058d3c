//! The HTTP API at `ctl`: heartbeats of servers, and the operator's calls.
//!
//! Heartbeats and the status are answered by the event loop; changes and reads of the configuration are passed to
//! the stores, or redirected to a registry that can have them confirmed.

mod heartbeat_body;
mod request_body;
mod response;
mod route;

use crate::commands::{Command, CommandSender};
use crate::store_client::StoreClient;
use emberpin_membership::registry::{OperatorCallTarget, ServerReply};
use emberpin_store::protocol::StoreRequest;
use heartbeat_body::InvalidHeartbeat;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, LOCATION};
use hyper::service::service_fn;
use hyper::{Request, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use request_body::RequestBodyError;
use response::HttpResponse;
use route::{Route, RouteError};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep, timeout};

/// The longest body of a configuration change: with its request, it fits into one frame to a store.
const MAX_CHANGE_BYTES: usize = (8 << 20) - 1024;
/// The longest body of any other call.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The head of a request must be complete within this time.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// A server's call is answered within this time: after a second of silence the server calls another registry.
const HEARTBEAT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// A call of the operator is answered within this time: `emberpinctl` passes a registry over after a second.
const OPERATOR_RESPONSE_TIMEOUT: Duration = Duration::from_millis(950);
/// The same for changes with a body of [`LARGE_CHANGE_BYTES`] or more, for which clients wait longer.
const LARGE_CHANGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const LARGE_CHANGE_BYTES: usize = 16 << 10;
/// KiB of changes that may be in flight at once, being read or passed on. Two of the largest leave enough for small
/// ones, which therefore wait neither for a large one nor for one another.
const MAX_CHANGE_KIB_IN_FLIGHT: usize = 20 << 10;
/// The query of a call that another registry has redirected. It goes no further, so that calls never circle.
const REDIRECTED_QUERY: &str = "sent-on";
/// Connections beyond these are closed at once. Together with the connections of [`crate::inbound`] and with files
/// they stay below 4,096 descriptors.
const MAX_CONNECTIONS: usize = 3_200;
/// With more open connections than these, each closes after its next response, so that there is always room for
/// the operator when the servers of a lost registry come here.
const MAX_KEEP_ALIVE_CONNECTIONS: usize = 2_400;
/// How long no connection is accepted after `accept` failed, as it does when descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The HTTP API of one registry.
pub struct HttpApi {
    commands: CommandSender,
    stores: Arc<StoreClient>,
    /// The port of the HTTP API, the same on all core machines.
    ctl_port: u16,
    /// A permit for each KiB of changes in flight.
    change_permits: Semaphore,
    open_connections: AtomicUsize,
    shutting_down: AtomicBool,
}

/// Why a call is rejected.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// Its body could not be read.
    #[error(transparent)]
    Body(#[from] RequestBodyError),
    /// Its body is no heartbeat.
    #[error(transparent)]
    Heartbeat(#[from] InvalidHeartbeat),
}

impl CallError {
    fn status(&self) -> StatusCode {
        match self {
            CallError::Body(error) => error.status(),
            CallError::Heartbeat(_) => StatusCode::BAD_REQUEST,
        }
    }
}

impl HttpApi {
    /// An HTTP API that passes heartbeats to the event loop and the operator's calls to the stores.
    pub fn new(commands: CommandSender, stores: Arc<StoreClient>, ctl_port: u16) -> HttpApi {
        HttpApi {
            commands,
            stores,
            ctl_port,
            change_permits: Semaphore::new(MAX_CHANGE_KIB_IN_FLIGHT),
            open_connections: AtomicUsize::new(0),
            shutting_down: AtomicBool::new(false),
        }
    }

    /// From now on every call is answered with 503, and its connection closes.
    pub fn shut_down(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Accepts connections for as long as the task is not aborted.
    pub async fn serve(self: Arc<HttpApi>, listener: TcpListener) {
        loop {
            let Ok((stream, client)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.open_connections.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
                self.open_connections.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let api = self.clone();
            tokio::spawn(async move {
                api.serve_connection(stream, client).await;
                api.open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream, client: SocketAddr) {
        _ = stream.set_nodelay(true);
        let service = service_fn(|request| async {
            let mut response = self.respond(request).await;
            if self.open_connections.load(Ordering::Relaxed) > MAX_KEEP_ALIVE_CONNECTIONS {
                response::close_connection(&mut response);
            }
            Ok::<_, Infallible>(response)
        });
        let served = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_READ_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = served.await {
            log::debug!("HTTP connection closed: client={client} error={error}");
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> HttpResponse {
        if self.shutting_down.load(Ordering::Relaxed) {
            let mut response = response::unavailable();
            response::close_connection(&mut response);
            return response;
        }
        let method = request.method().as_str().to_string();
        let path = request.uri().path().to_string();
        match route::find(&method, &path) {
            Ok((route, subject)) => self
                .call(route, &subject, request)
                .await
                .unwrap_or_else(|error| rejected(&method, &path, &error)),
            Err(error) => unrouted(&method, &path, error),
        }
    }

    async fn call(
        &self,
        route: Route,
        subject: &str,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, CallError> {
        let (head, body) = request.into_parts();
        match route {
            Route::Heartbeat => self.heartbeat(subject, body).await,
            Route::Leave => self.leave(subject, body).await,
            Route::PatchConfig => self.patch_config(&head.uri, body).await,
            Route::GetConfig => Ok(self.get_config(&head.uri).await),
            Route::BeginEvacuation => self.evacuate(&head.uri, subject, true, body).await,
            Route::FinishEvacuation => self.evacuate(&head.uri, subject, false, body).await,
            Route::Status => Ok(self.status().await),
        }
    }

    async fn heartbeat(
        &self,
        instance_id: &str,
        body: Incoming,
    ) -> Result<HttpResponse, CallError> {
        let body = request_body::read(body, MAX_BODY_BYTES).await?;
        let instance = heartbeat_body::parse(instance_id, &body)?;
        let (response, answer) = oneshot::channel();
        self.commands
            .send(Command::Heartbeat { instance, response })
            .await;
        Ok(match timeout(HEARTBEAT_RESPONSE_TIMEOUT, answer).await {
            Ok(Ok(ServerReply::Acknowledged { heartbeat_target })) => {
                let body = format!("{{\"hb_addr\":\"{heartbeat_target}:{}\"}}", self.ctl_port);
                response::json(StatusCode::OK, body)
            }
            _ => response::unavailable(),
        })
    }

    async fn leave(&self, instance_id: &str, body: Incoming) -> Result<HttpResponse, CallError> {
        request_body::read(body, MAX_BODY_BYTES).await?;
        let instance_id = instance_id.to_string();
        let (response, answer) = oneshot::channel();
        self.commands
            .send(Command::Leave {
                instance_id,
                response,
            })
            .await;
        Ok(match timeout(HEARTBEAT_RESPONSE_TIMEOUT, answer).await {
            Ok(Ok(ServerReply::Acknowledged { .. })) => response::empty(),
            _ => response::unavailable(),
        })
    }

    async fn patch_config(&self, uri: &Uri, body: Incoming) -> Result<HttpResponse, CallError> {
        // Held until the stores have responded, and taken before the body is read: it bounds the memory that
        // bodies take.
        let permits = self.change_permits.acquire_many(change_permits(&body));
        let Ok(Ok(_permits)) = timeout(OPERATOR_RESPONSE_TIMEOUT, permits).await else {
            return Ok(response::unavailable());
        };
        let body = request_body::read(body, MAX_CHANGE_BYTES).await?;
        if let Some(response) = self.redirect(uri).await {
            return Ok(response);
        }
        let within = if body.len() < LARGE_CHANGE_BYTES {
            OPERATOR_RESPONSE_TIMEOUT
        } else {
            LARGE_CHANGE_RESPONSE_TIMEOUT
        };
        let request = |id| StoreRequest::Patch {
            id,
            body: body.clone(),
        };
        Ok(self
            .call_stores(within, response::plain_text, request)
            .await)
    }

    async fn get_config(&self, uri: &Uri) -> HttpResponse {
        if let Some(response) = self.redirect(uri).await {
            return response;
        }
        let request = |id| StoreRequest::Get { id };
        self.call_stores(OPERATOR_RESPONSE_TIMEOUT, response::json, request)
            .await
    }

    async fn evacuate(
        &self,
        uri: &Uri,
        zone: &str,
        begin: bool,
        body: Incoming,
    ) -> Result<HttpResponse, CallError> {
        request_body::read(body, MAX_BODY_BYTES).await?;
        if let Some(response) = self.redirect(uri).await {
            return Ok(response);
        }
        let request = |id| StoreRequest::Evacuate {
            id,
            zone: zone.to_string(),
            begin,
        };
        Ok(self
            .call_stores(OPERATOR_RESPONSE_TIMEOUT, response::plain_text, request)
            .await)
    }

    async fn status(&self) -> HttpResponse {
        let (response, status) = oneshot::channel();
        self.commands
            .send(Command::Status {
                local_disk: self.stores.local_disk(),
                response,
            })
            .await;
        match status.await {
            Ok(status) => response::json(StatusCode::OK, status),
            Err(_) => response::unavailable(),
        }
    }

    /// The response to a call that cannot be confirmed here: 307 to a registry that was settled when it was last
    /// heard; 503 if none is known, or if the call was redirected already. `None` if it is to be served here.
    async fn redirect(&self, uri: &Uri) -> Option<HttpResponse> {
        let (response, target) = oneshot::channel();
        self.commands
            .send(Command::FindOperatorCallTarget { response })
            .await;
        match target.await {
            Ok(OperatorCallTarget::Local) => None,
            Ok(OperatorCallTarget::Peer(peer)) if uri.query() != Some(REDIRECTED_QUERY) => {
                Some(self.redirect_to(SocketAddr::from((peer, self.ctl_port)), uri))
            }
            _ => Some(response::unavailable()),
        }
    }

    fn redirect_to(&self, registry: SocketAddr, uri: &Uri) -> HttpResponse {
        let location = format!("http://{registry}{}?{REDIRECTED_QUERY}", uri.path());
        let Ok(location) = HeaderValue::try_from(location) else {
            return response::unavailable();
        };
        let mut response = response::plain_text(
            StatusCode::TEMPORARY_REDIRECT,
            "no majority is heard here\n".into(),
        );
        response.headers_mut().insert(LOCATION, location);
        response
    }

    /// Passes a call to the stores. `on_success` makes the response of a 200; other responses are plain text.
    async fn call_stores(
        &self,
        within: Duration,
        on_success: fn(StatusCode, String) -> HttpResponse,
        build_request: impl Fn(u64) -> StoreRequest,
    ) -> HttpResponse {
        let Some(stored) = self.stores.call(within, build_request).await else {
            return response::unavailable();
        };
        let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
        match status {
            StatusCode::SERVICE_UNAVAILABLE => response::unavailable_because(&stored.body),
            StatusCode::OK => on_success(status, stored.body),
            _ => response::plain_text(status, stored.body),
        }
    }
}

/// How many permits a change needs: one for each begun KiB of its announced length, or of the longest one.
fn change_permits(body: &Incoming) -> u32 {
    let announced = body.size_hint().upper();
    let length = announced
        .map_or(MAX_CHANGE_BYTES, |length| length as usize)
        .min(MAX_CHANGE_BYTES);
    length as u32 / 1024 + 1
}

fn rejected(method: &str, path: &str, error: &CallError) -> HttpResponse {
    response::plain_text(error.status(), format!("{method} {path}: {error}\n"))
}

fn unrouted(method: &str, path: &str, error: RouteError) -> HttpResponse {
    match error {
        RouteError::NotFound => response::plain_text(
            StatusCode::NOT_FOUND,
            format!("{path}: there is no such call\n"),
        ),
        RouteError::MethodNotAllowed { allowed } => {
            let reason = format!("{path}: {method} is not its method, {allowed} is\n");
            let mut response = response::plain_text(StatusCode::METHOD_NOT_ALLOWED, reason);
            response
                .headers_mut()
                .insert(ALLOW, HeaderValue::from_static(allowed));
            response
        }
    }
}
