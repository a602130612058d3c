//! The network between limiters: every datagram goes through a socket of this stand-in, which loses, delays
//! and reorders it, or splits the limiters into groups that do not hear each other.
//!
//! `seen[b]` is the socket at whose address every limiter sees limiter `b`: what comes there is told apart by the
//! address it comes from, and goes on to `b` from the sender's socket, as `b` knows its peers by their addresses.

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

/// A longer datagram than any limiter may send.
const MAX_DATAGRAM: usize = 257;

/// A group of limiters that is apart from the rest, wholly or one way.
#[derive(Clone, Debug)]
pub struct NetworkSplit {
    /// The group.
    pub group: Vec<usize>,
    /// Which way nothing passes, as the group sees it.
    pub direction: LinkDirection,
}

impl NetworkSplit {
    /// Whether what one limiter tells another does not come.
    pub fn blocks(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.group.contains(&from), self.group.contains(&to));
        match self.direction {
            LinkDirection::Both => from != to,
            LinkDirection::Out => from && !to,
            LinkDirection::Back => to && !from,
        }
    }
}

/// What is wrong between limiters.
#[derive(Default)]
struct NetworkFaults {
    /// Those in the group hear each other, and so do those outside it.
    split: Option<NetworkSplit>,
    /// Share that is lost.
    loss: f64,
    /// The rest comes up to so much later, each by itself, so that they overtake each other.
    delay: Duration,
}

/// The network between limiters.
pub struct PeerNetwork {
    sockets: Vec<UdpSocket>,
    /// A datagram that comes here goes to all others.
    broadcast: UdpSocket,
    /// Where the limiters listen.
    listen: Vec<SocketAddr>,
    /// Who sends from there.
    limiter_by_address: HashMap<SocketAddr, usize>,
    faults: RefCell<NetworkFaults>,
    rng: RefCell<ChaCha8Rng>,
}

impl PeerNetwork {
    /// Starts the network between the world's limiters.
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
        let broadcast_relay = net.clone();
        spawn_local(async move {
            broadcast_relay
                .clone()
                .relay(&broadcast_relay.broadcast, None)
                .await
        });
        Ok(net)
    }

    /// Where a limiter listens, at which addresses it sees every limiter, and the one for all.
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

    /// Splits the limiters, or heals the split.
    pub fn set_split(&self, split: Option<NetworkSplit>) {
        self.faults.borrow_mut().split = split;
    }

    /// Loses a share and delays the rest.
    pub fn set_loss(&self, loss: f64, delay: Duration) {
        let mut faults = self.faults.borrow_mut();
        (faults.loss, faults.delay) = (loss, delay);
    }

    /// Passes on what comes to one limiter's address, or to that of all.
    async fn relay(self: Rc<Self>, socket: &UdpSocket, to: Option<usize>) {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            // An error here is that of an earlier datagram to a limiter that is down.
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
