//! The gateway's programs, each of which this executable can run as.

use nix::sys::{prctl, signal::Signal};
use nix::unistd::getppid;
use std::ffi::OsString;
use std::process::ExitCode;

/// A program of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates and persists the configuration, on core machines.
    Store,
    /// Serves the operators' and servers' HTTP API, on core machines.
    Registry,
    /// Forwards the clients' requests, on edges.
    Proxy,
}

impl Role {
    const ALL: [Role; 3] = [Role::Store, Role::Registry, Role::Proxy];

    /// The name in settings files, and the first argument by which this executable runs as the program.
    pub fn name(self) -> &'static str {
        match self {
            Role::Store => "store",
            Role::Registry => "registry",
            Role::Proxy => "proxy",
        }
    }

    /// The program of this name.
    pub fn from_name(name: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.name() == name)
    }

    /// Runs the program in this process; the first argument is the id of the process that started it.
    pub fn run(self, mut arguments: impl Iterator<Item = OsString>) -> ExitCode {
        // Whatever ends the newcomer's command, even SIGKILL, ends its machines.
        _ = prctl::set_pdeathsig(Signal::SIGKILL);
        let parent = arguments.next().and_then(|id| id.to_str()?.parse().ok());
        if parent != Some(getppid().as_raw()) {
            // The parent ended before the signal was set: nobody would end this process.
            return ExitCode::FAILURE;
        }
        match self {
            Role::Store => emberpin_store::program::main(arguments),
            Role::Registry => emberpin_registry::program::main(arguments),
            Role::Proxy => emberpin_proxy::program::main(arguments),
        }
    }
}
