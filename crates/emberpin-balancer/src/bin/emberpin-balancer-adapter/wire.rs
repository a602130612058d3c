//! The simulator's messages as they stand on the wire; no decision is taken here.

use emberpin_balancer::settings::Conf;
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

/// One line of a reply.
#[derive(Serialize)]
#[serde(
    tag = "verb",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum Reply<'a> {
    Send {
        limiter_id: u64,
        handle: u32,
        server: u32,
        allow_for_ms: f64,
    },
    DropRequest {
        limiter_id: u64,
        handle: u32,
    },
    NotNow {
        limiter_id: u64,
        handle: u32,
        retry_after_ms: Option<f64>,
    },
    Abandon {
        limiter_id: u64,
        handle: u32,
        leg: u32,
    },
    Sample {
        limiter_id: u64,
        server: u32,
    },
    Release {
        limiter_id: u64,
        server: u32,
    },
    Schedule {
        limiter_id: u64,
        delay_ms: f64,
        label: u64,
    },
    Tell {
        limiter_id: u64,
        peer: Peer,
        octets: String,
    },
    GetList {
        limiter_id: u64,
    },
    Watch {
        limiter_id: u64,
        on: bool,
    },
    Incr {
        limiter_id: u64,
        slot_name: u64,
        step: f64,
        lives_ms: f64,
    },
    Debug {
        limiter_id: u64,
        note_text: &'a str,
    },
    Fault {
        limiter_id: u64,
        note_text: &'a str,
    },
    End {
        seq: u64,
    },
}

/// A receiver on the wire: a number, or all.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Peer {
    One(u32),
    All(&'static str),
}
