//! Runs one decision module ([`Gateway`]): passes events to it and carries out its actions on requests and attempts.
//! Keeps the module's timers and the table of requests in flight, and takes no decisions of its own.

mod request_table;
mod timers;

pub use timers::TimerGrid;

use crate::messages::{AdmittedRequest, Answer, AttemptEnd, AttemptId, Input, Reply, RequestBody};
use crate::operate::clock::Clock;
use crate::upstream::server::Upstream;
use emberpin_balancer::{
    Action, AttemptResult, Event, Gateway, GatewaySet, LoadReport, Millis, Outcome, Request,
    RequestId, ServerId,
};
use request_table::{InFlightRequest, RunningAttempt};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use timers::Timers;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// What happens to an attempt that exceeds the time that the decision module gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueAttempts {
    /// It ends with [`Outcome::Timeout`].
    End,
    /// It continues, and the engine's owner receives [`Input::Overdue`]. It ends when the request expires, or by
    /// [`Engine::time_out`].
    Report,
}

/// An attempt that the engine has begun to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// The request that it is an attempt of.
    pub request: RequestId,
    /// The server that it goes to.
    pub server: ServerId,
}

/// One decision module, and the requests and servers that it decides about.
pub struct Engine {
    /// The decision module.
    pub gateway: Gateway,
    /// The clock of the decision module.
    pub clock: Clock,
    /// The servers that new attempts may go to.
    pub upstreams: BTreeMap<ServerId, Rc<Upstream>>,
    /// Actions that the engine does not carry out itself: its owner does so after each event.
    pub owner_actions: Vec<Action>,
    /// Attempts that were sent since the owner last cleared this list.
    pub sent_attempts: Vec<SentAttempt>,
    /// What happens to an attempt that exceeds the time that the decision module gave it.
    pub overdue_attempts: OverdueAttempts,
    /// The grid to which timers are rounded up, so that several engines wake together; `None` for no rounding.
    pub timer_grid: Option<TimerGrid>,
    /// If set, a rejection guarantees that the request has not run: where the module rejects a request that may have
    /// run, the client receives [`Answer::Failed`] instead.
    pub reject_only_unexecuted: bool,
    requests: BTreeMap<RequestId, InFlightRequest>,
    timers: Timers,
    /// Events not yet passed to the module, among them those that actions have caused.
    queued_events: VecDeque<Event>,
    inputs: mpsc::Sender<Input>,
}

impl Engine {
    /// Creates an engine that sends the ends of attempts to `inputs`, whose receiver passes them to
    /// [`Engine::on_attempt_ended`].
    pub fn new(gateway: Gateway, clock: Clock, inputs: mpsc::Sender<Input>) -> Engine {
        Engine {
            gateway,
            clock,
            upstreams: BTreeMap::new(),
            owner_actions: Vec::new(),
            sent_attempts: Vec::new(),
            overdue_attempts: OverdueAttempts::End,
            timer_grid: None,
            reject_only_unexecuted: false,
            requests: BTreeMap::new(),
            timers: Timers::default(),
            queued_events: VecDeque::new(),
            inputs,
        }
    }

