//! The links between limiters and zones, and their faults. A link is simulated inside the stand-in server: requests
//! that its socket has received, and responses before they are written, wait here as if they were still on the network.

use crate::scenario::LinkDirection;
use crate::trace::Micros;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// One link between a limiter and the servers of a zone.
#[derive(Default)]
pub struct ZoneLink {
    cut: Cell<Option<LinkDirection>>,
    delay: Cell<Micros>,
    changed: Notify,
}

impl ZoneLink {
    /// Cuts the link, or heals it.
    pub fn set_cut(&self, cut: Option<LinkDirection>) {
        self.cut.set(cut);
        self.changed.notify_waiters();
    }

    /// Sets the added delay in each direction, in microseconds.
    pub fn set_delay(&self, delay: Micros) {
        self.delay.set(delay);
    }

    /// Returns at the time at which a request that leaves the limiter now arrives at the server.
    pub async fn carry_request(&self) {
        self.wait_until_passable(|direction| direction != LinkDirection::Back)
            .await;
    }

    /// Returns at the time at which a response that leaves the server now arrives at the limiter.
    pub async fn carry_response(&self) {
        self.wait_until_passable(|direction| direction != LinkDirection::Out)
            .await;
    }

    async fn wait_until_passable(&self, is_blocked_by: impl Fn(LinkDirection) -> bool) {
        loop {
            let changed = self.changed.notified();
            if !self.cut.get().is_some_and(&is_blocked_by) {
                break;
            }
            changed.await;
        }
        if self.delay.get() > 0 {
            tokio::time::sleep(Duration::from_micros(self.delay.get())).await;
        }
    }
}
