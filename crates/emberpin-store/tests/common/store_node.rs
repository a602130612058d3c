//! A simulated machine whose store runs as a process.

use super::settings::NodeSettings;
use super::{free_port, TEST_TIMEOUT};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::preamble::Preamble;
use emberpin_runtime::protocol_version::{ProtocolVersion, VersionRange};
use emberpin_store::protocol::{DiskState, RequestId, StoreReply, StoreRequest, ToStore};
use std::fs;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// The program under test.
pub const STORE_PROGRAM: &str = env!("CARGO_BIN_EXE_emberpin-store");
/// Time between attempts to connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(20);

/// A simulated machine: a loopback address, a disk, and a store process. Dropping it kills the process.
pub struct StoreNode {
    pub ip: Ipv4Addr,
    pub port: u16,
    /// Contains the settings file and the data folder.
    pub folder: TempDir,
    pub seeds: Vec<Ipv4Addr>,
    pub process: Option<Child>,
    /// Limit of the disk usage in MiB for the settings; `None` for no limit.
    pub disk_limit_mib: Option<u64>,
}

impl StoreNode {
    /// Creates a machine that is its own only seed. The subfolder `data` of `folder` is its data folder.
    pub fn new(ip: Ipv4Addr, folder: TempDir) -> StoreNode {
        StoreNode {
            ip,
            port: free_port(&[ip], 0),
            folder,
            seeds: vec![ip],
            process: None,
            disk_limit_mib: None,
        }
    }

    /// Starts the store as a founder of the system.
    pub fn bootstrap(&mut self) {
        self.start_program(true, Command::new(STORE_PROGRAM));
    }

    /// Starts the store on its existing disk or, without one, as a store that joins the system.
    pub fn start(&mut self) {
        self.start_program(false, Command::new(STORE_PROGRAM));
    }

    /// Starts the store with a limit on file sizes, in blocks of 512 bytes, until [`StoreNode::lift_file_limit`].
    pub fn start_with_file_limit(&mut self, blocks: u64) {
        let mut limited = Command::new("sh");
        let script = format!("trap '' XFSZ; ulimit -S -f {blocks}; exec \"$0\"");
        limited.args(["-c", &script, STORE_PROGRAM]);
        self.start_program(false, limited);
    }

    pub fn lift_file_limit(&self) {
        let store = self.process.as_ref().expect("a store").id().to_string();
        let done = Command::new("prlimit")
            .args(["--pid", &store, "--fsize=unlimited"])
            .status();
        assert!(done.is_ok_and(|done| done.success()), "no limit was lifted");
    }

    /// Starts the store as a founder, with a disk whose syncs do not return while [`StoreNode::stall_file`] exists.
    pub fn bootstrap_with_stallable_disk(&mut self) {
        let mut program = Command::new(STORE_PROGRAM);
        program.env("EMBERPIN_STORE_STALL", self.stall_file());
        self.start_program(true, program);
    }

    pub fn stall_file(&self) -> PathBuf {
        self.folder.path().join("stall")
    }

    /// Starts the store as a founder, with a disk whose syncs are delayed.
    pub fn bootstrap_with_slow_syncs(&mut self, delay: Duration) {
        let mut program = Command::new(STORE_PROGRAM);
        program.env("EMBERPIN_STORE_SYNC_MS", delay.as_millis().to_string());
        self.start_program(true, program);
    }

    fn start_program(&mut self, bootstrap: bool, mut program: Command) {
        let settings = NodeSettings {
            ip: self.ip,
            port: self.port,
            data_dir: &self.data_dir(),
            seeds: &self.seeds,
            bootstrap,
            disk_limit_mib: self.disk_limit_mib,
        };
        let file = self.folder.path().join("boot.toml");
        fs::write(&file, settings.to_toml()).expect("a settings file");
        let process = program
            .env("EMBERPIN_NODE_FILE", &file)
            .spawn()
            .expect("a store");
        self.process = Some(process);
    }

    pub fn data_dir(&self) -> PathBuf {
        self.folder.path().join("data")
    }

