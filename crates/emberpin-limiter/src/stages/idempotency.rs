//! The idempotency stage, between admission and the driver, for requests that carry an idempotency key. It keeps the
//! clients that wait for a reply, forwards the first request of each key, and turns the replies to the others into
//! responses. Which request gets which reply is decided in `emberpin_idempotency`.

use crate::between::link::{Link, LinkEvent, KEY_MESSAGES};
use crate::between::tls;
use crate::front::answers::{client_response, empty_response};
use crate::front::stream::Content;
use crate::messages::{Answer, UpstreamRequest, MAX_BUFFERED_BODY};
use crate::operate::config::Config;
use crate::operate::crash_points;
use crate::operate::operator::{self, Keys, Repeats};
use crate::stages::key_log::{boot_clock, random, KeyLog, RecoveredState};
use crate::stages::takeover::{Keys as TakeoverKeys, Takeover, TakeoverCheck, Terms};
use bytes::Bytes;
use emberpin_failover::WorkId;
use emberpin_idempotency::claims::{
    Action, ClaimConfig, ClaimId, Claims, Event, Member, Message, Reply,
};
use emberpin_idempotency::{
    owner, Customer, Deduplicator, Fingerprint, Form, Key, Limits, Secret, SizeInBytes,
    SweepCursor, Table, TableReply, Ticket,
};
use emberpin_peering::Incarnation;
use emberpin_wal::{LogEvent, Ticket as RecordTicket};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::path::Path;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Marks a response as the replay of the answer to an earlier request of the same key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Bytes that are counted for a stored answer in addition to its body.
const HEAD_WEIGHT: usize = 128;
const _: () = assert!(
    MAX_BUFFERED_BODY + HEAD_WEIGHT < 1 << 20,
    "an answer fits the smallest share that can be set"
);

impl SizeInBytes for Answer {
    fn size_bytes(&self) -> usize {
        match self {
            Answer::Served(served) => served.body.len() + HEAD_WEIGHT,
            Answer::Rejected { .. } | Answer::Failed => HEAD_WEIGHT,
        }
    }
}

/// Number of entries that one step of a sweep rewrites, and the pause between steps: a sweep of a million entries takes
/// a few seconds, of which the stage's thread spends less than a tenth on the sweep.
const SWEEP_STEP: usize = 256;
const SWEEP_PAUSE: Duration = Duration::from_millis(2);
/// How often the log's size is checked.
const SIZE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The ticket of log records that belong to no request.
const NO_TICKET: u64 = u64::MAX;
/// How often the deduplicator receives a tick where keys are replicated to other limiters.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of outcomes that are queued for an unreachable limiter.
const MAX_QUEUED_OUTCOMES: usize = 4096;
/// The value of `Retry-After` where no majority of limiters is reachable, in milliseconds: about the time until a
/// limiter that was unreachable is detected as reachable again.
const NO_MAJORITY_RETRY_MS: f64 = 500.0;

type FirstRequest = Pin<Box<dyn Future<Output = Answer>>>;

/// The stage: the deduplicator, and the requests and clients that it decides about.
pub struct Idempotency {
    deduplicator: RefCell<Deduplicator<Answer>>,
    /// The clients that wait for a reply.
    waiting_clients: RefCell<HashMap<Ticket, oneshot::Sender<Reply<Answer>>>>,
    /// Requests that are not forwarded yet.
    unsent: RefCell<HashMap<Ticket, FirstRequest>>,
    /// The attempt checks of requests in flight, where other limiters may take them over.
    attempt_checks: RefCell<HashMap<Ticket, Rc<TakeoverCheck>>>,
    takeover: Option<Rc<Takeover>>,
    log: Option<KeyLog>,
    link: Option<Rc<Link>>,
    /// The latest known incarnation of each member.
    incarnations: RefCell<HashMap<u32, Incarnation>>,
    next_tick: Cell<Instant>,
    secret: Secret,
    /// The bytes of `secret`, which each sweep of the log rewrites.
    secret_bytes: [u8; 32],
    /// Until then, keys that may have been used before the start are rejected; in milliseconds of [`boot_clock`].
    quiet_until: f64,
    key_form: Form,
    next_ticket: Cell<u64>,
    /// The number of this limiter, and how many there are.
    number: u32,
    group_size: u32,
}

