//! The simulator's messages, one line of JSON each. The wire names are the simulator's; where they differ from the
//! terms of the decision module, a field carries its wire name in `serde(rename)`.

use emberpin_balancer::host_config::HostConfig;
use emberpin_balancer::{GatewayId, Millis, Outcome, RequestId, ServerId, ServerStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The simulator's number of a hosted gateway; a restarted gateway keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceId(u64);

impl std::fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The number of a server list that the simulator sent for updates to refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct ListId(usize);

impl std::fmt::Display for ListId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One line of input.
#[derive(Deserialize)]
#[serde(tag = "verb")]
pub enum Input {
    /// A batch of events begins that all happen at the same time.
    #[serde(rename = "clock")]
    BatchStarted {
        #[serde(rename = "moment-ms")]
        now: Millis,
        /// Repeated when the batch's output ends.
        #[serde(rename = "seq")]
        sequence: u64,
    },
    /// The batch is complete.
    #[serde(rename = "end")]
    BatchEnded {},
    #[serde(rename = "init")]
    StartGateway(StartGateway),
    /// A gateway is killed.
    #[serde(rename = "halt")]
    StopGateway {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
    },
    /// A server list that updates can refer to.
    #[serde(rename = "catalog")]
    ServerList {
        #[serde(rename = "buffer")]
        list: ListId,
        hosts: Vec<Host>,
    },
    #[serde(rename = "directory-update")]
    ServerListUpdate(ServerListUpdate),
    #[serde(rename = "call")]
    Request(Request),
    #[serde(rename = "flowing")]
    ResponseStarted {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "handle")]
        request: RequestId,
    },
    #[serde(rename = "ledger-reply")]
    CounterReply(CounterReply),
    #[serde(rename = "abandoned")]
    Abandoned {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "handle")]
        request: RequestId,
    },
    #[serde(rename = "resolved")]
    AttemptEnded(AttemptEnded),
    #[serde(rename = "timer")]
    Timer {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "label")]
        token: u64,
    },
    #[serde(rename = "pong")]
    ProbeEnded(ProbeEnded),
    #[serde(rename = "peer-data")]
    PeerMessage(PeerMessage),
}

/// A gateway starts with these settings and no other state.
#[derive(Deserialize)]
pub struct StartGateway {
    #[serde(rename = "limiter-id")]
    pub instance: InstanceId,
    /// Seeds the gateway's random draws.
    #[serde(rename = "init-seed")]
    pub seed: u64,
    #[serde(rename = "conf")]
    pub settings: Box<HostConfig>,
}

/// A gateway receives a server list.
#[derive(Deserialize)]
pub struct ServerListUpdate {
    #[serde(rename = "limiter-id")]
    pub instance: InstanceId,
    /// The list; absent when the update is refused.
    #[serde(rename = "buffer")]
    pub list: Option<ListId>,
    pub form: UpdateForm,
}

/// Meaning of the list of a [`ServerListUpdate`].
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum UpdateForm {
    /// Changed servers only.
    Changes,
    /// All servers: one that is missing is removed.
    All,
    /// All servers, as the simulator's registry last knew them.
    Remembered,
    /// The list could not be fetched.
    Refused,
}

/// One server of a list.
#[derive(Deserialize, Clone)]
pub struct Host {
    /// Start of the current incarnation; absent or 0 if that is long ago.
    #[serde(rename = "last-start-ms")]
    pub started_at: Option<Millis>,
    pub zone: String,
    #[serde(rename = "class-of-host")]
    pub kind: Option<String>,
    #[serde(rename = "pod")]
    pub cell: Option<u32>,
    #[serde(rename = "scale")]
    pub capacity: Option<f64>,
    pub server: ServerId,
    #[serde(rename = "condition")]
    pub status: ServerStatus,
}

