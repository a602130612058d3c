//! The JSON configuration and the endpoint list of hosts, translated to the types of the decisions. The simulator
//! and the limiter use the same names and units; a field whose JSON name differs from its name here carries the
//! JSON name in `serde(rename)`. No decision is taken here.

use crate::gossip;
use crate::interface::{
    Class, ClassId, DedupScope, GatewayId, Idempotency, LoadReport, Millis, Plan, PlanId, Server,
    ServerId, ServerStatus, Settings, SlowStart,
};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A server or a gateway is in a zone that the configuration does not list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown zone '{0}'")]
pub struct UnknownZone(pub String);

/// Indices in [`Settings`] by the names of the configuration.
#[derive(Clone, Debug)]
pub struct NameIndex {
    classes: BTreeMap<String, usize>,
    plans: BTreeMap<String, usize>,
    zones: BTreeMap<String, usize>,
    kinds: BTreeMap<String, usize>,
}

/// One entry of the endpoint list, with names in place of indices.
#[derive(Debug)]
pub struct ServerEntry<'a> {
    /// The server's number, the same at every gateway.
    pub id: ServerId,
    /// Name of its zone; it must be one of the configuration's.
    pub zone: &'a str,
    /// Name of its machine kind; one that the configuration does not list counts as the first.
    pub kind: Option<&'a str>,
    /// Its cell; 0 if absent.
    pub cell: Option<u32>,
    /// Its stated capacity, relative to other servers'; 1 if absent.
    pub capacity: Option<f64>,
    /// When its present incarnation started, on the host's clock; `None` for long ago.
    pub started_at: Option<Millis>,
    /// Whether it accepts requests.
    pub status: ServerStatus,
}

impl NameIndex {
    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied().map(ClassId)
    }

    /// The names of the classes, in the order of their indices.
    pub fn class_names(&self) -> Vec<String> {
        let mut names: Vec<(usize, &String)> =
            self.classes.iter().map(|(name, at)| (*at, name)).collect();
        names.sort();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// The plan with this name.
    pub fn plan(&self, name: &str) -> Option<PlanId> {
        self.plans.get(name).copied().map(PlanId)
    }

    /// Translates an entry of the endpoint list.
    ///
    /// # Errors
    ///
    /// When the configuration does not list its zone.
    pub fn server(&self, entry: ServerEntry) -> Result<Server, UnknownZone> {
        Ok(Server {
            id: entry.id,
            zone: *self
                .zones
                .get(entry.zone)
                .ok_or_else(|| UnknownZone(entry.zone.to_owned()))?,
            kind: entry
                .kind
                .and_then(|kind| self.kinds.get(kind))
                .copied()
                .unwrap_or(0),
            cell: entry.cell.unwrap_or(0),
            capacity: entry.capacity.unwrap_or(1.0),
            started_at: entry.started_at,
            status: entry.status,
        })
    }
}

/// The names under which servers report their load.
const LOAD_REPORT_NAMES: [&str; 4] = ["mean_ms", "depth", "concurrent", "load_share"];

/// The field of a load report that servers send under this name; `None` for an unknown name.
pub fn load_report_field<'a>(
    report: &'a mut LoadReport,
    name: &str,
) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "mean_ms" => &mut report.service_time,
        "depth" => &mut report.queue_length,
        "concurrent" => &mut report.in_flight,
        "load_share" => &mut report.utilization,
        _ => return None,
    })
}

/// Builds a load report; `value` returns the reported value of a name.
pub fn load_report(value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for name in LOAD_REPORT_NAMES {
        if let Some(field) = load_report_field(&mut report, name) {
            *field = value(name);
        }
    }
    report
}

/// Hashes a customer's name with FNV-1a, folded to [`gossip::ID_MASK`]. The result must be the same at every
/// gateway and in every build, as gossip identifies customers by it.
pub fn stable_hash(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    (hash ^ hash >> 40) & gossip::ID_MASK
}

