//! What goes into and comes out of the decision module: settings, events, actions and ids.
//!
//! Classes, plans, zones and kinds are indices into the settings; no name reaches the decisions.

use serde::{Deserialize, Serialize};

/// Milliseconds of the clock that the host hands in; only differences have a meaning.
pub type Millis = f64;

/// A server, as the list of servers names it; the same at every gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId(pub u32);
/// One client request (a client's repeat is a new one).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u32);
/// A stable hash of the customer's name, equal at every gateway; only the low 40 bits are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub u64);
/// A gateway's number among its group, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GatewayId(pub u32);
/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);
/// Index of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanId(pub usize);

/// Where a keyed class's repeats are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// By every server.
    All,
    /// By the servers of one zone.
    Zone,
    /// By the servers of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Harmless.
    Safe,
    /// Harmless within the group and for `window` after the first attempt that may have run.
    Keyed {
        /// The servers that discard repeats.
        group: Group,
        /// How long they remember.
        window: Millis,
    },
    /// Never allowed.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns full worth.
    pub aim: Millis,
    /// The client's whole patience, over all its tries.
    pub deadline: Millis,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
}

/// A plan; its figures hold for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second that fill the quota's store; 0 for none.
    pub rate: f64,
    /// Units that the quota's store holds.
    pub burst: f64,
    /// Attempts that may be out at once; 0 for no limit.
    pub open: f64,
    /// Units a second that fill the hard ceiling's store; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Units that the ceiling's store holds.
    pub ceiling_burst: f64,
    /// Multiplier on the worth.
    pub price: f64,
    /// Share of its worth that a request earns beyond the quota.
    pub over_worth: f64,
    /// Share of its worth that a request sent on beyond the quota costs.
    pub over_cost: f64,
}

/// The figures of the drain and cold rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Share of its capacity that a server has at least when it starts.
    pub cold_from: f64,
    /// A started server is warm after this time at the latest.
    pub warm_after: Millis,
    /// Multiple of its present capacity that makes a cold server fall over.
    pub fall_multiple: f64,
    /// How long that multiple must last.
    pub fall_time: Millis,
}

/// Everything a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's number.
    pub me: GatewayId,
    /// How many gateways there are.
    pub group_size: u32,
    /// This gateway's zone.
    pub zone: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The rules' figures.
    pub rules: Rules,
    /// Attempts that one request may have in all.
    pub try_limit: u32,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Longest wait before a retry that a client honours; 0 where none is conveyed.
    pub max_retry_after: Millis,
    /// Messages a second that a gateway takes in; 0 where peers cannot be told.
    pub mail_per_s: f64,
    /// The list of servers comes only when asked for.
    pub ask_for_servers: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// The units of a request are a guess that the answer puts right.
    pub settles: bool,
    /// Period of the meter that answers may carry; 0 for no meter.
    pub meter_period: Millis,
    /// There is a counter service that all gateways share.
    pub shared_counter: bool,
    /// A server of another zone counts as so many times as slow; 1 for no preference.
    pub away: f64,
    /// Points that it costs when every attempt leaves the zone.
    pub price_cross_zone: f64,
    /// Points that one full message a request costs.
    pub price_peer: f64,
}

/// A server's standing in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Takes work.
    InService,
    /// Finishes its work; takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug)]
pub struct Server {
    /// Which server.
    pub id: ServerId,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u32,
    /// Its stated size, comparable among servers.
    pub size: f64,
    /// When it last started, on the host's clock; `None` for long ago.
    pub started: Option<Millis>,
    /// Its standing.
    pub condition: Condition,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server reported an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection came about; it never ran.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }

    /// How far it speaks against the server, from 0 to 1; `None` where it says nothing of it.
    pub fn fault(self) -> Option<f64> {
        match self {
            Outcome::Ok => Some(0.0),
            Outcome::Full => Some(0.5),
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                Some(1.0)
            }
            Outcome::Cancelled | Outcome::Moot => None,
        }
    }
}

/// What a server said of its load; absent values were not reported.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Recent service time without waiting.
    pub service: Option<Millis>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Requests held.
    pub held: Option<f64>,
    /// Share of its processors that is busy.
    pub busy: Option<f64>,
}

/// News of the list of servers.
#[derive(Clone, Debug)]
pub enum Membership {
    /// The whole list: a server that is missing from it is gone.
    Full(Vec<Server>),
    /// Changed lines only.
    Changes(Vec<Server>),
    /// An inquiry failed or a subscription broke.
    Unavailable,
}

