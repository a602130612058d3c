//! Checks that the histories of operators' calls are linearizable.
//!
//! The sequential specification is a map from item names to a version and a content, which is set or dropped:
//!
//! - a patch takes effect atomically: for each name the higher version wins, a lower or equal one changes nothing;
//! - a patch is confirmed only if none of its versions already has another content;
//! - a patch is rejected only if it changes nothing, and never after it was accepted;
//! - a patch with an unknown outcome takes effect at any time after it was sent, or never;
//! - a read shows all items that are set.
//!
//! A patch that is retried until it is confirmed is one operation from its first attempt to that response, because
//! repeating an accepted patch changes nothing. A rejection is an operation of the last attempt alone, since an earlier
//! attempt may still be in flight.
//!
//! The search for an order of operations is the algorithm of Wing and Gong, with Lowe's cache of failed states. Each
//! name is checked on its own, since a linearizable history restricted to one name is linearizable too, and short
//! histories are also checked as a whole. Not covered are: the atomicity of patches with several items in long
//! histories, evacuations (no read shows them), and names with more than [`MAX_OPERATIONS`] operations, which are
//! counted as unchecked.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::time::Duration;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;

/// Maximum number of operations on one name that are checked: the search takes exponential time in the worst case.
pub const MAX_OPERATIONS: usize = 600;
/// Maximum number of calls in a history that is also checked as a whole.
pub const MAX_CALLS_CHECKED_TOGETHER: usize = 40;

/// The content of an item; `None` if it is dropped.
pub type Content = Option<String>;

/// One version of an item and its content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionedItem {
    /// Kind and name of the item.
    pub name: String,
    /// The version that the operator gave it.
    pub version: u64,
    /// The content of this version.
    pub content: Content,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A patch was acknowledged.
    Confirmed,
    /// A patch was rejected.
    Rejected {
        /// When its last attempt was sent, on the same clock as the call's times.
        last_attempt_at: Duration,
        /// Whether it was the only attempt, so that none before it can have been accepted.
        is_only_attempt: bool,
    },
    /// A patch has no conclusive response: it may or may not have been accepted.
    Unknown,
    /// A read showed these items.
    Read(Vec<VersionedItem>),
}

/// One call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// When it was first sent, since the start of the run.
    pub sent_at: Duration,
    /// When its response arrived; unused if it has none.
    pub ended_at: Duration,
    /// The items of a patch; empty for a read.
    pub items: Vec<VersionedItem>,
    /// How it ended.
    pub outcome: Outcome,
}

/// One operation of the specification. Patches with equal items have the same `patch` number.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Operation {
    Accept {
        patch: usize,
        items: Vec<VersionedItem>,
        is_confirmed: bool,
    },
    Reject {
        patch: usize,
    },
    Read {
        /// The version and content of each item that the read shows.
        shown: BTreeMap<String, (u64, String)>,
        /// All checked names; a name that is not in `shown` must not be set.
        names: BTreeSet<String>,
    },
}

/// The state of one item name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Register {
    version: u64,
    content: Content,
    /// The content of each accepted version, including versions below the current one.
    contents: BTreeMap<u64, Content>,
}

/// The state of the sequential specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    registers: BTreeMap<String, Register>,
    accepted_patches: BTreeSet<usize>,
}

impl State {
    /// Whether another content was accepted for the item's version.
    fn conflicts_with(&self, item: &VersionedItem) -> bool {
        let register = self.registers.get(&item.name);
        let known = register.and_then(|register| register.contents.get(&item.version));
        known.is_some_and(|known| *known != item.content)
    }

    fn accept(&mut self, item: &VersionedItem) {
        let register = self.registers.entry(item.name.clone()).or_default();
        register.contents.insert(item.version, item.content.clone());
        if item.version > register.version {
            register.version = item.version;
            register.content.clone_from(&item.content);
        }
    }

    /// The version and content that a read shows for a name; `None` if it is not set.
    fn shown(&self, name: &str) -> Option<(u64, String)> {
        let register = self.registers.get(name)?;
        let content = register.content.clone()?;
        Some((register.version, content))
    }
}

/// The sequential specification of the configuration, see the module's documentation.
struct ConfigurationSpecification;

impl Specification for ConfigurationSpecification {
    type State = State;
    type Operation = Operation;

    fn init() -> State {
        State::default()
    }