/// A client's request.
#[derive(Deserialize)]
pub struct Request {
    #[serde(rename = "limiter-id")]
    pub instance: InstanceId,
    #[serde(rename = "handle")]
    pub request: RequestId,
    #[serde(rename = "service")]
    pub class: String,
    pub plan: String,
    pub customer: String,
    #[serde(rename = "remaining-ms")]
    pub remaining: Millis,
    #[serde(rename = "weight")]
    pub units: Option<f64>,
    /// Number of gateways that the customer's requests come through.
    #[serde(rename = "set-size")]
    pub gateways: Option<u32>,
    #[serde(rename = "from-no")]
    pub first_gateway: Option<u32>,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub struct AttemptEnded {
    #[serde(rename = "limiter-id")]
    pub instance: InstanceId,
    #[serde(rename = "handle")]
    pub request: RequestId,
    /// The true units; absent or 0 if the request's own units are right.
    #[serde(rename = "actual")]
    pub units: Option<f64>,
    /// The customer's metered use in percent plus 1; absent or 0 for no meter.
    #[serde(rename = "quota-use")]
    pub metered: Option<f64>,
    #[serde(rename = "duration-ms")]
    pub elapsed: Option<Millis>,
    pub server: ServerId,
    #[serde(rename = "leg")]
    pub attempt: Option<u32>,
    #[serde(rename = "reason")]
    pub outcome: Outcome,
    #[serde(rename = "ended")]
    pub answered: Option<bool>,
    #[serde(rename = "feedback")]
    pub load: Option<BTreeMap<String, f64>>,
}

/// The end of a probe.
#[derive(Deserialize)]
pub struct ProbeEnded {
    #[serde(rename = "limiter-id")]
    pub instance: InstanceId,
    #[serde(rename = "reason")]
    pub outcome: Outcome,
    #[serde(rename = "duration-ms")]
    pub elapsed: Option<Millis>,
    pub server: ServerId,
    #[serde(rename = "feedback")]
    pub load: Option<BTreeMap<String, f64>>,
}

/// The counter service's reply.
#[derive(Deserialize)]
pub struct CounterReply {
    #[serde(rename = "limiter-id")]
    pub instance: InstanceId,
    #[serde(rename = "slot-name")]
    pub counter: u64,
    #[serde(rename = "sum")]
    pub total: Option<f64>,
    #[serde(rename = "reason")]
    pub outcome: Outcome,
}

/// A message from another gateway.
#[derive(Deserialize)]
pub struct PeerMessage {
    #[serde(rename = "limiter-id")]
    pub instance: InstanceId,
    pub from: GatewayId,
    /// The encoded message in base64.
    #[serde(rename = "octets")]
    pub bytes: String,
}

/// One line of output.
#[derive(Serialize)]
#[serde(tag = "verb")]
pub enum Output<'a> {
    #[serde(rename = "send")]
    Send {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "handle")]
        request: RequestId,
        server: ServerId,
        #[serde(rename = "allow-for-ms")]
        timeout: Millis,
    },
    #[serde(rename = "drop-request")]
    Fail {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "handle")]
        request: RequestId,
    },
    #[serde(rename = "not-now")]
    Reject {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "handle")]
        request: RequestId,
        #[serde(rename = "retry-after-ms")]
        retry_after: Option<Millis>,
    },
    #[serde(rename = "abandon")]
    Cancel {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "handle")]
        request: RequestId,
        #[serde(rename = "leg")]
        attempt: u32,
    },
    #[serde(rename = "sample")]
    Probe {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        server: ServerId,
    },
    #[serde(rename = "release")]
    CloseIdle {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        server: ServerId,
    },
    #[serde(rename = "schedule")]
    SetTimer {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "delay-ms")]
        delay: Millis,
        #[serde(rename = "label")]
        token: u64,
    },
    #[serde(rename = "tell")]
    SendToPeer {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "peer")]
        to: Recipient,
        /// The encoded message in base64.
        #[serde(rename = "octets")]
        bytes: String,
    },
    #[serde(rename = "get-list")]
    FetchServers {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
    },
    #[serde(rename = "watch")]
    WatchServers {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        on: bool,
    },
    #[serde(rename = "incr")]
    AddToCounter {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "slot-name")]
        counter: u64,
        #[serde(rename = "step")]
        amount: f64,
        #[serde(rename = "lives-ms")]
        lifetime: Millis,
    },
    #[serde(rename = "debug")]
    Log {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "note-text")]
        text: &'a str,
    },
    /// The gateway panicked while it handled an event; its actions for the event are lost.
    #[serde(rename = "fault")]
    Panicked {
        #[serde(rename = "limiter-id")]
        instance: InstanceId,
        #[serde(rename = "note-text")]
        text: &'a str,
    },
    /// The batch's output is complete.
    #[serde(rename = "end")]
    BatchEnded {
        #[serde(rename = "seq")]
        sequence: u64,
    },
}

/// The recipient of a peer message.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Recipient {
    One(GatewayId),
    /// Every other gateway, as `*` on the wire.
    All(&'static str),
}
