//! The datagram network between limiters: every datagram passes through a socket of this stand-in, which can lose,
//! delay and reorder it, or split the limiters into groups that do not receive each other's datagrams.
//!
//! `sockets[b]` is the socket whose address all limiters use for limiter `b`. The sender of a datagram is identified by
//! its source address; the datagram is forwarded to `b` from the sender's socket, since `b` identifies its peers by
//! their addresses.

use crate::scenario::LinkDirection;
use crate::servers::World;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// Buffer size, one byte more than the largest datagram that a limiter may send.
const MAX_DATAGRAM: usize = 257;

/// A split of the network between a group of limiters and the rest, in one or both directions.
#[derive(Clone, Debug)]
pub struct NetworkSplit {
    /// The limiters of the group.
    pub group: Vec<usize>,
    /// The direction in which nothing passes, seen from the group.
    pub direction: LinkDirection,
}

impl NetworkSplit {
    /// Whether the split blocks messages from one limiter to another.
    pub fn blocks(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.group.contains(&from), self.group.contains(&to));
        match self.direction {
            LinkDirection::Both => from != to,
            LinkDirection::Out => from && !to,
            LinkDirection::Back => to && !from,
        }
    }
}

/// The active faults of the network.
#[derive(Default)]
struct NetworkFaults {
    /// The active split; limiters on the same side still reach each other.
    split: Option<NetworkSplit>,
    /// Share of datagrams that are lost.
    loss: f64,
    /// Maximum delay of the other datagrams. The delay is drawn for each of them, so that they overtake each other.
    delay: Duration,
}

/// The datagram network between limiters.
pub struct PeerNetwork {
    sockets: Vec<UdpSocket>,
    /// A datagram to this socket is forwarded to all other limiters.
    broadcast: UdpSocket,
    /// The addresses at which the limiters listen.
    listen: Vec<SocketAddr>,
    /// Identifies a sender by its source address.
    limiter_by_address: HashMap<SocketAddr, usize>,
    faults: RefCell<NetworkFaults>,
    rng: RefCell<ChaCha8Rng>,
}

impl PeerNetwork {
    /// Starts the network for all limiters of the run.
    ///
    /// # Errors
    ///
    /// No free port.
    pub async fn start(world: &World) -> std::io::Result<Rc<PeerNetwork>> {
        let (host, limiters, seed) = (
            world.host,
            world.scenario.site.limiters,
            world.scenario.seed,
        );
        let (mut sockets, mut listen) = (Vec::new(), Vec::new());
        for _ in 0..limiters {
            sockets.push(UdpSocket::bind((host, 0)).await?);
            listen.push(world.address()?);
        }
        let broadcast = UdpSocket::bind((host, 0)).await?;
        let rng = RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x9ee5));
        let limiter_by_address = listen
            .iter()
            .enumerate()
            .map(|(limiter, address)| (*address, limiter))
            .collect();
        let net = Rc::new(PeerNetwork {
            sockets,
            broadcast,
            listen,
            limiter_by_address,
            faults: RefCell::default(),
            rng,
        });
        for to in 0..limiters {
            let net = net.clone();
            spawn_local(async move { net.clone().relay(&net.sockets[to], Some(to)).await });
        }
        let shared = net.clone();
        spawn_local(async move { shared.clone().relay(&shared.broadcast, None).await });
        Ok(net)
    }

    /// The address at which a limiter listens, the addresses at which it reaches all limiters, and the broadcast
    /// address.
    ///
    /// # Errors
    ///
    /// A socket that has no address.
    pub fn addresses(
        &self,
        limiter: usize,
    ) -> std::io::Result<(SocketAddr, Vec<SocketAddr>, SocketAddr)> {
        let sockets: std::io::Result<Vec<_>> =
            self.sockets.iter().map(UdpSocket::local_addr).collect();
        Ok((self.listen[limiter], sockets?, self.broadcast.local_addr()?))
    }

    /// Splits the network, or heals it.
    pub fn set_split(&self, split: Option<NetworkSplit>) {
        self.faults.borrow_mut().split = split;
    }

    /// Sets the share of lost datagrams and the maximum delay of the others.
    pub fn set_loss(&self, loss: f64, delay: Duration) {
        let mut faults = self.faults.borrow_mut();
        (faults.loss, faults.delay) = (loss, delay);
    }

    /// Forwards the datagrams of one socket to a limiter, or to all others without one.
    async fn relay(self: Rc<Self>, socket: &UdpSocket, to: Option<usize>) {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            // `recv_from` also fails if an earlier datagram from this socket reached no limiter, as that one was down.
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.limiter_by_address.get(&sender).copied() else {
                continue;
            };
            let limiters = 0..self.listen.len();
            for to in limiters.filter(|other| to.map_or(*other != from, |to| *other == to)) {
                self.clone().forward(from, to, buffer[..length].to_vec());
            }
        }
    }

    fn forward(self: Rc<Self>, from: usize, to: usize, bytes: Vec<u8>) {
        let faults = self.faults.borrow();
        let blocked = faults
            .split
            .as_ref()
            .is_some_and(|split| split.blocks(from, to));
        let (lost, delay_drawn) = {
            let mut rng = self.rng.borrow_mut();
            (
                rng.random::<f64>() < faults.loss,
                faults.delay.mul_f64(rng.random::<f64>()),
            )
        };
        drop(faults);
        if blocked || lost {
            return;
        }
        if delay_drawn.is_zero() {
            _ = self.sockets[from].try_send_to(&bytes, self.listen[to]);
            return;
        }
        spawn_local(async move {
            tokio::time::sleep(delay_drawn).await;
            _ = self.sockets[from].try_send_to(&bytes, self.listen[to]);
        });
    }
}
