//! The layout of the deployment: the loopback addresses, zones and ports of all machines.

use crate::error::DemoError;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The zones. Machines and servers are distributed evenly over them.
pub const ZONES: [&str; 3] = ["north-quay", "east-quay", "south-quay"];
/// The number of core machines: a majority remains after the loss of one.
pub const CORE_MACHINES: usize = 3;

/// The last bytes of the addresses of the first core machine and the first edge.
const FIRST_CORE_ADDRESS: u8 = 11;
const FIRST_EDGE_ADDRESS: u8 = 21;

/// Each machine uses the same consecutive ports: first those for connections between processes, then one each for the
/// registry's HTTP API (`ctl`), the proxy's clients (`http`) and the proxy's readiness (`readyz`).
const PEER_PORTS: u16 = 4;
const CTL_PORT: u16 = PEER_PORTS;
const HTTP_PORT: u16 = PEER_PORTS + 1;
const READYZ_PORT: u16 = PEER_PORTS + 2;
const PORTS_PER_MACHINE: u16 = PEER_PORTS + 3;

/// Ports are chosen below the range from which the system assigns ephemeral ports.
const LOWEST_PORT: u16 = 12_000;
const HIGHEST_PORT: u16 = 30_000;
const MAX_PORT_RANGES_PROBED: u32 = 64;
/// Factors that spread out the port ranges of concurrent runs, and of the successive probes of one run.
const PROCESS_STRIDE: u32 = 97;
const PROBE_STRIDE: u32 = 131;

/// The gateway's bounds for a drain and an evacuation in a run that is long enough for them.
const MAX_DRAIN_BOUND: Duration = Duration::from_millis(2_500);
const MAX_EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// In a shorter run, the bounds are these fractions of its duration.
const DRAIN_FRACTION: f64 = 0.25;
const EVACUATION_FRACTION: f64 = 0.5;

/// A machine of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// The loopback address that all processes of the machine listen on.
    pub ip: Ipv4Addr,
    /// The failure domain of the machine, one of [`ZONES`].
    pub zone: &'static str,
}

/// All machines of the deployment. Each uses the same ports.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Core machines, each with a store and a registry.
    pub core: Vec<Machine>,
    /// Edges, each with a proxy.
    pub edges: Vec<Machine>,
    first_port: u16,
}

/// The time bounds of the gateway's settings that a run depends on.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time from the acknowledgement of a server's drain until no new request may reach the server.
    pub drain: Duration,
    /// The time from the acknowledgement of an evacuation until no new request may reach the zone.
    pub evacuation: Duration,
}

impl Bounds {
    /// The full bounds, or shorter ones for a run that is too short for them.
    pub fn for_run(duration: Duration) -> Bounds {
        Bounds {
            drain: MAX_DRAIN_BOUND.min(duration.mul_f64(DRAIN_FRACTION)),
            evacuation: MAX_EVACUATION_BOUND.min(duration.mul_f64(EVACUATION_FRACTION)),
        }
    }
}

impl Deployment {
    /// Lays out a deployment on ports that are free on all machines. The search begins at a port that depends on the
    /// process id.
    ///
    /// # Errors
    ///
    /// [`DemoError::NoFreePorts`] after a bounded number of port ranges.
    pub fn with_free_ports(edges: usize) -> Result<Deployment, DemoError> {
        let ranges = u32::from((HIGHEST_PORT - LOWEST_PORT) / PORTS_PER_MACHINE);
        // Concurrent runs begin their search far from each other.
        let first_range = std::process::id().wrapping_mul(PROCESS_STRIDE);
        let range = |probe: u32| first_range.wrapping_add(probe * PROBE_STRIDE) % ranges;
        let first_ports = (0..MAX_PORT_RANGES_PROBED)
            .map(|probe| LOWEST_PORT + range(probe) as u16 * PORTS_PER_MACHINE);
        Deployment::on_first_free_ports(edges, first_ports)
    }

    /// Lays out a deployment on the first of these port ranges, each given by its first port, that is free on all
    /// machines.
    ///
    /// # Errors
    ///
    /// [`DemoError::NoFreePorts`] if none of the ranges is free.
    pub fn on_first_free_ports(
        edges: usize,
        first_ports: impl Iterator<Item = u16>,
    ) -> Result<Deployment, DemoError> {
        let core = machines(FIRST_CORE_ADDRESS, CORE_MACHINES);
        let edges = machines(FIRST_EDGE_ADDRESS, edges);
        let mut last_error = io::Error::other("none was tried");
        for first_port in first_ports {
            let mut all = core.iter().chain(&edges);
            match all.try_for_each(|machine| check_ports_free(machine.ip, first_port)) {
                Ok(()) => {
                    return Ok(Deployment {
                        core,
                        edges,
                        first_port,
                    })
                }
                Err(error) => last_error = error,
            }
        }
        Err(DemoError::NoFreePorts {
            ports: PORTS_PER_MACHINE,
            last_error,
        })
    }

    /// The addresses at which the registries serve the HTTP API for servers and the operator, in the order of `core`.
    pub fn ctl_addresses(&self) -> Vec<SocketAddr> {
        let core = self.core.iter();
        core.map(|machine| self.ctl_address(*machine)).collect()
    }

    /// The address at which the registry of a core machine serves the HTTP API for servers and the operator.
    pub fn ctl_address(&self, machine: Machine) -> SocketAddr {
        (machine.ip, self.first_port + CTL_PORT).into()
    }

    /// The address at which the proxy of an edge serves clients.
    pub fn http_address(&self, machine: Machine) -> SocketAddr {
        (machine.ip, self.first_port + HTTP_PORT).into()
    }

    /// The address at which the proxy of an edge serves its readiness.
    pub fn readyz_address(&self, machine: Machine) -> SocketAddr {
        (machine.ip, self.first_port + READYZ_PORT).into()
    }

    /// The ports for connections between processes.
    pub fn peer_ports(&self) -> RangeInclusive<u16> {
        self.first_port..=self.first_port + PEER_PORTS - 1
    }
}

/// Creates machines on consecutive addresses, distributed over the zones.
fn machines(first_address: u8, count: usize) -> Vec<Machine> {
    let machine = |index: usize| Machine {
        ip: Ipv4Addr::new(127, 0, 0, first_address + index as u8),
        zone: ZONES[index % ZONES.len()],
    };
    (0..count).map(machine).collect()
}

fn check_ports_free(ip: Ipv4Addr, first_port: u16) -> io::Result<()> {
    for port in first_port..first_port + PORTS_PER_MACHINE {
        if let Err(error) = TcpListener::bind((ip, port)) {
            let message = format!("{ip}:{port}: {error}");
            return Err(io::Error::new(error.kind(), message));
        }
    }
    Ok(())
}
