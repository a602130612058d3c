//! The idle connections to all servers, and the process's limit on sockets to them.

use super::connection::{ConnectError, ServerConnection};
use crate::front::socket_budget::SocketBudget;
use crate::operate::figures::LimiterMetrics;
use crate::upstream::lifetimes::Lifetimes;
use crate::upstream::wire::Wire;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

/// How often idle connections are checked for expiry.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often the sockets in use are counted while this limiter has a sibling process, to which the count is reported.
const SIBLING_SYNC_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum number of sockets that this process may use, however many a sibling process has open.
const MIN_SOCKETS: usize = 16;

/// The state shared by the connections to all servers: limits on time and on sockets, and the idle connections.
pub struct Pool {
    pub(super) limits: PoolLimits,
    pub(super) wire: Rc<dyn Wire>,
    pub(super) metrics: Arc<LimiterMetrics>,
    sockets: Arc<Semaphore>,
    socket_budget: Rc<SocketBudget>,
    /// Those that have been idle for longest come first.
    idle: RefCell<Vec<IdleConnection>>,
    /// Estimates from use how long idle connections really last, which may be shorter than the settings say.
    lifetimes: RefCell<Lifetimes>,
    next_key: Cell<u64>,
}

/// Limits on time and on sockets.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// A connection must be established within this time.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this time, or earlier where the server has stated a shorter time.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections to one server.
    pub max_idle_per_server: usize,
    /// Maximum number of connections to all servers.
    pub sockets: usize,
    /// A connection is closed once the server's machine has acknowledged nothing for this long; `None` for the
    /// operating system's own limit.
    pub unacknowledged_timeout: Option<Duration>,
    /// Maximum number of bytes of a response that are buffered. A response that breaks off within them may be retried.
    pub buffered_response_bytes: usize,
}

/// Which upstream a connection belongs to; unique within a pool, so that connections to an earlier incarnation are
/// never used for a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UpstreamKey(u64);

struct IdleConnection {
    key: UpstreamKey,
    connection: ServerConnection,
    since: Instant,
}

