//! The settings and the list of servers as hosts get them, translated for the decisions: the simulator
//! and a real limiter's configuration use the same names and units. No decision is taken here.

use crate::gossip;
use crate::interface::*;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A server or a gateway is in a zone that the configuration does not list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown zone '{0}'")]
pub struct UnknownZone(pub String);

/// The names that the settings gave to the indices.
#[derive(Clone, Debug)]
pub struct IndexNames {
    classes: BTreeMap<String, usize>,
    plans: BTreeMap<String, usize>,
    zones: BTreeMap<String, usize>,
    kinds: BTreeMap<String, usize>,
}

/// One line of a list of servers, in names.
#[derive(Debug)]
pub struct ServerEntry<'a> {
    /// Which server.
    pub id: ServerId,
    /// Its zone.
    pub zone: &'a str,
    /// Its machine kind.
    pub kind: Option<&'a str>,
    /// Its cell.
    pub cell: Option<u32>,
    /// Its stated size.
    pub capacity: Option<f64>,
    /// When it last started, on the host's clock.
    pub started_at: Option<Millis>,
    /// Its standing.
    pub status: ServerStatus,
}

impl IndexNames {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied().map(ClassId)
    }

    /// The classes' names, each at its index.
    pub fn class_names(&self) -> Vec<String> {
        let mut names: Vec<(usize, &String)> =
            self.classes.iter().map(|(name, at)| (*at, name)).collect();
        names.sort();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// The plan of this name.
    pub fn plan(&self, name: &str) -> Option<PlanId> {
        self.plans.get(name).copied().map(PlanId)
    }

    /// A line of the list; the error names a zone that the settings do not.
    pub fn server(&self, line: ServerEntry) -> Result<Server, UnknownZone> {
        Ok(Server {
            id: line.id,
            zone: *self
                .zones
                .get(line.zone)
                .ok_or_else(|| UnknownZone(line.zone.to_owned()))?,
            kind: line
                .kind
                .and_then(|kind| self.kinds.get(kind))
                .copied()
                .unwrap_or(0),
            cell: line.cell.unwrap_or(0),
            capacity: line.capacity.unwrap_or(1.0),
            started_at: line.started_at,
            status: line.status,
        })
    }
}

/// The value of a load report that has this name in the settings.
pub fn report_field<'a>(report: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "mean_ms" => &mut report.service_time,
        "depth" => &mut report.queue_length,
        "concurrent" => &mut report.in_flight,
        "load_share" => &mut report.utilization,
        _ => return None,
    })
}

/// A load report, by the names that its values have in the settings.
pub fn report(value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for name in ["mean_ms", "depth", "concurrent", "load_share"] {
        if let Some(field) = report_field(&mut report, name) {
            *field = value(name);
        }
    }
    report
}

/// FNV-1a, folded to the part that travels in gossip: the same at every gateway, whatever the machine.
pub fn stable_hash(name: &str) -> u64 {
    let whole = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    (whole ^ whole >> 40) & gossip::ID_MASK
}

/// The settings as they stand in JSON; opaque but for what a host may need of them.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostConfig {
    my_number: u32,
    group_size: u32,
    zone: String,
    failure_domains: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    profiles: Vec<Profile>,
    #[serde(default)]
    plans: Vec<Tariff>,
    #[serde(default)]
    bounds: Bounds,
    #[serde(default)]
    family_info: Family,
    #[serde(default)]
    rules: Figures,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    membership_mode: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Profile {
    name: String,
    aim_ms: f64,
    deadline_ms: f64,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    semantics: Semantics,
    group: Option<Repeats>,
    dedup_window_ms: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "kebab-case")]