    fn apply(operation: &Operation, state: &State) -> (bool, State) {
        let mut next = state.clone();
        let is_valid = match operation {
            Operation::Accept {
                patch,
                items,
                is_confirmed,
            } => {
                let has_conflict = items.iter().any(|item| state.conflicts_with(item));
                if !has_conflict {
                    items.iter().for_each(|item| next.accept(item));
                    next.accepted_patches.insert(*patch);
                }
                !(has_conflict && *is_confirmed)
            }
            Operation::Reject { patch } => !state.accepted_patches.contains(patch),
            Operation::Read { shown, names } => names
                .iter()
                .all(|name| state.shown(name).as_ref() == shown.get(name)),
        };
        (is_valid, next)
    }
}

/// An operation, and the interval in which it takes effect.
struct TimedOperation {
    begin: Duration,
    end: Duration,
    operation: Operation,
}

/// A history for which there is no order of operations.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct NotLinearizable {
    /// The names that the history concerns.
    pub names: BTreeSet<String>,
    /// Its calls, one line of text each.
    pub calls: Vec<String>,
}

impl Display for NotLinearizable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.names.iter().map(String::as_str).collect();
        write!(
            f,
            "not linearizable: {}\n  {}",
            names.join(", "),
            self.calls.join("\n  ")
        )
    }
}

/// How many operations a check covered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckSummary {
    /// Operations in histories that were checked.
    pub operations: usize,
    /// Operations in histories that were too long to be checked.
    pub unchecked: usize,
}

/// Checks that the history of these calls is linearizable.
///
/// # Errors
///
/// [`NotLinearizable`] for the first history that no order of its operations explains.
pub fn check(calls: &[Call]) -> Result<CheckSummary, NotLinearizable> {
    let mut checked = CheckSummary::default();
    let names: BTreeSet<String> = calls
        .iter()
        .flat_map(|call| &call.items)
        .map(|item| item.name.clone())
        .collect();
    for name in &names {
        let name = BTreeSet::from([name.clone()]);
        check_names(calls, &name, MAX_OPERATIONS, &mut checked)?;
    }
    if names.len() > 1 && calls.len() <= MAX_CALLS_CHECKED_TOGETHER {
        // The factor is 2 because a call that is rejected after an unknown attempt counts as two operations.
        check_names(calls, &names, MAX_CALLS_CHECKED_TOGETHER * 2, &mut checked)?;
    }
    Ok(checked)
}

fn check_names(
    calls: &[Call],
    names: &BTreeSet<String>,
    max_operations: usize,
    checked: &mut CheckSummary,
) -> Result<(), NotLinearizable> {
    let operations = operations_on(calls, names);
    let count = operations.len();
    if count == 0 {
        return Ok(());
    }
    if count > max_operations {
        checked.unchecked += count;
        return Ok(());
    }
    checked.operations += count;
    if WGLChecker::<ConfigurationSpecification>::is_linearizable(to_history(operations)) {
        return Ok(());
    }
    let concerns_names = |call: &&Call| {
        let is_read = matches!(call.outcome, Outcome::Read(_));
        is_read || call.items.iter().any(|item| names.contains(&item.name))
    };
    Err(NotLinearizable {
        names: names.clone(),
        calls: calls
            .iter()
            .filter(concerns_names)
            .map(|call| describe_call(call, names))
            .collect(),
    })
}

/// The operations of calls on these names.
fn operations_on(calls: &[Call], names: &BTreeSet<String>) -> Vec<TimedOperation> {
    let mut builder = OperationBuilder {
        names,
        shown_items: shown_items(calls),
        patches: BTreeMap::new(),
        unknown_patches: BTreeSet::new(),
        operations: Vec::new(),
    };
    for call in calls {
        match &call.outcome {
            Outcome::Read(items) => builder.add_read(call, items),
            _ => builder.add_patch(call),
        }
    }
    builder.operations
}

/// Converts calls to the operations on some names.
struct OperationBuilder<'a> {
    names: &'a BTreeSet<String>,
    shown_items: BTreeSet<&'a VersionedItem>,
    /// The number of each patch, by its items.
    patches: BTreeMap<&'a [VersionedItem], usize>,
    /// The patches that already have an operation with an unknown outcome. One such operation, from the first attempt
    /// on, covers all further attempts of the patch.
    unknown_patches: BTreeSet<usize>,
    operations: Vec<TimedOperation>,
}