impl Pool {
    /// Creates an empty pool. `wire` determines the headers of requests and the meaning of responses.
    pub fn new(
        limits: PoolLimits,
        wire: Rc<dyn Wire>,
        metrics: Arc<LimiterMetrics>,
        socket_budget: Rc<SocketBudget>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            sockets: Arc::new(Semaphore::new(limits.sockets)),
            limits,
            wire,
            socket_budget,
            idle: RefCell::default(),
            lifetimes: RefCell::default(),
            next_key: Cell::new(0),
            metrics,
        })
    }

    pub(super) fn new_key(&self) -> UpstreamKey {
        UpstreamKey(self.next_key.replace(self.next_key.get() + 1))
    }

    /// Keeps as many sockets reserved as the sibling process of this limiter has open during an upgrade. Runs for as
    /// long as this process. Closes idle connections if there are not enough free sockets.
    pub async fn track_sibling(self: Rc<Self>) {
        let mut changes = self.socket_budget.changes();
        let mut reserved: Option<OwnedSemaphorePermit> = None;
        loop {
            self.reserve_for_sibling(&mut reserved);
            let reserved_count = permit_count(&reserved);
            self.socket_budget.set_servers(
                self.limits.sockets - reserved_count - self.sockets.available_permits(),
            );
            // Without a sibling nobody reads the count, so the loop sleeps until one appears.
            let has_sibling = changes.borrow_and_update().is_some();
            if has_sibling {
                _ = timeout(SIBLING_SYNC_INTERVAL, changes.changed()).await;
            } else if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Adjusts the number of reserved sockets to the sibling's, as far as free sockets and idle connections allow.
    fn reserve_for_sibling(&self, reserved: &mut Option<OwnedSemaphorePermit>) {
        let wanted = self
            .socket_budget
            .sibling_servers()
            .min(self.limits.sockets.saturating_sub(MIN_SOCKETS));
        let has = permit_count(reserved);
        if wanted < has {
            // Dropping the split permits returns them to the semaphore.
            drop(
                reserved
                    .as_mut()
                    .and_then(|reserved| reserved.split(has - wanted)),
            );
        } else if wanted > has {
            let more = wanted - has;
            while self.sockets.available_permits() < more && !self.idle.borrow().is_empty() {
                self.idle.borrow_mut().remove(0);
            }
            let more = more.min(self.sockets.available_permits());
            if let Ok(permits) = self.sockets.clone().try_acquire_many_owned(more as u32) {
                match reserved {
                    Some(reserved) => reserved.merge(permits),
                    None => *reserved = Some(permits),
                }
            }
        }
    }

    /// Closes idle connections that have expired or can carry no further request. Runs for as long as the process.
    pub async fn expire_idle(self: Rc<Self>) {
        let mut ticks = interval(IDLE_CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.idle
                .borrow_mut()
                .retain(|idle| self.is_fresh(idle) && idle.connection.has_nothing_to_read());
        }
    }

    fn is_fresh(&self, idle: &IdleConnection) -> bool {
        let (now, idle_time) = (Instant::now(), idle.since.elapsed());
        let idle_timeout = idle
            .connection
            .stated_idle_timeout
            .map_or(self.limits.idle_timeout, |stated| {
                stated.min(self.limits.idle_timeout)
            });
        idle_time < idle_timeout && self.lifetimes.borrow().is_usable(now, idle_time)
    }

    /// Records whether a request on a connection that had been idle for `idle_time` was lost with the connection or
    /// answered.
    pub(super) fn record_use(&self, idle_time: Duration, lost: bool) {
        let excluded_ages = self
            .lifetimes
            .borrow_mut()
            .record(Instant::now(), idle_time, lost);
        if let Some((age, pause)) = excluded_ages {
            let (age, pause) = (age.as_millis(), pause.as_secs());
            eprintln!("connections to servers are lost after {age} ms of idle time or more: such connections are not reused for {pause} s");
        }
    }

    /// Returns a connection to this upstream: an idle one that is usable, else a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectError::NoSocket`] if all sockets are in use; [`ConnectError::Failed`] if no connection comes up.
    pub(super) async fn connect(
        &self,
        key: UpstreamKey,
        address: SocketAddr,
        max_idle_time: Option<Duration>,
    ) -> Result<ServerConnection, ConnectError> {
        while let Some(mut connection) = self.take_idle(key, max_idle_time) {
            if connection.is_usable().await {
                return Ok(connection);
            }
        }
        let socket = self.acquire_socket().ok_or(ConnectError::NoSocket)?;
        ServerConnection::open(address, self.limits.unacknowledged_timeout, socket).await
    }

    /// Takes the most recently used connection, unless it has expired or been idle for `max_idle_time`.
    fn take_idle(
        &self,
        key: UpstreamKey,
        max_idle_time: Option<Duration>,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let newest = idle.iter().rposition(|idle| idle.key == key)?;
        if max_idle_time.is_some_and(|limit| idle[newest].since.elapsed() >= limit) {
            return None;
        }
        let mut idle = Some(idle.remove(newest)).filter(|idle| self.is_fresh(idle))?;
        idle.connection.idle_time = idle.since.elapsed();
        Some(idle.connection)
    }

    /// Keeps a connection for the next request, or closes it if the upstream has enough idle ones.
    pub(super) fn keep(&self, key: UpstreamKey, connection: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.iter().filter(|idle| idle.key == key).count() < self.limits.max_idle_per_server {
            idle.push(IdleConnection {
                key,
                connection,
                since: Instant::now(),
            });
        }
    }

    pub(super) fn close_idle(&self, key: UpstreamKey) {
        self.idle.borrow_mut().retain(|idle| idle.key != key);
    }

    /// Acquires a socket within the process's limit on descriptors. When all are in use, closes the connection that has
    /// been idle for longest, whichever server it goes to.
    fn acquire_socket(&self) -> Option<OwnedSemaphorePermit> {
        if self.sockets.available_permits() == 0 && !self.idle.borrow().is_empty() {
            self.idle.borrow_mut().remove(0);
        }
        self.sockets.clone().try_acquire_owned().ok()
    }
}

fn permit_count(permits: &Option<OwnedSemaphorePermit>) -> usize {
    permits
        .as_ref()
        .map_or(0, OwnedSemaphorePermit::num_permits)
}
