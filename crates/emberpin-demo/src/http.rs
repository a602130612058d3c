//! HTTP/1.1 for the stand-ins.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderMap, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection on which one request at a time is sent.
pub type Connection = SendRequest<Full<Bytes>>;

/// A new connection is allowed so long to come up.
const CONNECT: Duration = Duration::from_secs(1);

/// A whole answer.
pub struct HttpResponse {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// Nothing of the request was read by anybody.
    #[error("not sent")]
    NotSent,
    /// It broke off, or its time was over.
    #[error("broke off")]
    Broken,
}

/// Connects.
///
/// # Errors
///
/// [`SendError::NotSent`].
pub async fn connect(to: SocketAddr) -> Result<Connection, SendError> {
    let stream = timeout(CONNECT, TcpStream::connect(to))
        .await
        .map_err(|_| SendError::NotSent)?;
    let stream = stream.map_err(|_| SendError::NotSent)?;
    _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::NotSent)?;
    tokio::spawn(async move { _ = connection.await });
    Ok(sender)
}

/// Sends a request, and reads the answer to its end.
///
/// # Errors
///
/// [`SendError`].
pub async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<HttpResponse, SendError> {
    let sent = |e: hyper::Error| {
        if e.is_canceled() {
            SendError::NotSent
        } else {
            SendError::Broken
        }
    };
    connection.ready().await.map_err(|_| SendError::NotSent)?;
    let (parts, body) = connection
        .send_request(request)
        .await
        .map_err(sent)?
        .into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| SendError::Broken)?
        .to_bytes();
    Ok(HttpResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    })
}

/// One call on a connection of its own; `None` if it is not answered within this time.
pub async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    within: Duration,
) -> Option<HttpResponse> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string());
    let request = request
        .header("content-type", "application/json")
        .body(Full::from(body))
        .ok()?;
    let calling = async { send(&mut connect(to).await?, request).await };
    timeout(within, calling).await.ok()?.ok()
}
