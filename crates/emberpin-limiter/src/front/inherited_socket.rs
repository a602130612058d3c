//! Takes over the clients' listening socket, where the platform keeps it open and each process inherits it.

use socket2::SockRef;
use std::net::{SocketAddr, TcpListener};

/// The environment variable that names the inherited descriptor.
const SOCKET_VARIABLE: &str = "GW_PASSED_SOCKET";
/// The lowest descriptor that may be named; those below are standard input, output and error.
const MIN_DESCRIPTOR: u32 = 3;

/// Returns the inherited socket, if the environment names one. Must be called only once, and before other threads
/// start, as it changes environment variables.
///
/// # Errors
///
/// One line, if the named descriptor is not a socket that listens on this address.
pub fn listener(listen: SocketAddr) -> Result<Option<TcpListener>, String> {
    let Some(named) = std::env::var_os(SOCKET_VARIABLE) else {
        return Ok(None);
    };
    let named = named.to_string_lossy();
    let error = |problem: &str| format!("{SOCKET_VARIABLE} '{named}': {problem}");
    let number: u32 = named
        .trim()
        .parse()
        .map_err(|_| error("expected the number of a descriptor, such as 5"))?;
    if number < MIN_DESCRIPTOR {
        return Err(error("expected the number of a descriptor from 3 on"));
    }
    // The library reads descriptors by systemd's socket activation protocol: one descriptor, from this number on, for
    // this process. It checks that the descriptor is a socket.
    for (name, value) in [
        ("LISTEN_FDS", "1".to_string()),
        ("LISTEN_FDS_FIRST_FD", number.to_string()),
        ("LISTEN_PID", std::process::id().to_string()),
    ] {
        std::env::set_var(name, value);
    }
    let taken_over = listenfd::ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = taken_over
        .map_err(|e| error(&e.to_string()))?
        .ok_or_else(|| error("cannot be taken over"))?;
    let is_listening = SockRef::from(&listener)
        .is_listener()
        .map_err(|e| error(&e.to_string()))?;
    let address = listener.local_addr().map_err(|e| error(&e.to_string()))?;
    if !is_listening || address != listen {
        return Err(error(&format!(
            "expected a socket that listens on {listen}, found one at {address}"
        )));
    }
    listener
        .set_nonblocking(true)
        .map_err(|e| error(&e.to_string()))?;
    Ok(Some(listener))
}
