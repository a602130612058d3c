//! What callers were told of locks, counters and cells, and the rules that it must not break: ONE, ORDER, STALE, MIXED,
//! REFUSED and LOST.

use super::{group, OperationResult};
use emberpin_coordination::{CellEvent, FencingToken, Operation, Outcome, Revision};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;

/// How many events a trace shows.
const TRACE_EVENTS: usize = 400;

/// What was known when a call was sent, so that its answer must not fall behind it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Floors {
    /// The highest fence that another caller got, of the lock.
    other_fence: FencingToken,
    /// The highest fence that this caller got, of the lock.
    own_fence: FencingToken,
    /// The highest number of the counter.
    number: u64,
    /// The highest revision of the cell.
    cell: Revision,
    /// The highest revision of the group.
    group: Revision,
}

/// A put, whose value is its own.
#[derive(Debug)]
struct Put {
    cell: String,
    expected: Option<Revision>,
    /// The highest revision of its group when it was sent first.
    group_floor: Revision,
    /// Some call of it was not answered clearly, or is not answered yet.
    is_unclear: bool,
    /// Answered by 412.
    is_changed: bool,
    /// The last call of it was answered by 503, and no other one was unclear.
    is_unavailable: bool,
    revision: Option<Revision>,
}

#[derive(Debug, Default)]
pub struct Facts {
    violation: Option<String>,
    /// By lock and owner: until when the owner counts itself holder.
    leases: BTreeMap<(String, String), u64>,
    /// By lock: who got which fence.
    fences: BTreeMap<String, BTreeMap<FencingToken, String>>,
    numbers: BTreeSet<u64>,
    puts: BTreeMap<String, Put>,
    /// By group and revision: the cell and its value.
    shown: BTreeMap<(String, Revision), (String, String)>,
    /// The highest revision that was shown of each cell.
    cells: BTreeMap<String, Revision>,
    /// Cells and revisions that a 412 named.
    named: Vec<(String, Revision)>,
    traces: bool,
    trace: VecDeque<String>,
    done_count: u64,
}

