//! Checks the results of operations on locks, counters and cells against invariants. Each violation begins with the
//! name of its invariant: ONE (a lock has one holder at a time, and fencing tokens rise), ORDER (numbers and revisions
//! rise, and none is given twice), STALE (a result is not older than what was known when the operation was sent), MIXED
//! (cells show only values that were put to them, each with one revision), REFUSED (a rejected put is never shown) and
//! LOST (acknowledged changes remain).

use super::{group, OperationResult};
use emberpin_coordination::{CellEvent, FencingToken, Operation, Outcome, Revision};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;

/// How many events a trace shows.
const TRACE_EVENTS: usize = 400;

/// The state that was known when an operation was sent: lower bounds of its result.
#[derive(Clone, Copy, Debug, Default)]
pub struct LowerBounds {
    /// The highest fencing token of the lock that another caller received.
    other_fencing_token: FencingToken,
    /// The highest fencing token of the lock that this caller received.
    own_fencing_token: FencingToken,
    /// The highest number of the counter.
    number: u64,
    /// The highest revision of the cell.
    cell: Revision,
    /// The highest revision of the group.
    group: Revision,
}

/// A put, identified by its unique value.
#[derive(Debug)]
struct Put {
    cell: String,
    expected: Option<Revision>,
    /// The highest known revision of its group when it was first sent.
    group_lower_bound: Revision,
    /// Whether the result of some attempt is unknown.
    is_unknown: bool,
    /// Whether it was rejected because the cell had another revision than expected (412).
    is_rejected: bool,
    /// Whether the last attempt was answered by 503, and no attempt has an unknown result.
    is_unavailable: bool,
    revision: Option<Revision>,
}

#[derive(Debug, Default)]
pub struct InvariantChecker {
    violation: Option<String>,
    /// Until when an owner considers itself the holder of a lock, by lock and owner.
    leases: BTreeMap<(String, String), u64>,
    /// The owner that received each fencing token, by lock.
    fencing_tokens: BTreeMap<String, BTreeMap<FencingToken, String>>,
    numbers: BTreeSet<u64>,
    puts: BTreeMap<String, Put>,
    /// The cell and the value that were shown at a revision, by group and revision.
    shown: BTreeMap<(String, Revision), (String, String)>,
    /// The highest revision that was shown of each cell.
    cells: BTreeMap<String, Revision>,
    /// The cells and revisions that were reported in rejections (412).
    reported: Vec<(String, Revision)>,
    /// Whether events are kept for a trace.
    traces: bool,
    trace: VecDeque<String>,
    done_count: u64,
}

impl InvariantChecker {
    pub fn new() -> InvariantChecker {
        InvariantChecker {
            traces: std::env::var_os("EMBERPIN_TRACE").is_some(),
            ..InvariantChecker::default()
        }
    }

    pub fn note(&mut self, now: u64, event: impl FnOnce() -> String) {
        if self.traces {
            if self.trace.len() == TRACE_EVENTS {
                self.trace.pop_front();
            }
            self.trace.push_back(format!("{now} {}", event()));
        }
    }

    pub fn trace(&self) -> String {
        let mut text = String::new();
        for line in &self.trace {
            let _ = writeln!(text, "{line}");
        }
        text
    }

    pub fn summary(&self) -> String {
        let written = self.puts.values().filter(|put| put.revision.is_some());
        let rejected = self.puts.values().filter(|put| put.is_rejected);
        let unavailable = self.puts.values().filter(|put| put.is_unavailable);
        let fencing_tokens: Vec<usize> = self.fencing_tokens.values().map(BTreeMap::len).collect();
        format!(
            "{} done; puts: {} written, {} rejected, {} unavailable, of {}; fencing tokens {fencing_tokens:?}, numbers {}",
            self.done_count,
            written.count(),
            rejected.count(),
            unavailable.count(),
            self.puts.len(),
            self.numbers.len()
        )
    }

    pub fn done_count(&self) -> u64 {
        self.done_count
    }

    pub fn take_violation(&mut self) -> Option<String> {
        self.violation.take()
    }

    fn require(&mut self, condition: bool, violation: impl FnOnce() -> String) {
        if !condition {
            self.violation.get_or_insert_with(violation);
        }
    }

    /// The lower bounds of the result of an operation that is sent now.
    pub fn lower_bounds(&self, operation: &Operation, owner: &str) -> LowerBounds {
        let mut lower_bounds = LowerBounds::default();
        match operation {
            Operation::AcquireLock { lock, .. } => {
                for (fence, holder) in self.fencing_tokens.get(lock).into_iter().flatten() {
                    if holder == owner {
                        lower_bounds.own_fencing_token = *fence;
                    } else {
                        lower_bounds.other_fencing_token = *fence;
                    }
                }
            }
            Operation::NextNumber { .. } => {
                lower_bounds.number = self.numbers.last().copied().unwrap_or_default();
            }
            Operation::PutCell { cell, .. } | Operation::GetCell { cell } => {
                lower_bounds.cell = self.cells.get(cell).copied().unwrap_or_default();
                lower_bounds.group = self.last_revision(&group(cell));
            }
            Operation::WatchGroup { group, .. } => lower_bounds.group = self.last_revision(group),
            Operation::RenewLock { .. }
            | Operation::ReleaseLock { .. }
            | Operation::ListLocks { .. } => {}
        }
        lower_bounds
    }

