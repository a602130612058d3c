//! The clients' listening socket, where the platform holds it and every process inherits it.

use socket2::SockRef;
use std::net::{SocketAddr, TcpListener};

/// The environment variable that names the inherited descriptor.
const PASSED: &str = "GW_PASSED_SOCKET";
/// Standard input, output and error are none.
const LEAST: u32 = 3;

/// The inherited socket, if there is one. To be called once, before there are other threads.
///
/// # Errors
///
/// One line, when what is named is no socket that listens at this address.
pub fn listener(listen: SocketAddr) -> Result<Option<TcpListener>, String> {
    let Some(named) = std::env::var_os(PASSED) else {
        return Ok(None);
    };
    let named = named.to_string_lossy();
    let wrong = |problem: &str| format!("{PASSED} '{named}': {problem}");
    let number: u32 = named
        .trim()
        .parse()
        .map_err(|_| wrong("expected the number of a descriptor, as 5"))?;
    if number < LEAST {
        return Err(wrong("expected the number of a descriptor from 3 on"));
    }
    // The library takes descriptors over as the protocol of systemd names them: one, from this number on, for this
    // process. It checks that there is a socket.
    for (name, value) in [
        ("LISTEN_FDS", "1".to_string()),
        ("LISTEN_FDS_FIRST_FD", number.to_string()),
        ("LISTEN_PID", std::process::id().to_string()),
    ] {
        std::env::set_var(name, value);
    }
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = taken
        .map_err(|e| wrong(&e.to_string()))?
        .ok_or_else(|| wrong("cannot be taken over"))?;
    let listens = SockRef::from(&listener)
        .is_listener()
        .map_err(|e| wrong(&e.to_string()))?;
    let at = listener.local_addr().map_err(|e| wrong(&e.to_string()))?;
    if !listens || at != listen {
        return Err(wrong(&format!(
            "expected a socket that listens on {listen}, found one at {at}"
        )));
    }
    listener
        .set_nonblocking(true)
        .map_err(|e| wrong(&e.to_string()))?;
    Ok(Some(listener))
}
