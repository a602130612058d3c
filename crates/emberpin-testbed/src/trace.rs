//! The trace of a run: events observed on the sockets of clients and servers, and notifications sent to limiters.
//! It is the only input of the invariant checker. One process runs all stand-ins (the simulated clients, servers,
//! discovery service and networks around the limiters), so that all timestamps come from one monotonic clock, without
//! clock skew; none comes from a limiter's clock.

use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Microseconds since the start of the run.
pub type Micros = u64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;

/// Converts microseconds to seconds.
pub fn seconds(micros: Micros) -> f64 {
    micros as f64 / SECOND as f64
}

/// Identifies one request of a client; a retry is a new request. On the wire it is `Req-Id`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestId(pub u32);

/// Identifies one attempt: a request that a limiter sends to a server. Numbered over all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct AttemptId(pub u32);

/// Identifies one run of a server's process, numbered over all servers; a restart gets a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation(pub u32);

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server is no longer listed.
    Gone,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AttemptEnd {
    /// The server declined the attempt without running it, and its response was written completely.
    Declined,
    /// The server wrote a successful response completely.
    Served,
    /// The server wrote an error response or a malformed one completely; the attempt may have run.
    Errored,
    /// The limiter closed the connection or its sending side.
    Withdrawn,
    /// The server closed the connection, or crashed.
    Broken,
}

/// How a limiter's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessEnd {
    /// Killed with SIGKILL by a fault of the scenario.
    Killed,
    /// Exited by itself after SIGTERM.
    #[serde(rename = "Left")]
    ShutDown,
    /// Killed with SIGKILL because it had not exited within the shutdown time-out after SIGTERM.
    #[serde(rename = "Overdue")]
    ShutdownTimedOut,
    /// Exited or crashed without a signal from the testbed.
    Crashed,
}

/// What happened, with the details of each kind of event. In the serialized form of an event's details, `what` is a
/// request's id, `life` is an incarnation, and `how` tells how an attempt or a process ended. The name `Left` has two
/// meanings: as the kind of an event it is [`EventKind::RequestCancelled`], in `how` it is [`ProcessEnd::ShutDown`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum EventKind {
    /// A client sent a request: it wrote the last byte to an established connection. The kernel establishes connections
    /// to a listening limiter, so the limiter's process may not have accepted the connection yet.
    #[serde(rename = "Asked")]
    RequestSent {
        /// The request's id, chosen by the client.
        #[serde(rename = "what")]
        request: RequestId,
        /// The first request for the same piece of work.
        #[serde(rename = "first")]
        first_request: RequestId,
        /// The limiter that the request was sent to.
        limiter: usize,
        /// Index of the request's class.
        class: usize,
        /// Index of the customer's plan.
        plan: usize,
        /// Index of the customer who sent the request.
        customer: u32,
        /// Units that the request takes from the quota.
        units: f64,
        /// The number of the request's idempotency key.
        key: u32,
        /// The client stops waiting after this time.
        #[serde(rename = "patience")]
        time_limit: Micros,
        /// Whether the connection had already been used for earlier requests.
        reused: bool,
    },
    /// A client received a complete response.
    #[serde(rename = "Answered")]
    Responded {
        /// The request's id, chosen by the client.
        #[serde(rename = "what")]
        request: RequestId,
        /// The HTTP status of the response.
        status: u16,
        /// Whether a 200 has a body that a server sent for this request; always `true` for other statuses.
        #[serde(rename = "sound")]
        valid: bool,
        /// The time that the limiter asks the client to wait before a retry.
        retry_after: Option<Micros>,
    },
    /// The connection of a request ended without a complete response.
    #[serde(rename = "Dropped")]
    ConnectionLost {
        /// The request's id, chosen by the client.
        #[serde(rename = "what")]
        request: RequestId,
        /// Whether part of a response had been received.
        #[serde(rename = "begun")]
        partial_response: bool,
    },
    /// A client stopped waiting after its time limit and the timing tolerance had passed.
    #[serde(rename = "GaveUp")]
    RequestTimedOut {
        /// The request's id, chosen by the client.
        #[serde(rename = "what")]
        request: RequestId,
    },
    /// A client cancelled its request before the time limit.
    #[serde(rename = "Left")]
    RequestCancelled {
        /// The request's id, chosen by the client.
        #[serde(rename = "what")]
        request: RequestId,
    },
    /// No connection to the limiter could be opened for a request.
    #[serde(rename = "Unreached")]
    LimiterUnreachable {
        /// The request's id, chosen by the client.
        #[serde(rename = "what")]
        request: RequestId,
        /// The limiter that could not be reached.
        limiter: usize,
    },
    /// Bytes arrived on a client's connection while no request was pending on it.
    #[serde(rename = "Unasked")]
    StrayBytes {
        /// The limiter that sent them.
        limiter: usize,
        /// The last request on that connection.
        after: Option<RequestId>,
    },
    /// A server received the first byte of an attempt.
    #[serde(rename = "Begun")]
    AttemptStarted {
        /// The id of the attempt at a server.
        attempt: AttemptId,
        /// The incarnation of the server.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// A server received the last byte of an attempt.
    #[serde(rename = "Whole")]
    AttemptReceived {
        /// The id of the attempt at a server.
        attempt: AttemptId,
        /// The request of the attempt; `None` if no client sent a request with that id.
        #[serde(rename = "what")]
        request: Option<RequestId>,
        /// Work of the request, in core milliseconds at reference speed.
        work: f64,
    },
    /// A server took an attempt from its queue, and either starts the work or skips it as a duplicate.
    #[serde(rename = "Ran")]
    AttemptDequeued {
        /// The id of the attempt at a server.
        attempt: AttemptId,
        /// Whether the work of this key had already run on any server, so that this is a repeated effect.
        #[serde(rename = "second")]
        repeated_effect: bool,
        /// Whether the servers of the zone had the key in their deduplication window, so that nothing ran.
        #[serde(rename = "remembered")]
        deduplicated: bool,
    },
    /// An attempt ended at its server.
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
        /// The server's number, from 0.
        server: usize,
        /// Core milliseconds of work at reference speed that a warm server does in a millisecond.
        capacity: f64,
        /// The share of `capacity` that the server has at its start; it rises linearly to 1 until the server is warm.
        #[serde(rename = "cold_from")]
        initial_capacity_share: f64,
        /// The time until the server is warm; 0 if it started warm.
        warm_after: Micros,
    },
    /// A server's process ended.
    #[serde(rename = "ServerDown")]
    ServerStopped {
        /// The server's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// A limiter was notified of a server's state: the update was written to its connection.
    #[serde(rename = "Told")]
    LimiterNotified {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The server's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The state of the server in that update.
        #[serde(rename = "standing")]
        state: ServerState,
    },
    /// A limiter called the discovery service.
    #[serde(rename = "ListAsked")]
    DiscoveryCalled {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// A call of the discovery service was answered, or failed because the service was overloaded or dead.
    #[serde(rename = "ListAnswered")]
    DiscoveryCallEnded {
        /// The limiter's number, from 0.
        limiter: usize,
        /// Whether the call was answered.
        #[serde(rename = "well")]
        succeeded: bool,
    },
    /// A limiter opened a connection to a server.
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
    /// The testbed sent SIGTERM to a limiter.
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
        /// A description of the fault; at its end it is prefixed with `over: `.
        name: String,
    },
    /// The stand-ins themselves ran late: one of their timers fired this long after it was due.
    #[serde(rename = "Late")]
    StandInsLate {
        /// The delay.
        #[serde(rename = "by")]
        delay: Micros,
    },
}

