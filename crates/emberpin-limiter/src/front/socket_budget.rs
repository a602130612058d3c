//! The number of sockets that this process may open while a sibling process of the same limiter runs, during an
//! upgrade: all descriptors of the platform's limit that the sibling does not use. No I/O.
//!
//! A fixed half for each process would not do: the old process, which drains, uses ever fewer sockets, and all its
//! clients reconnect to the new one at once.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use tokio::sync::watch;

/// Descriptors that the sibling has open in addition to its connections: those of its runtime and of its operator API.
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
    /// `sibling` is the number of connections of the sibling process, or `None` if there is none.
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

    /// The number of connections that this process has open, to be reported to the sibling.
    pub fn in_use(&self) -> SocketCounts {
        self.own.get()
    }

    /// Records how many connections the sibling has open; `None` once it has exited.
    pub fn set_sibling(&self, sibling: Option<SocketCounts>) {
        self.sibling
            .send_if_modified(|known| std::mem::replace(known, sibling) != sibling);
    }

    /// Number of sockets to clients that this process must leave to the sibling.
    pub fn sibling_clients(&self) -> usize {
        self.sibling
            .borrow()
            .map_or(0, |sibling| sibling.clients + OVERHEAD)
    }

    /// Number of sockets to servers that this process must leave to the sibling.
    pub fn sibling_servers(&self) -> usize {
        self.sibling
            .borrow()
            .map_or(0, |sibling| sibling.servers + OVERHEAD)
    }

    /// Notifies of each change in the sibling's connections.
    pub fn changes(&self) -> watch::Receiver<Option<SocketCounts>> {
        self.sibling.subscribe()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sockets_closed_by_one_process_become_available_to_the_other_within_the_common_limit() {
        const SOCKET_LIMIT: usize = 180;
        let (old, new) = (
            SocketBudget::new(None),
            SocketBudget::new(Some(SocketCounts {
                clients: 150,
                servers: 40,
            })),
        );
        // Client connections of the old process, and of the new one.
        let mut clients = (150, 0);
        for _ in 0..150 {
            // A client of the old process reconnects to the new one.
            clients.0 -= 1;
            old.set_clients(clients.0);
            new.set_sibling(Some(old.in_use()));
            if clients.1 < SOCKET_LIMIT.saturating_sub(new.sibling_clients()) {
                clients.1 += 1;
            }
            assert!(
                clients.0 + clients.1 + OVERHEAD <= SOCKET_LIMIT,
                "{clients:?}"
            );
        }
        assert_eq!(clients, (0, 150), "every client can reconnect");
        new.set_sibling(None);
        assert_eq!((new.sibling_clients(), new.sibling_servers()), (0, 0));
    }
}
