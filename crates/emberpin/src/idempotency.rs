//! The host of the idempotency stage: between admission and the driver, for requests that carry a key. It keeps
//! who waits, lets first requests on, and words what the others are told. What is told to whom is decided in
//! `emberpin_idempotency`.

use crate::clients::{plain, written};
use crate::clock::Clock;
use crate::messages::{Answer, MAX_BODY};
use crate::operator::{self, Keys, Repeats};
use bytes::Bytes;
use dillpass::{CustomerId, GatewayId};
use emberpin_idempotency::{
    owner, Action, Customer, Event, Fingerprint, Form, Key, Limits, Secret, Table, Telling, Ticket, Weight,
};
use http_body_util::Full;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode, Uri};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

/// Marks an answer that was made for an earlier request of the same key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// What is counted for an entry's answer beside its body.
const HEAD: usize = 128;
const _: () = assert!(MAX_BODY + HEAD < 1 << 20, "an answer fits the smallest share that can be set");

impl Weight for Answer {
    fn weight(&self) -> usize {
        match self {
            Answer::Served(served) => served.body.len() + HEAD,
            Answer::Refused { .. } | Answer::Failed => HEAD,
        }
    }
}

/// The stage.
pub struct Idempotency {
    table: RefCell<Table<Answer>>,
    /// Whoever is to be told something.
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Telling<Answer>>>>,
    secret: Secret,
    form: Form,
    clock: Clock,
    next: Cell<u64>,
    me: u32,
    group: u32,
}

/// A keyed request, as the stage sees it.
pub struct Keyed<'a> {
    pub method: &'a Method,
    pub uri: &'a Uri,
    pub class: usize,
    pub body: &'a Bytes,
    pub key: &'a str,
    pub customer: CustomerId,
    pub set_size: u32,
    pub set_first: GatewayId,
    pub expires: Instant,
}

/// A request that is owed an answer by the stage: when its client goes away, the stage is told.
struct Owed<'a> {
    stage: &'a Idempotency,
    ticket: Ticket,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        // Nobody is there any more, or it was told: of the latter the table knows.
        if self.stage.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.stage.handle(Event::Left { ticket: self.ticket });
        }
    }
}

impl Idempotency {
    /// The stage of limiter `me` of `group`, as the operator has it. What its keyed hash is made with lives as long
    /// as the process, as the table does.
    pub fn new(
        settings: &operator::Idempotency,
        clock: Clock,
        seed: u64,
        me: GatewayId,
        group: u32,
    ) -> Idempotency {
        let millis = |time: std::time::Duration| time.as_secs_f64() * 1000.0;
        let limits = Limits {
            entries: settings.entries,
            answer_bytes: settings.answer_bytes,
            waiters_per_key: settings.waiters_per_key,
            waiters_per_customer: settings.waiters_per_customer,
            customer_share: settings.customer_share,
            retention: millis(settings.retention),
            quiet: millis(settings.quiet()),
            wait: settings.repeats == Repeats::Wait,
        };
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        bytes[8..16].copy_from_slice(&clock.now().to_le_bytes());
        bytes[16..20].copy_from_slice(&std::process::id().to_le_bytes());
        Idempotency {
            table: RefCell::new(Table::new(limits, clock.now())),
            waiting: RefCell::default(),
            secret: Secret::new(bytes),
            form: match settings.keys {
                Keys::Quoted => Form::Quoted,
                Keys::QuotedOrBare => Form::QuotedOrBare,
            },
            clock,
            next: Cell::new(0),
            me: me.0,
            group,
        }
    }