/// A client request as it arrives.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// Time until the client gives this try up.
    pub remaining: Millis,
    /// Units that it draws from the quota.
    pub units: f64,
    /// How many gateways the customer's requests come through.
    pub set_size: u32,
    /// The first of them; the rest follow in order, counted round.
    pub set_first: GatewayId,
    /// It may have run already, let on by another gateway that is gone.
    pub ran: Option<Ran>,
}

/// Where a request may have run before it came here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ran {
    /// Its first attempt was sent so long ago at most.
    pub ago: Millis,
    /// To a server of this zone.
    pub zone: usize,
    /// And of this cell.
    pub cell: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Of which request.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: u32,
    /// At which server.
    pub server: ServerId,
    /// How.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// The request is answered: no final answer is owed any more.
    pub ended: bool,
    /// All of the request is still held, so that another attempt would find what this one sent.
    pub repeatable: bool,
    /// What the server said of its load.
    pub report: Report,
    /// The true units, where they are settled afterwards.
    pub units: Option<f64>,
    /// The customer's metered use as a share of its rate, where there is a meter.
    pub metered: Option<f64>,
}

/// What one of two processes of the same gateway spent, and the other must count as its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Spent {
    /// A request was let in inside a customer's stores.
    Units {
        /// The customer, as peers know it.
        customer: u64,
        /// Index of its plan.
        plan: usize,
        /// The first gateway of its set, and how many there are.
        set: (u32, u32),
        /// What it took.
        units: f64,
    },
    /// An attempt went to a server that was not surely warm.
    Cold {
        /// Which server.
        server: ServerId,
        /// Its work, in requests of usual work.
        work: f64,
    },
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another process of this gateway is there beside this one, or not any more: what is spent is shared with it.
    Paired {
        /// Whether it is there.
        on: bool,
    },
    /// The other process of this gateway spent something.
    Shared(Spent),
    /// News of the servers.
    Membership(Membership),
    /// A request came in; one final answer is owed.
    Request(Request),
    /// A streamed answer began; it belongs to the client now.
    Streaming {
        /// Of which request.
        request: RequestId,
    },
    /// An attempt ended; exactly one for each send.
    Attempt(Attempt),
    /// The client left or its time is up; no answer is owed.
    Abandoned {
        /// Which request.
        request: RequestId,
    },
    /// The people on call take a server out of service by hand at this gateway, or put it back. It stands beside
    /// what the list of servers says, and holds whatever that says meanwhile.
    Maintenance {
        /// Which server.
        server: ServerId,
        /// Out of service, or back.
        out: bool,
    },
    /// A scheduled time came.
    Timer {
        /// The token it was scheduled with.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// At which server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
        /// What the server said of its load.
        report: Report,
    },
    /// A message from another gateway.
    Peer {
        /// The sender.
        from: GatewayId,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The counter service answered a call.
    Counted {
        /// Which number.
        name: u64,
        /// Its value after the call; absent when the call failed.
        total: Option<f64>,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// Of which request.
        request: RequestId,
        /// To which server.
        server: ServerId,
        /// Give it up after this time.
        timeout: Millis,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// Which request.
        request: RequestId,
        /// How long the client should wait; 0 for no advice.
        retry_after: Millis,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// Which request.
        request: RequestId,
    },
    /// Withdraw an attempt.
    Cancel {
        /// Of which request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Probe a server.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Close idle connections to a server.
    Close {
        /// Which.
        server: ServerId,
    },
    /// Deliver [`Event::Timer`] later.
    Schedule {
        /// After this time.
        delay: Millis,
        /// With this token.
        token: u64,
    },
    /// Message another gateway, or all of them.
    Tell {
        /// The receiver; `None` for all.
        to: Option<GatewayId>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Ask for the whole list of servers once.
    FetchServers,
    /// Subscribe to changes of the list of servers.
    WatchServers {
        /// On or off.
        on: bool,
    },
    /// Add to a number of the counter service.
    Count {
        /// Which number.
        name: u64,
        /// What to add.
        amount: f64,
        /// How long a new number lives.
        lifetime: Millis,
    },
    /// Tell the other process of this gateway.
    Share(Spent),
    /// A sparse line for the people on call.
    Log(String),
}
