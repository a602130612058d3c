//! The client side: receives requests, forwards them to the driver, and writes the one answer.

use crate::front::admission::{self, Admission, Admitted};
use crate::front::answers::{headed, plain, written};
use crate::front::connections::{ClientLimits, Connection};
use crate::front::reception::{Phase, Reception, RequestHandler};
use crate::front::socket_budget::SocketBudget;
use crate::front::stream::{Content, StreamedContent, StreamedResponse, Upload};
use crate::messages::{
    AdmittedRequest, Answer, Gate, Input, Reply, RequestBody, UpstreamRequest, MAX_BODY,
};
use crate::operate::config::Config;
use crate::operate::figures::{Active, Ending, Figures};
use crate::stages::idempotency::{Idempotency, Keyed};
use crate::stages::takeover::{Runner, Terms};
use bytes::Bytes;
use emberpin_balancer::RequestId;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

/// How long before the client's deadline the answer must be sent, as the deadline counts from when the client sent the
/// request.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// The buffered part of a body must arrive within this time after the head: at 64 kB a second, with a margin.
const BUFFERING_TIMEOUT: Duration = Duration::from_secs(3);
/// A streamed body must end within this time.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(900);
/// A client may send nothing of a streamed body for this long.
const UPLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often [`UPLOAD_IDLE_TIMEOUT`] is checked.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long the rest of a refused body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a streamed response waits for a download slot.
const DOWNLOAD_SLOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Headers that concern one connection only, or that are written anew.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The state that all client connections share.
pub struct Front {
    /// Recognises repeats of keyed requests; `None` where the operator has it off.
    idempotency: Option<Rc<Idempotency>>,
    admission: Admission,
    inputs: mpsc::Sender<Input>,
    next: Cell<u32>,
    /// The ids of the requests that are open here.
    open: RefCell<HashSet<String>>,
    pub reception: Rc<Reception>,
    /// Slots for streamed request bodies.
    uploads: Arc<Semaphore>,
    /// Slots for streamed responses.
    downloads: Arc<Semaphore>,
    figures: Arc<Figures>,
}

/// A request in flight. Dropped before its answer, as when its client disconnects, it notifies the driver.
struct Waiting {
    front: Rc<Front>,
    name: String,
    id: RequestId,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.front.open.borrow_mut().remove(&self.name);
        if self.answered {
            return;
        }
        if let Err(mpsc::error::TrySendError::Full(gone)) =
            self.front.inputs.try_send(Input::ClientGone(self.id))
        {
            let inputs = self.front.inputs.clone();
            spawn_local(async move { _ = inputs.send(gone).await });
        }
    }
}

impl RequestHandler for Front {
    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> Response<Content> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") => match self.reception.phase() {
                Phase::Serving => plain(StatusCode::OK),
                _ => plain(StatusCode::SERVICE_UNAVAILABLE),
            },
            (_, "/health/ready") => plain(StatusCode::METHOD_NOT_ALLOWED),
            (_, "/api") => self.serve(request, &connection).await.unwrap_or_else(plain),
            _ => plain(StatusCode::NOT_FOUND),
        }
    }
}

impl Front {
    pub fn new(
        config: &Config,
        idempotency: Option<Rc<Idempotency>>,
        inputs: mpsc::Sender<Input>,
        figures: Arc<Figures>,
        socket_budget: Rc<SocketBudget>,
    ) -> Rc<Front> {
        // As the platform has it: ready at once.
        let phase = if config.start.is_some() {
            Phase::Starting
        } else {
            Phase::Serving
        };
        Rc::new(Front {
            idempotency,
            admission: Admission::new(config),
            inputs,
            next: Cell::new(0),
            open: RefCell::default(),
            reception: Reception::new(
                phase,
                config.client_sockets,
                ClientLimits::default(),
                socket_budget,
            ),
            uploads: Arc::new(Semaphore::new(config.passing)),
            downloads: Arc::new(Semaphore::new(config.passing)),
            figures,
        })
    }

