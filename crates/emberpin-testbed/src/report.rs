//! The report of a run: figures by class and plan, the resource usage of each limiter, and the verdict by rule; as
//! tables, as JSON and as the data of an HTML page.

use crate::figures::{CLASSES, PLANS};
use crate::invariants::{Finding, Verdict};
use crate::process::Usage;
use crate::schedule::{Schedule, MAX_REQUESTS};
use crate::site::Outcome;
use crate::trace::{seconds, Event, EventKind, Micros, RequestId, SECOND};
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{CellAlignment, Table, TableComponent};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Outcomes of pieces of work. A piece of work is one request of a client with all its retries.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Name of the class or plan.
    pub name: String,
    /// Number of pieces of work, without those whose client cancelled.
    pub asked: u64,
    /// Served within the class's latency target, counted from the first request.
    pub in_time: u64,
    /// Served after the latency target.
    pub late: u64,
    /// The last request was rejected (429 or 503).
    pub refused: u64,
    /// The last request failed, timed out or reached no limiter.
    pub failed: u64,
    /// Median time from the first request to a served response, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
    /// The part of the units sent to servers that exceeded the customers' quotas, as a share; only for plans.
    pub beyond_quota: Option<f64>,
}

/// Load and resource usage of one limiter.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimiterRow {
    /// The limiter's number, from 0.
    pub limiter: usize,
    /// Requests received.
    pub asked: u64,
    /// Processor time, user and system, in milliseconds.
    pub cpu_ms: f64,
    /// Processor time per request, in microseconds.
    pub cpu_us_per_request: f64,
    /// Largest resident set, in KiB.
    pub peak_kib: u64,
    /// Number of starts.
    pub starts: u32,
}

/// The summary of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// All pieces of work.
    pub total: Row,
    /// The pieces of work of each class.
    pub classes: Vec<Row>,
    /// The pieces of work of each plan.
    pub plans: Vec<Row>,
    /// Load and resource usage of each limiter.
    pub limiters: Vec<LimiterRow>,
    /// Attempts received completely by servers.
    pub attempts: u64,
    /// Effects that ran again for a key that had run before, over all requests of clients.
    #[serde(rename = "second_effects")]
    pub repeated_effects: u64,
    /// Maximum lateness of the stand-ins themselves, in milliseconds.
    pub stand_ins_late_ms: f64,
    /// Whether the trace was cut short.
    pub cut_short: bool,
    /// The finding of each rule.
    pub verdict: Vec<Finding>,
}

/// The outcome of one piece of work.
#[derive(Clone, Copy, Default)]
struct WorkOutcome {
    cancelled: bool,
    /// Time of the first request, even if it reached no limiter.
    sent_at: Option<Micros>,
    /// Time of the first response with status 200.
    served: Option<Micros>,
    /// Whether the last request was rejected (429 or 503).
    rejected: bool,
}

/// The outcomes of all pieces of work, in the order of their arrivals in the schedule.
fn work_outcomes(events: &[Event], arrivals: usize) -> Vec<WorkOutcome> {
    let mut work_outcomes = vec![WorkOutcome::default(); arrivals];
    for event in events {
        let (EventKind::RequestSent { request, .. }
        | EventKind::LimiterUnreachable { request, .. }
        | EventKind::Responded { request, .. }
        | EventKind::ConnectionLost { request, .. }
        | EventKind::RequestTimedOut { request }
        | EventKind::RequestCancelled { request }) = &event.kind
        else {
            continue;
        };
        let Some(job) = work_outcomes.get_mut((request.0 / MAX_REQUESTS) as usize) else {
            continue;
        };
        match &event.kind {
            EventKind::RequestSent { .. } | EventKind::LimiterUnreachable { .. } => {
                job.sent_at = job.sent_at.or(Some(event.at));
                job.rejected = false;
            }
            EventKind::Responded { status: 200, .. } => job.served = job.served.or(Some(event.at)),
            EventKind::Responded { status, .. } => job.rejected = matches!(status, 429 | 503),
            EventKind::RequestCancelled { .. } => job.cancelled = true,
            _ => job.rejected = false,
        }
    }
    work_outcomes
}

/// Builds a row and collects its response times.
#[derive(Default)]
struct RowBuilder {
    row: Row,
    times: Vec<f64>,
}

