//! The configuration that `GW_CONFIG` names, checked and in the program's own types.

use crate::messages::MAX_BODY;
use crate::operate::operator::{Connections, Idempotency, Link, Log, Operator};
use crate::operate::operator_api;
use crate::operate::start::Start;
use crate::operate::takeover::Takeover;
use crate::upstream::listing::Listing;
use crate::upstream::server::PoolLimits;
use emberpin_balancer::host_config::{HostConfig, IndexNames};
use emberpin_balancer::Settings;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Descriptors for what is neither a client's nor a server's: listeners, discovery, the runtime's own; some
/// more than there are.
const OTHER_SOCKETS: usize = 24;
/// Where the platform does not say, and the least with which a limiter starts, in MiB.
const USUAL_MEMORY: u64 = 192;
const LEAST_MEMORY: u64 = 16;
/// What one body that is passed on in pieces may hold: what came first of it, and buffers on both sides; and the part of
/// the memory that all of them may have in each direction, so that small requests always have the rest.
const PASSING_BYTES: u64 = 112 << 10;
const PASSING_PART: u64 = 4;
/// The environment variable that names the operators' address, where the platform's file does not.
pub const OPS: &str = "GW_OPS";
/// The environment variable that names the platform's file.
pub const PLATFORM_FILE: &str = "GW_CONFIG";

/// What one limiter is told at its start.
pub struct Config {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) peer_listen: Option<SocketAddr>,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) peers_all: Option<SocketAddr>,
    /// Where the people on call come in.
    pub(crate) ops: Option<SocketAddr>,
    pub(crate) known: Listing,
    pub(crate) settings: Settings,
    pub(crate) names: IndexNames,
    /// Most connections with clients, and most with servers.
    pub(crate) client_sockets: usize,
    pub(crate) server_sockets: usize,
    /// Most bodies that are passed on in pieces at a time, requests' and answers' each.
    pub(crate) passing: usize,
    /// Most units of one request.
    pub(crate) most_units: f64,
    pub(crate) connect_timeout: Duration,
    pub(crate) idle_limit: Duration,
    /// How limiters start, if the operator has said.
    pub(crate) start: Option<Start>,
    /// How work in hand is taken over, if it is.
    pub(crate) takeover: Option<Takeover>,
    /// The folder of this instance's snapshot of the list.
    pub(crate) snapshot: Option<PathBuf>,
    /// As the operator has them.
    pub(crate) connections: Connections,
    /// The same; `None` where it is off.
    pub(crate) idempotency: Option<Idempotency>,
    /// The same, with the instance's own folder.
    pub(crate) log: Option<(Log, PathBuf)>,
    /// The same, and this instance's number in it.
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
    known: Listing,
    settings: HostConfig,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<u64>,
}

impl Config {
    /// Reads the file that `GW_CONFIG` names, for a limiter that the operator has set so.
    ///
    /// # Errors
    ///
    /// One clear line: which file, where in it, and what was found and expected.
    pub fn from_env(operator: &Operator) -> Result<Config, String> {
        let path =
            std::env::var_os(PLATFORM_FILE).ok_or("GW_CONFIG names no configuration file")?;
        let shown = path.to_string_lossy();
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {shown}: {e}"))?;
        let mut file: File = serde_json::from_slice(&text).map_err(|e| format!("{shown}: {e}"))?;
        if let (None, Some(ops)) = (file.ops, std::env::var_os(OPS)) {
            let ops = ops.to_string_lossy();
            let at = ops
                .parse()
                .map_err(|e| format!("{OPS} '{ops}': {e}; expected an address as 10.0.0.4:9000"))?;
            file.ops = Some(at);
        }
        Config::new(file, operator).map_err(|problem| format!("{shown}: {problem}"))
    }

    /// Lists of servers are told over the link.
    pub(crate) fn tells_lists(&self) -> bool {
        self.start
            .as_ref()
            .is_some_and(|start| start.callers.is_some())
    }