enum Semantics {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "kebab-case")]
enum Repeats {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
#[derive(Default)]
struct Tariff {
    name: String,
    per_second: f64,
    store_size: f64,
    at_once: f64,
    cap_rate: f64,
    hard_burst: f64,
    price: f64,
    over_worth: f64,
    overrun_cost: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Bounds {
    try_limit: u32,
    second_copies: bool,
    retry_after: bool,
    max_retry_after_ms: f64,
    may_tell: bool,
    probes: bool,
    cancel: bool,
    connect_timeout_ms: Option<f64>,
    idle_close_ms: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Family {
    mail_per_s: f64,
    max_units: f64,
    settles: bool,
    meter_ms: f64,
    shared_counter: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Figures {
    cold_from: f64,
    warm_after_ms: f64,
    fall_multiple: f64,
    overload_for_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    cross_zone: f64,
    peer: f64,
}

impl HostConfig {
    /// What the decisions are told, and the names of the indices in it.
    pub fn to_settings(&self) -> Result<(Settings, IndexNames), UnknownZone> {
        fn index<'a>(names: impl Iterator<Item = &'a String>) -> BTreeMap<String, usize> {
            names
                .enumerate()
                .map(|(i, name)| (name.clone(), i))
                .collect()
        }
        let names = IndexNames {
            classes: index(self.profiles.iter().map(|p| &p.name)),
            plans: index(self.plans.iter().map(|p| &p.name)),
            zones: index(self.failure_domains.iter()),
            kinds: index(self.kinds.iter()),
        };
        let zone = *names
            .zones
            .get(&self.zone)
            .ok_or_else(|| UnknownZone(self.zone.clone()))?;
        Ok((settings(self, zone), names))
    }

    /// A connection that is not up by then counts as failed.
    pub fn connect_timeout(&self) -> Option<Millis> {
        self.bounds.connect_timeout_ms
    }

    /// No request counts more units, where that is told.
    pub fn max_units(&self) -> Option<f64> {
        Some(self.family_info.max_units).filter(|most| *most > 0.0)
    }

    /// Servers close connections that were idle for so long.
    pub fn idle_close(&self) -> Option<Millis> {
        self.bounds.idle_close_ms
    }
}

fn settings(conf: &HostConfig, zone: usize) -> Settings {
    let class = |p: &Profile| Class {
        latency_target: p.aim_ms,
        deadline: p.deadline_ms,
        value: p.worth,
        late_value: p.late_worth,
        idempotency: match p.semantics {
            Semantics::Safe => Idempotency::Safe,
            Semantics::Unsafe => Idempotency::Unsafe,
            Semantics::Keyed => Idempotency::Keyed {
                scope: match p.group {
                    Some(Repeats::All) => DedupScope::All,
                    Some(Repeats::Zone) => DedupScope::Zone,
                    Some(Repeats::Cell) | None => DedupScope::Cell,
                },
                window: p.dedup_window_ms.unwrap_or(0.0),
            },
        },
    };
    let plan = |p: &Tariff| Plan {
        quota_rate: p.per_second,
        quota_burst: p.store_size,
        max_in_flight: p.at_once,
        limit_rate: p.cap_rate,
        limit_burst: p.hard_burst,
        price: p.price,
        over_quota_value: p.over_worth,
        over_quota_cost: p.overrun_cost,
    };
    Settings {
        gateway_id: GatewayId(conf.my_number),
        group_size: conf.group_size,
        zone,
        classes: conf.profiles.iter().map(class).collect(),
        plans: conf.plans.iter().map(plan).collect(),
        slow_start: SlowStart {
            initial_capacity: conf.rules.cold_from,
            duration: conf.rules.warm_after_ms,
            overload_multiple: conf.rules.fall_multiple,
            overload_time: conf.rules.overload_for_ms,
        },
        max_attempts: conf.bounds.try_limit,
        hedging: conf.bounds.second_copies,
        max_retry_after: if conf.bounds.retry_after {
            conf.bounds.max_retry_after_ms
        } else {
            0.0
        },
        peer_messages_per_second: if conf.bounds.may_tell {
            conf.family_info.mail_per_s
        } else {
            0.0
        },
        subscribe_servers: conf.membership_mode == "ask",
        can_cancel: conf.bounds.cancel,
        can_probe: conf.bounds.probes,
        units_are_estimates: conf.family_info.settles,
        meter_period: conf.family_info.meter_ms,
        shared_counter: conf.family_info.shared_counter,
        cross_zone_slowdown: 1.0,
        cross_zone_price: conf.prices.cross_zone,
        peer_message_price: conf.prices.peer,
    }
}