    /// When the module's next timer is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next_due()
    }

    /// Passes each due timer to the module as an event.
    pub fn fire_timers(&mut self) {
        let now = Instant::now();
        while let Some(token) = self.timers.pop_due(now) {
            self.handle_event(Event::Timer { token });
        }
    }

    /// Whether this request awaits its answer, or has an attempt running.
    pub fn has_request(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Accepts a client's request, to which one reply will be sent.
    pub fn on_request(&mut self, admitted: AdmittedRequest) {
        let event = Event::Request(Request {
            id: admitted.id,
            class: admitted.class,
            plan: admitted.plan,
            customer: admitted.customer,
            remaining: admitted
                .time_limit
                .min(time_left(admitted.expires))
                .as_secs_f64()
                * 1000.0,
            units: admitted.units,
            gateways: GatewaySet {
                first: admitted.set_first,
                size: admitted.set_size,
            },
            prior_attempt: admitted.prior_attempt,
        });
        self.requests
            .insert(admitted.id, InFlightRequest::new(admitted));
        self.handle_event(event);
    }

    /// The client of a request disconnected. The module decides whether a running attempt is cancelled.
    pub fn on_client_gone(&mut self, request: RequestId) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        if in_flight.reply_to.take().is_some() {
            self.handle_event(Event::Abandoned { request });
            self.remove_if_finished(request);
        }
    }

    /// Takes back a request, so that it can be routed again. Returns the sender of its reply, or `None` if an attempt
    /// that has ended may have run it, its body can't be sent again, or it is answered. The caller must know that the
    /// running attempt has not run it; the module learns of the request's end when that attempt ends.
    pub fn withdraw(&mut self, request: RequestId) -> Option<oneshot::Sender<Reply>> {
        self.requests
            .get_mut(&request)
            .filter(|in_flight| !in_flight.may_have_run && in_flight.outgoing.is_replayable())?
            .reply_to
            .take()
    }

    /// An attempt has ended. No other follows it unless `may_retry`.
    pub fn on_attempt_ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        ended: AttemptEnd,
        may_retry: bool,
    ) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        in_flight.running = None;
        in_flight.may_have_run |= !ended.outcome.never_ran();
        if ended.error_response.is_some() {
            in_flight.error_response = ended.error_response;
        }
        if let Some(response) = ended.response {
            in_flight.reply(response);
        }
        let event = Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            server,
            outcome: ended.outcome,
            elapsed: ended.elapsed,
            answered: in_flight.reply_to.is_none(),
            replayable: may_retry && in_flight.outgoing.is_replayable(),
            load: ended.load,
            units: None,
            metered: ended.metered,
        });
        self.handle_event(event);
        self.remove_if_finished(request);
    }

    /// Whether [`Engine::time_out`] can end this attempt: it is running, and another one could send the whole body.
    pub fn can_time_out(&self, request: RequestId, attempt: AttemptId) -> bool {
        self.requests.get(&request).is_some_and(|in_flight| {
            in_flight.outgoing.is_replayable()
                && in_flight
                    .running
                    .as_ref()
                    .is_some_and(|running| running.id == attempt && running.cancel.is_some())
        })
    }

    /// Ends an attempt with [`Outcome::Timeout`], which is reported like any other end of an attempt. Does nothing unless
    /// [`Engine::can_time_out`].
    pub fn time_out(&mut self, request: RequestId, attempt: AttemptId) {
        if !self.can_time_out(request, attempt) {
            return;
        }
        let cancel = self
            .requests
            .get_mut(&request)
            .and_then(|in_flight| in_flight.running.as_mut())
            .and_then(|running| running.cancel.take());
        if let Some(cancel) = cancel {
            _ = cancel.send(Outcome::Timeout);
        }
    }

    fn remove_if_finished(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(InFlightRequest::is_finished)
        {
            self.requests.remove(&request);
        }
    }

    /// Passes an event to the module and carries out the resulting actions; does the same with the events that these
    /// actions cause.
    pub fn handle_event(&mut self, event: Event) {
        self.queued_events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.queued_events.pop_front() {
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
            } => self.send(request, server, duration_from(timeout)),
            Action::Reject {
                request,
                retry_after,
            } => self.answer(request, Answer::Rejected { retry_after }),
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.cancel(request, attempt),
            Action::Probe { server } => self.probe(server),
            Action::CloseIdle { server } => {
                if let Some(upstream) = self.upstreams.get(&server) {
                    upstream.close_idle();
                }
            }
            Action::SetTimer { delay, token } => {
                let due = Instant::now() + duration_from(delay);
                let due = self.timer_grid.map_or(due, |grid| grid.round_up(due));
                self.timers.push(due, token);
            }
            // No deployment has the counter service, so the reply carries no total.
            Action::AddToCounter { counter: name, .. } => {
                self.queued_events.push_back(Event::CounterReply {
                    counter: name,
                    total: None,
                });
            }
            Action::Log(text) => eprintln!("{text}"),
            other => self.owner_actions.push(other),
        }
    }

    /// Cancels an attempt by dropping the sender that its task listens to.
    fn cancel(&mut self, request: RequestId, attempt: u32) {
        let running = self
            .requests
            .get_mut(&request)
            .filter(|in_flight| in_flight.is_latest_attempt(attempt))
            .and_then(|in_flight| in_flight.running.as_mut());
        if let Some(running) = running {
            running.cancel = None;
        }
    }

    fn probe(&mut self, server: ServerId) {
        let Some(upstream) = self.upstreams.get(&server).cloned() else {
            return;
        };
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let ended = upstream.probe().await;
            _ = inputs.send(Input::ProbeEnded { server, ended }).await;
        });
    }

    fn send(&mut self, request: RequestId, server: ServerId, timeout: Duration) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = in_flight.attempts;
        in_flight.attempts += 1;
        let upstream = self
            .upstreams
            .get(&server)
            .filter(|upstream| upstream.is_open());
        // Whatever the module requests, nothing is sent for a request that is answered or has a running attempt, nor to
        // a server that drains.
        let (Some(upstream), true, None) =
            (upstream, in_flight.reply_to.is_some(), &in_flight.running)
        else {
            let result = unsent_result(request, attempt, server, in_flight);
            self.queued_events.push_back(Event::AttemptEnded(result));
            return;
        };
        in_flight.abandon_streamed_error();
        let (cancel, cancelled) = oneshot::channel();
        let id = AttemptId::unused();
        in_flight.running = Some(RunningAttempt {
            id,
            cancel: Some(cancel),
        });
        self.sent_attempts.push(SentAttempt { request, server });
        let outgoing = in_flight.outgoing.clone();
        let location = self.gateway.location(server).unwrap_or_default();
        let (upstream, request_time) = (upstream.clone(), time_left(in_flight.expires));
        let inputs = self.inputs.clone();
        let timeout = match self.overdue_attempts {
            OverdueAttempts::End => timeout.min(request_time),
            OverdueAttempts::Report => {
                let request_time = match &outgoing.body {
                    RequestBody::Buffered(_) => request_time,
                    // Counts from the last byte of the upload, and is as long as for other requests.
                    RequestBody::Uploading(_) => in_flight.time_limit,
                };
                if timeout < request_time {
                    report_overdue(request, id, timeout, inputs.clone());
                }
                request_time
            }
        };
        spawn_local(async move {
            let check_started_at = Instant::now();
            let permitted = match &outgoing.attempt_check {
                None => true,
                // The server may have begun to drain while the check ran.
                Some(check) => check.allows(attempt, location, timeout).await && upstream.is_open(),
            };
            let left = timeout.saturating_sub(check_started_at.elapsed());
            let ended = match permitted && !left.is_zero() {
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
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        // Answering a request cancels its running attempt.
        if let Some(running) = &mut in_flight.running {
            running.cancel = None;
        }
        let answer = match answer {
            Answer::Rejected { .. } if in_flight.may_have_run && self.reject_only_unexecuted => {
                Answer::Failed
            }
            answer => answer,
        };
        in_flight.reply_with_error_response_or(answer);
        self.remove_if_finished(request);
    }
}

/// The result of an attempt that the engine does not send.
fn unsent_result(
    request: RequestId,
    attempt: u32,
    server: ServerId,
    in_flight: &InFlightRequest,
) -> AttemptResult {
    AttemptResult {
        request,
        attempt,
        server,
        outcome: Outcome::NotSent,
        elapsed: 0.0,
        answered: in_flight.reply_to.is_none(),
        replayable: in_flight.outgoing.is_replayable(),
        load: LoadReport::default(),
        units: None,
        metered: None,
    }
}

/// Sends [`Input::Overdue`] once `timeout` has passed, whether or not the attempt still runs.
fn report_overdue(
    request: RequestId,
    attempt: AttemptId,
    timeout: Duration,
    inputs: mpsc::Sender<Input>,
) {
    spawn_local(async move {
        sleep(timeout).await;
        _ = inputs.send(Input::Overdue { request, attempt }).await;
    });
}

fn time_left(expires: Instant) -> Duration {
    expires.saturating_duration_since(Instant::now())
}

/// Converts milliseconds to a duration; zero if they are negative or out of range.
fn duration_from(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}