/// The JSON configuration. Its fields are private, except for the values that hosts themselves need.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostConfig {
    #[serde(rename = "my-number")]
    gateway_id: GatewayId,
    group_size: u32,
    zone: String,
    #[serde(rename = "failure-domains")]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(rename = "profiles")]
    classes: Vec<ClassConfig>,
    #[serde(default)]
    plans: Vec<PlanConfig>,
    #[serde(default, rename = "bounds")]
    capabilities: Capabilities,
    #[serde(default, rename = "family-info")]
    environment: Environment,
    #[serde(default, rename = "rules")]
    slow_start: SlowStartConfig,
    #[serde(default)]
    prices: Prices,
    /// `ask` where the endpoint list has to be subscribed to.
    #[serde(default)]
    membership_mode: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassConfig {
    name: String,
    #[serde(rename = "aim-ms")]
    latency_target: Millis,
    #[serde(rename = "deadline-ms")]
    deadline: Millis,
    #[serde(default, rename = "worth")]
    value: f64,
    #[serde(default, rename = "late-worth")]
    late_value: f64,
    #[serde(rename = "semantics")]
    idempotency: IdempotencyKind,
    /// Only for keyed classes; a cell if absent.
    #[serde(rename = "group")]
    dedup_scope: Option<DedupScope>,
    /// For keyed classes.
    #[serde(rename = "dedup-window-ms")]
    dedup_window: Option<Millis>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "kebab-case")]
enum IdempotencyKind {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct PlanConfig {
    name: String,
    #[serde(rename = "per-second")]
    quota_rate: f64,
    #[serde(rename = "store-size")]
    quota_burst: f64,
    #[serde(rename = "at-once")]
    max_in_flight: f64,
    #[serde(rename = "cap-rate")]
    limit_rate: f64,
    #[serde(rename = "hard-burst")]
    limit_burst: f64,
    price: f64,
    #[serde(rename = "over-worth")]
    over_quota_value: f64,
    #[serde(rename = "overrun-cost")]
    over_quota_cost: f64,
}

/// Optional features of a gateway and their limits.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Capabilities {
    #[serde(rename = "try-limit")]
    max_attempts: u32,
    #[serde(rename = "second-copies")]
    hedging: bool,
    retry_after: bool,
    #[serde(rename = "max-retry-after-ms")]
    max_retry_after: Millis,
    #[serde(rename = "may-tell")]
    peer_messages: bool,
    probes: bool,
    cancel: bool,
    #[serde(rename = "connect-timeout-ms")]
    connect_timeout: Option<Millis>,
    #[serde(rename = "idle-close-ms")]
    idle_timeout: Option<Millis>,
}

/// Properties of a gateway's environment.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Environment {
    #[serde(rename = "mail-per-s")]
    peer_messages_per_second: f64,
    /// 0 if unknown.
    max_units: f64,
    #[serde(rename = "settles")]
    units_are_estimates: bool,
    #[serde(rename = "meter-ms")]
    meter_period: Millis,
    shared_counter: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct SlowStartConfig {
    #[serde(rename = "cold-from")]
    initial_capacity: f64,
    #[serde(rename = "warm-after-ms")]
    duration: Millis,
    #[serde(rename = "fall-multiple")]
    overload_multiple: f64,
    #[serde(rename = "overload-for-ms")]
    overload_time: Millis,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    cross_zone: f64,
    #[serde(rename = "peer")]
    peer_message: f64,
}

