//! Violations: invariants that a run broke, and expectations of its scenario that were not met.

use crate::history::NotLinearizable;
use crate::machine::{CoreId, ProxyId};
use emberpin_config::{Item, ItemKey, ValidationError, Version};
use emberpin_routing::Availability;
use std::net::Ipv4Addr;

/// An invariant that did not hold, or an expectation of the scenario that was not met.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// Two stores chose different contents for one version of an item.
    #[error("two contents chosen for {key:?} {version}: {known:?} and {found:?}")]
    TwoChosenContents {
        /// Kind and name of the item.
        key: ItemKey,
        /// The version that both contents have.
        version: Version,
        /// The content that was chosen first.
        known: Option<String>,
        /// The other content.
        found: Option<String>,
    },
    /// An operator received an acknowledgement for a content that was not chosen.
    #[error(
        "acknowledged content not chosen: {key:?} {version} was acknowledged as {acknowledged:?}, chosen is {chosen:?}"
    )]
    AcknowledgedOtherContent {
        /// Kind and name of the item.
        key: ItemKey,
        /// The version that the operator gave it.
        version: Version,
        /// The content that was acknowledged.
        acknowledged: Option<String>,
        /// The chosen content; the outer `None`: no content was chosen, the inner one: the item was dropped.
        chosen: Option<Option<String>>,
    },
    /// A store reported a version of an item that is not higher than one it reported before.
    #[error(
        "version regressed: {core} reported {key:?} {version} after the same or a higher version"
    )]
    StoreVersionRegressed {
        /// The store's machine.
        core: CoreId,
        /// Kind and name of the item.
        key: ItemKey,
        /// The version that it reported last.
        version: Version,
    },
    /// The state of a proxy is wrong.
    #[error("{proxy}: {violation}")]
    Proxy {
        /// The proxy's machine.
        proxy: ProxyId,
        /// The violation.
        violation: ProxyViolation,
    },
    /// A proxy in contact has not applied an acknowledged change within its time limit.
    #[error("not applied in time: {proxy}, which is in contact, {missing}")]
    NotApplied {
        /// The proxy's machine.
        proxy: ProxyId,
        /// The effect that it lacks.
        missing: MissingEffect,
    },
    /// A warming server got more requests than its limit.
    #[error("warming server overloaded: {instance_id} got {requests} requests in a second, its limit is {limit}")]
    SlowStartExceeded {
        /// The server's instance.
        instance_id: String,
        /// The number of requests in the last second.
        requests: usize,
        /// The maximum number of requests in a second.
        limit: usize,
    },
    /// A registry directed a server to send its heartbeats to an address that no core machine has.
    #[error(
        "server {server} was directed to send heartbeats to {target}, which is no core machine"
    )]
    UnknownHeartbeatTarget {
        /// The server's name in the scenario.
        server: String,
        /// The heartbeat target that it received.
        target: Ipv4Addr,
    },
    /// An acknowledged item is missing from the configuration at the end.
    #[error(
        "lost: {key:?} {version} was acknowledged, the configuration at the end has {found:?}"
    )]
    ItemMissing {
        /// Kind and name of the item.
        key: ItemKey,
        /// The highest acknowledged version.
        version: Version,
        /// The item in the configuration, if there is one.
        found: Option<Item>,
    },
    /// An item of a rejected call was chosen.
    #[error("rejected but chosen: {key:?} {version}")]
    RejectedItemChosen {
        /// Kind and name of the item.
        key: ItemKey,
        /// The version that the rejected call gave it.
        version: Version,
    },
    /// A proxy has not applied the last acknowledged change of a zone's evacuation.
    #[error("lost: evacuation of {zone}: acknowledged {acknowledged}, but {found} on {proxy}")]
    EvacuationMissing {
        /// The zone's name.
        zone: String,
        /// Whether the last acknowledged change evacuated the zone.
        acknowledged: bool,
        /// Whether the zone is evacuated on the proxy.
        found: bool,
        /// The proxy's machine.
        proxy: ProxyId,
    },
    /// The configuration that a read returned cannot be parsed.
    #[error("a read returned an unreadable configuration: {0}")]
    UnreadableConfiguration(ValidationError),
    /// The configuration at the end is not valid as a whole.
    #[error("configuration invalid as a whole: {0}")]
    InvalidConfiguration(ValidationError),
    /// After all faults are over, a proxy does not become ready.
    #[error("no recovery after all faults: {0} is not ready")]
    NotReady(ProxyId),
    /// After all faults are over, a call is not acknowledged.
    #[error("no recovery after all faults: call {operator:?} ended with status {status:?}")]
    FinalCallFailed {
        /// The name of the final call.
        operator: String,
        /// The status of its response; `None` if it has none.
        status: Option<u16>,
    },
    /// A call that is retried has no response at the end.
    #[error("{operator}: a call has no response")]
    MissingResponse {
        /// The operator's name in the scenario.
        operator: String,
    },
    /// No order of the operators' calls explains their responses.
    #[error(transparent)]
    NotLinearizable(#[from] NotLinearizable),
    /// A step of the scenario failed.
    #[error("line {line}: {failure}")]
    Step {
        /// The line of the step.
        line: usize,
        /// Why it failed.
        failure: StepFailure,
    },
}

