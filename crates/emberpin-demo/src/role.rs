//! The programs of the gateway. This executable can run as each of them.

use nix::sys::{prctl, signal::Signal};
use nix::unistd::getppid;
use std::ffi::OsString;
use std::process::ExitCode;

/// A program of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates and persists the configuration, on core machines.
    Store,
    /// Serves the HTTP API for operators and servers, on core machines.
    Registry,
    /// Forwards the requests of clients, on edges.
    Proxy,
}

impl Role {
    const ALL: [Role; 3] = [Role::Store, Role::Registry, Role::Proxy];

    /// The name of the role in settings files, and the first argument that makes this executable run the program.
    pub fn name(self) -> &'static str {
        match self {
            Role::Store => "store",
            Role::Registry => "registry",
            Role::Proxy => "proxy",
        }
    }

    /// The role with this name.
    pub fn from_name(name: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.name() == name)
    }

    /// Runs the program in this process. The first argument is the process id of the parent, which started it.
    pub fn run(self, mut arguments: impl Iterator<Item = OsString>) -> ExitCode {
        // The kernel kills this process when its parent ends, even if the parent is ended by SIGKILL.
        _ = prctl::set_pdeathsig(Signal::SIGKILL);
        let parent = arguments.next().and_then(|id| id.to_str()?.parse().ok());
        if parent != Some(getppid().as_raw()) {
            // The parent had ended before the signal was set, so nothing would end this process.
            return ExitCode::FAILURE;
        }
        match self {
            Role::Store => emberpin_store::program::main(arguments),
            Role::Registry => emberpin_registry::program::main(arguments),
            Role::Proxy => emberpin_proxy::program::main(arguments),
        }
    }
}
