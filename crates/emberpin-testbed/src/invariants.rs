//! The invariant checker: checks five rules on a trace of what crossed the sockets. It is a pure function of the
//! trace and applies the allowances of the protocol page: each time limit is extended by 50 ms, requests in flight
//! at a killed limiter are left to the client's retry, and a client may send a request once more if the limiter closed
//! the idle connection while the request was on its way.
//!
//! A violation during which the stand-ins themselves ran late is reported separately, because the delay of the
//! stand-ins may have caused it.

use crate::figures::{
    Repeat, CLASSES, DEDUP_WINDOW, DRAIN_GRACE, METER_PERIOD, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW,
    PLANS, TIMING_TOLERANCE,
};
use crate::trace::{
    seconds, AttemptEnd, AttemptId, Event, EventKind, Incarnation, Micros, ProcessEnd, RequestId,
    ServerState,
};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// An attempt may end at most this long, in microseconds, after the next one was received completely: the stand-ins may
/// observe simultaneous events on two connections in either order.
const OVERLAP_ALLOWANCE: Micros = 10_000;
/// The tolerance of a ceiling is extended by what its rate yields in this time, in seconds.
const CEILING_TOLERANCE_S: f64 = 0.15;
/// The tolerance of a ceiling: this share of its burst, or the largest request, whichever is greater.
const CEILING_TOLERANCE_SHARE: f64 = 0.1;
/// An overloaded cold server is a violation only if at least this share of its work came from limiters that had been
/// notified of its start.
const MIN_NOTIFIED_SHARE: f64 = 2.0 / 3.0;
/// Maximum number of lines in the history of a violation.
const MAX_HISTORY_LINES: usize = 60;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No request is lost: each gets exactly one final response in time, and no attempt starts after it.
    Answers,
    /// No effect happens twice, and at most one attempt of a request is in flight.
    Effects,
    /// A draining server gets no new requests.
    Drains,
    /// No cold server is overloaded.
    ColdServers,
    /// No customer exceeds its hard ceiling.
    Ceilings,
}

/// All rules, in the order of their numbers.
pub const RULES: [Rule; 5] = [
    Rule::Answers,
    Rule::Effects,
    Rule::Drains,
    Rule::ColdServers,
    Rule::Ceilings,
];

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Rule::Answers => "no request lost",
            Rule::Effects => "no repeated effect",
            Rule::Drains => "no new requests to draining servers",
            Rule::ColdServers => "no cold server overloaded",
            Rule::Ceilings => "no ceiling exceeded",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation was observed.
    pub at: Micros,
    /// What was violated, in one line.
    #[serde(rename = "what")]
    pub message: String,
    /// The events that concern the request, server, customer or limiter, in order of time.
    #[serde(rename = "story")]
    pub history: Vec<String>,
    /// Whether the stand-ins ran late during the violation.
    #[serde(rename = "late")]
    pub stand_ins_late: bool,
}

/// The result of the check of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// Violations while the stand-ins kept time.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// Violations during which the stand-ins ran late.
    #[serde(rename = "late")]
    pub uncertain: usize,
    /// The first violation while the stand-ins kept time, else the first uncertain one.
    pub first: Option<Violation>,
}

/// The result of the check of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// One finding per rule, in the order of [`RULES`].
    pub findings: Vec<Finding>,
}

impl Verdict {
    /// Whether no violation was found, certain or uncertain.
    pub fn is_clean(&self) -> bool {
        self.findings
            .iter()
            .all(|finding| finding.violations == 0 && finding.uncertain == 0)
    }

    /// Whether a violation was found while the stand-ins kept time.
    pub fn has_violations(&self) -> bool {
        self.findings.iter().any(|finding| finding.violations > 0)
    }

    /// The finding for one rule.
    pub fn finding(&self, rule: Rule) -> &Finding {
        &self.findings[RULES.iter().position(|other| *other == rule).unwrap_or(0)]
    }
}

/// Parameters of the check beside the trace.
#[derive(Clone, Copy, Debug)]
pub struct CheckOptions {
    /// Number of zones; servers are assigned to them round robin.
    pub zones: usize,
    /// Whether a repeated effect of a key is a violation even if it comes from different client requests.
    pub check_repeated_effects_per_key: bool,
}

