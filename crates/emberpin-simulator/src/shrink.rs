//! Shrinks a scenario that fails to fewer lines that fail in the same way.
//!
//! Delta debugging: runs of lines are left out, at first half of all, at last single ones, as long as the rest is a
//! scenario that fails with a violation of the same kind. On a mutant the rest must also hold on the system, so that a
//! line that only ends a fault is not left out; on the system, where nothing tells, the ends of faults stay. What precedes the first step, and the state of the network, say which time
//! limits hold and how many machines may be lost, and always stay.

use crate::mutants::Guards;
use crate::runner::{run, Failure, FailureCause};
use crate::scenario::parse;
use crate::violation::Violation;
use std::mem::{discriminant, Discriminant};

/// A scenario of fewer lines, and how it fails.
#[derive(Debug)]
pub struct Shrunk {
    /// The text of the scenario.
    pub text: String,
    /// What goes wrong in it.
    pub failure: Failure,
    /// How many scenarios were run for it.
    pub runs: usize,
}

/// Shrinks a scenario. `None` if it does not fail by a violation.
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
    shrinker.leave_out_lines();
    Some(Shrunk {
        text: shrinker.lines.join("\n") + "\n",
        failure: shrinker.failure,
        runs: shrinker.runs,
    })
}

/// The kind of a violation, whatever machines and items it names.
type ViolationKind = Discriminant<Violation>;

struct Shrinker<'a> {
    name: &'a str,
    guards: Guards,
    kind: ViolationKind,
    /// The lines that are left.
    lines: Vec<String>,
    /// How these fail.
    failure: Failure,
    runs: usize,
}

impl Shrinker<'_> {
    fn leave_out_lines(&mut self) {
        let mut length = self.lines.len().div_ceil(2);
        while length > 0 {
            let left_out_some = self.leave_out_runs_of(length);
            if length > 1 {
                length = length.div_ceil(2);
            } else if !left_out_some {
                return;
            }
        }
    }

    /// Tries to leave out each run of so many lines. Whether any was left out.
    fn leave_out_runs_of(&mut self, length: usize) -> bool {
        let mut left_out_some = false;
        let mut from = 0;
        while from < self.lines.len() {
            let to = (from + length).min(self.lines.len());
            let is_system = self.guards == Guards::default();
            let kept = self.lines[from..to]
                .iter()
                .filter(|line| must_stay(line) || (is_system && ends_a_fault(line)));
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
                left_out_some = true;
            } else {
                from = to;
            }
        }
        left_out_some
    }

    /// The failure of this text, if it is of the same kind.
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

/// Whether a line decides what the scenario demands.
fn must_stay(line: &str) -> bool {
    let is_step = line.starts_with("at ") || line.starts_with("expect ");
    !is_step || line.contains(" network ") || line.contains(" disk ")
}

/// How the scenario of this text fails; `None` if it holds, or is no scenario.
fn failure_of(name: &str, text: &str, guards: Guards) -> Option<Failure> {
    run(&parse(name, text).ok()?, guards).err()
}

fn kind_of(failure: &Failure) -> Option<ViolationKind> {
    match &failure.cause {
        FailureCause::Violation { violation, .. } => Some(discriminant(violation.as_ref())),
        FailureCause::Scenario(_) => None,
    }
}