impl RowBuilder {
    fn named(name: &str) -> RowBuilder {
        RowBuilder {
            row: Row {
                name: name.into(),
                ..Row::default()
            },
            times: Vec::new(),
        }
    }

    fn count(&mut self, job: &WorkOutcome, latency_target: Micros) {
        let Some(sent_at) = job.sent_at else { return };
        if job.cancelled {
            return;
        }
        self.row.asked += 1;
        match job.served {
            Some(at) => {
                let time = at.saturating_sub(sent_at);
                self.times.push(time as f64 / 1000.0);
                *(if time <= latency_target {
                    &mut self.row.in_time
                } else {
                    &mut self.row.late
                }) += 1;
            }
            None if job.rejected => self.row.refused += 1,
            None => self.row.failed += 1,
        }
    }

    fn finish(mut self) -> Row {
        self.times.sort_by(f64::total_cmp);
        (self.row.p50_ms, self.row.p99_ms) =
            (percentile(&self.times, 0.5), percentile(&self.times, 0.99));
        self.row
    }
}

/// The percentile of sorted values by nearest rank, with `part` from 0 to 1; 0 if there are no values.
pub fn percentile(sorted: &[f64], part: f64) -> f64 {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}

/// For each plan, the units sent to servers and those of them beyond the customers' quotas.
fn beyond_quota(events: &[Event], schedule: &Schedule) -> Vec<(f64, f64)> {
    let mut sums = vec![(0.0, 0.0); PLANS.len()];
    let mut balances: HashMap<u32, (f64, Micros)> = HashMap::new();
    let mut sent = HashSet::new();
    for event in events {
        let EventKind::AttemptReceived {
            request: Some(request),
            ..
        } = &event.kind
        else {
            continue;
        };
        let Some(arrival) = schedule.arrival(*request).filter(|_| sent.insert(*request)) else {
            continue;
        };
        let index = schedule.customers[arrival.customer as usize].plan;
        let (plan, units) = (&PLANS[index], arrival.class().units);
        let (balance, last) = balances
            .entry(arrival.customer)
            .or_insert((plan.burst, event.at));
        *balance = (*balance + plan.rate * seconds(event.at - *last)).min(plan.burst);
        *last = event.at;
        sums[index].0 += units;
        match *balance >= units {
            true => *balance -= units,
            false => sums[index].1 += units,
        }
    }
    sums
}

impl Summary {
    /// Summarises a run.
    pub fn from_outcome(outcome: &Outcome) -> Summary {
        let scenario = &outcome.scenario;
        let schedule = Schedule::draw(scenario);
        let mut total = RowBuilder::named("all");
        let mut classes: Vec<_> = CLASSES
            .iter()
            .map(|class| RowBuilder::named(class.name))
            .collect();
        let mut plans: Vec<_> = PLANS
            .iter()
            .map(|plan| RowBuilder::named(plan.name))
            .collect();
        for (arrival, work_outcome) in schedule
            .arrivals
            .iter()
            .zip(&work_outcomes(&outcome.events, schedule.arrivals.len()))
        {
            let latency_target = arrival.class().latency_target;
            total.count(work_outcome, latency_target);
            classes[arrival.class].count(work_outcome, latency_target);
            plans[schedule.customers[arrival.customer as usize].plan]
                .count(work_outcome, latency_target);
        }
        let mut plans: Vec<Row> = plans.into_iter().map(RowBuilder::finish).collect();
        for (row, (sent, beyond)) in plans
            .iter_mut()
            .zip(beyond_quota(&outcome.events, &schedule))
        {
            row.beyond_quota = (sent > 0.0).then_some(beyond / sent);
        }
        let mut requests = vec![0; outcome.usage.len()];
        let (mut attempts, mut repeated_effects, mut late) = (0, 0, 0);
        for event in &outcome.events {
            match &event.kind {
                EventKind::RequestSent { limiter, .. } => requests[*limiter] += 1,
                EventKind::AttemptReceived { .. } => attempts += 1,
                EventKind::AttemptDequeued {
                    repeated_effect: true,
                    ..
                } => repeated_effects += 1,
                EventKind::StandInsLate { delay } => late = late.max(*delay),
                _ => {}
            }
        }
        let limiters =
            outcome
                .usage
                .iter()
                .zip(&requests)
                .enumerate()
                .map(|(limiter, (usage, requests))| {
                    let Usage {
                        cpu_ms,
                        peak_kib,
                        starts,
                    } = *usage;
                    let cpu_us_per_request = cpu_ms * 1000.0 / (*requests as f64).max(1.0);
                    LimiterRow {
                        limiter,
                        asked: *requests,
                        cpu_ms,
                        cpu_us_per_request,
                        peak_kib,
                        starts,
                    }
                });
        Summary {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            seconds: seconds(scenario.length),
            total: total.finish(),
            classes: classes.into_iter().map(RowBuilder::finish).collect(),
            plans,
            limiters: limiters.collect(),
            attempts,
            repeated_effects,
            stand_ins_late_ms: late as f64 / 1000.0,
            cut_short: outcome.cut_short,
            verdict: outcome.verdict.findings.clone(),
        }
    }

