//! The clients' side: receives requests, has the controller route them, and writes one response to each.

mod pending_reply;
mod readiness;
mod request_head;
mod response;

use crate::command::{Command, RouteRequest};
use crate::metrics::{ProxyMetrics, RejectionCause};
use crate::published_state::PublishedState;
use crate::service::Repeatability;
use bytes::Bytes;
use emberpin_balancer::{ClassId, RequestId};
use emberpin_limiter::host::{
    buffer_body_start, discard_body, empty_response, remove_hop_by_hop_headers, streamed_response,
    ActiveRequest, Answer, Connection, Content, LimiterMetrics, Reply, RequestBody, RequestHandler,
    Upload, UpstreamRequest, UsedUpstreams,
};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use pending_reply::PendingReply;
use response::{answer_response, record_outcome, Rejection};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

pub use readiness::ReadinessHandler;

/// Longest time for which a client may send nothing of a body that it is uploading.
const UPLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often the idle time of an upload is checked.
const UPLOAD_IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait of a streamed response for one of the download slots.
const DOWNLOAD_SLOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// `Retry-After` of a request whose body would need an upload slot while all are in use.
const RETRY_AFTER_NO_UPLOAD_SLOT: Duration = Duration::from_millis(500);
/// Lower bound of the slots for streamed bodies in each direction, however little memory there is.
const MIN_STREAM_SLOTS: usize = 4;

/// Handles the requests of all clients.
pub struct ClientFrontend {
    published: Rc<PublishedState>,
    commands: mpsc::Sender<Command>,
    /// Id of the next request. Wraps around; by then, the earlier request with the same id has long ended.
    next_request_id: Cell<u32>,
    limiter_metrics: Arc<LimiterMetrics>,
    metrics: Rc<ProxyMetrics>,
    /// Slots for request bodies that are streamed to a server. Each such body uses a buffer.
    upload_slots: Arc<Semaphore>,
    /// Slots for response bodies that are streamed to a client.
    download_slots: Arc<Semaphore>,
}

/// A request whose head was accepted, and as much of its body as fits in a buffer.
struct ReceivedRequest {
    host: String,
    outgoing: UpstreamRequest,
    arrived_at: Instant,
    deadline: Option<Duration>,
}

impl ClientFrontend {
    /// Routes requests through the controller behind `commands`. At most `stream_slots` bodies are streamed at a time
    /// in each direction.
    pub fn new(
        published: Rc<PublishedState>,
        commands: mpsc::Sender<Command>,
        limiter_metrics: Arc<LimiterMetrics>,
        metrics: Rc<ProxyMetrics>,
        stream_slots: usize,
    ) -> Rc<ClientFrontend> {
        let slots = || Arc::new(Semaphore::new(stream_slots.max(MIN_STREAM_SLOTS)));
        Rc::new(ClientFrontend {
            published,
            commands,
            next_request_id: Cell::new(0),
            limiter_metrics,
            metrics,
            upload_slots: slots(),
            download_slots: slots(),
        })
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Result<Response<Content>, Rejection> {
        if self.published.rejects_requests() {
            spawn_local(discard_body(request.into_body()));
            self.metrics.count_rejection(RejectionCause::ShuttingDown);
            return Err(Rejection::RetryLater(Duration::ZERO));
        }
        let received = self.receive(request, connection).await;
        if received.is_err() {
            self.metrics.count_rejection(RejectionCause::NotReceived);
        }
        let request = received?;
        let active_request = self.limiter_metrics.start_request(ClassId(0));
        let reply = self.forward(request).await?;
        Ok(self.respond_with(reply, active_request, connection).await)
    }

    /// Checks a request's head and buffers the beginning of its body.
    async fn receive(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
    ) -> Result<ReceivedRequest, Rejection> {
        // Request smuggling: a body with two contradictory framings could hide another request, which a server that
        // follows the other framing would run.
        if connection.has_ambiguous_framing() {
            return Err(StatusCode::BAD_REQUEST.into());
        }
        if request_head::min_size(&request) > self.published.max_head_bytes() {
            spawn_local(discard_body(request.into_body()));
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE.into());
        }
        let arrived_at = Instant::now();
        let host = request_head::host(&request).ok_or(StatusCode::BAD_REQUEST)?;
        let max_body_bytes = self.published.max_body_bytes();
        let (parts, body) = request.into_parts();
        let stated_length = body.size_hint().exact();
        if stated_length.is_some_and(|length| length > max_body_bytes) {
            spawn_local(discard_body(body));
            return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
        }
        let deadline = request_head::deadline(&parts.headers)?;
        let body = self.receive_body(body, max_body_bytes).await?;
        let mut headers = parts.headers;
        remove_hop_by_hop_headers(&mut headers);
        headers.remove("keep-alive");
        let outgoing = UpstreamRequest {
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            may_stream: true,
            max_idle_time: None,
            attempt_check: None,
            withdrawn: Cell::default(),
            used_upstreams: UsedUpstreams::default(),
        };
        Ok(ReceivedRequest {
            host,
            outgoing,
            arrived_at,
            deadline,
        })
    }