/// Checks all rules on a complete trace.
pub fn check_trace(events: &[Event], options: CheckOptions) -> Verdict {
    let trace = TraceIndex::read(events, options);
    let mut violations = Vec::new();
    trace.check_responses(&mut violations);
    trace.check_effects(&mut violations);
    trace.check_drains(&mut violations);
    trace.check_cold_servers(&mut violations);
    trace.check_ceilings(&mut violations);
    violations.sort_by_key(|(violation, _)| violation.at);
    let finding = |rule| {
        let of_rule = || {
            violations
                .iter()
                .filter(|(violation, _)| violation.rule == rule)
        };
        let stand_ins_late =
            |violation: &DetectedViolation| trace.ran_late(violation.from, violation.at);
        let late_count = of_rule()
            .filter(|(violation, _)| stand_ins_late(violation))
            .count();
        let first = of_rule()
            .find(|(violation, _)| !stand_ins_late(violation))
            .or_else(|| of_rule().next());
        let first = first.map(|(violation, subject)| Violation {
            rule,
            at: violation.at,
            message: violation.message.clone(),
            history: trace.history(subject, violation),
            stand_ins_late: stand_ins_late(violation),
        });
        Finding {
            rule,
            violations: of_rule().count() - late_count,
            uncertain: late_count,
            first,
        }
    };
    Verdict {
        findings: RULES.into_iter().map(finding).collect(),
    }
}

/// A violation without its history: only the first violation of a rule gets one.
struct DetectedViolation {
    rule: Rule,
    /// The start of the period in which the violation came about.
    from: Micros,
    at: Micros,
    message: String,
}

/// The subject whose events make up a history.
enum Subject {
    Request(RequestId),
    /// A server incarnation and a limiter that sent to it.
    Server(Incarnation, usize),
    Customer(u32),
    Limiter(usize),
}

type Violations = Vec<(DetectedViolation, Subject)>;

/// One transmission of a request to a limiter.
struct Send {
    at: Micros,
    limiter: usize,
    reused: bool,
}

/// All events of one request.
struct RequestRecord {
    class: usize,
    plan: usize,
    customer: u32,
    units: f64,
    time_limit: Micros,
    sends: Vec<Send>,
    /// Complete responses: time, status, and whether the response is valid.
    responses: Vec<(Micros, u16, bool)>,
    /// Lost connections: time, and whether part of a response had been received.
    connection_losses: Vec<(Micros, bool)>,
    timed_out_at: Option<Micros>,
    cancelled_at: Option<Micros>,
    attempts: Vec<AttemptId>,
}

/// All events of one attempt at a server.
struct AttemptRecord {
    incarnation: Incarnation,
    limiter: usize,
    started_at: Micros,
    /// The complete receipt: time, request if the id is known, and work in core milliseconds.
    received: Option<(Micros, Option<RequestId>, f64)>,
    ended: Option<(Micros, AttemptEnd)>,
}

impl AttemptRecord {
    /// Whether the server may have run the attempt, as far as the limiter can know.
    fn may_have_run(&self) -> bool {
        self.received.is_some()
            && self
                .ended
                .is_none_or(|(_, end)| end != AttemptEnd::Declined)
    }
}

/// One incarnation of a server.
struct IncarnationRecord {
    server: usize,
    started_at: Micros,
    capacity: f64,
    initial_capacity_share: f64,
    warm_after: Micros,
}

/// The trace, indexed by request, attempt, server incarnation and limiter.
struct TraceIndex<'a> {
    events: &'a [Event],
    options: CheckOptions,
    requests: BTreeMap<RequestId, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    incarnations: BTreeMap<Incarnation, IncarnationRecord>,
    /// Ends of limiter processes: time, limiter and how the process ended.
    exits: Vec<(Micros, usize, ProcessEnd)>,
    /// Times at which limiters became ready: time and limiter.
    starts: Vec<(Micros, usize)>,
    /// States of each server incarnation that each limiter was notified of.
    notifications: HashMap<(usize, Incarnation), Vec<(Micros, ServerState)>>,
    /// Unsolicited bytes: time, limiter, and the last request on the connection.
    stray: Vec<(Micros, usize, Option<RequestId>)>,
    /// Repeated effects: time and attempt.
    repeated_effects: Vec<(Micros, AttemptId)>,
    /// Periods during which the stand-ins ran late: start and end.
    delays: Vec<(Micros, Micros)>,
}

