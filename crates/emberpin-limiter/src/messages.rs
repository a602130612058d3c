//! What the limiter's parts tell each other: requests, answers, attempts and news, beneath them all so that
//! none of them needs another for its types.

use crate::front::stream::{Passing, Upload};
use crate::upstream::listing::Listing;
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
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Bodies up to this are held whole; longer ones are passed on in pieces.
pub const MAX_BODY: usize = 64 * 1024;
/// What a request's attempts pass.
pub trait Gate {
    /// Whether an attempt may go to a server of this zone and cell; asked within the time that it has.
    fn opens<'a>(
        &'a self,
        attempt: u32,
        to: Location,
        within: Duration,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>>;
}

/// A client's request as it goes on to servers.
#[derive(Clone)]
pub struct Outgoing {
    /// As the client wrote it.
    pub method: Method,
    /// As the client wrote it.
    pub uri: Uri,
    /// Without those that concern the client's connection.
    pub headers: HeaderMap,
    /// What it carries.
    pub body: Upstreamed,
    /// Answers that are too long to be held may be passed on in pieces.
    pub may_pass: bool,
    /// It goes on no connection that has been idle for longer, where that is bounded: what is sent on one that the
    /// server has just given up may have run.
    pub freshness: Option<Duration>,
    /// Asked before each attempt, where work outlives its limiter.
    pub gate: Option<Rc<dyn Gate>>,
    /// Whoever sent it on has taken it back: nothing is written of an attempt that has not begun to be.
    pub withdrawn: Cell<bool>,
}

/// A request's body.
#[derive(Clone)]
pub enum Upstreamed {
    /// All of it is here.
    Whole(Bytes),
    /// It is still coming.
    Coming(Rc<Upload>),
}

impl Outgoing {
    /// Whether another attempt would find all that went out before.
    pub fn is_held(&self) -> bool {
        match &self.body {
            Upstreamed::Whole(_) => true,
            Upstreamed::Coming(upload) => upload.is_held(),
        }
    }
}

/// What a client is told: the one final answer, or the beginning of one that is passed on in pieces.
pub enum Reply {
    /// All of it.
    Answer(Answer),
    /// Its beginning, and what brings the rest.
    Passing(Passing),
}

/// How an answer begins, as its client gets it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that concern one connection.
    pub headers: HeaderMap,
}

impl Head {
    /// A good answer of which only the type of its body is passed on.
    pub fn of_type(content_type: Option<HeaderValue>) -> Head {
        let headers = content_type
            .map(|kind| (CONTENT_TYPE, kind))
            .into_iter()
            .collect();
        Head {
            status: StatusCode::OK,
            headers,
        }
    }
}

/// A server's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// How it begins.
    pub head: Head,
    /// All of its body.
    pub body: Bytes,
}

/// How an attempt or a probe ended. Its connection is closed or back in the pool by then.
pub struct Ended {
    /// How.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Millis,
    /// What the server said of its load.
    pub report: LoadReport,
    /// The customer's metered use as a share of its rate.
    pub metered: Option<f64>,
    /// The good answer, if it is one.
    pub served: Option<Reply>,
    /// What the server said where that is no good answer: its client gets it if no attempt brings a better one.
    pub told: Option<Reply>,
    /// Another server answered than the one that was meant.
    pub misdirected: bool,
    /// The server's machine gave no sign of life, or takes no connection.
    pub unreachable: bool,
    /// Something of the request went out.
    pub sent: bool,
}

impl Ended {
    /// One that never began.
    pub fn unsent() -> Ended {
        let report = LoadReport::default();
        Ended {
            outcome: Outcome::NotSent,
            elapsed: 0.0,
            report,
            metered: None,
            served: None,
            told: None,
            misdirected: false,
            unreachable: false,
            sent: false,
        }
    }
}

/// A request that a client made; dropping its answer's receiver says nothing, [`Input::Gone`] does.
pub struct Call {
    /// Names it at this limiter.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// What it draws from the quota.
    pub units: f64,
    /// How many limiters the customer comes through.
    pub set_size: u32,
    /// The first of them.
    pub set_first: GatewayId,
    /// Where it may have run, if it is taken over from another limiter.
    pub ran: Option<PriorAttempt>,
    /// How long the module may take, once the last byte of the request has come.
    pub patience: Duration,
    /// When the last byte of its answer must be out; far off while its body is still coming.
    pub expires: Instant,
    /// What goes on to a server.
    pub outgoing: Rc<Outgoing>,
    /// Who waits for the one answer.
    pub answer: oneshot::Sender<Reply>,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Carried", into = "Carried")]
pub enum Answer {
    /// What a server said.
    Served(Served),
    /// It has not run; the client may come back.
    Refused {
        /// After how long; 0 for no advice.
        retry_after: Millis,
    },
    /// Nothing is promised.
    Failed,
}

/// An answer as a log and other limiters have it.
#[derive(Clone, Serialize, Deserialize)]
enum Carried {
    Served {
        content_type: Option<Vec<u8>>,
        body: Vec<u8>,
    },
    Refused {
        retry_after: Millis,
    },
    Failed,
}

impl From<Answer> for Carried {
    fn from(answer: Answer) -> Carried {
        match answer {
            Answer::Served(Served { head, body }) => Carried::Served {
                content_type: head
                    .headers
                    .get(CONTENT_TYPE)
                    .map(|value| value.as_bytes().to_vec()),
                body: body.to_vec(),
            },
            Answer::Refused { retry_after } => Carried::Refused { retry_after },
            Answer::Failed => Carried::Failed,
        }
    }
}

impl From<Carried> for Answer {
    fn from(carried: Carried) -> Answer {
        match carried {
            Carried::Served { content_type, body } => Answer::Served(Served {
                head: Head::of_type(
                    content_type.and_then(|bytes| HeaderValue::from_bytes(&bytes).ok()),
                ),
                body: body.into(),
            }),
            Carried::Refused { retry_after } => Answer::Refused { retry_after },
            Carried::Failed => Answer::Failed,
        }
    }
}

/// What the driver hears of.
pub enum Input {
    /// A request came.
    Call(Call),
    /// A client went away without its answer.
    Gone(RequestId),
    /// An attempt ended.
    Ended {
        /// Of which request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// At which server.
        server: ServerId,
        /// How.
        ended: Ended,
    },
    /// An attempt has had the time that the module gives it, and goes on.
    Overdue {
        /// Of which request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// A probe ended.
    Probed {
        /// At which server.
        server: ServerId,
        /// How.
        ended: Ended,
    },
    /// News of the list of servers.
    Listing(Listing),
    /// A message of another limiter.
    Peer {
        /// The sender.
        from: GatewayId,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}
