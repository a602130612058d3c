//! The host of takeovers: asks those that keep a request's work before each of its attempts, tells them what came of it,
//! and goes on with the work of a limiter that is gone. Who may is decided in `emberpin_failover`.

use crate::between::link::{Link, News, WORK};
use crate::messages::{Answer, Gate, RequestBody, UpstreamRequest};
use crate::operate::config::Config;
use crate::operate::crash_points;
use crate::operate::takeover::Takeover as Settings;
use crate::stages::key_log::boot_clock;
use emberpin_balancer::{
    ClassId, CustomerId, GatewayId, Idempotency, Location, PlanId, PriorAttempt,
};
use emberpin_failover::{
    Action, Config as FailoverConfig, Event, Failover, FirstAttempt, Member, ServerGroup,
    Timestamp, Verdict, Work, WorkId,
};
use emberpin_idempotency::claims::{Claim, ClaimId, Member as Holder};
use emberpin_idempotency::{Customer, Fingerprint, Key};
use emberpin_peering::{Incarnation, PeerState};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// How often time is let pass.
const TICK: Duration = Duration::from_millis(20);

/// Whose keys work is taken over under.
pub trait Keys {
    /// Nobody goes on with what a claim was granted for.
    fn ended(&self, claim_id: ClaimId, may_have_run: bool);

    /// What came of another's work that was gone on with here.
    fn taken_over(
        &self,
        id: WorkId,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        answer: Answer,
    );
}

/// The gate of one keyed request: shut until its key is granted, and open while nobody else goes on with its work.
pub struct WorkGate {
    host: Weak<Takeover>,
    /// Which work, from the grant on.
    id: OnceCell<WorkId>,
    /// What another limiter would need.
    payload: OnceCell<Vec<u8>>,
    window: Option<f64>,
    expires: Instant,
    /// Its outcome is not known to a majority yet.
    closing: Cell<bool>,
    closed: Notify,
}

impl Gate for WorkGate {
    fn opens<'a>(
        &'a self,
        attempt: u32,
        to: Location,
        within: Duration,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(self.ask(attempt, to, within))
    }
}

impl WorkGate {
    async fn ask(&self, attempt: u32, Location { zone, cell }: Location, within: Duration) -> bool {
        let (Some(host), Some(id), Some(payload)) = (
            self.host.upgrade(),
            self.id.get().copied(),
            self.payload.get(),
        ) else {
            return false;
        };
        let left = self
            .expires
            .saturating_duration_since(Instant::now())
            .as_secs_f64()
            * 1000.0;
        let work = Work {
            payload: payload.clone(),
            deduplication_window_ms: self.window,
            time_left_ms: left,
        };
        let group = ServerGroup {
            zone: u32::try_from(zone).unwrap_or(u32::MAX),
            cell,
        };
        let (tell, told) = oneshot::channel();
        host.asked.borrow_mut().insert((id, attempt), tell);
        crash_points::reach("going");
        host.handle(Event::AttemptRequested {
            work_id: id,
            attempt,
            group,
            work,
        });
        let opens = matches!(timeout(within, told).await, Ok(Ok(true)));
        host.asked.borrow_mut().remove(&(id, attempt));
        crash_points::reach(if opens { "gone" } else { "withheld" });
        opens
    }

    /// Returns once a majority knows of the outcome, or may not any more: no other goes on with what its client was told.
    pub async fn closed(&self) {
        while self.closing.get() {
            self.closed.notified().await;
        }
    }

    /// Its work, once its key is granted.
    pub fn work(&self) -> Option<WorkId> {
        self.id.get().copied()
    }
}

/// A request as another limiter needs it.
#[derive(Serialize, Deserialize)]
struct Carried {
    method: String,
    uri: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
    set_size: u32,
    set_first: u32,
    key: Key,
    fingerprint: Fingerprint,
}

/// What the module is to know of a request beside what goes out.
#[derive(Clone, Copy)]
pub struct Terms {
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub units: f64,
    pub set_size: u32,
    pub set_first: GatewayId,
}

/// A request that is gone on with here.
pub struct Taken {
    pub terms: Terms,
    pub outgoing: UpstreamRequest,
    pub ran: PriorAttempt,
    pub patience: Duration,
}

/// Asks the driver for a request that no client of this limiter's waits for.
pub type Runner = Box<dyn Fn(Taken) -> Pin<Box<dyn Future<Output = Answer>>>>;

