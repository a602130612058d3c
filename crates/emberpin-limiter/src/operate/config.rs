//! The configuration that `GW_CONFIG` names, checked and in the program's own types.

use crate::messages::MAX_BUFFERED_BODY;
use crate::operate::operator::{Connections, Idempotency, Link, Log, OperatorSettings};
use crate::operate::operator_api;
use crate::operate::start::Start;
use crate::operate::takeover::Takeover;
use crate::upstream::endpoint_list::EndpointList;
use crate::upstream::server::PoolLimits;
use emberpin_balancer::host_config::{HostConfig, NameIndex};
use emberpin_balancer::Settings;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Descriptors reserved for everything but clients and servers: listeners, discovery, the runtime's own; slightly more
/// than are in use.
const RESERVED_DESCRIPTORS: usize = 24;
/// The memory limit in MiB, if the platform's file does not state one.
const DEFAULT_MEMORY_MIB: u64 = 192;
/// The lowest memory limit with which a limiter starts, in MiB.
const MIN_MEMORY_MIB: u64 = 16;
/// The memory that one streamed body may use, in bytes: its buffered beginning, and buffers on both sides.
const STREAMED_BODY_BYTES: u64 = 112 << 10;
/// The streamed bodies of each direction may together use one n-th of the memory, where n is this number, so that small
/// requests always have the rest.
const STREAMED_BODIES_FRACTION: u64 = 4;
/// The environment variable with the address of the operators' HTTP interface, where the platform's file does not state
/// it.
pub const OPS_VARIABLE: &str = "GW_OPS";
/// The environment variable that names the platform's file.
pub const PLATFORM_FILE: &str = "GW_CONFIG";

/// The checked configuration of one limiter, from the platform's file and the operator files.
pub struct Config {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    /// The address of the service that provides the endpoint list.
    pub(crate) discovery: SocketAddr,
    pub(crate) seed: u64,
    /// The address at which datagrams from peers are received.
    pub(crate) peer_listen: Option<SocketAddr>,
    /// The addresses of the peers, indexed by their ids.
    pub(crate) peers: Vec<SocketAddr>,
    /// The address for datagrams to all peers.
    pub(crate) peers_all: Option<SocketAddr>,
    /// The address of the operators' HTTP interface.
    pub(crate) ops: Option<SocketAddr>,
    /// The endpoint list to start with: the one in the platform's file, or a newer snapshot.
    pub(crate) initial_list: EndpointList,
    pub(crate) settings: Settings,
    pub(crate) names: NameIndex,
    /// Maximum number of connections with clients.
    pub(crate) client_sockets: usize,
    /// Maximum number of connections with servers.
    pub(crate) server_sockets: usize,
    /// Maximum number of streamed request bodies at a time, and likewise of streamed response bodies.
    pub(crate) max_streamed_bodies: usize,
    /// Maximum number of units of one request.
    pub(crate) max_units: f64,
    pub(crate) connect_timeout: Duration,
    pub(crate) server_idle_timeout: Duration,
    /// The table `[start]` of operator files; `None` if no file sets it, as with the tables below.
    pub(crate) start: Option<Start>,
    /// The table `[takeover]`.
    pub(crate) takeover: Option<Takeover>,
    /// The folder of this instance's snapshot of the endpoint list.
    pub(crate) snapshot: Option<PathBuf>,
    /// The table `[connections]`, or its defaults.
    pub(crate) connections: Connections,
    /// The table `[idempotency]`.
    pub(crate) idempotency: Option<Idempotency>,
    /// The table `[log]`, and the instance's own folder.
    pub(crate) log: Option<(Log, PathBuf)>,
    /// The table `[link]`, and this instance's member number in it.
    pub(crate) link: Option<(Link, u32)>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    #[serde(default)]
    known: EndpointList,
    settings: HostConfig,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<u64>,
}

impl Config {
    /// Reads the file that `GW_CONFIG` names, and combines it with the settings of operator files.
    ///
    /// # Errors
    ///
    /// One line that names the file, the place in it, and the found and expected values.
    pub fn from_env(operator: &OperatorSettings) -> Result<Config, String> {
        let path =
            std::env::var_os(PLATFORM_FILE).ok_or("GW_CONFIG names no configuration file")?;
        let shown = path.to_string_lossy();
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {shown}: {e}"))?;
        let mut file: File = serde_json::from_slice(&text).map_err(|e| format!("{shown}: {e}"))?;
        if let (None, Some(ops)) = (file.ops, std::env::var_os(OPS_VARIABLE)) {
            let ops = ops.to_string_lossy();
            let at = ops.parse().map_err(|e| {
                format!("{OPS_VARIABLE} '{ops}': {e}; expected an address such as 10.0.0.4:9000")
            })?;
            file.ops = Some(at);
        }
        Config::new(file, operator).map_err(|problem| format!("{shown}: {problem}"))
    }

    /// Whether endpoint lists are forwarded over the link.
    pub(crate) fn shares_lists(&self) -> bool {
        self.start
            .as_ref()
            .is_some_and(|start| start.callers.is_some())
    }