    /// Renders the tables for a terminal or a log.
    pub fn to_text(&self) -> String {
        let header = [
            "",
            "asked",
            "in time",
            "late",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "beyond quota",
        ];
        let mut work = table(&header);
        for row in [&self.total]
            .into_iter()
            .chain(&self.classes)
            .chain(&self.plans)
        {
            if row.asked > 0 {
                work.add_row(row.cells());
            }
        }
        let header = [
            "limiter",
            "asked",
            "CPU ms",
            "CPU µs a request",
            "peak MiB",
            "starts",
        ];
        let mut limiters = table(&header);
        for row in &self.limiters {
            limiters.add_row([
                row.limiter.to_string(),
                row.asked.to_string(),
                format!("{:.0}", row.cpu_ms),
                format!("{:.0}", row.cpu_us_per_request),
                format!("{:.1}", row.peak_kib as f64 / 1024.0),
                row.starts.to_string(),
            ]);
        }
        let mut rules = table(&["rule", "verdict"]);
        for finding in &self.verdict {
            rules.add_row([finding.rule.to_string(), describe_finding(finding)]);
        }
        let late = match self.stand_ins_late_ms {
            late if late > 0.0 => format!("the stand-ins ran up to {late:.0} ms late"),
            _ => "the stand-ins ran on time".into(),
        };
        let cut = if self.cut_short {
            "; the run was cut short: its trace was full"
        } else {
            ""
        };
        let (name, seed, length) = (&self.scenario, self.seed, self.seconds);
        format!(
            "{name}, seed {seed}, {length} s\n{work}\n{limiters}\n{rules}\n{} attempts at servers; {} repeated \
             effects over all requests of clients; {late}{cut}",
            self.attempts, self.repeated_effects
        )
    }
}

/// The first violation of each rule that has one, with its history.
pub fn violation_histories(verdict: &Verdict) -> String {
    let mut text = String::new();
    for first in verdict
        .findings
        .iter()
        .filter_map(|finding| finding.first.as_ref())
    {
        let when = if first.stand_ins_late {
            ", while the stand-ins ran late"
        } else {
            ""
        };
        text += &format!(
            "\n{}: {}, at {:.6} s{when}\n",
            first.rule,
            first.message,
            seconds(first.at)
        );
        for line in &first.history {
            text += &format!("  {line}\n");
        }
    }
    text
}

/// Describes a finding in a few words.
pub fn describe_finding(finding: &Finding) -> String {
    match (finding.violations, finding.uncertain) {
        (0, 0) => "held".into(),
        (0, late) => format!("uncertain: {late} violations, all while the stand-ins ran late"),
        (broken, 0) => format!("BROKEN {broken} times"),
        (broken, late) => {
            format!("BROKEN {broken} times, and {late} more while the stand-ins ran late")
        }
    }
}

impl Row {
    /// The cells of the row as text.
    pub fn cells(&self) -> Vec<String> {
        let part = |count: u64| match count {
            0 => "0".into(),
            count => format!(
                "{count} ({:.1} %)",
                100.0 * count as f64 / self.asked as f64
            ),
        };
        vec![
            self.name.clone(),
            self.asked.to_string(),
            part(self.in_time),
            part(self.late),
            part(self.refused),
            part(self.failed),
            format!("{:.0}", self.p50_ms),
            format!("{:.0}", self.p99_ms),
            self.beyond_quota
                .map_or(String::new(), |share| format!("{:.1} %", share * 100.0)),
        ]
    }
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(UTF8_HORIZONTAL_ONLY)
        .set_header(header.iter().copied());
    table
        .remove_style(TableComponent::HorizontalLines)
        .remove_style(TableComponent::MiddleIntersections);
    table
        .column_iter_mut()
        .skip(1)
        .for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table
}

