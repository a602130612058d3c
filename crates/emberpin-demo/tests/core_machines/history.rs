//! The history of the calls that applications made, with times on one steady clock, and the check of the history
//! against the rules for locks, numbers and cells. Each violation names its rule:
//!
//! - ONE: a lock has at most one holder at a time, and fencing tokens increase from holder to holder.
//! - ORDER: numbers and revisions are unique, and increase from one call to every later one; watches skip no revision.
//! - STALE: a read returns no older revision than a put that was acknowledged before.
//! - MIXED: every value belongs to one put of its cell and to one revision, and a 412 names a revision of the cell.
//! - REFUSED: the value of a put that was rejected or answered 412 never becomes visible.
//! - LOST: at the end of a run every call is answered, and the acknowledged state is still there.
//! - STATUS: every answer has an expected status.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// When a call was sent and when its answer was received, since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub sent: Duration,
    pub received: Duration,
}

/// A period in which a caller considered itself the holder of a lock.
#[derive(Clone, Debug)]
pub struct Lease {
    pub lock: String,
    pub owner: String,
    pub fencing_token: u64,
    /// The call that acquired the lock.
    pub span: Span,
    /// When the caller released the lock, or its lease expired.
    pub until: Duration,
}

/// The result of a put, over all of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// 200 with the new revision of the cell.
    Written(u64),
    /// 412: the cell had another revision than the put required. With the current revision of the cell.
    Changed(u64),
    /// 429 or 503 for each attempt: nothing was written.
    Rejected,
    /// No clear answer: the value may have been written or not.
    Unknown,
}

/// A conditional write of a cell. Every put of a run has a different value.
#[derive(Clone, Debug)]
pub struct Put {
    pub cell: String,
    pub value: String,
    /// The revision that the cell must have.
    pub when: u64,
    /// The time from the first attempt to the answer.
    pub span: Span,
    pub result: PutResult,
}

/// A read of a cell, with its value and revision. A cell that does not exist has no value and revision 0.
#[derive(Clone, Debug)]
pub struct Get {
    pub cell: String,
    pub span: Span,
    pub value: Option<String>,
    pub revision: u64,
}

/// A change of a cell in the answer to a watch.
#[derive(Clone, Debug)]
pub struct Event {
    pub cell: String,
    pub value: String,
    pub revision: u64,
}

/// An answer to a watch of a group: the changes above the revision `after` up to `revision`.
#[derive(Clone, Debug)]
pub struct Watch {
    pub group: String,
    pub after: u64,
    pub revision: u64,
    pub events: Vec<Event>,
    pub span: Span,
}

/// A number that a counter handed out.
#[derive(Clone, Debug)]
pub struct Number {
    pub counter: String,
    pub value: u64,
    pub span: Span,
}

/// A violation of a rule, and the lock, counter, cell or group at which it was observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub subject: String,
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {}: {}",
            self.rule, self.subject, self.details
        )
    }
}

/// All calls of a run and their answers.
#[derive(Default)]
pub struct History {
    pub leases: Vec<Lease>,
    pub numbers: Vec<Number>,
    pub puts: Vec<Put>,
    pub gets: Vec<Get>,
    pub watches: Vec<Watch>,
    /// Violations that were detected during the run, such as a missing or unexpected answer.
    pub recorded_violations: Vec<Violation>,
}

impl History {
    pub fn add_violation(&mut self, rule: &'static str, subject: &str, details: String) {
        self.recorded_violations.push(Violation {
            rule,
            subject: subject.to_owned(),
            details,
        });
    }

    /// All violations: those that were recorded during the run, and those that the checks find in the history.
    pub fn violations(&self) -> Vec<Violation> {
        let mut findings = History {
            recorded_violations: self.recorded_violations.clone(),
            ..History::default()
        };
        self.check_locks(&mut findings);
        self.check_numbers(&mut findings);
        let written_values = self.written_values(&mut findings);
        self.check_puts(&written_values, &mut findings);
        self.check_reads(&mut findings);
        self.check_watches(&written_values, &mut findings);
        findings.recorded_violations
    }

    /// Describes all calls for a lock, a counter, or a cell and its group, in the order of the answers.
    pub fn describe(&self, subject: &str) -> String {
        let mut lines: Vec<(Duration, String)> = Vec::new();
        for lease in self.leases.iter().filter(|lease| lease.lock == subject) {
            lines.push((lease.span.received, format!("{lease:?}")));
        }
        for number in self
            .numbers
            .iter()
            .filter(|number| number.counter == subject)
        {
            lines.push((number.span.received, format!("{number:?}")));
        }
        let group = group_of(subject);
        for put in self.puts.iter().filter(|put| group_of(&put.cell) == group) {
            lines.push((put.span.received, format!("{put:?}")));
        }
        for get in self.gets.iter().filter(|get| get.cell == subject) {
            lines.push((get.span.received, format!("{get:?}")));
        }
        for watch in self.watches.iter().filter(|watch| watch.group == group) {
            lines.push((watch.span.received, format!("{watch:?}")));
        }
        lines.sort_by_key(|(received, _)| *received);
        lines.into_iter().map(|(_, line)| line + "\n").collect()
    }