impl<'a> OperationBuilder<'a> {
    fn add(&mut self, begin: Duration, end: Duration, operation: Operation) {
        self.operations.push(TimedOperation {
            begin,
            end,
            operation,
        });
    }

    fn add_read(&mut self, call: &Call, items: &[VersionedItem]) {
        let shown = items
            .iter()
            .filter(|item| self.names.contains(&item.name))
            .filter_map(|item| Some((item.name.clone(), (item.version, item.content.clone()?))))
            .collect();
        let names = self.names.clone();
        self.add(
            call.sent_at,
            call.ended_at,
            Operation::Read { shown, names },
        );
    }

    fn add_patch(&mut self, call: &'a Call) {
        let next_number = self.patches.len();
        let patch = *self.patches.entry(&call.items).or_insert(next_number);
        let items: Vec<VersionedItem> = call
            .items
            .iter()
            .filter(|item| self.names.contains(&item.name))
            .cloned()
            .collect();
        if items.is_empty() {
            return;
        }
        let accept = |is_confirmed| Operation::Accept {
            patch,
            items: items.clone(),
            is_confirmed,
        };
        if call.outcome == Outcome::Confirmed {
            return self.add(call.sent_at, call.ended_at, accept(true));
        }
        let mut has_unknown_attempt = true;
        if let Outcome::Rejected {
            last_attempt_at,
            is_only_attempt,
        } = call.outcome
        {
            has_unknown_attempt = !is_only_attempt;
            self.add(last_attempt_at, call.ended_at, Operation::Reject { patch });
        }
        if has_unknown_attempt
            && self.can_explain_read(&items)
            && self.unknown_patches.insert(patch)
        {
            self.add(call.sent_at, Duration::MAX, accept(false));
        }
    }

    /// Whether a patch with an unknown outcome can explain a read: a read shows one of its items, or the patch drops
    /// one. Other patches are left out of the search.
    fn can_explain_read(&self, items: &[VersionedItem]) -> bool {
        items
            .iter()
            .any(|item| item.content.is_none() || self.shown_items.contains(item))
    }
}

/// The items that at least one read showed.
fn shown_items(calls: &[Call]) -> BTreeSet<&VersionedItem> {
    let mut shown = BTreeSet::new();
    for call in calls {
        if let Outcome::Read(items) = &call.outcome {
            shown.extend(items);
        }
    }
    shown
}

/// Orders calls and responses by time. An operation that begins when another one ends counts as concurrent with it.
fn to_history(operations: Vec<TimedOperation>) -> History<Operation> {
    let mut actions = Vec::new();
    for (process, timed) in operations.into_iter().enumerate() {
        let call = Action::Call(timed.operation.clone());
        actions.push((timed.begin, false, process, call));
        let response = Action::Response(timed.operation);
        actions.push((timed.end, true, process, response));
    }
    actions.sort_by_key(|(at, is_response, process, _)| (*at, *is_response, *process));
    History::from_actions(
        actions
            .into_iter()
            .map(|(_, _, process, action)| (process, action))
            .collect(),
    )
}

/// Describes a call in one line of text, limited to the items with these names.
fn describe_call(call: &Call, names: &BTreeSet<String>) -> String {
    let describe_item = |item: &VersionedItem| {
        let content = item.content.as_deref().unwrap_or("dropped");
        format!("{} {} {content}", item.name, item.version)
    };
    let describe_items = |items: &[VersionedItem]| -> String {
        let items: Vec<String> = items
            .iter()
            .filter(|item| names.contains(&item.name))
            .map(describe_item)
            .collect();
        items.join("; ")
    };
    let (sent, ended) = (call.sent_at.as_millis(), call.ended_at.as_millis());
    match &call.outcome {
        Outcome::Read(items) => format!("{sent}..{ended} shown: {}", describe_items(items)),
        Outcome::Unknown => format!("{sent}.. unknown: {}", describe_items(&call.items)),
        Outcome::Confirmed => {
            format!("{sent}..{ended} Confirmed: {}", describe_items(&call.items))
        }
        Outcome::Rejected {
            last_attempt_at,
            is_only_attempt,
        } => format!(
            "{sent}..{ended} Rejected {{ last attempt: {}, only attempt: {is_only_attempt} }}: {}",
            last_attempt_at.as_millis(),
            describe_items(&call.items)
        ),
    }
}
