//! The links between limiters and halls, and what is wrong with them. A link is a gate in the stand-in server:
//! what a limiter's machine has taken waits here as it would on the way.

use crate::scenario::LinkDirection;
use crate::trace::Micros;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// One link, seen from the limiter: out to the servers, and back.
#[derive(Default)]
pub struct ZoneLink {
    cut: Cell<Option<LinkDirection>>,
    delay: Cell<Micros>,
    changed: Notify,
}

impl ZoneLink {
    /// Cuts it, or heals it.
    pub fn set_cut(&self, cut: Option<LinkDirection>) {
        self.cut.set(cut);
        self.changed.notify_waiters();
    }

    /// Makes everything so much later each way.
    pub fn set_delay(&self, delay: Micros) {
        self.delay.set(delay);
    }

    /// Returns when what left the limiter now has come.
    pub async fn carry_request(&self) {
        self.wait_until_passable(|direction| direction != LinkDirection::Back)
            .await;
    }

    /// Returns when what left the server now has come.
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