    /// The limits of connections to servers.
    pub(crate) fn pool_limits(&self) -> PoolLimits {
        PoolLimits {
            connect_timeout: self.connect_timeout,
            idle_timeout: self.server_idle_timeout,
            max_idle_per_server: self.connections.idle_per_server,
            sockets: self.server_sockets,
            unacknowledged_timeout: None,
            buffered_response_bytes: MAX_BUFFERED_BODY,
        }
    }

    /// The longest deadline of all classes: no client waits longer for a response.
    pub(crate) fn longest_deadline(&self) -> Duration {
        let longest = self
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        Duration::try_from_secs_f64(longest / 1000.0).unwrap_or_default()
    }

    fn new(file: File, operator: &OperatorSettings) -> Result<Config, String> {
        let (settings, names) = file
            .settings
            .to_settings()
            .map_err(|error| error.to_string())?;
        if settings.classes.is_empty() || settings.plans.is_empty() {
            return Err("settings: no classes or no plans".into());
        }
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|e| format!("seed '{}': {e}", file.seed))?;
        // Descriptors are reserved for the operators' connections, so that many clients cannot block them.
        let operator_sockets = if file.ops.is_some() {
            operator_api::MAX_CONNECTIONS
        } else {
            0
        };
        let sockets = file
            .limits
            .sockets
            .saturating_sub(RESERVED_DESCRIPTORS + operator_sockets);
        if sockets < 40 {
            return Err(format!(
                "limits: {} sockets are too few",
                file.limits.sockets
            ));
        }
        let memory = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MIB);
        if memory < MIN_MEMORY_MIB {
            return Err(format!(
                "limits: memory_mb {memory} is too little: at least {MIN_MEMORY_MIB} are needed"
            ));
        }
        let millis = |value: Option<f64>, default: f64| {
            let value = value
                .filter(|v| v.is_finite() && *v > 0.0)
                .unwrap_or(default);
            Duration::try_from_secs_f64(value / 1000.0)
                .map_err(|e| format!("settings: {value} ms: {e}"))
        };
        let client_sockets = (sockets as f64 * operator.connections.client_share) as usize;
        // Without a setting, no request may cost more units than the largest quota burst.
        let largest_burst = settings
            .plans
            .iter()
            .map(|plan| plan.quota_burst)
            .fold(1.0, f64::max);
        let log = operator
            .log
            .clone()
            .map(|log| log.instance_folder(&file.name).map(|folder| (log, folder)));
        let link = operator.link.clone().map(|link| {
            let own = link
                .members
                .iter()
                .find(|member| member.name == file.name)
                .map(|member| member.number);
            own.map(|own| (link, own)).ok_or_else(|| {
                format!(
                    "[link] has no member named {:?}, as this instance is",
                    file.name
                )
            })
        });
        let snapshot = operator
            .start
            .as_ref()
            .map(|start| start.instance_folder(&file.name))
            .transpose()?
            .flatten();
        Ok(Config {
            snapshot,
            log: log.transpose()?,
            link: link.transpose()?,
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            ops: file.ops,
            initial_list: file.known,
            connect_timeout: millis(file.settings.connect_timeout(), 250.0)?,
            server_idle_timeout: millis(file.settings.idle_timeout(), 15_000.0)?
                .mul_f64(operator.connections.idle_share),
            start: operator.start.clone(),
            takeover: operator.takeover.clone(),
            connections: operator.connections.clone(),
            idempotency: operator.idempotency.clone(),
            max_units: file.settings.max_units().unwrap_or(largest_burst),
            settings,
            names,
            client_sockets,
            max_streamed_bodies: ((memory << 20) / STREAMED_BODIES_FRACTION / STREAMED_BODY_BYTES)
                .clamp(4, 1 << 20) as usize,
            server_sockets: sockets - client_sockets,
        })
    }
}

impl fmt::Display for Config {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            to,
            "listens on {}, discovery at {}",
            self.listen, self.discovery
        )?;
        writeln!(
            to,
            "limiter {} of {}",
            self.settings.gateway_id.0, self.settings.group_size
        )?;
        match self.peer_listen {
            Some(at) => writeln!(to, "receives from {} peers on {at}", self.peers.len())?,
            None => writeln!(to, "receives from no peers")?,
        }
        match self.ops {
            Some(at) => writeln!(
                to,
                "operators' interface on {at}, {} connections at a time",
                operator_api::MAX_CONNECTIONS
            )?,
            None => writeln!(to, "no operators' interface")?,
        }
        writeln!(
            to,
            "clients {} connections, servers {} connections",
            self.client_sockets, self.server_sockets
        )?;
        writeln!(
            to,
            "bodies over 64 KiB at a time, each way: {}",
            self.max_streamed_bodies
        )?;
        writeln!(
            to,
            "connect timeout {} ms",
            self.connect_timeout.as_millis()
        )?;
        writeln!(
            to,
            "idle connections to servers end after {} ms",
            self.server_idle_timeout.as_millis()
        )?;
        writeln!(to, "a request counts at most {} units", self.max_units)?;
        writeln!(to, "known servers {}", self.initial_list.targets.len())?;
        match &self.log {
            Some((_, folder)) => writeln!(to, "log of '{}' in {}", self.name, folder.display()),
            None => Ok(()),
        }
    }
}
