//! The driver, which owns the decision module; the endpoint list and its sources; and the connections to servers.

pub(crate) mod discovery;
pub(crate) mod driver;
pub(crate) mod endpoint_list;
pub(crate) mod engine;
pub(crate) mod lifetimes;
pub(crate) mod list_calls;
pub(crate) mod list_snapshot;
pub(crate) mod list_trust;
pub(crate) mod list_watch;
pub(crate) mod peer_lists;
pub(crate) mod roster;
pub(crate) mod server;
pub(crate) mod wire;
