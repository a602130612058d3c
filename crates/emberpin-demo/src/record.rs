//! The record of a run: the observations that the stand-ins make on their own sockets, written as they happen.

use jzon::JsonValue;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that reached the server that it was addressed to. Requests that name another instance are not recorded.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the request arrived, since the recorder was created.
    pub at: Duration,
    /// The `try-id` header, which identifies the client's attempt.
    pub attempt_id: String,
    /// The zone of the server, which is checked against evacuations.
    pub zone: String,
    /// Whether the server ran the request instead of rejecting it.
    pub ran: bool,
    /// The time from the arrival to the response; `None` if there was no success.
    pub service_time: Option<Duration>,
}

/// One attempt of a client to send a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The unique value of the `try-id` header.
    pub id: String,
    /// Whether the attempt may run at most once.
    pub is_mutating: bool,
    /// The status of the response; `None` until a response is received.
    pub status: Option<u16>,
    /// Whether the response was a success that is not a server's response to this attempt.
    pub has_foreign_response: bool,
}

/// The outcome of a client's request, over all of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server's response was received within the deadline.
    Served,
    /// The status guarantees that the request has not run.
    Rejected,
    /// The request ended too late, with an error, or without a response.
    Failed,
}

/// A finished request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The name of the route, by which the report groups requests.
    pub route: &'static str,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The time from the start of the first attempt to the end of the last, including backoffs.
    pub latency: Duration,
    /// The id of the last attempt, which links the request to an [`Arrival`].
    pub attempt_id: String,
    /// Whether there was only one attempt.
    pub has_single_attempt: bool,
}

/// The evacuation of a zone.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// The zone that no request may reach.
    pub zone: String,
    /// When the start of the evacuation was acknowledged.
    pub acknowledged_at: Duration,
    /// The time after the acknowledgement in which requests may still arrive.
    pub bound: Duration,
    /// When the operator requested the end of the evacuation; requests may arrive again from then on.
    pub finish_requested_at: Option<Duration>,
}

/// The time in which a candidate considered itself the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The name of the candidate.
    pub candidate: &'static str,
    /// The fencing token of the term.
    pub fencing_token: u64,
    /// When the candidate learned that it was elected.
    pub from: Duration,
    /// When its lease expired, counted from when it sent its last successful call.
    pub until: Duration,
}

/// The items of a configuration. The key is the kind and name of the item, the value its JSON with the version and all
/// fields.
pub type ConfigItems = BTreeMap<String, JsonValue>;

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests that reached servers, in order.
    pub arrivals: Vec<Arrival>,
    /// Attempts that clients sent, in order.
    pub attempts: Vec<Attempt>,
    /// The clients' requests, in the order in which they ended.
    pub requests: Vec<ClientRequest>,
    /// Evacuations whose start was acknowledged.
    pub evacuations: Vec<Evacuation>,
    /// The terms of elected candidates, in the order in which the candidates learned of them.
    pub leader_terms: Vec<LeaderTerm>,
    /// The configuration that results from all acknowledged changes.
    pub acknowledged_items: ConfigItems,
    /// The configuration that the gateway returns at the end; `None` if there was no response.
    pub read_back: Option<ConfigItems>,
    /// Valid commands of the operator that were not acknowledged, each with the result of the last attempt.
    pub unacknowledged_commands: Vec<String>,
    /// Processes that exited without having been killed, each with its status and last log line.
    pub exited_processes: Vec<String>,
}

/// Shares one record among all stand-ins, with one clock.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    record: Arc<Mutex<Record>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            started_at: Instant::now(),
            record: Arc::default(),
        }
    }
}

impl Recorder {
    /// The time since the recorder was created.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Locks the record for reading or writing.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        lock(&self.record)
    }
}

/// Locks a mutex of the stand-ins and ignores poisoning: the guarded data is consistent even after a panic of another
/// task, because each change of it is complete.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
