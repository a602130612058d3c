//! Checks a scenario's expectations.

use super::Simulation;
use crate::machine::{CoreId, ProxyId};
use crate::scenario::Expectation;
use crate::state::proxy::ProxyProcess;
use crate::violation::{ProxyMismatch, StepFailure};
use emberpin_routing::Availability;
use std::net::Ipv4Addr;

impl Simulation {
    /// Checks an expectation. An expected read is not checked here, but when its response arrives.
    pub(super) fn check_expectation(&self, expectation: &Expectation) -> Result<(), StepFailure> {
        match expectation {
            Expectation::OperatorStatus { operator, status } => {
                self.check_operator_status(operator, *status)
            }
            Expectation::Voters(count) => self.check_voters(*count),
            Expectation::Votes { core, votes } => self.check_votes(*core, *votes),
            Expectation::Route {
                proxies,
                host,
                path,
                version,
            } => self.check_proxies(proxies, |proxy| check_route(proxy, host, path, *version)),
            Expectation::ServerAvailability {
                proxies,
                server,
                availability,
            } => self.check_availability(proxies, server, *availability),
            Expectation::Ready { proxies, ready } => self.check_proxies(proxies, |proxy| {
                if proxy.is_ready == *ready {
                    Ok(())
                } else {
                    Err(ProxyMismatch::Ready(*ready))
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
        proxies: &[ProxyId],
        server: &str,
        expected: Availability,
    ) -> Result<(), StepFailure> {
        let Some(server) = self.servers.get(server) else {
            return Err(StepFailure::NoServer(server.into()));
        };
        self.check_proxies(proxies, |proxy| {
            let found = proxy.availability(&server.instance_id);
            if found == expected {
                return Ok(());
            }
            Err(ProxyMismatch::Availability {
                instance_id: server.instance_id.clone(),
                expected,
                found,
            })
        })
    }

    /// Applies a check to each of these proxies that is running.
    fn check_proxies(
        &self,
        proxies: &[ProxyId],
        check: impl Fn(&ProxyProcess) -> Result<(), ProxyMismatch>,
    ) -> Result<(), StepFailure> {
        for (proxy, node) in &self.proxies {
            let running = node.running.as_ref();
            let Some(running) = running.filter(|_| proxies.contains(proxy)) else {
                continue;
            };
            check(running).map_err(|mismatch| StepFailure::Proxy {
                proxy: *proxy,
                mismatch,
            })?;
        }
        Ok(())
    }
}

fn check_route(
    proxy: &ProxyProcess,
    host: &str,
    path: &str,
    expected: Option<u64>,
) -> Result<(), ProxyMismatch> {
    let route = proxy.router.routes.find(host, path);
    let found = route.map(|route| route.version.0);
    if found == expected {
        return Ok(());
    }
    Err(ProxyMismatch::Route {
        host: host.into(),
        path: path.into(),
        expected,
        found,
    })
}
