//! Takeover of requests between limiters: asks the acceptors of a request for permission before each of its attempts,
//! reports its completion to them, and continues the requests of a limiter that has failed. Which limiter may continue
//! a request is decided in `emberpin_failover`.

use crate::between::link::{Link, LinkEvent, TAKEOVER_MESSAGES};
use crate::messages::{Answer, AttemptCheck, RequestBody, UpstreamRequest};
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

/// How often the failover core receives a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The stage that owns the idempotency keys of requests that are taken over.
pub trait Keys {
    /// The request that this claim was granted for will not be continued by any limiter. `may_have_run` says whether a
    /// server may have run it.
    fn claim_ended(&self, claim_id: ClaimId, may_have_run: bool);

    /// Another limiter's request was continued here and ended with this answer.
    fn takeover_ended(
        &self,
        id: WorkId,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        answer: Answer,
    );
}

/// The check of the attempts of one keyed request. It allows no attempt until the key is granted, nor after another
/// limiter has taken the request over.
pub struct TakeoverCheck {
    takeover: Weak<Takeover>,
    /// The id of the request's work; set once the key is granted.
    id: OnceCell<WorkId>,
    /// The encoded request, with which another limiter could continue it.
    payload: OnceCell<Vec<u8>>,
    /// How long servers deduplicate repeats of it, in milliseconds; `None` if they do not.
    deduplication_window_ms: Option<f64>,
    expires: Instant,
    /// The request has completed, and its completion is not confirmed yet.
    unconfirmed: Cell<bool>,
    confirmed: Notify,
}

impl AttemptCheck for TakeoverCheck {
    fn allows<'a>(
        &'a self,
        attempt: u32,
        to: Location,
        within: Duration,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(self.request_permission(attempt, to, within))
    }
}

impl TakeoverCheck {
    async fn request_permission(
        &self,
        attempt: u32,
        Location { zone, cell }: Location,
        within: Duration,
    ) -> bool {
        let (Some(takeover), Some(id), Some(payload)) = (
            self.takeover.upgrade(),
            self.id.get().copied(),
            self.payload.get(),
        ) else {
            return false;
        };
        let time_left = self
            .expires
            .saturating_duration_since(Instant::now())
            .as_secs_f64()
            * 1000.0;
        let work = Work {
            payload: payload.clone(),
            deduplication_window_ms: self.deduplication_window_ms,
            time_left_ms: time_left,
        };
        let group = ServerGroup {
            zone: u32::try_from(zone).unwrap_or(u32::MAX),
            cell,
        };
        let (reply_to, reply) = oneshot::channel();
        takeover
            .pending_attempts
            .borrow_mut()
            .insert((id, attempt), reply_to);
        crash_points::reach("going");
        takeover.handle(Event::AttemptRequested {
            work_id: id,
            attempt,
            group,
            work,
        });
        let allowed = matches!(timeout(within, reply).await, Ok(Ok(true)));
        takeover
            .pending_attempts
            .borrow_mut()
            .remove(&(id, attempt));
        crash_points::reach(if allowed { "gone" } else { "withheld" });
        allowed
    }

    /// Waits until the client may receive the outcome: a majority has acknowledged it, the completion time-out is over,
    /// or this limiter no longer owns the work. Before that, another limiter might still continue the request.
    pub async fn wait_for_confirmation(&self) {
        while self.unconfirmed.get() {
            self.confirmed.notified().await;
        }
    }

    /// The id of its work; `None` until its key is granted.
    pub fn work(&self) -> Option<WorkId> {
        self.id.get().copied()
    }
}

