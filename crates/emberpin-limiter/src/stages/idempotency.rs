//! The host of the idempotency stage: between admission and the driver, for requests that carry a key. It keeps
//! who waits, lets first requests on, and words what the others are told. What is told to whom is decided in
//! `emberpin_idempotency`.

use crate::between::link::{Link, News, KEYS};
use crate::between::tls;
use crate::front::answers::{plain, written};
use crate::front::stream::Content;
use crate::messages::{Answer, UpstreamRequest, MAX_BODY};
use crate::operate::config::Config;
use crate::operate::crash_points;
use crate::operate::operator::{self, Keys, Repeats};
use crate::stages::key_log::{boot_clock, random, Memory, Recalled};
use crate::stages::takeover::{Keys as TakenKeys, Takeover, Terms, WorkGate};
use bytes::Bytes;
use emberpin_failover::WorkId;
use emberpin_idempotency::claims::{
    Action, ClaimConfig, ClaimId, Claims, Event, Member, Message, Reply,
};
use emberpin_idempotency::{
    owner, Customer, Deduplicator, Fingerprint, Form, Key, Limits, Secret, SweepCursor, Table,
    Telling, Ticket, Weight,
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

/// Marks an answer that was made for an earlier request of the same key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// What is counted for an entry's answer beside its body.
const HEAD: usize = 128;
const _: () = assert!(
    MAX_BODY + HEAD < 1 << 20,
    "an answer fits the smallest share that can be set"
);

impl Weight for Answer {
    fn weight(&self) -> usize {
        match self {
            Answer::Served(served) => served.body.len() + HEAD,
            Answer::Refused { .. } | Answer::Failed => HEAD,
        }
    }
}

/// Entries that are written anew at a time, and the pause between: a sweep of a million takes some seconds, of which the
/// stage's thread gives less than a tenth.
const SWEEP_STEP: usize = 256;
const SWEEP_PAUSE: Duration = Duration::from_millis(2);
/// How often the log's size is looked at.
const SIZE_LOOK: Duration = Duration::from_millis(250);
/// The ticket of what is no request's.
const NO_TICKET: u64 = u64::MAX;
/// How often time is let pass where others hold keys too.
const TICK: Duration = Duration::from_millis(20);
/// Outcomes that are kept for a limiter that is away.
const OWED: usize = 4096;
/// When to come back where too few are there, in milliseconds: about as long as one takes to be heard of again.
const AWAY_RETRY: f64 = 500.0;

type First = Pin<Box<dyn Future<Output = Answer>>>;

/// The stage.
pub struct Idempotency {
    keeper: RefCell<Deduplicator<Answer>>,
    /// Whoever is to be told something.
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Reply<Answer>>>>,
    /// Requests that may go on yet.
    unsent: RefCell<HashMap<Ticket, First>>,
    /// The gates of requests that are open here.
    gates: RefCell<HashMap<Ticket, Rc<WorkGate>>>,
    takeover: Option<Rc<Takeover>>,
    memory: Option<Memory>,
    link: Option<Rc<Link>>,
    /// The life of each member that was heard of last.
    lives: RefCell<HashMap<u32, Incarnation>>,
    next_tick: Cell<Instant>,
    secret: Secret,
    /// Its bytes, to be written anew with all that is still wanted.
    secret_bytes: [u8; 32],
    quiet_until: f64,
    form: Form,
    next: Cell<u64>,
    me: u32,
    group: u32,
}

/// A keyed request, as the stage sees it.
pub struct Keyed<'a> {
    pub outgoing: &'a UpstreamRequest,
    pub gate: Option<Rc<WorkGate>>,
    pub terms: Terms,
    pub body: &'a Bytes,
    pub key: &'a str,
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
        if self
            .stage
            .waiting
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
    /// The stage, as the operator has it. What its keyed hash is made with comes from the system's random source and
    /// lives as long as the table: with the log, or with the process.
    ///
    /// # Errors
    ///
    /// One line: the log cannot be opened, or the system has no random bytes.
    pub fn start(
        settings: &operator::Idempotency,
        config: &Config,
        link: Option<Rc<Link>>,
        superseded: mpsc::UnboundedSender<()>,
    ) -> Result<Rc<Idempotency>, String> {
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        let (notes, noted) = mpsc::unbounded_channel();
        let opened = match &config.log {
            Some((log, folder)) => Some(Memory::open(
                config,
                log,
                folder,
                millis(settings.retention),
                notes,
            )?),
            None => None,
        };
        let now = boot_clock();
        let (memory, recalled) = match opened {
            Some((memory, recalled)) => (Some(memory), recalled),
            None => {
                let quiet_until = now + millis(settings.quiet());
                (
                    None,
                    Recalled {
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
            retention: millis(settings.retention),
            quiet: (recalled.quiet_until - now).max(0.0),
            wait: settings.repeats == Repeats::Wait,
            recorded: memory.is_some(),
        };
        let (mut keeper, secret) = match &config.link {
            None => (
                Deduplicator::Single(Box::new(Table::new(limits, now))),
                recalled.secret,
            ),
            Some((link, number)) => {
                let rules = ClaimConfig {
                    me: Member(*number),
                    members: link
                        .members
                        .iter()
                        .map(|member| Member(member.number))
                        .collect(),
                    copies: link.copies.min(link.members.len()),
                    ask_within: millis(link.ask_within),
                    slack: millis(link.dead_after),
                    waiters_per_key: settings.waiters_per_key,
                    max_queued_outcomes: OWED,
                    takeover_enabled: config.takeover.is_some(),
                    first_claim: match config.takeover {
                        Some(_) => u64::from_le_bytes(random()?) >> 1,
                        None => 0,
                    },
                };
                // All must see the same request as the same, so they share what fingerprints are made with.
                let secret = tls::secret(Path::new(&link.keys))?;
                (
                    Deduplicator::Replicated(Box::new(Claims::new(rules, limits, now))),
                    secret,
                )
            }
        };
        for (record, same_clock) in recalled.records {
            keeper.table_mut().restore(record, same_clock);
        }
        keeper.table_mut().finish_restore();
        let takeover = match (&config.takeover, &link, &config.link) {
            (Some(settings), Some(link), Some((_, number))) => {
                Some(Takeover::start(settings, config, link, *number))
            }
            _ => None,
        };
        let stage = Rc::new(Idempotency {
            keeper: RefCell::new(keeper),
            waiting: RefCell::default(),
            unsent: RefCell::default(),
            gates: RefCell::default(),
            takeover,
            memory,
            link,
            lives: RefCell::default(),
            next_tick: Cell::new(Instant::now()),
            secret: Secret::new(secret),
            secret_bytes: secret,
            quiet_until: recalled.quiet_until,
            form: match settings.keys {
                Keys::Quoted => Form::Quoted,
                Keys::QuotedOrBare => Form::QuotedOrBare,
            },
            next: Cell::new(0),
            me: config.settings.gateway_id.0,
            group: config.settings.group_size,
        });
        if let Some(takeover) = &stage.takeover {
            let keys: Weak<dyn TakenKeys> = Rc::<Idempotency>::downgrade(&stage);
            takeover.serve(keys);
        }
        if let Some(memory) = &stage.memory {
            spawn_local(keep(Rc::downgrade(&stage), noted, memory.first_segment()));
        }
        if let Some(link) = &stage.link {
            spawn_local(listen(
                Rc::downgrade(&stage),
                link.subscribe(KEYS),
                superseded,
            ));
        }
        Ok(stage)
    }

    /// One keyed request, from its arrival to its answer. `first` asks the driver, if this is the first of its key:
    /// it goes on to its end whether or not this client stays.
    pub async fn serve<F>(self: &Rc<Self>, request: Keyed<'_>, first: F) -> Response<Content>
    where
        F: Future<Output = Answer> + 'static,
    {
        let (outgoing, terms, gate) = (request.outgoing, request.terms, request.gate);
        let customer = Customer(terms.customer.0);
        // Owned by one limiter of its set, so that two that cannot ask each other do not both let it on; nothing was sent.
        if self.link.is_none()
            && owner(customer, terms.set_first.0, terms.set_size, self.group) != Some(self.me)
        {
            let what = "another limiter keeps this customer's keys; nothing was sent";
            return problem(StatusCode::MISDIRECTED_REQUEST, what, None);
        }
        let key = match Key::parse(request.key, self.form) {
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
        let fingerprint = Fingerprint::of(&self.secret, method, path, terms.class.0, request.body);
        if let (Some(takeover), Some(gate)) = (&self.takeover, &gate) {
            takeover.carry(gate, outgoing, &terms, key.clone(), fingerprint);
        }
        let ticket = Ticket(self.next.replace(self.next.get() + 1));
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tell);
        let owed = Owed {
            stage: self,
            ticket,
        };
        let stage = self.clone();
        let first = async move {
            crash_points::reach("send");
            let answer = first.await;
            crash_points::reach("answer");
            stage.conclude(ticket, answer.clone());
            answer
        };
        if let Some(gate) = &gate {
            self.gates.borrow_mut().insert(ticket, gate.clone());
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
        let telling = timeout_at(request.expires, told).await;
        drop(owed);
        if let (Some(gate), Ok(Ok(Reply::Standard(Telling::Own(_))))) = (&gate, &telling) {
            _ = timeout_at(request.expires, gate.closed()).await;
        }
        crash_points::reach("reply");
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
        let gate = self.gates.borrow_mut().remove(&ticket);
        let work = gate.zip(self.takeover.as_ref());
        // Where another goes on with it, what was not sent here may have been sent there.
        let fenced = |(gate, takeover): &(Rc<WorkGate>, &Rc<Takeover>)| {
            gate.work().is_some_and(|id| takeover.is_fenced(&id))
        };
        let overtaken = work.as_ref().is_some_and(fenced);
        let answer = match answer {
            Answer::Refused { .. } if overtaken => Answer::Failed,
            answer => answer,
        };
        let served = matches!(answer, Answer::Served(_));
        self.handle(match answer {
            Answer::Served(_) => Event::Served { ticket, answer },
            Answer::Refused { .. } => Event::Rejected { ticket, answer },
            Answer::Failed => Event::Failed { ticket, answer },
        });
        if let Some((gate, takeover)) = work {
            takeover.concluded(&gate, served);
        }
        crash_points::reach("store");
    }

    /// Feeds the keeper and carries out what it says.
    fn handle(&self, event: Event<Answer>) {
        let mut actions = Vec::new();
        self.keeper
            .borrow_mut()
            .handle(boot_clock(), event, &mut actions);
        for action in actions {
            match action {
                Action::Forward(ticket) => {
                    self.begin(ticket);
                    if let Some(first) = self.unsent.borrow_mut().remove(&ticket) {
                        spawn_local(first);
                    }
                }
                Action::Hold(_) => {}
                Action::Drop(ticket) => {
                    self.gates.borrow_mut().remove(&ticket);
                    self.unsent.borrow_mut().remove(&ticket);
                }
                Action::Record(record, ticket) => {
                    let Some(memory) = &self.memory else { continue };
                    let taken = memory.key(record, ticket.map(|ticket| RecordTicket(ticket.0)));
                    crash_points::reach("claim");
                    // An outcome that is not taken leaves the key as what may have run, in the next life.
                    if let Some(ticket) = ticket.filter(|_| !taken) {
                        self.handle(Event::Unwritten { ticket });
                    }
                }
                Action::Reply(ticket, told) => {
                    self.gates.borrow_mut().remove(&ticket);
                    self.unsent.borrow_mut().remove(&ticket);
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                        // One that has just gone away does not hear it.
                        _ = waiting.send(told);
                    }
                }
                Action::Send(member, said) => {
                    self.note_grant(member, &said);
                    if let (Some(link), Ok(body)) = (&self.link, postcard::to_allocvec(&said)) {
                        link.tell(member.0, KEYS, body);
                    }
                }
            }
        }
    }

    /// How work in hand is taken over, if it is.
    pub fn takeover(&self) -> Option<&Rc<Takeover>> {
        self.takeover.as_ref()
    }

    /// A first request goes on: its attempts are to be asked for under its claim.
    fn begin(&self, ticket: Ticket) {
        let (Some(takeover), Some(gate)) =
            (&self.takeover, self.gates.borrow().get(&ticket).cloned())
        else {
            return;
        };
        let claimed = self.keeper.borrow().claims().and_then(|claims| {
            claims
                .claim_of(ticket)
                .map(|(claim, customer)| (claim, claims.holders(customer)))
        });
        if let Some((claim, keepers)) = claimed {
            takeover.begun(&gate, claim, keepers);
        }
    }

    /// What this limiter grants it may have to take over.
    fn note_grant(&self, to: Member, said: &Message<Answer>) {
        let (Some(takeover), Message::Granted(claim)) = (&self.takeover, said) else {
            return;
        };
        let holders = self.keeper.borrow().claims().and_then(|claims| {
            claims
                .customer_of((to, *claim))
                .map(|customer| claims.holders(customer))
        });
        if let Some(holders) = holders {
            takeover.granted(to, *claim, holders);
        }
    }

    /// Whether what a member says of its own claim still counts.
    fn counts(&self, from: Member, said: &Message<Answer>) -> bool {
        let Some(takeover) = &self.takeover else {
            return true;
        };
        match said {
            Message::Released(claim) | Message::Lost(claim) => {
                takeover.settled(from, *claim, false)
            }
            Message::Served { claim, .. } => takeover.settled(from, *claim, true),
            _ => true,
        }
    }

    fn hear(&self, news: News) {
        match news {
            News::Told { from, body } => match postcard::from_bytes(&body) {
                Ok(message) if self.counts(Member(from), &message) => {
                    self.handle(Event::Received {
                        from: Member(from),
                        message,
                    });
                }
                Ok(_) => {}
                Err(e) => {
                    eprintln!("emberpin: link: member {from} said what is not understood: {e}");
                }
            },
            News::Changed { member, state } => {
                let of = Member(member);
                // Heard here, so that it stands in order with what that life says of its claims.
                if let Some(takeover) = &self.takeover {
                    takeover.changed(member, &state);
                }
                if let Some(life) = state.incarnation {
                    let before = self.lives.borrow_mut().insert(member, life);
                    if before.is_some_and(|before| before != life) {
                        self.handle(Event::NewIncarnation { member: of });
                    }
                }
                self.handle(Event::Reachable {
                    member: of,
                    reachable: state.reachable,
                });
            }
            News::Superseded => {}
        }
    }

    /// Lets time pass, if some has since the last time.
    fn tick(&self) {
        let now = Instant::now();
        if now >= self.next_tick.get() {
            self.next_tick.set(now + TICK);
            self.handle(Event::Tick);
        }
    }

    fn noted(&self, note: LogEvent) {
        let of = |ticket: &RecordTicket| Ticket(ticket.0);
        match note {
            LogEvent::Durable(tickets) => tickets.iter().for_each(|ticket| {
                self.handle(Event::Written { ticket: of(ticket) });
            }),
            LogEvent::Failed(tickets, problem) => {
                eprintln!(
                    "emberpin: log: {} keyed requests not let on: {problem}",
                    tickets.len()
                );
                tickets.iter().for_each(|ticket| {
                    self.handle(Event::Unwritten { ticket: of(ticket) });
                });
            }
            // The sweep that asked for it hears of it.
            LogEvent::Rotated(_) => {}
        }
    }
}

impl TakenKeys for Idempotency {
    fn ended(&self, claim_id: ClaimId, may_have_run: bool) {
        self.handle(Event::ClaimEnded {
            claim_id,
            may_have_run,
        });
    }

    fn taken_over(
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
                takeover.done(id);
            }
            // It may have run before it came here.
            Answer::Refused { .. } | Answer::Failed => takeover.failed(id),
        }
    }
}

/// Carries out what other limiters tell, and lets time pass. Ends with the stage.
async fn listen(
    stage: Weak<Idempotency>,
    mut heard: mpsc::UnboundedReceiver<News>,
    superseded: mpsc::UnboundedSender<()>,
) {
    loop {
        let news = timeout(TICK, heard.recv()).await;
        let Some(stage) = stage.upgrade() else { return };
        match news {
            Ok(Some(News::Superseded)) => _ = superseded.send(()),
            Ok(Some(news)) => stage.hear(news),
            Ok(None) => return,
            Err(_) => {}
        }
        stage.tick();
    }
}

/// How far the log's host is with writing all that is still wanted anew.
struct Renewal {
    /// The next entries to be written, while a sweep is on.
    sweep: Option<SweepCursor>,
    /// The segment that the sweep writes to; all before it go with its end.
    segment: u64,
    /// Bytes that the log held after the last sweep.
    then: u64,
    /// Another segment was asked for.
    rotating: bool,
}

impl Renewal {
    fn noted(&mut self, note: &LogEvent) {
        let LogEvent::Rotated(result) = note else {
            return;
        };
        self.rotating = false;
        match result {
            Ok(segment) => (self.sweep, self.segment) = (Some(SweepCursor::default()), *segment),
            // Looked at again after a while; nothing is lost by a log that is too long.
            Err(problem) => eprintln!("emberpin: log: cannot be turned over: {problem}"),
        }
    }

    /// Does one step, and says when the next is due.
    fn step(&mut self, stage: &Idempotency, memory: &Memory) -> Duration {
        match self.sweep.map(|from| stage.sweep(memory, from)) {
            // What is not taken now, as too much waits, is tried again soon.
            Some(None) => {}
            Some(Some(Some(next))) => self.sweep = Some(next),
            Some(Some(None)) => {
                if memory.retire(self.segment) {
                    (self.sweep, self.then) = (None, memory.bytes());
                }
            }
            None => {
                if !self.rotating && memory.wants_rotation(self.then) {
                    self.rotating = memory.rotate();
                }
            }
        }
        if self.sweep.is_some() {
            SWEEP_PAUSE
        } else {
            SIZE_LOOK
        }
    }
}

/// Carries out what the log tells, and writes all that is still wanted anew whenever it has grown enough, and once
/// at the start. Ends with the stage.
async fn keep(
    stage: Weak<Idempotency>,
    mut noted: mpsc::UnboundedReceiver<LogEvent>,
    first_segment: u64,
) {
    let mut renewal = Renewal {
        sweep: Some(SweepCursor::default()),
        segment: first_segment,
        then: 0,
        rotating: false,
    };
    // A point in time: a pause begun anew at each note would never end under load.
    let mut due = Instant::now();
    loop {
        let note = tokio::select! {
            note = noted.recv() => Some(note),
            () = sleep_until(due) => None,
        };
        let Some(stage) = stage.upgrade() else { return };
        match note {
            Some(Some(note)) => {
                renewal.noted(&note);
                stage.noted(note);
            }
            Some(None) => return,
            None => {
                let Some(memory) = &stage.memory else { return };
                due = Instant::now() + renewal.step(&stage, memory);
            }
        }
    }
}

impl Idempotency {
    /// Writes some entries anew; `None` if they were not taken.
    fn sweep(&self, memory: &Memory, from: SweepCursor) -> Option<Option<SweepCursor>> {
        if from == SweepCursor::default() {
            let quiet = self.quiet_until > boot_clock();
            if !memory.secret(self.secret_bytes, Some(RecordTicket(NO_TICKET)))
                || quiet && !memory.quiet(self.quiet_until)
            {
                return None;
            }
        }
        let (records, next) = self.keeper.borrow().table().sweep(from, SWEEP_STEP);
        records
            .into_iter()
            .all(|record| memory.key(record, None))
            .then_some(next)
    }
}

/// What a request is told, as its answer. 429 and 503 say that trying again does no harm, so they are given only
/// to what was never sent.
fn worded(told: Reply<Answer>) -> Response<Content> {
    let telling = match told {
        Reply::Standard(telling) => telling,
        Reply::NoMajority => {
            let what = "too few of the limiters that hold this customer's keys are there; nothing was sent";
            return problem(StatusCode::SERVICE_UNAVAILABLE, what, Some(AWAY_RETRY));
        }
    };
    match telling {
        Telling::Own(answer) => written(answer),
        Telling::Replay(answer) => {
            let mut response = written(answer);
            response
                .headers_mut()
                .insert(REPLAYED, HeaderValue::from_static("true"));
            response
        }
        Telling::Mismatch => {
            let what = "this Idempotency-Key stands for another request";
            problem(StatusCode::UNPROCESSABLE_ENTITY, what, None)
        }
        Telling::InFlight => problem(
            StatusCode::CONFLICT,
            "the first request of this Idempotency-Key is in flight",
            None,
        ),
        Telling::Unknown => {
            let what =
                "the first request of this Idempotency-Key may have run; it is not sent again";
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
        Telling::NotWritten => {
            let what = "this Idempotency-Key cannot be written down now; nothing was sent";
            problem(StatusCode::SERVICE_UNAVAILABLE, what, None)
        }
        Telling::Quiet => {
            let what = "just started: whether this Idempotency-Key ran before is not known; it is not sent";
            problem(StatusCode::CONFLICT, what, None)
        }
    }
}

/// A problem document (RFC 9457), with when to come back where that is known.
fn problem(status: StatusCode, detail: &str, retry_after: Option<f64>) -> Response<Content> {
    let title = status.canonical_reason().unwrap_or("Problem");
    let body = serde_json::json!({"type": "about:blank", "title": title, "status": status.as_u16(), "detail": detail});
    let mut response = plain(status);
    *response.body_mut() = Content::Buffered(Some(body.to_string().into()));
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    let seconds = retry_after.map(|millis| format!("{:.3}", millis / 1000.0));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