    /// The leases, in the order in which they began. If a caller acquires a lock that it already holds, its earlier
    /// lease ends there.
    fn leases_in_order(&self) -> Vec<Lease> {
        let mut leases = self.leases.clone();
        leases.sort_by_key(|lease| std::cmp::Reverse(lease.span.received));
        let mut next_lease_start: BTreeMap<(String, String), Duration> = BTreeMap::new();
        for lease in &mut leases {
            let caller = (lease.lock.clone(), lease.owner.clone());
            if let Some(next) = next_lease_start.insert(caller, lease.span.received) {
                lease.until = lease.until.min(next);
            }
        }
        leases.reverse();
        leases
    }

    /// Checks the rule ONE: a lock has at most one holder at a time, no two holders have the same fencing token, and a
    /// later holder has a higher token than an earlier one.
    fn check_locks(&self, findings: &mut History) {
        let leases = self.leases_in_order();
        for (index, first) in leases.iter().enumerate() {
            for second in &leases[index + 1..] {
                if first.lock != second.lock {
                    continue;
                }
                let details = || format!("{first:?} and {second:?}");
                let is_later = first.span.received < second.span.sent;
                if first.owner == second.owner {
                    // A holder that acquires its own lock again may get the same fencing token.
                    if is_later && second.fencing_token < first.fencing_token {
                        findings.add_violation(
                            "ONE",
                            &first.lock,
                            format!("a lower fencing token: {}", details()),
                        );
                    }
                    continue;
                }
                if second.span.received < first.until {
                    findings.add_violation(
                        "ONE",
                        &first.lock,
                        format!("two holders: {}", details()),
                    );
                }
                if first.fencing_token == second.fencing_token {
                    findings.add_violation(
                        "ONE",
                        &first.lock,
                        format!("the same fencing token: {}", details()),
                    );
                }
                if is_later && second.fencing_token <= first.fencing_token {
                    findings.add_violation(
                        "ONE",
                        &first.lock,
                        format!("a lower fencing token: {}", details()),
                    );
                }
            }
        }
    }

    /// Checks the rule ORDER for numbers: none is handed out twice, and each is above all numbers that were handed out
    /// before its call was sent.
    fn check_numbers(&self, findings: &mut History) {
        let mut by_counter: BTreeMap<&str, Vec<(u64, Span)>> = BTreeMap::new();
        for Number {
            counter,
            value,
            span,
        } in &self.numbers
        {
            by_counter.entry(counter).or_default().push((*value, *span));
        }
        for (counter, entries) in by_counter {
            check_increasing(counter, entries, findings);
        }
    }

    /// Collects the values that are known to have been written: for each group and revision, the cell and its value.
    /// Reports a revision with two values (ORDER) and a value with two revisions (MIXED).
    fn written_values(&self, findings: &mut History) -> BTreeMap<(String, u64), (String, String)> {
        let acknowledged = self.puts.iter().filter_map(|put| match put.result {
            PutResult::Written(revision) => Some((&put.cell, &put.value, revision)),
            _ => None,
        });
        let watched = self.watches.iter().flat_map(|watch| &watch.events);
        let watched = watched.map(|event| (&event.cell, &event.value, event.revision));
        let read = self.gets.iter().filter_map(|get| {
            let value = get.value.as_ref()?;
            Some((&get.cell, value, get.revision))
        });
        let (mut written_values, mut revisions) = (BTreeMap::new(), BTreeMap::new());
        for (cell, value, revision) in acknowledged.chain(watched).chain(read) {
            let (key, pair) = (
                (group_of(cell).to_owned(), revision),
                (cell.clone(), value.clone()),
            );
            let first = written_values.entry(key).or_insert_with(|| pair.clone());
            if *first != pair {
                let details = format!("revision {revision} belongs to {first:?} and to {pair:?}");
                findings.add_violation("ORDER", cell, details);
            }
            let first = *revisions.entry(pair).or_insert(revision);
            if first != revision {
                let details = format!("{value} has the revisions {first} and {revision}");
                findings.add_violation("MIXED", cell, details);
            }
        }
        written_values
    }