/// A request as it is sent to the limiters that could continue it. Encoded by position: the order of fields must not
/// change.
#[derive(Serialize, Deserialize)]
struct EncodedRequest {
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

/// The decision module's view of a request: its class, and the quota that it draws on.
#[derive(Clone, Copy)]
pub struct Terms {
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    /// How much it draws from the customer's quota.
    pub units: f64,
    /// Over how many limiters the customer's requests are spread.
    pub set_size: u32,
    /// The first of those limiters.
    pub set_first: GatewayId,
}

/// Another limiter's request that this one continues.
pub struct TakenOverRequest {
    pub terms: Terms,
    pub outgoing: UpstreamRequest,
    /// The attempt that the other limiter may have sent.
    pub prior_attempt: PriorAttempt,
    /// The time left until its client's deadline.
    pub time_limit: Duration,
}

/// Passes a request to the driver for which no client of this limiter waits, and returns its answer.
pub type Runner = Box<dyn Fn(TakenOverRequest) -> Pin<Box<dyn Future<Output = Answer>>>>;

/// The failover core, and the requests, attempt checks and members that it decides about.
pub struct Takeover {
    failover: RefCell<Failover>,
    link: Rc<Link>,
    /// A weak reference to itself, for attempt checks and tasks.
    weak_self: Weak<Takeover>,
    keys: OnceCell<Weak<dyn Keys>>,
    runner: OnceCell<Runner>,
    /// Attempts that wait for permission.
    pending_attempts: RefCell<HashMap<(WorkId, u32), oneshot::Sender<bool>>>,
    /// Completed requests whose clients may not receive the outcome yet.
    unconfirmed_completions: RefCell<HashMap<WorkId, Rc<TakeoverCheck>>>,
    /// The latest known incarnation of each member.
    incarnations: RefCell<HashMap<u32, Incarnation>>,
    /// Members that closed their connection while they were healthy, and when each counts as ended.
    disconnected: RefCell<HashMap<u32, Instant>>,
    /// How long server groups deduplicate repeats, in milliseconds, by class; `None` for classes that they do not
    /// deduplicate.
    deduplication_windows_ms: Vec<Option<f64>>,
    /// How long after its disconnection a member counts as ended.
    takeover_delay: Duration,
    next_tick: Cell<Instant>,
    member_number: u32,
}

impl Takeover {
    /// Starts takeovers for the member `member_number`. Its incarnation and messages are those of `link`.
    pub fn start(
        settings: &Settings,
        config: &Config,
        link: &Rc<Link>,
        member_number: u32,
    ) -> Rc<Takeover> {
        let (members, query_timeout, detection_time, dead_after) = match &config.link {
            Some((link, _)) => (
                link.members.len(),
                link.query_timeout,
                link.suspect_after + link.heartbeat * 2,
                link.dead_after,
            ),
            None => (1, Duration::ZERO, Duration::ZERO, Duration::ZERO),
        };
        let failover_config = FailoverConfig {
            member: Member(member_number),
            incarnation: link.incarnation(),
            reply_timeout: query_timeout,
            completion_timeout: detection_time,
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
        let takeover = Rc::new_cyclic(|weak_self| Takeover {
            weak_self: weak_self.clone(),
            failover: RefCell::new(Failover::new(failover_config, now())),
            link: link.clone(),
            keys: OnceCell::new(),
            runner: OnceCell::new(),
            pending_attempts: RefCell::default(),
            unconfirmed_completions: RefCell::default(),
            incarnations: RefCell::default(),
            disconnected: RefCell::default(),
            deduplication_windows_ms: windows.collect(),
            takeover_delay: settings.after,
            next_tick: Cell::new(Instant::now()),
            member_number,
        });
        spawn_local(receive_link_events(
            Rc::downgrade(&takeover),
            link.subscribe(TAKEOVER_MESSAGES),
        ));
        takeover
    }

    /// Sets the stage that owns the keys. Called once, before the first request.
    pub fn set_keys(&self, keys: Weak<dyn Keys>) {
        _ = self.keys.set(keys);
    }

    fn keys(&self) -> Option<Rc<dyn Keys>> {
        self.keys.get().and_then(Weak::upgrade)
    }

    /// Sets the function that passes requests that are taken over to the driver. Called once, at the start.
    pub fn set_runner(&self, runner: Runner) {
        _ = self.runner.set(runner);
    }

    /// Creates the attempt check of a keyed request that has just arrived.
    pub fn new_attempt_check(&self, class: ClassId, expires: Instant) -> Rc<TakeoverCheck> {
        let (id, payload) = (OnceCell::new(), OnceCell::new());
        let deduplication_window_ms = self
            .deduplication_windows_ms
            .get(class.0)
            .copied()
            .flatten();
        let (takeover, unconfirmed, confirmed) =
            (self.weak_self.clone(), Cell::new(false), Notify::new());
        Rc::new(TakeoverCheck {
            takeover,
            id,
            payload,
            deduplication_window_ms,
            expires,
            unconfirmed,
            confirmed,
        })
    }

    /// Stores the encoded request in its attempt check, for the limiters that could continue it. Does nothing for a
    /// request whose body is still being uploaded.
    pub fn set_payload(
        &self,
        check: &TakeoverCheck,
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
        let encoded = EncodedRequest {
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
        if let Ok(bytes) = postcard::to_allocvec(&encoded) {
            _ = check.payload.set(bytes);
        }
    }

    /// A request of this limiter has been granted its key.
    pub fn work_started(&self, check: &TakeoverCheck, claim: Claim, acceptors: Vec<Holder>) {
        let id = WorkId {
            claimant: Member(self.member_number),
            incarnation: self.link.incarnation(),
            claim_number: claim.0,
        };
        if check.id.set(id).is_ok() {
            self.handle(Event::WorkStarted {
                work_id: id,
                acceptors: members(acceptors),
            });
        }
    }

    /// The outcome of a request that this limiter took over was sent to the holders of its key.
    pub fn takeover_completed(&self, id: WorkId) {
        self.handle(Event::WorkCompleted(id));
    }

    /// The outcome of a request of this limiter was sent to the holders of its key. If it was served,
    /// [`TakeoverCheck::wait_for_confirmation`] waits until its client may receive the outcome.
    pub fn request_completed(&self, check: &Rc<TakeoverCheck>, served: bool) {
        let Some(id) = check.work() else {
            return;
        };
        if served {
            check.unconfirmed.set(true);
            self.unconfirmed_completions
                .borrow_mut()
                .insert(id, check.clone());
        }
        self.handle(Event::WorkCompleted(id));
    }

    /// Whether another limiter has taken over this request of this limiter.
    pub fn is_fenced(&self, id: &WorkId) -> bool {
        self.failover.borrow().is_fenced(id)
    }

    /// This limiter has granted a key to a claim of another.
    pub fn key_granted(&self, to: Holder, claim: Claim, acceptors: Vec<Holder>) {
        if let Some(id) = self.work_of(to, claim) {
            self.handle(Event::KeyGranted {
                work_id: id,
                acceptors: members(acceptors),
            });
        }
    }

    /// The claimant reports the outcome of its claim. Returns false if the report no longer applies, because another
    /// limiter continues the request.
    pub fn claim_settled(&self, claimant: Holder, claim: Claim, served: bool) -> bool {
        let Some(id) = self.work_of(claimant, claim) else {
            return true;
        };
        if !served && self.failover.borrow().is_promised_to_candidate(&id) {
            return false;
        }
        self.handle(Event::KeyReleased(id));
        true
    }

    /// The id of a claimant's work, in the latest known incarnation of the claimant.
    fn work_of(&self, claimant: Holder, claim: Claim) -> Option<WorkId> {
        let latest = self.incarnations.borrow().get(&claimant.0).copied()?;
        Some(WorkId {
            claimant: Member(claimant.0),
            incarnation: latest,
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
                        self.link.send(to.0, TAKEOVER_MESSAGES, body);
                    }
                }
                Action::AllowAttempt { work_id, attempt } => self.resolve(work_id, attempt, true),
                Action::DenyAttempt { work_id, attempt } => self.resolve(work_id, attempt, false),
                Action::AllowResponse(id) => {
                    if let Some(check) = self.unconfirmed_completions.borrow_mut().remove(&id) {
                        check.unconfirmed.set(false);
                        check.confirmed.notify_one();
                    }
                }
                Action::TakeOver {
                    work_id,
                    work,
                    first_attempt,
                } => self.take_over(work_id, work, first_attempt),
                Action::Abandoned { work_id, verdict } => {
                    let may_have_run = verdict == Verdict::MayHaveRun;
                    let fate = if may_have_run {
                        "may have run"
                    } else {
                        "was not sent"
                    };
                    eprintln!(
                        "emberpin: takeover: abandoned a request of limiter {}: it {fate}",
                        work_id.claimant.0
                    );
                    if let Some(keys) = self.keys() {
                        keys.claim_ended(
                            (Holder(work_id.claimant.0), Claim(work_id.claim_number)),
                            may_have_run,
                        );
                    }
                }
            }
        }
    }