    fn last_revision(&self, group: &str) -> Revision {
        let shown = self.shown.keys().rev();
        let mut of_group = shown.filter(|(shown, _)| shown == group);
        of_group.next().map(|key| key.1).unwrap_or_default()
    }

    pub fn on_sent(&mut self, operation: &Operation, lower_bounds: &LowerBounds) {
        if let Operation::PutCell {
            cell,
            value,
            expected,
        } = operation
        {
            let put = self.puts.entry(value.clone()).or_insert_with(|| Put {
                cell: cell.clone(),
                expected: *expected,
                group_lower_bound: lower_bounds.group,
                is_unknown: false,
                is_rejected: false,
                is_unavailable: false,
                revision: None,
            });
            put.is_unavailable = false;
        }
    }

    pub fn on_release_sent(&mut self, lock: &str, owner: &str) {
        self.leases.remove(&(lock.into(), owner.into()));
    }

    pub fn on_lease_abandoned(&mut self, lock: &str, owner: &str) {
        self.on_release_sent(lock, owner);
    }

    pub fn on_crash(&mut self, owner: &str) {
        self.leases.retain(|(_, holder), _| holder != owner);
    }

    /// From now on, a caller considers itself the holder of a lock until `until`.
    pub fn on_lease(&mut self, lock: &str, owner: &str, now: u64, until: u64) {
        let key = (lock.to_owned(), owner.to_owned());
        if until <= now {
            self.leases.remove(&key);
            return;
        }
        self.leases.insert(key, until);
        let others = self.leases.iter();
        let other = others
            .filter(|((held, holder), until)| held == lock && holder != owner && now < **until)
            .map(|((_, holder), until)| (holder.clone(), *until))
            .next();
        if let Some((holder, other_until)) = other {
            self.require(false, || {
                format!("ONE: {lock} is held by {owner} until {until} and by {holder} until {other_until}")
            });
        }
    }

    pub fn on_result(
        &mut self,
        operation: &Operation,
        lower_bounds: &LowerBounds,
        result: &OperationResult,
    ) {
        let outcome = match result {
            OperationResult::Done(outcome) => outcome,
            OperationResult::Unavailable | OperationResult::Unknown => {
                return self.on_unresolved(operation, result);
            }
        };
        self.done_count += 1;
        match (operation, outcome) {
            (Operation::AcquireLock { lock, owner, .. }, Outcome::LockGranted { fence }) => {
                self.on_fencing_token(lock, owner, *fence, lower_bounds);
            }
            (Operation::AcquireLock { .. }, Outcome::LockDenied)
            | (Operation::RenewLock { .. }, Outcome::LockRenewed | Outcome::LockDenied)
            | (Operation::ReleaseLock { .. }, Outcome::LockReleased) => {}
            (Operation::NextNumber { .. }, Outcome::Number { value }) => {
                let is_new = self.numbers.insert(*value);
                self.require(is_new, || format!("ORDER: number {value} was given twice"));
                self.require(*value > lower_bounds.number, || {
                    format!("ORDER: number {value} is not above {}", lower_bounds.number)
                });
            }
            (Operation::PutCell { cell, value, .. }, Outcome::CellWritten { revision }) => {
                self.on_written(cell, value, *revision);
            }
            (
                Operation::PutCell {
                    cell,
                    value,
                    expected,
                },
                Outcome::CellChanged { revision },
            ) => {
                self.require(
                    expected.is_some_and(|expected| expected != *revision),
                    || {
                        format!(
                            "MIXED: {value} was rejected at {revision:?}, and expects {expected:?}"
                        )
                    },
                );
                self.require(*revision >= lower_bounds.cell, || {
                    format!("STALE: a put was rejected at {revision:?} of {cell}, known: {lower_bounds:?}")
                });
                if *revision != Revision::NONE {
                    self.reported.push((cell.clone(), *revision));
                }
                if let Some(put) = self.puts.get_mut(value) {
                    put.is_rejected = true;
                }
                self.check_rejected(value);
            }
            (Operation::GetCell { cell }, Outcome::NoCell) => {
                self.require(lower_bounds.cell == Revision::NONE, || {
                    format!("STALE: {cell} does not exist, known: {lower_bounds:?}")
                });
            }
            (Operation::GetCell { cell }, Outcome::Cell { value, revision }) => {
                self.show(cell, value, *revision);
                self.require(*revision >= lower_bounds.cell, || {
                    format!("STALE: {cell} has {revision:?}, known: {lower_bounds:?}")
                });
            }
            (Operation::WatchGroup { group, after, .. }, Outcome::Events { events, revision }) => {
                self.on_events(group, *after, events, *revision, lower_bounds);
            }
            (Operation::WatchGroup { .. }, Outcome::EventsDropped) => {
                self.require(false, || "LOST: events were dropped".into());
            }
            _ => self.require(false, || format!("{operation:?} was answered {outcome:?}")),
        }
    }

