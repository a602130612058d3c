//! Attempts: how long each may take, whether and where a further one goes, and the final answer.

use super::*;

/// An attempt may take the mean and so many deviations; longer while a repeat of so many means meets the aim.
const PATIENCE: f64 = 6.0;
const REPEAT: f64 = 2.0;
/// A keyed repeat must leave this share of the window unused.
const WINDOW_MARGIN: f64 = 0.1;

impl Gateway {
    /// Takes over what another gateway had sent: where that may have run decides whether and where it goes
    /// again. Its units were taken there, and it is no surge to be throttled; how many come is the host's.
    pub(super) fn go_on(
        &mut self,
        now: Millis,
        request: Request,
        ran: PriorAttempt,
        actions: &mut Vec<Action>,
    ) {
        let (id, class, units) = (request.id, request.class.0, request.units);
        self.ensure_customer(now, request.customer, request.plan, request.gateways);
        if let Some(customer) = self
            .customers
            .get_mut(&(request.customer.0 & gossip::ID_MASK))
        {
            customer.open += 1;
        }
        let (deadline, at) = (now + request.remaining, now - ran.age.max(0.0));
        let ran = Some(FirstRun {
            sent_at: at,
            location: ran.location,
        });
        let open = Open {
            request,
            deadline,
            attempts: 0,
            out: None,
            sent: at,
            ran,
        };
        // The group drops what begins to run within its window: it may have to wait at its server first.
        let latency = self.latency[class].of(units);
        let begins = now + latency.mean + PATIENCE * 0.5 * latency.deviation;
        let within = self.may_repeat(begins, &open);
        self.requests.insert(id, open);
        match within.and_then(|within| self.choose(now, class, units, None, within)) {
            Some(server) => self.send(now, id, server, actions),
            None => self.give_up(id, actions),
        }
    }

