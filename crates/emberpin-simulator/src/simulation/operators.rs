//! Operators: their calls, with attempts and responses.

use super::Simulation;
use crate::invariants::check_read;
use crate::machine::{CoreId, Machine};
use crate::scenario::{CallTarget, OperatorRequest};
use crate::state::event::{Effect, Event};
use crate::state::operator::{OperatorAttempt, OperatorCall, ReadExpectation};
use crate::violation::Violation;
use emberpin_config::Version;
use emberpin_consensus::{self as consensus, Call, CallId, EvacuationChange};
use emberpin_membership::registry::EvacuationStep;
use emberpin_membership::timing::bounds::APPLY;
use std::time::Duration;

/// The delay of a message between a client and a core machine.
pub(super) const CLIENT_DELAY: Duration = Duration::from_millis(2);
/// How long a client waits for a response before it retries at another machine.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a server waits after a call to a machine that is down, and the base of an operator's backoff.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// An operator's backoff doubles with each attempt, at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// The bound `evac`: the time from the acknowledgement of an evacuation until it must be in force.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);

const OK: u16 = 200;
const SERVICE_UNAVAILABLE: u16 = 503;

impl Simulation {
    /// Begins a new call of an operator; without a request it reads the configuration.
    pub(super) fn call_as_operator(
        &mut self,
        operator: &str,
        target: CallTarget,
        request: Option<OperatorRequest>,
        expectation: Option<ReadExpectation>,
    ) {
        let now = self.now;
        let call = self
            .operators
            .add(now, operator, target, request, expectation);
        self.attempt_operator_call(OperatorAttempt { call, number: 0 });
    }

    /// Makes the attempt after `previous`, unless the call has ended or already has a later attempt.
    pub(super) fn attempt_operator_call(&mut self, previous: OperatorAttempt) {
        let drawn_core = self.draw_core();
        let now = self.now;
        let jitter = self.draw_time_below(INITIAL_BACKOFF);
        let Some(call) = self.operators.call_in_progress(previous) else {
            return;
        };
        let is_first = previous.number == 0;
        if !is_first {
            call.has_no_unknown_attempt = false;
        }
        call.core = match call.target {
            CallTarget::Only(_) if !is_first => return,
            CallTarget::Only(core) => core,
            CallTarget::First(core) if is_first => core,
            CallTarget::First(_) | CallTarget::Any => drawn_core,
        };
        call.attempts += 1;
        call.last_attempt_at = now;
        let core = call.core;
        let attempt = OperatorAttempt {
            call: previous.call,
            number: call.attempts,
        };
        if self.is_running(Machine::Core(core)) {
            self.send_operator_call(attempt, core, None);
            self.schedule(now + CALL_TIMEOUT, Event::OperatorRetry { attempt });
        } else {
            let at = now + jitter + backoff(attempt.number);
            self.schedule(at, Event::OperatorRetry { attempt });
        }
    }

    fn send_operator_call(
        &mut self,
        attempt: OperatorAttempt,
        core: CoreId,
        evacuation_version: Option<Version>,
    ) {
        let event = Event::OperatorCall {
            attempt,
            core,
            evacuation_version,
        };
        self.schedule(self.now + CLIENT_DELAY, event);
    }

    /// Repeats an attempt with the version that the redirect stated, if the operator still waits for this attempt.
    pub(super) fn on_operator_redirect(
        &mut self,
        attempt: OperatorAttempt,
        core: CoreId,
        evacuation_version: Version,
    ) {
        if self.operators.call_in_progress(attempt).is_some() {
            self.send_operator_call(attempt, core, Some(evacuation_version));
        }
    }

