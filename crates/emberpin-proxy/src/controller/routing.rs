//! Routing of requests: chooses the service that a request is forwarded to and the limits that apply to it, and updates
//! requests in flight when routes change.

use super::in_flight_request::InFlightRequest;
use super::replies::{empty_response, retry_later};
use super::Controller;
use crate::command::RouteRequest;
use crate::metrics::RejectionCause;
use crate::service::{ClassLease, Repeatability, Service};
use crate::wire::TRY_ID;
use emberpin_balancer::{CustomerId, GatewayId, PlanId};
use emberpin_limiter::host::{AdmittedRequest, Reply, RequestBody, UpstreamRequest};
use emberpin_routing::{traffic_split, DrawSequence, RetryBudget, Route};
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long before the client's deadline the response must be on its way: the client measures from when it sends the
/// request, the proxy from when the head arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(12);
/// Time limit of a request whose body is still being uploaded. Its route's time limit starts with the last byte of the
/// body, which must arrive within this time.
const UPLOAD_TIME_LIMIT: Duration = Duration::from_secs(900);
/// `Retry-After` where no server of the route's services is known, or the retry budget is exhausted.
const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(300);
/// `Retry-After` before the whole configuration has been received.
const RETRY_AFTER_NO_CONFIGURATION: Duration = Duration::from_millis(500);
/// Longest idle time of a connection that is reused for a request that must not run twice. If the server is gone or has
/// dropped an idle connection, it is unknown whether the request ran; a newly established connection shows that the
/// server is there.
const MAX_IDLE_FOR_MUTATING: Duration = Duration::from_millis(50);

/// The service and the route chosen for a request.
struct Target {
    route: Rc<Route>,
    service: String,
}

/// The reply to a request that is not forwarded to any service.
fn rejection_reply(cause: RejectionCause) -> Reply {
    match cause {
        // The configuration that has not been received yet may contain the route.
        RejectionCause::NotConfigured => retry_later(RETRY_AFTER_NO_CONFIGURATION),
        RejectionCause::RouteNotFound => empty_response(StatusCode::NOT_FOUND),
        RejectionCause::NoServer
        | RejectionCause::RetryBudget
        | RejectionCause::ShuttingDown
        | RejectionCause::NotReceived => retry_later(RETRY_AFTER_NO_SERVER),
    }
}

impl Controller {
    /// Forwards a request to a service of its route, or rejects it.
    pub(super) fn route_request(&mut self, request: RouteRequest) {
        let target = match self.choose_target(&request) {
            Ok(target) => target,
            Err(cause) => return self.reject(request, cause),
        };
        let now = self.now();
        let budget = &mut self.retry_budget;
        if !budget_allows(budget, now, self.proxy_count, &request, &target) {
            return self.reject(request, RejectionCause::RetryBudget);
        }
        let Some(service) = self.services.get_mut(&target.service) else {
            return self.reject(request, RejectionCause::NoServer);
        };
        self.metrics.count_request(&target.service);
        let id = request.id;
        let name = target.service.clone();
        let repeatability = match request.repeatability {
            Repeatability::Repeatable => Repeatability::of_kind(target.route.kind),
            Repeatability::AtMostOnce => Repeatability::AtMostOnce,
        };
        let class = service.class(&target.route, repeatability);
        let (call, in_flight) = prepare_call(request, target, repeatability, class);
        self.in_flight.insert(id, in_flight);
        service.engine.on_request(call);
        self.record_sent_attempts(&name);
        self.remove_if_finished(id);
    }

    fn reject(&self, request: RouteRequest, cause: RejectionCause) {
        self.metrics.count_rejection(cause);
        _ = request.reply_to.send(rejection_reply(cause));
    }

    fn choose_target(&mut self, request: &RouteRequest) -> Result<Target, RejectionCause> {
        let path = request.outgoing.uri.path();
        let Some(route) = self.router.routes.find(&request.host, path).cloned() else {
            return Err(if self.has_whole_configuration {
                RejectionCause::RouteNotFound
            } else {
                RejectionCause::NotConfigured
            });
        };
        let draw = self.draw_for_split(&route);
        let services = &self.services;
        let available = |name: &str| {
            services
                .get(name)
                .is_some_and(Service::has_available_server)
        };
        let service = traffic_split::choose_service(&route.targets, draw, available)
            .map(str::to_string)
            .ok_or(RejectionCause::NoServer)?;
        Ok(Target { route, service })
    }

