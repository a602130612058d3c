//! Requests that wait for their answer or have an attempt out.

use super::probing::ask_on;
use super::Controller;
use crate::command::Ask;
use crate::service::Service;
use emberpin_balancer::{RequestId, ServerId};
use emberpin_limiter::host::{Ended, Input, Outgoing, Reply};
use emberpin_routing::Route;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How soon it is looked at again whether another attempt may follow one that has had its time.
const LOOK_AGAIN: Duration = Duration::from_millis(150);

/// A request that is owed an answer or has an attempt out.
pub(super) struct Going {
    /// The newest one under which it may go to its service.
    pub(super) route: Rc<Route>,
    pub(super) service: String,
    pub(super) host: String,
    pub(super) outgoing: Rc<Outgoing>,
    pub(super) arrived: Instant,
    pub(super) deadline: Option<Duration>,
    /// How often it went out.
    pub(super) sends: u32,
}

impl Going {
    /// As it came, for its client waits on for the one answer.
    pub(super) fn anew(&self, id: RequestId, answer: oneshot::Sender<Reply>) -> Ask {
        let outgoing = Outgoing {
            withdrawn: Cell::new(false),
            ..(*self.outgoing).clone()
        };
        let (host, arrived, deadline, sends) =
            (self.host.clone(), self.arrived, self.deadline, self.sends);
        Ask {
            id,
            host,
            outgoing,
            arrived,
            deadline,
            sends,
            answer,
        }
    }
}

impl Controller {
    pub(super) fn end(&mut self, input: Input) {
        let (request, attempt, server, ended) = match input {
            Input::Ended {
                request,
                attempt,
                server,
                ended,
            } => (request, attempt, server, ended),
            Input::Overdue { request, attempt } => return self.overdue(request, attempt),
            _ => return,
        };
        let Some(going) = self.requests.get(&request) else {
            return;
        };
        let (now, name) = (self.now(), going.service.clone());
        // What never went out was no try of a server's: what follows it is the first, and not the budget's.
        let sends = going.sends.saturating_sub(u32::from(!ended.sent));
        let may = sends == 0 || self.budget.allows_retry(now, &name, self.limiters);
        let withdrawn = going.outgoing.withdrawn.get();
        let again = sends < going.route.max_attempts && may && !withdrawn;
        let misdirected = ended.misdirected;
        if let Some(going) = self.requests.get_mut(&request) {
            going.sends = sends;
        }
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        if ended.unreachable {
            if let Some(upstream) = service.silent(server) {
                spawn_local(ask_on(
                    upstream,
                    name.clone(),
                    server,
                    self.commands.clone(),
                ));
            }
        }
        if misdirected {
            if let Some(instance) = service.instance(server) {
                self.router.endpoints.mark_misdirected(instance);
            }
            // Before the module chooses again, so that it does not choose that one.
            self.apply_changes();
        }
        // Guards requests whose route has changed: what has not run goes where the newest routes say.
        let anew = withdrawn
            .then(|| self.take_back(&name, request, &ended))
            .flatten();
        self.ended(&name, request, attempt, server, ended, again);
        if let Some(ask) = anew {
            self.ask(ask);
        }
    }

    /// The request as it came, if this end of its attempt leaves none that may have run.
    pub(super) fn take_back(
        &mut self,
        name: &str,
        request: RequestId,
        ended: &Ended,
    ) -> Option<Ask> {
        if !ended.outcome.never_ran() {
            return None;
        }
        let answer = self.services.get_mut(name)?.engine.take_back(request)?;
        Some(self.requests.get(&request)?.anew(request, answer))
    }

    /// An attempt has had its time: it is broken off only where another one can follow, as its server may be at work, and
    /// not by a limiter that leaves.
    pub(super) fn overdue(&mut self, request: RequestId, attempt: u32) {
        let Some(going) = self.requests.get(&request) else {
            return;
        };
        let now = self.now();
        if going.sends >= going.route.max_attempts
            || going.outgoing.withdrawn.get()
            || self.view.leaving.get()
        {
            return;
        }
        let affords = self.budget.allows_retry(now, &going.service, self.limiters);
        let Some(Service { engine, .. }) = self.services.get_mut(&going.service) else {
            return;
        };
        if affords && engine.gateway.would_repeat(engine.clock.now(), request) {
            engine.give_up(request, attempt);
        } else if engine.is_out(request, attempt) {
            // A moment's congestion, or a budget that is spent, is over before most deadlines are.
            let inputs = self.inputs.clone();
            spawn_local(async move {
                sleep(LOOK_AGAIN).await;
                _ = inputs.send(Input::Overdue { request, attempt }).await;
            });
        }
    }

    pub(super) fn ended(
        &mut self,
        name: &str,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        ended: Ended,
        again: bool,
    ) {
        if let Some(service) = self.services.get_mut(name) {
            service.engine.ended(request, attempt, server, ended, again);
        }
        self.follow_up(name);
        self.forget(request);
    }

    /// Books what a service's module has just sent.
    pub(super) fn follow_up(&mut self, name: &str) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.engine.beyond.clear();
        for (request, _, instance) in service.sent() {
            let now = self.now();
            if let Some(going) = self.requests.get_mut(&request) {
                going.sends += 1;
                if going.sends > 1 {
                    self.budget.record_retry(now, name);
                }
            }
            self.router.record_send(now, &instance);
            if self.cold.contains(&instance) {
                self.look_at(&instance);
            }
        }
    }

    pub(super) fn forget(&mut self, request: RequestId) {
        let Some(going) = self.requests.get(&request) else {
            return;
        };
        if !self
            .services
            .get(&going.service)
            .is_some_and(|service| service.engine.holds(request))
        {
            self.requests.remove(&request);
        }
    }
}
