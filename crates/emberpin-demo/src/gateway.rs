//! Starts all processes of the gateway, and kills and restarts core machines.

use crate::deployment::{Bounds, Deployment, Machine};
use crate::error::DemoError;
use crate::node_settings::{NodeSettings, StartMode};
use crate::process::Process;
use crate::role::Role;
use std::future::Future;
use std::path::Path;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::{interval, timeout};

/// Much longer than a successful start takes; only a failed start waits this long.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How often processes are checked for an unexpected exit during the start.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The processes of the gateway. Dropping it kills them.
pub struct Gateway {
    // Fields are dropped in this order: the processes must end before the folder with their disks is removed.
    core: Vec<Vec<Process>>,
    edges: Vec<Process>,
    folder: TempDir,
    deployment: Deployment,
    bounds: Bounds,
}

impl Gateway {
    /// Starts the processes of all machines of a new deployment.
    ///
    /// # Errors
    ///
    /// The [`DemoError`] of the first process that cannot be started.
    pub fn start(
        deployment: Deployment,
        folder: TempDir,
        bounds: Bounds,
    ) -> Result<Gateway, DemoError> {
        let mut gateway = Gateway {
            core: Vec::new(),
            edges: Vec::new(),
            folder,
            deployment,
            bounds,
        };
        for index in 0..gateway.deployment.core.len() {
            let processes = gateway.start_core(index, StartMode::Bootstrap)?;
            gateway.core.push(processes);
        }
        for index in 0..gateway.deployment.edges.len() {
            let machine = gateway.deployment.edges[index];
            let process = gateway.start_process(Role::Proxy, machine, StartMode::Bootstrap)?;
            gateway.edges.push(process);
        }
        Ok(gateway)
    }

    /// The addresses of the machines.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The time bounds in the settings of all processes.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// The folder with settings, disks and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Kills the processes of a core machine and keeps its disk.
    pub fn kill_core(&mut self, index: usize) {
        self.core[index].clear();
    }

    /// Restarts the processes of a core machine on its existing disk.
    ///
    /// # Errors
    ///
    /// The [`DemoError`] of the first process that cannot be started.
    pub fn restart_core(&mut self, index: usize) -> Result<(), DemoError> {
        self.core[index] = self.start_core(index, StartMode::Restart)?;
        Ok(())
    }

    /// Describes each process that has exited without having been killed.
    pub fn exited_processes(&mut self) -> Vec<String> {
        self.core
            .iter_mut()
            .flatten()
            .chain(&mut self.edges)
            .filter_map(Process::exit_description)
            .collect()
    }

    /// Waits for a condition without which the run cannot begin. The error for a time-out names it by the clause
    /// `unmet`, for example "not every edge was ready".
    ///
    /// # Errors
    ///
    /// [`DemoError::StartTimeout`], or [`DemoError::ProcessExited`] as soon as a process has exited.
    pub async fn wait_for<T>(
        &mut self,
        unmet: &'static str,
        condition: impl Future<Output = T>,
    ) -> Result<T, DemoError> {
        let mut exit_checks = interval(EXIT_CHECK_INTERVAL);
        let condition = timeout(START_TIMEOUT, condition);
        tokio::pin!(condition);
        loop {
            tokio::select! {
                met = &mut condition => return met.map_err(|_| DemoError::StartTimeout {
                    condition: unmet,
                    timeout: START_TIMEOUT,
                }),
                _ = exit_checks.tick() => if let Some(exited) = self.exited_processes().pop() {
                    return Err(DemoError::ProcessExited(exited));
                },
            }
        }
    }

    fn start_core(&self, index: usize, start_mode: StartMode) -> Result<Vec<Process>, DemoError> {
        let machine = self.deployment.core[index];
        [Role::Store, Role::Registry]
            .into_iter()
            .map(|role| self.start_process(role, machine, start_mode))
            .collect()
    }

    fn start_process(
        &self,
        role: Role,
        machine: Machine,
        start_mode: StartMode,
    ) -> Result<Process, DemoError> {
        let settings = NodeSettings {
            deployment: &self.deployment,
            bounds: self.bounds,
            role,
            machine,
            start_mode,
        };
        Process::start(&settings, self.folder.path())
    }
}
