//! The clients' view of an edge: its addresses, its readiness, and the idle connections to it.

use crate::http::{self, Connection, HttpResponse, SendError};
use crate::record::lock;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// The interval between the platform's readiness probes of an edge, and the time-out of each probe.
pub const READINESS_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Clients stop using an edge after this many consecutive failed probes.
const MAX_FAILED_PROBES: u32 = 2;

/// Which connection carries an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection if there is one, otherwise a new one.
    Reuse,
    /// A new connection, so that a retry does not fail on a second stale connection.
    New,
}

/// An edge that clients connect to.
pub struct Edge {
    /// The zone of the edge. Clients prefer edges of their own zone.
    pub zone: &'static str,
    http: SocketAddr,
    readyz: SocketAddr,
    failed_probes: AtomicU32,
    idle_connections: Mutex<Vec<Connection>>,
}

impl Edge {
    /// Creates an edge that is in use until probes fail.
    pub fn new(zone: &'static str, http: SocketAddr, readyz: SocketAddr) -> Edge {
        Edge {
            zone,
            http,
            readyz,
            failed_probes: AtomicU32::new(0),
            idle_connections: Mutex::default(),
        }
    }

    /// Whether fewer than the maximum number of consecutive probes have failed.
    pub fn is_in_use(&self) -> bool {
        self.failed_probes.load(Ordering::Relaxed) < MAX_FAILED_PROBES
    }

    /// Sends one readiness probe; returns whether the edge responded that it is ready.
    pub async fn is_ready(&self) -> bool {
        let time_limit = READINESS_PROBE_INTERVAL;
        let response = http::call(
            self.readyz,
            Method::GET,
            "/readyz",
            String::new(),
            time_limit,
        )
        .await;
        response.is_some_and(|response| response.status == 200)
    }

    /// Probes the edge once and updates the count of consecutive failures.
    pub async fn probe(&self) {
        if self.is_ready().await {
            self.failed_probes.store(0, Ordering::Relaxed);
        } else {
            self.failed_probes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a request, and keeps the connection for reuse unless the edge closes it.
    ///
    /// # Errors
    ///
    /// [`SendError`] distinguishes requests that were not sent from those that may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        choice: ConnectionChoice,
    ) -> Result<HttpResponse, SendError> {
        let idle_connection = match choice {
            ConnectionChoice::Reuse => self.take_idle_connection(),
            ConnectionChoice::New => None,
        };
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => http::connect(self.http).await?,
        };
        let response = http::send(&mut connection, request).await?;
        let connection_header = response.headers.get("connection");
        if connection_header.is_none_or(|value| value != "close") {
            lock(&self.idle_connections).push(connection);
        }
        Ok(response)
    }

    fn take_idle_connection(&self) -> Option<Connection> {
        let mut idle_connections = lock(&self.idle_connections);
        while let Some(connection) = idle_connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}
