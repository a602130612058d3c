//! Executes the steps of a scenario.

use super::connections::BreakNotice;
use super::Simulation;
use crate::machine::Machine;
use crate::scenario::{CallTarget, Command, Expectation, Fault, OperatorCommand, Step};
use crate::state::operator::ReadExpectation;
use crate::violation::{StepFailure, Violation};
use std::time::Duration;

/// Time limits are not checked once message delays may be longer than this.
const MAX_TIMELY_DELAY: Duration = Duration::from_millis(20);
/// Time limits are not checked once disk syncs may take longer than this.
const MAX_TIMELY_SYNC: Duration = Duration::from_millis(50);

impl Simulation {
    /// Executes a step now. A failed expectation ends the run.
    pub fn execute(&mut self, step: &Step) {
        let result = match &step.command {
            Command::Operator { operator, command } => self.command_operator(operator, command),
            Command::Server { server, command } => {
                self.command_server(server, command);
                Ok(())
            }
            Command::Fault(fault) => {
                self.mark_disturbed_by(fault);
                self.inject(fault);
                Ok(())
            }
            Command::Expect(Expectation::Read(item)) => {
                let reader = format!("line {}", step.line);
                let expectation = ReadExpectation {
                    line: step.line,
                    item: item.clone(),
                };
                self.call_as_operator(&reader, CallTarget::Any, None, Some(expectation));
                Ok(())
            }
            Command::Expect(expectation) => self.check_expectation(expectation),
        };
        if let Err(failure) = result {
            let line = step.line;
            self.fail(Violation::Step { line, failure });
        }
    }

    fn command_operator(
        &mut self,
        operator: &str,
        command: &OperatorCommand,
    ) -> Result<(), StepFailure> {
        let (target, request) = match command {
            OperatorCommand::Send { target, request } => (*target, Some(request.clone())),
            OperatorCommand::Read { target } => (*target, None),
            OperatorCommand::Repeat { target } => {
                let last = self.operators.latest(operator);
                let request = last.and_then(|call| call.request.clone());
                let request = request.ok_or_else(|| StepFailure::NoCall {
                    operator: operator.into(),
                })?;
                (*target, Some(request))
            }
        };
        self.call_as_operator(operator, target, request, None);
        Ok(())
    }

    /// Records which machines a fault affects, so that no time limits are checked for them meanwhile.
    fn mark_disturbed_by(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(machines)
            | Fault::CutPower { machines, .. }
            | Fault::WipeDisk(machines)
            | Fault::Start(machines)
            | Fault::Bootstrap(machines)
            | Fault::Freeze(machines)
            | Fault::Thaw(machines) => self.mark_disturbed(machines.iter().copied()),
            Fault::SetClockRate { machine, .. } => self.mark_disturbed([*machine]),
            Fault::Partition(links) | Fault::Slow { links, .. } => {
                self.mark_ends_disturbed(&links.from, &links.to);
            }
            Fault::LoseMessages { from, to, .. } => self.mark_ends_disturbed(from, to),
            Fault::SetSeeds(_)
            | Fault::StallDisk { .. }
            | Fault::Replace { .. }
            | Fault::EndMessageLoss
            | Fault::Heal(_)
            | Fault::SetNetwork { .. }
            | Fault::SetSyncTime(_)
            | Fault::LoseResponses { .. } => {}
        }
    }

    /// Marks the machines at both ends of a faulty link. A fault between proxies and core machines does not affect the
    /// communication among core machines, so it disturbs only the proxies.
    fn mark_ends_disturbed(&mut self, from: &[Machine], to: &[Machine]) {
        let is_core = |machine: &Machine| machine.as_core().is_some();
        let ends = from.iter().chain(to).copied();
        let (cores, proxies): (Vec<Machine>, Vec<Machine>) = ends.partition(is_core);
        self.mark_disturbed(proxies);
        if from.iter().any(is_core) && to.iter().any(is_core) {
            self.mark_disturbed(cores);
        }
    }

    fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(machines) => self.for_each_machine(machines, |simulation, machine| {
                simulation.stop(machine, BreakNotice::Sent);
            }),
            Fault::CutPower { machines, unsynced } => {
                self.for_each_machine(machines, |simulation, machine| {
                    simulation.cut_power(machine, *unsynced);
                });
            }
            Fault::WipeDisk(machines) => self.for_each_machine(machines, Simulation::wipe_disk),
            Fault::Start(machines) => self.for_each_machine(machines, Simulation::start),
            Fault::Bootstrap(machines) => self.for_each_machine(machines, Simulation::bootstrap),
            Fault::SetSeeds(seeds) => self.seeds = Some(seeds.clone()),
            Fault::StallDisk { machines, duration } => {
                let until = self.now + *duration;
                self.for_each_machine(machines, |simulation, machine| {
                    simulation.stall_disk(machine, until);
                });
            }
            Fault::Replace { old, new } => self.replace(*old, *new),
            Fault::Freeze(machines) => self.for_each_machine(machines, Simulation::freeze),
            Fault::Thaw(machines) => self.for_each_machine(machines, Simulation::thaw),
            Fault::SetClockRate { machine, percent } => {
                let now = self.now;
                if let Some(process) = self.process_mut(*machine) {
                    process.set_clock_rate(now, *percent);
                }
            }
            network_fault => self.inject_into_network(network_fault),
        }
    }

    fn inject_into_network(&mut self, fault: &Fault) {
        match fault {
            Fault::Partition(links) => self.partition(links),
            Fault::Slow { links, delay } => self.slow_down(links, delay),
            Fault::LoseMessages { kind, from, to } => {
                for sender in from {
                    for receiver in to {
                        self.network.lose(*kind, *sender, *receiver);
                    }
                }
            }
            Fault::EndMessageLoss => self.network.end_losses(),
            Fault::Heal(machines) => self.heal(machines),
            Fault::SetNetwork {
                delay,
                late_percent,
                duplicate_percent,
            } => {
                self.network.delay = delay.clone();
                self.network.late_percent = *late_percent;
                self.network.duplicate_percent = *duplicate_percent;
                self.skips_time_limits |= *late_percent > 0 || delay.end > MAX_TIMELY_DELAY;
            }
            Fault::SetSyncTime(range) => {
                self.sync_time = range.clone();
                self.skips_time_limits |= range.end > MAX_TIMELY_SYNC;
            }
            Fault::LoseResponses { percent } => self.response_loss_percent = *percent,
            _ => {}
        }
    }

    fn for_each_machine(&mut self, machines: &[Machine], act: impl Fn(&mut Simulation, Machine)) {
        for machine in machines {
            act(self, *machine);
        }
    }
}
