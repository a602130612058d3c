//! HTTP/1.1 for the stand-ins: connections, and whole responses.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderMap, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection that carries one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A response that was read to its end.
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers, without trailers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Whether the status is one of the 2xx.
    pub fn is_success(&self) -> bool {
        is_success(self.status)
    }

    /// The value of a header, if it is there and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body, if it is text.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok()
    }
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request reached the other side: it is safe to send it again.
    #[error("not sent")]
    NotSent,
    /// The connection broke or the time was over after the request had begun: it may have run.
    #[error("broke off")]
    Broken,
}

/// Whether a status is one of the 2xx.
pub fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Opens a connection.
///
/// # Errors
///
/// [`SendError::NotSent`] if it does not come up in time.
pub async fn connect(to: SocketAddr) -> Result<Connection, SendError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
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

/// Sends a request and reads the response to its end.
///
/// # Errors
///
/// [`SendError`] tells whether the request may have run.
pub async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<HttpResponse, SendError> {
    connection.ready().await.map_err(|_| SendError::NotSent)?;
    let response = connection.send_request(request).await;
    let (parts, body) = response.map_err(send_error)?.into_parts();
    let body = body.collect().await.map_err(|_| SendError::Broken)?;
    Ok(HttpResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// hyper cancels a request of which it has written nothing.
fn send_error(error: hyper::Error) -> SendError {
    if error.is_canceled() {
        SendError::NotSent
    } else {
        SendError::Broken
    }
}

/// Sends one request with a JSON body on a connection of its own; `None` if there is no response in time.
pub async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    limit: Duration,
) -> Option<HttpResponse> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .ok()?;
    let exchange = async { send(&mut connect(to).await?, request).await };
    timeout(limit, exchange).await.ok()?.ok()
}
