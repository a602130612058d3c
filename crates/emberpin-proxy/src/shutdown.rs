//! Signals, and the graceful shutdown that SIGTERM begins.

use crate::error::ProxyError;
use crate::published_state::PublishedState;
use crate::registry_sessions::RegistrySessions;
use emberpin_limiter::host::ClientListener;
use std::future::pending;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, timeout_at, Instant};

/// Fraction of the grace period during which a draining proxy still accepts connections: the platform polls readiness
/// every second and stops directing connections here after two failures.
const DRAIN_ACCEPT_SHARE: f64 = 0.42;
/// Fraction of the grace period after which requests are rejected: otherwise servers might still be working on them
/// when the process exits.
const DRAIN_REQUEST_SHARE: f64 = 0.5;
/// Fraction of the grace period after which the process exits, whatever is still open.
const DRAIN_END_SHARE: f64 = 0.95;

/// The signals that the proxy handles. Their handlers are installed before it listens.
pub struct Signals {
    pub terminate: Signal,
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// [`ProxyError::Signal`].
    pub fn install() -> Result<Signals, ProxyError> {
        let catch = |kind| signal(kind).map_err(ProxyError::Signal);
        Ok(Signals {
            terminate: catch(SignalKind::terminate())?,
            hangup: catch(SignalKind::hangup())?,
        })
    }
}

/// Has the settings file read again upon each SIGHUP. The next registry session uses the new seeds; no other setting is
/// applied while the process runs.
pub async fn reload_on_hangup(hangup: &mut Signal, sessions: &RegistrySessions) {
    while hangup.recv().await.is_some() {
        sessions.reload_settings();
    }
    pending::<()>().await;
}

/// Drains: withdraws readiness, keeps accepting connections while the platform may still direct some here, then closes
/// the listener and waits for the open connections until the grace period is nearly over. A request that arrives in the
/// second half of the grace period, on a connection that is still open, is rejected.
pub async fn drain(published: &PublishedState, client_listener: &ClientListener, grace: Duration) {
    let started = Instant::now();
    published.start_draining();
    client_listener.begin_draining();
    sleep(grace.mul_f64(DRAIN_ACCEPT_SHARE)).await;
    client_listener.begin_closing();
    let empty = client_listener.all_closed();
    tokio::pin!(empty);
    if timeout_at(started + grace.mul_f64(DRAIN_REQUEST_SHARE), &mut empty)
        .await
        .is_ok()
    {
        return;
    }
    published.start_rejecting_requests();
    _ = timeout_at(started + grace.mul_f64(DRAIN_END_SHARE), empty).await;
}
