//! Turns: how many sites the tests of one file play at the same time.
//!
//! Each site is several processes in real time. With all tests of a file at once they starve each other: a load that is
//! not offered passes no ceiling, and a cold server that gets no turn says nothing of itself.

use std::sync::{Condvar, Mutex, PoisonError};

/// Sites that are played at the same time.
const MAX_CONCURRENT_SITES: usize = 4;

static RUNNING_SITES: Mutex<usize> = Mutex::new(0);
static SLOT_FREED: Condvar = Condvar::new();

/// The right to play one of [`MAX_CONCURRENT_SITES`], given back when it is dropped.
pub struct SiteSlot;

impl SiteSlot {
    /// Waits until one is free.
    pub fn acquire() -> SiteSlot {
        let running = RUNNING_SITES.lock().unwrap_or_else(PoisonError::into_inner);
        let all_taken = |running: &mut usize| *running >= MAX_CONCURRENT_SITES;
        *SLOT_FREED
            .wait_while(running, all_taken)
            .unwrap_or_else(PoisonError::into_inner) += 1;
        SiteSlot
    }
}

impl Drop for SiteSlot {
    fn drop(&mut self) {
        *RUNNING_SITES.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        SLOT_FREED.notify_one();
    }
}
