//! Admission control: whether a request that arrives is sent to a server or rejected at once.

use super::congestion::REJECT_PROBABILITY;
use super::{
    gossip, Action, Gateway, Millis, PendingRequest, Request, RequestId, ATTEMPT_TARGET_SHARE,
    RETRY_BUDGET_MAX, RETRY_BUDGET_RATIO,
};

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Admission {
    /// Admitted and charged to the customer's quota.
    WithinQuota,
    /// Admitted although the customer's quota is used up.
    BeyondQuota,
    /// Rejected; the client is advised when to retry.
    Rejected {
        /// Milliseconds for which the client should wait before it retries.
        retry_after: Millis,
    },
}

impl Gateway {
    /// Handles a new request: throttling, quota and rate limit, then the choice of a server. It is rejected
    /// at once if any of them fails.
    pub(super) fn on_request(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let (id, class, units) = (request.id, request.class.0, request.units);
        if self.pending.contains_key(&id) {
            return;
        }
        if class >= self.settings.classes.len() || request.plan.0 >= self.settings.plans.len() {
            actions.push(Action::Reject {
                request: id,
                retry_after: 0.0,
            });
            return;
        }
        if let Some(prior) = request.prior_attempt {
            return self.resume_request(now, request, prior, actions);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_RATIO).min(RETRY_BUDGET_MAX);
        let admission = self.admit(now, &request);
        if let Admission::Rejected { retry_after } = admission {
            return self.reject(id, retry_after, actions);
        }
        let Some(server) = self.choose_server(now, class, units, None, None) else {
            self.log(
                now,
                "no server can accept a request: none in service, or slow-start budgets used up",
                actions,
            );
            return self.reject(id, self.attempt_target(class), actions);
        };
        let customer = request.customer.0 & gossip::ID_MASK;
        self.charge(customer, units, admission, actions);
        let pending = PendingRequest {
            deadline: now + request.remaining,
            idempotency: self.settings.classes[class].idempotency,
            request,
            attempts: 0,
            in_flight: None,
            sent_at: now,
            first_run: None,
            retry_reserved: false,
        };
        self.pending.insert(id, pending);
        self.send_attempt(now, id, server, actions);
    }

    /// Applies throttling, quota and rate limit. A customer's requests count as demand unless throttling
    /// rejects them.
    fn admit(&mut self, now: Millis, request: &Request) -> Admission {
        let level = self.load.congestion_level;
        let throttled = level > 0 && self.rng.rand_float() < REJECT_PROBABILITY[level];
        self.ensure_customer(now, request.customer, request.plan, request.gateways);
        if throttled {
            let retry_after = self.attempt_target(request.class.0);
            return Admission::Rejected { retry_after };
        }
        let customer = request.customer.0 & gossip::ID_MASK;
        match self.quota_delay(now, customer, request.units) {
            None => Admission::WithinQuota,
            Some(_) if self.may_exceed_quota(now, customer) => Admission::BeyondQuota,
            Some(retry_after) => Admission::Rejected { retry_after },
        }
    }

    /// Time that an attempt may take without congestion, in milliseconds; also the retry delay of a
    /// throttled client.
    fn attempt_target(&self, class: usize) -> Millis {
        self.settings.classes[class].latency_target * ATTEMPT_TARGET_SHARE
    }

    fn reject(&self, request: RequestId, retry_after: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::Reject {
            request,
            retry_after: retry_after.min(self.settings.max_retry_after),
        });
    }
}
