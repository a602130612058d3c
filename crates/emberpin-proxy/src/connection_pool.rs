//! Limits on the connections of the process, and the pool of connections to servers.

use crate::wire::GatewayWire;
use emberpin_limiter::host::{LimiterMetrics, Pool, PoolLimits, SocketBudget};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;

/// File descriptors reserved for everything other than client and server connections: listeners, registry sessions, the
/// runtime and files.
const RESERVED_DESCRIPTORS: usize = 240;
/// Lower bound of the descriptors for connections, however low the limit on open files is.
const MIN_CONNECTIONS: usize = 40;
/// Fraction of the remaining descriptors for clients' connections; servers' connections get the rest.
const CLIENT_CONNECTION_SHARE: f64 = 0.55;
/// Time-out for establishing a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an idle connection is kept if its server states no shorter time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 16;
/// A server that acknowledges nothing for this long counts as unreachable.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes of a response that are buffered before any of it is forwarded. A response that breaks off within them can be
/// retried. Longer ones are streamed: if they were buffered, the transfer to the client would begin only after the
/// transfer from the server, which doubles the time on slow links.
const BUFFERED_RESPONSE_BYTES: usize = 16 << 10;

/// Maximum numbers of connections to clients and to servers.
pub struct ConnectionBudget {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
}

impl ConnectionBudget {
    /// Divides the connections of a process with this limit on open files between clients and servers.
    pub fn from_descriptor_limit(max_descriptors: usize) -> ConnectionBudget {
        let total = max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        let clients = (total as f64 * CLIENT_CONNECTION_SHARE) as usize;
        ConnectionBudget {
            clients,
            servers: total - clients,
        }
    }
}

/// Starts the pool of connections to servers.
pub fn start_pool(
    max_sockets: usize,
    limiter_metrics: &Arc<LimiterMetrics>,
    socket_budget: &Rc<SocketBudget>,
) -> Rc<Pool> {
    let limits = PoolLimits {
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        max_idle_per_server: MAX_IDLE_PER_SERVER,
        sockets: max_sockets,
        unacknowledged_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
        buffered_response_bytes: BUFFERED_RESPONSE_BYTES,
    };
    let pool = Pool::new(
        limits,
        Rc::new(GatewayWire),
        limiter_metrics.clone(),
        socket_budget.clone(),
    );
    spawn_local(pool.clone().expire_idle());
    pool
}
