//! The store's program on a disk, and what it says on a connection.

use crate::ME;
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::preamble::Preamble;
use emberpin_store::protocol::{StoreReply, StoreRequest, ToStore};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// All that is waited for comes well before.
const LONG: Duration = Duration::from_secs(30);

/// A store that runs until it is dropped.
pub struct Program {
    store: Child,
    port: u16,
}

impl Program {
    /// Starts it on a disk, as the one voter of its roster.
    pub fn start(disk: &Path) -> Program {
        let port = free_port();
        let settings = disk.join("boot.toml");
        std::fs::write(&settings, settings_text(disk, port)).expect("a settings file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_emberpin-store"));
        let store = program
            .env("EMBERPIN_NODE_FILE", &settings)
            .spawn()
            .expect("a store");
        Program { store, port }
    }

    /// A connection, as soon as one is taken, and what the store says first.
    async fn connect(&self) -> (TcpStream, Preamble) {
        let until = Instant::now() + LONG;
        loop {
            if let Ok(mut stream) = TcpStream::connect((ME, self.port)).await {
                let (mut from, mut to) = stream.split();
                let process = ProcessIdentity::new(1);
                let preamble = timeout(LONG, process.handshake(&mut from, &mut to)).await;
                return (
                    stream,
                    preamble.expect("a greeting in time").expect("a preamble"),
                );
            }
            assert!(Instant::now() < until, "no connection is taken");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The system that the store says it belongs to.
    pub async fn system(&self) -> u64 {
        self.connect().await.1.system.map_or(0, u64::from)
    }

    /// The configuration, as soon as the store can tell it.
    pub async fn configuration(&self) -> String {
        let (mut stream, _) = self.connect().await;
        let until = Instant::now() + LONG;
        loop {
            let get = ToStore::Request(StoreRequest::Get { id: 1 });
            frames::write(&mut stream, &get)
                .await
                .expect("a store that hears");
            let reply = timeout(LONG, frames::read(&mut stream))
                .await
                .expect("a reply in time");
            match reply.expect("a store that replies") {
                StoreReply::Response {
                    status: 200, body, ..
                } => return body,
                refused => assert!(Instant::now() < until, "{refused:?}"),
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.store.kill();
        _ = self.store.wait();
    }
}

/// One below those that the system gives to whoever connects.
fn free_port() -> u16 {
    let first = std::process::id() * 41 % 20_000;
    let ports = (0..20_000).map(|nth| 10_000 + ((first + nth) % 20_000) as u16);
    let is_free = |port: &u16| TcpListener::bind((ME, *port)).is_ok();
    ports.into_iter().find(is_free).expect("a port")
}

fn settings_text(disk: &Path, port: u16) -> String {
    format!(
        "[self]\nnodename = \"core\"\nip = \"{ME}\"\naz = \"z1\"\nrgn = \"r\"\nbootstrap = false\n\
         datadir = \"{disk}\"\n[self.limits]\nmem_mb = 256\nnofile = 1024\n\
         [network]\nport_range = [{port},{last}]\nseeds = [\"{ME}:1\"]\n[network.listen]\n\
         [network.zones]\nz1 = \"r\"\nz2 = \"r\"\n[infra]\nhb = \"1s\"\n[defs.tolerance]\nnodes = 1\n\
         [defs.bounds]\ndrain = \"2s\"\ngrace = \"6s\"\napply = \"2s\"\nevac = \"2s\"\nack = \"5s\"\n\
         contact = \"3s\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\nwarm_excess = 1.5\n\
         warm_extra = 5\n",
        disk = disk.display(),
        last = port + 1,
    )
}
