//! The connections that clients hold: how many, what each waits for and since when, and which must go.

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

/// How much of a connection's time a client may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// A head must be complete within the first time after its first byte; within the second while it still grows.
    pub head: (Duration, Duration),
    /// The first request on a connection must begin within this time.
    pub silence: Duration,
    /// The next request must begin within this time after an answer; `None` for no bound.
    pub idle: Option<Duration>,
    /// The longest head: a longer one is refused with 431 as soon as this many bytes have arrived.
    pub head_bytes: usize,
}

/// The longest head, unless [`ClientLimits`] says otherwise.
pub const HEAD_BYTES: usize = 16 * 1024;

impl Default for ClientLimits {
    /// The platform's clients take up to 2 s, and stay between requests as long as they like.
    fn default() -> ClientLimits {
        let head = (Duration::from_millis(2_500), Duration::from_secs(4));
        ClientLimits {
            head,
            silence: Duration::from_secs(2),
            idle: None,
            head_bytes: HEAD_BYTES,
        }
    }
}

/// With less than one in this many slots free, a connection ends with its first answer. Idle connections are not closed
/// before their time, so many clients that send one request and stay would fill the slots faster than they become free.
const CROWDED_FRACTION: usize = 8;
/// With no more free slots than this, connections are closed for new ones.
const MIN_FREE: usize = 8;
/// Then a connection without any request is closed after this time.
const CROWDED_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Then one whose head has stopped half way is closed after this time: slow clients pause between chunks.
const CROWDED_HEAD_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Then one that is idle after an answer is closed after this time.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// For this long a connection is new, and its first request may be under way.
const NEW_CONNECTION_AGE: Duration = Duration::from_millis(250);
/// Connections that this process may have however many a sibling process has.
const MIN_CONNECTIONS: usize = 16;
/// How often the limits are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// No request is open, and no byte of the next one has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A request is open.
    Open,
}

/// The state of a client's connection.
pub struct Connection {
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// When the last byte of a head arrived.
    moved: Cell<Instant>,
    requests: Cell<u64>,
    framing: RefCell<Framing>,
    /// A response on it broke off. Its end must not look like that of the response, so it is reset.
    cut: Cell<bool>,
    /// It was notified to end.
    ending: Cell<bool>,
    end: Notify,
}

impl Connection {
    /// Records that the head of a request is complete.
    pub fn open(&self) {
        self.stage.set(Stage::Open);
        self.requests.set(self.requests.get() + 1);
    }

    /// Whether a request on it had two contradicting framings.
    pub fn is_doubtful(&self) -> bool {
        self.framing.borrow().is_doubtful()
    }

    /// Records that a response on it broke off.
    pub fn cut(&self) {
        self.cut.set(true);
    }

    /// Whether no other request came on it before this one.
    pub fn is_first_request(&self) -> bool {
        self.requests.get() == 1
    }

    /// Whether a request is on its way: part of it has come, or the connection is so new that its first one may be.
    pub fn is_expecting(&self) -> bool {
        match self.stage.get() {
            Stage::Head => true,
            Stage::Idle => !self.has_requested() && self.since.get().elapsed() < NEW_CONNECTION_AGE,
            Stage::Open => false,
        }
    }

    /// Whether a request has come on it.
    pub fn has_requested(&self) -> bool {
        self.requests.get() > 0
    }

    /// Records that the request has its answer.
    pub fn close(&self) {
        self.stage.set(Stage::Idle);
        self.since.set(Instant::now());
    }

    /// Returns when the connection must go. A request that came whole at the last moment keeps it.
    pub async fn must_go(&self) {
        loop {
            self.end.notified().await;
            if self.stage.get() != Stage::Open {
                return;
            }
            self.ending.set(false);
        }
    }

    fn end(&self) {
        self.ending.set(true);
        self.end.notify_one();
    }

    /// Guards against silent connections and endless heads. A connection that has had an answer may stay idle.
    fn is_overdue(&self, limits: &ClientLimits) -> bool {
        let since = self.since.get().elapsed();
        let (head, most) = limits.head;
        match self.stage.get() {
            Stage::Head => {
                since >= most || since >= head && self.moved.get().elapsed() >= SWEEP_INTERVAL
            }
            Stage::Idle if self.has_requested() => limits.idle.is_some_and(|idle| since >= idle),
            Stage::Idle => since >= limits.silence,
            Stage::Open => false,
        }
    }

