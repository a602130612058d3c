//! A gateway's state: plain data without decisions. The decisions are in [`decisions`](crate::decisions).
//!
//! Most of it is handed over to the next process during an upgrade ([`handover`](crate::handover)): the order and
//! the types of serialized fields must not change.

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

/// Mixes the bits of a value (the finalizer of `SplitMix64`). The result must be the same at every gateway:
/// gateways select the senders for a server and the owners of a customer by it, without any message.
pub fn mix_hash(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