    /// One keyed request, from its arrival to its answer. `first` asks the driver, if this is the first of its key:
    /// it goes on to its end whether or not this client stays.
    pub async fn serve<F>(self: &Rc<Self>, request: Keyed<'_>, first: F) -> Response<Full<Bytes>>
    where
        F: Future<Output = Answer> + 'static,
    {
        let customer = Customer(request.customer.0);
        // Owned by one limiter of its set, so that two cannot both let it on; nothing was sent.
        if owner(customer, request.set_first.0, request.set_size, self.group) != Some(self.me) {
            let what = "another limiter keeps this customer's keys; nothing was sent";
            return problem(StatusCode::MISDIRECTED_REQUEST, what, None);
        }
        let key = match Key::parse(request.key, self.form) {
            Ok(key) => key,
            Err(why) => return problem(StatusCode::BAD_REQUEST, &format!("Idempotency-Key: {why}"), None),
        };
        let path = request.uri.path_and_query().map_or("/", |path| path.as_str());
        let method = request.method.as_str();
        let fingerprint = Fingerprint::of(&self.secret, method, path, request.class, request.body);
        let ticket = Ticket(self.next.replace(self.next.get() + 1));
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tell);
        let owed = Owed { stage: self, ticket };
        if self.handle(Event::Arrived { ticket, customer, key, fingerprint }) {
            let stage = self.clone();
            spawn_local(async move { stage.conclude(ticket, first.await) });
        }
        let telling = timeout_at(request.expires, told).await;
        drop(owed);
        match telling {
            Ok(Ok(telling)) => worded(telling),
            // Its patience is over, and only its: the first goes on.
            Ok(Err(_)) | Err(_) => {
                let what = "the first request of this key is still out";
                problem(StatusCode::GATEWAY_TIMEOUT, what, None)
            }
        }
    }

    /// What came of a first request.
    fn conclude(&self, ticket: Ticket, answer: Answer) {
        self.handle(match answer {
            Answer::Served(_) => Event::Served { ticket, answer },
            Answer::Refused { .. } => Event::Refused { ticket, answer },
            Answer::Failed => Event::Failed { ticket, answer },
        });
    }

    /// Feeds the table and carries out what it says; true if a first request is to go on.
    fn handle(&self, event: Event<Answer>) -> bool {
        let mut actions = Vec::new();
        self.table.borrow_mut().handle(self.clock.now(), event, &mut actions);
        let mut passes = false;
        for action in actions {
            match action {
                Action::Pass(_) => passes = true,
                Action::Hold(_) => {}
                Action::Tell(ticket, telling) => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                        // One that has just gone away does not hear it.
                        _ = waiting.send(telling);
                    }
                }
            }
        }
        passes
    }
}

/// What a request is told, as its answer. 429 and 503 say that trying again does no harm, so they are given only
/// to what was never sent.
fn worded(telling: Telling<Answer>) -> Response<Full<Bytes>> {
    match telling {
        Telling::Own(answer) => written(answer),
        Telling::Replay(answer) => {
            let mut response = written(answer);
            response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
            response
        }
        Telling::Mismatch => {
            let what = "this Idempotency-Key stands for another request";
            problem(StatusCode::UNPROCESSABLE_ENTITY, what, None)
        }
        Telling::InFlight => {
            problem(StatusCode::CONFLICT, "the first request of this Idempotency-Key is in flight", None)
        }
        Telling::Unknown => {
            let what = "the first request of this Idempotency-Key may have run; it is not sent again";
            problem(StatusCode::CONFLICT, what, None)
        }
        Telling::NotKept => {
            let what =
                "the first request of this Idempotency-Key was served; its answer is not kept any more";
            problem(StatusCode::CONFLICT, what, None)
        }
        Telling::Full { retry_after } => {
            let what = "no place for another Idempotency-Key; nothing was sent";
            problem(StatusCode::SERVICE_UNAVAILABLE, what, Some(retry_after))
        }
        Telling::Quiet => {
            let what = "just started: whether this Idempotency-Key ran before is not known; it is not sent";
            problem(StatusCode::CONFLICT, what, None)
        }
    }
}

/// A problem document (RFC 9457), with when to come back where that is known.
fn problem(status: StatusCode, detail: &str, retry_after: Option<f64>) -> Response<Full<Bytes>> {
    let title = status.canonical_reason().unwrap_or("Problem");
    let body = serde_json::json!({"type": "about:blank", "title": title, "status": status.as_u16(), "detail": detail});
    let mut response = plain(status);
    *response.body_mut() = Full::new(body.to_string().into());
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    let seconds = retry_after.map(|millis| format!("{:.3}", millis / 1000.0));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
