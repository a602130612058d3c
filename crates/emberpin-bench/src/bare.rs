//! The baseline: a reverse proxy on the same hyper and tokio as the limiter, on one thread, without admission control
//! or load balancing. It uses the servers in rotation. As in the limiter, connections are reused, and each is polled by
//! the task that uses it.

use crate::settings::{Settings, BACKLOG};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, LocalSet};

type Failure = Box<dyn std::error::Error + Send + Sync>;

struct Proxy {
    servers: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<UpstreamConnection>>>,
    next_server: Cell<usize>,
}

struct UpstreamConnection {
    sender: client::SendRequest<Full<Bytes>>,
    connection: client::Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

impl UpstreamConnection {
    /// Polls the connection together with `future` until the future is ready.
    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|context| {
            _ = Pin::new(&mut self.connection).poll(context);
            future.as_mut().poll(context)
        })
        .await
    }
}

/// Opens a proxy's listener, with the same socket options as the limiter's.
///
/// # Errors
///
/// The error of the operating system.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Runs the proxy until the process is killed.
///
/// # Errors
///
/// The reason why the proxy cannot start, in one line.
pub fn run() -> Result<(), String> {
    let settings = Settings::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = listen(settings.listen).map_err(|e| format!("{}: {e}", settings.listen))?;
        let idle = settings
            .servers
            .iter()
            .map(|_| RefCell::default())
            .collect();
        let proxy = Rc::new(Proxy {
            servers: settings.servers,
            idle,
            next_server: Cell::new(0),
        });
        while let Ok((stream, _)) = listener.accept().await {
            _ = stream.set_nodelay(true);
            let proxy = proxy.clone();
            spawn_local(async move {
                let service = service_fn(|request| {
                    let proxy = proxy.clone();
                    async move { Ok::<_, Infallible>(proxy.respond(request).await) }
                });
                _ = server::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
        Err("no more clients".into())
    })
}

impl Proxy {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/health/ready" {
            return Response::default();
        }
        self.forward(request).await.unwrap_or_else(|_| {
            let mut response = Response::default();
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }

    async fn forward(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Failure> {
        let (parts, body) = request.into_parts();
        let request = Request::from_parts(parts, Full::new(body.collect().await?.to_bytes()));
        let index = self
            .next_server
            .replace(self.next_server.get().wrapping_add(1))
            % self.servers.len();
        let reused = self.idle[index].borrow_mut().pop();
        let mut upstream = match reused {
            Some(upstream) => upstream,
            None => {
                let stream = TcpStream::connect(self.servers[index]).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = client::handshake(TokioIo::new(stream)).await?;
                UpstreamConnection { sender, connection }
            }
        };
        let response = upstream.sender.send_request(request);
        let (parts, body) = upstream.drive(response).await?.into_parts();
        let body = upstream.drive(body.collect()).await?.to_bytes();
        // Polls the connection once more, so that it processes the end of the response.
        upstream.drive(std::future::ready(())).await;
        if upstream.sender.is_ready() {
            self.idle[index].borrow_mut().push(upstream);
        }
        Ok(Response::from_parts(parts, Full::new(body)))
    }
}
