//! Datagrams between limiters: one UDP socket, and the mapping of addresses to limiters.

use crate::messages::Input;
use crate::operate::config::Config;
use emberpin_balancer::{gossip, GatewayId};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The delay before another attempt to bind a port that another process still holds, or to receive after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The UDP port for datagrams of other limiters. It may be released to another process of this limiter and bound again.
pub struct Peers {
    local_address: SocketAddr,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Whether the port should be bound.
    wanted: watch::Sender<bool>,
    /// Whether the port is bound.
    open: watch::Sender<bool>,
    /// The address of each limiter, in the order of their [`GatewayId`]s.
    peer_addresses: Vec<SocketAddr>,
    /// The address that reaches all peers, if there is one.
    all_peers: Option<SocketAddr>,
}

impl Peers {
    /// Opens nothing yet: the port is bound once it is wanted.
    pub fn start(
        local_address: SocketAddr,
        config: &Config,
        inputs: mpsc::Sender<Input>,
    ) -> Rc<Peers> {
        let peers = Rc::new(Peers {
            local_address,
            socket: RefCell::default(),
            wanted: watch::Sender::new(false),
            open: watch::Sender::new(false),
            peer_addresses: config.peers.clone(),
            all_peers: config.peers_all,
        });
        spawn_local(peers.clone().run(inputs));
        peers
    }

    /// Sets whether the port should be bound.
    pub fn set_wanted(&self, wanted: bool) {
        self.wanted.send_replace(wanted);
    }

    /// Binds the port immediately.
    ///
    /// # Errors
    ///
    /// One line that names the address, if it cannot be bound.
    pub fn open_now(&self) -> Result<(), String> {
        let bound = std::net::UdpSocket::bind(self.local_address).and_then(|socket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        });
        let socket = bound.map_err(|e| format!("cannot listen on {}: {e}", self.local_address))?;
        self.socket.replace(Some(Rc::new(socket)));
        self.open.send_replace(true);
        self.set_wanted(true);
        Ok(())
    }

    /// Closes the port; it is free when this returns.
    pub async fn close(&self) {
        self.set_wanted(false);
        _ = self.open.subscribe().wait_for(|open| !open).await;
    }

    async fn run(self: Rc<Self>, inputs: mpsc::Sender<Input>) {
        let mut wanted = self.wanted.subscribe();
        loop {
            if wanted.wait_for(|wanted| *wanted).await.is_err() {
                return;
            }
            // Another process may still hold the port for a moment.
            let mut socket = self.socket.borrow().clone();
            if socket.is_none() {
                socket = UdpSocket::bind(self.local_address).await.ok().map(Rc::new);
            }
            let Some(socket) = socket else {
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            self.socket.replace(Some(socket.clone()));
            self.open.send_replace(true);
            tokio::select! {
                () = self.receive(&socket, &inputs) => {}
                _ = wanted.wait_for(|wanted| !*wanted) => {}
            }
            drop((socket, self.socket.take()));
            self.open.send_replace(false);
        }
    }

    async fn receive(&self, socket: &UdpSocket, inputs: &mpsc::Sender<Input>) {
        // One byte more than the maximum, so that a longer datagram is recognized.
        let mut buffer = [0u8; gossip::MAX_BYTES + 1];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                // Receiving fails after a datagram was sent to a peer that is down. This is harmless, but must not
                // cause a busy loop.
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            let from = self
                .peer_addresses
                .iter()
                .position(|address| *address == sender);
            if let (Some(from), true) = (from, length <= gossip::MAX_BYTES) {
                // Datagrams may be lost: one that finds the driver's queue full is dropped.
                let bytes = buffer[..length].to_vec();
                _ = inputs.try_send(Input::Peer {
                    from: GatewayId(from as u32),
                    bytes,
                });
            }
        }
    }

    /// Sends a datagram to one peer, or to all if `to` is `None`. A datagram that the socket does not accept
    /// immediately is lost.
    pub fn send(&self, to: Option<GatewayId>, bytes: &[u8]) {
        let address = match to {
            Some(peer) => self.peer_addresses.get(peer.0 as usize).copied(),
            None => self.all_peers,
        };
        let socket = self.socket.borrow();
        if let (Some(address), Some(socket), true) =
            (address, &*socket, bytes.len() <= gossip::MAX_BYTES)
        {
            _ = socket.try_send_to(bytes, address);
        }
    }
}