    /// Records that a put has no outcome: it was not carried out, or its effect is unknown.
    fn on_unresolved(&mut self, operation: &Operation, result: &OperationResult) {
        let Operation::PutCell { value, .. } = operation else {
            return;
        };
        if let Some(put) = self.puts.get_mut(value) {
            put.is_unknown |= *result == OperationResult::Unknown;
            put.is_unavailable = !put.is_unknown;
        }
        self.check_rejected(value);
    }

    fn on_fencing_token(
        &mut self,
        lock: &str,
        owner: &str,
        fence: FencingToken,
        lower_bounds: &LowerBounds,
    ) {
        self.require(fence > lower_bounds.other_fencing_token, || {
            format!("ONE: {owner} got {fence:?} of {lock}, known: {lower_bounds:?}")
        });
        self.require(fence >= lower_bounds.own_fencing_token, || {
            format!("ONE: {owner} got {fence:?} of {lock} after a higher one: {lower_bounds:?}")
        });
        let fencing_tokens = self.fencing_tokens.entry(lock.into()).or_default();
        let holder = fencing_tokens
            .entry(fence)
            .or_insert_with(|| owner.into())
            .clone();
        self.require(holder == owner, || {
            format!("ONE: {owner} and {holder} got {fence:?} of {lock}")
        });
    }

    fn on_written(&mut self, cell: &str, value: &str, revision: Revision) {
        self.show(cell, value, revision);
        let group_lower_bound = self.puts[value].group_lower_bound;
        self.require(revision > group_lower_bound, || {
            format!("ORDER: {value} got {revision:?}, which is not above {group_lower_bound:?}")
        });
    }

    /// Records that a cell was shown with this value at this revision.
    fn show(&mut self, cell: &str, value: &str, revision: Revision) {
        let key = (group(cell), revision);
        let new = (cell.to_owned(), value.to_owned());
        let shown = self.shown.entry(key).or_insert_with(|| new.clone()).clone();
        self.require(shown == new, || {
            format!("ORDER: {revision:?} is of {shown:?} and of {new:?}")
        });
        let highest_shown = self.cells.entry(cell.into()).or_default();
        *highest_shown = revision.max(*highest_shown);
        let Some(put) = self.puts.get_mut(value).filter(|put| put.cell == cell) else {
            return self.require(false, || format!("MIXED: nobody put {value} to {cell}"));
        };
        let first = *put.revision.get_or_insert(revision);
        self.require(first == revision, || {
            format!("MIXED: {value} has {first:?} and {revision:?}")
        });
        self.check_rejected(value);
    }

    /// Checks that a rejected put is never shown.
    fn check_rejected(&mut self, value: &str) {
        let Some(put) = self.puts.get(value) else {
            return;
        };
        let must_not_be_shown = put.is_rejected || put.is_unavailable;
        if must_not_be_shown && put.revision.is_some() {
            let violation = format!("REFUSED: {value} is shown: {put:?}");
            self.require(false, || violation);
        }
    }

    fn on_events(
        &mut self,
        group: &str,
        after: Revision,
        events: &[CellEvent],
        revision: Revision,
        lower_bounds: &LowerBounds,
    ) {
        if after == Revision::NONE {
            self.require(events.is_empty() && revision >= lower_bounds.group, || {
                format!("STALE: {group} has {revision:?}, known: {lower_bounds:?}")
            });
            return;
        }
        let mut last = after;
        for event in events {
            self.show(&event.name, &event.value, event.revision);
            self.require(event.revision == last.next(), || {
                format!("ORDER: {:?} follows {last:?} in a watch", event.revision)
            });
            last = event.revision;
        }
        self.require(revision == last, || {
            format!("ORDER: a watch ends with {last:?}, and says {revision:?}")
        });
    }

    /// Checks at the end, when the whole history was shown, that no put was applied although its cell had a later
    /// revision than expected, and that rejections (412) reported revisions of their cells.
    pub fn check_all(&mut self) {
        let mut violations = Vec::new();
        for (value, put) in &self.puts {
            let (Some(expected), Some(revision)) = (put.expected, put.revision) else {
                continue;
            };
            let group = group(&put.cell);
            let between_revisions = self
                .shown
                .range((group.clone(), expected.next())..(group, revision));
            let mut of_cell = between_revisions.filter(|(_, (cell, _))| *cell == put.cell);
            if let Some(((_, passed_revision), _)) = of_cell.next() {
                violations.push(format!(
                    "ORDER: {value} expected {expected:?} and has {revision:?}, above {passed_revision:?}"
                ));
            }
        }
        for (cell, revision) in &self.reported {
            let shown = self.shown.get(&(group(cell), *revision));
            // Watches show all revisions of a group but the first.
            let is_known = shown.is_some_and(|(shown, _)| shown == cell)
                || (*revision == Revision(1) && shown.is_none());
            if !is_known {
                violations.push(format!(
                    "MIXED: a 412 named {revision:?} of {cell}: {shown:?}"
                ));
            }
        }
        for violation in violations {
            self.require(false, || violation);
        }
    }
}
