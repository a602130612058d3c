//! Where the machines are: loopback addresses, zones and ports.

use crate::error::DemoError;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The zones, over which machines and servers are spread evenly.
pub const ZONES: [&str; 3] = ["north-quay", "east-quay", "south-quay"];
/// The number of core machines: a majority survives the loss of one.
pub const CORE_MACHINES: usize = 3;

/// Last bytes of the addresses of the first core machine and the first edge.
const FIRST_CORE_ADDRESS: u8 = 11;
const FIRST_EDGE_ADDRESS: u8 = 21;

/// Each machine has the same consecutive ports: those that processes connect to each other over, then one of each of
/// the following.
const PEER_PORTS: u16 = 4;
const CTL_PORT: u16 = PEER_PORTS;
const HTTP_PORT: u16 = PEER_PORTS + 1;
const READYZ_PORT: u16 = PEER_PORTS + 2;
const PORTS_PER_MACHINE: u16 = PEER_PORTS + 3;

/// Ports are looked for below those that the system assigns by itself.
const LOWEST_PORT: u16 = 12_000;
const HIGHEST_PORT: u16 = 30_000;
const MAX_PORT_RANGES_PROBED: u32 = 64;
/// Factors that spread the port ranges of runs side by side, and of the probes of one run.
const PROCESS_STRIDE: u32 = 97;
const PROBE_STRIDE: u32 = 131;

/// The bounds of the gateway's drain and evacuation in a run of full length.
const MAX_DRAIN_BOUND: Duration = Duration::from_millis(2_500);
const MAX_EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// In a shorter run, the bounds are these fractions of it.
const DRAIN_FRACTION: f64 = 0.25;
const EVACUATION_FRACTION: f64 = 0.5;

/// A machine of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// The loopback address that all of its processes listen on.
    pub ip: Ipv4Addr,
    /// The failure domain that it belongs to, one of [`ZONES`].
    pub zone: &'static str,
}

/// All machines; the ports are the same on each.
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
    /// From the acknowledgement of a server's drain until no new request may reach it.
    pub drain: Duration,
    /// From the acknowledgement of an evacuation until no new request may reach the zone.
    pub evacuation: Duration,
}

impl Bounds {
    /// The usual bounds, or shorter ones for a run that would end before them.
    pub fn for_run(duration: Duration) -> Bounds {
        Bounds {
            drain: MAX_DRAIN_BOUND.min(duration.mul_f64(DRAIN_FRACTION)),
            evacuation: MAX_EVACUATION_BOUND.min(duration.mul_f64(EVACUATION_FRACTION)),
        }
    }
}

impl Deployment {
    /// Looks for ports that are free on all machines, beginning at one that differs from process to process.
    ///
    /// # Errors
    ///
    /// [`DemoError::NoFreePorts`] after a bounded number of port ranges.
    pub fn find(edges: usize) -> Result<Deployment, DemoError> {
        let ranges = u32::from((HIGHEST_PORT - LOWEST_PORT) / PORTS_PER_MACHINE);
        // Runs side by side begin far from each other.
        let first_range = std::process::id().wrapping_mul(PROCESS_STRIDE);
        let range = |probe: u32| first_range.wrapping_add(probe * PROBE_STRIDE) % ranges;
        let first_ports = (0..MAX_PORT_RANGES_PROBED)
            .map(|probe| LOWEST_PORT + range(probe) as u16 * PORTS_PER_MACHINE);
        Deployment::on_first_free_ports(edges, first_ports)
    }

    /// Takes the first of these ports that is free on all machines together with those that follow it.
    ///
    /// # Errors
    ///
    /// [`DemoError::NoFreePorts`] if there is none.
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

    /// Where the registries serve servers and the operator, core machine by core machine.
    pub fn ctl_addresses(&self) -> Vec<SocketAddr> {
        let core = self.core.iter();
        core.map(|machine| self.ctl_address(*machine)).collect()
    }

    /// Where the registry of a core machine serves servers and the operator.
    pub fn ctl_address(&self, machine: Machine) -> SocketAddr {
        (machine.ip, self.first_port + CTL_PORT).into()
    }

    /// Where the proxy of an edge serves clients.
    pub fn http_address(&self, machine: Machine) -> SocketAddr {
        (machine.ip, self.first_port + HTTP_PORT).into()
    }

    /// Where the proxy of an edge answers whether it is ready.
    pub fn readyz_address(&self, machine: Machine) -> SocketAddr {
        (machine.ip, self.first_port + READYZ_PORT).into()
    }

    /// The ports over which processes connect to each other.
    pub fn peer_ports(&self) -> RangeInclusive<u16> {
        self.first_port..=self.first_port + PEER_PORTS - 1
    }
}

/// Machines on consecutive addresses, spread over the zones.
fn machines(first_address: u8, count: usize) -> Vec<Machine> {
    let machine = |number: usize| Machine {
        ip: Ipv4Addr::new(127, 0, 0, first_address + number as u8),
        zone: ZONES[number % ZONES.len()],
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
