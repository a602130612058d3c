//! Token buckets, for quotas, rate limits and budgets.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// A token bucket. The caller passes its rate and burst at each refill, as they may change.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct TokenBucket {
    /// Tokens at `updated_at`; negative while the bucket is in debt.
    pub tokens: f64,
    /// When the bucket was last refilled.
    pub updated_at: Millis,
}

impl TokenBucket {
    /// Refills the bucket at `rate` tokens per second up to `burst`, and returns its tokens.
    pub fn refill(&mut self, now: Millis, rate: f64, burst: f64) -> f64 {
        self.tokens = (self.tokens + (now - self.updated_at).max(0.0) * rate / 1000.0).min(burst);
        self.updated_at = now;
        self.tokens
    }

    /// Removes tokens. The bucket may go into debt, but not below `min_tokens`.
    pub fn withdraw(&mut self, tokens: f64, min_tokens: f64) {
        self.tokens = (self.tokens - tokens).max(min_tokens);
    }
}