    fn resolve(&self, id: WorkId, attempt: u32, allowed: bool) {
        if let Some(reply_to) = self.pending_attempts.borrow_mut().remove(&(id, attempt)) {
            // Fails if the attempt has just timed out: it then sends nothing.
            _ = reply_to.send(allowed);
        }
    }

    /// Continues another limiter's request.
    fn take_over(&self, id: WorkId, work: Work, first_attempt: FirstAttempt) {
        crash_points::reach("taken");
        eprintln!(
            "emberpin: takeover: continuing a request of limiter {}",
            id.claimant.0
        );
        let Some((taken, customer, key, fingerprint)) =
            self.decode_request(id, work, first_attempt)
        else {
            eprintln!(
                "emberpin: takeover: request of limiter {} cannot be decoded",
                id.claimant.0
            );
            return self.handle(Event::TakeoverFailed(id));
        };
        let Some(runner) = self.runner.get() else {
            return self.handle(Event::TakeoverFailed(id));
        };
        let (running, takeover) = (runner(taken), self.weak_self.clone());
        spawn_local(async move {
            let answer = running.await;
            crash_points::reach("taken-answer");
            let Some(keys) = takeover.upgrade().and_then(|takeover| takeover.keys()) else {
                return;
            };
            keys.takeover_ended(id, customer, key, fingerprint, answer);
        });
    }

    /// A request that this limiter took over has failed.
    pub fn takeover_failed(&self, id: WorkId) {
        self.handle(Event::TakeoverFailed(id));
    }