/// One event and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Time since the start of the run.
    pub at: Micros,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// Maximum number of events in a trace; a run that reaches it is cut short, and the report says so.
pub const MAX_EVENTS: usize = 40_000_000;

/// The event log that all stand-ins write to, and the clock that gives the events their timestamps.
#[derive(Clone)]
pub struct Recorder {
    started: Rc<Cell<Instant>>,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Recorder {
    /// Creates an empty event log whose clock starts now.
    pub fn start() -> Recorder {
        Recorder {
            started: Rc::new(Cell::new(Instant::now())),
            events: Rc::default(),
        }
    }

    /// Restarts the clock once the site is up; events recorded until then get time 0.
    pub fn restart_clock(&self) {
        self.started.set(Instant::now());
        self.events
            .borrow_mut()
            .iter_mut()
            .for_each(|event| event.at = 0);
    }

    /// The current time on the testbed's clock.
    pub fn now(&self) -> Micros {
        self.started.get().elapsed().as_micros() as Micros
    }

    /// The moment at which the clock started.
    pub fn started(&self) -> Instant {
        self.started.get()
    }

    /// Records an event that happens now.
    pub fn record(&self, kind: EventKind) {
        self.record_at(self.now(), kind);
    }

    /// Records an event with an earlier timestamp: some events can be classified only after they happened.
    pub fn record_at(&self, at: Micros, kind: EventKind) {
        let mut events = self.events.borrow_mut();
        if events.len() < MAX_EVENTS {
            events.push(Event { at, kind });
        }
    }

    /// Removes all events from the log and returns them in order of time.
    pub fn take_events(&self) -> Vec<Event> {
        let mut events = std::mem::take(&mut *self.events.borrow_mut());
        events.sort_by_key(|event| event.at);
        events
    }

    /// Whether the log has reached [`MAX_EVENTS`].
    pub fn is_full(&self) -> bool {
        self.events.borrow().len() >= MAX_EVENTS
    }
}
