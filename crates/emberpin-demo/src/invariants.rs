//! The invariant checker. It checks only the record of the stand-ins' observations, and nothing that the gateway
//! reports about itself.

use crate::election::sorted_by_start;
use crate::record::{Attempt, Evacuation, LeaderTerm, Record};
use std::collections::HashMap;
use std::time::Duration;

/// An invariant that was violated.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// A mutating attempt ran more than once.
    #[error("mutating try {id} ran {runs} times")]
    RanTwice {
        /// The `try-id` of the attempt.
        id: String,
        /// The number of runs, at one or several servers.
        runs: usize,
    },
    /// A mutating attempt ran, although its status guarantees that it has not run.
    #[error("mutating try {id} was answered {status}, and yet it ran")]
    RanAfterRejection {
        /// The `try-id` of the attempt.
        id: String,
        /// The status that the client received.
        status: u16,
    },
    /// A request reached an evacuated zone after the bound had passed.
    #[error("try {id} reached the evacuated zone {zone} {lateness:.1?} after its time")]
    ReachedEvacuatedZone {
        /// The `try-id` of the attempt.
        id: String,
        /// The evacuated zone.
        zone: String,
        /// How long after the bound it arrived.
        lateness: Duration,
    },
    /// The configuration that was read back differs from the acknowledged one.
    #[error("read back: {item} {description}")]
    ReadBack {
        /// The kind and name of the item that differs.
        item: String,
        /// How the item differs, as the predicate of the error message.
        description: &'static str,
    },
    /// A client received a success that is not a server's response to its attempt.
    #[error("try {id} got a success that is not its server's answer")]
    ForeignResponse {
        /// The `try-id` of the attempt.
        id: String,
    },
    /// A server ran an attempt that no client sent.
    #[error("a server ran {id}, which no client sent")]
    UnknownAttempt {
        /// The `try-id` header that the server received.
        id: String,
    },
    /// A valid command of the operator was not acknowledged.
    #[error("{0} was not acknowledged")]
    Unacknowledged(String),
    /// Two candidates considered themselves the leader at the same time.
    #[error("{first} and {second} both led for {overlap:.1?}")]
    TwoLeaders {
        /// The candidate whose term began first.
        first: &'static str,
        /// The candidate that was elected before that term was over.
        second: &'static str,
        /// The duration of the overlap.
        overlap: Duration,
    },
    /// A later leader's fencing token is not higher than that of an earlier leader.
    #[error("{candidate} was elected with fence {fencing_token} after {earlier_token}")]
    FencingTokenNotIncreasing {
        /// The candidate that was elected later.
        candidate: &'static str,
        /// The fencing token of that candidate.
        fencing_token: u64,
        /// The fencing token of the earlier leader.
        earlier_token: u64,
    },
    /// A process exited without having been killed.
    #[error("{0}")]
    ProcessExited(String),
}

/// Whether a status guarantees that the request has not run and will not run.
pub fn guarantees_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Checks a record against all invariants.
pub fn check(record: &Record) -> Vec<Violation> {
    let mut violations = check_attempts(record);
    for evacuation in &record.evacuations {
        violations.extend(check_evacuation(record, evacuation));
    }
    violations.extend(check_read_back(record));
    violations.extend(check_leaders(&record.leader_terms));
    let commands = record.unacknowledged_commands.iter().cloned();
    violations.extend(commands.map(Violation::Unacknowledged));
    let processes = record.exited_processes.iter().cloned();
    violations.extend(processes.map(Violation::ProcessExited));
    violations
}

fn check_attempts(record: &Record) -> Vec<Violation> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for arrival in record.arrivals.iter().filter(|arrival| arrival.ran) {
        *runs.entry(&arrival.attempt_id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for attempt in &record.attempts {
        let runs = runs.remove(attempt.id.as_str()).unwrap_or(0);
        violations.extend(check_attempt(attempt, runs));
    }
    // The remaining runs belong to no attempt.
    let mut unknown: Vec<&str> = runs.into_keys().collect();
    unknown.sort_unstable();
    let unknown = unknown.into_iter().map(str::to_owned);
    violations.extend(unknown.map(|id| Violation::UnknownAttempt { id }));
    violations
}

fn check_attempt(attempt: &Attempt, runs: usize) -> Vec<Violation> {
    let id = attempt.id.clone();
    let mut violations = Vec::new();
    if attempt.is_mutating && runs > 1 {
        violations.push(Violation::RanTwice {
            id: id.clone(),
            runs,
        });
    }
    let rejection = attempt.status.filter(|status| guarantees_not_run(*status));
    if let Some(status) = rejection.filter(|_| attempt.is_mutating && runs > 0) {
        violations.push(Violation::RanAfterRejection {
            id: id.clone(),
            status,
        });
    }
    if attempt.has_foreign_response {
        violations.push(Violation::ForeignResponse { id });
    }
    violations
}

fn check_evacuation(record: &Record, evacuation: &Evacuation) -> Vec<Violation> {
    let from = evacuation.acknowledged_at + evacuation.bound;
    let until = evacuation.finish_requested_at.unwrap_or(Duration::MAX);
    let in_zone = record
        .arrivals
        .iter()
        .filter(|arrival| arrival.zone == evacuation.zone);
    in_zone
        .filter(|arrival| arrival.at > from && arrival.at < until)
        .map(|arrival| Violation::ReachedEvacuatedZone {
            id: arrival.attempt_id.clone(),
            zone: arrival.zone.clone(),
            lateness: arrival.at - from,
        })
        .collect()
}

/// Checks that at most one candidate led at a time and that fencing tokens increase from one leader to the next. Terms
/// of the same candidate may overlap, because a candidate that is elected again continues its own term.
fn check_leaders(terms: &[LeaderTerm]) -> Vec<Violation> {
    let terms = sorted_by_start(terms);
    let mut violations = Vec::new();
    for (index, term) in terms.iter().enumerate() {
        let others = terms[..index]
            .iter()
            .filter(|other| other.candidate != term.candidate);
        for other in others {
            if other.until > term.from {
                violations.push(Violation::TwoLeaders {
                    first: other.candidate,
                    second: term.candidate,
                    overlap: other.until.min(term.until) - term.from,
                });
            }
            if other.fencing_token >= term.fencing_token {
                violations.push(Violation::FencingTokenNotIncreasing {
                    candidate: term.candidate,
                    fencing_token: term.fencing_token,
                    earlier_token: other.fencing_token,
                });
            }
        }
    }
    violations
}

fn check_read_back(record: &Record) -> Vec<Violation> {
    let violation = |item: &str, description| Violation::ReadBack {
        item: item.into(),
        description,
    };
    let Some(read_back) = &record.read_back else {
        return vec![violation("the configuration", "did not come")];
    };
    let mut violations = Vec::new();
    for (item, acknowledged) in &record.acknowledged_items {
        let difference = match read_back.get(item) {
            None => Some("is missing"),
            Some(shown) if shown["ver"] != acknowledged["ver"] => Some("has another version"),
            Some(shown) if shown != acknowledged => Some("differs"),
            Some(_) => None,
        };
        violations.extend(difference.map(|description| violation(item, description)));
    }
    for item in read_back.keys() {
        if !record.acknowledged_items.contains_key(item) {
            let description = "is there, though it was dropped or never sent";
            violations.push(violation(item, description));
        }
    }
    violations
}
