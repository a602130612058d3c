//! Calls to the registries, as the operator makes them.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{header, Method, Request, Uri};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// After so long without an answer the next address is tried; longer for large bodies.
pub const SILENCE: Duration = Duration::from_secs(1);
/// How much longer for each MiB of a body.
const SILENCE_PER_MIB: Duration = Duration::from_secs(1);
/// No further try is begun after so long, as an order may be sent again only for a limited time.
pub const AGAIN_FOR: Duration = Duration::from_secs(5);
/// The first pause before the next try; each one is twice the one before, up to the longest.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// How often another place is named and followed.
const MOST_HOPS: usize = 2;
/// The largest answer that is read.
const MOST_ANSWER: usize = 64 << 20;

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// What a call is.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    body: Bytes,
}

impl Call {
    /// Reads something.
    pub fn get(path: &str) -> Call {
        Call {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// Orders something; with an empty body for none.
    pub fn post(path: &str, body: String) -> Call {
        Call {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
        }
    }
}

/// Makes a call at one address after the other until there is a clear answer: the body of a 2xx.
///
/// A call is sent again unchanged, after a growing pause, following a failure, a 5xx, a 408 or 429, or
/// silence. What a registry refuses by 400, 409, 412, 413 or 422 is refused; any other 4xx counts at its
/// third time.
pub async fn call(addresses: &[String], call: &Call) -> Result<String, String> {
    let begun = Instant::now();
    let (mut pause, mut doubts) = (PAUSE, 0);
    let mut last = String::from("there is no address to ask");
    for address in addresses.iter().cycle() {
        let what = match hop(address, call).await {
            Ok(Answer {
                status: 200..=299,
                body,
            }) => return Ok(body),
            Ok(Answer { status, body }) => {
                let again = !(400..500).contains(&status) || matches!(status, 408 | 429);
                doubts += usize::from(!again);
                if matches!(status, 400 | 409 | 412 | 413 | 422) || doubts == 3 {
                    return Err(format!("{address} refuses: {status} {body}"));
                }
                format!("status {status} {body}")
            }
            Err(what) => what,
        };
        last = format!("{address}: {what}");
        if begun.elapsed() + pause >= AGAIN_FOR {
            break;
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    Err(format!(
        "no clear answer; an order may be in force or not. Last: {last}"
    ))
}

/// One try, at an address and where it points to.
async fn hop(address: &str, call: &Call) -> Result<Answer, String> {
    let (mut address, mut call) = (address.to_owned(), call.clone());
    for hops in 0.. {
        let (answer, to) = once(&address, &call).await?;
        match to {
            Some(to) if hops < MOST_HOPS => {
                let uri: Uri = to
                    .parse()
                    .map_err(|_| format!("points to {to}, which is no place"))?;
                if let Some(authority) = uri.authority() {
                    address = authority.as_str().to_owned();
                }
                call.path = uri
                    .path_and_query()
                    .map_or("/".into(), |path| path.as_str().to_owned());
            }
            _ => return Ok(answer),
        }
    }
    unreachable!("the hops are bounded")
}

/// One exchange at one address; and where a 307 points to.
pub async fn once(address: &str, call: &Call) -> Result<(Answer, Option<String>), String> {
    let patience =
        SILENCE + SILENCE_PER_MIB * u32::try_from(call.body.len() >> 20).unwrap_or(u32::MAX);
    match timeout(patience, exchange(address, call)).await {
        Ok(answer) => answer.map_err(|wrong| wrong.to_string()),
        Err(_) => Err(format!("silent for {patience:?}")),
    }
}

type Anything = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(address: &str, call: &Call) -> Result<(Answer, Option<String>), Anything> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // Ends by itself, with the exchange.
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .header(header::HOST, address);
    if !call.body.is_empty() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let answer = sender
        .send_request(request.body(Full::new(call.body.clone()))?)
        .await?;
    let status = answer.status().as_u16();
    let to = answer
        .headers()
        .get(header::LOCATION)
        .filter(|_| status == 307);
    let to = to.and_then(|to| to.to_str().ok()).map(str::to_owned);
    let body = Limited::new(answer.into_body(), MOST_ANSWER)
        .collect()
        .await?
        .to_bytes();
    Ok((
        Answer {
            status,
            body: String::from_utf8(body.into())?,
        },
        to,
    ))
}
