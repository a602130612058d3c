//! What the stores last reported, shared by the subscription that writes it and the client that reads it.

use emberpin_membership::ids::Nonce;
use emberpin_store::protocol::{DiskState, DiskStatus};
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The store on this machine counts as unreachable after this time without a frame from it; another voter's store is
/// then the fallback.
pub const LOCAL_STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// What this registry knows of the stores.
pub struct StoreState {
    local_ip: Ipv4Addr,
    /// Machines to look for stores on until a store has named the voters.
    seeds: Vec<Ipv4Addr>,
    /// The machines whose stores vote, as a store last reported.
    voters: Mutex<Vec<Ipv4Addr>>,
    /// When the store on this machine last sent a frame; until it did, when the process started.
    last_local_frame_at: Mutex<Instant>,
    /// The disk of the store on this machine, once it has reported that.
    local_disk: Mutex<Option<DiskStatus>>,
    /// The nonce of the newest confirmation that the registry requests from the store it is subscribed to.
    confirmation_request: watch::Sender<Nonce>,
}

/// Locks a mutex, whether or not a holder panicked: no holder in this package panics halfway through a change.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreState {
    /// The state at the start of the process: nothing reported yet.
    pub fn new(local_ip: Ipv4Addr, seeds: Vec<Ipv4Addr>) -> StoreState {
        StoreState {
            local_ip,
            seeds,
            voters: Mutex::default(),
            last_local_frame_at: Mutex::new(Instant::now()),
            local_disk: Mutex::default(),
            confirmation_request: watch::Sender::new(Nonce(0)),
        }
    }

    /// The machine of this registry and of the store beside it.
    pub fn local_ip(&self) -> Ipv4Addr {
        self.local_ip
    }

    /// The disk of the store on this machine, as last reported.
    pub fn local_disk(&self) -> Option<DiskStatus> {
        *lock(&self.local_disk)
    }

    /// Requests from the subscribed store how old its items are; a newer request replaces one not yet sent.
    pub fn request_freshness_confirmation(&self, nonce: Nonce) {
        self.confirmation_request.send_replace(nonce);
    }

    /// Watches the newest request made by [`StoreState::request_freshness_confirmation`].
    pub fn confirmation_requests(&self) -> watch::Receiver<Nonce> {
        self.confirmation_request.subscribe()
    }

    /// Records that the store on this machine sent a frame.
    pub fn record_local_frame(&self) {
        *lock(&self.last_local_frame_at) = Instant::now();
    }

    /// Records the disk of the store on this machine.
    pub fn record_local_disk(&self, disk: DiskStatus) {
        *lock(&self.local_disk) = Some(disk);
    }

    /// Records the machines whose stores vote.
    pub fn record_voters(&self, voters: &[Ipv4Addr]) {
        voters.clone_into(&mut lock(&self.voters));
    }

    /// Whether the store on this machine sent nothing for [`LOCAL_STORE_TIMEOUT`].
    pub fn local_store_timed_out(&self) -> bool {
        lock(&self.last_local_frame_at).elapsed() >= LOCAL_STORE_TIMEOUT
    }

    /// Whether the store on this machine would reject a call or never answer it.
    pub fn local_store_is_unusable(&self) -> bool {
        let unusable =
            |disk: DiskStatus| matches!(disk.state, DiskState::Full | DiskState::Stalled);
        self.local_store_timed_out() || self.local_disk().is_some_and(unusable)
    }

    /// The machines of all other stores: the voters, or the seeds until the voters are known.
    pub fn other_stores(&self) -> Vec<Ipv4Addr> {
        let voters = lock(&self.voters);
        let known = if voters.is_empty() {
            &self.seeds
        } else {
            &*voters
        };
        known
            .iter()
            .copied()
            .filter(|store| *store != self.local_ip)
            .collect()
    }
}
