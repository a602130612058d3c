//! The calls of servers and of the operator.

use crate::body;
use crate::host::{Command, Commands};
use crate::routes::{self, Call, Unmatched};
use crate::store::Stores;
use bytes::Bytes;
use emberpin_membership::registry::{Answer, Taker};
use emberpin_store::protocol::StoreRequest;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep, timeout};

/// The longest body of a change: with its call, it fits into a frame.
const BODY: usize = (8 << 20) - 1024;
/// So much of a body that is too long is read and thrown away.
const PASSED_OVER: usize = 16 << 20;
/// The longest body of any other call.
const SMALL: usize = 64 << 10;
/// A caller goes on after a second of silence.
const BEAT: Duration = Duration::from_millis(700);
const ORDER: Duration = Duration::from_millis(950);
/// For large bodies, callers wait longer.
const LARGE: usize = 16 << 10;
const LARGE_ORDER: Duration = Duration::from_secs(3);
/// A head comes within this time, as does the rest of a body that is not wanted.
const COMES: Duration = Duration::from_secs(10);
/// A body of which nothing came for so long was cut short.
const SILENT: Duration = Duration::from_secs(2);
/// So many KiB of changes are read or passed on at once. Small ones never wait for one another.
const ROOM: usize = 20 << 10;
/// Marks a call that another registry has sent on: it goes no further.
const SENT_ON: &str = "sent-on";
/// Connections beyond these are closed at once; beyond the second figure each ends with its answer, so that there is
/// always a place for the operator when the servers of a lost registry come here. Both leave room under 4,096
/// descriptors for sessions and files.
const CONNECTIONS: usize = 3_200;
const CROWDED: usize = 2_400;

/// What calls need.
pub struct Calls {
    commands: Commands,
    stores: Arc<Stores>,
    ctl_port: u16,
    /// In KiB.
    room: Semaphore,
    open: AtomicUsize,
    stopping: AtomicBool,
}

type Answered = Response<Full<Bytes>>;

/// A call that is refused, in one line.
struct Refused(StatusCode, String);

