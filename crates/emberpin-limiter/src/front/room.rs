//! What of the platform's limit on descriptors is this process's, while another process of the same limiter is there:
//! all that the other does not hold. No I/O.
//!
//! Halves would not do: an old process that leaves holds ever less, and all its clients come to the new one at once.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use tokio::sync::watch;

/// What the other process has open beside connections, of each kind of place: its own runtime, and its door's callers.
const OVERHEAD: usize = 28;

/// Connections that a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub clients: usize,
    pub servers: usize,
}

/// This process's part.
pub struct Room {
    own: Cell<Held>,
    elsewhere: watch::Sender<Option<Held>>,
}

impl Room {
    /// With another process that holds so much, if there is one.
    pub fn new(elsewhere: Option<Held>) -> Room {
        Room {
            own: Cell::default(),
            elsewhere: watch::Sender::new(elsewhere),
        }
    }

    /// So many connections with clients are held here.
    pub fn hold_clients(&self, clients: usize) {
        self.own.set(Held {
            clients,
            ..self.own.get()
        });
    }

    /// So many connections with servers are held here.
    pub fn hold_servers(&self, servers: usize) {
        self.own.set(Held {
            servers,
            ..self.own.get()
        });
    }

    /// What the other process is told.
    pub fn held(&self) -> Held {
        self.own.get()
    }

    /// The other process holds so much, or is gone.
    pub fn tell(&self, elsewhere: Option<Held>) {
        self.elsewhere
            .send_if_modified(|known| std::mem::replace(known, elsewhere) != elsewhere);
    }

    /// Places with clients that are not this process's.
    pub fn clients_elsewhere(&self) -> usize {
        self.elsewhere
            .borrow()
            .map_or(0, |held| held.clients + OVERHEAD)
    }

    /// The same with servers.
    pub fn servers_elsewhere(&self) -> usize {
        self.elsewhere
            .borrow()
            .map_or(0, |held| held.servers + OVERHEAD)
    }

    /// Hears of each change.
    pub fn changes(&self) -> watch::Receiver<Option<Held>> {
        self.elsewhere.subscribe()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_one_process_gives_up_the_other_may_have_and_both_keep_to_the_whole() {
        const ALL: usize = 180;
        let (old, new) = (
            Room::new(None),
            Room::new(Some(Held {
                clients: 150,
                servers: 40,
            })),
        );
        let mut held = (150, 0);
        for _ in 0..150 {
            // A client of the old one comes to the new one.
            held.0 -= 1;
            old.hold_clients(held.0);
            new.tell(Some(old.held()));
            if held.1 < ALL.saturating_sub(new.clients_elsewhere()) {
                held.1 += 1;
            }
            assert!(held.0 + held.1 + OVERHEAD <= ALL, "{held:?}");
        }
        assert_eq!(held, (0, 150), "nobody is kept out");
        new.tell(None);
        assert_eq!((new.clients_elsewhere(), new.servers_elsewhere()), (0, 0));
    }
}