    /// How far beyond the time that a crowd leaves it, if it is. A head that still grows is a slow client's; one that
    /// has stopped counts from there.
    fn excess(&self) -> Option<f64> {
        let (since, patience) = match (self.stage.get(), self.has_requested()) {
            (Stage::Head, _) => (self.moved.get(), CROWDED_HEAD_STALL_TIMEOUT),
            (_, false) => (self.since.get(), CROWDED_FIRST_REQUEST_TIMEOUT),
            (_, true) => (self.since.get(), CROWDED_IDLE_TIMEOUT),
        };
        let excess = since.elapsed().as_secs_f64() / patience.as_secs_f64();
        (self.stage.get() != Stage::Open && !self.ending.get() && excess >= 1.0).then_some(excess)
    }
}

/// All connections of clients.
pub struct Connections {
    most: usize,
    limits: Cell<ClientLimits>,
    /// What another process of this limiter holds of them.
    socket_budget: Rc<SocketBudget>,
    list: RefCell<Vec<Rc<Connection>>>,
    count: watch::Sender<usize>,
}

impl Connections {
    pub fn new(most: usize, limits: ClientLimits, socket_budget: Rc<SocketBudget>) -> Connections {
        let limits = Cell::new(limits);
        Connections {
            most,
            limits,
            socket_budget,
            list: RefCell::default(),
            count: watch::Sender::new(0),
        }
    }

    /// The limits that hold now.
    pub fn limits(&self) -> ClientLimits {
        self.limits.get()
    }

    /// Other limits hold from now on.
    pub fn limit(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    fn most(&self) -> usize {
        self.most
            .saturating_sub(self.socket_budget.sibling_clients())
            .max(MIN_CONNECTIONS)
    }

    /// Takes a place until dropped; wait for [`Self::room`] before.
    pub fn enter(self: &Rc<Self>) -> Place {
        let connection = Rc::new(Connection {
            stage: Cell::new(Stage::Idle),
            since: Cell::new(Instant::now()),
            moved: Cell::new(Instant::now()),
            requests: Cell::new(0),
            framing: RefCell::default(),
            cut: Cell::new(false),
            ending: Cell::new(false),
            end: Notify::new(),
        });
        self.list.borrow_mut().push(connection.clone());
        self.count.send_modify(|count| *count += 1);
        self.socket_budget.set_clients(*self.count.borrow());
        Place {
            connections: self.clone(),
            connection,
        }
    }

    pub fn are_crowded(&self) -> bool {
        *self.count.borrow() + self.most() / CROWDED_FRACTION >= self.most()
    }

    /// Returns once there is a place. Guards the limit on descriptors, and new clients against a crowd: with
    /// few places left, the connection that is idle for longest makes room.
    pub async fn room(&self) {
        loop {
            let count = *self.count.borrow();
            if count + MIN_FREE >= self.most() {
                let list = self.list.borrow();
                let idle = list
                    .iter()
                    .filter_map(|connection| Some((connection.excess()?, connection)));
                if let Some((_, connection)) = idle.max_by(|a, b| a.0.total_cmp(&b.0)) {
                    connection.end();
                }
            }
            if count < self.most() {
                return;
            }
            // Somebody leaves, or has been idle for long enough by then.
            let left = async { _ = self.count.subscribe().wait_for(|now| *now < count).await };
            _ = tokio::time::timeout(SWEEP_INTERVAL / 10, left).await;
        }
    }

    /// Returns once none is left.
    pub async fn empty(&self) {
        _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Ends what is overdue, for good.
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
                .for_each(|c| c.end());
        }
    }
}

/// A place among the connections, given back when dropped.
pub struct Place {
    connections: Rc<Connections>,
    pub connection: Rc<Connection>,
}

impl Drop for Place {
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

/// A stream that tells its connection when a head begins to come.
pub struct Watched {
    pub stream: TcpStream,
    pub connection: Rc<Connection>,
}

impl Drop for Watched {
    fn drop(&mut self) {
        // A client that was told no length takes the end of the connection for that of the answer: it gets a reset.
        if self.connection.cut.get() {
            _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, into);
        let connection = &self.connection;
        let come = &into.filled()[before..];
        let mut framing = connection.framing.borrow_mut();
        framing.feed(come);
        // Empty lines before a request are none of it.
        if connection.stage.get() == Stage::Idle && !come.is_empty() && framing.is_begun() {
            connection.stage.set(Stage::Head);
            connection.since.set(Instant::now());
        }
        if connection.stage.get() == Stage::Head {
            connection.moved.set(Instant::now());
        }
        result
    }
}

impl AsyncWrite for Watched {
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
