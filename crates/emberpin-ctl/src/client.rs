//! Calls of the registries' HTTP API, with failover from one registry to the next.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, LOCATION};
use hyper::{Method, Uri};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::string::FromUtf8Error;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// A registry that has not responded by then is passed over; large bodies get more time.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The additional time for each whole MiB of a body.
const RESPONSE_TIMEOUT_PER_MIB: Duration = Duration::from_secs(1);
/// No further attempt begins after this time, as a change may be repeated only for a limited time.
pub const RETRY_WINDOW: Duration = Duration::from_secs(5);
/// The delay before the second attempt; it doubles with each attempt, up to the longest.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How many redirects of one attempt are followed.
const MAX_REDIRECTS: usize = 2;
/// The largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How many responses of an unexpected 4xx status it takes until the call counts as rejected.
const MAX_UNEXPECTED_REJECTIONS: usize = 3;

/// A request to the HTTP API of a registry.
#[derive(Clone, Debug)]
pub struct Request {
    method: Method,
    path: String,
    body: Bytes,
}

impl Request {
    /// A request that reads something.
    pub fn get(path: &str) -> Request {
        Request {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// A request that changes something; an empty body is sent as none.
    pub fn post(path: &str, body: String) -> Request {
        Request {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
        }
    }

    fn response_timeout(&self) -> Duration {
        let mebibytes = u32::try_from(self.body.len() >> 20).unwrap_or(u32::MAX);
        RESPONSE_TIMEOUT + RESPONSE_TIMEOUT_PER_MIB * mebibytes
    }
}

/// A response of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body as text.
    pub body: String,
    /// Where a 307 redirects to.
    pub redirect: Option<String>,
}

impl Response {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// A 4xx that no other registry would answer otherwise: the request itself is at fault.
    fn is_rejection(&self) -> bool {
        matches!(self.status, 400 | 409 | 412 | 413 | 422)
    }

    /// Whether the same request may succeed later or elsewhere.
    fn is_retryable(&self) -> bool {
        !(400..500).contains(&self.status) || matches!(self.status, 408 | 429)
    }
}

/// Why a call failed at all addresses.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// A registry rejected the request; it is not in force.
    #[error("{address} refuses: {status} {body}")]
    Rejected {
        /// The address of the registry.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The reason it gave.
        body: String,
    },
    /// No registry gave a clear response in time; a change may be in force or not.
    #[error("no clear answer; an order may be in force or not. Last: {address}: {source}")]
    NoClearResponse {
        /// The address of the last attempt.
        address: String,
        /// How that attempt failed.
        source: AttemptError,
    },
    /// There was no address to call.
    #[error("no clear answer; an order may be in force or not. Last: there is no address to ask")]
    NoAddress,
}

/// Why one attempt of a call failed.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The registry responded with a status that may pass.
    #[error("status {status} {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The reason it gave.
        body: String,
    },
    /// There was no response within this time.
    #[error("silent for {0:?}")]
    TimedOut(Duration),
    /// The registry redirected to something that is no URI.
    #[error("points to {0}, which is no place")]
    InvalidRedirect(String),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request cannot be sent as HTTP, as when a redirect's path is none.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The response body is too long, or broke off.
    #[error("{0}")]
    ResponseBody(#[source] Box<dyn Error + Send + Sync>),
    /// The response body is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] FromUtf8Error),
}

/// Calls one address after the other until there is a clear response, and returns the body of a 2xx.
///
/// The same request is sent again, after a growing delay, if an attempt fails, or ends with a 5xx, a 408 or a 429.
///
/// # Errors
///
/// [`CallError::Rejected`] for a 400, 409, 412, 413 or 422, and for the third response with any other 4xx;
/// [`CallError::NoClearResponse`] if there was neither that nor a 2xx within [`RETRY_WINDOW`].
pub async fn call(addresses: &[String], request: &Request) -> Result<String, CallError> {
    let started_at = Instant::now();
    let mut backoff = INITIAL_BACKOFF;
    let mut unexpected_rejections = 0;
    for address in addresses.iter().cycle() {
        let error = match attempt(address, request).await {
            Ok(response) if response.is_success() => return Ok(response.body),
            Ok(response) => {
                let Response { status, body, .. } = &response;
                unexpected_rejections += usize::from(!response.is_retryable());
                if response.is_rejection() || unexpected_rejections == MAX_UNEXPECTED_REJECTIONS {
                    return Err(CallError::Rejected {
                        address: address.clone(),
                        status: *status,
                        body: body.clone(),
                    });
                }
                AttemptError::Status {
                    status: *status,
                    body: body.clone(),
                }
            }
            Err(error) => error,
        };
        if started_at.elapsed() + backoff >= RETRY_WINDOW {
            return Err(CallError::NoClearResponse {
                address: address.clone(),
                source: error,
            });
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    Err(CallError::NoAddress)
}

/// One attempt at an address, following its redirects.
async fn attempt(address: &str, request: &Request) -> Result<Response, AttemptError> {
    let (mut address, mut request) = (address.to_owned(), request.clone());
    let mut redirects = 0;
    loop {
        let response = send(&address, &request).await?;
        match &response.redirect {
            Some(location) if redirects < MAX_REDIRECTS => {
                redirect(&mut address, &mut request, location)?;
                redirects += 1;
            }
            _ => return Ok(response),
        }
    }
}

/// Changes address and path to those of a redirect's location.
fn redirect(
    address: &mut String,
    request: &mut Request,
    location: &str,
) -> Result<(), AttemptError> {
    let uri: Uri = location
        .parse()
        .map_err(|_| AttemptError::InvalidRedirect(location.to_owned()))?;
    if let Some(authority) = uri.authority() {
        authority.as_str().clone_into(address);
    }
    request.path = uri
        .path_and_query()
        .map_or("/".into(), |path| path.as_str().to_owned());
    Ok(())
}

/// Sends a request to one address; redirects are not followed.
///
/// # Errors
///
/// [`AttemptError`] if there is no complete response in time. Any status is a response.
pub async fn send(address: &str, request: &Request) -> Result<Response, AttemptError> {
    let limit = request.response_timeout();
    timeout(limit, exchange(address, request))
        .await
        .map_err(|_| AttemptError::TimedOut(limit))?
}

async fn exchange(address: &str, request: &Request) -> Result<Response, AttemptError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // Ends by itself, with the exchange.
    tokio::spawn(connection);
    let mut http_request = hyper::Request::builder()
        .method(&request.method)
        .uri(&request.path)
        .header(HOST, address);
    if !request.body.is_empty() {
        http_request = http_request.header(CONTENT_TYPE, "application/json");
    }
    let http_request = http_request.body(Full::new(request.body.clone()))?;
    let response = sender.send_request(http_request).await?;
    let status = response.status().as_u16();
    let redirect = response
        .headers()
        .get(LOCATION)
        .filter(|_| status == 307)
        .and_then(|location| location.to_str().ok())
        .map(str::to_owned);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(AttemptError::ResponseBody)?
        .to_bytes();
    Ok(Response {
        status,
        body: String::from_utf8(body.into())?,
        redirect,
    })
}
