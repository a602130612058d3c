//! A small HTTP/1.1 client for the stand-ins: connections, and responses that are read completely.

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

/// A complete response.
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers, without trailers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        is_success(self.status)
    }

    /// The value of a header; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as text; `None` if it is not UTF-8.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok()
    }
}

/// Why there is no response to a request.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request reached the peer: it is safe to send the request again.
    #[error("not sent")]
    NotSent,
    /// The connection failed or the time-out expired after the request had begun: the request may have run.
    #[error("broke off")]
    Broken,
}

/// Whether a status is 2xx.
pub fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Opens a connection.
///
/// # Errors
///
/// [`SendError::NotSent`] if the connection is not established in time.
pub async fn connect(address: SocketAddr) -> Result<Connection, SendError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
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

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// [`SendError`] distinguishes requests that were not sent from those that may have run.
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

/// Maps an error of hyper, which reports a request as cancelled if it has written no byte of it.
fn send_error(error: hyper::Error) -> SendError {
    if error.is_canceled() {
        SendError::NotSent
    } else {
        SendError::Broken
    }
}

/// Sends one request with a JSON body on a new connection; `None` if there is no complete response in time.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    time_limit: Duration,
) -> Option<HttpResponse> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .ok()?;
    let exchange = async { send(&mut connect(address).await?, request).await };
    timeout(time_limit, exchange).await.ok()?.ok()
}
