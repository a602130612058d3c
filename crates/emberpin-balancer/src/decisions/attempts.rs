//! Attempts of a request: their time-outs, whether and where a retry is sent, and the final answer.

use super::{
    gossip, Action, AttemptResult, DedupScope, FirstRun, Gateway, Idempotency, InFlightAttempt,
    Millis, PendingRequest, PriorAttempt, Request, RequestId, RetryScope, ServerId, ServerStatus,
    Usage,
};

/// An attempt times out early, so that a retry can still be in time, no sooner than the mean latency plus
/// this number of mean deviations.
const TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Part of the latency target that an early time-out leaves for a retry, in mean latencies.
const RETRY_MEANS: f64 = 2.0;
/// Share of the deduplication window that must be left when a keyed request is sent again.
const WINDOW_MARGIN: f64 = 0.1;

impl Gateway {
    /// Resumes a request that another gateway had sent: where and when it may have run decides whether and
    /// where it is sent again. The other gateway already charged its units, and it is not throttled, as it
    /// is not new load; the host limits how many are resumed.
    pub(super) fn resume_request(
        &mut self,
        now: Millis,
        request: Request,
        prior: PriorAttempt,
        actions: &mut Vec<Action>,
    ) {
        let (id, class, units) = (request.id, request.class.0, request.units);
        self.ensure_customer(now, request.customer, request.plan, request.gateways);
        let customer = request.customer.0 & gossip::ID_MASK;
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.in_flight += 1;
        }
        let sent_at = now - prior.age.max(0.0);
        let pending = PendingRequest {
            deadline: now + request.remaining,
            idempotency: self.settings.classes[class].idempotency,
            request,
            attempts: 0,
            in_flight: None,
            sent_at,
            first_run: Some(FirstRun {
                sent_at,
                location: prior.location,
            }),
            retry_reserved: false,
        };
        // Servers discard a repeat only if it begins to run within the window, and it may have to wait at
        // its server first.
        let latency = self.latencies[class].expected_for(units);
        let expected_start = now + latency.mean + TIMEOUT_DEVIATIONS * 0.5 * latency.deviation;
        let permission = retry_permission(expected_start, &pending);
        self.pending.insert(id, pending);
        let server = match permission {
            RetryPermission::Anywhere => self.choose_server(now, class, units, None, None),
            RetryPermission::Within(scope) => {
                self.choose_server(now, class, units, None, Some(scope))
            }
            RetryPermission::Denied => None,
        };
        match server {
            Some(server) => self.send_attempt(now, id, server, actions),
            None => self.reject_or_fail(id, actions),
        }
    }

    /// Sends an attempt. All attempts are sent by this method, which ensures that no other attempt of the
    /// request is in flight and that the server is in service, not draining.
    pub(super) fn send_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        to: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let Some(timeout) = self.attempt_timeout(now, id) else {
            return;
        };
        let (Some(pending), Some(server)) = (self.pending.get_mut(&id), self.servers.get_mut(&to))
        else {
            return;
        };
        if pending.in_flight.is_some()
            || server.info.status != ServerStatus::InService
            || self.in_maintenance.contains(&to)
        {
            return;
        }
        let latency = &self.latencies[pending.request.class.0];
        let expected = latency.expected_for(pending.request.units).mean;
        let attempt = InFlightAttempt {
            sent_at: now,
            expected,
        };
        server.in_flight.insert((id, pending.attempts), attempt);
        pending.attempts += 1;
        pending.in_flight = Some(to);
        pending.sent_at = now;
        actions.push(Action::Send {
            request: id,
            server: to,
            timeout,
        });
        let work = expected / self.mean_latency();
        self.spend_slow_start_budget(now, to, work);
        if self.sibling_running && !self.is_warm(now, &self.servers[&to].info) {
            actions.push(Action::ShareUsage(Usage::SlowStart { server: to, work }));
        }
    }

    /// Time-out of the next attempt in milliseconds: all the time that is left, or less if a retry could
    /// still be in time after it.
    fn attempt_timeout(&self, now: Millis, id: RequestId) -> Option<Millis> {
        let pending = self.pending.get(&id)?;
        let class = &self.settings.classes[pending.request.class.0];
        let mut left = pending.deadline - now;
        // A resumed request must end with its deduplication window: an attempt still queued at a server
        // after that must not run.
        if let (Some(_), Some(first), Idempotency::Keyed { window, .. }) = (
            pending.request.prior_attempt,
            pending.first_run,
            pending.idempotency,
        ) {
            left = left.min(first.sent_at + window - now);
        }
        let latency = self.latencies[pending.request.class.0].expected_for(pending.request.units);
        let early_timeout = (latency.mean + TIMEOUT_DEVIATIONS * latency.deviation)
            .max(class.latency_target - RETRY_MEANS * latency.mean);
        let first_repeatable_attempt =
            pending.idempotency != Idempotency::Unsafe && pending.attempts == 0;
        let in_window = match pending.idempotency {
            Idempotency::Keyed { window, .. } => early_timeout < window * (1.0 - WINDOW_MARGIN),
            _ => true,
        };
        let retry_in_time = self.load.congestion_level == 0
            && early_timeout + latency.mean < left
            && self.settings.max_attempts > 1;
        Some(if first_repeatable_attempt && in_window && retry_in_time {
            early_timeout
        } else {
            left
        })
    }

    /// Handles the end of an attempt: the request is complete, is sent again, or is answered without a
    /// result.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Millis,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let id = result.request;
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.in_flight = None;
        if let (true, Some(units)) = (self.settings.units_are_estimates, result.units) {
            let customer = pending.request.customer.0 & gossip::ID_MASK;
            let estimated = pending.request.units;
            self.correct_units(customer, estimated, units);
        }
        if result.answered {
            self.close_request(id);
            return;
        }
        if !result.outcome.never_ran() {
            self.record_first_run(id, result.server);
        }
        let next = if result.replayable {
            self.retry_server(now, id, result.server)
        } else {
            None
        };
        match next {
            Some(next) => self.send_attempt(now, id, next, actions),
            None => self.reject_or_fail(id, actions),
        }
    }

    /// Records the first attempt of a request that may have run.
    fn record_first_run(&mut self, id: RequestId, server: ServerId) {
        let location = self.location(server).unwrap_or_default();
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.first_run.get_or_insert(FirstRun {
                sent_at: pending.sent_at,
                location,
            });
        }
    }

    /// Handles a request whose client has disconnected or whose deadline has passed. Nobody waits for the
    /// attempt in flight any more: cancelling it saves the server work that the client repeats elsewhere.
    pub(super) fn on_abandoned(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.close_request(request) else {
            return;
        };
        if pending.in_flight.is_some() && self.settings.can_cancel {
            actions.push(Action::Cancel {
                request,
                attempt: pending.attempts - 1,
            });
        }
    }

    /// The server for a retry, if idempotency, the time left and the retry budget allow one.
    fn retry_server(&mut self, now: Millis, id: RequestId, last: ServerId) -> Option<ServerId> {
        let pending = self.pending.get_mut(&id)?;
        let (class, units) = (pending.request.class.0, pending.request.units);
        if std::mem::take(&mut pending.retry_reserved) {
            return self
                .choose_server(now, class, units, Some(last), None)
                // The host ended this attempt on purpose, so a retry at the same server is better than no
                // answer.
                .or_else(|| self.choose_server(now, class, units, None, None));
        }
        let pending = self.pending.get(&id)?;
        let expected = self.latencies[class].expected_for(units).mean;
        let too_late = now + expected * 0.5 > pending.deadline;
        if pending.attempts >= self.settings.max_attempts || too_late {
            return None;
        }
        let scope = match retry_permission(now, pending) {
            RetryPermission::Anywhere => None,
            RetryPermission::Within(scope) => Some(scope),
            RetryPermission::Denied => return None,
        };
        if pending.first_run.is_some() {
            if self.load.congestion_level > 0 || self.retry_budget < 1.0 {
                return None;
            }
            self.retry_budget -= 1.0;
        }
        self.choose_server(now, class, units, Some(last), scope)
    }

    /// Sends the final answer of a request that gets no further attempt: a rejection with a retry delay if
    /// a retry by the client does no harm, otherwise a failure.
    fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.close_request(id) else {
            return;
        };
        let class = pending.request.class.0;
        let harmless = match (pending.first_run, pending.idempotency) {
            (None, _) | (_, Idempotency::Safe) => true,
            (_, Idempotency::Keyed { scope, .. }) => scope == DedupScope::All,
            (_, Idempotency::Unsafe) => false,
        };
        let retry_after = self.latencies[class].overall.mean;
        actions.push(if harmless {
            Action::Reject {
                request: id,
                retry_after: retry_after.min(self.settings.max_retry_after),
            }
        } else {
            Action::Fail { request: id }
        });
    }

    /// Removes a request that this gateway no longer has to answer.
    pub(super) fn close_request(&mut self, id: RequestId) -> Option<PendingRequest> {
        let pending = self.pending.remove(&id)?;
        let customer = pending.request.customer.0 & gossip::ID_MASK;
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
        Some(pending)
    }
}

/// Where a request may be sent again.
enum RetryPermission {
    /// To any server.
    Anywhere,
    /// To the servers that recognize its idempotency key.
    Within(RetryScope),
    /// To no server: a repeat might run it twice.
    Denied,
}

/// Whether and where a request may be sent again. One that may have run is sent again only where a
/// repeat does no harm.
fn retry_permission(now: Millis, pending: &PendingRequest) -> RetryPermission {
    let Some(first) = pending.first_run else {
        return RetryPermission::Anywhere;
    };
    match pending.idempotency {
        Idempotency::Safe => RetryPermission::Anywhere,
        Idempotency::Unsafe => RetryPermission::Denied,
        Idempotency::Keyed { scope, window } => {
            if now - first.sent_at <= window * (1.0 - WINDOW_MARGIN) {
                RetryPermission::Within(RetryScope {
                    scope,
                    location: first.location,
                })
            } else {
                RetryPermission::Denied
            }
        }
    }
}
