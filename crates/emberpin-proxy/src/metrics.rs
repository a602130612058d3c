//! The proxy's metrics. They are updated on the proxy's thread, where the counted events occur; a scrape reads atomics.

use emberpin_balancer::Outcome;
use emberpin_runtime::metrics::MetricSet;
use hyper::StatusCode;
use prometheus::{Histogram, IntCounterVec, IntGauge, IntGaugeVec};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of services with a label of their own; all further services share [`OTHER_SERVICES`]. Names come from
/// the configuration, never from clients.
const MAX_SERVICE_LABELS: usize = 64;
/// The label of services beyond [`MAX_SERVICE_LABELS`].
const OTHER_SERVICES: &str = "other";

/// Why the proxy rejected a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The whole configuration has not been received yet.
    NotConfigured,
    /// No route matches.
    RouteNotFound,
    /// No server of the route's services may get the request.
    NoServer,
    /// The limit of attempts or the retry budget is exhausted.
    RetryBudget,
    /// The proxy is about to exit.
    ShuttingDown,
    /// The request was not received: it is invalid or exceeds a limit of the configuration, its body stopped arriving,
    /// or no slot was free to stream the body.
    NotReceived,
}

impl RejectionCause {
    fn label(self) -> &'static str {
        match self {
            RejectionCause::NotConfigured => "not_configured",
            RejectionCause::RouteNotFound => "route_not_found",
            RejectionCause::NoServer => "no_server",
            RejectionCause::RetryBudget => "retry_budget",
            RejectionCause::ShuttingDown => "shutting_down",
            RejectionCause::NotReceived => "request",
        }
    }
}

/// The metrics of one proxy.
pub struct ProxyMetrics {
    responses: IntCounterVec,
    response_time: Histogram,
    rejections: IntCounterVec,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    servers: IntGaugeVec,
    /// Requests whose reply is pending, or that have an attempt at a server.
    pub requests_in_flight: IntGauge,
    /// Instances that are warming up.
    pub warming_instances: IntGauge,
    /// Zones that are evacuated.
    pub evacuated_zones: IntGauge,
    /// 1 while the proxy is ready, else 0.
    pub ready: IntGauge,
    /// Proxies that share the servers, as last counted by a registry.
    pub proxies: IntGauge,
    /// The services that have a label of their own.
    labelled_services: RefCell<BTreeSet<String>>,
}

impl ProxyMetrics {
    /// Adds the proxy's metrics to a set.
    pub fn new(set: &MetricSet) -> ProxyMetrics {
        ProxyMetrics {
            responses: set.counters(
                "responses_total",
                "Responses to clients, by class of status; 503 and 429 are rejected",
                &["verdict"],
            ),
            response_time: set.latencies(
                "response_seconds",
                "Time from a request's head to the head of its response",
            ),
            rejections: set.counters(
                "rejections_total",
                "Requests that the proxy rejected itself, by cause",
                &["cause"],
            ),
            requests: set.counters(
                "requests_total",
                "Requests that were routed, by service",
                &["service"],
            ),
            attempts: set.counters(
                "attempts_total",
                "Attempts at servers that have ended, by service and outcome",
                &["service", "outcome"],
            ),
            retries: set.counters(
                "retries_total",
                "Attempts after the first of their request, by service",
                &["service"],
            ),
            servers: set.gauges(
                "servers",
                "Servers that are known, by service and whether they may get requests",
                &["service", "state"],
            ),
            requests_in_flight: set.gauge(
                "requests_in_flight",
                "Requests that are owed a response or have an attempt at a server",
            ),
            warming_instances: set.gauge("warming_instances", "Instances that warm up"),
            evacuated_zones: set.gauge("evacuated_zones", "Zones that are evacuated"),
            ready: set.gauge("ready", "1 while new connections are wanted"),
            proxies: set.gauge(
                "proxies",
                "Proxies that share the servers, as counted by a registry",
            ),
            labelled_services: RefCell::default(),
        }
    }

    /// Counts a response to a client, `elapsed` after its request's head.
    pub fn count_response(&self, status: StatusCode, elapsed: Duration) {
        let verdict = match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => "rejected",
            status if status.is_success() => "success",
            status if status.is_server_error() => "server_error",
            status if status.is_client_error() => "client_error",
            _ => "other",
        };
        self.responses.with_label_values(&[verdict]).inc();
        self.response_time.observe(elapsed.as_secs_f64());
    }

    /// Counts a request that the proxy rejected itself.
    pub fn count_rejection(&self, cause: RejectionCause) {
        self.rejections.with_label_values(&[cause.label()]).inc();
    }

    /// Counts a request that was routed to a service.
    pub fn count_request(&self, service: &str) {
        let label = self.service_label(service);
        self.requests.with_label_values(&[label]).inc();
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&self, service: &str, outcome: Outcome) {
        let label = self.service_label(service);
        let outcome = outcome_label(outcome);
        self.attempts.with_label_values(&[label, outcome]).inc();
    }

    /// Counts an attempt after the first of its request.
    pub fn count_retry(&self, service: &str) {
        let label = self.service_label(service);
        self.retries.with_label_values(&[label]).inc();
    }

    /// Sets how many servers of a service may get requests, and how many others are known.
    pub fn set_servers(&self, service: &str, available: usize, unavailable: usize) {
        let label = self.service_label(service);
        for (state, count) in [("available", available), ("unavailable", unavailable)] {
            let gauge = self.servers.with_label_values(&[label, state]);
            gauge.set(gauge_value(count));
        }
    }

    fn service_label<'a>(&self, service: &'a str) -> &'a str {
        let mut labelled = self.labelled_services.borrow_mut();
        if labelled.contains(service) {
            return service;
        }
        if labelled.len() >= MAX_SERVICE_LABELS {
            return OTHER_SERVICES;
        }
        labelled.insert(service.to_owned());
        service
    }
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

/// Converts a count to the value of a gauge; a count beyond the gauge's range becomes its largest value.
pub fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
