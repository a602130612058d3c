//! The proxy as a process.

use super::client::{Client, Response};
use super::configuration::{default_items, instance};
use super::registry::RegistrySession;
use super::server::Server;
use super::wait::poll_until;
use emberpin_config::Item;
use emberpin_membership::instance::Instance;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use tokio::net::TcpListener;

/// Ports on the proxy's own loopback address, below the system's ephemeral ports. Ephemeral ports that a test reserved
/// and released for the proxy were at times in use again when it began to listen.
const HTTP_PORT: u16 = 21_001;
const READINESS_PORT: u16 = 21_002;
const METRICS_PORT: u16 = 21_003;
/// The deadline header of a request that is to wait for its response, in milliseconds.
const DEADLINE_MS: &str = "8000";

/// The settings under `defs.bounds` that tests change.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub grace: &'static str,
    pub retry_ratio: f64,
    pub retry_extra: u32,
    pub warm_excess: f64,
    pub warm_extra: u32,
}

/// Bounds whose retry budget allows every retry from the first request on.
pub const DEFAULT_BOUNDS: Bounds = Bounds {
    grace: "8s",
    retry_ratio: 1_000.0,
    retry_extra: 0,
    warm_excess: 1.5,
    warm_extra: 5,
};

/// The proxy's process and the listener of its registry. Dropping it kills the process.
pub struct Proxy {
    child: Child,
    pub ip: Ipv4Addr,
    pub http: SocketAddr,
    readyz: SocketAddr,
    /// Where the proxy connects to its registry.
    pub registry: TcpListener,
    _settings: tempfile::NamedTempFile,
}

/// A loopback address that no other test uses, with a listener on it.
async fn unused_address() -> (Ipv4Addr, TcpListener) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id()
            .wrapping_mul(97)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        // Consecutive numbers give different addresses, none of which ends with 0 or 255.
        let (high, last) = (number / 254, 1 + (number % 254) as u8);
        let ip = Ipv4Addr::new(127, 80 + (high / 256 % 100) as u8, (high % 256) as u8, last);
        if let Ok(listener) = TcpListener::bind((ip, 0)).await {
            let port = listener.local_addr().expect("bound").port();
            if (2_000..60_000).contains(&port) {
                return (ip, listener);
            }
        }
    }
}

fn settings_text(ip: Ipv4Addr, registry_port: u16, bounds: Bounds) -> String {
    let Bounds {
        grace,
        retry_ratio,
        retry_extra,
        warm_excess,
        warm_extra,
    } = bounds;
    format!(
        r#"
[self]
nodename = "edge-1"
ip = "{ip}"
az = "north"
rgn = "land"
voting = false
bootstrap = false
limits = {{ nofile = 1024, mem_mb = 256 }}
[network]
port_range = [{}, {}]
seeds = ["{ip}:1"]
listen = {{ http = "{ip}:{HTTP_PORT}", readyz = "{ip}:{READINESS_PORT}" }}
zones = {{ north = "land", south = "land" }}
[infra]
hb = "1300ms"
[defs.tolerance]
nodes = 1
[defs.bounds]
contact = "3000ms"
ack = "5000ms"
drain = "2500ms"
grace = "{grace}"
apply = "2500ms"
evac = "5000ms"
retry_ratio = {retry_ratio:.2}
retry_win = "10s"
retry_extra = {retry_extra}
warm_excess = {warm_excess:.2}
warm_extra = {warm_extra}
"#,
        registry_port - 1,
        registry_port + 14
    )
}

impl Proxy {
    /// Starts the process, without a registry session.
    pub async fn start(bounds: Bounds) -> Proxy {
        let (ip, registry) = unused_address().await;
        let registry_port = registry.local_addr().expect("bound").port();
        let mut settings = tempfile::NamedTempFile::new().expect("a file");
        settings
            .write_all(settings_text(ip, registry_port, bounds).as_bytes())
            .expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_emberpin-proxy"))
            .arg("--metrics")
            .arg(format!("{METRICS_PORT}/metrics"))
            .env("EMBERPIN_NODE_FILE", settings.path())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        Proxy {
            child,
            ip,
            http: SocketAddr::from((ip, HTTP_PORT)),
            readyz: SocketAddr::from((ip, READINESS_PORT)),
            registry,
            _settings: settings,
        }
    }

    /// The next session that the proxy establishes.
    pub async fn accept_session(&self) -> RegistrySession {
        RegistrySession::accept(self.ip, &self.registry).await
    }

    /// Starts the process with a confirmed session and this snapshot; returns once it is ready.
    pub async fn start_ready(
        bounds: Bounds,
        items: Vec<Item>,
        instances: Vec<Instance>,
    ) -> (Proxy, RegistrySession) {
        let proxy = Proxy::start(bounds).await;
        let mut session = proxy.accept_session().await;
        session.keep_confirming(1);
        session.send_snapshot(items, instances).await;
        proxy.wait_readiness(200).await;
        (proxy, session)
    }

    /// Waits until the readiness endpoint responds with this status.
    pub async fn wait_readiness(&self, status: u16) {
        let poll = || async { (self.readiness().await == Some(status)).then_some(()) };
        poll_until("readiness", poll).await;
    }

    /// The status of the readiness endpoint; `None` if it does not respond.
    pub async fn readiness(&self) -> Option<u16> {
        let mut client = Client::try_connect(self.readyz).await?;
        client
            .send("GET", "/readyz", &[("connection", "close")], b"")
            .await;
        client.status().await
    }

    /// The response of the metrics endpoint to a request of this path.
    pub async fn metrics(&self, path: &str) -> Response {
        let address = SocketAddr::from((self.ip, METRICS_PORT));
        let mut client = poll_until("a connection", || Client::try_connect(address)).await;
        client.send("GET", path, &[], b"").await;
        client.response().await.expect("a response")
    }

    pub async fn connect(&self) -> Client {
        poll_until("a connection", || Client::try_connect(self.http)).await
    }

    /// Sends one request on a connection of its own, and returns the response.
    pub async fn request(&self, method: &str, path: &str, id: &str) -> Response {
        let mut client = self.connect().await;
        let headers = [("try-id", id), ("deadline", DEADLINE_MS)];
        client.send(method, path, &headers, b"").await;
        client.response().await.expect("a response")
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Waits until the process exits, and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let child = Mutex::new(&mut self.child);
        poll_until("the exit of the process", || async {
            child.lock().expect("one test").try_wait().expect("waits")
        })
        .await
        .code()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// A ready proxy with one server of the service `s`, the instance `i-1`.
pub async fn start_with_one_server() -> (Proxy, RegistrySession, Server) {
    let server = Server::start().await;
    let instances = vec![instance("i-1", server.address)];
    let (proxy, session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    (proxy, session, server)
}
