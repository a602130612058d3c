//! The last reported state of the stores. The subscription writes it, and the clients of the stores read it.

use emberpin_membership::ids::Nonce;
use emberpin_store::protocol::{DiskState, DiskStatus};
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The store on this machine counts as unreachable after this time without a frame from it. The subscription then falls
/// back to the store of another voter.
pub const LOCAL_STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// This registry's knowledge of the stores.
pub struct StoreState {
    local_ip: Ipv4Addr,
    /// The machines whose stores are used until a store has reported the voters.
    seeds: Vec<Ipv4Addr>,
    /// The machines whose stores vote, as last reported by a store.
    voters: Mutex<Vec<Ipv4Addr>>,
    /// When the last frame of the store on this machine was received or, before the first one, when this state was
    /// created.
    last_local_frame_at: Mutex<Instant>,
    /// The disk status of the store on this machine; `None` until the store has reported it.
    local_disk: Mutex<Option<DiskStatus>>,
    /// The nonce of the newest request for a freshness confirmation to the subscribed store.
    confirmation_request: watch::Sender<Nonce>,
}

/// Locks a mutex even if it is poisoned: no code of this package panics in the middle of a change under a mutex.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreState {
    /// Creates the state at the start of the process, when no store has reported anything.
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

    /// The address of this machine, on which this registry and the local store run.
    pub fn local_ip(&self) -> Ipv4Addr {
        self.local_ip
    }

    /// The last reported disk status of the store on this machine.
    pub fn local_disk(&self) -> Option<DiskStatus> {
        *lock(&self.local_disk)
    }

    /// Requests a confirmation from the subscribed store of how old its items are. A newer request replaces one that is
    /// not sent yet.
    pub fn request_freshness_confirmation(&self, nonce: Nonce) {
        self.confirmation_request.send_replace(nonce);
    }

    /// Returns a receiver of the newest nonce passed to [`StoreState::request_freshness_confirmation`].
    pub fn confirmation_requests(&self) -> watch::Receiver<Nonce> {
        self.confirmation_request.subscribe()
    }

    /// Records that a frame of the store on this machine was received.
    pub fn record_local_frame(&self) {
        *lock(&self.last_local_frame_at) = Instant::now();
    }

    /// Records the disk status of the store on this machine.
    pub fn record_local_disk(&self, disk: DiskStatus) {
        *lock(&self.local_disk) = Some(disk);
    }

    /// Records the machines whose stores vote.
    pub fn record_voters(&self, voters: &[Ipv4Addr]) {
        voters.clone_into(&mut lock(&self.voters));
    }

    /// Whether no frame of the store on this machine was received for [`LOCAL_STORE_TIMEOUT`].
    pub fn local_store_timed_out(&self) -> bool {
        lock(&self.last_local_frame_at).elapsed() >= LOCAL_STORE_TIMEOUT
    }

    /// Whether the store on this machine is expected to reject a call or not to respond to it.
    pub fn local_store_is_unusable(&self) -> bool {
        let unusable =
            |disk: DiskStatus| matches!(disk.state, DiskState::Full | DiskState::Stalled);
        self.local_store_timed_out() || self.local_disk().is_some_and(unusable)
    }

    /// The machines of all other known stores: those of the voters, or of the seeds until the voters are known.
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
