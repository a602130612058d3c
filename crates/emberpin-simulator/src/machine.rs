//! Names and addresses of the simulated machines.

use std::fmt::{self, Display};
use std::net::Ipv4Addr;

/// A core machine, which runs a store and a registry. Scenarios call it `core-N`; N is at most 255.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CoreId(pub u8);

impl CoreId {
    /// The address of the machine: 10.0.0.N.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::new(10, 0, 0, self.0)
    }

    /// The machine with this address.
    pub fn from_address(address: Ipv4Addr) -> CoreId {
        CoreId(address.octets()[3])
    }
}

impl Display for CoreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "core-{}", self.0)
    }
}

/// A machine that runs a proxy. Scenarios call it `limiter-N`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u8);

impl Display for ProxyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "limiter-{}", self.0)
    }
}

/// A machine of either kind, as scenarios name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Machine {
    /// A machine with a store and a registry.
    Core(CoreId),
    /// A machine with a proxy.
    Proxy(ProxyId),
}

impl Machine {
    /// The id of a core machine; `None` for a proxy's machine.
    pub fn as_core(self) -> Option<CoreId> {
        match self {
            Machine::Core(core) => Some(core),
            Machine::Proxy(_) => None,
        }
    }

    /// The id of a proxy's machine; `None` for a core machine.
    pub fn as_proxy(self) -> Option<ProxyId> {
        match self {
            Machine::Core(_) => None,
            Machine::Proxy(proxy) => Some(proxy),
        }
    }
}

impl Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Machine::Core(core) => core.fmt(f),
            Machine::Proxy(proxy) => proxy.fmt(f),
        }
    }
}
