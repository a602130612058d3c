//! Clients' connections: their number, the state of each and how long it has lasted, and which connections must be
//! closed because they are overdue or because slots are scarce.

use crate::front::framing::Framing;
use crate::front::socket_budget::SocketBudget;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Limits on how long a client may keep a connection waiting, and on the size of a head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Time limits for a head, counted from its first byte: after the first one, a head that has stopped growing ends
    /// the connection; after the second one, any incomplete head does.
    pub head: (Duration, Duration),
    /// The first request on a connection must begin within this time.
    pub first_request: Duration,
    /// The next request must begin within this time after an answer; `None` for no bound.
    pub idle: Option<Duration>,
    /// Maximum length of a head, in bytes: a longer one is rejected with 431 as soon as this many bytes have arrived.
    pub max_head_bytes: usize,
}

/// Default maximum length of a head, in bytes.
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;

impl Default for ClientLimits {
    /// The platform's clients take up to 2 s to send a head, and may stay idle between requests for any time.
    fn default() -> ClientLimits {
        let head = (Duration::from_millis(2_500), Duration::from_secs(4));
        ClientLimits {
            head,
            first_request: Duration::from_secs(2),
            idle: None,
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
        }
    }
}

/// If less than one in this many slots is free, a connection is closed after its first response. Idle connections are
/// not closed before their time-out, so many clients that send one request and stay connected would fill the slots
/// faster than slots become free.
const CROWDED_FRACTION: usize = 8;
/// With at most this many free slots, slots are scarce: waiting connections are closed to make room for new ones.
const MIN_FREE_SLOTS: usize = 8;
/// While slots are scarce, a connection that has sent no request may be closed after this time.
const SCARCE_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// While slots are scarce, a connection whose head has stopped growing may be closed after this time. It is longer than
/// the time for a first request because slow clients pause between chunks.
const SCARCE_HEAD_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// While slots are scarce, a connection that is idle after a response may be closed after this time.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection younger than this counts as new: its first request may be under way.
const NEW_CONNECTION_AGE: Duration = Duration::from_millis(250);
/// Number of connections that this process may always have, however many a sibling process has.
const MIN_CONNECTIONS: usize = 16;
/// How often the limits are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The progress of a connection towards its next request.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// No request is in flight, and no byte of the next one has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A request is in flight: its head is complete, and its response is not, or the rest of its body is still to come.
    InRequest,
}

/// The state of a client's connection.
pub struct Connection {
    stage: Cell<Stage>,
    /// When it entered the stage [`Stage::Idle`] or [`Stage::Head`].
    since: Cell<Instant>,
    /// When the last byte of a head arrived.
    head_progress: Cell<Instant>,
    /// Number of requests received.
    requests: Cell<u64>,
    framing: RefCell<Framing>,
    /// The response to the current request is complete. The request itself may not be: a server may respond before the
    /// end of its body.
    response_ended: Cell<bool>,
    /// A response broke off. The connection is reset when it is dropped, as a regular close could look like the end of
    /// that response.
    response_truncated: Cell<bool>,
    /// The connection has been notified to close.
    closing: Cell<bool>,
    close_notify: Notify,
}

impl Connection {
    /// Records that the head of a request is complete.
    pub fn begin_request(&self) {
        self.stage.set(Stage::InRequest);
        self.response_ended.set(false);
        self.requests.set(self.requests.get() + 1);
    }

    /// Whether a request had contradicting framings, and so an uncertain end.
    pub fn has_ambiguous_framing(&self) -> bool {
        self.framing.borrow().is_ambiguous()
    }

    /// Records that a response broke off, so that the connection is reset when it is dropped.
    pub fn truncate_response(&self) {
        self.response_truncated.set(true);
    }

    /// Whether the current request is the first one on this connection.
    pub fn is_first_request(&self) -> bool {
        self.requests.get() == 1
    }