    /// The draw that selects the service of a request on this route; 0 for a route with one service, which needs none.
    fn draw_for_split(&mut self, route: &Route) -> f64 {
        if route.targets.len() <= 1 {
            return 0.0;
        }
        if !self.split_draws.contains_key(&route.name) {
            let start = self.random.rand_float();
            let sequence = DrawSequence::starting_at(start);
            self.split_draws.insert(route.name.clone(), sequence);
        }
        self.split_draws
            .get_mut(&route.name)
            .map_or(0.0, DrawSequence::draw)
    }

    /// Updates the route of each request in flight after a change of routes. A request whose route no longer leads to
    /// its service is withdrawn: no more of it is written, and if it never ran, it is routed again.
    pub(super) fn update_in_flight_routes(&mut self) {
        for request in self.in_flight.values_mut() {
            let path = request.outgoing.uri.path();
            let current =
                self.router
                    .current_route(&request.host, path, &request.route, &request.service);
            request.outgoing.withdrawn.set(current.is_none());
            if let Some(current) = current {
                request.route = current;
            }
        }
    }
}

/// Whether the retry budget allows a request to be routed. First attempts are counted and always allowed; a request
/// that was withdrawn from another service after an attempt needs budget at the new one.
fn budget_allows(
    budget: &mut RetryBudget,
    now: Duration,
    proxy_count: u32,
    request: &RouteRequest,
    target: &Target,
) -> bool {
    if request.attempts_sent == 0 {
        budget.record_request(now, &target.service);
        return true;
    }
    request.attempts_sent < target.route.max_attempts
        && budget.allows_retry(now, &target.service, proxy_count)
}

/// Splits a routed request into the call that the service's engine takes and the record that the controller keeps.
fn prepare_call(
    request: RouteRequest,
    target: Target,
    repeatability: Repeatability,
    class: ClassLease,
) -> (AdmittedRequest, InFlightRequest) {
    let response_limit = response_time_limit(request.deadline, target.route.timeout);
    let mut outgoing = request.outgoing;
    outgoing.max_idle_time = max_connection_idle(&outgoing, repeatability);
    let expires = match &outgoing.body {
        RequestBody::Buffered(_) => request.arrived_at + response_limit,
        RequestBody::Uploading(_) => Instant::now() + UPLOAD_TIME_LIMIT,
    };
    let outgoing = Rc::new(outgoing);
    let call = AdmittedRequest {
        id: request.id,
        class: class.id(),
        // The proxy enforces no quotas: all requests are of one customer with one plan, at this proxy only.
        plan: PlanId(0),
        customer: CustomerId(0),
        units: 1.0,
        set_size: 1,
        set_first: GatewayId(0),
        prior_attempt: None,
        time_limit: response_limit,
        expires,
        outgoing: outgoing.clone(),
        reply_to: request.reply_to,
    };
    let in_flight = InFlightRequest {
        route: target.route,
        service: target.service,
        repeatability,
        _class: class,
        host: request.host,
        outgoing,
        arrived_at: request.arrived_at,
        deadline: request.deadline,
        attempts_sent: request.attempts_sent,
        retry_reserved: false,
    };
    (call, in_flight)
}

/// Time limit of a response: the shorter of the client's and the route's limit, less [`DEADLINE_MARGIN`], which takes
/// no more than half of a very short limit.
fn response_time_limit(deadline: Option<Duration>, timeout: Duration) -> Duration {
    let limit = deadline.map_or(timeout, |deadline| deadline.min(timeout));
    limit.saturating_sub(DEADLINE_MARGIN).max(limit / 2)
}

/// Longest time for which the connection that carries a request may have been idle; `None` for any time.
fn max_connection_idle(
    outgoing: &UpstreamRequest,
    repeatability: Repeatability,
) -> Option<Duration> {
    match repeatability {
        // A request without an id gets a new connection: on a reused one, a late response to an earlier request without
        // an id could not be distinguished from its own response.
        _ if !outgoing.headers.contains_key(TRY_ID) => Some(Duration::ZERO),
        Repeatability::AtMostOnce => Some(MAX_IDLE_FOR_MUTATING),
        Repeatability::Repeatable => None,
    }
}
