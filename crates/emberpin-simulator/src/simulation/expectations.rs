//! Checks what a scenario expects.

use super::Simulation;
use crate::machine::{CoreId, LimiterId};
use crate::scenario::Expectation;
use crate::state::limiter::LimiterProcess;
use crate::violation::{LimiterMismatch, StepFailure};
use emberpin_routing::Availability;
use std::net::Ipv4Addr;

impl Simulation {
    /// Checks an expectation. A read is none of these: its response is checked when it comes.
    pub(super) fn check_expectation(&self, expectation: &Expectation) -> Result<(), StepFailure> {
        match expectation {
            Expectation::OperatorStatus { operator, status } => {
                self.check_operator_status(operator, *status)
            }
            Expectation::Voters(count) => self.check_voters(*count),
            Expectation::Votes { core, votes } => self.check_votes(*core, *votes),
            Expectation::Route {
                limiters,
                host,
                path,
                version,
            } => self.check_limiters(limiters, |limiter| {
                check_route(limiter, host, path, *version)
            }),
            Expectation::ServerAvailability {
                limiters,
                server,
                availability,
            } => self.check_availability(limiters, server, *availability),
            Expectation::Ready { limiters, ready } => self.check_limiters(limiters, |limiter| {
                if limiter.is_ready == *ready {
                    Ok(())
                } else {
                    Err(LimiterMismatch::Ready(*ready))
                }
            }),
            Expectation::Read(_) => Ok(()),
        }
    }

    fn check_operator_status(
        &self,
        operator: &str,
        expected: Option<u16>,
    ) -> Result<(), StepFailure> {
        let call = self.operators.latest(operator);
        let call = call.ok_or_else(|| StepFailure::NoCall {
            operator: operator.into(),
        })?;
        if call.status == expected {
            return Ok(());
        }
        Err(StepFailure::OperatorStatus {
            operator: operator.into(),
            expected,
            found: call.status,
            body: call.body.clone(),
        })
    }

    fn check_voters(&self, expected: usize) -> Result<(), StepFailure> {
        for (core, node) in &self.cores {
            let Some(running) = &node.running else {
                continue;
            };
            let found: Vec<Ipv4Addr> = running.store.voters();
            if found.len() != expected {
                let core = *core;
                return Err(StepFailure::Voters {
                    expected,
                    core,
                    found,
                });
            }
        }
        Ok(())
    }

    fn check_votes(&self, core: CoreId, expected: bool) -> Result<(), StepFailure> {
        let node = self.cores.get(&core);
        let running = node.and_then(|node| node.running.as_ref());
        if running.is_some_and(|running| running.store.is_voter()) == expected {
            Ok(())
        } else {
            Err(StepFailure::Votes { core, expected })
        }
    }

    fn check_availability(
        &self,
        limiters: &[LimiterId],
        server: &str,
        expected: Availability,
    ) -> Result<(), StepFailure> {
        let Some(server) = self.servers.get(server) else {
            return Err(StepFailure::NoServer(server.into()));
        };
        self.check_limiters(limiters, |limiter| {
            let found = limiter.availability(&server.instance_id);
            if found == expected {
                return Ok(());
            }
            Err(LimiterMismatch::Availability {
                instance_id: server.instance_id.clone(),
                expected,
                found,
            })
        })
    }

    /// Checks each of these limiters that runs.
    fn check_limiters(
        &self,
        limiters: &[LimiterId],
        check: impl Fn(&LimiterProcess) -> Result<(), LimiterMismatch>,
    ) -> Result<(), StepFailure> {
        for (limiter, node) in &self.limiters {
            let running = node.running.as_ref();
            let Some(running) = running.filter(|_| limiters.contains(limiter)) else {
                continue;
            };
            check(running).map_err(|mismatch| StepFailure::Limiter {
                limiter: *limiter,
                mismatch,
            })?;
        }
        Ok(())
    }
}

fn check_route(
    limiter: &LimiterProcess,
    host: &str,
    path: &str,
    expected: Option<u64>,
) -> Result<(), LimiterMismatch> {
    let route = limiter.router.routes.find(host, path);
    let found = route.map(|route| route.version.0);
    if found == expected {
        return Ok(());
    }
    Err(LimiterMismatch::Route {
        host: host.into(),
        path: path.into(),
        expected,
        found,
    })
}
