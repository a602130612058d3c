//! Clients and their connections, up to the point where a request is sound.

pub(crate) mod admission;
pub(crate) mod answers;
pub(crate) mod clients;
pub(crate) mod connections;
pub(crate) mod framing;
pub(crate) mod inherited_socket;
pub(crate) mod reception;
pub(crate) mod socket_budget;
pub(crate) mod stream;
