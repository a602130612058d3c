//! The client side: listening socket, connections, and the checks that a request must pass before it is forwarded.

pub(crate) mod admission;
pub(crate) mod answers;
pub(crate) mod clients;
pub(crate) mod connections;
pub(crate) mod framing;
pub(crate) mod inherited_socket;
pub(crate) mod reception;
pub(crate) mod socket_budget;
pub(crate) mod stream;
pub(crate) mod upload;