/// The host.
pub struct Takeover {
    failover: RefCell<Failover>,
    link: Rc<Link>,
    own: Weak<Takeover>,
    keys: OnceCell<Weak<dyn Keys>>,
    runner: OnceCell<Runner>,
    /// Attempts that wait for their keepers.
    asked: RefCell<HashMap<(WorkId, u32), oneshot::Sender<bool>>>,
    /// Outcomes of which keepers are being told.
    closing: RefCell<HashMap<WorkId, Rc<WorkGate>>>,
    /// The life of each member that was heard of last.
    lives: RefCell<HashMap<u32, Incarnation>>,
    /// Members whose connection was ended while they were well, and from when on they are gone.
    ending: RefCell<HashMap<u32, Instant>>,
    /// How long the halls drop a repeat, by class.
    windows: Vec<Option<f64>>,
    after: Duration,
    next_tick: Cell<Instant>,
    me: u32,
}

impl Takeover {
    /// Starts the host.
    pub fn start(settings: &Settings, config: &Config, link: &Rc<Link>, me: u32) -> Rc<Takeover> {
        let (members, ask_within, tell_within, dead_after) = match &config.link {
            Some((link, _)) => (
                link.members.len(),
                link.ask_within,
                link.suspect_after + link.heartbeat * 2,
                link.dead_after,
            ),
            None => (1, Duration::ZERO, Duration::ZERO, Duration::ZERO),
        };
        let failover_config = FailoverConfig {
            member: Member(me),
            incarnation: link.life(),
            reply_timeout: ask_within,
            completion_timeout: tell_within,
            retention: config.longest_deadline() + dead_after,
            max_entries: settings.entries,
            max_bytes: settings.bytes,
            max_takeovers_per_s: settings.per_s / members.max(1) as f64,
        };
        let windows = config
            .settings
            .classes
            .iter()
            .map(|class| match class.idempotency {
                Idempotency::Keyed { window, .. } => Some(window),
                Idempotency::Safe | Idempotency::Unsafe => None,
            });
        let host = Rc::new_cyclic(|own| Takeover {
            own: own.clone(),
            failover: RefCell::new(Failover::new(failover_config, now())),
            link: link.clone(),
            keys: OnceCell::new(),
            runner: OnceCell::new(),
            asked: RefCell::default(),
            closing: RefCell::default(),
            lives: RefCell::default(),
            ending: RefCell::default(),
            windows: windows.collect(),
            after: settings.after,
            next_tick: Cell::new(Instant::now()),
            me,
        });
        spawn_local(listen(Rc::downgrade(&host), link.subscribe(WORK)));
        host
    }

    /// Whose keys it is about.
    pub fn serve(&self, keys: Weak<dyn Keys>) {
        _ = self.keys.set(keys);
    }

    fn keys(&self) -> Option<Rc<dyn Keys>> {
        self.keys.get().and_then(Weak::upgrade)
    }

    /// Who asks the driver for what is taken over.
    pub fn run_with(&self, runner: Runner) {
        _ = self.runner.set(runner);
    }

    /// The gate of a keyed request that has just come.
    pub fn gate(&self, class: ClassId, expires: Instant) -> Rc<WorkGate> {
        let (id, payload) = (OnceCell::new(), OnceCell::new());
        let window = self.windows.get(class.0).copied().flatten();
        let (host, closing, closed) = (self.own.clone(), Cell::new(false), Notify::new());
        Rc::new(WorkGate {
            host,
            id,
            payload,
            window,
            expires,
            closing,
            closed,
        })
    }

    /// Writes down what another limiter would need.
    pub fn carry(
        &self,
        gate: &WorkGate,
        outgoing: &UpstreamRequest,
        terms: &Terms,
        key: Key,
        fingerprint: Fingerprint,
    ) {
        let RequestBody::Buffered(body) = &outgoing.body else {
            return;
        };
        let headers = outgoing
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
        let carried = Carried {
            method: outgoing.method.to_string(),
            uri: outgoing.uri.to_string(),
            headers: headers.collect(),
            body: body.to_vec(),
            class: terms.class.0,
            plan: terms.plan.0,
            customer: terms.customer.0,
            units: terms.units,
            set_size: terms.set_size,
            set_first: terms.set_first.0,
            key,
            fingerprint,
        };
        if let Ok(bytes) = postcard::to_allocvec(&carried) {
            _ = gate.payload.set(bytes);
        }
    }

    /// A request of this limiter's has its key.
    pub fn begun(&self, gate: &WorkGate, claim: Claim, keepers: Vec<Holder>) {
        let id = WorkId {
            claimant: Member(self.me),
            incarnation: self.link.life(),
            claim_number: claim.0,
        };
        if gate.id.set(id).is_ok() {
            self.handle(Event::WorkStarted {
                work_id: id,
                acceptors: members(keepers),
            });
        }
    }