impl HostConfig {
    /// Translates the configuration to the settings of the decisions, and returns the indices of its names with
    /// them.
    ///
    /// # Errors
    ///
    /// When the gateway's zone is none of the configuration's.
    pub fn to_settings(&self) -> Result<(Settings, NameIndex), UnknownZone> {
        let names = NameIndex {
            classes: index_by_name(self.classes.iter().map(|class| &class.name)),
            plans: index_by_name(self.plans.iter().map(|plan| &plan.name)),
            zones: index_by_name(self.zones.iter()),
            kinds: index_by_name(self.kinds.iter()),
        };
        let zone = *names
            .zones
            .get(&self.zone)
            .ok_or_else(|| UnknownZone(self.zone.clone()))?;
        Ok((self.settings(zone), names))
    }

    /// Milliseconds after which an attempt to connect fails, if configured.
    pub fn connect_timeout(&self) -> Option<Millis> {
        self.capabilities.connect_timeout
    }

    /// Largest number of units of a request, if configured.
    pub fn max_units(&self) -> Option<f64> {
        Some(self.environment.max_units).filter(|max_units| *max_units > 0.0)
    }

    /// Milliseconds after which servers close an idle connection, if configured. A connection that was idle for
    /// almost that long must not be reused, as the server may close it at the same moment.
    pub fn idle_timeout(&self) -> Option<Millis> {
        self.capabilities.idle_timeout
    }

    fn settings(&self, zone: usize) -> Settings {
        Settings {
            gateway_id: self.gateway_id,
            group_size: self.group_size,
            zone,
            classes: self.classes.iter().map(ClassConfig::to_class).collect(),
            plans: self.plans.iter().map(PlanConfig::to_plan).collect(),
            slow_start: self.slow_start.to_slow_start(),
            max_attempts: self.capabilities.max_attempts,
            hedging: self.capabilities.hedging,
            max_retry_after: self.capabilities.max_retry_after(),
            peer_messages_per_second: if self.capabilities.peer_messages {
                self.environment.peer_messages_per_second
            } else {
                0.0
            },
            subscribe_servers: self.membership_mode == "ask",
            can_cancel: self.capabilities.cancel,
            can_probe: self.capabilities.probes,
            units_are_estimates: self.environment.units_are_estimates,
            meter_period: self.environment.meter_period,
            shared_counter: self.environment.shared_counter,
            cross_zone_slowdown: 1.0,
            cross_zone_price: self.prices.cross_zone,
            peer_message_price: self.prices.peer_message,
        }
    }
}

/// Maps each name to its position.
fn index_by_name<'a>(names: impl Iterator<Item = &'a String>) -> BTreeMap<String, usize> {
    names
        .enumerate()
        .map(|(position, name)| (name.clone(), position))
        .collect()
}

impl ClassConfig {
    fn to_class(&self) -> Class {
        Class {
            latency_target: self.latency_target,
            deadline: self.deadline,
            value: self.value,
            late_value: self.late_value,
            idempotency: match self.idempotency {
                IdempotencyKind::Safe => Idempotency::Safe,
                IdempotencyKind::Unsafe => Idempotency::Unsafe,
                IdempotencyKind::Keyed => Idempotency::Keyed {
                    scope: self.dedup_scope.unwrap_or(DedupScope::Cell),
                    window: self.dedup_window.unwrap_or(0.0),
                },
            },
        }
    }
}

impl PlanConfig {
    fn to_plan(&self) -> Plan {
        Plan {
            quota_rate: self.quota_rate,
            quota_burst: self.quota_burst,
            max_in_flight: self.max_in_flight,
            limit_rate: self.limit_rate,
            limit_burst: self.limit_burst,
            price: self.price,
            over_quota_value: self.over_quota_value,
            over_quota_cost: self.over_quota_cost,
        }
    }
}

impl SlowStartConfig {
    fn to_slow_start(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.initial_capacity,
            duration: self.duration,
            overload_multiple: self.overload_multiple,
            overload_time: self.overload_time,
        }
    }
}

impl Capabilities {
    /// The configured bound on retry delays; 0 if clients cannot be given one.
    fn max_retry_after(&self) -> Millis {
        if self.retry_after {
            self.max_retry_after
        } else {
            0.0
        }
    }
}