    pub(super) fn on_operator_call(
        &mut self,
        attempt: OperatorAttempt,
        core: CoreId,
        evacuation_version: Option<Version>,
    ) {
        let store_call = match self.operators.call(attempt.call).request.clone() {
            None => Call::Get,
            Some(OperatorRequest::Patch(body)) => Call::Patch(body),
            Some(OperatorRequest::Evacuate { zone, change }) => {
                match self.evacuation_step(core, &zone, evacuation_version) {
                    Some(EvacuationStep::Forward(precondition)) => Call::Evacuate {
                        zone,
                        change,
                        precondition,
                    },
                    Some(EvacuationStep::Redirect(evacuation_version)) => {
                        let event = Event::OperatorRedirect {
                            attempt,
                            core,
                            evacuation_version,
                        };
                        return self.schedule(self.now + CLIENT_DELAY, event);
                    }
                    None => return,
                }
            }
        };
        let call_id = self.operators.next_call_id();
        self.operators.register_attempt(call_id, attempt);
        let event = consensus::Event::Call {
            call_id: CallId(call_id),
            call: store_call,
        };
        self.handle_store_event(core, event);
    }

    /// Lets the registry on a machine decide how to handle a change of an evacuation; `None` if it is not running.
    fn evacuation_step(
        &mut self,
        core: CoreId,
        zone: &str,
        stated: Option<Version>,
    ) -> Option<EvacuationStep> {
        let running = self.running_core(core)?;
        Some(running.registry.evacuation_step(zone, stated))
    }

    /// Sends a store's response to the operator; it may be lost.
    pub(super) fn send_operator_response(&mut self, call_id: u64, status: u16, body: String) {
        let Some(attempt) = self.operators.take_attempt(call_id) else {
            return;
        };
        if self.response_loss_percent > 0 && self.draw_percent(self.response_loss_percent) {
            return;
        }
        let at = self.now + CLIENT_DELAY;
        self.schedule(
            at,
            Event::OperatorResponse {
                attempt,
                status,
                body,
            },
        );
    }

    pub(super) fn on_operator_response(
        &mut self,
        attempt: OperatorAttempt,
        status: u16,
        body: &str,
    ) {
        let now = self.now;
        let pause = INITIAL_BACKOFF + self.draw_time_below(INITIAL_BACKOFF * 3);
        // A response to an earlier attempt is ignored.
        let Some(call) = self.operators.call_in_progress(attempt) else {
            return;
        };
        if status == SERVICE_UNAVAILABLE {
            call.has_no_unknown_attempt = false;
            return self.schedule(now + pause, Event::OperatorRetry { attempt });
        }
        call.status = Some(status);
        call.body = body.into();
        call.ended_at = now;
        let call = call.clone();
        if let Some(expectation) = &call.expectation {
            let result = check_read(body, &expectation.item);
            self.fail_on_violation(result.map_err(|failure| Violation::Step {
                line: expectation.line,
                failure,
            }));
        } else if status == OK {
            self.on_acknowledged(call);
        }
    }

    /// Records an acknowledged call, and schedules the check that its effect is in force in time.
    fn on_acknowledged(&mut self, call: OperatorCall) {
        let acknowledged_at = self.now;
        let (limit, effect) = match call.request {
            Some(OperatorRequest::Patch(_)) => {
                if let Err(violation) = self.record.record_acknowledged(&call.items) {
                    return self.fail(violation);
                }
                (APPLY, Effect::Items(call.items))
            }
            Some(OperatorRequest::Evacuate {
                zone,
                change: EvacuationChange::Begin,
            }) => (EVACUATION_LIMIT, Effect::Evacuated(zone)),
            Some(OperatorRequest::Evacuate { .. }) | None => return,
        };
        self.schedule_effect_check(acknowledged_at + limit, effect);
    }

    pub(super) fn schedule_effect_check(&mut self, at: Duration, effect: Effect) {
        let acknowledged_at = self.now;
        self.schedule(
            at,
            Event::CheckEffect {
                effect,
                acknowledged_at,
            },
        );
    }
}

/// The backoff after this number of attempts.
fn backoff(attempts: u32) -> Duration {
    let doublings = attempts.min(MAX_BACKOFF_DOUBLINGS);
    (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
}
