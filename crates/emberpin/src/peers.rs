//! Messages between limiters: one UDP socket, and who stands behind which address.

use crate::config::Config;
use crate::messages::Input;
use dillpass::{gossip, GatewayId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The sending side.
pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

/// Listens to the peers from now on.
pub fn start(socket: UdpSocket, config: &Config, inputs: mpsc::Sender<Input>) -> Peers {
    let socket = Rc::new(socket);
    let peers = Peers { socket: socket.clone(), addresses: config.peers.clone(), all: config.peers_all };
    let addresses = config.peers.clone();
    tokio::task::spawn_local(async move {
        // One byte over, so that a longer datagram shows as such.
        let mut buffer = [0u8; gossip::MAX_BYTES + 1];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                // Sending to a peer that is down shows here as an error: harmless, but not to be spun on.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let from = addresses.iter().position(|address| *address == sender);
            if let (Some(from), true) = (from, length <= gossip::MAX_BYTES) {
                // Datagrams may be lost: one that finds the driver's queue full is.
                let bytes = buffer[..length].to_vec();
                _ = inputs.try_send(Input::Peer { from: GatewayId(from as u32), bytes });
            }
        }
    });
    peers
}

impl Peers {
    /// Sends to one peer, or to all; what the socket does not take at once is lost.
    pub fn tell(&self, to: Option<GatewayId>, bytes: &[u8]) {
        let address = match to {
            Some(peer) => self.addresses.get(peer.0 as usize).copied(),
            None => self.all,
        };
        if let (Some(address), true) = (address, bytes.len() <= gossip::MAX_BYTES) {
            _ = self.socket.try_send_to(bytes, address);
        }
    }
}