impl<'a> TraceIndex<'a> {
    fn read(events: &'a [Event], options: CheckOptions) -> TraceIndex<'a> {
        let mut trace = TraceIndex {
            events,
            options,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            exits: Vec::new(),
            starts: Vec::new(),
            notifications: HashMap::new(),
            stray: Vec::new(),
            repeated_effects: Vec::new(),
            delays: Vec::new(),
        };
        for event in events {
            trace.index(event.at, &event.kind);
        }
        trace
    }

    fn index(&mut self, at: Micros, kind: &EventKind) {
        match kind {
            EventKind::RequestSent {
                request,
                limiter,
                class,
                plan,
                customer,
                units,
                time_limit,
                reused,
                ..
            } => {
                let record = self
                    .requests
                    .entry(*request)
                    .or_insert_with(|| RequestRecord {
                        class: *class,
                        plan: *plan,
                        customer: *customer,
                        units: *units,
                        time_limit: *time_limit,
                        sends: Vec::new(),
                        responses: Vec::new(),
                        connection_losses: Vec::new(),
                        timed_out_at: None,
                        cancelled_at: None,
                        attempts: Vec::new(),
                    });
                record.sends.push(Send {
                    at,
                    limiter: *limiter,
                    reused: *reused,
                });
            }
            EventKind::Responded {
                request,
                status,
                valid,
                ..
            } => {
                if let Some(record) = self.requests.get_mut(request) {
                    record.responses.push((at, *status, *valid));
                }
            }
            EventKind::ConnectionLost {
                request,
                partial_response,
            } => {
                if let Some(record) = self.requests.get_mut(request) {
                    record.connection_losses.push((at, *partial_response));
                }
            }
            EventKind::RequestTimedOut { request } => {
                if let Some(record) = self.requests.get_mut(request) {
                    record.timed_out_at = Some(at);
                }
            }
            EventKind::RequestCancelled { request } => {
                if let Some(record) = self.requests.get_mut(request) {
                    record.cancelled_at = Some(at);
                }
            }
            EventKind::StrayBytes { limiter, after } => self.stray.push((at, *limiter, *after)),
            EventKind::AttemptStarted {
                attempt,
                incarnation,
                limiter,
            } => {
                let record = AttemptRecord {
                    incarnation: *incarnation,
                    limiter: *limiter,
                    started_at: at,
                    received: None,
                    ended: None,
                };
                self.attempts.insert(*attempt, record);
            }
            EventKind::AttemptReceived {
                attempt,
                request,
                work,
            } => {
                if let Some(record) = self.attempts.get_mut(attempt) {
                    record.received = Some((at, *request, *work));
                }
                if let Some(record) = request.and_then(|request| self.requests.get_mut(&request)) {
                    record.attempts.push(*attempt);
                }
            }
            EventKind::AttemptDequeued {
                attempt,
                repeated_effect,
                ..
            } => {
                if *repeated_effect {
                    self.repeated_effects.push((at, *attempt));
                }
            }
            EventKind::AttemptEnded { attempt, end } => {
                if let Some(record) = self.attempts.get_mut(attempt) {
                    record.ended = record.ended.or(Some((at, *end)));
                }
            }
            EventKind::ServerStarted {
                incarnation,
                server,
                capacity,
                initial_capacity_share,
                warm_after,
            } => {
                let record = IncarnationRecord {
                    server: *server,
                    started_at: at,
                    capacity: *capacity,
                    initial_capacity_share: *initial_capacity_share,
                    warm_after: *warm_after,
                };
                self.incarnations.insert(*incarnation, record);
            }
            EventKind::LimiterNotified {
                limiter,
                incarnation,
                state,
            } => {
                self.notifications
                    .entry((*limiter, *incarnation))
                    .or_default()
                    .push((at, *state));
            }
            EventKind::LimiterStopped { limiter, end } => self.exits.push((at, *limiter, *end)),
            EventKind::LimiterReady { limiter } => self.starts.push((at, *limiter)),
            EventKind::StandInsLate { delay } => self.delays.push((at.saturating_sub(*delay), at)),
            EventKind::LimiterUnreachable { .. }
            | EventKind::ServerStopped { .. }
            | EventKind::SigtermSent { .. }
            | EventKind::DiscoveryCalled { .. }
            | EventKind::DiscoveryCallEnded { .. }
            | EventKind::ServerConnected { .. }
            | EventKind::Fault { .. } => {}
        }
    }

    /// Whether the stand-ins ran late between two times, or within the tolerance around them.
    fn ran_late(&self, from: Micros, to: Micros) -> bool {
        self.delays.iter().any(|(began, ended)| {
            *began <= to + TIMING_TOLERANCE && *ended + TIMING_TOLERANCE >= from
        })
    }

    /// Whether a fault killed the limiter between two times, or at most the timing tolerance before, since the sockets
    /// of a killed process stay open for a moment after the signal. A kill before `from` does not count if the limiter
    /// was ready again by then.
    fn was_killed(&self, limiter: usize, from: Micros, to: Micros) -> bool {
        let in_period = |(at, which, end): &&(Micros, usize, ProcessEnd)| {
            *which == limiter
                && *end == ProcessEnd::Killed
                && (from.saturating_sub(TIMING_TOLERANCE)..=to).contains(at)
        };
        let restarted_since = |down: Micros| {
            self.starts
                .iter()
                .any(|(at, which)| *which == limiter && *at > down && *at <= from)
        };
        self.exits
            .iter()
            .filter(in_period)
            .any(|(at, ..)| !restarted_since(*at))
    }

    /// Rule 1: each accepted request gets one final response in time, and no attempt starts after it.
    fn check_responses(&self, violations: &mut Violations) {
        for (at, limiter, end) in &self.exits {
            let message = match end {
                ProcessEnd::Crashed => format!("limiter {limiter} exited unexpectedly"),
                ProcessEnd::ShutdownTimedOut => {
                    format!("limiter {limiter} had not exited within the shutdown time-out after SIGTERM")
                }
                ProcessEnd::Killed | ProcessEnd::ShutDown => continue,
            };
            violations.push((
                DetectedViolation {
                    rule: Rule::Answers,
                    from: *at,
                    at: *at,
                    message,
                },
                Subject::Limiter(*limiter),
            ));
        }
        for (at, limiter, after) in &self.stray {
            let message =
                format!("limiter {limiter} sent bytes on a connection without a pending request");
            let violation = DetectedViolation {
                rule: Rule::Answers,
                from: at.saturating_sub(TIMING_TOLERANCE),
                at: *at,
                message,
            };
            violations.push((
                violation,
                after.map_or(Subject::Limiter(*limiter), Subject::Request),
            ));
        }
        for (id, record) in &self.requests {
            let mut report_violation = |at, message: String| {
                let from = record.sends.first().map_or(at, |send| send.at);
                violations.push((
                    DetectedViolation {
                        rule: Rule::Answers,
                        from,
                        at,
                        message,
                    },
                    Subject::Request(*id),
                ));
            };
            let Some(last) = record.sends.last() else {
                continue;
            };
            let due = last.at + record.time_limit + TIMING_TOLERANCE;
            for (at, status, valid) in &record.responses {
                if !valid {
                    report_violation(
                        *at,
                        format!("got a {status} that no server sent for this request"),
                    );
                } else if *at > due {
                    let over = seconds(at - (due - TIMING_TOLERANCE)) * 1000.0;
                    report_violation(
                        *at,
                        format!("answered {over:.0} ms after the client's time limit"),
                    );
                }
            }
            if record.responses.len() > 1 {
                let (at, ..) = record.responses[1];
                report_violation(at, format!("{} final answers", record.responses.len()));
            }
            for (position, (at, partial_response)) in record.connection_losses.iter().enumerate() {
                let send = &record.sends[position.min(record.sends.len() - 1)];
                // The limiter may have closed the idle connection while the request was on its way. It had not read
                // the request if no attempt of it reached a server.
                let was_read = self
                    .received_attempts(record)
                    .any(|(_, attempt)| attempt.started_at <= *at + TIMING_TOLERANCE);
                let crossed_close = send.reused && !was_read && record.sends.len() > position + 1;
                if !partial_response
                    && !crossed_close
                    && !self.was_killed(send.limiter, send.at, at + TIMING_TOLERANCE)
                {
                    report_violation(*at, "its connection ended with no answer".into());
                }
            }
            if let Some(at) = record.timed_out_at {
                if !self.was_killed(last.limiter, last.at, at) {
                    report_violation(at, "no answer within the client's time limit".into());
                }
            }
            if let Some((answered, ..)) = record.responses.first() {
                let after = self
                    .received_attempts(record)
                    .find(|(_, attempt)| attempt.started_at > answered + TIMING_TOLERANCE);
                if let Some((_, attempt)) = after {
                    report_violation(
                        attempt.started_at,
                        "an attempt started after its final answer".into(),
                    );
                }
            }
        }
    }

    /// The attempts of a request that were received completely, in order of receipt.
    fn received_attempts<'b>(
        &'b self,
        record: &'b RequestRecord,
    ) -> impl Iterator<Item = (AttemptId, &'b AttemptRecord)> + 'b {
        record
            .attempts
            .iter()
            .filter_map(|id| Some((*id, self.attempts.get(id)?)))
    }

    /// Rule 2: at most one attempt is in flight, and a request that may have run is sent again or rejected only as its
    /// class allows.
    fn check_effects(&self, violations: &mut Violations) {
        for (id, record) in &self.requests {
            let mut report_violation = |from, at, message: String| {
                violations.push((
                    DetectedViolation {
                        rule: Rule::Effects,
                        from,
                        at,
                        message,
                    },
                    Subject::Request(*id),
                ));
            };
            let attempts: Vec<&AttemptRecord> = self
                .received_attempts(record)
                .map(|(_, attempt)| attempt)
                .collect();
            let first_that_may_have_run =
                attempts.iter().position(|attempt| attempt.may_have_run());
            for (position, next) in attempts.iter().enumerate().skip(1) {
                let received_at = next.received.map_or(next.started_at, |(at, ..)| at);
                let before = &attempts[..position];
                let in_flight = |earlier: &&&AttemptRecord| {
                    earlier
                        .ended
                        .is_none_or(|(at, _)| at > received_at + OVERLAP_ALLOWANCE)
                };
                if let Some(earlier) = before.iter().find(in_flight) {
                    report_violation(
                        earlier.started_at,
                        next.started_at,
                        "a second attempt while the first was in flight".into(),
                    );
                }
                let Some(first) = first_that_may_have_run
                    .filter(|first| *first < position)
                    .map(|at| attempts[at])
                else {
                    continue;
                };
                match CLASSES[record.class].repeat {
                    Repeat::Safe => {}
                    Repeat::Unsafe => report_violation(
                        first.started_at,
                        next.started_at,
                        "an unsafe request that may have run was sent again".into(),
                    ),
                    Repeat::Keyed => {
                        if self.zone(first) != self.zone(next) {
                            let message =
                                "a keyed request that may have run was sent again in another hall";
                            report_violation(first.started_at, next.started_at, message.into());
                        } else if next.started_at
                            > first.started_at + DEDUP_WINDOW + TIMING_TOLERANCE
                        {
                            let message =
                                "a keyed request that may have run was sent again after the deduplication window";
                            report_violation(first.started_at, next.started_at, message.into());
                        }
                    }
                }
            }
            let rejection = record
                .responses
                .iter()
                .find(|(_, status, _)| matches!(status, 429 | 503));
            if let (Some((at, status, _)), Some(first)) = (rejection, first_that_may_have_run) {
                if CLASSES[record.class].repeat != Repeat::Safe {
                    let message = format!("refused with {status}, though it may have run");
                    report_violation(attempts[first].started_at, *at, message);
                }
            }
        }
        for (id, attempt) in &self.attempts {
            if let Some((at, None, _)) = attempt.received {
                let message = format!("attempt {} has an id that no client sent", id.0);
                let violation = DetectedViolation {
                    rule: Rule::Effects,
                    from: attempt.started_at,
                    at,
                    message,
                };
                violations.push((violation, Subject::Limiter(attempt.limiter)));
            }
        }
        let request_of_attempt = |attempt: &AttemptId| {
            let record = self.attempts.get(attempt)?;
            record
                .received
                .and_then(|(_, request, _)| request)
                .map(|request| (record, request))
        };
        for (at, attempt) in self
            .repeated_effects
            .iter()
            .filter(|_| self.options.check_repeated_effects_per_key)
        {
            if let Some((record, request)) = request_of_attempt(attempt) {
                let text = "the effect of a key happened a second time".to_string();
                let violation = DetectedViolation {
                    rule: Rule::Effects,
                    from: record.started_at,
                    at: *at,
                    message: text,
                };
                violations.push((violation, Subject::Request(request)));
            }
        }
    }

    fn zone(&self, attempt: &AttemptRecord) -> Option<usize> {
        self.incarnations
            .get(&attempt.incarnation)
            .map(|incarnation| incarnation.server % self.options.zones)
    }

    /// Rule 3: no attempt starts later than [`DRAIN_GRACE`] after the limiter was notified that the server drains or
    /// was removed.
    fn check_drains(&self, violations: &mut Violations) {
        for attempt in self.attempts.values() {
            let Some(notifications) = self
                .notifications
                .get(&(attempt.limiter, attempt.incarnation))
            else {
                continue;
            };
            // The grace period starts with the first notification since the server was last reported ready.
            let mut since = None;
            for (at, state) in notifications
                .iter()
                .filter(|(at, _)| *at <= attempt.started_at)
            {
                since = match state {
                    ServerState::Ready => None,
                    ServerState::Draining | ServerState::Gone => since.or(Some(*at)),
                };
            }
            let Some(since) =
                since.filter(|at| attempt.started_at > at + DRAIN_GRACE + TIMING_TOLERANCE)
            else {
                continue;
            };
            let server = self
                .incarnations
                .get(&attempt.incarnation)
                .map_or(0, |incarnation| incarnation.server);
            let message = format!(
                "limiter {} sent to server {server} {:.0} ms after it was notified of that server's drain",
                attempt.limiter,
                seconds(attempt.started_at - since) * 1000.0
            );
            let violation = DetectedViolation {
                rule: Rule::Drains,
                from: since,
                at: attempt.started_at,
                message,
            };
            violations.push((
                violation,
                Subject::Server(attempt.incarnation, attempt.limiter),
            ));
        }
    }

    /// Rule 4: within any [`OVERLOAD_WINDOW`], the work sent to a cold server stays below [`OVERLOAD_MULTIPLE`] times
    /// what the server can do in that window, plus one request (the heaviest in the window).
    fn check_cold_servers(&self, violations: &mut Violations) {
        let mut sent: BTreeMap<Incarnation, Vec<(Micros, f64, usize)>> = BTreeMap::new();
        for attempt in self.attempts.values() {
            if let Some((at, _, work)) = attempt.received {
                sent.entry(attempt.incarnation)
                    .or_default()
                    .push((at, work, attempt.limiter));
            }
        }
        for (incarnation, work) in &mut sent {
            let Some(record) = self
                .incarnations
                .get(incarnation)
                .filter(|incarnation| incarnation.warm_after > 0)
            else {
                continue;
            };
            work.sort_by_key(|(at, ..)| *at);
            let warm_at = record.started_at + record.warm_after;
            let mut oldest = 0;
            for newest in 0..work.len() {
                let now = work[newest].0;
                if now > warm_at {
                    break;
                }
                while work[oldest].0 + OVERLOAD_WINDOW < now {
                    oldest += 1;
                }
                let window = &work[oldest..=newest];
                let sum: f64 = window.iter().map(|(_, work, _)| work).sum();
                let heaviest_request = window.iter().map(|(_, work, _)| *work).fold(0.0, f64::max);
                let achievable = record.achievable_work(now.saturating_sub(OVERLOAD_WINDOW), now);
                if sum <= OVERLOAD_MULTIPLE * achievable + heaviest_request {
                    continue;
                }
                let was_notified = |(at, _, limiter): &&(Micros, f64, usize)| {
                    let notifications = self.notifications.get(&(*limiter, *incarnation));
                    notifications.is_some_and(|notifications| {
                        notifications.iter().any(|(when, _)| when <= at)
                    })
                };
                let notified_work: f64 = window
                    .iter()
                    .filter(was_notified)
                    .map(|(_, work, _)| work)
                    .sum();
                if notified_work < MIN_NOTIFIED_SHARE * sum {
                    continue;
                }
                let message = format!(
                    "server {} was sent {sum:.0} ms of work in a second in which it could do {achievable:.0} ms",
                    record.server
                );
                let limiter = work[newest].2;
                let violation = DetectedViolation {
                    rule: Rule::ColdServers,
                    from: now.saturating_sub(OVERLOAD_WINDOW),
                    at: now,
                    message,
                };
                violations.push((violation, Subject::Server(*incarnation, limiter)));
                break;
            }
        }
    }

    /// Rule 5: the first attempt of each request takes the request's units from the customer's ceiling.
    fn check_ceilings(&self, violations: &mut Violations) {
        let mut taken: BTreeMap<u32, (usize, Vec<(Micros, f64)>)> = BTreeMap::new();
        for record in self.requests.values() {
            let first = self
                .received_attempts(record)
                .filter_map(|(_, attempt)| attempt.received)
                .map(|(at, ..)| at)
                .min();
            if let (Some(at), Some(_)) = (first, PLANS[record.plan].ceiling) {
                taken
                    .entry(record.customer)
                    .or_insert((record.plan, Vec::new()))
                    .1
                    .push((at, record.units));
            }
        }
        let largest = CLASSES.iter().map(|class| class.units).fold(0.0, f64::max);
        for (customer, (plan, units)) in &mut taken {
            let Some((rate, burst)) = PLANS[*plan].ceiling else {
                continue;
            };
            units.sort_by_key(|(at, _)| *at);
            let slack = (CEILING_TOLERANCE_SHARE * burst).max(largest) + CEILING_TOLERANCE_S * rate;
            let (mut balance, mut last) = (burst, 0);
            for (at, units) in units {
                balance = (balance + rate * seconds(*at - last)).min(burst) - *units;
                last = *at;
                if balance < -slack {
                    let message = format!(
                        "customer {customer} ({}) is {:.1} units over its ceiling, with a tolerance of {slack:.1}",
                        PLANS[*plan].name, -balance
                    );
                    let violation = DetectedViolation {
                        rule: Rule::Ceilings,
                        from: at.saturating_sub(METER_PERIOD),
                        at: *at,
                        message,
                    };
                    violations.push((violation, Subject::Customer(*customer)));
                    break;
                }
            }
        }
    }

    /// The events that concern a violation, one line each; the last [`MAX_HISTORY_LINES`] if there are more.
    fn history(&self, subject: &Subject, violation: &DetectedViolation) -> Vec<String> {
        let request_of = |attempt: &AttemptId| {
            self.attempts
                .get(attempt)
                .and_then(|record| record.received)
                .and_then(|(_, request, _)| request)
        };
        let (from, to) = (
            violation.from.saturating_sub(TIMING_TOLERANCE),
            violation.at + TIMING_TOLERANCE,
        );
        let near = |at: Micros| (from..=to).contains(&at);
        let concerns = |event: &Event| match (&event.kind, subject) {
            (EventKind::Fault { .. } | EventKind::StandInsLate { .. }, _) => near(event.at),
            (
                EventKind::LimiterStopped { .. }
                | EventKind::SigtermSent { .. }
                | EventKind::LimiterReady { .. },
                _,
            ) => near(event.at),
            (EventKind::ServerStarted { .. } | EventKind::ServerStopped { .. }, _) => {
                near(event.at)
            }
            (
                EventKind::LimiterNotified {
                    limiter,
                    incarnation,
                    ..
                },
                Subject::Server(wanted, wanted_limiter),
            ) => incarnation == wanted && limiter == wanted_limiter,
            (
                EventKind::AttemptStarted {
                    incarnation,
                    limiter,
                    ..
                },
                Subject::Server(wanted, wanted_limiter),
            ) => incarnation == wanted && limiter == wanted_limiter && near(event.at),
            (kind, Subject::Request(wanted)) => match (kind.request(), kind.attempt()) {
                (Some(request), _) => request == *wanted,
                (None, Some(attempt)) => request_of(&attempt) == Some(*wanted),
                (None, None) => false,
            },
            (EventKind::RequestSent { customer, .. }, Subject::Customer(wanted)) => {
                customer == wanted && near(event.at)
            }
            (EventKind::StrayBytes { limiter, .. }, Subject::Limiter(wanted)) => {
                limiter == wanted && near(event.at)
            }
            _ => false,
        };
        let relevant = self.events.iter().filter(|event| concerns(event));
        let lines: Vec<String> = relevant.map(std::string::ToString::to_string).collect();
        lines[lines.len().saturating_sub(MAX_HISTORY_LINES)..].to_vec()
    }
}

impl IncarnationRecord {
    /// Work in core milliseconds that the server can do between two times, both before it is warm.
    fn achievable_work(&self, from: Micros, to: Micros) -> f64 {
        let share = |at: Micros| {
            let part = at.saturating_sub(self.started_at) as f64 / self.warm_after as f64;
            self.initial_capacity_share + (1.0 - self.initial_capacity_share) * part.min(1.0)
        };
        // The capacity rises linearly, so the mean of both ends is the mean over the period. The part of a period
        // before the server's start counts as well, as if the server had had its initial share of the capacity.
        let mean = (share(from.max(self.started_at)) + share(to)) / 2.0;
        mean * self.capacity * (to - from) as f64 / 1000.0
    }
}

impl EventKind {
    /// The request that the event names, if any.
    fn request(&self) -> Option<RequestId> {
        match self {
            EventKind::RequestSent { request, .. }
            | EventKind::Responded { request, .. }
            | EventKind::ConnectionLost { request, .. }
            | EventKind::RequestTimedOut { request }
            | EventKind::RequestCancelled { request }
            | EventKind::LimiterUnreachable { request, .. } => Some(*request),
            EventKind::StrayBytes { after, .. } => *after,
            EventKind::AttemptReceived { request, .. } => *request,
            _ => None,
        }
    }