    /// Checks the puts against the written values. MIXED: a value that nobody put, or a 412 with a revision that
    /// the cell never had. REFUSED: a value that was written although its put was rejected. ORDER: a revision that is
    /// not above the required one, or a put that overwrote a later revision than the required one.
    fn check_puts(
        &self,
        written_values: &BTreeMap<(String, u64), (String, String)>,
        findings: &mut History,
    ) {
        let mut by_group: BTreeMap<&str, Vec<(u64, Span)>> = BTreeMap::new();
        let values: BTreeMap<(&str, &str), &Put> = self
            .puts
            .iter()
            .map(|put| ((put.cell.as_str(), put.value.as_str()), put))
            .collect();
        for ((_, revision), (cell, value)) in written_values {
            match values.get(&(cell.as_str(), value.as_str())) {
                None => findings.add_violation(
                    "MIXED",
                    cell,
                    format!("nobody put {value} at {revision}"),
                ),
                Some(put) => {
                    if let PutResult::Changed(_) | PutResult::Rejected = put.result {
                        let details = format!("visible at {revision}, though rejected: {put:?}");
                        findings.add_violation("REFUSED", cell, details);
                    }
                }
            }
        }
        for put in &self.puts {
            let group = group_of(&put.cell);
            let revision_of_cell = |(key, (cell, _)): (&(String, u64), &(String, String))| {
                (*cell == put.cell).then_some(key.1)
            };
            let range = |from: u64, to: u64| {
                let range = (group.to_owned(), from)..(group.to_owned(), to);
                written_values.range(range).filter_map(revision_of_cell)
            };
            match put.result {
                PutResult::Written(revision) => {
                    by_group
                        .entry(group)
                        .or_default()
                        .push((revision, put.span));
                    if put.when >= revision {
                        findings.add_violation(
                            "ORDER",
                            &put.cell,
                            format!("not above `when`: {put:?}"),
                        );
                    } else if let Some(later) = range(put.when + 1, revision).next() {
                        let details = format!("overwrote the later revision {later}: {put:?}");
                        findings.add_violation("ORDER", &put.cell, details);
                    }
                }
                PutResult::Changed(0) | PutResult::Rejected | PutResult::Unknown => {}
                PutResult::Changed(revision) => {
                    if range(revision, revision + 1).next().is_none() {
                        let details = format!("the cell never had this revision: {put:?}");
                        findings.add_violation("MIXED", &put.cell, details);
                    }
                }
            }
        }
        for (group, entries) in by_group {
            check_increasing(group, entries, findings);
        }
    }

    /// Checks the rule STALE: no read returns an older revision than a put that was acknowledged before the read was
    /// sent.
    fn check_reads(&self, findings: &mut History) {
        let mut acknowledged: BTreeMap<&str, Vec<(Duration, u64)>> = BTreeMap::new();
        for put in &self.puts {
            if let PutResult::Written(revision) = put.result {
                let of_cell = acknowledged.entry(&put.cell).or_default();
                of_cell.push((put.span.received, revision));
            }
        }
        for get in &self.gets {
            let puts = acknowledged.get(get.cell.as_str()).into_iter().flatten();
            let before = puts.filter(|(received, _)| *received < get.span.sent);
            let newest = before.map(|(_, revision)| *revision).max();
            if newest.is_some_and(|newest| get.revision < newest) {
                let details = format!("older than {newest:?}: {get:?}");
                findings.add_violation("STALE", &get.cell, details);
            }
        }
    }

    /// Checks the rule ORDER for watches: the revisions of the events increase, lie in the watched range, and include
    /// every written revision of it.
    fn check_watches(
        &self,
        written_values: &BTreeMap<(String, u64), (String, String)>,
        findings: &mut History,
    ) {
        for watch in &self.watches {
            let event_revisions: Vec<u64> =
                watch.events.iter().map(|event| event.revision).collect();
            let is_increasing = event_revisions.windows(2).all(|pair| pair[0] < pair[1]);
            let is_inside = event_revisions
                .iter()
                .all(|revision| (watch.after + 1..=watch.revision).contains(revision));
            if !is_increasing || !is_inside || watch.revision < watch.after {
                findings.add_violation("ORDER", &watch.group, format!("events: {watch:?}"));
            }
            // A watch after revision 0 only requests the current revision.
            if watch.after == 0 || watch.revision <= watch.after {
                continue;
            }
            let event_revisions: BTreeSet<u64> = event_revisions.into_iter().collect();
            let key = |revision| (watch.group.clone(), revision);
            let span = key(watch.after + 1)..=key(watch.revision);
            for ((_, revision), put) in written_values.range(span) {
                if !event_revisions.contains(revision) {
                    let details = format!("skips {put:?} at {revision}: {watch:?}");
                    findings.add_violation("ORDER", &watch.group, details);
                }
            }
        }
    }
}

/// Checks the rule ORDER for numbers or revisions: none is handed out twice, and each is above all that were handed out
/// before its call was sent.
fn check_increasing(subject: &str, mut entries: Vec<(u64, Span)>, findings: &mut History) {
    entries.sort_by_key(|(value, _)| *value);
    for pair in entries.windows(2) {
        if pair[0].0 == pair[1].0 {
            findings.add_violation("ORDER", subject, format!("handed out twice: {pair:?}"));
        }
    }
    // No higher value may have been received before the call for a value was sent.
    let mut earliest_above: Option<(u64, Span)> = None;
    for (value, span) in entries.into_iter().rev() {
        if let Some((above, earlier)) = earliest_above {
            if earlier.received < span.sent {
                let details = format!("{value} ({span:?}) is not above {above} ({earlier:?})");
                findings.add_violation("ORDER", subject, details);
            }
        }
        if earliest_above.is_none_or(|(_, earlier)| span.received < earlier.received) {
            earliest_above = Some((value, span));
        }
    }
}

/// The group of a cell: its name up to and including the first dot.
pub fn group_of(cell: &str) -> &str {
    cell.find('.').map_or(cell, |dot| &cell[..=dot])
}
