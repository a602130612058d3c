//! The client side: receives requests, forwards them to the driver, and writes one answer to each.

use crate::front::admission::{self, Admission, RequestProperties};
use crate::front::answers::{client_response, empty_response, response_with_head};
use crate::front::connections::{ClientLimits, Connection};
use crate::front::reception::{ClientListener, Phase, RequestHandler};
use crate::front::socket_budget::SocketBudget;
use crate::front::stream::{Content, StreamedContent, StreamedResponse};
use crate::front::upload::{discard_body, Upload, UPLOAD_IDLE_TIMEOUT};
use crate::messages::{
    AdmittedRequest, Answer, AttemptCheck, Input, Reply, RequestBody, UpstreamRequest,
    MAX_BUFFERED_BODY,
};
use crate::operate::config::Config;
use crate::operate::figures::{ActiveRequest, LimiterMetrics, RequestOutcome};
use crate::stages::idempotency::{Idempotency, KeyedRequest};
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

/// How long before the client's deadline the answer must be sent. The deadline counts from the moment when the client
/// sent the request, which is earlier than the moment when it arrived here.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// The buffered part of a body must arrive within this time after the head: enough for 64 kB a second, with a margin.
const BUFFERING_TIMEOUT: Duration = Duration::from_secs(3);
/// A streamed body must end within this time.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(900);
/// How often [`UPLOAD_IDLE_TIMEOUT`] is checked.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a streamed response waits for a download slot.
const DOWNLOAD_SLOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Headers that concern only one connection, or that are written anew for the next one.
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
pub struct ClientFrontend {
    /// Deduplicates keyed requests; `None` if the operator has not enabled it.
    idempotency: Option<Rc<Idempotency>>,
    admission: Admission,
    inputs: mpsc::Sender<Input>,
    next_id: Cell<u32>,
    /// The clients' ids of the requests in flight here.
    in_flight: RefCell<HashSet<String>>,
    pub client_listener: Rc<ClientListener>,
    /// Slots for streamed request bodies.
    upload_slots: Arc<Semaphore>,
    /// Slots for streamed responses.
    download_slots: Arc<Semaphore>,
    metrics: Arc<LimiterMetrics>,
}

/// A request in flight. If this value is dropped before the request has been answered, for example because its client
/// disconnects, the driver is notified.
struct PendingRequest {
    frontend: Rc<ClientFrontend>,
    /// The id that the client gave the request.
    client_id: String,
    id: RequestId,
    answered: bool,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.frontend.in_flight.borrow_mut().remove(&self.client_id);
        if self.answered {
            return;
        }
        if let Err(mpsc::error::TrySendError::Full(message)) =
            self.frontend.inputs.try_send(Input::ClientGone(self.id))
        {
            let inputs = self.frontend.inputs.clone();
            spawn_local(async move { _ = inputs.send(message).await });
        }
    }
}

