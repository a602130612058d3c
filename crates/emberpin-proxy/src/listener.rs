//! Listening sockets.

use crate::error::ProxyError;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 512;

/// Opens a listening socket on this address.
///
/// # Errors
///
/// [`ProxyError::Listen`].
pub fn listen(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    bind(address).map_err(|error| ProxyError::Listen { address, error })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A process that was killed leaves connections in TIME_WAIT; its successor must not wait for them.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
