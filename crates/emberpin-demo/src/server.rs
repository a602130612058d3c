//! A stand-in server: it sends heartbeats, serves requests, and drains, shuts down or crashes on command.

mod heartbeat;
mod requests;

use crate::record::Recorder;
use heartbeat::ServerState;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

pub use heartbeat::HEARTBEAT_INTERVAL;
pub use requests::seal_header_value;

/// The number of requests that a server runs concurrently.
const SLOTS: usize = 4;
/// The warm-up time of a server that starts during traffic.
const WARM_UP: Duration = Duration::from_secs(1);
/// A server that shuts down serves for this long after `drain_bound` has passed, so that requests in flight can finish.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(200);

/// The servers of one service in one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerGroup {
    /// The service that the servers belong to, by its name in the configuration.
    pub service: &'static str,
    /// The failure domain of the servers.
    pub zone: &'static str,
}

/// Whether a server serves at full speed from the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The server runs at full speed.
    Warm,
    /// The server starts during traffic and is slow until its warm-up has ended.
    WarmingUp,
}

/// One incarnation of a server. Dropping it simulates a crash: nothing is announced, and its connections are closed.
pub struct Server {
    instance: Arc<Instance>,
    task: AbortHandle,
}

/// The state that the heartbeats and the requests of one incarnation share.
struct Instance {
    id: String,
    group: ServerGroup,
    address: SocketAddr,
    registries: Vec<SocketAddr>,
    /// The registry that the last acknowledgement named for the next heartbeat.
    assigned_registry: Mutex<Option<SocketAddr>>,
    warm_at: Instant,
    slots: Semaphore,
    pending_requests: AtomicUsize,
    is_draining: AtomicBool,
    /// Whether the server has announced its leave, after which it sends no heartbeats.
    is_leaving: AtomicBool,
    heartbeat_seq: AtomicU64,
    random: Mutex<oorandom::Rand32>,
    recorder: Recorder,
}

impl Server {
    /// Starts an incarnation on a port that the system assigns.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no port can be bound.
    pub async fn start(
        group: ServerGroup,
        id: String,
        start_state: StartState,
        registries: &[SocketAddr],
        seed: u64,
        recorder: &Recorder,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let warm_up = match start_state {
            StartState::Warm => Duration::ZERO,
            StartState::WarmingUp => WARM_UP,
        };
        let instance = Arc::new(Instance {
            id,
            group,
            address: listener.local_addr()?,
            registries: registries.to_vec(),
            assigned_registry: Mutex::default(),
            warm_at: Instant::now() + warm_up,
            slots: Semaphore::new(SLOTS),
            pending_requests: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            heartbeat_seq: AtomicU64::new(0),
            random: Mutex::new(oorandom::Rand32::new(seed)),
            recorder: recorder.clone(),
        });
        let running = instance.clone();
        let task = tokio::spawn(async move {
            tokio::join!(running.clone().serve(listener), running.send_heartbeats())
        });
        Ok(Server {
            instance,
            task: task.abort_handle(),
        })
    }

    /// The group that the server belongs to.
    pub fn group(&self) -> ServerGroup {
        self.instance.group
    }

    /// Shuts down gracefully: announces the drain, continues to serve for `drain_bound` and a margin, announces the
    /// leave, and ends. `drain_bound` is the time after which no new request may reach a draining server. Returns
    /// whether both announcements were acknowledged.
    pub async fn shut_down(self, drain_bound: Duration) -> bool {
        let drain_acknowledged = self.announce_drain().await;
        tokio::time::sleep(drain_bound + SHUTDOWN_MARGIN).await;
        let leave_acknowledged = self.announce_leave().await;
        drain_acknowledged && leave_acknowledged
    }

    /// Announces the drain, and goes on serving. Returns whether it was acknowledged.
    pub async fn announce_drain(&self) -> bool {
        self.instance.is_draining.store(true, Ordering::Relaxed);
        self.instance.send_heartbeat().await
    }

    /// Announces the leave, stops the heartbeats, and goes on serving until it is dropped. Returns whether the leave
    /// was acknowledged.
    pub async fn announce_leave(&self) -> bool {
        self.instance.is_leaving.store(true, Ordering::Relaxed);
        self.instance.send_leave().await
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Instance {
    fn state(&self) -> ServerState {
        if self.is_draining.load(Ordering::Relaxed) {
            ServerState::Draining
        } else {
            ServerState::Up
        }
    }

    /// The remaining warm-up time.
    fn warm_up_left(&self) -> Duration {
        self.warm_at.saturating_duration_since(Instant::now())
    }
}