    /// Sends an attempt. All sends pass here: no second attempt out, none to a server that drains.
    pub(super) fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        to: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let Some(timeout) = self.patience(now, id) else {
            return;
        };
        let (Some(open), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to))
        else {
            return;
        };
        if open.out.is_some()
            || server.info.status != ServerStatus::InService
            || self.banned.contains(&to)
        {
            return;
        }
        let usual = self.latency[open.request.class.0]
            .of(open.request.units)
            .mean;
        server
            .out
            .insert((id, open.attempts), Sent { at: now, usual });
        open.attempts += 1;
        open.out = Some(to);
        open.sent = now;
        actions.push(Action::Send {
            request: id,
            server: to,
            timeout,
        });
        let mut cold = self.cold_budget(now, &self.servers[&to], self.all_cold(now));
        let work = usual / self.usual();
        cold.level -= work;
        let Some(server) = self.servers.get_mut(&to) else {
            return;
        };
        server.cold = cold;
        if self.paired && self.warmth(now, &self.servers[&to].info) < 1.0 {
            actions.push(Action::ShareUsage(Usage::SlowStart { server: to, work }));
        }
    }

    /// How long the next attempt may take: all the time left, unless a further one could still be in time.
    fn patience(&self, now: Millis, id: RequestId) -> Option<Millis> {
        let open = self.requests.get(&id)?;
        let mut left = open.deadline - now;
        let class = &self.settings.classes[open.request.class.0];
        // What is taken over is given up with its window: what waits at a server until then is not to run.
        if let (Some(_), Some(first), Idempotency::Keyed { window, .. }) =
            (open.request.prior_attempt, open.ran, class.idempotency)
        {
            left = left.min(first.sent_at + window - now);
        }
        let latency = self.latency[open.request.class.0].of(open.request.units);
        let repeatable = class.idempotency != Idempotency::Unsafe && open.attempts == 0;
        let usual = (latency.mean + PATIENCE * latency.deviation)
            .max(class.latency_target - REPEAT * latency.mean);
        let in_window = match class.idempotency {
            Idempotency::Keyed { window, .. } => usual < window * (1.0 - WINDOW_MARGIN),
            _ => true,
        };
        let worth_it =
            self.load.level == 0 && usual + latency.mean < left && self.settings.max_attempts > 1;
        Some(if repeatable && in_window && worth_it {
            usual
        } else {
            left
        })
    }

    /// An attempt ended: done, tried elsewhere, or answered.
    pub(super) fn conclude(
        &mut self,
        now: Millis,
        attempt: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let (id, server) = (attempt.request, attempt.server);
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        open.out = None;
        if let (true, Some(units)) = (self.settings.units_are_estimates, attempt.units) {
            let more = units - open.request.units;
            if let Some(customer) = self
                .customers
                .get_mut(&(open.request.customer.0 & gossip::ID_MASK))
            {
                customer.quota.level -= more;
                customer.own = (customer.own + more).max(0.0);
                customer.tell = 2;
            }
        }
        if attempt.answered {
            self.finish(id);
            return;
        }
        if !attempt.outcome.never_ran() {
            let location = self.servers.get(&server).map(|s| s.info.location());
            open.ran.get_or_insert(FirstRun {
                sent_at: open.sent,
                location: location.unwrap_or_default(),
            });
        }
        let next = if attempt.replayable {
            self.next_server(now, id, server)
        } else {
            None
        };
        match next {
            Some(next) => self.send(now, id, next, actions),
            None => self.give_up(id, actions),
        }
    }

    /// Where a further attempt may go, if the rules, the time and the retry budget allow one.
    fn next_server(&mut self, now: Millis, id: RequestId, last: ServerId) -> Option<ServerId> {
        let open = self.requests.get(&id)?;
        let (class, units) = (open.request.class.0, open.request.units);
        let usual = self.latency[class].of(units).mean;
        if open.attempts >= self.settings.max_attempts || now + usual * 0.5 > open.deadline {
            return None;
        }
        let group = self.may_repeat(now, open)?;
        if open.ran.is_some() {
            if self.load.level > 0 || self.retries < 1.0 {
                return None;
            }
            self.retries -= 1.0;
        }
        self.choose(now, class, units, Some(last), group)
    }

    /// Effect guard: what may have run goes out again only where a repeat is harmless.
    fn may_repeat(&self, now: Millis, open: &Open) -> Option<Option<RetryScope>> {
        match (
            open.ran,
            self.settings.classes[open.request.class.0].idempotency,
        ) {
            (None, _) | (Some(_), Idempotency::Safe) => Some(None),
            (Some(_), Idempotency::Unsafe) => None,
            (Some(first), Idempotency::Keyed { scope, window }) => {
                let inside = now - first.sent_at <= window * (1.0 - WINDOW_MARGIN);
                inside.then_some(Some(RetryScope {
                    scope,
                    location: first.location,
                }))
            }
        }
    }

    /// The final answer, at once: a refusal that says when to come back if that is harmless, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.finish(id) else { return };
        let harmless = match (
            open.ran,
            self.settings.classes[open.request.class.0].idempotency,
        ) {
            (None, _) | (_, Idempotency::Safe) => true,
            (_, Idempotency::Keyed { scope: group, .. }) => group == DedupScope::All,
            (_, Idempotency::Unsafe) => false,
        };
        let pause = self.latency[open.request.class.0].all.mean; // One usual answer later.
        let refusal = Action::Reject {
            request: id,
            retry_after: pause.min(self.settings.max_retry_after),
        };
        actions.push(if harmless {
            refusal
        } else {
            Action::Fail { request: id }
        });
    }

    pub(super) fn finish(&mut self, id: RequestId) -> Option<Open> {
        let open = self.requests.remove(&id)?;
        if let Some(customer) = self
            .customers
            .get_mut(&(open.request.customer.0 & gossip::ID_MASK))
        {
            customer.open = customer.open.saturating_sub(1);
        }
        Some(open)
    }
}
