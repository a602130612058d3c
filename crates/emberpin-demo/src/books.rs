//! What the stand-ins saw on their own sockets, noted as it happens.

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
    pub try_id: String,
    /// The zone of the server.
    pub zone: String,
    /// The server began to work on it.
    pub ran: bool,
    /// How long the server had it, once it was answered.
    pub took: Option<Duration>,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its name.
    pub id: String,
    /// It may run once at most.
    pub is_mutating: bool,
    /// The status that came back, if any.
    pub status: Option<u16>,
    /// A success that is not the server's own answer to this try.
    pub is_foreign: bool,
}

/// How a request of a client ended, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// In time, with the server's own answer.
    Served,
    /// With the promise that it has not run and never will.
    Refused,
    /// Without one.
    Failed,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The route.
    pub route: &'static str,
    /// How it ended.
    pub ending: Ending,
    /// How long the client waited.
    pub waited: Duration,
    /// The last try.
    pub try_id: String,
    /// It took one try.
    pub at_once: bool,
}

/// The evacuation of a zone.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// Which zone.
    pub zone: String,
    /// When it was acknowledged.
    pub acknowledged: Duration,
    /// Nothing goes there so long after that.
    pub bound: Duration,
    /// When its end was asked for.
    pub finish: Option<Duration>,
}

/// The configuration, item by item: what each is, and its version and fields.
pub type Items = BTreeMap<String, JsonValue>;

/// All that was noted.
#[derive(Clone, Debug, Default)]
pub struct Pages {
    /// What servers saw.
    pub arrivals: Vec<Arrival>,
    /// What clients sent.
    pub tries: Vec<Try>,
    /// What became of the clients' requests.
    pub asked: Vec<Asked>,
    /// What the operator evacuated.
    pub evacuations: Vec<Evacuation>,
    /// What stands by the calls that were acknowledged.
    pub acknowledged: Items,
    /// What was read back; `None` if no answer came.
    pub read_back: Option<Items>,
    /// Proper orders of the operator that nobody acknowledged.
    pub unacknowledged: Vec<String>,
    /// Processes that ended by themselves, and their last words.
    pub ended: Vec<String>,
}

/// The books, shared by all stand-ins.
#[derive(Clone)]
pub struct Books {
    began: Instant,
    pages: Arc<Mutex<Pages>>,
}

impl Default for Books {
    fn default() -> Books {
        Books {
            began: Instant::now(),
            pages: Arc::default(),
        }
    }
}

impl Books {
    /// Time since the beginning.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// The pages, to write on or read.
    pub fn pages(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
