//! What a run of a scenario found wrong.

use crate::history::NotLinearizable;
use crate::machine::{CoreId, ProxyId};
use emberpin_config::{Item, ItemKey, ValidationError, Version};
use emberpin_routing::Availability;
use std::net::Ipv4Addr;

/// An invariant that did not hold, or an expectation of the scenario that was not met.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// Two stores chose different contents for one version of an item.
    #[error("two contents: {key:?} {version} is {known:?} and {found:?}")]
    TwoChosenContents {
        /// Kind and name of the item.
        key: ItemKey,
        /// The version that both contents were given.
        version: Version,
        /// The content that was chosen first.
        known: Option<String>,
        /// The other content.
        found: Option<String>,
    },
    /// An operator got an acknowledgement for a content that was not chosen.
    #[error(
        "two contents: {key:?} {version} was acknowledged as {acknowledged:?}, and is {chosen:?}"
    )]
    AcknowledgedOtherContent {
        /// Kind and name of the item.
        key: ItemKey,
        /// The version that the operator gave it.
        version: Version,
        /// The content that was acknowledged.
        acknowledged: Option<String>,
        /// The content that was chosen, if any was.
        chosen: Option<Option<String>>,
    },
    /// A store reported an older version of an item after a later one.
    #[error("went back: {core} told {key:?} {version} again")]
    StoreWentBack {
        /// The store's machine.
        core: CoreId,
        /// Kind and name of the item.
        key: ItemKey,
        /// The older version.
        version: Version,
    },
    /// The state of a proxy is wrong.
    #[error("{proxy}: {violation}")]
    Proxy {
        /// The proxy's machine.
        proxy: ProxyId,
        /// What is wrong with it.
        violation: ProxyViolation,
    },
    /// A proxy in contact does not have in force what was acknowledged a while ago.
    #[error("not applied in time: {proxy}, in touch, {missing}")]
    NotApplied {
        /// The proxy's machine.
        proxy: ProxyId,
        /// What is not in force there.
        missing: MissingEffect,
    },
    /// A warming server got more requests than its limit.
    #[error("cold server: {instance_id} got {requests} requests in a second, and bears {limit}")]
    SlowStartExceeded {
        /// The server's instance.
        instance_id: String,
        /// The requests of the last second.
        requests: usize,
        /// The most that it may get in a second.
        limit: usize,
    },
    /// A server was told to send its heartbeats to an address that no core machine has.
    #[error("{server} is told to beat at {target}, which is no machine")]
    UnknownHeartbeatTarget {
        /// The server's name in the scenario.
        server: String,
        /// The address that it was told.
        target: Ipv4Addr,
    },
    /// An acknowledged item is missing from the configuration at the end.
    #[error("lost: {key:?} {version} was acknowledged, and {found:?} is read back")]
    ItemMissing {
        /// Kind and name of the item.
        key: ItemKey,
        /// The highest acknowledged version.
        version: Version,
        /// What the configuration has instead.
        found: Option<Item>,
    },
    /// An item of a rejected call is in force.
    #[error("refused and in force: {key:?} {version}")]
    RejectedInForce {
        /// Kind and name of the item.
        key: ItemKey,
        /// The version that the rejected call gave it.
        version: Version,
    },
    /// The last acknowledged change of a zone's evacuation is not in force.
    #[error(
        "lost: the evacuation of {zone} was last acknowledged as {acknowledged}, and is {found} on {proxy}"
    )]
    EvacuationMissing {
        /// The zone's name.
        zone: String,
        /// Whether the zone was evacuated last.
        acknowledged: bool,
        /// Whether it is.
        found: bool,
        /// The proxy that has it so.
        proxy: ProxyId,
    },
    /// The configuration that a read returned cannot be parsed.
    #[error("what is read back is unreadable: {0}")]
    UnreadableConfiguration(ValidationError),
    /// The configuration at the end is not valid as a whole.
    #[error("invalid as a whole: {0}")]
    InvalidConfiguration(ValidationError),
    /// After all faults are over, a proxy does not become ready.
    #[error("does not serve again: {0} is not ready")]
    NotReady(ProxyId),
    /// After all faults are over, a call is not acknowledged.
    #[error("does not serve again: {operator}, a call was told {status:?}")]
    NotServed {
        /// The name of the final call.
        operator: String,
        /// The status of its response, if it got one.
        status: Option<u16>,
    },
    /// A call that is retried has no response at the end.
    #[error("{operator}: a call has no answer")]
    Unanswered {
        /// The operator's name in the scenario.
        operator: String,
    },
    /// What operators were told fits no order of their calls.
    #[error(transparent)]
    NotLinearizable(#[from] NotLinearizable),
    /// A step of the scenario did not hold.
    #[error("line {line}: {failure}")]
    Step {
        /// The line of the step.
        line: usize,
        /// Why it did not.
        failure: StepFailure,
    },
}