impl Facts {
    pub fn new() -> Facts {
        Facts {
            traces: std::env::var_os("EMBERPIN_TRACE").is_some(),
            ..Facts::default()
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
        let refused = self.puts.values().filter(|put| put.is_changed);
        let unavailable = self.puts.values().filter(|put| put.is_unavailable);
        let fences: Vec<usize> = self.fences.values().map(BTreeMap::len).collect();
        format!(
            "{} done; puts: {} written, {} refused, {} unavailable, of {}; fences {fences:?}, numbers {}",
            self.done_count,
            written.count(),
            refused.count(),
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

    pub fn floors(&self, operation: &Operation, owner: &str) -> Floors {
        let mut floors = Floors::default();
        match operation {
            Operation::AcquireLock { lock, .. } => {
                for (fence, holder) in self.fences.get(lock).into_iter().flatten() {
                    if holder == owner {
                        floors.own_fence = *fence;
                    } else {
                        floors.other_fence = *fence;
                    }
                }
            }
            Operation::NextNumber { .. } => {
                floors.number = self.numbers.last().copied().unwrap_or_default();
            }
            Operation::PutCell { cell, .. } | Operation::GetCell { cell } => {
                floors.cell = self.cells.get(cell).copied().unwrap_or_default();
                floors.group = self.last_revision(&group(cell));
            }
            Operation::WatchGroup { group, .. } => floors.group = self.last_revision(group),
            Operation::RenewLock { .. }
            | Operation::ReleaseLock { .. }
            | Operation::ListLocks { .. } => {}
        }
        floors
    }

    fn last_revision(&self, group: &str) -> Revision {
        let shown = self.shown.keys().rev();
        let mut of_group = shown.filter(|(shown, _)| shown == group);
        of_group.next().map(|key| key.1).unwrap_or_default()
    }

    pub fn on_sent(&mut self, operation: &Operation, floors: &Floors) {
        if let Operation::PutCell {
            cell,
            value,
            expected,
        } = operation
        {
            let put = self.puts.entry(value.clone()).or_insert_with(|| Put {
                cell: cell.clone(),
                expected: *expected,
                group_floor: floors.group,
                is_unclear: false,
                is_changed: false,
                is_unavailable: false,
                revision: None,
            });
            put.is_unavailable = false;
        }
    }

    pub fn on_finish_sent(&mut self, lock: &str, owner: &str) {
        self.leases.remove(&(lock.into(), owner.into()));
    }

    pub fn on_given_up(&mut self, lock: &str, owner: &str) {
        self.on_finish_sent(lock, owner);
    }

    pub fn on_death(&mut self, owner: &str) {
        self.leases.retain(|(_, holder), _| holder != owner);
    }

    /// A caller counts itself holder from now on.
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

    pub fn on_result(&mut self, operation: &Operation, floors: &Floors, result: &OperationResult) {
        let outcome = match result {
            OperationResult::Done(outcome) => outcome,
            OperationResult::Unavailable | OperationResult::Unknown => {
                return self.on_no_outcome(operation, result);
            }
        };
        self.done_count += 1;
        match (operation, outcome) {
            (Operation::AcquireLock { lock, owner, .. }, Outcome::LockGranted { fence }) => {
                self.on_fence(lock, owner, *fence, floors);
            }
            (Operation::AcquireLock { .. }, Outcome::LockDenied)
            | (Operation::RenewLock { .. }, Outcome::LockRenewed | Outcome::LockDenied)
            | (Operation::ReleaseLock { .. }, Outcome::LockReleased) => {}
            (Operation::NextNumber { .. }, Outcome::Number { value }) => {
                let is_new = self.numbers.insert(*value);
                self.require(is_new, || format!("ORDER: number {value} was given twice"));
                self.require(*value > floors.number, || {
                    format!("ORDER: number {value} is not above {}", floors.number)
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
                            "MIXED: {value} was refused at {revision:?}, and expects {expected:?}"
                        )
                    },
                );
                self.require(*revision >= floors.cell, || {
                    format!("STALE: a put was refused at {revision:?} of {cell}, known: {floors:?}")
                });
                if *revision != Revision::NONE {
                    self.named.push((cell.clone(), *revision));
                }
                if let Some(put) = self.puts.get_mut(value) {
                    put.is_changed = true;
                }
                self.check_refused(value);
            }
            (Operation::GetCell { cell }, Outcome::NoCell) => {
                self.require(floors.cell == Revision::NONE, || {
                    format!("STALE: {cell} does not exist, known: {floors:?}")
                });
            }
            (Operation::GetCell { cell }, Outcome::Cell { value, revision }) => {
                self.show(cell, value, *revision);
                self.require(*revision >= floors.cell, || {
                    format!("STALE: {cell} has {revision:?}, known: {floors:?}")
                });
            }
            (Operation::WatchGroup { group, after, .. }, Outcome::Events { events, revision }) => {
                self.on_events(group, *after, events, *revision, floors);
            }
            (Operation::WatchGroup { .. }, Outcome::EventsDropped) => {
                self.require(false, || "LOST: events were dropped".into());
            }
            _ => self.require(false, || format!("{operation:?} was answered {outcome:?}")),
        }
    }

    fn on_no_outcome(&mut self, operation: &Operation, result: &OperationResult) {
        let Operation::PutCell { value, .. } = operation else {
            return;
        };
        if let Some(put) = self.puts.get_mut(value) {
            put.is_unclear |= *result == OperationResult::Unknown;
            put.is_unavailable = !put.is_unclear;
        }
        self.check_refused(value);
    }

    fn on_fence(&mut self, lock: &str, owner: &str, fence: FencingToken, floors: &Floors) {
        self.require(fence > floors.other_fence, || {
            format!("ONE: {owner} got {fence:?} of {lock}, known: {floors:?}")
        });
        self.require(fence >= floors.own_fence, || {
            format!("ONE: {owner} got {fence:?} of {lock} after a higher one: {floors:?}")
        });
        let fences = self.fences.entry(lock.into()).or_default();
        let holder = fences.entry(fence).or_insert_with(|| owner.into()).clone();
        self.require(holder == owner, || {
            format!("ONE: {owner} and {holder} got {fence:?} of {lock}")
        });
    }

    fn on_written(&mut self, cell: &str, value: &str, revision: Revision) {
        self.show(cell, value, revision);
        let group_floor = self.puts[value].group_floor;
        self.require(revision > group_floor, || {
            format!("ORDER: {value} got {revision:?}, which is not above {group_floor:?}")
        });
    }

    /// A cell was shown to have this value at this revision.
    fn show(&mut self, cell: &str, value: &str, revision: Revision) {
        let key = (group(cell), revision);
        let new = (cell.to_owned(), value.to_owned());
        let shown = self.shown.entry(key).or_insert_with(|| new.clone()).clone();
        self.require(shown == new, || {
            format!("ORDER: {revision:?} is of {shown:?} and of {new:?}")
        });
        let highest = self.cells.entry(cell.into()).or_default();
        *highest = revision.max(*highest);
        let Some(put) = self.puts.get_mut(value).filter(|put| put.cell == cell) else {
            return self.require(false, || format!("MIXED: nobody put {value} to {cell}"));
        };
        let first = *put.revision.get_or_insert(revision);
        self.require(first == revision, || {
            format!("MIXED: {value} has {first:?} and {revision:?}")
        });
        self.check_refused(value);
    }

    /// A put that was turned away is never shown.
    fn check_refused(&mut self, value: &str) {
        let Some(put) = self.puts.get(value) else {
            return;
        };
        let is_refused = put.is_changed || put.is_unavailable;
        if is_refused && put.revision.is_some() {
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
        floors: &Floors,
    ) {
        if after == Revision::NONE {
            self.require(events.is_empty() && revision >= floors.group, || {
                format!("STALE: {group} has {revision:?}, known: {floors:?}")
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

    /// At the end, when the whole history was shown: no put passed over a later revision than it expected, and 412s named
    /// revisions of their cells.
    pub fn check_all(&mut self) {
        let mut violations = Vec::new();
        for (value, put) in &self.puts {
            let (Some(expected), Some(revision)) = (put.expected, put.revision) else {
                continue;
            };
            let group = group(&put.cell);
            let between = self
                .shown
                .range((group.clone(), expected.next())..(group, revision));
            let mut of_cell = between.filter(|(_, (cell, _))| *cell == put.cell);
            if let Some(((_, passed), _)) = of_cell.next() {
                violations.push(format!(
                    "ORDER: {value} expected {expected:?} and has {revision:?}, above {passed:?}"
                ));
            }
        }
        for (cell, revision) in &self.named {
            let shown = self.shown.get(&(group(cell), *revision));
            // Watches show everything but the first revision of a group.
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