    pub fn is_running(&mut self) -> bool {
        let process = self.process.as_mut().expect("a store");
        process.try_wait().expect("a process").is_none()
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            _ = process.kill();
            _ = process.wait();
        }
    }

    /// Sends SIGTERM, and returns the exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        let mut process = self.process.take().expect("a store");
        let sent = Command::new("kill").arg(process.id().to_string()).status();
        assert!(sent.is_ok_and(|sent| sent.success()), "no signal was sent");
        process.wait().expect("an end").code()
    }

    /// Waits for the process to exit without a signal, and returns the exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut process = self.process.take().expect("a store");
        process.wait().expect("an end").code()
    }

    pub fn kill_and_wipe_disk(&mut self) {
        self.kill();
        fs::remove_dir_all(self.data_dir()).expect("a folder to remove");
    }

    /// Connects as soon as the store accepts connections, and completes the handshake.
    pub async fn connect(&self) -> TcpStream {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut stream = self.connect_raw().await;
            // The connection can have been accepted by a process that then exited.
            if handshake(&mut stream).await.is_some() {
                return stream;
            }
            assert!(Instant::now() < deadline, "{}: no handshake", self.ip);
        }
    }

    /// Connects like a process that supports no protocol version newer than this one, and completes the handshake.
    pub async fn connect_with(&self, newest: ProtocolVersion) -> TcpStream {
        let mut stream = self.connect_raw().await;
        let versions = VersionRange::supported_up_to(newest).expect("a version of this build");
        let (mut reader, mut writer) = stream.split();
        ProcessIdentity::new(1)
            .with_versions(versions)
            .handshake(&mut reader, &mut writer)
            .await
            .expect("a handshake");
        stream
    }

    /// Connects as soon as the store accepts connections, without a handshake.
    pub async fn connect_raw(&self) -> TcpStream {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect((self.ip, self.port)).await {
                return stream;
            }
            assert!(Instant::now() < deadline, "{}: no connection", self.ip);
            sleep(CONNECT_INTERVAL).await;
        }
    }

    /// Connects, and returns the store's preamble; `None` if the store does not complete the handshake.
    pub async fn try_preamble(&self) -> Option<Preamble> {
        let mut stream = self.connect_raw().await;
        handshake(&mut stream).await
    }

    /// Sends a request, and retries it after a 503 and after a broken connection, as the operator does. Returns the
    /// status and body of the final response.
    pub async fn call(&self, request: StoreRequest) -> (u16, String) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut stream = self.connect().await;
            match self.try_call(&mut stream, request.clone()).await {
                Some((status, body)) if status != 503 => return (status, body),
                _ => assert!(Instant::now() < deadline, "{}: no response", self.ip),
            }
        }
    }

    /// Sends a request once, and returns the status and body of the response; `None` if the connection ends without a
    /// response.
    pub async fn try_call(
        &self,
        stream: &mut TcpStream,
        request: StoreRequest,
    ) -> Option<(u16, String)> {
        frames::write(stream, &ToStore::Request(request))
            .await
            .ok()?;
        match timeout(TEST_TIMEOUT, frames::read(stream)).await {
            Ok(Ok(StoreReply::Response { status, body, .. })) => Some((status, body)),
            _ => None,
        }
    }

    /// Sends a patch with retries, and returns the status.
    pub async fn patch(&self, body: &str) -> u16 {
        let request = StoreRequest::Patch {
            id: RequestId(7),
            body: body.into(),
        };
        self.call(request).await.0
    }

    /// Returns the configuration.
    pub async fn get(&self) -> String {
        self.call(StoreRequest::Get { id: RequestId(8) }).await.1
    }

    /// Subscribes, and waits until `select` returns a value for a reply.
    pub async fn subscribe_until<T>(&self, mut select: impl FnMut(StoreReply) -> Option<T>) -> T {
        let mut stream = self.connect().await;
        frames::write(&mut stream, &ToStore::Request(StoreRequest::Subscribe))
            .await
            .expect("a store that reads");
        let found = async {
            loop {
                let reply = frames::read(&mut stream).await.expect("a reply");
                if let Some(found) = select(reply) {
                    return found;
                }
            }
        };
        timeout(TEST_TIMEOUT, found)
            .await
            .expect("not notified in time")
    }

    /// Waits until the store is up to date and has these voters.
    pub async fn wait_for_voters(&self, expected: &[Ipv4Addr]) {
        self.subscribe_until(|reply| match reply {
            StoreReply::Status {
                up_to_date: true,
                voters,
                ..
            } if voters == expected => Some(()),
            _ => None,
        })
        .await;
    }

    /// Waits until the store reports this state of its disk.
    pub async fn wait_for_disk(&self, expected: DiskState) {
        self.subscribe_until(|reply| match reply {
            StoreReply::Status { disk, .. } if disk.state == expected => Some(()),
            _ => None,
        })
        .await;
    }
}

impl Drop for StoreNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Exchanges preambles; `None` if the store does not send one.
async fn handshake(stream: &mut TcpStream) -> Option<Preamble> {
    let (mut reader, mut writer) = stream.split();
    let identity = ProcessIdentity::new(1);
    let handshake = identity.handshake(&mut reader, &mut writer);
    timeout(TEST_TIMEOUT, handshake).await.ok()?.ok()
}

/// Creates machines with the addresses 127.9.`subnet`.1, .2 and so on. The first three addresses are the seeds. Tests
/// that run concurrently need different subnets.
pub fn nodes_in_subnet(subnet: u8, count: u8) -> Vec<StoreNode> {
    let address = |host| Ipv4Addr::new(127, 9, subnet, host);
    let addresses: Vec<Ipv4Addr> = (1..=4).map(address).collect();
    let port = free_port(&addresses, subnet);
    let node = |host| StoreNode {
        ip: address(host),
        port,
        folder: tempfile::tempdir().expect("a folder"),
        seeds: addresses[..3].to_vec(),
        process: None,
        disk_limit_mib: None,
    };
    (1..=count).map(node).collect()
}

/// Creates one machine, which is the only voter.
pub fn single_node(subnet: u8) -> StoreNode {
    let mut node = nodes_in_subnet(subnet, 1).remove(0);
    node.seeds.truncate(1);
    node
}
