//! The invariant checker: judges the record of the stand-ins, and nothing that the gateway says of itself.

use crate::record::Record;
use std::collections::HashMap;
use std::time::Duration;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// A mutating try ran more than once.
    #[error("mutating try {id} ran {runs} times")]
    RanTwice {
        /// Which.
        id: String,
        /// How often.
        runs: usize,
    },
    /// A mutating try was refused with a promise, and yet it ran.
    #[error("mutating try {id} was answered {status}, and yet it ran")]
    RanAfterRejection {
        /// Which.
        id: String,
        /// The promise.
        status: u16,
    },
    /// A request that reached an evacuated zone too late.
    #[error("try {id} reached the evacuated zone {zone} {late:.1?} after its time")]
    ReachedEvacuatedZone {
        /// Which.
        id: String,
        /// Where.
        zone: String,
        /// How much too late.
        late: Duration,
    },
    /// The configuration that was read back is not the one that was acknowledged.
    #[error("read back: {item} {what}")]
    ReadBack {
        /// The item.
        item: String,
        /// What is the matter with it.
        what: &'static str,
    },
    /// A client's success that is not its server's answer.
    #[error("try {id} got a success that is not its server's answer")]
    ForeignResponse {
        /// Which.
        id: String,
    },
    /// A server ran what no client sent.
    #[error("a server ran {id}, which no client sent")]
    UnknownAttempt {
        /// Its name.
        id: String,
    },
    /// A proper order of the operator that nobody acknowledged.
    #[error("{0} was not acknowledged")]
    Unacknowledged(String),
    /// A process that nobody told to end.
    #[error("{0}")]
    ProcessExited(String),
}

/// All breaches of these books.
pub fn check(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for arrival in record.arrivals.iter().filter(|arrival| arrival.ran) {
        *runs.entry(&arrival.attempt_id).or_default() += 1;
    }
    for sent in &record.attempts {
        let runs = runs.remove(sent.id.as_str()).unwrap_or(0);
        if sent.is_mutating && runs > 1 {
            violations.push(Violation::RanTwice {
                id: sent.id.clone(),
                runs,
            });
        }
        let promise = sent.status.filter(|status| guarantees_not_run(*status));
        if let Some(status) = promise.filter(|_| sent.is_mutating && runs > 0) {
            violations.push(Violation::RanAfterRejection {
                id: sent.id.clone(),
                status,
            });
        }
        if sent.has_foreign_response {
            violations.push(Violation::ForeignResponse {
                id: sent.id.clone(),
            });
        }
    }
    // What is left belongs to no try.
    let mut unasked: Vec<&str> = runs.into_keys().collect();
    unasked.sort_unstable();
    violations.extend(
        unasked
            .into_iter()
            .map(|id| Violation::UnknownAttempt { id: id.into() }),
    );
    for evacuation in &record.evacuations {
        let from = evacuation.acknowledged_at + evacuation.bound;
        let until = evacuation.finish_requested_at.unwrap_or(Duration::MAX);
        for late in record
            .arrivals
            .iter()
            .filter(|arrival| arrival.zone == evacuation.zone)
        {
            if late.at > from && late.at < until {
                let (id, zone) = (late.attempt_id.clone(), late.zone.clone());
                violations.push(Violation::ReachedEvacuatedZone {
                    id,
                    zone,
                    late: late.at - from,
                });
            }
        }
    }
    read_back(record, &mut violations);
    violations.extend(
        record
            .unacknowledged_commands
            .iter()
            .cloned()
            .map(Violation::Unacknowledged),
    );
    violations.extend(
        record
            .exited_processes
            .iter()
            .cloned()
            .map(Violation::ProcessExited),
    );
    violations
}

/// The request has not run, and never will.
pub fn guarantees_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn read_back(record: &Record, violations: &mut Vec<Violation>) {
    let mut violation = |item: &str, what| {
        violations.push(Violation::ReadBack {
            item: item.into(),
            what,
        });
    };
    let Some(read) = &record.read_back else {
        return violation("the configuration", "did not come");
    };
    for (item, value) in &record.acknowledged_items {
        match read.get(item) {
            None => violation(item, "is missing"),
            Some(read) if read["ver"] != value["ver"] => violation(item, "has another version"),
            Some(read) if read != value => violation(item, "differs"),
            Some(_) => {}
        }
    }
    for item in read
        .keys()
        .filter(|item| !record.acknowledged_items.contains_key(*item))
    {
        violation(item, "is there, though it was dropped or never sent");
    }
}
