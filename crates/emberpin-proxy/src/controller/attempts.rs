//! Attempts of requests in flight: handles their ends and time-outs, and clients that disconnect.

use super::in_flight_request::InFlightRequest;
use super::Controller;
use crate::command::RouteRequest;
use crate::service::Service;
use emberpin_balancer::{RequestId, ServerId};
use emberpin_limiter::host::{AttemptEnd, AttemptId, Input};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Delay before the controller checks an overdue attempt again that could not be replaced by a retry: congestion, or an
/// exhausted retry budget, is usually over before the client's deadline.
const OVERDUE_RECHECK: Duration = Duration::from_millis(150);

impl Controller {
    /// Handles an engine's report that an attempt has ended or is overdue.
    pub(super) fn on_input(&mut self, input: Input) {
        match input {
            Input::AttemptEnded {
                request,
                attempt,
                server,
                ended,
            } => self.on_attempt_ended(request, attempt, server, ended),
            Input::Overdue { request, attempt } => self.on_attempt_overdue(request, attempt),
            Input::Request(_)
            | Input::ClientGone(_)
            | Input::ProbeEnded { .. }
            | Input::EndpointList(_)
            | Input::Peer { .. } => {}
        }
    }

    fn on_attempt_ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        ended: AttemptEnd,
    ) {
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        if !ended.sent {
            in_flight.take_back_unsent_attempt();
        }
        let service = in_flight.service.clone();
        let withdrawn = in_flight.outgoing.withdrawn.get();
        let retry = self.may_retry(request);
        if !self.services.contains_key(&service) {
            return;
        }
        self.metrics.count_attempt(&service, ended.outcome);
        if ended.unreachable {
            self.on_server_unreachable(&service, server);
        }
        if ended.misdirected {
            // Before the decision module chooses the next server, so that it does not choose this one again.
            self.on_request_misdirected(&service, server);
        }
        let rerouted = withdrawn
            .then(|| self.take_back(&service, request, &ended))
            .flatten();
        if let Some(service) = self.services.get_mut(&service) {
            service
                .engine
                .on_attempt_ended(request, attempt, server, ended, retry);
        }
        self.record_sent_attempts(&service);
        self.remove_if_finished(request);
        if let Some(rerouted) = rerouted {
            self.route_request(rerouted);
        }
    }

    /// Whether the route's attempt limit and the retry budget allow another attempt of a request that has not been
    /// withdrawn. The decision module decides which server gets it, and whether the request may run twice.
    fn may_retry(&self, request: RequestId) -> bool {
        let Some(in_flight) = self.in_flight.get(&request) else {
            return false;
        };
        let within_budget = in_flight.attempts_sent == 0
            || in_flight.retry_reserved
            || self.budget_allows_retry(in_flight);
        in_flight.attempts_sent < in_flight.route.max_attempts
            && within_budget
            && !in_flight.outgoing.withdrawn.get()
    }

    fn budget_allows_retry(&self, in_flight: &InFlightRequest) -> bool {
        self.retry_budget
            .allows_retry(self.now(), &in_flight.service, self.proxy_count)
    }

    /// Takes a withdrawn request back from its service, if no attempt of it may have run.
    fn take_back(
        &mut self,
        service: &str,
        request: RequestId,
        ended: &AttemptEnd,
    ) -> Option<RouteRequest> {
        if !ended.outcome.never_ran() {
            return None;
        }
        let reply_to = self.services.get_mut(service)?.engine.withdraw(request)?;
        let in_flight = self.in_flight.get(&request)?;
        Some(in_flight.to_route_request(request, reply_to))
    }

    /// Handles an attempt that has used up the time allowed by the decision module. Its server may still be working on
    /// it, so it is abandoned only where another attempt can follow, and never while this proxy is draining.
    fn on_attempt_overdue(&mut self, request: RequestId, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.get(&request) else {
            return;
        };
        if in_flight.attempts_sent >= in_flight.route.max_attempts
            || in_flight.outgoing.withdrawn.get()
            || self.published.is_draining()
        {
            return;
        }
        let within_budget = self.budget_allows_retry(in_flight);
        let name = in_flight.service.clone();
        let Some(Service { engine, .. }) = self.services.get_mut(&name) else {
            return;
        };
        if !engine.can_time_out(request, attempt) {
            return;
        }
        // The end of the attempt is reported later, when the load and the budgets may have changed. Its retry must not
        // depend on them, or the client would get a rejection of a request that a server was working on.
        if within_budget && engine.gateway.reserve_retry(engine.clock.now(), request) {
            engine.time_out(request, attempt);
            self.reserve_retry(&name, request);
        } else {
            self.recheck_overdue_later(request, attempt);
        }
    }

    fn reserve_retry(&mut self, service_name: &str, request: RequestId) {
        let now = self.now();
        if let Some(in_flight) = self.in_flight.get_mut(&request) {
            in_flight.retry_reserved = true;
            self.retry_budget.record_retry(now, service_name);
        }
    }

    fn recheck_overdue_later(&self, request: RequestId, attempt: AttemptId) {
        let inputs = self.inputs.clone();
        spawn_local(async move {
            sleep(OVERDUE_RECHECK).await;
            _ = inputs.send(Input::Overdue { request, attempt }).await;
        });
    }

    /// Cancels a request whose client has disconnected.
    pub(super) fn on_client_disconnected(&mut self, request: RequestId) {
        let Some(in_flight) = self.in_flight.get(&request) else {
            return;
        };
        let name = in_flight.service.clone();
        if let Some(service) = self.services.get_mut(&name) {
            service.engine.on_client_gone(request);
        }
        self.record_sent_attempts(&name);
        self.remove_if_finished(request);
    }

    /// Charges retry budget and slow-start shares for the attempts that a service's engine has sent since the last
    /// call. Must be called after every event passed to the engine.
    pub(super) fn record_sent_attempts(&mut self, service_name: &str) {
        let Some(service) = self.services.get_mut(service_name) else {
            return;
        };
        // Actions that concern no request, such as messages to peers, have no meaning for a proxy.
        service.engine.owner_actions.clear();
        for (request, instance) in service.take_sent_attempts() {
            let now = self.now();
            if let Some(in_flight) = self.in_flight.get_mut(&request) {
                in_flight.attempts_sent += 1;
                if in_flight.attempts_sent > 1 {
                    self.metrics.count_retry(service_name);
                }
                let is_charged = std::mem::take(&mut in_flight.retry_reserved);
                if in_flight.attempts_sent > 1 && !is_charged {
                    self.retry_budget.record_retry(now, service_name);
                }
            }
            self.router.record_send(now, &instance);
            if self.warming_instances.contains(&instance) {
                self.refresh_slow_start(&instance);
            }
        }
    }

    /// Drops the record of a request if its engine has neither a pending reply to it nor an attempt of it at a server.
    pub(super) fn remove_if_finished(&mut self, request: RequestId) {
        let Some(in_flight) = self.in_flight.get(&request) else {
            return;
        };
        if !self
            .services
            .get(&in_flight.service)
            .is_some_and(|service| service.engine.has_request(request))
        {
            self.in_flight.remove(&request);
        }
    }
}
