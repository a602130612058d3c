//! What crossed the sockets, at the clients' and the servers' side, and what was told to whom: all that the
//! referee sees. One process plays every stand-in, so one monotonic clock stamps it all; nothing here comes
//! from a limiter's clock, and no skew can enter.

use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Microseconds since the site began.
pub type Micros = u64;

/// A second of it.
pub const SECOND: Micros = 1_000_000;

/// Seconds as operators write them.
pub fn seconds(micros: Micros) -> f64 {
    micros as f64 / SECOND as f64
}

/// One try of a client; on the wire it is `Req-Id`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestId(pub u32);

/// One request as one server received it, numbered over all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct AttemptId(pub u32);

/// One life of one server: a process that starts again has the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation(pub u32);

/// What a server's entry in the list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AttemptEnd {
    /// Turned away, and the answer that says so was written whole: it never ran.
    Declined,
    /// Its good answer was written whole.
    Served,
    /// Another answer was written whole, or one that is none; it may have run.
    Errored,
    /// The limiter closed the connection or ended its sending.
    Withdrawn,
    /// The server ended the connection, or died.
    Broken,
}

/// How a limiter's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessEnd {
    /// By SIGKILL, as the scenario wants it.
    Killed,
    /// By itself after SIGTERM.
    Left,
    /// By SIGKILL, after it had not left in the time that SIGTERM gives it.
    Overdue,
    /// By itself, unasked.
    Crashed,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum EventKind {
    /// A client's try: its last byte was written to a connection that the limiter's machine had accepted.
    #[serde(rename = "Asked")]
    RequestSent {
        /// The id of the attempt at a limiter, which the client drew for it.
        #[serde(rename = "what")]
        request: RequestId,
        /// The first try of the same piece of work.
        #[serde(rename = "first")]
        first_request: RequestId,
        /// The limiter asked.
        limiter: usize,
        /// Index of its class.
        class: usize,
        /// Index of its plan.
        plan: usize,
        /// The customer that the request is of.
        customer: u32,
        /// Units that it takes from the quota.
        units: f64,
        /// Its idempotency key's number.
        key: u32,
        /// The client gives it up so long after.
        #[serde(rename = "patience")]
        time_limit: Micros,
        /// The connection had carried other requests before.
        reused: bool,
    },
    /// A whole answer came to a try.
    #[serde(rename = "Answered")]
    ResponseReceived {
        /// The id of the attempt at a limiter, which the client drew for it.
        #[serde(rename = "what")]
        request: RequestId,
        /// The HTTP status of the answer.
        status: u16,
        /// A 200 whose body some server made for this very try, or any other answer.
        #[serde(rename = "sound")]
        valid: bool,
        /// What the limiter advises to wait.
        retry_after: Option<Micros>,
    },
    /// A try's connection ended with no whole answer.
    #[serde(rename = "Dropped")]
    ConnectionLost {
        /// The id of the attempt at a limiter, which the client drew for it.
        #[serde(rename = "what")]
        request: RequestId,
        /// Part of an answer had come.
        #[serde(rename = "begun")]
        partial_response: bool,
    },
    /// A client gave its try up, its whole patience and the slack after it being over.
    #[serde(rename = "GaveUp")]
    RequestTimedOut {
        /// The id of the attempt at a limiter, which the client drew for it.
        #[serde(rename = "what")]
        request: RequestId,
    },
    /// A client left before its time.
    #[serde(rename = "Left")]
    RequestCancelled {
        /// The id of the attempt at a limiter, which the client drew for it.
        #[serde(rename = "what")]
        request: RequestId,
    },
    /// No connection to the limiter came up for a try.
    #[serde(rename = "Unreached")]
    LimiterUnreachable {
        /// The id of the attempt at a limiter, which the client drew for it.
        #[serde(rename = "what")]
        request: RequestId,
        /// The limiter tried.
        limiter: usize,
    },
    /// Bytes came on a client's connection that was owed no answer.
    #[serde(rename = "Unasked")]
    UnsolicitedBytes {
        /// The limiter that sent them.
        limiter: usize,
        /// The last try on that connection.
        after: Option<RequestId>,
    },
    /// An attempt's first byte came to a server.
    #[serde(rename = "Begun")]
    AttemptStarted {
        /// The id of the attempt at a server.
        attempt: AttemptId,
        /// At which life of which server.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// An attempt's last byte came.
    #[serde(rename = "Whole")]
    AttemptReceived {
        /// The id of the attempt at a server.
        attempt: AttemptId,
        /// Of which try, where a client sent one of that id.
        #[serde(rename = "what")]
        request: Option<RequestId>,
        /// Work that it brings: core milliseconds at yardstick speed.
        work: f64,
    },
    /// Its work began, or was passed over as a repeat.
    #[serde(rename = "Ran")]
    AttemptExecuted {
        /// The id of the attempt at a server.
        attempt: AttemptId,
        /// The key's effect had been had before, anywhere, and this is a second one.
        #[serde(rename = "second")]
        repeated_effect: bool,
        /// The hall remembered the key, so nothing ran.
        #[serde(rename = "remembered")]
        deduplicated: bool,
    },
    /// It is over at its server.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The id of the attempt at a server.
        attempt: AttemptId,
        /// How the attempt ended, as the server saw it.
        #[serde(rename = "how")]
        end: AttemptEnd,
    },
    /// A server's process started.
    #[serde(rename = "ServerUp")]
    ServerStarted {
        /// The server's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Of which server.
        server: usize,
        /// Core milliseconds of yardstick work that it does in a millisecond, warm.
        capacity: f64,
        /// Its part of that at the start; it rises evenly from there.
        cold_from: f64,
        /// How long it takes to be warm; 0 if it is.
        warm_after: Micros,
    },
    /// A server's process ended.
    #[serde(rename = "ServerDown")]
    ServerStopped {
        /// The server's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// A limiter was told of a server's standing: the line was written to it.
    #[serde(rename = "Told")]
    LimiterNotified {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The server's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The status of the server that the line states.
        #[serde(rename = "standing")]
        state: ServerState,
    },
    /// A limiter asked the list service.
    #[serde(rename = "ListAsked")]
    DiscoveryCalled {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// A call of the list service was answered, or failed there for want of power or of life.
    #[serde(rename = "ListAnswered")]
    DiscoveryCallEnded {
        /// The limiter's number, from 0.
        limiter: usize,
        /// It was answered.
        #[serde(rename = "well")]
        succeeded: bool,
    },
    /// A new connection came to a server.
    #[serde(rename = "Connected")]
    ServerConnected {
        /// The server's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// A limiter's process is ready for clients.
    #[serde(rename = "LimiterUp")]
    LimiterReady {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// SIGTERM was sent.
    #[serde(rename = "Terminated")]
    SigtermSent {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// A limiter's process ended.
    #[serde(rename = "LimiterDown")]
    LimiterStopped {
        /// The limiter's number, from 0.
        limiter: usize,
        /// How the process ended.
        #[serde(rename = "how")]
        end: ProcessEnd,
    },
    /// A fault of the scenario began or ended.
    Fault {
        /// The fault in words; `over: ` precedes those of its end.
        name: String,
    },
    /// The stand-ins themselves ran late by so much until now.
    #[serde(rename = "Late")]
    StandInsLate {
        /// By how much.
        #[serde(rename = "by")]
        delay: Micros,
    },
}

/// One thing and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// When it happened, since the run began.
    pub at: Micros,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// Most events that are kept; a run that makes more is cut short, and says so.
pub const MAX_EVENTS: usize = 40_000_000;

/// The record that all stand-ins write to, and their clock.
#[derive(Clone)]
pub struct Recorder {
    started: Rc<Cell<Instant>>,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Recorder {
    /// A record whose clock begins now.
    pub fn start() -> Recorder {
        Recorder {
            started: Rc::new(Cell::new(Instant::now())),
            events: Rc::default(),
        }
    }

    /// Everything stands: the clock begins now, and what was noted on the way here was before all else.
    pub fn restart_clock(&self) {
        self.started.set(Instant::now());
        self.events
            .borrow_mut()
            .iter_mut()
            .for_each(|event| event.at = 0);
    }

    /// The time on the site's clock.
    pub fn now(&self) -> Micros {
        self.started.get().elapsed().as_micros() as Micros
    }

    /// The moment that the clock counts from.
    pub fn started(&self) -> Instant {
        self.started.get()
    }

    /// Notes something that happens now.
    pub fn record(&self, kind: EventKind) {
        self.record_at(self.now(), kind);
    }

    /// Notes something whose meaning only shows now, as of when it happened.
    pub fn record_at(&self, at: Micros, kind: EventKind) {
        let mut events = self.events.borrow_mut();
        if events.len() < MAX_EVENTS {
            events.push(Event { at, kind });
        }
    }

    /// All that has been noted, by time; the record starts anew.
    pub fn take_events(&self) -> Vec<Event> {
        let mut events = std::mem::take(&mut *self.events.borrow_mut());
        events.sort_by_key(|event| event.at);
        events
    }

    /// Whether no more can be noted.
    pub fn is_full(&self) -> bool {
        self.events.borrow().len() >= MAX_EVENTS
    }
}
