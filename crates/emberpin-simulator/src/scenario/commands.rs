//! The commands of a scenario's steps: calls of operators, actions of servers, faults, and expectations.

use crate::machine::{CoreId, Machine, ProxyId};
use emberpin_consensus::EvacuationChange;
use emberpin_routing::Availability;
use std::ops::Range;
use std::time::Duration;

/// The command of a step.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    Operator {
        operator: String,
        command: OperatorCommand,
    },
    Server {
        server: String,
        command: ServerCommand,
    },
    Fault(Fault),
    Expect(Expectation),
}

/// Which core machine a call goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallTarget {
    /// A random machine for each attempt.
    Any,
    /// The first attempt goes to this machine, retries to random ones.
    First(CoreId),
    /// A single attempt, at this machine.
    Only(CoreId),
}

/// A request of an operator that changes something.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OperatorRequest {
    /// A patch of the configuration, with the body of its request.
    Patch(Vec<u8>),
    Evacuate {
        zone: String,
        change: EvacuationChange,
    },
}

/// A command for an operator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OperatorCommand {
    Send {
        target: CallTarget,
        request: OperatorRequest,
    },
    /// Sends the operator's last request again, as a new call.
    Repeat {
        target: CallTarget,
    },
    Read {
        target: CallTarget,
    },
}

/// A command for a server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ServerCommand {
    Start {
        service: String,
        zone: String,
        port: u16,
        /// How long the server warms up.
        warmup: Duration,
    },
    Drain,
    Leave,
    Crash,
    /// The server warms up again, for this duration.
    WarmUp(Duration),
    /// A heartbeat with an old sequence number arrives at a core machine.
    LateHeartbeat {
        draining: bool,
        seq: u64,
        core: CoreId,
    },
}

/// Links between each machine of one list and each of another.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Links {
    pub from: Vec<Machine>,
    pub to: Vec<Machine>,
    /// Only the direction from `from` to `to`; otherwise both directions.
    pub one_way: bool,
}

/// Which unsynced writes survive a power cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsyncedWrites {
    /// A random number of the first ones survive.
    KeepSome,
    DropAll,
}

/// Messages between stores that can be lost on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMessageKind {
    Prepare,
    Accept,
    Chosen,
    /// A comparison of two stores' states.
    Comparison,
    Promise,
    /// An accept that changes the roster.
    RosterChange,
}

impl StoreMessageKind {
    /// All kinds.
    pub(crate) const ALL: [StoreMessageKind; 6] = [
        StoreMessageKind::Prepare,
        StoreMessageKind::Accept,
        StoreMessageKind::Chosen,
        StoreMessageKind::Comparison,
        StoreMessageKind::Promise,
        StoreMessageKind::RosterChange,
    ];
}

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    Kill(Vec<Machine>),
    CutPower {
        machines: Vec<Machine>,
        unsynced: UnsyncedWrites,
    },
    WipeDisk(Vec<Machine>),
    Start(Vec<Machine>),
    /// Starts machines with the settings of the system's first start.
    Bootstrap(Vec<Machine>),
    /// The seeds in the settings of processes that start later.
    SetSeeds(Vec<CoreId>),
    /// The disks do not respond for a while.
    StallDisk {
        machines: Vec<Machine>,
        duration: Duration,
    },
    Replace {
        old: CoreId,
        new: CoreId,
    },
    Freeze(Vec<Machine>),
    Thaw(Vec<Machine>),
    /// The machine's monotonic clock runs at this rate from now on.
    SetClockRate {
        machine: Machine,
        percent: u64,
    },
    Partition(Links),
    /// Messages over these links have an additional delay, drawn from this range.
    Slow {
        links: Links,
        delay: Range<Duration>,
    },
    LoseMessages {
        kind: StoreMessageKind,
        from: Vec<Machine>,
        to: Vec<Machine>,
    },
    /// Messages between stores are no longer lost on purpose.
    EndMessageLoss,
    /// Ends partitions and slow links of these machines; with an empty list, all of them.
    Heal(Vec<Machine>),
    /// How messages between stores are delivered.
    SetNetwork {
        delay: Range<Duration>,
        late_percent: u64,
        duplicate_percent: u64,
    },
    /// The duration of a disk sync.
    SetSyncTime(Range<Duration>),
    /// The percentage of responses to operators that are lost.
    LoseResponses {
        percent: u64,
    },
}

/// An item that a `get` is expected to show or not to show.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ExpectedItem {
    /// `route` or `svc`, as it is written.
    pub kind: String,
    pub name: String,
    /// `None`: the item must not be shown.
    pub version: Option<u64>,
}

/// A condition that must hold at the time of a step.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Expectation {
    /// The status of the operator's last call; `None`: it has no response yet.
    OperatorStatus {
        operator: String,
        status: Option<u16>,
    },
    /// A read that this step makes must show this, when its response arrives.
    Read(ExpectedItem),
    /// The number of voters that each running store knows.
    Voters(usize),
    Votes {
        core: CoreId,
        votes: bool,
    },
    /// The version of the route of a host and path; `None`: there is no route.
    Route {
        proxies: Vec<ProxyId>,
        host: String,
        path: String,
        version: Option<u64>,
    },
    ServerAvailability {
        proxies: Vec<ProxyId>,
        server: String,
        availability: Availability,
    },
    Ready {
        proxies: Vec<ProxyId>,
        ready: bool,
    },
}