/// A request with an idempotency key.
pub struct KeyedRequest<'a> {
    pub outgoing: &'a UpstreamRequest,
    /// Permits its attempts, where other limiters may take it over.
    pub attempt_check: Option<Rc<TakeoverCheck>>,
    pub terms: Terms,
    pub body: &'a Bytes,
    /// The value of its key's header.
    pub key: &'a str,
    /// The deadline for the reply to its client.
    pub expires: Instant,
}

/// A client that waits for a reply. Dropping it before the reply was sent reports that the client has left.
struct PendingClient<'a> {
    stage: &'a Idempotency,
    ticket: Ticket,
}

impl Drop for PendingClient<'_> {
    fn drop(&mut self) {
        // If the client is still registered, no reply was sent. Otherwise the deduplicator knows of the reply.
        if self
            .stage
            .waiting_clients
            .borrow_mut()
            .remove(&self.ticket)
            .is_some()
        {
            self.stage.handle(Event::ClientLeft {
                ticket: self.ticket,
            });
        }
    }
}

impl Idempotency {
    /// Starts the stage with the operator's settings. The secret of its keyed hash comes from the system's random
    /// source. It is kept as long as the table: in the log if there is one, else until the process exits. Where keys
    /// are replicated, all limiters read the same secret from a file. A message is sent to `superseded_tx` once a
    /// later incarnation of this instance runs.
    ///
    /// # Errors
    ///
    /// One line: the log cannot be opened, the secret cannot be read, or the system has no random bytes.
    pub fn start(
        settings: &operator::Idempotency,
        config: &Config,
        link: Option<Rc<Link>>,
        superseded_tx: mpsc::UnboundedSender<()>,
    ) -> Result<Rc<Idempotency>, String> {
        let to_millis = |time: Duration| time.as_secs_f64() * 1000.0;
        let (log_events, received_log_events) = mpsc::unbounded_channel();
        let opened = match &config.log {
            Some((log, folder)) => Some(KeyLog::open(
                config,
                log,
                folder,
                to_millis(settings.retention),
                log_events,
            )?),
            None => None,
        };
        let now = boot_clock();
        let (log, recovered) = match opened {
            Some((log, recovered)) => (Some(log), recovered),
            None => {
                let quiet_until = now + to_millis(settings.quiet());
                (
                    None,
                    RecoveredState {
                        secret: random()?,
                        records: Vec::new(),
                        quiet_until,
                    },
                )
            }
        };
        let limits = Limits {
            entries: settings.entries,
            answer_bytes: settings.answer_bytes,
            waiters_per_key: settings.waiters_per_key,
            waiters_per_customer: settings.waiters_per_customer,
            customer_share: settings.customer_share,
            retention: to_millis(settings.retention),
            quiet: (recovered.quiet_until - now).max(0.0),
            wait: settings.repeats == Repeats::Wait,
            recorded: log.is_some(),
        };
        let (mut deduplicator, secret) = match &config.link {
            None => (
                Deduplicator::Single(Box::new(Table::new(limits, now))),
                recovered.secret,
            ),
            Some((link, number)) => {
                let claim_config = ClaimConfig {
                    me: Member(*number),
                    members: link
                        .members
                        .iter()
                        .map(|member| Member(member.number))
                        .collect(),
                    copies: link.copies.min(link.members.len()),
                    ask_within: to_millis(link.query_timeout),
                    slack: to_millis(link.dead_after),
                    waiters_per_key: settings.waiters_per_key,
                    max_queued_outcomes: MAX_QUEUED_OUTCOMES,
                    takeover_enabled: config.takeover.is_some(),
                    first_claim: match config.takeover {
                        Some(_) => u64::from_le_bytes(random()?) >> 1,
                        None => 0,
                    },
                };
                // All limiters must compute the same fingerprint for the same request, so they share the secret.
                let secret = tls::read_secret(Path::new(&link.keys))?;
                (
                    Deduplicator::Replicated(Box::new(Claims::new(claim_config, limits, now))),
                    secret,
                )
            }
        };
        for (record, same_clock) in recovered.records {
            deduplicator.table_mut().restore(record, same_clock);
        }
        deduplicator.table_mut().finish_restore();
        let takeover = match (&config.takeover, &link, &config.link) {
            (Some(settings), Some(link), Some((_, number))) => {
                Some(Takeover::start(settings, config, link, *number))
            }
            _ => None,
        };
        let stage = Rc::new(Idempotency {
            deduplicator: RefCell::new(deduplicator),
            waiting_clients: RefCell::default(),
            unsent: RefCell::default(),
            attempt_checks: RefCell::default(),
            takeover,
            log,
            link,
            incarnations: RefCell::default(),
            next_tick: Cell::new(Instant::now()),
            secret: Secret::new(secret),
            secret_bytes: secret,
            quiet_until: recovered.quiet_until,
            key_form: match settings.keys {
                Keys::Quoted => Form::Quoted,
                Keys::QuotedOrBare => Form::QuotedOrBare,
            },
            next_ticket: Cell::new(0),
            number: config.settings.gateway_id.0,
            group_size: config.settings.group_size,
        });
        if let Some(takeover) = &stage.takeover {
            let keys: Weak<dyn TakeoverKeys> = Rc::<Idempotency>::downgrade(&stage);
            takeover.set_keys(keys);
        }
        if let Some(log) = &stage.log {
            spawn_local(maintain_log(
                Rc::downgrade(&stage),
                received_log_events,
                log.first_segment(),
            ));
        }
        if let Some(link) = &stage.link {
            spawn_local(receive_link_events(
                Rc::downgrade(&stage),
                link.subscribe(KEY_MESSAGES),
                superseded_tx,
            ));
        }
        Ok(stage)
    }