    /// The attempt that the event names, if any.
    fn attempt(&self) -> Option<AttemptId> {
        match self {
            EventKind::AttemptStarted { attempt, .. }
            | EventKind::AttemptReceived { attempt, .. }
            | EventKind::AttemptDequeued { attempt, .. }
            | EventKind::AttemptEnded { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:>11.6} s  ", seconds(self.at))?;
        match &self.kind {
            EventKind::RequestSent { request, limiter, class, plan, customer, units, key, time_limit, reused, .. } => write!(
                formatter,
                "client sends to limiter {limiter}: request {}, {}, {}, customer {customer}, {units} units, key {key}, \
                 time limit {:.3} s{}",
                request.0,
                CLASSES[*class].name,
                PLANS[*plan].name,
                seconds(*time_limit),
                if *reused { "" } else { ", new connection" }
            ),
            EventKind::Responded { request, status, valid, retry_after } => {
                write!(formatter, "client receives {status} for request {}", request.0)?;
                if !valid {
                    write!(formatter, ", not sent by a server for this request")?;
                }
                retry_after.map_or(Ok(()), |wait| write!(formatter, ", retry after {:.3} s", seconds(wait)))
            }
            EventKind::ConnectionLost { request, partial_response } => {
                let part = if *partial_response { ", in the middle of its response" } else { "" };
                write!(formatter, "client's connection ended, request {}{part}", request.0)
            }
            EventKind::RequestTimedOut { request } => write!(formatter, "client stops waiting for request {}", request.0),
            EventKind::RequestCancelled { request } => write!(formatter, "client cancels request {}", request.0),
            EventKind::LimiterUnreachable { request, limiter } => write!(formatter, "limiter {limiter} not reached, request {}", request.0),
            EventKind::StrayBytes { limiter, .. } => write!(formatter, "limiter {limiter} sends unsolicited bytes"),
            EventKind::AttemptStarted { attempt, incarnation, limiter } => {
                write!(formatter, "first byte of attempt {} from limiter {limiter} at server incarnation {}", attempt.0, incarnation.0)
            }
            EventKind::AttemptReceived { attempt, request, work } => {
                let of = request.map_or("of no client's request".into(), |request| format!("of request {}", request.0));
                write!(formatter, "last byte of attempt {} {of}, {work:.1} ms of work", attempt.0)
            }
            EventKind::AttemptDequeued { attempt, repeated_effect, deduplicated } => write!(
                formatter,
                "attempt {} {}",
                attempt.0,
                match (deduplicated, repeated_effect) {
                    (true, _) => "is a duplicate: nothing runs",
                    (false, true) => "runs, a second time for its key",
                    (false, false) => "runs",
                }
            ),
            EventKind::AttemptEnded { attempt, end } => write!(formatter, "attempt {} ends: {end:?}", attempt.0),
            EventKind::ServerStarted { incarnation, server, initial_capacity_share, warm_after, .. } => {
                write!(formatter, "server {server} started as incarnation {}", incarnation.0)?;
                match warm_after {
                    0 => Ok(()),
                    after => write!(formatter, ", at {initial_capacity_share} of its capacity, warm after {:.1} s", seconds(*after)),
                }
            }
            EventKind::ServerStopped { incarnation } => write!(formatter, "server incarnation {} ends", incarnation.0),
            EventKind::LimiterNotified { limiter, incarnation, state } => {
                write!(formatter, "limiter {limiter} is notified that incarnation {} is {state:?}", incarnation.0)
            }
            EventKind::DiscoveryCalled { limiter } => write!(formatter, "limiter {limiter} calls the discovery service"),
            EventKind::DiscoveryCallEnded { limiter, succeeded } => {
                write!(formatter, "the discovery service {} limiter {limiter}", if *succeeded { "answers" } else { "fails" })
            }
            EventKind::ServerConnected { incarnation, limiter } => {
                write!(formatter, "limiter {limiter} connects to server incarnation {}", incarnation.0)
            }
            EventKind::LimiterReady { limiter } => write!(formatter, "limiter {limiter} ready"),
            EventKind::SigtermSent { limiter } => write!(formatter, "SIGTERM to limiter {limiter}"),
            EventKind::LimiterStopped { limiter, end } => write!(formatter, "limiter {limiter} ended: {end:?}"),
            EventKind::Fault { name } => write!(formatter, "fault: {name}"),
            EventKind::StandInsLate { delay } => write!(formatter, "the stand-ins ran {:.0} ms late", seconds(*delay) * 1000.0),
        }
    }
}