impl Calls {
    /// Passes beats to the owner of the registry, and the operator's calls to the stores.
    pub fn new(commands: Commands, stores: Arc<Stores>, ctl_port: u16) -> Calls {
        Calls {
            commands,
            stores,
            ctl_port,
            room: Semaphore::new(ROOM),
            open: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// From now on, calls are sent elsewhere.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Takes calls in.
    pub async fn serve(self: Arc<Calls>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Without descriptors; those that are open end some time.
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            if self.open.fetch_add(1, Ordering::Relaxed) >= CONNECTIONS {
                self.open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let calls = self.clone();
            tokio::spawn(async move {
                _ = stream.set_nodelay(true);
                let service = service_fn(|request| async {
                    let mut answered = calls.answer(request).await;
                    if let (Ok(answer), true) =
                        (&mut answered, calls.open.load(Ordering::Relaxed) > CROWDED)
                    {
                        answer
                            .headers_mut()
                            .insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    answered
                });
                let served = hyper::server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(COMES)
                    .max_buf_size(SMALL)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(e) = served.await {
                    log::debug!("a caller: {e}");
                }
                calls.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answered, Infallible> {
        if self.stopping.load(Ordering::Relaxed) {
            let mut answer = later();
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
            return Ok(answer);
        }
        let method = request.method().as_str().to_string();
        let path = request.uri().path().to_string();
        Ok(match routes::route(&method, &path) {
            Ok((call, subject)) => {
                self.call(call, &subject, request)
                    .await
                    .unwrap_or_else(|Refused(status, why)| {
                        plain(status, format!("{method} {path}: {why}\n"))
                    })
            }
            Err(Unmatched::Path) => plain(
                StatusCode::NOT_FOUND,
                format!("{path}: there is no such call\n"),
            ),
            Err(Unmatched::Method(expected)) => {
                let why = format!("{path}: {method} is not its method, {expected} is\n");
                let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED, why);
                answer
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static(expected));
                answer
            }
        })
    }

    async fn call(
        &self,
        call: Call,
        subject: &str,
        request: Request<Incoming>,
    ) -> Result<Answered, Refused> {
        let (head, body) = request.into_parts();
        match call {
            Call::Heartbeat => {
                let body = read(body, SMALL).await?;
                let instance = body::heartbeat(subject, &body)
                    .map_err(|wrong| Refused(StatusCode::BAD_REQUEST, wrong.to_string()))?;
                let (answer, owed) = oneshot::channel();
                self.commands
                    .send(Command::Heartbeat { instance, answer })
                    .await;
                Ok(match timeout(BEAT, owed).await {
                    Ok(Ok(Answer::Taken { beat_at })) => json(
                        StatusCode::OK,
                        format!("{{\"hb_addr\":\"{beat_at}:{}\"}}", self.ctl_port),
                    ),
                    _ => later(),
                })
            }
            Call::Leave => {
                read(body, SMALL).await?;
                let (answer, owed) = oneshot::channel();
                self.commands
                    .send(Command::Leave {
                        id: subject.to_string(),
                        answer,
                    })
                    .await;
                Ok(match timeout(BEAT, owed).await {
                    Ok(Ok(Answer::Taken { .. })) => Response::new(Full::default()),
                    _ => later(),
                })
            }
            Call::Patch => {
                let length = body
                    .size_hint()
                    .upper()
                    .map_or(BODY, |length| length as usize)
                    .min(BODY);
                let room = self.room.acquire_many(length as u32 / 1024 + 1);
                let Ok(Ok(_room)) = timeout(ORDER, room).await else {
                    return Ok(later());
                };
                let body = read(body, BODY).await?;
                if let Some(answer) = self.sent_on(&head.uri).await {
                    return Ok(answer);
                }
                let within = if body.len() < LARGE {
                    ORDER
                } else {
                    LARGE_ORDER
                };
                Ok(self
                    .pass(within, false, |id| StoreRequest::Patch {
                        id,
                        body: body.clone(),
                    })
                    .await)
            }
            Call::Get => match self.sent_on(&head.uri).await {
                Some(answer) => Ok(answer),
                None => Ok(self.pass(ORDER, true, |id| StoreRequest::Get { id }).await),
            },
            Call::Begin | Call::Finish => {
                read(body, SMALL).await?;
                if let Some(answer) = self.sent_on(&head.uri).await {
                    return Ok(answer);
                }
                let (zone, begin) = (subject.to_string(), call == Call::Begin);
                Ok(self
                    .pass(ORDER, false, |id| StoreRequest::Evacuate {
                        id,
                        zone: zone.clone(),
                        begin,
                    })
                    .await)
            }
            Call::Status => {
                let (answer, owed) = oneshot::channel();
                self.commands
                    .send(Command::Status {
                        disk: self.stores.disk(),
                        answer,
                    })
                    .await;
                Ok(owed
                    .await
                    .map_or_else(|_| later(), |status| json(StatusCode::OK, status)))
            }
        }
    }

    /// The answer to a call that is not to be taken here: 307 to a registry that was settled when it was heard last,
    /// once; 503, where there is none, or the call was sent on already.
    async fn sent_on(&self, uri: &Uri) -> Option<Answered> {
        let (answer, owed) = oneshot::channel();
        self.commands.send(Command::Taker { answer }).await;
        let other = match owed.await {
            Ok(Taker::Here) => return None,
            Ok(Taker::Other(other)) if uri.query() != Some(SENT_ON) => other,
            _ => return Some(later()),
        };
        let location = format!("http://{other}:{}{}?{SENT_ON}", self.ctl_port, uri.path());
        let Ok(location) = HeaderValue::try_from(location) else {
            return Some(later());
        };
        let mut answer = plain(
            StatusCode::TEMPORARY_REDIRECT,
            "no majority is heard here\n".into(),
        );
        answer.headers_mut().insert(LOCATION, location);
        Some(answer)
    }

    async fn pass(
        &self,
        within: Duration,
        is_json: bool,
        ask: impl Fn(u64) -> StoreRequest,
    ) -> Answered {
        let Some(answered) = self.stores.pass(within, ask).await else {
            return later();
        };
        let status = StatusCode::from_u16(answered.status).unwrap_or(StatusCode::BAD_GATEWAY);
        match status {
            StatusCode::SERVICE_UNAVAILABLE => later_because(&answered.body),
            StatusCode::OK if is_json => json(status, answered.body),
            _ => plain(status, answered.body),
        }
    }
}

async fn read(mut body: Incoming, most: usize) -> Result<Vec<u8>, Refused> {
    let mut bytes = Vec::new();
    loop {
        let silent = |_| Refused(StatusCode::REQUEST_TIMEOUT, "body: it does not come".into());
        let Some(frame) = timeout(SILENT, body.frame()).await.map_err(silent)? else {
            return Ok(bytes);
        };
        let frame = frame.map_err(|e| Refused(StatusCode::BAD_REQUEST, format!("body: {e}")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > most {
            // A connection that is closed with bytes unread is reset, and the answer may be lost with it.
            _ = timeout(COMES, pass_over(&mut body)).await;
            return Err(Refused(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("body: more than {most} bytes"),
            ));
        }
        bytes.extend_from_slice(&data);
    }
}

async fn pass_over(body: &mut Incoming) {
    let mut left = PASSED_OVER;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = left.checked_sub(length) else {
            return;
        };
        left = rest;
    }
}

fn answer(status: StatusCode, kind: &'static str, body: String) -> Answered {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

fn plain(status: StatusCode, body: String) -> Answered {
    answer(status, "text/plain; charset=utf-8", body)
}

fn json(status: StatusCode, body: String) -> Answered {
    answer(status, "application/json", body)
}

/// The call may be sent again, here or to another one.
fn later() -> Answered {
    later_because("not now")
}

fn later_because(reason: &str) -> Answered {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    answer
}
