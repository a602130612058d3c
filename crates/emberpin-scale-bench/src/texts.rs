//! Settings, changes and beats, as the system's own interfaces have them.

use crate::size::Size;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// How often servers beat, in milliseconds.
pub const BEAT_MS: u64 = 1_300;
/// The service whose servers answer.
pub const LOAD: &str = "load";
/// The route whose changes are followed.
pub const PROBE: &str = "probe";

/// Where everything listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Places {
    /// The machines with a store and a registry.
    pub cores: Vec<Ipv4Addr>,
    /// The proxy's machine.
    pub edge: Ipv4Addr,
    /// The first of the ports that are used on each.
    pub port: u16,
}

impl Places {
    /// Where servers and the operator call a core machine.
    pub fn ctl(&self, core: Ipv4Addr) -> SocketAddr {
        (core, self.port + 2).into()
    }

    /// Where registries hear limiters.
    pub fn registry(&self, core: Ipv4Addr) -> SocketAddr {
        (core, self.port + 1).into()
    }

    /// The port of stores.
    pub fn store_port(&self) -> u16 {
        self.port
    }

    /// Where the proxy takes clients.
    pub fn http(&self) -> SocketAddr {
        (self.edge, self.port + 3).into()
    }

    /// Where the proxy says whether it is ready.
    pub fn readyz(&self) -> SocketAddr {
        (self.edge, self.port + 4).into()
    }
}

/// The zone of the core machine, limiter or server of this number.
pub fn zone(number: usize) -> String {
    format!("z{}", number % 3)
}

/// The settings file of a core machine, or of the proxy's.
pub fn settings(places: &Places, machine: Ipv4Addr, disk: Option<&Path>) -> String {
    let seeds: Vec<String> = places
        .cores
        .iter()
        .map(|core| format!("\"{}\"", places.ctl(*core)))
        .collect();
    let number = places
        .cores
        .iter()
        .position(|core| *core == machine)
        .unwrap_or(0);
    let listen = match places.cores.contains(&machine) {
        true => format!("ctl = \"{}\"", places.ctl(machine)),
        false => format!(
            "http = \"{}\"\nreadyz = \"{}\"",
            places.http(),
            places.readyz()
        ),
    };
    let disk = disk.map_or_else(String::new, |disk| {
        format!("datadir = \"{}\"\n", disk.display())
    });
    format!(
        "[self]\nnodename = \"m-{machine}\"\nip = \"{machine}\"\naz = \"{zone}\"\nrgn = \"r\"\n\
         voting = true\nbootstrap = true\n{disk}[self.limits]\nmem_mb = 256\nnofile = 4096\n\
         [network]\nport_range = [{port},{last}]\nseeds = [{seeds}]\n[network.listen]\n{listen}\n\
         [network.zones]\nz0 = \"r\"\nz1 = \"r\"\nz2 = \"r\"\n[infra]\nhb = \"{BEAT_MS}ms\"\n\
         [defs.tolerance]\nnodes = 1\n[defs.bounds]\ndrain = \"2500ms\"\ngrace = \"6s\"\napply = \"2500ms\"\n\
         evac = \"5s\"\nack = \"5s\"\ncontact = \"3s\"\nretry_ratio = 0.2\nretry_win = \"10s\"\n\
         retry_extra = 60\nwarm_excess = 1.5\nwarm_extra = 5\n",
        zone = zone(number),
        port = places.port,
        last = places.port + 1,
        seeds = seeds.join(","),
    )
}

fn service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hcheck\":\"/healthz\",\"maxconn\":400,\"proto\":\"h1\",\"tls\":false,\
         \"warmup\":\"2s\",\"warmup_per_s\":10.0,\"ver\":1}}"
    )
}

fn route(host: &str, name: &str, prefix: &str, service: &str, ver: u64) -> String {
    format!(
        "{{\"hostname\":\"{host}\",\"locs\":[{{\"name\":\"{name}\",\"pfx\":\"/{prefix}/\",\
         \"type\":\"readonly\",\"timeout\":\"3s\",\"target_time\":\"250ms\",\"prio\":2,\"svc\":\"{service}\",\
         \"tries\":2,\"ver\":{ver}}}]}}"
    )
}

/// The first call: all items of a size, and beside them what is followed and what answers.
pub fn configuration(size: &Size) -> String {
    let services = (0..size.services).map(|number| service(&format!("svc-{number}")));
    let services: Vec<String> = services.chain([service(LOAD)]).collect();
    let routes = (0..size.routes).map(|number| {
        let (host, name) = (
            format!("host-{}.example", number % 20),
            format!("route-{number}"),
        );
        route(
            &host,
            &name,
            &format!("part-{number}"),
            &format!("svc-{}", number % size.services.max(1)),
            1,
        )
    });
    let routes: Vec<String> = routes
        .chain([route("load.example", LOAD, LOAD, LOAD, 1), probe_route(1)])
        .collect();
    format!(
        "{{\"upsert\":{{\"svcs\":[{}],\"limits\":{{\"hdr_max_bytes\":16384,\"body_max_bytes\":1048576,\
         \"hdr_read\":\"5s\",\"idle\":\"30s\",\"ver\":1}},\"vhosts\":[{}]}}}}",
        services.join(","),
        routes.join(",")
    )
}

fn probe_route(ver: u64) -> String {
    route("probe.example", PROBE, PROBE, LOAD, ver)
}

/// One change.
pub fn change(ver: u64) -> String {
    format!("{{\"upsert\":{{\"vhosts\":[{}]}}}}", probe_route(ver))
}

/// A beat of a server.
pub fn beat(service: &str, address: SocketAddr, number: usize, seq: u64) -> String {
    format!(
        "{{\"addr\":\"{address}\",\"sysinfo\":{{\"svc\":\"{service}\",\"ver\":\"v1\",\
         \"az\":\"{}\",\"slots\":400}},\"stat\":{{\"state\":\"up\",\"seq\":{seq},\"warm_left\":\"0ms\"}}}}",
        zone(number)
    )
}
