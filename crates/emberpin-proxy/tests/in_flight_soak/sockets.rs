//! Sockets that are read and written at the same time.

use tokio::net::TcpStream;

/// Two handles of one socket, so that its options can be set while both directions are in use.
pub fn split(stream: TcpStream) -> (TcpStream, TcpStream) {
    let socket = stream.into_std().expect("registered");
    let other = socket.try_clone().expect("cloned");
    let from_std = |socket| TcpStream::from_std(socket).expect("registered");
    (from_std(socket), from_std(other))
}
