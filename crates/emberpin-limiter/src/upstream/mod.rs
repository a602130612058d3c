//! The decisions' owner, the list of servers, and the way to them.

pub(crate) mod asking;
pub(crate) mod believed;
pub(crate) mod discovery;
pub(crate) mod driver;
pub(crate) mod engine;
pub(crate) mod fed;
pub(crate) mod kept;
pub(crate) mod lifetimes;
pub(crate) mod listing;
pub(crate) mod roster;
pub(crate) mod server;
pub(crate) mod told;
pub(crate) mod wire;