/// Why a step of a scenario failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StepFailure {
    /// The step refers to an operator's last call, and the operator has made none that fits.
    #[error("operator {operator} has made no such call")]
    NoCall {
        /// The operator's name in the scenario.
        operator: String,
    },
    /// An operator's last call has a different status from the expected one.
    #[error("expected status {expected:?} for operator {operator}, found {found:?} {body}")]
    OperatorStatus {
        /// The operator's name in the scenario.
        operator: String,
        /// The expected status; `None`: no response.
        expected: Option<u16>,
        /// The call's status; `None`: no response.
        found: Option<u16>,
        /// The body of its response.
        body: String,
    },
    /// A store knows a different number of voters than expected.
    #[error("expected {expected} voters on {core}, found {found:?}")]
    Voters {
        /// The expected number.
        expected: usize,
        /// The store's machine.
        core: CoreId,
        /// The voters that it knows.
        found: Vec<Ipv4Addr>,
    },
    /// A store votes although it is expected not to, or the reverse.
    #[error("expected that {core} votes: {expected}")]
    Votes {
        /// The store's machine.
        core: CoreId,
        /// Whether it is expected to vote.
        expected: bool,
    },
    /// No server of this name was started.
    #[error("there is no server {0}")]
    NoServer(String),
    /// A proxy's state differs from the expected one.
    #[error("{proxy}: {mismatch}")]
    Proxy {
        /// The proxy's machine.
        proxy: ProxyId,
        /// The difference.
        mismatch: ProxyMismatch,
    },
    /// A read shows a different version of an item than expected, or does not show the item.
    #[error("expected that get holds {kind} {name} ver {expected}, found {found:?}")]
    ReadHolds {
        /// `route` or `svc`.
        kind: String,
        /// The item's name.
        name: String,
        /// The expected version.
        expected: u64,
        /// The version that is shown; `None` if the item is not.
        found: Option<u64>,
    },
    /// A read shows an item that is expected to be absent.
    #[error("expected that get lacks {kind} {name}, found {found:?}")]
    ReadLacks {
        /// `route` or `svc`.
        kind: String,
        /// The item's name.
        name: String,
        /// The version that is shown; `None` if the item is not.
        found: Option<u64>,
    },
    /// The response to a read is not a configuration.
    #[error(transparent)]
    Unreadable(#[from] Box<Violation>),
}

/// The state of a proxy that differs from an expectation.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProxyMismatch {
    /// It has a different version of a route than expected, or no route.
    #[error("expected version {expected:?} of the route of {host}{path}, found {found:?}")]
    Route {
        /// The host that the route is looked up by.
        host: String,
        /// The path that the route is looked up by.
        path: String,
        /// The expected version; `None`: no route.
        expected: Option<u64>,
        /// The version in force; `None`: no route.
        found: Option<u64>,
    },
    /// A server has a different availability than expected.
    #[error("expected that {instance_id} is {expected:?}, found {found:?}")]
    Availability {
        /// The server's instance.
        instance_id: String,
        /// The expected availability.
        expected: Availability,
        /// The availability in force.
        found: Availability,
    },
    /// It is ready although expected not to be, or the reverse; the field is the expected readiness.
    #[error("expected ready: {0}")]
    Ready(bool),
}

/// A violation in the state of a proxy.
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
    #[error("invalid in force: route {route} has the same host and prefix as another one")]
    DuplicateRoute {
        /// The second of the two routes.
        route: String,
    },
    /// An older version of a route replaced a newer one.
    #[error("version regressed: route {route} is {version} after {highest}")]
    RouteVersionRegressed {
        /// The route's name.
        route: String,
        /// The version in force.
        version: Version,
        /// The highest version that was in force before.
        highest: Version,
    },
    /// A server that was draining is available for requests again.
    #[error("drain reverted: {instance_id} is usable again after its drain")]
    DrainReverted {
        /// The server's instance.
        instance_id: String,
    },
}

/// The effect of an acknowledged change that a proxy lacks.
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
    /// It still sends requests to a server that is draining.
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
