//! Read leases: what was told by a partner is known to have been complete at some time, and counts for a bounded time
//! after that.
//!
//! A lease is renewed by answers alone. The answer to a question says how old the state behind it is (its age in
//! milliseconds, no clock reading, so no clocks are compared); the lease then runs from the local time of the
//! *question*, less that age. Whatever delays the answer, a queue, a link that delivers late, or a process that stood
//! still, makes it older, not younger.

use crate::timing::{FIRST_CONFIRMATION, PROXY_LEASE};
use std::collections::VecDeque;

/// Questions that wait for an answer; older ones are forgotten, and an answer to them renews nothing.
const QUESTIONS: usize = 16;

/// One partner's lease. Times are in milliseconds on the local monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    next: u64,
    /// Questions under way, and when each was asked.
    asked: VecDeque<(u64, u64)>,
    /// All that had been confirmed by then has been told. Below zero, where that was before this process began.
    confirmed_from: Option<i64>,
}

impl Lease {
    /// Begins a question, and gives its nonce.
    pub fn ask(&mut self, now: u64) -> u64 {
        self.next += 1;
        if self.asked.len() == QUESTIONS {
            self.asked.pop_front();
        }
        self.asked.push_back((self.next, now));
        self.next
    }

    /// Takes the answer to a question; `age` is `None` where the partner can confirm nothing.
    pub fn answer(&mut self, question: u64, age: Option<u64>) {
        let Some(at) = self.asked.iter().position(|(asked, _)| *asked == question) else {
            return;
        };
        let (_, asked) = self.asked[at];
        self.asked.drain(..=at);
        self.confirm(age.map(|age| signed(asked).saturating_sub(signed(age))));
    }

    /// Counts the answer from its arrival: what a build without the guard does.
    #[doc(hidden)]
    pub fn answer_on_arrival(&mut self, now: u64, age: Option<u64>) {
        self.confirm(age.map(|_| signed(now)));
    }

    fn confirm(&mut self, from: Option<i64>) {
        self.confirmed_from = self.confirmed_from.max(from);
    }

    /// How old what was told may be; `None` before the first confirmation.
    pub fn age(&self, now: u64) -> Option<u64> {
        self.confirmed_from
            .map(|from| u64::try_from(signed(now).saturating_sub(from)).unwrap_or(0))
    }

    /// When it was confirmed last, or this process began.
    pub fn confirmed_from(&self) -> Option<u64> {
        self.confirmed_from
            .map(|from| u64::try_from(from).unwrap_or(0))
    }

    /// Whether it is no older than this.
    pub fn holds(&self, now: u64, limit: u64) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}

/// Times of a process fit by far.
fn signed(time: u64) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

/// A proxy's lease on what one registry tells it, for the time of one session.
#[derive(Clone, Debug)]
pub struct SessionLease {
    lease: Lease,
    /// When the session began, or something of its snapshot came last.
    progress: u64,
}

impl SessionLease {
    /// A session that begins now.
    pub fn new(now: u64) -> SessionLease {
        SessionLease {
            lease: Lease::default(),
            progress: now,
        }
    }

    /// Begins a question, and gives its nonce.
    pub fn ask(&mut self, now: u64) -> u64 {
        self.lease.ask(now)
    }

    /// Takes the answer to a question.
    pub fn answer(&mut self, question: u64, age: Option<u64>) {
        self.lease.answer(question, age);
    }

    /// A part of the snapshot has come.
    pub fn progressed(&mut self, now: u64) {
        self.progress = now;
    }

    /// What this registry has told is young enough to go by.
    pub fn is_confirmed(&self, now: u64) -> bool {
        self.lease.holds(now, PROXY_LEASE)
    }

    /// Another registry is wanted: the lease has run out, or none came in time.
    pub fn is_over(&self, now: u64) -> bool {
        !self.is_confirmed(now) && now.saturating_sub(self.progress) > FIRST_CONFIRMATION
    }
}