    /// Serves one keyed request from its arrival to its response. If it is the first of its key, `first` passes it to
    /// the driver, and then runs to its end whether or not the client stays connected.
    pub async fn serve<F>(self: &Rc<Self>, request: KeyedRequest<'_>, first: F) -> Response<Content>
    where
        F: Future<Output = Answer> + 'static,
    {
        let (outgoing, terms, attempt_check) =
            (request.outgoing, request.terms, request.attempt_check);
        let customer = Customer(terms.customer.0);
        // Without a link, each customer's keys belong to one limiter of the customer's set: limiters that cannot query
        // each other must not both forward a request. Nothing was sent.
        if self.link.is_none()
            && owner(customer, terms.set_first.0, terms.set_size, self.group_size)
                != Some(self.number)
        {
            let detail = "another limiter keeps this customer's keys; nothing was sent";
            return problem(StatusCode::MISDIRECTED_REQUEST, detail, None);
        }
        let key = match Key::parse(request.key, self.key_form) {
            Ok(key) => key,
            Err(why) => {
                return problem(
                    StatusCode::BAD_REQUEST,
                    &format!("Idempotency-Key: {why}"),
                    None,
                )
            }
        };
        let path = outgoing
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let method = outgoing.method.as_str();
        let fingerprint =
            Fingerprint::compute(&self.secret, method, path, terms.class.0, request.body);
        if let (Some(takeover), Some(attempt_check)) = (&self.takeover, &attempt_check) {
            takeover.set_payload(attempt_check, outgoing, &terms, key.clone(), fingerprint);
        }
        let ticket = Ticket(self.next_ticket.replace(self.next_ticket.get() + 1));
        let (reply_to, reply) = oneshot::channel();
        self.waiting_clients.borrow_mut().insert(ticket, reply_to);
        let pending_client = PendingClient {
            stage: self,
            ticket,
        };
        let stage = self.clone();
        let first = async move {
            crash_points::reach("send");
            let answer = first.await;
            crash_points::reach("answer");
            stage.on_first_answered(ticket, answer.clone());
            answer
        };
        if let Some(attempt_check) = &attempt_check {
            self.attempt_checks
                .borrow_mut()
                .insert(ticket, attempt_check.clone());
        }
        self.unsent.borrow_mut().insert(ticket, Box::pin(first));
        let within = request
            .expires
            .saturating_duration_since(Instant::now())
            .as_secs_f64()
            * 1000.0;
        self.handle(Event::Arrived {
            ticket,
            customer,
            key,
            fingerprint,
            within,
        });
        let reply = timeout_at(request.expires, reply).await;
        drop(pending_client);
        if let (Some(attempt_check), Ok(Ok(Reply::Standard(TableReply::Own(_))))) =
            (&attempt_check, &reply)
        {
            _ = timeout_at(request.expires, attempt_check.wait_for_confirmation()).await;
        }
        crash_points::reach("reply");
        match reply {
            Ok(Ok(reply)) => response_to(reply),
            // Only this client's deadline has passed; the first request continues.
            Ok(Err(_)) | Err(_) => {
                let detail = "the first request of this key is still out";
                problem(StatusCode::GATEWAY_TIMEOUT, detail, None)
            }
        }
    }

    /// Reports the answer to a first request to the deduplicator and to the limiters that could take it over.
    fn on_first_answered(&self, ticket: Ticket, answer: Answer) {
        let attempt_check = self.attempt_checks.borrow_mut().remove(&ticket);
        let work = attempt_check.zip(self.takeover.as_ref());
        // Another limiter that has taken the request over may have sent it, even if this one has not.
        let is_fenced = |(attempt_check, takeover): &(Rc<TakeoverCheck>, &Rc<Takeover>)| {
            attempt_check
                .work()
                .is_some_and(|id| takeover.is_fenced(&id))
        };
        let taken_over = work.as_ref().is_some_and(is_fenced);
        let answer = match answer {
            Answer::Rejected { .. } if taken_over => Answer::Failed,
            answer => answer,
        };
        let served = matches!(answer, Answer::Served(_));
        self.handle(match answer {
            Answer::Served(_) => Event::Served { ticket, answer },
            Answer::Rejected { .. } => Event::Rejected { ticket, answer },
            Answer::Failed => Event::Failed { ticket, answer },
        });
        if let Some((attempt_check, takeover)) = work {
            takeover.request_completed(&attempt_check, served);
        }
        crash_points::reach("store");
    }

    /// Passes an event to the deduplicator and carries out its actions.
    fn handle(&self, event: Event<Answer>) {
        let mut actions = Vec::new();
        self.deduplicator
            .borrow_mut()
            .handle(boot_clock(), event, &mut actions);
        for action in actions {
            match action {
                Action::Forward(ticket) => {
                    self.register_work(ticket);
                    if let Some(first) = self.unsent.borrow_mut().remove(&ticket) {
                        spawn_local(first);
                    }
                }
                Action::Hold(_) => {}
                Action::Drop(ticket) => {
                    self.attempt_checks.borrow_mut().remove(&ticket);
                    self.unsent.borrow_mut().remove(&ticket);
                }
                Action::Record(record, ticket) => {
                    let Some(log) = &self.log else { continue };
                    let accepted =
                        log.append_key(record, ticket.map(|ticket| RecordTicket(ticket.0)));
                    crash_points::reach("claim");
                    // If the outcome is not written, the key counts as one that may have run after the next start.
                    if let Some(ticket) = ticket.filter(|_| !accepted) {
                        self.handle(Event::Unwritten { ticket });
                    }
                }
                Action::Reply(ticket, reply) => {
                    self.attempt_checks.borrow_mut().remove(&ticket);
                    self.unsent.borrow_mut().remove(&ticket);
                    if let Some(client) = self.waiting_clients.borrow_mut().remove(&ticket) {
                        // Fails if the client has just left.
                        _ = client.send(reply);
                    }
                }
                Action::Send(member, message) => {
                    self.record_grant(member, &message);
                    if let (Some(link), Ok(body)) = (&self.link, postcard::to_allocvec(&message)) {
                        link.send(member.0, KEY_MESSAGES, body);
                    }
                }
            }
        }
    }

    /// The takeover of requests between limiters, if it is enabled.
    pub fn takeover(&self) -> Option<&Rc<Takeover>> {
        self.takeover.as_ref()
    }

    /// A first request is forwarded: registers it under its claim, so that its attempts can be permitted.
    fn register_work(&self, ticket: Ticket) {
        let (Some(takeover), Some(attempt_check)) = (
            &self.takeover,
            self.attempt_checks.borrow().get(&ticket).cloned(),
        ) else {
            return;
        };
        let claimed = self.deduplicator.borrow().claims().and_then(|claims| {
            claims
                .claim_of(ticket)
                .map(|(claim, customer)| (claim, claims.holders(customer)))
        });
        if let Some((claim, acceptors)) = claimed {
            takeover.work_started(&attempt_check, claim, acceptors);
        }
    }

    /// Records a claim that this limiter grants, as it may have to take the request over.
    fn record_grant(&self, to: Member, message: &Message<Answer>) {
        let (Some(takeover), Message::Granted(claim)) = (&self.takeover, message) else {
            return;
        };
        let holders = self.deduplicator.borrow().claims().and_then(|claims| {
            claims
                .customer_of((to, *claim))
                .map(|customer| claims.holders(customer))
        });
        if let Some(holders) = holders {
            takeover.key_granted(to, *claim, holders);
        }
    }

    /// Whether a member's message about its own claim still applies.
    fn applies(&self, from: Member, message: &Message<Answer>) -> bool {
        let Some(takeover) = &self.takeover else {
            return true;
        };
        match message {
            Message::Released(claim) | Message::Lost(claim) => {
                takeover.claim_settled(from, *claim, false)
            }
            Message::Served { claim, .. } => takeover.claim_settled(from, *claim, true),
            _ => true,
        }
    }

    fn on_link_event(&self, event: LinkEvent) {
        match event {
            LinkEvent::MessageReceived { from, body } => match postcard::from_bytes(&body) {
                Ok(message) if self.applies(Member(from), &message) => {
                    self.handle(Event::Received {
                        from: Member(from),
                        message,
                    });
                }
                Ok(_) => {}
                Err(e) => {
                    eprintln!("emberpin: link: message of member {from} cannot be decoded: {e}");
                }
            },
            LinkEvent::PeerChanged { member, state } => {
                let peer = Member(member);
                // Passed on from here instead of received by `Takeover` itself, so that it stays in order with that
                // incarnation's messages about its claims.
                if let Some(takeover) = &self.takeover {
                    takeover.on_peer_changed(member, &state);
                }
                if let Some(incarnation) = state.incarnation {
                    let before = self.incarnations.borrow_mut().insert(member, incarnation);
                    if before.is_some_and(|before| before != incarnation) {
                        self.handle(Event::NewIncarnation { member: peer });
                    }
                }
                self.handle(Event::Reachable {
                    member: peer,
                    reachable: state.reachable,
                });
            }
            LinkEvent::Superseded => {}
        }
    }

    /// Passes a tick to the deduplicator, if one is due.
    fn tick(&self) {
        let now = Instant::now();
        if now >= self.next_tick.get() {
            self.next_tick.set(now + TICK_INTERVAL);
            self.handle(Event::Tick);
        }
    }

    fn on_log_event(&self, event: LogEvent) {
        let ticket_of = |ticket: &RecordTicket| Ticket(ticket.0);
        match event {
            LogEvent::Durable(tickets) => tickets.iter().for_each(|ticket| {
                self.handle(Event::Written {
                    ticket: ticket_of(ticket),
                });
            }),
            LogEvent::Failed(tickets, problem) => {
                eprintln!(
                    "emberpin: log: {} keyed requests not forwarded: {problem}",
                    tickets.len()
                );
                tickets.iter().for_each(|ticket| {
                    self.handle(Event::Unwritten {
                        ticket: ticket_of(ticket),
                    });
                });
            }
            // Handled by the compaction that requested it.
            LogEvent::Rotated(_) => {}
        }
    }
}

impl TakeoverKeys for Idempotency {
    fn claim_ended(&self, claim_id: ClaimId, may_have_run: bool) {
        self.handle(Event::ClaimEnded {
            claim_id,
            may_have_run,
        });
    }

