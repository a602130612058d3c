//! Hosts one decision module: feeds it what happened and carries out what it says about requests and attempts. Keeps its
//! timers and the table of requests. No decision is taken here.

use crate::messages::{
    AdmittedRequest, Answer, AttemptEnd, Input, Reply, RequestBody, UpstreamRequest,
};
use crate::operate::clock::Clock;
use crate::upstream::server::Upstream;
use emberpin_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// A request that is owed an answer or still has an attempt out.
struct Held {
    outgoing: Rc<UpstreamRequest>,
    expires: Instant,
    /// How long it may take once its body has ended.
    patience: Duration,
    answer: Option<oneshot::Sender<Reply>>,
    attempts: u32,
    /// The attempt that is out.
    out: Option<Out>,
    /// Some attempt may have run.
    ran: bool,
    /// What a server said of it that is no good answer.
    told: Option<Reply>,
}

/// An attempt that is out until its end was heard; the sender, once dropped, cancels it.
struct Out {
    cancel: Option<oneshot::Sender<Outcome>>,
}

/// One decision module and what it decides about.
pub struct Engine {
    /// The decisions.
    pub gateway: Gateway,
    /// Their clock.
    pub clock: Clock,
    /// The ways to servers that may get something new.
    pub upstreams: BTreeMap<ServerId, Rc<Upstream>>,
    /// What the module wants that concerns no request: the owner carries it out.
    pub beyond: Vec<Action>,
    /// Attempts that were sent since the owner last looked: of which request, the attempt's number, and where to.
    pub sent: Vec<(RequestId, u32, ServerId)>,
    /// Attempts go on when the time that the module gives them is over, until the owner ends them: it is told by
    /// [`Input::Overdue`].
    pub patient: bool,
    /// Timers fire on a grid of so wide steps from this moment on, where engines are to wake together.
    pub grid: Option<(Instant, Duration)>,
    /// A refusal promises that nothing has run: what may have run fails instead.
    pub refusals_promise: bool,
    requests: BTreeMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events that carrying out an action brought about at once.
    pending: VecDeque<Event>,
    inputs: mpsc::Sender<Input>,
}

impl Engine {
    /// Ends of attempts come as inputs, and are to be given to [`Engine::ended`].
    pub fn new(gateway: Gateway, clock: Clock, inputs: mpsc::Sender<Input>) -> Engine {
        Engine {
            gateway,
            clock,
            upstreams: BTreeMap::new(),
            beyond: Vec::new(),
            sent: Vec::new(),
            patient: false,
            grid: None,
            refusals_promise: false,
            requests: BTreeMap::new(),
            timers: BinaryHeap::new(),
            pending: VecDeque::new(),
            inputs,
        }
    }

    /// When the module's next timer is due.
    pub fn due(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Tells the module of the timers that are due.
    pub fn fire(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((_, token))) =
            self.timers.peek().filter(|due| due.0 .0 <= now).copied()
        {
            self.timers.pop();
            self.feed(Event::Timer { token });
        }
    }

