//! The messages between the limiter's parts: requests, answers, ends of attempts, and inputs of the driver. All parts
//! depend on this module, so that none depends on another for its types.

use crate::front::stream::StreamedResponse;
use crate::front::upload::Upload;
use crate::upstream::endpoint_list::EndpointList;
use crate::upstream::server::UsedUpstreams;
use bytes::Bytes;
use emberpin_balancer::{
    ClassId, CustomerId, GatewayId, LoadReport, Location, Millis, Outcome, PlanId, PriorAttempt,
    RequestId, ServerId,
};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE};
use hyper::{Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Bodies of up to this many bytes are buffered; longer ones are streamed.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// Decides before each attempt of a request whether it may be sent. Used where another limiter may take the request
/// over.
pub trait AttemptCheck {
    /// Whether the attempt with this number may be sent to a server in this zone and cell. The decision takes at most
    /// `within`, the time limit of the attempt.
    fn allows<'a>(
        &'a self,
        attempt: u32,
        to: Location,
        within: Duration,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>>;
}

/// A client's request as it is forwarded to servers.
#[derive(Clone)]
pub struct UpstreamRequest {
    /// As the client sent it.
    pub method: Method,
    /// As the client sent it.
    pub uri: Uri,
    /// The headers, without those that concern only the client's connection.
    pub headers: HeaderMap,
    /// The body, complete or still being uploaded.
    pub body: RequestBody,
    /// A response that is too long to buffer may be streamed; otherwise it counts as an error.
    pub may_stream: bool,
    /// The request is not sent on a connection that has been idle for longer: the server may have closed it already,
    /// and the request would then count as one that may have run. `None` for no limit.
    pub max_idle_time: Option<Duration>,
    /// Asked before each attempt whether it may be sent; `None` where no other limiter can take the request over.
    pub attempt_check: Option<Rc<dyn AttemptCheck>>,
    /// Set while the request must not be sent to the servers chosen for it, as its route no longer leads to them: an
    /// attempt of which nothing has been written yet ends as not sent.
    pub withdrawn: Cell<bool>,
    /// The servers that have received an attempt of it. A further attempt at one of them gets a new connection.
    pub used_upstreams: UsedUpstreams,
}

/// A request's body.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it has arrived.
    Buffered(Bytes),
    /// The client is still sending it.
    Uploading(Rc<Upload>),
}

impl UpstreamRequest {
    /// Whether another attempt could send the whole body again.
    pub fn is_replayable(&self) -> bool {
        match &self.body {
            RequestBody::Buffered(_) => true,
            RequestBody::Uploading(upload) => upload.is_replayable(),
        }
    }
}

/// The one final answer to a client, complete or as a stream.
pub enum Reply {
    /// A complete answer.
    Answer(Answer),
    /// The head of a server's response, and the stream that brings its body.
    Streamed(StreamedResponse),
}

/// The head of a response, as its client receives it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without those that concern one connection.
    pub headers: HeaderMap,
}

impl ResponseHead {
    /// The head of a 200 response whose only header is its content type.
    pub fn of_type(content_type: Option<HeaderValue>) -> ResponseHead {
        let headers = content_type
            .map(|value| (CONTENT_TYPE, value))
            .into_iter()
            .collect();
        ResponseHead {
            status: StatusCode::OK,
            headers,
        }
    }
}

/// A server's response, received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerResponse {
    /// The head, as the client receives it.
    pub head: ResponseHead,
    /// The complete body.
    pub body: Bytes,
}

/// Identifies an attempt among all attempts of this process. Its number within its request does not, as the numbers begin
/// again with 0 when a request is routed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId(u64);

