//! Limits how many sites the tests of one file run at the same time.
//!
//! Each site is several processes in real time. If all tests of a file ran at once, they would starve each other of
//! processor time: load that is meant to exceed a limit would not be sent in time, and servers that are warming up
//! would send no load reports.

use std::sync::{Condvar, Mutex, PoisonError};

/// Maximum number of sites that run at the same time.
const MAX_CONCURRENT_SITES: usize = 4;

static RUNNING_SITES: Mutex<usize> = Mutex::new(0);
static SLOT_FREED: Condvar = Condvar::new();

/// The right to run one of [`MAX_CONCURRENT_SITES`] sites, released when dropped.
pub struct SiteSlot;

impl SiteSlot {
    /// Waits until a slot is free.
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
