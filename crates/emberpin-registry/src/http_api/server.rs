//! The HTTP server: accepts connections, limits their number, and finds the route of each request.

use super::calls::{CallError, CallHandler};
use super::response::{self, HttpResponse};
use super::route::{self, RouteError};
use crate::metrics::RegistryMetrics;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW};
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// The most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The head of a request must be complete within this time.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The most open connections; further ones are closed at once. Together with the connections of [`crate::inbound`] and
/// with files they stay below 4,096 file descriptors.
const MAX_CONNECTIONS: usize = 3_200;
/// While more connections than this are open, each connection closes after its next response, so that operators can
/// still connect when the servers of a lost registry connect to this one.
const MAX_KEEP_ALIVE_CONNECTIONS: usize = 2_400;
/// The delay after `accept` has failed, as it does when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The server of the HTTP API.
pub struct HttpServer {
    call_handler: CallHandler,
    metrics: Arc<RegistryMetrics>,
    open_connections: AtomicUsize,
    shutting_down: AtomicBool,
}

impl HttpServer {
    /// Creates a server, which accepts no connection before [`HttpServer::serve`].
    pub fn new(call_handler: CallHandler, metrics: Arc<RegistryMetrics>) -> HttpServer {
        HttpServer {
            call_handler,
            metrics,
            open_connections: AtomicUsize::new(0),
            shutting_down: AtomicBool::new(false),
        }
    }

    /// Has the server respond to every further request with 503 and close its connection.
    pub fn shut_down(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Accepts connections until the task is aborted.
    pub async fn serve(self: Arc<HttpServer>, listener: TcpListener) {
        loop {
            let Ok((stream, client)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.open_connections.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
                self.open_connections.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let server = self.clone();
            tokio::spawn(async move {
                server.serve_connection(stream, client).await;
                server.open_connections.fetch_sub(1, Ordering::Relaxed);
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
        let serving = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_READ_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = serving.await {
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
        let started_at = Instant::now();
        let (route, response) = match route::find(&method, &path) {
            Ok((route, subject)) => {
                let result = self.call_handler.call(route, &subject, request).await;
                let response = result.unwrap_or_else(|error| rejection(&method, &path, &error));
                (Some(route), response)
            }
            Err(error) => (None, routing_error(&method, &path, error)),
        };
        self.metrics
            .count_call(route, response.status(), started_at.elapsed());
        response
    }
}

/// The response to a call that is rejected with this error.
fn rejection(method: &str, path: &str, error: &CallError) -> HttpResponse {
    response::plain_text(error.status(), format!("{method} {path}: {error}\n"))
}

/// The response to a request that no route matches.
fn routing_error(method: &str, path: &str, error: RouteError) -> HttpResponse {
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