    /// Whether a request may be under way: part of its head has arrived, or the connection is so new that its first
    /// request may still be on the network.
    pub fn may_have_request_under_way(&self) -> bool {
        match self.stage.get() {
            Stage::Head => true,
            Stage::Idle => !self.has_requested() && self.since.get().elapsed() < NEW_CONNECTION_AGE,
            Stage::InRequest => false,
        }
    }

    /// Whether any request has been received.
    pub fn has_requested(&self) -> bool {
        self.requests.get() > 0
    }

    /// Records that the request has been answered. It is over with the end of its body.
    pub fn end_request(&self) {
        self.response_ended.set(true);
        self.become_idle_after_body();
    }

    fn become_idle_after_body(&self) {
        if self.response_ended.get() && !self.framing.borrow().is_in_body() {
            self.response_ended.set(false);
            self.stage.set(Stage::Idle);
            self.since.set(Instant::now());
        }
    }

    /// Follows the bytes that the client has sent.
    fn on_received(&self, received: &[u8]) {
        self.framing.borrow_mut().feed(received);
        self.become_idle_after_body();
        // Empty lines before a request are not part of it.
        if self.stage.get() == Stage::Idle
            && !received.is_empty()
            && self.framing.borrow().expects_more_lines()
        {
            self.stage.set(Stage::Head);
            self.since.set(Instant::now());
        }
        if self.stage.get() == Stage::Head {
            self.head_progress.set(Instant::now());
        }
    }

    /// Returns when the connection must be closed. If the head of a request became complete at the last moment, the
    /// connection stays open.
    pub async fn closing_due(&self) {
        loop {
            self.close_notify.notified().await;
            if self.stage.get() != Stage::InRequest {
                return;
            }
            self.closing.set(false);
        }
    }

    fn request_close(&self) {
        self.closing.set(true);
        self.close_notify.notify_one();
    }

    /// Whether a time limit is exceeded, which guards against silent connections and endless heads. A connection that
    /// has had a response may stay idle unless `limits.idle` is set.
    fn is_overdue(&self, limits: &ClientLimits) -> bool {
        let waiting = self.since.get().elapsed();
        let (stalled_limit, total_limit) = limits.head;
        match self.stage.get() {
            Stage::Head => {
                waiting >= total_limit
                    || waiting >= stalled_limit
                        && self.head_progress.get().elapsed() >= SWEEP_INTERVAL
            }
            Stage::Idle if self.has_requested() => limits.idle.is_some_and(|idle| waiting >= idle),
            Stage::Idle => waiting >= limits.first_request,
            Stage::InRequest => false,
        }
    }

    /// How long the connection has waited, as a multiple of the time allowed while slots are scarce; `None` below 1.
    /// The time for a head counts from its last byte, as a head that still grows belongs to a slow client.
    fn scarcity_excess(&self) -> Option<f64> {
        let (since, allowed) = match (self.stage.get(), self.has_requested()) {
            (Stage::Head, _) => (self.head_progress.get(), SCARCE_HEAD_STALL_TIMEOUT),
            (_, false) => (self.since.get(), SCARCE_FIRST_REQUEST_TIMEOUT),
            (_, true) => (self.since.get(), SCARCE_IDLE_TIMEOUT),
        };
        let excess = since.elapsed().as_secs_f64() / allowed.as_secs_f64();
        (self.stage.get() != Stage::InRequest && !self.closing.get() && excess >= 1.0)
            .then_some(excess)
    }
}

/// All connections of clients.
pub struct Connections {
    max_connections: usize,
    limits: Cell<ClientLimits>,
    /// The sockets that a sibling process of this limiter uses.
    socket_budget: Rc<SocketBudget>,
    list: RefCell<Vec<Rc<Connection>>>,
    count: watch::Sender<usize>,
}