impl RequestHandler for ClientFrontend {
    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> Response<Content> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") => match self.client_listener.phase() {
                Phase::Serving => empty_response(StatusCode::OK),
                _ => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            },
            (_, "/health/ready") => empty_response(StatusCode::METHOD_NOT_ALLOWED),
            (_, "/api") => self
                .serve(request, &connection)
                .await
                .unwrap_or_else(empty_response),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl ClientFrontend {
    pub fn new(
        config: &Config,
        idempotency: Option<Rc<Idempotency>>,
        inputs: mpsc::Sender<Input>,
        metrics: Arc<LimiterMetrics>,
        socket_budget: Rc<SocketBudget>,
    ) -> Rc<ClientFrontend> {
        // Without a `[start]` table the limiter is ready at once, as the platform's configuration has no such setting.
        let phase = if config.start.is_some() {
            Phase::Starting
        } else {
            Phase::Serving
        };
        Rc::new(ClientFrontend {
            idempotency,
            admission: Admission::new(config),
            inputs,
            next_id: Cell::new(0),
            in_flight: RefCell::default(),
            client_listener: ClientListener::new(
                phase,
                config.client_sockets,
                ClientLimits::default(),
                socket_budget,
            ),
            upload_slots: Arc::new(Semaphore::new(config.max_streamed_bodies)),
            download_slots: Arc::new(Semaphore::new(config.max_streamed_bodies)),
            metrics,
        })
    }

    /// Admits a request, buffers the beginning of its body, and returns the answer.
    async fn serve(
        self: &Rc<Self>,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Result<Response<Content>, StatusCode> {
        // Request smuggling: a server that follows the other of two contradicting framings could read a request that is
        // hidden in the body.
        if connection.has_ambiguous_framing() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let admitted = self.admission.check(&request)?;
        let (parts, body) = request.into_parts();
        let length = body.size_hint().exact();
        let (buffered, rest) = if body.is_end_stream() {
            (Bytes::new(), None)
        } else {
            buffer_body_start(body).await?
        };
        // The idempotency stage compares whole bodies, so with it enabled, a body that does not fit the buffer is
        // rejected.
        let rest = match rest {
            Some(rest) if self.idempotency.is_some() => {
                spawn_local(discard_body(rest));
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            rest => rest,
        };
        // The time limit counts from the last byte of the request.
        let time_limit = admitted
            .time_limit
            .saturating_sub(RESPONSE_MARGIN)
            .max(admitted.time_limit / 2);
        let mut active_request = self.metrics.start_request(admitted.class);
        let (body, expires) = match rest {
            None => (RequestBody::Buffered(buffered), Instant::now() + time_limit),
            Some(rest) => {
                let Ok(buffer_permit) = self.upload_slots.clone().try_acquire_owned() else {
                    spawn_local(discard_body(rest));
                    active_request.set_outcome(RequestOutcome::Shed);
                    return Err(StatusCode::SERVICE_UNAVAILABLE);
                };
                let upload = Rc::new(Upload::new(buffered, length, rest, buffer_permit));
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
            attempt_check: None,
            withdrawn: Default::default(),
            used_upstreams: Default::default(),
        };
        let reply = self.forward(admitted, outgoing, time_limit, expires).await;
        let response = match reply {
            Err(status) => Err(status),
            Ok(ClientReply::Complete(response)) => Ok(response),
            Ok(ClientReply::Streamed(streamed)) => {
                match timeout(
                    DOWNLOAD_SLOT_TIMEOUT,
                    self.download_slots.clone().acquire_owned(),
                )
                .await
                {
                    Ok(Ok(buffer_permit)) => {
                        return Ok(streamed_response(
                            streamed,
                            active_request,
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
        active_request.set_outcome(outcome_for(status));
        response
    }

    /// Forwards an admitted request, and waits for its answer.
    async fn forward(
        self: &Rc<Self>,
        admitted: RequestProperties,
        mut outgoing: UpstreamRequest,
        time_limit: Duration,
        expires: Instant,
    ) -> Result<ClientReply, StatusCode> {
        // An id identifies one request: a second request with the same id is rejected, and the first continues.
        if !self.in_flight.borrow_mut().insert(admitted.id.clone()) {
            return Err(StatusCode::CONFLICT);
        }
        let pending = self.open_request(admitted.id);
        remove_hop_by_hop_headers(&mut outgoing.headers);
        // Only the key of a POST counts: all other admitted requests are safe to repeat.
        let has_key = outgoing.method == Method::POST
            && admission::idempotency_key(&outgoing.headers).is_some();
        let stage = self.idempotency.as_ref().filter(|_| has_key);
        let takeover = stage.and_then(|stage| stage.takeover());
        let attempt_check =
            takeover.map(|takeover| takeover.new_attempt_check(admitted.class, expires));
        outgoing.attempt_check = attempt_check
            .clone()
            .map(|check| check as Rc<dyn AttemptCheck>);
        let terms = Terms {
            class: admitted.class,
            plan: admitted.plan,
            customer: admitted.customer,
            units: admitted.units,
            set_size: admitted.set_size,
            set_first: admitted.set_first,
        };
        let (reply_to, reply) = oneshot::channel();
        let outgoing = Rc::new(outgoing);
        let request = AdmittedRequest {
            id: pending.id,
            class: admitted.class,
            plan: admitted.plan,
            customer: admitted.customer,
            units: admitted.units,
            set_size: admitted.set_size,
            set_first: admitted.set_first,
            prior_attempt: None,
            time_limit,
            expires,
            outgoing: outgoing.clone(),
            reply_to,
        };
        let exchange = send_to_driver(pending, request, reply);
        let body = match &outgoing.body {
            RequestBody::Buffered(body) => body,
            RequestBody::Uploading(upload) => {
                let reply = reply_to_upload(exchange, upload).await?;
                return Ok(reply.into());
            }
        };
        if let (Some(stage), Some(key)) = (stage, admission::idempotency_key(&outgoing.headers)) {
            let keyed = KeyedRequest {
                outgoing: &outgoing,
                attempt_check,
                terms,
                body,
                key,
                expires,
            };
            // No response is streamed where the stage is enabled.
            let exchange = async move {
                match exchange.await {
                    Reply::Answer(answer) => answer,
                    Reply::Streamed(_) => Answer::Failed,
                }
            };
            return Ok(ClientReply::Complete(stage.serve(keyed, exchange).await));
        }
        Ok(exchange.await.into())
    }

    /// Assigns an id to a request in flight. The request counts as in flight until the returned guard is dropped.
    fn open_request(self: &Rc<Self>, client_id: String) -> PendingRequest {
        let id = RequestId(
            self.next_id
                .replace(self.next_id.get().wrapping_add(1) & !FIRST_TAKEN_OVER_ID),
        );
        PendingRequest {
            frontend: self.clone(),
            client_id,
            id,
            answered: false,
        }
    }
}

/// Awaits the reply to a request whose body is uploaded. Fails with 408 if the client sends nothing for
/// [`UPLOAD_IDLE_TIMEOUT`]; a slow client that keeps sending is not cut off.
async fn reply_to_upload(
    exchange: impl Future<Output = Reply>,
    upload: &Upload,
) -> Result<Reply, StatusCode> {
    let client_idle = async {
        while upload.idle_time() < UPLOAD_IDLE_TIMEOUT {
            tokio::time::sleep(UPLOAD_CHECK_INTERVAL).await;
        }
    };
    let reply = tokio::select! {
        biased;
        reply = exchange => reply,
        () = client_idle => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    // The answer may have come before all of the body. A streamed one discards the rest at its end.
    if let Reply::Answer(_) = &reply {
        upload.discard_rest();
    }
    Ok(reply)
}

/// How the metrics count a request that was answered with this status.
fn outcome_for(status: StatusCode) -> RequestOutcome {
    match status {
        StatusCode::OK => RequestOutcome::Ok,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Shed,
        _ => RequestOutcome::Errors,
    }
}

/// The complete response to a request, or a streamed response that has begun.
enum ClientReply {
    Complete(Response<Content>),
    Streamed(StreamedResponse),
}

impl From<Reply> for ClientReply {
    fn from(reply: Reply) -> ClientReply {
        match reply {
            Reply::Answer(answer) => ClientReply::Complete(client_response(answer)),
            Reply::Streamed(response) => ClientReply::Streamed(response),
        }
    }
}

/// Buffers a body up to the buffer limit, `MAX_BUFFERED_BODY`. Returns the buffered bytes, and the stream of the
/// remaining bytes if the body is longer than that.
///
/// # Errors
///
/// 408 if the body arrives too slowly, 400 if it breaks off.
pub async fn buffer_body_start(
    mut body: Incoming,
) -> Result<(Bytes, Option<Incoming>), StatusCode> {
    let deadline = Instant::now() + BUFFERING_TIMEOUT;
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut size = 0;
    let mut ended = false;
    while size <= MAX_BUFFERED_BODY && !ended {
        let frame = timeout_at(deadline, body.frame())
            .await
            .map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
        match frame {
            None => ended = true,
            Some(frame) => {
                // Trailers are not forwarded.
                if let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() {
                    size += data.len();
                    chunks.push(data);
                    ended = body.is_end_stream();
                }
            }
        }
    }
    let buffered = match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    };
    Ok((buffered, Some(body).filter(|_| !ended)))
}

/// Builds the response to a client from a streamed response of a server.
pub fn streamed_response(
    mut response: StreamedResponse,
    active_request: ActiveRequest,
    connection: Rc<Connection>,
    buffer_permit: OwnedSemaphorePermit,
) -> Response<Content> {
    let head = std::mem::take(&mut response.head);
    let outcome = match head.status.is_success() {
        true => RequestOutcome::Ok,
        false => RequestOutcome::Errors,
    };
    response_with_head(
        head,
        Content::Streamed(Box::new(StreamedContent {
            response,
            outcome,
            active_request,
            connection,
            _buffer_permit: buffer_permit,
        })),
    )
}

/// The first id of requests taken over from failed limiters; ids of clients' requests are below it.
const FIRST_TAKEN_OVER_ID: u32 = 1 << 31;

/// Returns a function that forwards requests taken over from failed limiters to the driver. No client of this limiter
/// waits for their answers.
pub fn takeover_runner(inputs: mpsc::Sender<Input>) -> Runner {
    let next_id = Cell::new(FIRST_TAKEN_OVER_ID);
    Box::new(move |work| {
        let id = RequestId(next_id.replace(next_id.get().wrapping_add(1) | FIRST_TAKEN_OVER_ID));
        let inputs = inputs.clone();
        Box::pin(async move {
            let (reply_to, reply) = oneshot::channel();
            let terms = work.terms;
            let request = AdmittedRequest {
                id,
                class: terms.class,
                plan: terms.plan,
                customer: terms.customer,
                units: terms.units,
                set_size: terms.set_size,
                set_first: terms.set_first,
                prior_attempt: Some(work.prior_attempt),
                time_limit: work.time_limit,
                expires: Instant::now() + work.time_limit,
                outgoing: Rc::new(work.outgoing),
                reply_to,
            };
            match inputs.send(Input::Request(request)).await {
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
async fn send_to_driver(
    mut pending: PendingRequest,
    request: AdmittedRequest,
    reply: oneshot::Receiver<Reply>,
) -> Reply {
    let reply = match pending.frontend.inputs.send(Input::Request(request)).await {
        Ok(()) => reply.await.unwrap_or(Reply::Answer(Answer::Failed)),
        Err(_) => Reply::Answer(Answer::Failed),
    };
    pending.answered = true;
    reply
}

/// Removes the hop-by-hop headers: the well-known ones, and those that `Connection` names. The headers that decide how
/// a request is handled stay, even if `Connection` names them.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let named: Vec<HeaderName> = named
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let removable =
        |name: &&HeaderName| !matches!(name.as_str(), "req-id" | "idempotency-key" | "host");
    named
        .iter()
        .filter(removable)
        .chain(&HOP_BY_HOP)
        .for_each(|name| drop(headers.remove(name)));
}