    /// Decodes a request that is to be continued here; `None` if it is malformed.
    fn decode_request(
        &self,
        id: WorkId,
        work: Work,
        first_attempt: FirstAttempt,
    ) -> Option<(TakenOverRequest, Customer, Key, Fingerprint)> {
        let encoded: EncodedRequest = postcard::from_bytes(&work.payload).ok()?;
        let mut headers = HeaderMap::new();
        for (name, value) in &encoded.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let valid = encoded.units.is_finite()
            && encoded.units > 0.0
            && encoded.class < self.deduplication_windows_ms.len();
        let time_limit = Duration::try_from_secs_f64(work.time_left_ms / 1000.0)
            .ok()
            .filter(|_| valid)?;
        let check = TakeoverCheck {
            takeover: self.weak_self.clone(),
            id: OnceCell::from(id),
            deduplication_window_ms: work.deduplication_window_ms,
            expires: Instant::now() + time_limit,
            payload: OnceCell::from(work.payload),
            unconfirmed: Cell::new(false),
            confirmed: Notify::new(),
        };
        let taken = TakenOverRequest {
            terms: Terms {
                class: ClassId(encoded.class),
                plan: PlanId(encoded.plan),
                customer: CustomerId(encoded.customer),
                units: encoded.units,
                set_size: encoded.set_size,
                set_first: GatewayId(encoded.set_first),
            },
            outgoing: UpstreamRequest {
                method: encoded.method.parse().ok()?,
                uri: encoded.uri.parse().ok()?,
                headers,
                body: RequestBody::Buffered(encoded.body.into()),
                may_stream: false,
                max_idle_time: None,
                attempt_check: Some(Rc::new(check)),
                withdrawn: Default::default(),
                used_upstreams: Default::default(),
            },
            prior_attempt: PriorAttempt {
                age: first_attempt.age_ms,
                location: Location {
                    zone: first_attempt.group.zone as usize,
                    cell: first_attempt.group.cell,
                },
            },
            time_limit,
        };
        Some((
            taken,
            Customer(encoded.customer),
            encoded.key,
            encoded.fingerprint,
        ))
    }

    /// The link reports a changed state of a member. A member that closes its connection while it is healthy has most
    /// likely exited. A stalled link and a stopped process close nothing, and their requests may still be in flight.
    pub fn on_peer_changed(&self, member: u32, state: &PeerState) {
        if let Some(latest) = state.incarnation {
            let before = self.incarnations.borrow_mut().insert(member, latest);
            self.handle(Event::IncarnationObserved {
                member: Member(member),
                incarnation: latest,
            });
            if let Some(before) = before.filter(|before| *before != latest) {
                self.disconnected.borrow_mut().remove(&member);
                self.handle(Event::IncarnationEnded {
                    member: Member(member),
                    incarnation: before,
                });
            }
        }
        if state.reachable {
            self.handle(Event::MemberReachable(Member(member)));
            self.disconnected.borrow_mut().remove(&member);
            return;
        }
        self.handle(Event::MemberUnreachable(Member(member)));
        if state.closed_by_peer && state.incarnation.is_some() {
            self.disconnected
                .borrow_mut()
                .entry(member)
                .or_insert_with(|| Instant::now() + self.takeover_delay);
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        if now < self.next_tick.get() {
            return;
        }
        self.next_tick.set(now + TICK_INTERVAL);
        let ended: Vec<u32> = self
            .disconnected
            .borrow()
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(member, _)| *member)
            .collect();
        for member in ended {
            self.disconnected.borrow_mut().remove(&member);
            let latest = self.incarnations.borrow().get(&member).copied();
            if let Some(latest) = latest {
                self.handle(Event::IncarnationEnded {
                    member: Member(member),
                    incarnation: latest,
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

/// Handles the link's messages about work, and ticks. Ends when the [`Takeover`] is dropped.
async fn receive_link_events(
    takeover: Weak<Takeover>,
    mut events: mpsc::UnboundedReceiver<LinkEvent>,
) {
    loop {
        let event = timeout(TICK_INTERVAL, events.recv()).await;
        let Some(takeover) = takeover.upgrade() else {
            return;
        };
        match event {
            Ok(Some(LinkEvent::MessageReceived { from, body })) => {
                match postcard::from_bytes(&body) {
                    Ok(message) => takeover.handle(Event::MessageReceived {
                        from: Member(from),
                        message,
                    }),
                    Err(e) => {
                        eprintln!("emberpin: link: message of member {from} about work cannot be decoded: {e}");
                    }
                }
            }
            // Changes of members arrive through the idempotency stage, see `on_peer_changed`.
            Ok(Some(LinkEvent::PeerChanged { .. } | LinkEvent::Superseded)) | Err(_) => {}
            Ok(None) => return,
        }
        takeover.tick();
    }
}
