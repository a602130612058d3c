//! The configuration that `GW_CONFIG` names, checked and in the program's own types.

use crate::discovery::Listing;
use dillpass::settings::{Conf, Names};
use dillpass::Settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors for what is neither a client's nor a server's: listeners, discovery, the runtime's own; some
/// more than there are.
const OTHER_SOCKETS: usize = 24;
/// Clients' part of the rest: they may hold a third of all for requests, and beside those stand silent and
/// idle ones.
const CLIENT_SHARE: f64 = 0.55;
/// A server closes idle connections at its limit; ours go at this share of it, so that none is used then.
const IDLE_SHARE: f64 = 0.8;

/// What one limiter is told at its start.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub known: Listing,
    pub settings: Settings,
    pub names: Names,
    /// Most connections with clients, and most with servers.
    pub client_sockets: usize,
    pub server_sockets: usize,
    /// Most units of one request.
    pub most_units: f64,
    pub connect_timeout: Duration,
    pub idle_limit: Duration,
}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: Listing,
    settings: Conf,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

impl Config {
    /// Reads the file that `GW_CONFIG` names; the error is one clear line.
    pub fn from_env() -> Result<Config, String> {
        let path = std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG names no configuration file")?;
        let shown = path.to_string_lossy();
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {shown}: {e}"))?;
        let file: File = serde_json::from_slice(&text).map_err(|e| format!("{shown}: {e}"))?;
        Config::new(file).map_err(|problem| format!("{shown}: {problem}"))
    }

    /// No client waits for an answer longer than this.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        Duration::try_from_secs_f64(longest / 1000.0).unwrap_or_default()
    }

    fn new(file: File) -> Result<Config, String> {
        let (settings, names) = file.settings.translate()?;
        if settings.classes.is_empty() || settings.plans.is_empty() {
            return Err("settings: no classes or no plans".into());
        }
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed '{}': {e}", file.seed))?;
        let sockets = file.limits.sockets.saturating_sub(OTHER_SOCKETS);
        if sockets < 40 {
            return Err(format!("limits: {} sockets are too few", file.limits.sockets));
        }
        let millis = |value: Option<f64>, usual: f64| {
            let value = value.filter(|v| v.is_finite() && *v > 0.0).unwrap_or(usual);
            Duration::try_from_secs_f64(value / 1000.0).map_err(|e| format!("settings: {value} ms: {e}"))
        };
        let client_sockets = (sockets as f64 * CLIENT_SHARE) as usize;
        // Where the settings do not say, no request may hold more than the largest store.
        let largest = settings.plans.iter().map(|plan| plan.burst).fold(1.0, f64::max);
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known: file.known,
            connect_timeout: millis(file.settings.connect_timeout(), 250.0)?,
            idle_limit: millis(file.settings.idle_close(), 15_000.0)?.mul_f64(IDLE_SHARE),
            most_units: file.settings.most_units().unwrap_or(largest),
            settings,
            names,
            client_sockets,
            server_sockets: sockets - client_sockets,
        })
    }
}
