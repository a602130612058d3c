//! TCP sockets between processes, set up so that a dead or partitioned machine is detected early.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The time-out for establishing a connection: a machine behind a network partition does not respond at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// `TCP_USER_TIMEOUT` (RFC 5482): the connection fails if sent data is not acknowledged within this time.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The most connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Why a listener could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("{listener}: {address}: {source}")]
pub struct ListenError {
    /// The name of the listener: `ctl` or `registry`.
    pub listener: &'static str,
    /// The address that could not be bound.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: io::Error,
}

/// Opens a listener; `listener` names it in the error.
///
/// # Errors
///
/// [`ListenError`] if the address cannot be bound, for example because another process uses it.
pub fn listen(address: SocketAddr, listener: &'static str) -> Result<TcpListener, ListenError> {
    bind(address).map_err(|source| ListenError {
        listener,
        address,
        source,
    })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Connects to a process at this address, and sets the socket options of [`configure`].
///
/// # Errors
///
/// The error of the operating system, or [`io::ErrorKind::TimedOut`] after `CONNECT_TIMEOUT`.
pub async fn connect(machine: Ipv4Addr, port: u16) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect((machine, port));
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(io::Error::from)??;
    configure(&stream)?;
    Ok(stream)
}

/// Sets the socket options of a connection between processes: no delay, the user time-out and keepalive.
///
/// # Errors
///
/// The error of the operating system.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL),
    )
}
