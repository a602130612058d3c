//! Turns: how many sites the tests of one file play at the same time.
//!
//! Each site is several processes in real time. With all tests of a file at once they starve each other: a load that is
//! not offered passes no ceiling, and a cold server that gets no turn says nothing of itself.

use std::sync::{Condvar, Mutex, PoisonError};

/// Sites that are played at the same time.
const SITES_AT_ONCE: usize = 4;

static PLAYING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to play one of [`SITES_AT_ONCE`], given back when it is dropped.
pub struct Turn;

impl Turn {
    /// Waits until one is free.
    pub fn take() -> Turn {
        let playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |playing: &mut usize| *playing >= SITES_AT_ONCE;
        *ENDED
            .wait_while(playing, full)
            .unwrap_or_else(PoisonError::into_inner) += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *PLAYING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