    /// What came of a work that was taken over here was told to the holders.
    pub fn done(&self, id: WorkId) {
        self.handle(Event::WorkCompleted(id));
    }

    /// What came of a request of this limiter's was told to the holders; its client is to wait if it was served.
    pub fn concluded(&self, gate: &Rc<WorkGate>, served: bool) {
        let Some(id) = gate.work() else { return };
        if served {
            gate.closing.set(true);
            self.closing.borrow_mut().insert(id, gate.clone());
        }
        self.handle(Event::WorkCompleted(id));
    }

    /// Whether another goes on with a work of this limiter's.
    pub fn is_fenced(&self, id: &WorkId) -> bool {
        self.failover.borrow().is_fenced(id)
    }

    /// This limiter has granted a key to another's claim.
    pub fn granted(&self, to: Holder, claim: Claim, keepers: Vec<Holder>) {
        if let Some(id) = self.work_of(to, claim) {
            self.handle(Event::KeyGranted {
                work_id: id,
                acceptors: members(keepers),
            });
        }
    }

    /// Its claimant says that a claim has an outcome; false if that does not count any more, as another goes on with it.
    pub fn settled(&self, of: Holder, claim: Claim, served: bool) -> bool {
        let Some(id) = self.work_of(of, claim) else {
            return true;
        };
        if !served && self.failover.borrow().is_promised_to_candidate(&id) {
            return false;
        }
        self.handle(Event::KeyReleased(id));
        true
    }

