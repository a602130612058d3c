//! Runs one scenario.

use crate::fault_effects::FaultEffects;
use crate::mutants::Guards;
use crate::scenario::{ParseError, Scenario};
use crate::simulation::Simulation;
use crate::violation::Violation;
use std::fmt::{self, Display};
use std::ops::AddAssign;
use std::time::Duration;

/// Statistics of a run, or sums over several runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunStatistics {
    /// The number of events that were handled.
    pub events: u64,
    /// Requests that were sent to warming servers.
    pub slow_start_requests: usize,
    /// Checks that a proxy in contact has applied an acknowledged change.
    pub effect_checks: usize,
    /// Calls that were acknowledged.
    pub acknowledged_calls: usize,
    /// Operations in histories that were checked for linearizability.
    pub checked_operations: usize,
    /// Operations in histories that were too long to be checked.
    pub unchecked_operations: usize,
    /// How often faults took effect.
    pub fault_effects: FaultEffects,
}

impl Display for RunStatistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "Played {{ events: {}, cold_sent: {}, applied: {}, acknowledged: {}, linearized: {}, unchecked: {} }}",
            self.events,
            self.slow_start_requests,
            self.effect_checks,
            self.acknowledged_calls,
            self.checked_operations,
            self.unchecked_operations
        )
    }
}

impl AddAssign for RunStatistics {
    fn add_assign(&mut self, other: RunStatistics) {
        self.events += other.events;
        self.slow_start_requests += other.slow_start_requests;
        self.effect_checks += other.effect_checks;
        self.acknowledged_calls += other.acknowledged_calls;
        self.checked_operations += other.checked_operations;
        self.unchecked_operations += other.unchecked_operations;
        self.fault_effects += other.fault_effects;
    }
}

/// A run that failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{scenario}, seed {seed}: {cause}")]
pub struct Failure {
    /// The name of the scenario.
    pub scenario: String,
    /// The seed of its draws.
    pub seed: u64,
    /// Why it failed.
    pub cause: FailureCause,
}

/// Why a run failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FailureCause {
    /// An invariant or an expectation was violated.
    #[error("at {}s: {violation}", at.as_millis() as f64 / 1000.0)]
    Violation {
        /// When it was found, in simulated time.
        at: Duration,
        /// The invariant or expectation that does not hold.
        violation: Box<Violation>,
    },
    /// The text that was generated for a seed cannot be parsed.
    #[error(transparent)]
    Scenario(#[from] ParseError),
}

/// Runs a scenario on the system, or on a mutant if guards are switched off.
///
/// # Errors
///
/// [`Failure`] with the first violation.
pub fn run(scenario: &Scenario, guards: Guards) -> Result<RunStatistics, Failure> {
    let mut simulation = Simulation::new(scenario, guards);
    for step in &scenario.steps {
        simulation.run_until(step.at);
        if simulation.violation.is_none() {
            simulation.execute(step);
        }
    }
    simulation.run_until(scenario.end);
    simulation.finish();
    match simulation.violation.take() {
        Some(found) => Err(Failure {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            cause: FailureCause::Violation {
                at: found.at,
                violation: Box::new(found.violation),
            },
        }),
        None => Ok(statistics(&simulation)),
    }
}

fn statistics(simulation: &Simulation) -> RunStatistics {
    let calls = simulation.operators.calls.iter();
    let counters = &simulation.counters;
    RunStatistics {
        events: counters.events,
        slow_start_requests: counters.slow_start_requests,
        effect_checks: counters.effect_checks,
        acknowledged_calls: calls.filter(|call| call.status == Some(200)).count(),
        checked_operations: counters.checked_operations,
        unchecked_operations: counters.unchecked_operations,
        fault_effects: counters.fault_effects,
    }
}
