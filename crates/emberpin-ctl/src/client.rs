//! A client of the registries' HTTP API, with redirects, retries and failover from one registry to the next.

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

/// The time-out of one request to one registry. Requests with large bodies get more time: `RESPONSE_TIMEOUT_PER_MIB`.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The additional time-out for each whole MiB of a request body.
const RESPONSE_TIMEOUT_PER_MIB: Duration = Duration::from_secs(1);
/// No attempt begins later than this after the start of a call, because repeating a change is permitted only for a
/// limited time.
pub const RETRY_WINDOW: Duration = Duration::from_secs(5);
/// The delay before the second attempt; it doubles with each attempt, up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The maximum number of redirects that one attempt follows.
const MAX_REDIRECTS: usize = 2;
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// A call counts as rejected after this many responses with an unexpected 4xx status.
const MAX_UNEXPECTED_REJECTIONS: usize = 3;

/// A request to the HTTP API of a registry.
#[derive(Clone, Debug)]
pub struct Request {
    method: Method,
    path: String,
    body: Bytes,
}

impl Request {
    /// A `GET` request without a body.
    pub fn get(path: &str) -> Request {
        Request {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// A `POST` request with a JSON body; an empty body is sent without a content type.
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
    /// The `Location` header of a 307 response.
    pub redirect: Option<String>,
}

impl Response {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the status is a 4xx that every registry would return, because the request itself is at fault.
    fn is_rejection(&self) -> bool {
        matches!(self.status, 400 | 409 | 412 | 413 | 422)
    }

    /// Whether a response other than a success is a temporary failure: any status but a 4xx, or a 408 or 429. `call`
    /// retries after these without a limit on their number, and after others up to `MAX_UNEXPECTED_REJECTIONS`.
    fn is_temporary_failure(&self) -> bool {
        !(400..500).contains(&self.status) || matches!(self.status, 408 | 429)
    }
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// A registry rejected the request; if it was a change, the change is not in force.
    #[error("{address} refuses: {status} {body}")]
    Rejected {
        /// The address of the registry.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The response body, which gives the reason.
        body: String,
    },
    /// No registry acknowledged or rejected the request within [`RETRY_WINDOW`]; if it was a change, the change may
    /// be in force or not.
    #[error(
        "no clear answer; if the request was a change, it may be in force or not. \
         Last attempt: {address}: {source}"
    )]
    NoClearResponse {
        /// The address of the last attempt.
        address: String,
        /// How that attempt failed.
        source: AttemptError,
    },
    /// The list of addresses is empty, so nothing was sent.
    #[error("no registry address is given; nothing was sent")]
    NoAddress,
}

/// Why one attempt of a call failed.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The registry responded with a status that does not decide the call.
    #[error("status {status} {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The response body, which gives the reason.
        body: String,
    },
    /// There was no complete response within this time.
    #[error("no complete response within {0:?}")]
    TimedOut(Duration),
    /// The `Location` header of a redirect is not a URI.
    #[error("redirects to {0}, which is not a valid URI")]
    InvalidRedirect(String),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request is not valid HTTP, for example because of an invalid path in a redirect.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The response body exceeds `MAX_RESPONSE_BYTES`, or its transfer failed.
    #[error("{0}")]
    ResponseBody(#[source] Box<dyn Error + Send + Sync>),
    /// The response body is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] FromUtf8Error),
}

/// Calls one address after the other until a registry acknowledges (2xx) or rejects the request. Returns the body of
/// the 2xx response.
///
/// If an attempt fails, or ends with any other status, the same request is sent to the next address after an
/// exponential backoff.
///
/// # Errors
///
/// [`CallError::Rejected`] for a 400, 409, 412, 413 or 422, and for the third response with any other 4xx
/// except 408 and 429;
/// [`CallError::NoClearResponse`] if there was neither a rejection nor a 2xx within [`RETRY_WINDOW`];
/// [`CallError::NoAddress`] if there are no addresses.
pub async fn call(addresses: &[String], request: &Request) -> Result<String, CallError> {
    let started_at = Instant::now();
    let mut backoff = INITIAL_BACKOFF;
    let mut unexpected_rejections = 0;
    for address in addresses.iter().cycle() {
        let error = match attempt(address, request).await {
            Ok(response) if response.is_success() => return Ok(response.body),
            Ok(response) => {
                let Response { status, body, .. } = &response;
                unexpected_rejections += usize::from(!response.is_temporary_failure());
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

/// Sends a request to an address and follows its redirects.
async fn attempt(address: &str, request: &Request) -> Result<Response, AttemptError> {
    let (mut address, mut request) = (address.to_owned(), request.clone());
    let mut redirects = 0;
    loop {
        let response = send(&address, &request).await?;
        match &response.redirect {
            Some(location) if redirects < MAX_REDIRECTS => {
                apply_redirect(&mut address, &mut request, location)?;
                redirects += 1;
            }
            _ => return Ok(response),
        }
    }
}

/// Sets the address and the path to those of a redirect's location.
fn apply_redirect(
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

/// Sends a request to one address without following redirects.
///
/// # Errors
///
/// [`AttemptError`] if there is no complete response in time. A response with any status is a success here.
pub async fn send(address: &str, request: &Request) -> Result<Response, AttemptError> {
    let time_limit = request.response_timeout();
    timeout(time_limit, exchange(address, request))
        .await
        .map_err(|_| AttemptError::TimedOut(time_limit))?
}

async fn exchange(address: &str, request: &Request) -> Result<Response, AttemptError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // The connection task ends when the sender is dropped.
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