    /// Buffers a short body. Of a longer one, only the beginning is buffered; the rest is streamed, which takes an
    /// upload slot.
    async fn receive_body(
        &self,
        body: Incoming,
        max_body_bytes: u64,
    ) -> Result<RequestBody, Rejection> {
        let stated_length = body.size_hint().exact();
        let (buffered, rest) = if body.is_end_stream() {
            (Bytes::new(), None)
        } else {
            buffer_body_start(body).await?
        };
        if buffered.len() as u64 > max_body_bytes {
            if let Some(rest) = rest {
                spawn_local(discard_body(rest));
            }
            return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
        }
        let Some(rest) = rest else {
            return Ok(RequestBody::Buffered(buffered));
        };
        let Ok(slot) = self.upload_slots.clone().try_acquire_owned() else {
            spawn_local(discard_body(rest));
            return Err(Rejection::RetryLater(RETRY_AFTER_NO_UPLOAD_SLOT));
        };
        let upload = Upload::new(buffered, stated_length, rest, slot).bounded(max_body_bytes);
        Ok(RequestBody::Uploading(Rc::new(upload)))
    }

    /// Has the controller route a request, and waits for the reply.
    async fn forward(&self, request: ReceivedRequest) -> Result<Reply, StatusCode> {
        let id = RequestId(
            self.next_request_id
                .replace(self.next_request_id.get().wrapping_add(1)),
        );
        let upload = match &request.outgoing.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Uploading(upload) => Some(upload.clone()),
        };
        let mut pending = PendingReply::new(self.commands.clone(), id);
        let reply = self.route(id, request);
        let reply = match &upload {
            None => Ok(reply.await),
            Some(upload) => {
                tokio::select! {
                    biased;
                    () = upload.exceeded() => Err(StatusCode::PAYLOAD_TOO_LARGE),
                    reply = reply => Ok(reply),
                    () = wait_until_upload_idle(upload) => return Err(StatusCode::BAD_REQUEST),
                }
            }
        };
        // If the body exceeded its limit, the pending reply is dropped unanswered and the controller ends the attempt.
        if reply.is_ok() {
            pending.set_answered();
        }
        // A response may precede the end of the request's body. A streamed response discards the rest at its end, as
        // its server still receives it.
        if let (Some(upload), Ok(Reply::Answer(_)) | Err(_)) = (&upload, &reply) {
            upload.discard_rest();
        }
        reply
    }

    async fn route(&self, id: RequestId, request: ReceivedRequest) -> Reply {
        let (reply_to, reply) = oneshot::channel();
        let request = RouteRequest {
            id,
            host: request.host,
            outgoing: request.outgoing,
            arrived_at: request.arrived_at,
            deadline: request.deadline,
            attempts_sent: 0,
            repeatability: Repeatability::Repeatable,
            reply_to,
        };
        match self.commands.send(Command::Route(Box::new(request))).await {
            Ok(()) => reply.await.unwrap_or(Reply::Answer(Answer::Failed)),
            Err(_) => Reply::Answer(Answer::Failed),
        }
    }

    async fn respond_with(
        &self,
        reply: Reply,
        active_request: ActiveRequest,
        connection: &Rc<Connection>,
    ) -> Response<Content> {
        let response = match reply {
            Reply::Answer(answer) => answer_response(answer),
            Reply::Streamed(streamed) => {
                let slot = self.download_slots.clone().acquire_owned();
                match timeout(DOWNLOAD_SLOT_TIMEOUT, slot).await {
                    Ok(Ok(slot)) => {
                        return streamed_response(
                            streamed,
                            active_request,
                            connection.clone(),
                            slot,
                        )
                    }
                    // No slot became free. Nothing of the response has been written yet, so it can still fail cleanly.
                    Ok(Err(_)) | Err(_) => empty_response(StatusCode::BAD_GATEWAY),
                }
            }
        };
        record_outcome(active_request, response.status());
        response
    }
}

impl RequestHandler for ClientFrontend {
    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> Response<Content> {
        let started = Instant::now();
        let response = self
            .handle(request, &connection)
            .await
            .unwrap_or_else(Rejection::into_response);
        self.metrics
            .count_response(response.status(), started.elapsed());
        response
    }
}

/// Returns once the client has sent nothing of its body for [`UPLOAD_IDLE_TIMEOUT`]. A slow client keeps its upload
/// slot, a silent one loses it.
async fn wait_until_upload_idle(upload: &Upload) {
    while upload.idle_time() < UPLOAD_IDLE_TIMEOUT {
        sleep(UPLOAD_IDLE_CHECK_PERIOD).await;
    }
}