impl AttemptId {
    /// An id that no other attempt has.
    pub(crate) fn unused() -> AttemptId {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        AttemptId(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// How an attempt or a health check ended. Unless the response is streamed, its connection is closed or back in the
/// pool by then.
pub struct AttemptEnd {
    /// The outcome as the decision module classifies it.
    pub outcome: Outcome,
    /// From the start of the attempt, or the last byte of an upload, to the end, in milliseconds.
    pub elapsed: Millis,
    /// The load that the server reported.
    pub load: LoadReport,
    /// The customer's metered use as a share of its rate, where the server reported it.
    pub metered: Option<f64>,
    /// The response, if the outcome is [`Outcome::Ok`].
    pub response: Option<Reply>,
    /// A response that reports an error; the client may receive it, if no other attempt brings a better one.
    pub error_response: Option<Reply>,
    /// Another server answered than the one that the attempt was addressed to.
    pub misdirected: bool,
    /// The server's machine did not acknowledge anything, or accepted no connection.
    pub unreachable: bool,
    /// At least one byte of the request was sent.
    pub sent: bool,
}

impl AttemptEnd {
    /// The end of an attempt that never began.
    pub fn unsent() -> AttemptEnd {
        AttemptEnd {
            outcome: Outcome::NotSent,
            elapsed: 0.0,
            load: LoadReport::default(),
            metered: None,
            response: None,
            error_response: None,
            misdirected: false,
            unreachable: false,
            sent: false,
        }
    }
}

/// A client's request that passed admission. Dropping the receiver of its reply does not abandon it;
/// [`Input::ClientGone`] does.
pub struct AdmittedRequest {
    /// Its id, unique within this limiter.
    pub id: RequestId,
    /// The traffic class, which has a latency target and a priority.
    pub class: ClassId,
    /// The customer's plan.
    pub plan: PlanId,
    /// The customer whose quota it draws on.
    pub customer: CustomerId,
    /// How much it draws from the quota.
    pub units: f64,
    /// Over how many limiters the customer's requests are spread.
    pub set_size: u32,
    /// The first of those limiters.
    pub set_first: GatewayId,
    /// The attempt that another limiter may have sent, if this request was taken over from it.
    pub prior_attempt: Option<PriorAttempt>,
    /// How long the decision module may take, counted from the last byte of the request.
    pub time_limit: Duration,
    /// When the last byte of its answer must have been sent; far in the future while its body is uploaded.
    pub expires: Instant,
    /// What is forwarded to a server.
    pub outgoing: Rc<UpstreamRequest>,
    /// Receives the one reply.
    pub reply_to: oneshot::Sender<Reply>,
}

/// The final answer to a request, complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredAnswer", into = "StoredAnswer")]
pub enum Answer {
    /// A server's response.
    Served(ServerResponse),
    /// Rejected before it ran on any server; the client may retry.
    Rejected {
        /// The delay before a retry, in milliseconds; 0 for no advice.
        retry_after: Millis,
    },
    /// The request may have run; its effect is unknown.
    Failed,
}

/// The encoding of an answer in logs and in messages to peers. Tests compare recorded bytes: variants and fields must
/// keep their order.
#[derive(Clone, Serialize, Deserialize)]
enum StoredAnswer {
    Served {
        content_type: Option<Vec<u8>>,
        body: Vec<u8>,
    },
    Rejected {
        retry_after: Millis,
    },
    Failed,
}

impl From<Answer> for StoredAnswer {
    fn from(answer: Answer) -> StoredAnswer {
        match answer {
            Answer::Served(ServerResponse { head, body }) => StoredAnswer::Served {
                content_type: head
                    .headers
                    .get(CONTENT_TYPE)
                    .map(|value| value.as_bytes().to_vec()),
                body: body.to_vec(),
            },
            Answer::Rejected { retry_after } => StoredAnswer::Rejected { retry_after },
            Answer::Failed => StoredAnswer::Failed,
        }
    }
}

impl From<StoredAnswer> for Answer {
    fn from(stored: StoredAnswer) -> Answer {
        match stored {
            StoredAnswer::Served { content_type, body } => Answer::Served(ServerResponse {
                head: ResponseHead::of_type(
                    content_type.and_then(|bytes| HeaderValue::from_bytes(&bytes).ok()),
                ),
                body: body.into(),
            }),
            StoredAnswer::Rejected { retry_after } => Answer::Rejected { retry_after },
            StoredAnswer::Failed => Answer::Failed,
        }
    }
}

/// An event for the owner of an engine: the driver, or the proxy's controller.
pub enum Input {
    /// A client's request passed admission.
    Request(AdmittedRequest),
    /// The client of a request disconnected before its answer.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
        /// The server that it was sent to.
        server: ServerId,
        /// Its result.
        ended: AttemptEnd,
    },
    /// An attempt has exceeded the time that the decision module gave it, and continues, unless it has ended meanwhile.
    Overdue {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A health check ended.
    ProbeEnded {
        /// The server that was checked.
        server: ServerId,
        /// Its result.
        ended: AttemptEnd,
    },
    /// An endpoint list, or changes to it.
    EndpointList(EndpointList),
    /// A message from another limiter.
    Peer {
        /// The limiter that sent it.
        from: GatewayId,
        /// The encoded message, for the decision module to decode.
        bytes: Vec<u8>,
    },
}