/// Rates and response times in one time bin of a run.
#[derive(Clone, Debug, Default)]
pub struct TimeBin {
    /// Requests sent to limiters, per second.
    pub asked: f64,
    /// Responses with status 200, per second.
    pub served: f64,
    /// Responses with status 429 or 503, per second.
    pub refused: f64,
    /// Requests that ended in any other way, per second, without those that were cancelled or reached no limiter.
    pub failed: f64,
    /// Median time of the requests served in this bin, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
}

/// Length of a time bin.
pub const TIME_BIN: Micros = SECOND / 2;

/// Divides the run into time bins.
pub fn bins(events: &[Event], length: Micros) -> Vec<TimeBin> {
    let count = length.div_ceil(TIME_BIN) as usize;
    let mut bins = vec![TimeBin::default(); count];
    let mut times: Vec<Vec<f64>> = vec![Vec::new(); count];
    let mut sent_at: BTreeMap<RequestId, Micros> = BTreeMap::new();
    let rate = SECOND as f64 / TIME_BIN as f64;
    for event in events {
        let at = (event.at / TIME_BIN) as usize;
        let Some(bin) = bins.get_mut(at) else {
            continue;
        };
        match &event.kind {
            EventKind::RequestSent { request, .. } => {
                sent_at.insert(*request, event.at);
                bin.asked += rate;
            }
            EventKind::Responded {
                request,
                status: 200,
                ..
            } => {
                bin.served += rate;
                let time = sent_at.get(request).map_or(0, |sent_at| event.at - sent_at);
                times[at].push(time as f64 / 1000.0);
            }
            EventKind::Responded {
                status: 429 | 503, ..
            } => bin.refused += rate,
            EventKind::Responded { .. }
            | EventKind::ConnectionLost { .. }
            | EventKind::RequestTimedOut { .. } => {
                bin.failed += rate;
            }
            _ => {}
        }
    }
    for (bin, times) in bins.iter_mut().zip(&mut times) {
        times.sort_by(f64::total_cmp);
        (bin.p50_ms, bin.p99_ms) = (percentile(times, 0.5), percentile(times, 0.99));
    }
    bins
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_percentile_is_one_of_the_values() {
        let values: Vec<f64> = (1..=100).map(f64::from).collect();
        assert_eq!(
            (percentile(&values, 0.5), percentile(&values, 0.99)),
            (50.0, 99.0)
        );
        assert_eq!(
            (percentile(&values, 0.0), percentile(&values, 1.0)),
            (1.0, 100.0)
        );
        assert_eq!(percentile(&[], 0.5), 0.0);
    }

    /// A piece of work that is rejected once and then served counts as late if the time from its first request to the
    /// response exceeds the latency target.
    #[test]
    fn a_retry_counts_from_the_first_request() {
        let sent = |number, at| Event {
            at,
            kind: EventKind::RequestSent {
                request: RequestId(number),
                first_request: RequestId(0),
                limiter: 0,
                class: 0,
                plan: 0,
                customer: 0,
                units: 1.0,
                key: 0,
                time_limit: SECOND,
                reused: false,
            },
        };
        let response = |number, at, status| Event {
            at,
            kind: EventKind::Responded {
                request: RequestId(number),
                status,
                valid: true,
                retry_after: None,
            },
        };
        let events = [
            sent(0, 0),
            response(0, 1000, 429),
            sent(1, 300_000),
            response(1, 450_000, 200),
        ];
        let work_outcomes = work_outcomes(&events, 1);
        let mut builder = RowBuilder::default();
        builder.count(&work_outcomes[0], 400_000);
        let row = builder.finish();
        assert_eq!(
            (row.asked, row.in_time, row.late, row.p50_ms),
            (1, 0, 1, 450.0)
        );
        let bins = bins(&events, SECOND);
        assert_eq!(
            (bins[0].asked, bins[0].served, bins[0].refused),
            (4.0, 2.0, 2.0)
        );
        assert_eq!(bins[0].p50_ms, 150.0);
    }
}
