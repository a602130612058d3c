//! Options of the sockets between processes.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// A peer that acknowledges nothing for this long is unreachable: a network partition can drop packets without an error.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Disables Nagle's algorithm, so that small frames are sent at once, and makes the kernel detect an unreachable peer.
///
/// # Errors
///
/// The kernel rejected `TCP_NODELAY`. A kernel without user time-outs or keepalive is no error: time-outs between frames
/// then detect an unreachable peer.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    _ = socket.set_tcp_user_timeout(Some(UNREACHABLE_TIMEOUT));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    _ = socket.set_tcp_keepalive(&keepalive);
    Ok(())
}