    /// Whether this request is owed an answer or has an attempt out here.
    pub fn holds(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// A client's request: one answer is owed.
    pub fn call(&mut self, call: AdmittedRequest) {
        let held = Held {
            outgoing: call.outgoing,
            expires: call.expires,
            patience: call.time_limit,
            answer: Some(call.reply_to),
            attempts: 0,
            out: None,
            ran: call.ran.is_some(),
            told: None,
        };
        self.requests.insert(call.id, held);
        self.feed(Event::Request(Request {
            id: call.id,
            class: call.class,
            plan: call.plan,
            customer: call.customer,
            remaining: call.time_limit.min(left(call.expires)).as_secs_f64() * 1000.0,
            units: call.units,
            gateways: GatewaySet {
                first: call.set_first,
                size: call.set_size,
            },
            prior_attempt: call.ran,
        }));
    }

    /// Its client has gone.
    pub fn gone(&mut self, request: RequestId) {
        let Some(held) = self.requests.get_mut(&request) else {
            return;
        };
        if held.answer.take().is_some() {
            self.feed(Event::Abandoned { request });
            self.release(request);
        }
    }

    /// Takes back the right to answer a request of which nothing may have run, so that it can be sent on anew: the module
    /// hears of its end with that of the attempt that is out.
    pub fn take_back(&mut self, request: RequestId) -> Option<oneshot::Sender<Reply>> {
        self.requests
            .get_mut(&request)
            .filter(|held| !held.ran)?
            .answer
            .take()
    }

    /// An attempt has ended; where `again` is not set, no other one follows it.
    pub fn ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        ended: AttemptEnd,
        again: bool,
    ) {
        let Some(held) = self.requests.get_mut(&request) else {
            return;
        };
        held.out = None;
        held.ran |= !ended.outcome.never_ran();
        if ended.error_response.is_some() {
            held.told = ended.error_response;
        }
        if let Some(served) = ended.response {
            if let Some(answer) = held.answer.take() {
                _ = answer.send(served);
            }
        }
        let event = Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            server,
            outcome: ended.outcome,
            elapsed: ended.elapsed,
            answered: held.answer.is_none(),
            replayable: again && held.outgoing.is_replayable(),
            load: ended.load,
            units: None,
            metered: ended.metered,
        });
        self.feed(event);
        self.release(request);
    }

    /// Whether this attempt is out and may be ended.
    pub fn is_out(&self, request: RequestId, attempt: u32) -> bool {
        let held = self
            .requests
            .get(&request)
            .filter(|held| held.attempts == attempt + 1);
        let held = held.filter(|held| held.outgoing.is_replayable());
        held.and_then(|held| held.out.as_ref())
            .is_some_and(|out| out.cancel.is_some())
    }

    /// Ends an attempt that is out as one that has had its time; its end comes as any other. Not one whose body
    /// has passed on, as no other could follow it.
    pub fn give_up(&mut self, request: RequestId, attempt: u32) {
        let held = self
            .requests
            .get_mut(&request)
            .filter(|held| held.attempts == attempt + 1);
        let held = held.filter(|held| held.outgoing.is_replayable());
        let cancel = held
            .and_then(|held| held.out.as_mut())
            .and_then(|out| out.cancel.take());
        if let Some(cancel) = cancel {
            _ = cancel.send(Outcome::Timeout);
        }
    }

    /// Forgets a request that owes nothing and waits for nothing.
    fn release(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(|held| held.answer.is_none() && held.out.is_none())
        {
            self.requests.remove(&request);
        }
    }

    /// Gives the module an event and does what it says, also about the events that come of that.
    pub fn feed(&mut self, event: Event) {
        self.pending.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.gateway.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.send(request, server, timeout),
            Action::Reject {
                request,
                retry_after,
            } => self.answer(request, Answer::Refused { retry_after }),
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let held = self
                    .requests
                    .get_mut(&request)
                    .filter(|held| held.attempts == attempt + 1);
                if let Some(out) = held.and_then(|held| held.out.as_mut()) {
                    out.cancel = None;
                }
            }
            Action::Probe { server } => {
                let Some(upstream) = self.upstreams.get(&server).cloned() else {
                    return;
                };
                let inputs = self.inputs.clone();
                spawn_local(async move {
                    let ended = upstream.probe().await;
                    _ = inputs.send(Input::ProbeEnded { server, ended }).await;
                });
            }
            Action::CloseIdle { server } => {
                if let Some(upstream) = self.upstreams.get(&server) {
                    upstream.close_idle();
                }
            }
            Action::SetTimer { delay, token } => {
                let delay = Duration::try_from_secs_f64(delay / 1000.0).unwrap_or_default();
                let due = Instant::now() + delay;
                self.timers.push(Reverse((
                    self.grid.map_or(due, |grid| on_grid(due, grid)),
                    token,
                )));
            }
            // No deployment has the counter service.
            Action::AddToCounter { counter: name, .. } => {
                self.pending.push_back(Event::CounterReply {
                    counter: name,
                    total: None,
                });
            }
            Action::Log(text) => eprintln!("{text}"),
            beyond => self.beyond.push(beyond),
        }
    }

    fn send(&mut self, request: RequestId, server: ServerId, timeout: Millis) {
        let Some(held) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        let upstream = self
            .upstreams
            .get(&server)
            .filter(|upstream| upstream.is_open());
        // Guards rules 1 to 3 whatever is asked for: nothing goes out for a request that is answered or
        // has an attempt out, nor to a server that drains.
        let (Some(upstream), true, None) = (upstream, held.answer.is_some(), &held.out) else {
            self.pending.push_back(Event::AttemptEnded(AttemptResult {
                request,
                attempt,
                server,
                outcome: Outcome::NotSent,
                elapsed: 0.0,
                answered: held.answer.is_none(),
                replayable: held.outgoing.is_replayable(),
                load: LoadReport::default(),
                units: None,
                metered: None,
            }));
            return;
        };
        let timeout = Duration::try_from_secs_f64(timeout / 1000.0).unwrap_or_default();
        let (cancel, cancelled) = oneshot::channel();
        held.out = Some(Out {
            cancel: Some(cancel),
        });
        self.sent.push((request, attempt, server));
        let outgoing = held.outgoing.clone();
        let place = self.gateway.location(server).unwrap_or_default();
        let (upstream, whole) = (upstream.clone(), left(held.expires));
        let inputs = self.inputs.clone();
        let timeout = match self.patient {
            false => timeout.min(whole),
            true => {
                let whole = match &outgoing.body {
                    RequestBody::Buffered(_) => whole,
                    // Its time begins with its last byte, and is no longer than any other's.
                    RequestBody::Uploading(_) => held.patience,
                };
                if timeout < whole {
                    let inputs = inputs.clone();
                    spawn_local(async move {
                        sleep(timeout).await;
                        _ = inputs.send(Input::Overdue { request, attempt }).await;
                    });
                }
                whole
            }
        };
        spawn_local(async move {
            let asked = Instant::now();
            let may_go = match &outgoing.gate {
                None => true,
                // The way may have been shut meanwhile.
                Some(gate) => gate.opens(attempt, place, timeout).await && upstream.is_open(),
            };
            let left = timeout.saturating_sub(asked.elapsed());
            let ended = match may_go && !left.is_zero() {
                true => upstream.attempt(outgoing, left, cancelled).await,
                false => AttemptEnd::unsent(),
            };
            _ = inputs
                .send(Input::AttemptEnded {
                    request,
                    attempt,
                    server,
                    ended,
                })
                .await;
        });
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        let Some(held) = self.requests.get_mut(&request) else {
            return;
        };
        // Guards rule 1: nothing is out for a request once it is answered.
        if let Some(out) = &mut held.out {
            out.cancel = None;
        }
        if let Some(client) = held.answer.take() {
            let answer = match answer {
                Answer::Refused { .. } if held.ran && self.refusals_promise => Answer::Failed,
                answer => answer,
            };
            _ = client.send(held.told.take().unwrap_or(Reply::Answer(answer)));
        }
        self.release(request);
    }
}

fn left(expires: Instant) -> Duration {
    expires.saturating_duration_since(Instant::now())
}

/// The next step of a grid that is not before this time.
fn on_grid(due: Instant, (from, step): (Instant, Duration)) -> Instant {
    let over = due.saturating_duration_since(from).as_nanos() % step.as_nanos().max(1);
    match over {
        0 => due,
        over => due + step.saturating_sub(Duration::from_nanos(over as u64)),
    }
}
