//! The simulator's messages as they stand on the wire; no decision is taken here.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of input.
#[derive(Deserialize)]
#[serde(tag = "verb", rename_all = "kebab-case")]
pub enum Line {
    #[serde(rename_all = "kebab-case")]
    Clock {
        moment_ms: f64,
        seq: u64,
    },
    End {},
    #[serde(rename_all = "kebab-case")]
    Init {
        limiter_id: u64,
        init_seed: u64,
        conf: Box<Conf>,
    },
    #[serde(rename_all = "kebab-case")]
    Halt {
        limiter_id: u64,
    },
    Catalog {
        buffer: usize,
        hosts: Vec<Host>,
    },
    DirectoryUpdate(Update),
    Call(Call),
    #[serde(rename_all = "kebab-case")]
    Flowing {
        limiter_id: u64,
        handle: u32,
    },
    #[serde(rename_all = "kebab-case")]
    LedgerReply {
        limiter_id: u64,
        slot_name: u64,
        sum: Option<f64>,
        reason: Reason,
    },
    #[serde(rename_all = "kebab-case")]
    Abandoned {
        limiter_id: u64,
        handle: u32,
    },
    Resolved(Resolved),
    #[serde(rename_all = "kebab-case")]
    Timer {
        limiter_id: u64,
        label: u64,
    },
    #[serde(rename_all = "kebab-case")]
    Pong {
        limiter_id: u64,
        reason: Reason,
        duration_ms: Option<f64>,
        server: u32,
        feedback: Option<BTreeMap<String, f64>>,
    },
    #[serde(rename_all = "kebab-case")]
    PeerData {
        limiter_id: u64,
        from: u32,
        octets: String,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Update {
    pub limiter_id: u64,
    pub buffer: Option<usize>,
    pub form: Form,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    Changes,
    All,
    Remembered,
    Refused,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "kebab-case")]
pub struct Host {
    pub last_start_ms: Option<f64>,
    pub zone: String,
    pub class_of_host: Option<String>,
    pub pod: Option<u32>,
    pub scale: Option<f64>,
    pub server: u32,
    pub condition: Condition,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    InService,
    Terminating,
    Terminated,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Call {
    pub limiter_id: u64,
    pub handle: u32,
    pub service: String,
    pub plan: String,
    pub customer: String,
    pub remaining_ms: f64,
    pub weight: Option<f64>,
    pub set_size: Option<u32>,
    pub from_no: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Resolved {
    pub limiter_id: u64,
    pub handle: u32,
    pub actual: Option<f64>,
    pub quota_use: Option<f64>,
    pub duration_ms: Option<f64>,
    pub server: u32,
    pub leg: Option<u32>,
    pub reason: Reason,
    pub ended: Option<bool>,
    pub feedback: Option<BTreeMap<String, f64>>,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Conf {
    pub my_number: u32,
    pub group_size: u32,
    pub zone: String,
    pub failure_domains: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    pub profiles: Vec<Profile>,
    #[serde(default)]
    pub plans: Vec<Plan>,
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default)]
    pub family_info: Family,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub membership_mode: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Profile {
    pub name: String,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    #[serde(default)]
    pub worth: f64,
    #[serde(default)]
    pub late_worth: f64,
    pub semantics: Semantics,
    pub group: Option<Group>,
    pub dedup_window_ms: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Semantics {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
#[derive(Default)]
pub struct Plan {
    pub name: String,
    pub per_second: f64,
    pub store_size: f64,
    pub at_once: f64,
    pub cap_rate: f64,
    pub hard_burst: f64,
    pub price: f64,
    pub over_worth: f64,
    pub overrun_cost: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    pub try_limit: u32,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after_ms: f64,
    pub may_tell: bool,
    pub probes: bool,
    pub cancel: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Family {
    pub mail_per_s: f64,
    pub settles: bool,
    pub meter_ms: f64,
    pub shared_counter: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Rules {
    pub cold_from: f64,
    pub warm_after_ms: f64,
    pub fall_multiple: f64,
    pub overload_for_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Prices {
    pub cross_zone: f64,
    pub peer: f64,
}

/// One line of a reply.
#[derive(Serialize)]
#[serde(tag = "verb", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Reply<'a> {
    Send { limiter_id: u64, handle: u32, server: u32, allow_for_ms: f64 },
    DropRequest { limiter_id: u64, handle: u32 },
    NotNow { limiter_id: u64, handle: u32, retry_after_ms: Option<f64> },
    Abandon { limiter_id: u64, handle: u32, leg: u32 },
    Sample { limiter_id: u64, server: u32 },
    Release { limiter_id: u64, server: u32 },
    Schedule { limiter_id: u64, delay_ms: f64, label: u64 },
    Tell { limiter_id: u64, peer: Peer, octets: String },
    GetList { limiter_id: u64 },
    Watch { limiter_id: u64, on: bool },
    Incr { limiter_id: u64, slot_name: u64, step: f64, lives_ms: f64 },
    Debug { limiter_id: u64, note_text: &'a str },
    Fault { limiter_id: u64, note_text: &'a str },
    End { seq: u64 },
}

/// A receiver on the wire: a number, or all.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Peer {
    One(u32),
    All(&'static str),
}