    /// What connections to servers are held to.
    pub(crate) fn pool_limits(&self) -> PoolLimits {
        PoolLimits {
            connect: self.connect_timeout,
            idle: self.idle_limit,
            max_idle_per_server: self.connections.idle_per_server,
            sockets: self.server_sockets,
            unacknowledged: None,
            buffered_response_bytes: MAX_BODY,
        }
    }

    /// No client waits for an answer longer than this.
    pub(crate) fn longest_deadline(&self) -> Duration {
        let longest = self
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        Duration::try_from_secs_f64(longest / 1000.0).unwrap_or_default()
    }

    fn new(file: File, operator: &Operator) -> Result<Config, String> {
        let (settings, names) = file
            .settings
            .to_settings()
            .map_err(|error| error.to_string())?;
        if settings.classes.is_empty() || settings.plans.is_empty() {
            return Err("settings: no classes or no plans".into());
        }
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|e| format!("seed '{}': {e}", file.seed))?;
        // The operators' callers have places of their own: a crowd must not keep them out.
        let callers = if file.ops.is_some() {
            operator_api::PLACES
        } else {
            0
        };
        let sockets = file.limits.sockets.saturating_sub(OTHER_SOCKETS + callers);
        if sockets < 40 {
            return Err(format!(
                "limits: {} sockets are too few",
                file.limits.sockets
            ));
        }
        let memory = file.limits.memory_mb.unwrap_or(USUAL_MEMORY);
        if memory < LEAST_MEMORY {
            return Err(format!(
                "limits: memory_mb {memory} is too little: at least {LEAST_MEMORY} are needed"
            ));
        }
        let millis = |value: Option<f64>, usual: f64| {
            let value = value.filter(|v| v.is_finite() && *v > 0.0).unwrap_or(usual);
            Duration::try_from_secs_f64(value / 1000.0)
                .map_err(|e| format!("settings: {value} ms: {e}"))
        };
        let client_sockets = (sockets as f64 * operator.connections.client_share) as usize;
        // Where the settings do not say, no request may hold more than the largest store.
        let largest = settings
            .plans
            .iter()
            .map(|plan| plan.quota_burst)
            .fold(1.0, f64::max);
        let log = operator
            .log
            .clone()
            .map(|log| log.folder_of(&file.name).map(|folder| (log, folder)));
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
            .map(|start| start.folder_of(&file.name))
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
            known: file.known,
            connect_timeout: millis(file.settings.connect_timeout(), 250.0)?,
            idle_limit: millis(file.settings.idle_timeout(), 15_000.0)?
                .mul_f64(operator.connections.idle_share),
            start: operator.start.clone(),
            takeover: operator.takeover.clone(),
            connections: operator.connections.clone(),
            idempotency: operator.idempotency.clone(),
            most_units: file.settings.max_units().unwrap_or(largest),
            settings,
            names,
            client_sockets,
            passing: ((memory << 20) / PASSING_PART / PASSING_BYTES).clamp(4, 1 << 20) as usize,
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
            Some(at) => writeln!(to, "hears {} peers on {at}", self.peers.len())?,
            None => writeln!(to, "hears no peers")?,
        }
        match self.ops {
            Some(at) => writeln!(
                to,
                "operators' door on {at}, {} callers at a time",
                operator_api::PLACES
            )?,
            None => writeln!(to, "no operators' door")?,
        }
        writeln!(
            to,
            "clients {} connections, servers {} connections",
            self.client_sockets, self.server_sockets
        )?;
        writeln!(
            to,
            "bodies over 64 KiB at a time, each way: {}",
            self.passing
        )?;
        writeln!(
            to,
            "connect timeout {} ms",
            self.connect_timeout.as_millis()
        )?;
        writeln!(
            to,
            "idle connections to servers end after {} ms",
            self.idle_limit.as_millis()
        )?;
        writeln!(to, "a request counts at most {} units", self.most_units)?;
        writeln!(to, "known servers {}", self.known.targets.len())?;
        match &self.log {
            Some((_, folder)) => writeln!(to, "log of '{}' in {}", self.name, folder.display()),
            None => Ok(()),
        }
    }
}
