//! An example of an application: candidates elect a leader among them by a lock of the gateway.
//!
//! Each candidate counts itself leader from the moment at which its call was granted, and until its hold has passed
//! since it *sent* its last good call, on its own steady clock. Now and then a leader falls silent without releasing
//! the lock, as one that was killed; then another one is elected once that hold is over.

use crate::http;
use crate::record::{LeaderTerm, Recorder};
use hyper::{Method, StatusCode};
use oorandom::Rand64;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// The candidates, each with a task of its own.
pub const CANDIDATES: [&str; 2] = ["candidate-1", "candidate-2"];
/// How long a leader counts itself one after the send of its last good call. Long enough for a store to take the lead
/// of the registers meanwhile.
pub const HOLD: Duration = Duration::from_millis(1_500);
/// The time from one renewal to the next.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// A registry that does not respond in this time is passed over.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How many renewals a leader sends before it falls silent.
const RENEWALS_PER_TERM: usize = 2;
/// How long a leader that fell silent sends nothing.
const SILENCE: Duration = Duration::from_secs(3);
/// The longest pause between two attempts to be elected; each is drawn.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The lock by which they elect.
const LOCK: &str = "demo-leader";

/// One of those who want to lead.
pub struct Candidate {
    name: &'static str,
    registries: Vec<SocketAddr>,
    /// The registry that is called next, by its index.
    next_registry: usize,
    random: Rand64,
    recorder: Recorder,
}

/// A call that was granted.
struct Granted {
    /// When the call was sent, on the recorder's steady clock.
    sent_at: Duration,
    body: String,
}

impl Candidate {
    /// The candidate of this index in [`CANDIDATES`], which begins with the registry of the same index.
    pub fn new(
        index: usize,
        registries: Vec<SocketAddr>,
        seed: u64,
        recorder: Recorder,
    ) -> Candidate {
        Candidate {
            name: CANDIDATES[index],
            registries,
            next_registry: index,
            random: Rand64::new(u128::from(seed) + index as u128),
            recorder,
        }
    }

    /// Seeks to be elected again and again, until the end of the run.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            match self.seek_election().await {
                Some(fence) => {
                    self.lead(fence, end).await;
                    sleep_until((Instant::now() + SILENCE).min(end).into()).await;
                }
                None => self.pause().await,
            }
        }
    }

    /// Asks for the lock once; the fence if it was granted, and if that came before the hold was over.
    async fn seek_election(&mut self) -> Option<u64> {
        let body = jzon::object! { owner: self.name, hold: hold_text() };
        let granted = self.call("begin", body.dump()).await?;
        let fence = jzon::parse(&granted.body).ok()?["fence"].as_u64()?;
        let (from, until) = (self.recorder.now(), granted.sent_at + HOLD);
        if from >= until {
            return None;
        }
        self.recorder.lock().leader_terms.push(LeaderTerm {
            candidate: self.name,
            fence,
            from,
            until,
        });
        Some(fence)
    }

    /// Renews the lock a few times, unless it is lost.
    async fn lead(&mut self, fence: u64, end: Instant) {
        for _ in 0..RENEWALS_PER_TERM {
            let renew_at = Instant::now() + RENEWAL_INTERVAL;
            sleep_until(renew_at.min(end).into()).await;
            if Instant::now() >= end || !self.renew(fence).await {
                return;
            }
        }
    }

    /// Renews the lock; whether that was acknowledged while the candidate still counted itself leader.
    async fn renew(&mut self, fence: u64) -> bool {
        let body = jzon::object! { owner: self.name, fence: fence, hold: hold_text() };
        while self.recorder.now() < self.leads_until() {
            let Some(granted) = self.call("heartbeat", body.dump()).await else {
                self.pause().await;
                continue;
            };
            let is_in_time = self.recorder.now() < self.leads_until();
            if is_in_time {
                let mut record = self.recorder.lock();
                let mut terms = record.leader_terms.iter_mut().rev();
                if let Some(term) = terms.find(|term| term.candidate == self.name) {
                    term.until = granted.sent_at + HOLD;
                }
            }
            return is_in_time;
        }
        false
    }

    /// When the candidate's last term ends by its own count.
    fn leads_until(&self) -> Duration {
        let record = self.recorder.lock();
        let mut own_terms = record.leader_terms.iter().rev();
        own_terms
            .find(|term| term.candidate == self.name)
            .map_or(Duration::ZERO, |term| term.until)
    }

    /// Calls one registry; `None` without a 200. The next call goes to another registry, unless this one gave a clear
    /// answer.
    async fn call(&mut self, step: &str, body: String) -> Option<Granted> {
        let registry = self.registries[self.next_registry % self.registries.len()];
        let path = format!("/locks/{LOCK}/{step}");
        let sent_at = self.recorder.now();
        let response = http::call(registry, Method::POST, &path, body, CALL_TIMEOUT).await;
        let status = response.as_ref().map(|response| response.status);
        if !matches!(status, Some(200 | 409)) {
            self.next_registry += 1;
        }
        let response = response.filter(|response| response.status == StatusCode::OK)?;
        let body = response.text()?.to_owned();
        Some(Granted { sent_at, body })
    }

    async fn pause(&mut self) {
        sleep(MAX_RETRY_DELAY.mul_f64(self.random.rand_float())).await;
    }
}

fn hold_text() -> String {
    format!("{}ms", HOLD.as_millis())
}

/// What came of the elections, in one line of the report.
pub fn summary(terms: &[LeaderTerm]) -> String {
    let terms = in_order(terms);
    let Some(first) = terms.first() else {
        return "election: nobody was elected".into();
    };
    let gaps = terms
        .windows(2)
        .map(|pair| pair[1].from.saturating_sub(pair[0].until));
    let longest = gaps.clone().max().unwrap_or_default();
    let leaderless: Duration = gaps.sum();
    let last_until = terms.iter().map(|term| term.until).max();
    let watched = last_until.unwrap_or_default().saturating_sub(first.from);
    format!(
        "election: {} terms of {} candidates in {:.1} s; after leaders that fell silent nobody led for {:.2} s, {:.2} s at most at a time",
        terms.len(),
        CANDIDATES.len(),
        watched.as_secs_f64(),
        leaderless.as_secs_f64(),
        longest.as_secs_f64(),
    )
}

/// The terms in the order in which they began.
pub fn in_order(terms: &[LeaderTerm]) -> Vec<LeaderTerm> {
    let mut terms = terms.to_vec();
    terms.sort_by_key(|term| term.from);
    terms
}
