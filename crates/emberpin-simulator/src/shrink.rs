//! Shrinks a failing scenario to fewer lines that fail in the same way.
//!
//! The method is delta debugging: blocks of consecutive lines are removed, first half of all lines, finally single
//! lines, as long as the rest is a scenario that fails with a violation of the same kind. For a mutant, the rest must
//! also hold on the unmodified system, so that lines that end a fault are kept. On the unmodified system itself there
//! is no such comparison, so lines that end a fault are never removed. The settings, and the steps that set network and
//! disk delays, determine which time limits apply and how many machines may be lost; they always stay.

use crate::mutants::Guards;
use crate::runner::{run, Failure, FailureCause};
use crate::scenario::parse;
use crate::violation::Violation;
use std::mem::{discriminant, Discriminant};

/// A shrunk scenario, and how it fails.
#[derive(Debug)]
pub struct Shrunk {
    /// The text of the scenario.
    pub text: String,
    /// Its failure.
    pub failure: Failure,
    /// How many scenarios were run to shrink it.
    pub runs: usize,
}

/// Shrinks a scenario. Returns `None` if it does not fail with a violation.
pub fn shrink(name: &str, text: &str, guards: Guards) -> Option<Shrunk> {
    let failure = failure_of(name, text, guards)?;
    let kind = kind_of(&failure)?;
    let mut shrinker = Shrinker {
        name,
        guards,
        kind,
        lines: text.lines().map(str::to_owned).collect(),
        failure,
        runs: 1,
    };
    shrinker.remove_lines();
    Some(Shrunk {
        text: shrinker.lines.join("\n") + "\n",
        failure: shrinker.failure,
        runs: shrinker.runs,
    })
}

/// The kind of a violation, regardless of the machines and items it names.
type ViolationKind = Discriminant<Violation>;

/// A scenario while it is shrunk.
struct Shrinker<'a> {
    name: &'a str,
    guards: Guards,
    kind: ViolationKind,
    /// The remaining lines.
    lines: Vec<String>,
    /// The failure of the remaining lines.
    failure: Failure,
    runs: usize,
}

impl Shrinker<'_> {
    fn remove_lines(&mut self) {
        let mut length = self.lines.len().div_ceil(2);
        while length > 0 {
            let removed_any = self.remove_blocks(length);
            if length > 1 {
                length = length.div_ceil(2);
            } else if !removed_any {
                return;
            }
        }
    }

    /// Tries to remove each block of `length` lines. Returns whether any line was removed.
    fn remove_blocks(&mut self, length: usize) -> bool {
        let mut removed_any = false;
        let mut from = 0;
        while from < self.lines.len() {
            let to = (from + length).min(self.lines.len());
            let is_unmodified = self.guards == Guards::default();
            let kept = self.lines[from..to]
                .iter()
                .filter(|line| must_stay(line) || (is_unmodified && ends_a_fault(line)));
            let kept: Vec<String> = kept.cloned().collect();
            if kept.len() == to - from {
                from = to;
                continue;
            }
            let rest = [&self.lines[..from], &kept, &self.lines[to..]].concat();
            if let Some(failure) = self.same_failure(&rest.join("\n")) {
                self.lines = rest;
                self.failure = failure;
                from += kept.len();
                removed_any = true;
            } else {
                from = to;
            }
        }
        removed_any
    }

    /// The failure of this text, if it is of the same kind and, for a mutant, the text holds on the unmodified system.
    fn same_failure(&mut self, text: &str) -> Option<Failure> {
        self.runs += 1;
        let failure = failure_of(self.name, text, self.guards)
            .filter(|failure| kind_of(failure) == Some(self.kind))?;
        if self.guards == Guards::default() {
            return Some(failure);
        }
        self.runs += 1;
        let holds = failure_of(self.name, text, Guards::default()).is_none();
        holds.then_some(failure)
    }
}

/// Whether a line ends a fault.
fn ends_a_fault(line: &str) -> bool {
    [" start ", " thaw ", " heal ", " lose-nothing"]
        .iter()
        .any(|word| line.contains(word))
}

/// Whether a line is a setting, or sets the delays of the network or the disks.
fn must_stay(line: &str) -> bool {
    let is_step = line.starts_with("at ") || line.starts_with("expect ");
    !is_step || line.contains(" network ") || line.contains(" disk ")
}

/// The failure of the scenario in this text; `None` if it holds or cannot be parsed.
fn failure_of(name: &str, text: &str, guards: Guards) -> Option<Failure> {
    run(&parse(name, text).ok()?, guards).err()
}

fn kind_of(failure: &Failure) -> Option<ViolationKind> {
    match &failure.cause {
        FailureCause::Violation { violation, .. } => Some(discriminant(violation.as_ref())),
        FailureCause::Scenario(_) => None,
    }
}