impl Connections {
    pub fn new(
        max_connections: usize,
        limits: ClientLimits,
        socket_budget: Rc<SocketBudget>,
    ) -> Connections {
        let limits = Cell::new(limits);
        Connections {
            max_connections,
            limits,
            socket_budget,
            list: RefCell::default(),
            count: watch::Sender::new(0),
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> ClientLimits {
        self.limits.get()
    }

    /// Replaces the limits, also for present connections.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// The maximum number of connections now, without those that a sibling process has.
    fn max_connections(&self) -> usize {
        self.max_connections
            .saturating_sub(self.socket_budget.sibling_clients())
            .max(MIN_CONNECTIONS)
    }

    /// Occupies a slot until the returned value is dropped. Callers must wait for [`Self::slot_available`] first.
    pub fn occupy_slot(self: &Rc<Self>) -> ConnectionSlot {
        let connection = Rc::new(Connection {
            stage: Cell::new(Stage::Idle),
            since: Cell::new(Instant::now()),
            head_progress: Cell::new(Instant::now()),
            requests: Cell::new(0),
            framing: RefCell::default(),
            response_ended: Cell::new(false),
            response_truncated: Cell::new(false),
            closing: Cell::new(false),
            close_notify: Notify::new(),
        });
        self.list.borrow_mut().push(connection.clone());
        self.count.send_modify(|count| *count += 1);
        self.socket_budget.set_clients(*self.count.borrow());
        ConnectionSlot {
            connections: self.clone(),
            connection,
        }
    }

    /// Whether so few slots are free that connections are closed after their first response; see [`CROWDED_FRACTION`].
    pub fn are_crowded(&self) -> bool {
        *self.count.borrow() + self.max_connections() / CROWDED_FRACTION >= self.max_connections()
    }

    /// Returns once a slot is free. Enforces the limit on descriptors, and keeps slots available to new clients: with
    /// few free slots, it closes the connection that has waited longest in proportion to its allowed time.
    pub async fn slot_available(&self) {
        loop {
            let count = *self.count.borrow();
            if count + MIN_FREE_SLOTS >= self.max_connections() {
                let list = self.list.borrow();
                let closable = list
                    .iter()
                    .filter_map(|connection| Some((connection.scarcity_excess()?, connection)));
                if let Some((_, connection)) = closable.max_by(|a, b| a.0.total_cmp(&b.0)) {
                    connection.request_close();
                }
            }
            if count < self.max_connections() {
                return;
            }
            // Checks again once a connection has closed, or after a pause in which another one may have become
            // closable.
            let closed = async { _ = self.count.subscribe().wait_for(|now| *now < count).await };
            _ = tokio::time::timeout(SWEEP_INTERVAL / 10, closed).await;
        }
    }

    /// Returns once all connections are closed.
    pub async fn all_closed(&self) {
        _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Closes overdue connections periodically; never returns.
    pub async fn sweep(self: Rc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let limits = self.limits.get();
            self.list
                .borrow()
                .iter()
                .filter(|connection| connection.is_overdue(&limits))
                .for_each(|connection| connection.request_close());
        }
    }
}

/// A slot among the connections, released when dropped.
pub struct ConnectionSlot {
    connections: Rc<Connections>,
    pub connection: Rc<Connection>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections
            .list
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &self.connection));
        self.connections.count.send_modify(|count| *count -= 1);
        self.connections
            .socket_budget
            .set_clients(*self.connections.count.borrow());
    }
}

/// A client's TCP stream that updates the state of its [`Connection`] from the bytes it reads.
pub struct ObservedStream {
    pub stream: TcpStream,
    pub connection: Rc<Connection>,
}

impl Drop for ObservedStream {
    fn drop(&mut self) {
        // A client that was given no length would take a regular close for the end of the response, so the connection
        // is reset instead.
        if self.connection.response_truncated.get() {
            _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filled_before = into.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, into);
        self.connection.on_received(&into.filled()[filled_before..]);
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, from)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        from: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, from)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