    fn takeover_ended(
        &self,
        id: WorkId,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        answer: Answer,
    ) {
        let Some(takeover) = &self.takeover else {
            return;
        };
        match answer {
            Answer::Served(_) => {
                self.handle(Event::ServedAfterTakeover {
                    customer,
                    key,
                    fingerprint,
                    answer,
                });
                takeover.takeover_completed(id);
            }
            // It may have run before it was taken over.
            Answer::Rejected { .. } | Answer::Failed => takeover.takeover_failed(id),
        }
    }
}

/// Handles the link's events, and ticks. Ends when the stage is dropped.
async fn receive_link_events(
    stage: Weak<Idempotency>,
    mut events: mpsc::UnboundedReceiver<LinkEvent>,
    superseded_tx: mpsc::UnboundedSender<()>,
) {
    loop {
        let event = timeout(TICK_INTERVAL, events.recv()).await;
        let Some(stage) = stage.upgrade() else { return };
        match event {
            Ok(Some(LinkEvent::Superseded)) => _ = superseded_tx.send(()),
            Ok(Some(event)) => stage.on_link_event(event),
            Ok(None) => return,
            Err(_) => {}
        }
        stage.tick();
    }
}

/// The progress of the log's compaction: a sweep rewrites all live entries to a new segment, after which the older
/// segments are removed.
struct Compaction {
    /// Where the sweep continues; `None` if none is under way.
    sweep: Option<SweepCursor>,
    /// The segment that the sweep writes to; all earlier ones are removed when it ends.
    segment: u64,
    /// Size of the log after the last compaction, in bytes.
    compacted_size: u64,
    /// A new segment was requested and is not there yet.
    rotating: bool,
}

impl Compaction {
    fn on_log_event(&mut self, event: &LogEvent) {
        let LogEvent::Rotated(result) = event else {
            return;
        };
        self.rotating = false;
        match result {
            Ok(segment) => (self.sweep, self.segment) = (Some(SweepCursor::default()), *segment),
            // Retried at the next check of the size. Until then the log only grows; nothing is lost.
            Err(problem) => eprintln!("emberpin: log: cannot begin a new segment: {problem}"),
        }
    }

