//! An example application: candidates elect a leader with a lock of the gateway.
//!
//! Each candidate considers itself the leader from the moment at which its call was granted until the lease duration
//! has passed since it *sent* its last successful call, on its own steady clock. After a few renewals a leader sends
//! nothing for a while without releasing the lock, as if it had been killed; another candidate is elected once the
//! lease has expired.

use crate::http;
use crate::record::{LeaderTerm, Recorder};
use hyper::{Method, StatusCode};
use oorandom::Rand64;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// The names of the candidates. Each runs as a separate task.
pub const CANDIDATES: [&str; 2] = ["candidate-1", "candidate-2"];
/// How long a candidate considers itself the leader after it sent its last successful call. Long enough that, if the
/// store that leads locks, numbers and cells fails, another one takes over before the lease expires.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);
/// The interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// The next registry is called if one does not respond within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of renewals that a leader sends before it simulates a crash.
const RENEWALS_PER_TERM: usize = 2;
/// How long a leader sends nothing when it simulates a crash.
const SIMULATED_CRASH_DURATION: Duration = Duration::from_secs(3);
/// The maximum delay between two calls; each delay is drawn uniformly.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The name of the lock whose holder is the leader.
const LOCK: &str = "demo-leader";

/// A candidate of the election.
pub struct Candidate {
    name: &'static str,
    registries: Vec<SocketAddr>,
    /// The index of the registry that is called next, modulo their number.
    next_registry: usize,
    random: Rand64,
    recorder: Recorder,
}

/// A call that was granted.
struct GrantedCall {
    /// When the call was sent, on the recorder's steady clock.
    sent_at: Duration,
    body: String,
}

impl Candidate {
    /// Creates the candidate of this index in [`CANDIDATES`]. It calls the registry of the same index first.
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

    /// Repeatedly tries to be elected, and leads when elected, until the end of the run.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            match self.try_to_be_elected().await {
                Some(fencing_token) => {
                    self.lead(fencing_token, end).await;
                    sleep_until((Instant::now() + SIMULATED_CRASH_DURATION).min(end).into()).await;
                }
                None => self.wait_before_retry().await,
            }
        }
    }

    /// Requests the lock once. Returns the fencing token if the lock was granted and the response arrived before the
    /// lease expired.
    async fn try_to_be_elected(&mut self) -> Option<u64> {
        let body = jzon::object! { owner: self.name, hold: lease_text() };
        let granted = self.call("begin", body.dump()).await?;
        let fencing_token = jzon::parse(&granted.body).ok()?["fence"].as_u64()?;
        let (from, until) = (self.recorder.now(), granted.sent_at + LEASE_DURATION);
        if from >= until {
            return None;
        }
        self.recorder.lock().leader_terms.push(LeaderTerm {
            candidate: self.name,
            fencing_token,
            from,
            until,
        });
        Some(fencing_token)
    }

    /// Renews the lock a few times, or until it is lost or the run ends.
    async fn lead(&mut self, fencing_token: u64, end: Instant) {
        for _ in 0..RENEWALS_PER_TERM {
            let renew_at = Instant::now() + RENEWAL_INTERVAL;
            sleep_until(renew_at.min(end).into()).await;
            if Instant::now() >= end || !self.renew(fencing_token).await {
                return;
            }
        }
    }

    /// Renews the lock; returns whether the acknowledgement arrived while the candidate still considered itself the
    /// leader.
    async fn renew(&mut self, fencing_token: u64) -> bool {
        let body = jzon::object! { owner: self.name, fence: fencing_token, hold: lease_text() };
        while self.recorder.now() < self.leads_until() {
            let Some(granted) = self.call("heartbeat", body.dump()).await else {
                self.wait_before_retry().await;
                continue;
            };
            let is_in_time = self.recorder.now() < self.leads_until();
            if is_in_time {
                let mut record = self.recorder.lock();
                let mut terms = record.leader_terms.iter_mut().rev();
                if let Some(term) = terms.find(|term| term.candidate == self.name) {
                    term.until = granted.sent_at + LEASE_DURATION;
                }
            }
            return is_in_time;
        }
        false
    }

    /// When the candidate's last term ends on its own clock.
    fn leads_until(&self) -> Duration {
        let record = self.recorder.lock();
        let mut own_terms = record.leader_terms.iter().rev();
        own_terms
            .find(|term| term.candidate == self.name)
            .map_or(Duration::ZERO, |term| term.until)
    }

    /// Calls one registry; `None` for any response but a 200. The next call goes to the next registry, unless this one
    /// granted (200) or denied (409) the call. `step` is the last segment of the path: `begin` acquires the lock,
    /// `heartbeat` renews it.
    async fn call(&mut self, step: &str, body: String) -> Option<GrantedCall> {
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
        Some(GrantedCall { sent_at, body })
    }

    async fn wait_before_retry(&mut self) {
        sleep(MAX_RETRY_DELAY.mul_f64(self.random.rand_float())).await;
    }
}

fn lease_text() -> String {
    format!("{}ms", LEASE_DURATION.as_millis())
}

/// Formats the report line about the election.
pub fn summary(terms: &[LeaderTerm]) -> String {
    let terms = sorted_by_start(terms);
    let Some(first) = terms.first() else {
        return "election: nobody was elected".into();
    };
    let gaps = terms
        .windows(2)
        .map(|pair| pair[1].from.saturating_sub(pair[0].until));
    let longest = gaps.clone().max().unwrap_or_default();
    let leaderless: Duration = gaps.sum();
    let last_until = terms.iter().map(|term| term.until).max();
    let observed_time = last_until.unwrap_or_default().saturating_sub(first.from);
    format!(
        "election: {} terms of {} candidates in {:.1} s; after leaders that fell silent nobody led for {:.2} s, {:.2} s at most at a time",
        terms.len(),
        CANDIDATES.len(),
        observed_time.as_secs_f64(),
        leaderless.as_secs_f64(),
        longest.as_secs_f64(),
    )
}

/// Returns the terms in the order in which they began.
pub fn sorted_by_start(terms: &[LeaderTerm]) -> Vec<LeaderTerm> {
    let mut terms = terms.to_vec();
    terms.sort_by_key(|term| term.from);
    terms
}
