//! What the stand-ins observe on their own sockets, recorded as it happens.

use jzon::JsonValue;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that reached a server and was meant for it: one that names another instance is not recorded.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the request came, since the recorder was made.
    pub at: Duration,
    /// The `try-id` header, which names the client's attempt.
    pub attempt_id: String,
    /// The zone of the server, checked against evacuations.
    pub zone: String,
    /// Whether the server began to work on it, rather than reject it.
    pub ran: bool,
    /// From the arrival to the response; `None` if there was no success.
    pub service_time: Option<Duration>,
}

/// One attempt of a client at a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The unique value of the `try-id` header.
    pub id: String,
    /// Whether it may run once at most.
    pub is_mutating: bool,
    /// The status of the response; `None` until one came.
    pub status: Option<u16>,
    /// Whether the response was a success that no server gave to this attempt.
    pub has_foreign_response: bool,
}

/// How a client's request ended, over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Within its deadline, with the server's own response.
    Served,
    /// With a status that guarantees that it has not run.
    Refused,
    /// Too late, with an error, or without a response.
    Failed,
}

/// A request of a client, once it has ended.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The name of its route, by which the report groups requests.
    pub route: &'static str,
    /// How it ended.
    pub outcome: Outcome,
    /// From the first attempt to the end of the last, with the pauses between them.
    pub latency: Duration,
    /// The last attempt, which connects it with an [`Arrival`].
    pub attempt_id: String,
    /// Whether there was only one attempt.
    pub is_first_attempt: bool,
}

/// The evacuation of a zone.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// The zone that no request may reach.
    pub zone: String,
    /// When its begin was acknowledged.
    pub acknowledged_at: Duration,
    /// How long after the acknowledgement requests may still arrive.
    pub bound: Duration,
    /// When the operator asked for its end; requests may arrive again from then on.
    pub finish_requested_at: Option<Duration>,
}

/// The time in which a candidate counted itself leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Who led.
    pub candidate: &'static str,
    /// The fencing token of the term.
    pub fence: u64,
    /// When the candidate learned that it was elected.
    pub from: Duration,
    /// When its hold was over, counted from the send of its last good call.
    pub until: Duration,
}

/// The configuration by item: the key is kind and name, the value has the version and all fields.
pub type ConfigItems = BTreeMap<String, JsonValue>;

/// All that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests that reached servers, in order.
    pub arrivals: Vec<Arrival>,
    /// Attempts that clients sent, in order.
    pub attempts: Vec<Attempt>,
    /// The clients' requests, in the order in which they ended.
    pub requests: Vec<ClientRequest>,
    /// Evacuations whose begin was acknowledged.
    pub evacuations: Vec<Evacuation>,
    /// The terms of elected candidates, in the order in which they learned of them.
    pub leader_terms: Vec<LeaderTerm>,
    /// The configuration that results from all acknowledged changes.
    pub acknowledged_items: ConfigItems,
    /// The configuration as the gateway shows it at the end; `None` if no response came.
    pub read_back: Option<ConfigItems>,
    /// Valid commands of the operator that were not acknowledged, each with the last response.
    pub unacknowledged_commands: Vec<String>,
    /// Processes that ended without having been killed, each with its status and last log line.
    pub exited_processes: Vec<String>,
}

/// Shares one record among all stand-ins, with one clock.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    record: Arc<Mutex<Record>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            began: Instant::now(),
            record: Arc::default(),
        }
    }
}

impl Recorder {
    /// Time since the recorder was made.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Locks the record, to add to it or to read it.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        lock(&self.record)
    }
}

/// Locks a mutex of the stand-ins, also after a panic of another task: each change of what they guard is complete.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
