//! How many sockets this process may open while a sibling process of the same limiter runs, during an upgrade: of the
//! platform's limit on descriptors, all that the sibling does not use. No I/O.
//!
//! Half for each would not do: an old process that drains uses ever fewer, and all its clients come to the new one at
//! once.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use tokio::sync::watch;

/// Descriptors that the sibling has open beside its connections: those of its runtime, and of its operators' door.
const OVERHEAD: usize = 28;

/// Connections that a process has open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SocketCounts {
    pub clients: usize,
    pub servers: usize,
}

/// The sockets in use here, and at a sibling if there is one.
pub struct SocketBudget {
    own: Cell<SocketCounts>,
    sibling: watch::Sender<Option<SocketCounts>>,
}

impl SocketBudget {
    /// `sibling` is what a sibling uses, or `None` if there is none.
    pub fn new(sibling: Option<SocketCounts>) -> SocketBudget {
        SocketBudget {
            own: Cell::default(),
            sibling: watch::Sender::new(sibling),
        }
    }

    /// Records how many connections with clients this process has open.
    pub fn set_clients(&self, clients: usize) {
        self.own.set(SocketCounts {
            clients,
            ..self.own.get()
        });
    }

    /// Records how many connections with servers this process has open.
    pub fn set_servers(&self, servers: usize) {
        self.own.set(SocketCounts {
            servers,
            ..self.own.get()
        });
    }

    /// What this process uses, for the sibling.
    pub fn in_use(&self) -> SocketCounts {
        self.own.get()
    }

    /// Records what the sibling uses; `None` once it is gone.
    pub fn set_sibling(&self, sibling: Option<SocketCounts>) {
        self.sibling
            .send_if_modified(|known| std::mem::replace(known, sibling) != sibling);
    }

    /// Sockets to clients that this process must leave to the sibling.
    pub fn sibling_clients(&self) -> usize {
        self.sibling
            .borrow()
            .map_or(0, |held| held.clients + OVERHEAD)
    }

    /// Sockets to servers that this process must leave to the sibling.
    pub fn sibling_servers(&self) -> usize {
        self.sibling
            .borrow()
            .map_or(0, |held| held.servers + OVERHEAD)
    }

    /// Notifies of each change of what the sibling uses.
    pub fn changes(&self) -> watch::Receiver<Option<SocketCounts>> {
        self.sibling.subscribe()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sockets_that_one_process_closes_the_other_may_open_within_the_common_limit() {
        const ALL: usize = 180;
        let (old, new) = (
            SocketBudget::new(None),
            SocketBudget::new(Some(SocketCounts {
                clients: 150,
                servers: 40,
            })),
        );
        let mut held = (150, 0);
        for _ in 0..150 {
            // A client of the old one comes to the new one.
            held.0 -= 1;
            old.set_clients(held.0);
            new.set_sibling(Some(old.in_use()));
            if held.1 < ALL.saturating_sub(new.sibling_clients()) {
                held.1 += 1;
            }
            assert!(held.0 + held.1 + OVERHEAD <= ALL, "{held:?}");
        }
        assert_eq!(held, (0, 150), "nobody is kept out");
        new.set_sibling(None);
        assert_eq!((new.sibling_clients(), new.sibling_servers()), (0, 0));
    }
}
