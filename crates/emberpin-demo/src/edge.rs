//! An edge, as clients know it: its addresses, its readiness, and idle connections to it.

use crate::http::{self, Connection, HttpResponse, SendError};
use crate::record::lock;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// How often the platform probes an edge for its readiness, and how long it waits for the response.
pub const READINESS_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// An edge is not ready once this many probes in a row have failed.
const MAX_FAILED_PROBES: u32 = 2;

/// Which connection carries an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle one, if there is one.
    Reuse,
    /// A new one: a retry must not fail on a second stale connection.
    New,
}

/// An edge that clients connect to.
pub struct Edge {
    /// The zone, which clients of the same zone prefer.
    pub zone: &'static str,
    http: SocketAddr,
    readyz: SocketAddr,
    failed_probes: AtomicU32,
    idle_connections: Mutex<Vec<Connection>>,
}

impl Edge {
    /// An edge that counts as ready until probes fail.
    pub fn new(zone: &'static str, http: SocketAddr, readyz: SocketAddr) -> Edge {
        Edge {
            zone,
            http,
            readyz,
            failed_probes: AtomicU32::new(0),
            idle_connections: Mutex::default(),
        }
    }

    /// Whether the last probes leave the edge in use.
    pub fn is_in_use(&self) -> bool {
        self.failed_probes.load(Ordering::Relaxed) < MAX_FAILED_PROBES
    }

    /// Asks the edge whether it is ready.
    pub async fn is_ready(&self) -> bool {
        let limit = READINESS_PROBE_INTERVAL;
        let response = http::call(self.readyz, Method::GET, "/readyz", String::new(), limit).await;
        response.is_some_and(|response| response.status == 200)
    }

    /// Probes the edge once and counts failures in a row.
    pub async fn probe(&self) {
        if self.is_ready().await {
            self.failed_probes.store(0, Ordering::Relaxed);
        } else {
            self.failed_probes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a request, and keeps the connection unless the edge closes it.
    ///
    /// # Errors
    ///
    /// [`SendError`] tells whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        choice: ConnectionChoice,
    ) -> Result<HttpResponse, SendError> {
        let idle = match choice {
            ConnectionChoice::Reuse => self.take_idle_connection(),
            ConnectionChoice::New => None,
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => http::connect(self.http).await?,
        };
        let response = http::send(&mut connection, request).await?;
        let closes = response.headers.get("connection");
        if closes.is_none_or(|value| value != "close") {
            lock(&self.idle_connections).push(connection);
        }
        Ok(response)
    }

    fn take_idle_connection(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle_connections);
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}