    fn work_of(&self, of: Holder, claim: Claim) -> Option<WorkId> {
        let life = self.lives.borrow().get(&of.0).copied()?;
        Some(WorkId {
            claimant: Member(of.0),
            incarnation: life,
            claim_number: claim.0,
        })
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.failover
            .borrow_mut()
            .handle(now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if let Ok(body) = postcard::to_allocvec(&message) {
                        self.link.tell(to.0, WORK, body);
                    }
                }
                Action::AllowAttempt { work_id, attempt } => self.tell(work_id, attempt, true),
                Action::DenyAttempt { work_id, attempt } => self.tell(work_id, attempt, false),
                Action::CompletionConfirmed(id) => {
                    if let Some(gate) = self.closing.borrow_mut().remove(&id) {
                        gate.closing.set(false);
                        gate.closed.notify_one();
                    }
                }
                Action::TakeOver {
                    work_id,
                    work,
                    first_attempt,
                } => self.take_over(work_id, work, first_attempt),
                Action::Abandoned { work_id, verdict } => {
                    let ran = verdict == Verdict::MayHaveRun;
                    let what = if ran { "may have run" } else { "was not sent" };
                    eprintln!(
                        "emberpin: takeover: work of limiter {} {what}",
                        work_id.claimant.0
                    );
                    if let Some(keys) = self.keys() {
                        keys.ended(
                            (Holder(work_id.claimant.0), Claim(work_id.claim_number)),
                            ran,
                        );
                    }
                }
            }
        }
    }

    fn tell(&self, id: WorkId, attempt: u32, may_go: bool) {
        if let Some(asked) = self.asked.borrow_mut().remove(&(id, attempt)) {
            // One that has just given up does not hear it, and sends nothing.
            _ = asked.send(may_go);
        }
    }

    /// Goes on with another's work.
    fn take_over(&self, id: WorkId, work: Work, first_attempt: FirstAttempt) {
        crash_points::reach("taken");
        eprintln!(
            "emberpin: takeover: goes on with work of limiter {}",
            id.claimant.0
        );
        let Some((taken, customer, key, fingerprint)) = self.carried(id, work, first_attempt)
        else {
            eprintln!(
                "emberpin: takeover: work of limiter {} is not understood",
                id.claimant.0
            );
            return self.handle(Event::TakeoverFailed(id));
        };
        let Some(runner) = self.runner.get() else {
            return self.handle(Event::TakeoverFailed(id));
        };
        let (going, host) = (runner(taken), self.own.clone());
        spawn_local(async move {
            let answer = going.await;
            crash_points::reach("taken-answer");
            let Some(keys) = host.upgrade().and_then(|host| host.keys()) else {
                return;
            };
            keys.taken_over(id, customer, key, fingerprint, answer);
        });
    }

    /// A work that was taken over came to nothing.
    pub fn failed(&self, id: WorkId) {
        self.handle(Event::TakeoverFailed(id));
    }

    fn carried(
        &self,
        id: WorkId,
        work: Work,
        first_attempt: FirstAttempt,
    ) -> Option<(Taken, Customer, Key, Fingerprint)> {
        let carried: Carried = postcard::from_bytes(&work.payload).ok()?;
        let mut headers = HeaderMap::new();
        for (name, value) in &carried.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let sound =
            carried.units.is_finite() && carried.units > 0.0 && carried.class < self.windows.len();
        let patience = Duration::try_from_secs_f64(work.time_left_ms / 1000.0)
            .ok()
            .filter(|_| sound)?;
        let gate = WorkGate {
            host: self.own.clone(),
            id: OnceCell::from(id),
            window: work.deduplication_window_ms,
            expires: Instant::now() + patience,
            payload: OnceCell::from(work.payload),
            closing: Cell::new(false),
            closed: Notify::new(),
        };
        let taken = Taken {
            terms: Terms {
                class: ClassId(carried.class),
                plan: PlanId(carried.plan),
                customer: CustomerId(carried.customer),
                units: carried.units,
                set_size: carried.set_size,
                set_first: GatewayId(carried.set_first),
            },
            outgoing: UpstreamRequest {
                method: carried.method.parse().ok()?,
                uri: carried.uri.parse().ok()?,
                headers,
                body: RequestBody::Buffered(carried.body.into()),
                may_stream: false,
                max_idle_time: None,
                gate: Some(Rc::new(gate)),
                withdrawn: Default::default(),
            },
            ran: PriorAttempt {
                age: first_attempt.age_ms,
                location: Location {
                    zone: first_attempt.group.zone as usize,
                    cell: first_attempt.group.cell,
                },
            },
            patience,
        };
        Some((
            taken,
            Customer(carried.customer),
            carried.key,
            carried.fingerprint,
        ))
    }

    /// What the link says of a member. One whose connection ends while it is well has most likely ended itself: a stalled
    /// link and a process that stands still are silent, and what they have out may be out yet.
    pub fn changed(&self, member: u32, state: &PeerState) {
        if let Some(life) = state.incarnation {
            let before = self.lives.borrow_mut().insert(member, life);
            self.handle(Event::IncarnationObserved {
                member: Member(member),
                incarnation: life,
            });
            if let Some(before) = before.filter(|before| *before != life) {
                self.ending.borrow_mut().remove(&member);
                self.handle(Event::IncarnationEnded {
                    member: Member(member),
                    incarnation: before,
                });
            }
        }
        if state.reachable {
            self.handle(Event::MemberReachable(Member(member)));
            self.ending.borrow_mut().remove(&member);
            return;
        }
        self.handle(Event::MemberUnreachable(Member(member)));
        if state.closed_by_peer && state.incarnation.is_some() {
            self.ending
                .borrow_mut()
                .entry(member)
                .or_insert_with(|| Instant::now() + self.after);
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        if now < self.next_tick.get() {
            return;
        }
        self.next_tick.set(now + TICK);
        let gone: Vec<u32> = self
            .ending
            .borrow()
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(member, _)| *member)
            .collect();
        for member in gone {
            self.ending.borrow_mut().remove(&member);
            let life = self.lives.borrow().get(&member).copied();
            if let Some(life) = life {
                self.handle(Event::IncarnationEnded {
                    member: Member(member),
                    incarnation: life,
                });
            }
        }
        self.handle(Event::Tick);
    }
}

/// Now, by the clock of the failover core.
fn now() -> Timestamp {
    Timestamp::from_millis(boot_clock())
}

fn members(holders: Vec<Holder>) -> Vec<Member> {
    holders.into_iter().map(|holder| Member(holder.0)).collect()
}

/// Carries out what other limiters tell, and lets time pass. Ends with the host.
async fn listen(host: Weak<Takeover>, mut heard: mpsc::UnboundedReceiver<News>) {
    loop {
        let news = timeout(TICK, heard.recv()).await;
        let Some(host) = host.upgrade() else { return };
        match news {
            Ok(Some(News::Told { from, body })) => {
                match postcard::from_bytes(&body) {
                    Ok(message) => host.handle(Event::MessageReceived {
                        from: Member(from),
                        message,
                    }),
                    Err(e) => {
                        eprintln!("emberpin: link: member {from} said of work what is not understood: {e}");
                    }
                }
            }
            // The stage hears of members.
            Ok(Some(News::Changed { .. } | News::Superseded)) | Err(_) => {}
            Ok(None) => return,
        }
        host.tick();
    }
}
