//! The settings of the measured programs, in the format of the limiter's own file, so that all of them read one file.

use emberpin_testbed::scenario::Site;
use emberpin_testbed::{figures, settings};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The backlog of a listener, in connections that wait to be accepted; the same as at the limiter.
pub const BACKLOG: u32 = 512;
/// A quota, in units a second and as a burst, that no load here reaches: the benchmark measures the cost of a request,
/// not rejections.
const UNREACHED_QUOTA: f64 = 1e9;

/// The part of the file that a proxy without admission control and load balancing needs.
pub struct Settings {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The addresses of the servers.
    pub servers: Vec<SocketAddr>,
}

impl Settings {
    /// Reads the file that `GW_CONFIG` names.
    ///
    /// # Errors
    ///
    /// The setting that cannot be read and why, in one line.
    pub fn from_env() -> Result<Settings, String> {
        let path = std::env::var("GW_CONFIG").map_err(|e| format!("GW_CONFIG: {e}"))?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        let file: Value = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
        let address = |value: &Value| {
            let text = value.as_str().unwrap_or_default();
            text.parse::<SocketAddr>()
                .map_err(|e| format!("{path}: address '{text}': {e}"))
        };
        let targets = file["known"]["targets"].as_array().into_iter().flatten();
        let servers: Result<Vec<_>, _> =
            targets.map(|target| address(&target["endpoint"])).collect();
        Ok(Settings {
            listen: address(&file["listen"])?,
            servers: servers?,
        })
    }
}

/// The settings file of a single limiter with these servers, and quotas that no load here reaches.
pub fn file(listen: SocketAddr, discovery: SocketAddr, servers: &[SocketAddr]) -> Value {
    let site = Site {
        limiters: 1,
        servers: servers.len(),
        ..Site::default()
    };
    let mut settings = settings::settings(&site, 0);
    for plan in settings["plans"].as_array_mut().into_iter().flatten() {
        plan["per-second"] = json!(UNREACHED_QUOTA);
        plan["store-size"] = json!(UNREACHED_QUOTA);
        plan["cap-rate"] = json!(0.0);
        plan["hard-burst"] = json!(0.0);
    }
    let target = |(number, address): (usize, &SocketAddr)| {
        json!({"uid": format!("s-{number}"), "endpoint": address, "az": figures::zone_name(number % site.zones),
               "model": "std-2c", "pod_group": number / site.zones, "state": "ready", "capacity_hint": 1.0,
               "boot_ms": 0.0})
    };
    let targets: Vec<Value> = servers.iter().enumerate().map(target).collect();
    json!({
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings,
    })
}