/// A step of a scenario that did not hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StepFailure {
    /// An operator's call is named, and there is none.
    #[error("operator {operator} asked nothing")]
    NoCall {
        /// The operator's name in the scenario.
        operator: String,
    },
    /// An operator's last call has another status.
    #[error("expected that operator {operator} was told {expected:?}, found {found:?} {body}")]
    OperatorStatus {
        /// The operator's name in the scenario.
        operator: String,
        /// The expected status.
        expected: Option<u16>,
        /// The call's status.
        found: Option<u16>,
        /// The body of its response.
        body: String,
    },
    /// A store knows another number of voters.
    #[error("expected {expected} voters on {core}, found {found:?}")]
    Voters {
        /// The expected number.
        expected: usize,
        /// The store's machine.
        core: CoreId,
        /// The voters that it knows.
        found: Vec<Ipv4Addr>,
    },
    /// A store votes although it is not to, or does not.
    #[error("expected that {core} votes: {expected}")]
    Votes {
        /// The store's machine.
        core: CoreId,
        /// Whether it is to vote.
        expected: bool,
    },
    /// No server of the named one's name was started.
    #[error("there is no server {0}")]
    NoServer(String),
    /// A proxy does not have what is expected.
    #[error("{proxy}: {mismatch}")]
    Proxy {
        /// The proxy's machine.
        proxy: ProxyId,
        /// What it has instead.
        mismatch: ProxyMismatch,
    },
    /// A read shows another version of an item, or none.
    #[error("expected that get holds {kind} {name} ver {expected}, found {found:?}")]
    ReadHolds {
        /// `route` or `svc`.
        kind: String,
        /// The item's name.
        name: String,
        /// The expected version.
        expected: u64,
        /// The version that is shown.
        found: Option<u64>,
    },
    /// A read shows an item that it is not to show.
    #[error("expected that get lacks {kind} {name}, found {found:?}")]
    ReadLacks {
        /// `route` or `svc`.
        kind: String,
        /// The item's name.
        name: String,
        /// The version that is shown.
        found: Option<u64>,
    },
    /// The response to a read is not a configuration.
    #[error(transparent)]
    Unreadable(#[from] Box<Violation>),
}

/// The state of a proxy that differs from an expectation.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProxyMismatch {
    /// It has another version of a route, or none.
    #[error("expected version {expected:?} of the route of {host}{path}, found {found:?}")]
    Route {
        /// The host that the route is looked up by.
        host: String,
        /// The path that the route is looked up by.
        path: String,
        /// The expected version; `None`: no route.
        expected: Option<u64>,
        /// The version in force.
        found: Option<u64>,
    },
    /// A server has another availability.
    #[error("expected that {instance_id} is {expected:?}, found {found:?}")]
    Availability {
        /// The server's instance.
        instance_id: String,
        /// The expected availability.
        expected: Availability,
        /// The availability in force.
        found: Availability,
    },
    /// It is ready although it is not to be, or is not.
    #[error("expected ready: {0}")]
    Ready(bool),
}

/// What is wrong with the state of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProxyViolation {
    /// A route in force names a service that is not configured.
    #[error("invalid in force: route {route} names {service}, which is unknown")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service that it names as a target.
        service: String,
    },
    /// Two routes in force have the same host and prefix.
    #[error("invalid in force: route {route} has the place of another one")]
    DuplicateRoute {
        /// The later one of the routes.
        route: String,
    },
    /// An older version of a route came into force.
    #[error("went back: route {route} is {version} after {highest}")]
    RouteWentBack {
        /// The route's name.
        route: String,
        /// The version in force.
        version: Version,
        /// The highest version that was in force before.
        highest: Version,
    },
    /// A server may get requests again after its drain.
    #[error("went back: {instance_id} is usable again after its drain")]
    DrainWentBack {
        /// The server's instance.
        instance_id: String,
    },
}

/// What a proxy lacks of an acknowledged change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MissingEffect {
    /// It has an older version of an item, or none.
    #[error("lacks {key:?} {version}")]
    Item {
        /// Kind and name of the item.
        key: ItemKey,
        /// The acknowledged version.
        version: Version,
    },
    /// It still sends requests to a server that drains.
    #[error("sends to {instance_id} after its drain")]
    Drain {
        /// The server's instance.
        instance_id: String,
    },
    /// It still sends requests to a server in an evacuated zone.
    #[error("sends to {instance_id} in an evacuated zone")]
    Evacuation {
        /// The server's instance.
        instance_id: String,
    },
}