    /// Admits a request, buffers the beginning of its body, and returns the answer.
    async fn serve(
        self: &Rc<Self>,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Result<Response<Content>, StatusCode> {
        // Of two contradicting framings a server could follow the other one, and find a request hidden in the body.
        if connection.is_doubtful() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let asked = self.admission.check(&request)?;
        let (parts, body) = request.into_parts();
        let length = body.size_hint().exact();
        let (held, rest) = if body.is_end_stream() {
            (Bytes::new(), None)
        } else {
            take_in(body).await?
        };
        // The idempotency stage compares whole bodies, so with it on, a body that is not buffered completely is refused.
        let rest = match rest {
            Some(rest) if self.idempotency.is_some() => {
                spawn_local(run_out(rest));
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            rest => rest,
        };
        // The time limit counts from the last byte of the request.
        let patience = asked
            .patience
            .saturating_sub(RESPONSE_MARGIN)
            .max(asked.patience / 2);
        let mut active = self.figures.taken(asked.class);
        let (body, expires) = match rest {
            None => (RequestBody::Buffered(held), Instant::now() + patience),
            Some(rest) => {
                let Ok(buffer_permit) = self.uploads.clone().try_acquire_owned() else {
                    spawn_local(run_out(rest));
                    active.ends(Ending::Shed);
                    return Err(StatusCode::SERVICE_UNAVAILABLE);
                };
                let upload = Rc::new(Upload::new(held, length, rest, buffer_permit));
                (
                    RequestBody::Uploading(upload),
                    Instant::now() + UPLOAD_TIMEOUT,
                )
            }
        };
        let outgoing = UpstreamRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            may_stream: self.idempotency.is_none(),
            max_idle_time: None,
            gate: None,
            withdrawn: Default::default(),
        };
        let reply = self.taken(asked, outgoing, patience, expires).await;
        let response = match reply {
            Err(status) => Err(status),
            Ok(Replied::Complete(response)) => Ok(response),
            Ok(Replied::Streamed(streamed)) => {
                match timeout(
                    DOWNLOAD_SLOT_TIMEOUT,
                    self.downloads.clone().acquire_owned(),
                )
                .await
                {
                    Ok(Ok(buffer_permit)) => {
                        return Ok(passed_on(
                            streamed,
                            active,
                            connection.clone(),
                            buffer_permit,
                        ))
                    }
                    // All slots are in use; the client has received nothing of the response yet.
                    Ok(Err(_)) | Err(_) => Err(StatusCode::BAD_GATEWAY),
                }
            }
        };
        let status = response
            .as_ref()
            .map_or_else(|status| *status, Response::status);
        active.ends(ending_of(status));
        response
    }

    /// Forwards an admitted request, and waits for its answer.
    async fn taken(
        self: &Rc<Self>,
        asked: Admitted,
        mut outgoing: UpstreamRequest,
        patience: Duration,
        expires: Instant,
    ) -> Result<Replied, StatusCode> {
        // An id stands for one request: a second one with the same id is refused, and the first goes on.
        if !self.open.borrow_mut().insert(asked.id.clone()) {
            return Err(StatusCode::CONFLICT);
        }
        let waiting = self.open_request(asked.id);
        strip(&mut outgoing.headers);
        // A key on a request that is safe to repeat is ignored.
        let keyed = outgoing.method == Method::POST && admission::key(&outgoing.headers).is_some();
        let stage = self.idempotency.as_ref().filter(|_| keyed);
        let takeover = stage.and_then(|stage| stage.takeover());
        let gate = takeover.map(|takeover| takeover.gate(asked.class, expires));
        outgoing.gate = gate.clone().map(|gate| gate as Rc<dyn Gate>);
        let terms = Terms {
            class: asked.class,
            plan: asked.plan,
            customer: asked.customer,
            units: asked.units,
            set_size: asked.set_size,
            set_first: asked.set_first,
        };
        let (reply_to, reply) = oneshot::channel();
        let outgoing = Rc::new(outgoing);
        let call = AdmittedRequest {
            id: waiting.id,
            class: asked.class,
            plan: asked.plan,
            customer: asked.customer,
            units: asked.units,
            set_size: asked.set_size,
            set_first: asked.set_first,
            ran: None,
            time_limit: patience,
            expires,
            outgoing: outgoing.clone(),
            reply_to,
        };
        let asking = ask(waiting, call, reply);
        let body = match &outgoing.body {
            RequestBody::Buffered(body) => body,
            RequestBody::Uploading(upload) => {
                let reply = reply_to_upload(asking, upload).await?;
                return Ok(reply.into());
            }
        };
        if let (Some(stage), Some(key)) = (stage, admission::key(&outgoing.headers)) {
            let keyed = Keyed {
                outgoing: &outgoing,
                gate,
                terms,
                body,
                key,
                expires,
            };
            // Nothing is streamed where the stage is on.
            let asking = async move {
                match asking.await {
                    Reply::Answer(answer) => answer,
                    Reply::Streamed(_) => Answer::Failed,
                }
            };
            return Ok(Replied::Complete(stage.serve(keyed, asking).await));
        }
        Ok(asking.await.into())
    }

    /// A request is open here from now on, until what is returned is dropped.
    fn open_request(self: &Rc<Self>, name: String) -> Waiting {
        let id = RequestId(
            self.next
                .replace(self.next.get().wrapping_add(1) & !FIRST_TAKEN_OVER_ID),
        );
        Waiting {
            front: self.clone(),
            name,
            id,
            answered: false,
        }
    }
}

/// Awaits the reply to a request whose body is uploaded, unless its client is silent for too long: a slow client keeps its
/// request, a silent one does not.
async fn reply_to_upload(
    asking: impl Future<Output = Reply>,
    upload: &Upload,
) -> Result<Reply, StatusCode> {
    let silent = async {
        while upload.silence() < UPLOAD_IDLE_TIMEOUT {
            tokio::time::sleep(UPLOAD_CHECK_INTERVAL).await;
        }
    };
    let reply = tokio::select! {
        biased;
        reply = asking => reply,
        () = silent => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    // The answer came before all of the body: the rest is discarded, as closing a connection with unread bytes on it could
    // lose the answer.
    if let Some(rest) = upload.take_rest() {
        spawn_local(run_out(rest));
    }
    Ok(reply)
}

/// How the figures count a request that was answered with this status.
fn ending_of(status: StatusCode) -> Ending {
    match status {
        StatusCode::OK => Ending::Ok,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Ending::Shed,
        _ => Ending::Errors,
    }
}

/// The answer to a request, or the beginning of a streamed one.
enum Replied {
    Complete(Response<Content>),
    Streamed(StreamedResponse),
}

impl From<Reply> for Replied {
    fn from(reply: Reply) -> Replied {
        match reply {
            Reply::Answer(answer) => Replied::Complete(written(answer)),
            Reply::Streamed(response) => Replied::Streamed(response),
        }
    }
}

/// As much of a body as is held: all of it, or its beginning and what brings the rest.
///
/// # Errors
///
/// 408 if the body comes too slowly, 400 if it breaks off.
pub async fn take_in(mut body: Incoming) -> Result<(Bytes, Option<Incoming>), StatusCode> {
    let by = Instant::now() + BUFFERING_TIMEOUT;
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut size = 0;
    let mut ended = false;
    while size <= MAX_BODY && !ended {
        let frame = timeout_at(by, body.frame())
            .await
            .map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
        match frame {
            None => ended = true,
            Some(frame) => {
                // Trailers concern nobody behind this limiter.
                if let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() {
                    size += data.len();
                    pieces.push(data);
                    ended = body.is_end_stream();
                }
            }
        }
    }
    let held = match pieces.len() {
        1 => pieces.remove(0),
        _ => pieces.concat().into(),
    };
    Ok((held, Some(body).filter(|_| !ended)))
}

/// Reads and discards the rest of a body: a connection closed with unread bytes on it could lose the answer.
pub async fn run_out(mut body: Incoming) {
    let over =
        async { while let Ok(Some(Ok(_))) = timeout(UPLOAD_IDLE_TIMEOUT, body.frame()).await {} };
    _ = timeout(DISCARD_TIMEOUT, over).await;
}

/// A streamed response to a client.
pub fn passed_on(
    mut response: StreamedResponse,
    active: Active,
    connection: Rc<Connection>,
    buffer_permit: OwnedSemaphorePermit,
) -> Response<Content> {
    let head = std::mem::take(&mut response.head);
    headed(
        head,
        Content::Streamed(Box::new(StreamedContent {
            response,
            active,
            connection,
            _buffer_permit: buffer_permit,
        })),
    )
}

/// Ids of requests that were taken over begin here; those of clients' requests are below.
const FIRST_TAKEN_OVER_ID: u32 = 1 << 31;

/// Forwards requests of limiters that have failed to the driver; no client of this one waits for their answers.
pub fn take_over(inputs: mpsc::Sender<Input>) -> Runner {
    let next = Cell::new(FIRST_TAKEN_OVER_ID);
    Box::new(move |taken| {
        let id = RequestId(next.replace(next.get().wrapping_add(1) | FIRST_TAKEN_OVER_ID));
        let inputs = inputs.clone();
        Box::pin(async move {
            let (reply_to, reply) = oneshot::channel();
            let terms = taken.terms;
            let call = AdmittedRequest {
                id,
                class: terms.class,
                plan: terms.plan,
                customer: terms.customer,
                units: terms.units,
                set_size: terms.set_size,
                set_first: terms.set_first,
                ran: Some(taken.ran),
                time_limit: taken.patience,
                expires: Instant::now() + taken.patience,
                outgoing: Rc::new(taken.outgoing),
                reply_to,
            };
            match inputs.send(Input::Request(call)).await {
                Ok(()) => match reply.await {
                    Ok(Reply::Answer(answer)) => answer,
                    Ok(Reply::Streamed(_)) | Err(_) => Answer::Failed,
                },
                Err(_) => Answer::Failed,
            }
        })
    })
}

/// Forwards a request to the driver, and waits for the one reply.
async fn ask(
    mut waiting: Waiting,
    call: AdmittedRequest,
    reply: oneshot::Receiver<Reply>,
) -> Reply {
    let reply = match waiting.front.inputs.send(Input::Request(call)).await {
        Ok(()) => reply.await.unwrap_or(Reply::Answer(Answer::Failed)),
        Err(_) => Reply::Answer(Answer::Failed),
    };
    waiting.answered = true;
    reply
}

/// Removes the headers that concern this connection only: the well-known ones, and those that `Connection` names.
pub fn strip(headers: &mut HeaderMap) {
    let named = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let named: Vec<HeaderName> = named
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let decisive =
        |name: &&HeaderName| !matches!(name.as_str(), "req-id" | "idempotency-key" | "host");
    named
        .iter()
        .filter(decisive)
        .chain(&HOP_BY_HOP)
        .for_each(|name| drop(headers.remove(name)));
}
