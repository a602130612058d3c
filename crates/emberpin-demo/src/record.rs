//! What the stand-ins observed on their own sockets, recorded as it happens.

use jzon::JsonValue;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that reached a server which did not answer 421.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, since the beginning.
    pub at: Duration,
    /// The try that it belongs to.
    pub attempt_id: String,
    /// The zone of the server.
    pub zone: String,
    /// The server began to work on it.
    pub ran: bool,
    /// How long the server had it, once it was answered.
    pub service_time: Option<Duration>,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its name.
    pub id: String,
    /// It may run once at most.
    pub is_mutating: bool,
    /// The status that came back, if any.
    pub status: Option<u16>,
    /// A success that is not the server's own answer to this try.
    pub has_foreign_response: bool,
}

/// How a request of a client ended, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// In time, with the server's own answer.
    Served,
    /// With the promise that it has not run and never will.
    Refused,
    /// Without one.
    Failed,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The route.
    pub route: &'static str,
    /// How it ended.
    pub outcome: Outcome,
    /// How long the client waited.
    pub latency: Duration,
    /// The last try.
    pub attempt_id: String,
    /// It took one try.
    pub is_first_attempt: bool,
}

/// The evacuation of a zone.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// Which zone.
    pub zone: String,
    /// When it was acknowledged.
    pub acknowledged_at: Duration,
    /// Nothing goes there so long after that.
    pub bound: Duration,
    /// When its end was asked for.
    pub finish_requested_at: Option<Duration>,
}

/// The configuration, item by item: what each is, and its version and fields.
pub type ConfigItems = BTreeMap<String, JsonValue>;

/// All that was noted.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// What servers saw.
    pub arrivals: Vec<Arrival>,
    /// What clients sent.
    pub attempts: Vec<Attempt>,
    /// What became of the clients' requests.
    pub requests: Vec<ClientRequest>,
    /// What the operator evacuated.
    pub evacuations: Vec<Evacuation>,
    /// What stands by the calls that were acknowledged.
    pub acknowledged_items: ConfigItems,
    /// What was read back; `None` if no answer came.
    pub read_back: Option<ConfigItems>,
    /// Proper orders of the operator that nobody acknowledged.
    pub unacknowledged_commands: Vec<String>,
    /// Processes that ended by themselves, and their last words.
    pub exited_processes: Vec<String>,
}

/// The books, shared by all stand-ins.
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
    /// Time since the beginning.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Locks the record, to add to it or to read it.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
