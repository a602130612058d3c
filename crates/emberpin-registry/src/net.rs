//! Connections between processes, such that a dead or cut off machine is found early.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A machine behind a cut gives no answer at all.
const CONNECT: Duration = Duration::from_millis(500);
/// What was sent is acknowledged within this time, or the connection ends.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
const PROBE: Duration = Duration::from_secs(2);

/// Listens; `what` names the listener in the error.
///
/// # Errors
///
/// One line that says what could not be listened on and why.
pub fn listen(address: SocketAddr, what: &str) -> Result<TcpListener, String> {
    let bind = || -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    bind().map_err(|e| format!("{what}: {address}: {e}"))
}

/// Connects to a process on another machine.
///
/// # Errors
///
/// As the system says, or a time-out.
pub async fn connect(to: Ipv4Addr, port: u16) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect((to, port));
    let stream = tokio::time::timeout(CONNECT, connecting)
        .await
        .map_err(io::Error::from)??;
    tune(&stream)?;
    Ok(stream)
}

/// Sets how a connection between processes behaves.
///
/// # Errors
///
/// As the system says.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(PROBE).with_interval(PROBE))
}
