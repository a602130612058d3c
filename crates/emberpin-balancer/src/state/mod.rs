//! What a gateway remembers: plain data without decisions. The decisions on it are in [`decisions`](crate::decisions).
//!
//! Most of it is handed over to the next process during an upgrade ([`handover`](crate::handover)): the order and the
//! types of serialized fields must not change.

mod customer;
mod latency;
mod load;
mod request;
mod server;
mod token_bucket;

pub use customer::{Advice, CustomerState, PeerCount};
pub use latency::{ClassLatency, Latency};
pub use load::LoadState;
pub use request::{FirstRun, PendingRequest, RetryScope};
pub use server::{InFlightAttempt, ServerState};
pub use token_bucket::TokenBucket;

/// A well-mixed hash (the finalizer of `SplitMix64`). It must give the same at every gateway, as they pick the gateways
/// of a server and the owners of a customer by it without any message.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