    /// Does one step, and returns the time until the next.
    fn step(&mut self, stage: &Idempotency, log: &KeyLog) -> Duration {
        match self.sweep.map(|from| stage.sweep(log, from)) {
            // The log's queue is full: the same entries are tried again at the next step.
            Some(None) => {}
            Some(Some(Some(next))) => self.sweep = Some(next),
            Some(Some(None)) => {
                if log.remove_segments_before(self.segment) {
                    (self.sweep, self.compacted_size) = (None, log.bytes());
                }
            }
            None => {
                if !self.rotating && log.wants_rotation(self.compacted_size) {
                    self.rotating = log.rotate();
                }
            }
        }
        if self.sweep.is_some() {
            SWEEP_PAUSE
        } else {
            SIZE_CHECK_INTERVAL
        }
    }
}

/// Handles the log's events, and compacts the log at the start and whenever it has grown enough. Ends when the stage is
/// dropped.
async fn maintain_log(
    stage: Weak<Idempotency>,
    mut received_log_events: mpsc::UnboundedReceiver<LogEvent>,
    first_segment: u64,
) {
    let mut compaction = Compaction {
        sweep: Some(SweepCursor::default()),
        segment: first_segment,
        compacted_size: 0,
        rotating: false,
    };
    // A point in time, not a delay: a delay that restarts at each event would never end under load.
    let mut due = Instant::now();
    loop {
        let event = tokio::select! {
            event = received_log_events.recv() => Some(event),
            () = sleep_until(due) => None,
        };
        let Some(stage) = stage.upgrade() else { return };
        match event {
            Some(Some(event)) => {
                compaction.on_log_event(&event);
                stage.on_log_event(event);
            }
            Some(None) => return,
            None => {
                let Some(log) = &stage.log else { return };
                due = Instant::now() + compaction.step(&stage, log);
            }
        }
    }
}

impl Idempotency {
    /// Rewrites the next entries of a sweep. Returns where the sweep continues, or `Some(None)` at its end; `None` if
    /// the log did not accept the entries.
    fn sweep(&self, log: &KeyLog, from: SweepCursor) -> Option<Option<SweepCursor>> {
        if from == SweepCursor::default() {
            let quiet = self.quiet_until > boot_clock();
            if !log.append_secret(self.secret_bytes, Some(RecordTicket(NO_TICKET)))
                || quiet && !log.append_quiet(self.quiet_until)
            {
                return None;
            }
        }
        let (records, next) = self.deduplicator.borrow().table().sweep(from, SWEEP_STEP);
        records
            .into_iter()
            .all(|record| log.append_key(record, None))
            .then_some(next)
    }
}

/// The response for a deduplicator's reply. 429 and 503 promise that a retry does no harm, so they are used only for
/// requests that were never sent.
fn response_to(reply: Reply<Answer>) -> Response<Content> {
    let table_reply = match reply {
        Reply::Standard(table_reply) => table_reply,
        Reply::NoMajority => {
            let detail = "too few of the limiters that hold this customer's keys are there; nothing was sent";
            return problem(
                StatusCode::SERVICE_UNAVAILABLE,
                detail,
                Some(NO_MAJORITY_RETRY_MS),
            );
        }
    };
    match table_reply {
        TableReply::Own(answer) => client_response(answer),
        TableReply::Replay(answer) => {
            let mut response = client_response(answer);
            response
                .headers_mut()
                .insert(REPLAYED, HeaderValue::from_static("true"));
            response
        }
        TableReply::Mismatch => {
            let detail = "this Idempotency-Key stands for another request";
            problem(StatusCode::UNPROCESSABLE_ENTITY, detail, None)
        }
        TableReply::InFlight => problem(
            StatusCode::CONFLICT,
            "the first request of this Idempotency-Key is in flight",
            None,
        ),
        TableReply::Unknown => {
            let detail =
                "the first request of this Idempotency-Key may have run; it is not sent again";
            problem(StatusCode::CONFLICT, detail, None)
        }
        TableReply::NotKept => {
            let detail =
                "the first request of this Idempotency-Key was served; its answer is not kept any more";
            problem(StatusCode::CONFLICT, detail, None)
        }
        TableReply::Full { retry_after } => {
            let detail = "no place for another Idempotency-Key; nothing was sent";
            problem(StatusCode::SERVICE_UNAVAILABLE, detail, Some(retry_after))
        }
        TableReply::NotWritten => {
            let detail = "this Idempotency-Key cannot be written down now; nothing was sent";
            problem(StatusCode::SERVICE_UNAVAILABLE, detail, None)
        }
        TableReply::Quiet => {
            let detail = "just started: whether this Idempotency-Key ran before is not known; it is not sent";
            problem(StatusCode::CONFLICT, detail, None)
        }
    }
}

/// A problem document (RFC 9457), with the delay before a retry in milliseconds where it is known.
fn problem(status: StatusCode, detail: &str, retry_after: Option<f64>) -> Response<Content> {
    let title = status.canonical_reason().unwrap_or("Problem");
    let body = serde_json::json!({"type": "about:blank", "title": title, "status": status.as_u16(), "detail": detail});
    let mut response = empty_response(status);
    *response.body_mut() = Content::Buffered(Some(body.to_string().into()));
    let content_type = HeaderValue::from_static("application/problem+json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    let seconds = retry_after.map(|millis| format!("{:.3}", millis / 1000.0));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
