//! Which service gets a request.

use super::in_flight::Going;
use super::Controller;
use crate::command::Ask;
use crate::replies::own;
use crate::service::Service;
use crate::wire::TRY_ID;
use emberpin_balancer::{CustomerId, GatewayId, PlanId};
use emberpin_limiter::host::{Answer, Call, Outgoing, Reply, Upstreamed};
use emberpin_routing::{traffic_split, RouteKind};
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A deadline counts from the client's sending: so much earlier the answer must be on its way.
const MARGIN: Duration = Duration::from_millis(12);

/// A body that is still coming: its request's time counts from its last byte, which comes within this.
const UPLOAD_LIMIT: Duration = Duration::from_secs(900);

/// Where no server of a service is known, a client may come back after so many milliseconds.
const NO_SERVER: f64 = 300.0;

/// And where nothing is known of the configuration.
const NO_ROUTES: f64 = 500.0;

/// What may run once only goes on no connection that was idle for longer: a server that is gone or has forgotten the
/// connection would leave it in doubt, where a connection that comes up shows that the server is there.
const FRESHNESS: Duration = Duration::from_millis(50);

impl Controller {
    pub(super) fn ask(&mut self, ask: Ask) {
        let now = self.now();
        let refuse = |retry_after| Reply::Answer(Answer::Refused { retry_after });
        let Some(route) = self
            .router
            .routes
            .find(&ask.host, ask.outgoing.uri.path())
            .cloned()
        else {
            // Guards requests that come before the configuration: nobody has said that there is no such route.
            let unknown = self.configuration.is_empty();
            _ = ask.answer.send(if unknown {
                refuse(NO_ROUTES)
            } else {
                own(StatusCode::NOT_FOUND)
            });
            return;
        };
        let services = &self.services;
        let usable = |service: &str| services.get(service).is_some_and(Service::is_usable);
        let draw = self.random.rand_float();
        let target = traffic_split::choose_service(&route.targets, draw, usable);
        let Some(name) = target.map(str::to_string) else {
            _ = ask.answer.send(refuse(NO_SERVER));
            return;
        };
        let Some(service) = self.services.get_mut(&name) else {
            _ = ask.answer.send(refuse(NO_SERVER));
            return;
        };
        if ask.sends == 0 {
            self.budget.record_request(now, &name);
        } else if ask.sends >= route.max_attempts
            || !self.budget.allows_retry(now, &name, self.limiters)
        {
            _ = ask.answer.send(refuse(NO_SERVER));
            return;
        }
        let whole = ask
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let patience = whole.saturating_sub(MARGIN).max(whole / 2);
        let mut outgoing = ask.outgoing;
        outgoing.freshness = freshness(&outgoing, route.kind);
        let expires = match &outgoing.body {
            Upstreamed::Whole(_) => ask.arrived + patience,
            Upstreamed::Coming(_) => Instant::now() + UPLOAD_LIMIT,
        };
        let outgoing = Rc::new(outgoing);
        let call = Call {
            id: ask.id,
            class: service.class(&route),
            plan: PlanId(0),
            customer: CustomerId(0),
            units: 1.0,
            set_size: 1,
            set_first: GatewayId(0),
            ran: None,
            patience,
            expires,
            outgoing: outgoing.clone(),
            answer: ask.answer,
        };
        let (host, arrived, deadline, sends) = (ask.host, ask.arrived, ask.deadline, ask.sends);
        let going = Going {
            route,
            service: name.clone(),
            host,
            outgoing,
            arrived,
            deadline,
            sends,
        };
        self.requests.insert(ask.id, going);
        service.engine.call(call);
        self.follow_up(&name);
        self.forget(ask.id);
    }

    /// Holds the requests that are going on against the newest routes.
    pub(super) fn follow_routes(&mut self) {
        for going in self.requests.values_mut() {
            let path = going.outgoing.uri.path();
            let newest = self
                .router
                .current_route(&going.host, path, &going.route, &going.service);
            going.outgoing.withdrawn.set(newest.is_none());
            if let Some(newest) = newest {
                going.route = newest;
            }
        }
    }
}

/// For how long the connection that carries a request may have been idle, where that is bounded.
fn freshness(outgoing: &Outgoing, kind: RouteKind) -> Option<Duration> {
    match kind {
        // Guards requests without an id: a late answer without one could not be told from theirs.
        _ if !outgoing.headers.contains_key(TRY_ID) => Some(Duration::ZERO),
        RouteKind::Mutating => Some(FRESHNESS),
        RouteKind::Readonly | RouteKind::Pull => None,
    }
}
