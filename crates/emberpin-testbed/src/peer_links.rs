//! The stream links between limiters. Each limiter connects to each other one through a relay for just this pair, so
//! that a network split also holds back the bytes in transit, as a cut cable does.

use crate::peers::NetworkSplit;
use crate::servers::World;
use emberpin_startup::topology::neighbours;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Up to this many limiters have links between all pairs, which idempotency keys need. Larger groups only have links
/// between neighbours in the exchange of endpoint lists.
pub const MAX_FULL_MESH: usize = 40;

/// All links between the limiters of a site.
pub struct PeerLinks {
    /// The address at which each limiter listens.
    listen: Vec<SocketAddr>,
    /// For each limiter, the relay addresses of the limiters that it has links to.
    relays: Vec<BTreeMap<usize, SocketAddr>>,
    split: watch::Sender<Option<NetworkSplit>>,
}

impl PeerLinks {
    /// Starts the relays of all links; none is cut.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn start(world: &World, limiters: usize) -> std::io::Result<PeerLinks> {
        let listen: Vec<SocketAddr> = (0..limiters)
            .map(|_| world.address())
            .collect::<Result<_, _>>()?;
        let (split, _) = watch::channel(None);
        let mut relays = Vec::new();
        let all: BTreeSet<u32> = (0..limiters as u32).collect();
        for from in 0..limiters {
            let neighbour_ids = neighbours(from as u32, &all);
            let mut addresses = BTreeMap::new();
            for (to, address) in listen.iter().enumerate() {
                if from == to || (limiters > MAX_FULL_MESH && !neighbour_ids.contains(&(to as u32)))
                {
                    continue;
                }
                let listener = TcpListener::bind((address.ip(), 0)).await?;
                addresses.insert(to, listener.local_addr()?);
                spawn_local(relay(listener, *address, (from, to), split.subscribe()));
            }
            relays.push(addresses);
        }
        Ok(PeerLinks {
            listen,
            relays,
            split,
        })
    }

    /// Splits the links, or heals the split.
    pub fn set_split(&self, split: Option<NetworkSplit>) {
        self.split.send_replace(split);
    }

    /// Writes the operator file of one limiter and the key that all limiters share; returns the file's path.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn write_operator_file(
        &self,
        folder: &Path,
        limiter: usize,
        secret: u64,
    ) -> std::io::Result<PathBuf> {
        let keys = folder.join("keys");
        std::fs::create_dir_all(&keys)?;
        let mut options = std::fs::OpenOptions::new();
        let mut file = options
            .create(true)
            .truncate(true)
            .write(true)
            .mode(0o600)
            .open(keys.join("fingerprint.key"))?;
        file.write_all(format!("{secret:016x}").repeat(4).as_bytes())?;
        let mut table = format!(
            "[link]\ncluster = \"site\"\nplain = true\nkeys = \"{}\"\n",
            keys.display()
        );
        if self.listen.len() > MAX_FULL_MESH {
            table += "beat_ms = 1000\nsuspect_ms = 2500\ndead_ms = 4000\n";
        }
        for (number, own) in self.listen.iter().enumerate() {
            let address = self.relays[limiter].get(&number).unwrap_or(own);
            table += &format!(
                "[[link.member]]\nnumber = {number}\nname = \"n{number}\"\naddress = \"{address}\"\n"
            );
        }
        let path = folder.join(format!("link-{limiter}.toml"));
        std::fs::write(&path, table)?;
        Ok(path)
    }
}

async fn relay(
    listener: TcpListener,
    to: SocketAddr,
    pair: (usize, usize),
    split: watch::Receiver<Option<NetworkSplit>>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let split = split.clone();
        spawn_local(async move {
            let Ok(far) = TcpStream::connect(to).await else {
                return;
            };
            _ = (near.set_nodelay(true), far.set_nodelay(true));
            let ((near_reader, near_writer), (far_reader, far_writer)) =
                (near.into_split(), far.into_split());
            // If one direction ends, both do: a process that has exited neither reads nor writes.
            tokio::select! {
                () = forward(near_reader, far_writer, pair, split.clone()) => {}
                () = forward(far_reader, near_writer, (pair.1, pair.0), split) => {}
            }
        });
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (sender, receiver): (usize, usize),
    mut split: watch::Receiver<Option<NetworkSplit>>,
) {
    let is_blocked = |split: &Option<NetworkSplit>| {
        split
            .as_ref()
            .is_some_and(|split| split.blocks(sender, receiver))
    };
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(n @ 1..) = from.read(&mut bytes).await {
        if split.wait_for(|split| !is_blocked(split)).await.is_err()
            || to.write_all(&bytes[..n]).await.is_err()
        {
            return;
        }
    }
    // A split also holds back the end of the stream: the receiver's side is closed only once the split is healed.
    _ = split.wait_for(|split| !is_blocked(split)).await;
}
