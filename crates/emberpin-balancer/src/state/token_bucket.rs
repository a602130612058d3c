//! Token buckets, for quotas, rate limits and budgets.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// A token bucket. Its rate and burst are the caller's, as they change with what the caller knows.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct TokenBucket {
    /// Tokens at `updated_at`; negative while more was taken than was there.
    pub tokens: f64,
    /// When the bucket was last refilled.
    pub updated_at: Millis,
}

impl TokenBucket {
    /// Refills the bucket at `rate` tokens a second up to `burst`, and returns the tokens that it has now.
    pub fn refill(&mut self, now: Millis, rate: f64, burst: f64) -> f64 {
        self.tokens = (self.tokens + (now - self.updated_at).max(0.0) * rate / 1000.0).min(burst);
        self.updated_at = now;
        self.tokens
    }

    /// Takes tokens, into debt if need be, but to no less than `least`.
    pub fn take(&mut self, tokens: f64, least: f64) {
        self.tokens = (self.tokens - tokens).max(least);
    }
}
