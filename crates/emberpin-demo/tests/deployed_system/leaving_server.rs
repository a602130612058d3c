//! A server that announces a drain or its leave on command, and goes on serving until it is dropped.

use super::traffic::{new_runtime, GROUP};
use emberpin_demo::record::Recorder;
use emberpin_demo::server::{Server, StartState};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// What a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// A heartbeat with the state `drain`; heartbeats go on.
    Drain,
    /// A leave without a drain before; no heartbeats follow.
    Leave,
}

/// A server on a thread of its own.
pub struct LeavingServer {
    pub announcement: Announcement,
    started_at: Instant,
    recorder: Recorder,
    announce: Option<oneshot::Sender<()>>,
    /// When the announcement was acknowledged; `None` if it was not.
    outcome: mpsc::Receiver<Option<Instant>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl LeavingServer {
    pub fn start(
        id: String,
        announcement: Announcement,
        registries: &[SocketAddr],
    ) -> LeavingServer {
        let (announce, announced) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let (sender, outcome) = mpsc::channel();
        let started_at = Instant::now();
        let recorder = Recorder::default();
        let (registries, own_recorder) = (registries.to_vec(), recorder.clone());
        let run = async move {
            let state = StartState::Warm;
            let server = Server::start(GROUP, id, state, &registries, 1, &own_recorder)
                .await
                .expect("a server");
            if announced.await.is_err() {
                return;
            }
            let is_acknowledged = match announcement {
                Announcement::Drain => server.announce_drain().await,
                Announcement::Leave => server.announce_leave().await,
            };
            _ = sender.send(is_acknowledged.then(Instant::now));
            _ = stopped.await;
        };
        LeavingServer {
            announcement,
            started_at,
            recorder,
            announce: Some(announce),
            outcome,
            stop: Some(stop),
            thread: Some(std::thread::spawn(|| new_runtime().block_on(run))),
        }
    }

    /// The number of requests that arrived after a point in time.
    pub fn arrivals_after(&self, after: Instant) -> usize {
        let record = self.recorder.lock();
        let arrivals = record.arrivals.iter();
        arrivals
            .filter(|arrival| self.started_at + arrival.at > after)
            .count()
    }

    /// Begins the announcement.
    pub fn announce(&mut self) {
        if let Some(announce) = self.announce.take() {
            _ = announce.send(());
        }
    }

    /// Waits for the end of the announcement. Returns when it was acknowledged; `None` if it was not, or has not ended
    /// within this time.
    pub fn wait_for_outcome(&self, time_limit: Duration) -> Option<Instant> {
        self.outcome.recv_timeout(time_limit).ok().flatten()
    }
}

impl Drop for LeavingServer {
    fn drop(&mut self) {
        self.announce = None;
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
